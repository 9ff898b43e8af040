#include "internal/admission.h"

#include <string.h>

#define PROBES 8
/* Mean absolute deviations above the mean that queued work must have left;
 * a twentieth to a tenth of the work takes longer. */
#define LATE_DEVIATIONS 2
/* Weight of a new sample; first samples weigh more. */
#define SAMPLE_WEIGHT 16
/* A route is judged long only after a few samples. */
#define LONG_SAMPLES_MIN 3
/* The median moves by this factor per sample. */
#define MEDIAN_STEP 0.05
/* Trial starts of a route that seems too slow take up to 1/40 of the slots. */
#define TRIAL_SHARE 40
#define TRIAL_MIN_US (100 * EEL_US_PER_MS)
#define TRIAL_MAX_US EEL_US_PER_S

/* Returns the learnt times of a route, or NULL. */
struct eel_route_time *
eel_route_find (struct eel_admission *admission, uint32_t route_hash)
{
  for (uint32_t i = 0; i < PROBES; i++)
    {
      struct eel_route_time *route
          = &admission->routes[(route_hash + i) % EEL_ADMISSION_ROUTES];

      if (route->samples > 0 && route->route_hash == route_hash)
        return route;
    }
  return NULL;
}

/* Returns the entry of a route; a new one replaces the least recent. */
static struct eel_route_time *
route_get (struct eel_admission *admission, uint32_t route_hash)
{
  struct eel_route_time *route = eel_route_find (admission, route_hash);

  if (route != NULL)
    return route;
  for (uint32_t i = 0; i < PROBES; i++)
    {
      struct eel_route_time *other
          = &admission->routes[(route_hash + i) % EEL_ADMISSION_ROUTES];

      if (route == NULL || other->samples == 0
          || (route->samples > 0
              && other->last_sample_us < route->last_sample_us))
        route = other;
      if (route->samples == 0)
        break;
    }
  memset (route, 0, sizeof *route);
  route->route_hash = route_hash;
  return route;
}

/* Returns the expected service time; the mean of all when not known. */
int64_t
eel_route_mean_us (struct eel_admission *admission, uint32_t route_hash)
{
  const struct eel_route_time *route = eel_route_find (admission, route_hash);

  return route != NULL ? route->mean_us : (int64_t)admission->mean_us;
}

/* Returns 1 for a route that takes long_factor times the median or more. */
int
eel_route_is_long (struct eel_admission *admission, uint32_t route_hash)
{
  const struct eel_route_time *route = eel_route_find (admission, route_hash);

  if (route == NULL || route->samples < LONG_SAMPLES_MIN
      || admission->config.long_factor == 0)
    return 0;
  return (double)route->mean_us
         > admission->median_us * admission->config.long_factor;
}

/*
 * Returns 1 when the work can't be answered in time.  With other work waiting,
 * the deviation is added, so that slots go to work that is likely to end in
 * time.  A few starts pass as trials: without samples the estimate of a route
 * that was slow would never fall again.
 */
int
eel_route_too_late (struct eel_admission *admission,
                    const struct eel_work_item *work,
                    int64_t now_us)
{
  const struct eel_route_time *route
      = eel_route_find (admission, work->route_hash);
  int64_t remaining_us = work->deadline_us - now_us;
  int64_t need_us;
  int64_t interval_us;
  int64_t known_us;

  if (remaining_us <= 0)
    return 1;
  if (route == NULL)
    return 0;
  need_us = route->mean_us;
  if (admission->queued > admission->limit / 2)
    need_us += route->deviation_us * LATE_DEVIATIONS;
  if (need_us <= remaining_us)
    return 0;
  interval_us = remaining_us * TRIAL_SHARE / admission->config.slots;
  if (interval_us < TRIAL_MIN_US)
    interval_us = TRIAL_MIN_US;
  if (interval_us > TRIAL_MAX_US)
    interval_us = TRIAL_MAX_US;
  known_us = route->last_sample_us > route->last_trial_us
                 ? route->last_sample_us
                 : route->last_trial_us;
  return now_us - known_us < interval_us;
}

/* Counts a start as a trial when the estimate says that it will be late. */
void
eel_route_note_start (struct eel_admission *admission,
                      const struct eel_work_item *work,
                      int64_t now_us)
{
  struct eel_route_time *route = eel_route_find (admission, work->route_hash);

  if (route != NULL && route->mean_us > work->deadline_us - now_us)
    route->last_trial_us = now_us;
}

static void
learn_median (struct eel_admission *admission, int64_t took_us)
{
  if (admission->median_us <= 0)
    admission->median_us = (double)took_us;
  else if ((double)took_us > admission->median_us)
    admission->median_us *= 1 + MEDIAN_STEP;
  else
    admission->median_us /= 1 + MEDIAN_STEP;
}

/*
 * Learns from an end.  A time-out or cancellation only says that the service
 * time is longer than its age; failures say nothing.
 */
void
eel_route_learn (struct eel_admission *admission,
                 const struct eel_work_item *work,
                 enum eel_work_result result,
                 int64_t now_us)
{
  int64_t took_us = now_us - work->started_us;
  struct eel_route_time *route;
  int64_t error_us;
  int64_t weight;

  if (result == EEL_WORK_FAILED || result == EEL_WORK_REFUSED)
    return;
  if (took_us < 1)
    took_us = 1;
  route = route_get (admission, work->route_hash);
  error_us = took_us - route->mean_us;
  if (result != EEL_WORK_OK && error_us <= 0)
    return;
  route->samples++;
  route->last_sample_us = now_us;
  weight = route->samples < SAMPLE_WEIGHT ? (int64_t)route->samples
                                          : SAMPLE_WEIGHT;
  /* A trial in time shows that the slow time has ended: learn anew. */
  if (result == EEL_WORK_OK && work->started_us == route->last_trial_us
      && now_us <= work->deadline_us)
    {
      route->samples = 1;
      weight = 1;
    }
  route->mean_us += error_us / weight;
  route->deviation_us
      += ((error_us < 0 ? -error_us : error_us) - route->deviation_us) / weight;
  if (!work->is_long)
    admission->mean_us += ((double)took_us - admission->mean_us)
                          / (admission->mean_us <= 0 ? 1 : SAMPLE_WEIGHT);
  learn_median (admission, took_us);
}
