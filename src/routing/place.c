#include "eelgrasslatch/place.h"

#include <stddef.h>
#include <string.h>

#include "eelgrasslatch/finish.h"
#include "internal/hash.h"

/* Age above which a reported use is ignored; load waves last seconds. */
#define USE_LIFE_US (1500 * EEL_US_PER_MS)
/* An endpoint without a fresh report counts as half used, or as the mean of the
 * others where that is lower, so that one that has just joined is tried on a
 * quiet day too. */
#define USE_UNKNOWN_MILLI 500
/* Age above which a report of faults or slowness is ignored, which gets the
 * endpoint a request and so a new report.  Each sender does this, so it is
 * rare.
 */
#define FITNESS_LIFE_US (6 * EEL_US_PER_S)
/* Fault rate, above the lowest of the service, from which on an endpoint of the
 * own domain is not preferred. */
#define FAULT_SPILL_MILLI 150
/* Cost of a fault rate of 1: that of a use of twice the limit. */
#define FAULT_COST_FACTOR 2
/* A cold endpoint runs requests at about half its normal speed. */
#define COLD_USE_PERCENT 200
/* An endpoint whose requests hold their slots this many times longer than at
 * the fastest of the service counts as slow, above a floor that is jitter. */
#define SLOW_FACTOR 4
#define SLOW_FLOOR_US (50 * EEL_US_PER_MS)
/* Cost of being slow: that of a full endpoint. */
#define SLOW_COST_MILLI 1000
/* Random spread, so that senders that see the same reports do not all pick the
 * same endpoint. */
#define NOISE_MILLI 200
/* Outside the preferred endpoints it grows with the use: what senders know of
 * other domains is older than the time in which their queues change. */
#define SPREAD_FACTOR 2

/* Shed rate from which on an endpoint of the own domain is not preferred. */
#define SHED_RATE_SPILL 0.15
/* Cost added at a shed rate of 1: that of a use of twice the limit. */
#define SHED_COST_MILLI 2000.0

/* By expected end of the run: cost above which an endpoint of the own domain is
 * not preferred (four times the fastest one's), what is added for those that
 * are not, the greatest cost and random spread, which together stay below the
 * cost of an endpoint in backoff, and the growth of the spread with the use and
 * with the part of it that is not known. */
#define FINISH_SPILL_MILLI 3000
#define FINISH_SPILL_COST_MILLI 50000
#define FINISH_COST_MAX_MILLI 500000
#define FINISH_SPREAD_MAX_MILLI 400000
#define DOUBT_FACTOR 8

/* Consecutive failures from which on an endpoint gets one request at a time. */
#define TRIAL_FAILURES_MIN 2

/*
 * Returns 1 while a trial request to a failing endpoint is not accepted yet.
 * Once its node accepts it, others may follow, as the answer can take long.
 */
static int
has_pending_trial (const struct eel_instance *instance)
{
  return instance->failures >= TRIAL_FAILURES_MIN && instance->unaccepted > 0;
}

static int
was_tried (const struct eel_place_query *query, const char *id)
{
  for (uint32_t i = 0; i < query->tried_count; i++)
    if (strcmp (query->tried[i], id) == 0)
      return 1;
  return 0;
}

/* What is known of the usable endpoints of one service. */
struct service_view
{
  /* Assumed of an endpoint without a fresh report. */
  uint32_t assumed_use_milli;
  /* Lowest of the fresh reports. */
  uint32_t least_fault_milli;
  /* Lowest of the fresh reports; 0: there is none. */
  int64_t least_hold_us;
  /* By expected end of the run. */
  uint8_t by_finish;
  struct eel_finish_view finish;
};

static int
has_report (const struct eel_instance *instance,
            int64_t life_us,
            int64_t now_us)
{
  return instance->reported_us > 0 && now_us - instance->reported_us < life_us;
}

static void
view_fitness (const struct eel_instance_report *report,
              struct service_view *view)
{
  if (report->fault_milli < view->least_fault_milli)
    view->least_fault_milli = report->fault_milli;
  if (report->hold_us > 0
      && (view->least_hold_us == 0 || report->hold_us < view->least_hold_us))
    view->least_hold_us = report->hold_us;
}

static void
view_finish (const struct eel_directory *directory,
             const struct eel_place_query *query,
             int64_t now_us,
             struct service_view *view)
{
  view->by_finish = 1;
  eel_finish_view_init (&view->finish, query->route, view->assumed_use_milli,
                        now_us);
  for (uint32_t i = 0; i < directory->count; i++)
    {
      const struct eel_instance *instance = &directory->instances[i];

      if (instance->service == query->service && eel_instance_usable (instance))
        eel_finish_view_add (&view->finish, instance);
    }
}

static void
view_service (const struct eel_directory *directory,
              const struct eel_place_query *query,
              int64_t now_us,
              struct service_view *view)
{
  uint64_t use_milli = 0;
  uint32_t reports = 0;
  uint32_t judged = 0;
  uint32_t unheard[2] = { 0 };
  uint32_t own = 0;

  view->by_finish = 0;
  view->least_fault_milli = UINT32_MAX;
  view->least_hold_us = 0;
  for (uint32_t i = 0; i < directory->count; i++)
    {
      const struct eel_instance *instance = &directory->instances[i];

      if (instance->service != query->service
          || !eel_instance_usable (instance))
        continue;
      if (has_report (instance, USE_LIFE_US, now_us))
        {
          use_milli += instance->report.use_milli;
          reports++;
        }
      if (has_report (instance, FITNESS_LIFE_US, now_us))
        {
          view_fitness (&instance->report, view);
          judged++;
          own = instance->same_domain != 0;
        }
      else if (now_us >= instance->avoid_until_us)
        unheard[instance->same_domain != 0]++;
    }
  /* The only report is compared with a sound endpoint, if there may be one as
     near, and not with itself. */
  if (judged == 1 && unheard[own] > 0)
    view->least_fault_milli = 0;
  view->assumed_use_milli = USE_UNKNOWN_MILLI;
  if (reports > 0 && use_milli / reports < USE_UNKNOWN_MILLI)
    view->assumed_use_milli = (uint32_t)(use_milli / reports);
  if (query->by_finish)
    view_finish (directory, query, now_us, view);
}

/* Returns the fault rate above that of the soundest endpoint: what all share is
 * the fault of something that all of them need. */
static uint32_t
excess_fault (const struct eel_instance *instance,
              const struct service_view *view,
              int64_t now_us)
{
  if (!has_report (instance, FITNESS_LIFE_US, now_us)
      || instance->report.fault_milli <= view->least_fault_milli)
    return 0;
  return instance->report.fault_milli - view->least_fault_milli;
}

static int
is_slow (const struct eel_instance *instance,
         const struct service_view *view,
         int64_t now_us)
{
  return has_report (instance, FITNESS_LIFE_US, now_us)
         && instance->report.hold_us > SLOW_FLOOR_US
         && instance->report.hold_us > SLOW_FACTOR * view->least_hold_us;
}

/* Returns the expected use of an endpoint's slots in thousandths. */
static uint32_t
expected_use (const struct eel_instance *instance,
              const struct service_view *view,
              int64_t now_us)
{
  uint32_t slots = instance->slots > 0 ? instance->slots : 1;
  uint32_t own = instance->in_flight * 1000 / slots;
  uint32_t use = view->assumed_use_milli;

  if (has_report (instance, USE_LIFE_US, now_us))
    use = instance->report.use_milli;
  if (own > use)
    use = own;
  if (now_us < instance->cold_until_us)
    use = use * COLD_USE_PERCENT / 100;
  return use;
}

static uint32_t
finish_spread (uint32_t use_milli, uint32_t doubt_milli, int preferred)
{
  uint64_t spread_milli
      = NOISE_MILLI + (uint64_t)use_milli * doubt_milli / 1000 * DOUBT_FACTOR;

  if (!preferred)
    spread_milli += (uint64_t)use_milli * SPREAD_FACTOR;
  return spread_milli < FINISH_SPREAD_MAX_MILLI ? (uint32_t)spread_milli
                                                : FINISH_SPREAD_MAX_MILLI;
}

/* Cost by expected end of the run.  The own domain's endpoints with room come
   before all others. */
static uint64_t
finish_cost (const struct eel_instance *instance,
             const struct service_view *view,
             int64_t now_us,
             struct eel_rng *rng)
{
  const struct eel_finish_view *finish = &view->finish;
  uint64_t end_milli = eel_finish_cost_milli (finish, instance);
  uint32_t use = eel_finish_use_milli (finish, instance);
  uint32_t fault_milli = excess_fault (instance, view, now_us);
  uint32_t doubt_milli = eel_finish_doubt_milli (finish, instance);

  if (end_milli > FINISH_COST_MAX_MILLI)
    end_milli = FINISH_COST_MAX_MILLI;
  if (instance->same_domain && use < EEL_PLACE_SPILL_MILLI
      && instance->shed_rate < SHED_RATE_SPILL
      && fault_milli < FAULT_SPILL_MILLI && end_milli < FINISH_SPILL_MILLI)
    return end_milli + eel_rng_below (rng, finish_spread (use, doubt_milli, 1));
  return FINISH_SPILL_COST_MILLI + end_milli
         + eel_rng_below (rng, finish_spread (use, doubt_milli, 0))
         + (uint64_t)(SHED_COST_MILLI * instance->shed_rate)
         + FAULT_COST_FACTOR * fault_milli;
}

/* Lower is better; an endpoint in backoff comes last. */
static uint64_t
cost (const struct eel_instance *instance,
      const struct service_view *view,
      int64_t now_us,
      struct eel_rng *rng)
{
  uint64_t use = expected_use (instance, view, now_us);
  uint32_t fault_milli = excess_fault (instance, view, now_us);
  int slow = is_slow (instance, view, now_us);
  uint64_t noise;

  if (now_us < instance->avoid_until_us)
    return UINT64_C (1000000) + (uint64_t)(instance->avoid_until_us - now_us);
  if (view->by_finish)
    return finish_cost (instance, view, now_us, rng);
  if (instance->same_domain && use < EEL_PLACE_SPILL_MILLI
      && instance->shed_rate < SHED_RATE_SPILL
      && fault_milli < FAULT_SPILL_MILLI && !slow)
    return use + eel_rng_below (rng, NOISE_MILLI);
  noise = eel_rng_below (rng, NOISE_MILLI + (uint32_t)use * SPREAD_FACTOR);
  return 1000 + use + noise + (uint64_t)(SHED_COST_MILLI * instance->shed_rate)
         + FAULT_COST_FACTOR * fault_milli + (slow ? SLOW_COST_MILLI : 0);
}

/* Returns the usable endpoint of lowest cost that was not tried. */
struct eel_instance *
eel_place_pick_in (struct eel_directory *directory,
                   const struct eel_place_query *query,
                   uint8_t domain,
                   int64_t now_us,
                   struct eel_rng *rng)
{
  struct eel_instance *best = NULL;
  uint64_t best_cost = UINT64_MAX;
  struct service_view view;

  view_service (directory, query, now_us, &view);
  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];
      uint64_t instance_cost;

      if (instance->service != query->service || !eel_instance_usable (instance)
          || has_pending_trial (instance) || was_tried (query, instance->id)
          || (domain != EEL_ANY_DOMAIN && instance->domain != domain))
        continue;
      instance_cost = cost (instance, &view, now_us, rng);
      if (instance_cost < best_cost)
        {
          best_cost = instance_cost;
          best = instance;
        }
    }
  return best;
}

struct eel_instance *
eel_place_pick (struct eel_directory *directory,
                const struct eel_place_query *query,
                int64_t now_us,
                struct eel_rng *rng)
{
  return eel_place_pick_in (directory, query, EEL_ANY_DOMAIN, now_us, rng);
}

/* Highest random weight; endpoints that failed a moment ago come last. */
struct eel_instance *
eel_place_pick_for (struct eel_directory *directory,
                    const struct eel_place_query *query,
                    uint64_t fingerprint,
                    int64_t now_us)
{
  struct eel_instance *best = NULL;
  uint64_t best_weight = 0;

  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];
      uint64_t weight;

      if (instance->service != query->service || !eel_instance_usable (instance)
          || was_tried (query, instance->id))
        continue;
      weight = eel_rendezvous (
          fingerprint, eel_hash64 (instance->id, strlen (instance->id), 0));
      weight >>= 1;
      if (now_us >= instance->avoid_until_us)
        weight |= UINT64_C (1) << 63;
      if (best == NULL || weight > best_weight)
        {
          best_weight = weight;
          best = instance;
        }
    }
  return best;
}

/* Returns what keeps an endpoint of the own domain from being preferred. */
static enum eel_leave_cause
obstacle (const struct eel_instance *instance,
          const struct service_view *view,
          int64_t now_us)
{
  if (now_us < instance->avoid_until_us || has_pending_trial (instance))
    return EEL_LEAVE_AVOIDED;
  if (excess_fault (instance, view, now_us) >= FAULT_SPILL_MILLI)
    return EEL_LEAVE_FAULTS;
  if (is_slow (instance, view, now_us))
    return EEL_LEAVE_SLOW;
  return instance->shed_rate >= SHED_RATE_SPILL ? EEL_LEAVE_SHED
                                                : EEL_LEAVE_USE;
}

void
eel_place_describe (const struct eel_directory *directory,
                    const struct eel_place_query *query,
                    int64_t now_us,
                    void (*each) (void *data,
                                  const struct eel_place_seen *seen),
                    void *data)
{
  struct service_view view;

  view_service (directory, query, now_us, &view);
  for (uint32_t i = 0; i < directory->count; i++)
    {
      const struct eel_instance *instance = &directory->instances[i];
      struct eel_place_seen seen = { .instance = instance };

      if (instance->service != query->service
          || !eel_instance_usable (instance))
        continue;
      seen.tried = (uint8_t)was_tried (query, instance->id);
      seen.obstacle = obstacle (instance, &view, now_us);
      seen.use_milli = expected_use (instance, &view, now_us);
      seen.is_fresh = (uint8_t)has_report (instance, USE_LIFE_US, now_us);
      seen.age_us = now_us - instance->reported_us;
      seen.hold_us = instance->report.hold_us > 0 ? instance->report.hold_us
                                                  : view.least_hold_us;
      each (data, &seen);
    }
}
