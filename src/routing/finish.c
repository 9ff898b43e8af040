#include "eelgrasslatch/finish.h"

#include <stddef.h>
#include <string.h>

/* Age at which a report's use and speed no longer count. */
#define USE_LIFE_US (800 * EEL_US_PER_MS)
/* Age at which a reported time of a route is learned anew. */
#define RUN_LIFE_US (6 * EEL_US_PER_S)
/* A cold endpoint runs requests at about half its normal speed. */
#define COLD_RUN_PERCENT 200
#define USUAL_MILLI 1000
/* Assumed of all endpoints while none's time is known. */
#define UNKNOWN_RUN_US 1000
/* Mean use of the endpoints from which differences in speed count for less, and
 * from which they don't count: when all have queues, even use answers more
 * requests within their target than even waits. */
#define FADE_FROM_MILLI 800
#define FADE_TO_MILLI 1100

void
eel_finish_view_init (struct eel_finish_view *view,
                      uint64_t route,
                      uint32_t assumed_use_milli,
                      int64_t now_us)
{
  memset (view, 0, sizeof *view);
  view->route = route;
  view->assumed_use_milli = assumed_use_milli;
  view->now_us = now_us;
}

/* Returns the reported time of the route, or 0. */
static int64_t
known_run_us (const struct eel_finish_view *view,
              const struct eel_instance *instance)
{
  for (uint32_t i = 0; i < EEL_INSTANCE_RUNS_MAX; i++)
    {
      const struct eel_instance_run *run = &instance->runs[i];

      if (run->run_us > 0 && run->route == view->route
          && view->now_us - run->reported_us < RUN_LIFE_US)
        return run->run_us;
    }
  return 0;
}

void
eel_finish_view_add (struct eel_finish_view *view,
                     const struct eel_instance *instance)
{
  int64_t run_us = known_run_us (view, instance);

  if (instance->reported_us > 0
      && view->now_us - instance->reported_us < USE_LIFE_US)
    {
      view->use_sum_milli += instance->report.use_milli;
      view->reports++;
    }
  if (run_us == 0)
    return;
  if (view->known == 0 || run_us < view->least_run_us)
    view->least_run_us = run_us;
  view->known++;
  view->mean_run_us += (run_us - view->mean_run_us) / view->known;
}

/* Moves a reported value towards the one assumed at the end of its life. */
static uint32_t
aged (uint32_t reported, uint32_t assumed, int64_t age_us, int64_t life_us)
{
  int64_t change = (int64_t)assumed - reported;

  if (age_us >= life_us)
    return assumed;
  if (age_us <= 0)
    return reported;
  return (uint32_t)(reported + change * age_us / life_us);
}

uint32_t
eel_finish_use_milli (const struct eel_finish_view *view,
                      const struct eel_instance *instance)
{
  const struct eel_instance_report *report = &instance->report;
  uint32_t slots = instance->slots > 0 ? instance->slots : 1;
  uint32_t own_milli = instance->in_flight * USUAL_MILLI / slots;
  uint32_t added = instance->sent_since_report;
  uint32_t use_milli = view->assumed_use_milli;

  if (added > instance->in_flight)
    added = instance->in_flight;
  if (instance->reported_us > 0)
    use_milli = aged (report->use_milli, view->assumed_use_milli,
                      view->now_us - instance->reported_us, USE_LIFE_US);
  use_milli += added * USUAL_MILLI / slots;
  return use_milli > own_milli ? use_milli : own_milli;
}

uint32_t
eel_finish_doubt_milli (const struct eel_finish_view *view,
                        const struct eel_instance *instance)
{
  if (instance->reported_us == 0)
    return USUAL_MILLI;
  return aged (0, USUAL_MILLI, view->now_us - instance->reported_us,
               USE_LIFE_US);
}

uint32_t
eel_finish_speed_milli (const struct eel_finish_view *view,
                        const struct eel_instance *instance)
{
  if (instance->reported_us == 0 || instance->report.speed_milli == 0)
    return USUAL_MILLI;
  return aged (instance->report.speed_milli, USUAL_MILLI,
               view->now_us - instance->reported_us, USE_LIFE_US);
}

/* Returns the usual time of the route, or what is assumed of it. */
static int64_t
usual_run_us (const struct eel_finish_view *view,
              const struct eel_instance *instance)
{
  int64_t run_us = known_run_us (view, instance);

  if (view->known == 0)
    return UNKNOWN_RUN_US;
  if (run_us > 0)
    return run_us;
  return instance->in_flight > 0 ? view->mean_run_us : view->least_run_us;
}

/* Weight of differences in speed. */
static int64_t
speed_weight_milli (const struct eel_finish_view *view)
{
  int64_t use_milli = 0;

  if (view->reports > 0)
    use_milli = (int64_t)(view->use_sum_milli / view->reports);
  if (use_milli <= FADE_FROM_MILLI)
    return USUAL_MILLI;
  if (use_milli >= FADE_TO_MILLI)
    return 0;
  return USUAL_MILLI * (FADE_TO_MILLI - use_milli)
         / (FADE_TO_MILLI - FADE_FROM_MILLI);
}

/* Expected time of a run that starts now, beyond that at the fastest endpoint.
   Negative for one that is faster than its usual. */
static int64_t
excess_milli (const struct eel_finish_view *view,
              const struct eel_instance *instance)
{
  int64_t least_us = view->known > 0 ? view->least_run_us : UNKNOWN_RUN_US;
  int64_t run_us = usual_run_us (view, instance) * USUAL_MILLI
                   / eel_finish_speed_milli (view, instance);

  if (view->now_us < instance->cold_until_us)
    run_us = run_us * COLD_RUN_PERCENT / 100;
  return (run_us - least_us) * USUAL_MILLI / least_us;
}

uint64_t
eel_finish_cost_milli (const struct eel_finish_view *view,
                       const struct eel_instance *instance)
{
  /* Below the limit the use stands for the chance to meet a queue, above it for
     the requests that wait. */
  int64_t cost_milli = eel_finish_use_milli (view, instance)
                       + excess_milli (view, instance)
                             * speed_weight_milli (view) / USUAL_MILLI;

  return cost_milli > 0 ? (uint64_t)cost_milli : 0;
}

void
eel_finish_record (struct eel_instance *instance,
                   const struct eel_instance_report *report,
                   int64_t now_us)
{
  struct eel_instance_run *place = &instance->runs[0];

  instance->sent_since_report = 0;
  if (report->run_us <= 0)
    return;
  for (uint32_t i = 0; i < EEL_INSTANCE_RUNS_MAX; i++)
    {
      struct eel_instance_run *run = &instance->runs[i];

      if (run->route == report->route && run->run_us > 0)
        {
          place = run;
          break;
        }
      if (run->reported_us < place->reported_us)
        place = run;
    }
  place->route = report->route;
  place->run_us = report->run_us;
  place->reported_us = now_us;
}
