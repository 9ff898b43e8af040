#include "internal/admission.h"

#include <string.h>

#define HASH_PROBES_MAX 8
/* Margin above the mean service time while the queue is long, in mean absolute
 * deviations; 5% to 10% of the work takes longer. */
#define LATE_DEVIATIONS 2
/* A new sample has a weight of 1/16 in the EWMA; the first ones weigh more. */
#define EWMA_SAMPLES 16
/* Samples needed before a route may be classified as long. */
#define LONG_SAMPLES_MIN 3
/* The median moves by this factor per sample. */
#define MEDIAN_STEP 0.05
/* Trial starts of a route that is estimated too slow take up to 1/40 of the
 * slots; the bounds apply to the interval between two of them. */
#define TRIAL_SHARE_DIVISOR 40
#define TRIAL_INTERVAL_MIN_US (100 * EEL_US_PER_MS)
#define TRIAL_INTERVAL_MAX_US EEL_US_PER_S

/* Returns the estimated times of a route, or NULL without samples. */
struct eel_route_time *
eel_route_find (struct eel_admission *admission, uint32_t route_hash)
{
  for (uint32_t i = 0; i < HASH_PROBES_MAX; i++)
    {
      struct eel_route_time *route
          = &admission->routes[(route_hash + i) % EEL_ADMISSION_ROUTES];

      if (route->samples > 0 && route->route_hash == route_hash)
        return route;
    }
  return NULL;
}

/* Returns the entry of a route; a new one evicts the one with the oldest
 * sample. */
static struct eel_route_time *
route_get (struct eel_admission *admission, uint32_t route_hash)
{
  struct eel_route_time *route = eel_route_find (admission, route_hash);

  if (route != NULL)
    return route;
  for (uint32_t i = 0; i < HASH_PROBES_MAX; i++)
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

/* For a route without samples, returns the mean of all short work. */
int64_t
eel_route_mean_us (struct eel_admission *admission, uint32_t route_hash)
{
  const struct eel_route_time *route = eel_route_find (admission, route_hash);

  return route != NULL ? route->mean_us : (int64_t)admission->mean_us;
}

/* Returns 1 for a route whose mean exceeds long_factor times the median. */
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
 * Returns 1 when the work is expected to miss its deadline.  While the queue is
 * longer than half of the limit, a margin for the deviation is added, so that
 * slots go to work that is likely to complete in time.  A few starts are let
 * through as trials: without samples the estimate of a route that was slow
 * would never fall again.
 */
int
eel_route_misses_deadline (struct eel_admission *admission,
                           const struct eel_work_item *work,
                           int64_t now_us)
{
  const struct eel_route_time *route
      = eel_route_find (admission, work->route_hash);
  int64_t remaining_us = work->deadline_us - now_us;
  int64_t needed_us;
  int64_t interval_us;
  int64_t last_known_us;

  if (remaining_us <= 0)
    return 1;
  if (route == NULL)
    return 0;
  needed_us = route->mean_us;
  if (admission->queued > admission->limit / 2)
    needed_us += route->deviation_us * LATE_DEVIATIONS;
  if (needed_us <= remaining_us)
    return 0;
  interval_us = remaining_us * TRIAL_SHARE_DIVISOR / admission->config.slots;
  if (interval_us < TRIAL_INTERVAL_MIN_US)
    interval_us = TRIAL_INTERVAL_MIN_US;
  if (interval_us > TRIAL_INTERVAL_MAX_US)
    interval_us = TRIAL_INTERVAL_MAX_US;
  last_known_us = route->last_sample_us > route->last_trial_us
                      ? route->last_sample_us
                      : route->last_trial_us;
  return now_us - last_known_us < interval_us;
}

/* A start whose estimate exceeds the time to its deadline is a trial. */
void
eel_route_record_start (struct eel_admission *admission,
                        const struct eel_work_item *work,
                        int64_t now_us)
{
  struct eel_route_time *route = eel_route_find (admission, work->route_hash);

  if (route != NULL && route->mean_us > work->deadline_us - now_us)
    route->last_trial_us = now_us;
}

static void
update_median (struct eel_admission *admission, int64_t took_us)
{
  if (admission->median_us <= 0)
    admission->median_us = (double)took_us;
  else if ((double)took_us > admission->median_us)
    admission->median_us *= 1 + MEDIAN_STEP;
  else
    admission->median_us /= 1 + MEDIAN_STEP;
}

/*
 * Updates the estimates when work completes.  A time-out or cancellation gives
 * only a lower bound of the service time, and a failure or refusal none.
 */
void
eel_route_done (struct eel_admission *admission,
                const struct eel_work_item *work,
                enum eel_work_result result,
                int64_t now_us)
{
  int64_t took_us = now_us - work->started_us;
  struct eel_route_time *route;
  int64_t error_us;
  int64_t divisor;

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
  divisor
      = route->samples < EWMA_SAMPLES ? (int64_t)route->samples : EWMA_SAMPLES;
  /* A trial that met its deadline shows that the route is no longer slow: its
     estimate restarts from this sample. */
  if (result == EEL_WORK_OK && work->started_us == route->last_trial_us
      && now_us <= work->deadline_us)
    {
      route->samples = 1;
      divisor = 1;
    }
  route->mean_us += error_us / divisor;
  route->deviation_us
      += ((error_us < 0 ? -error_us : error_us) - route->deviation_us)
         / divisor;
  if (!work->is_long)
    admission->mean_us += ((double)took_us - admission->mean_us)
                          / (admission->mean_us <= 0 ? 1 : EWMA_SAMPLES);
  update_median (admission, took_us);
}
