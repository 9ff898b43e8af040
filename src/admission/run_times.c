#include "eelgrasslatch/run_times.h"

#include <math.h>
#include <string.h>

/* A sample counts for at most this multiple of the mean, in the mean and in the
 * speed: one run in some tens takes several times as long as the others. */
#define CLIP_FACTOR 2.5
#define SPEED_CLIP_FACTOR 4.0
/* Samples of a route that are averaged evenly before later ones decay. */
#define EVEN_SAMPLES 16
/* Time constant of a route's mean, and the greatest weight of one sample. */
#define MEAN_WINDOW_US (5.0 * 1000.0 * 1000.0)
#define SAMPLE_WEIGHT_MAX 0.2
/* Time constant of the speed. */
#define SPEED_WINDOW_US (200.0 * 1000.0)
/* Usual runs that the speed is averaged with. */
#define SPEED_PRIOR_RUNS 2.0
/* Bounds of the speed in thousandths. */
#define SPEED_MIN_MILLI 50.0
#define SPEED_MAX_MILLI 2000.0
#define SPEED_USUAL_MILLI 1000

void
eel_run_times_init (struct eel_run_times *times)
{
  memset (times, 0, sizeof *times);
}

static const struct eel_run_time *
find_route (const struct eel_run_times *times, uint64_t route)
{
  for (uint32_t i = 0; i < times->count; i++)
    if (times->routes[i].route == route)
      return &times->routes[i];
  return NULL;
}

/* Returns the entry of a route; a new one may evict the least recent one. */
static struct eel_run_time *
get_route (struct eel_run_times *times, uint64_t route)
{
  struct eel_run_time *oldest = &times->routes[0];

  for (uint32_t i = 0; i < times->count; i++)
    {
      struct eel_run_time *entry = &times->routes[i];

      if (entry->route == route)
        return entry;
      if (entry->updated_us < oldest->updated_us)
        oldest = entry;
    }
  if (times->count < EEL_RUN_TIMES_ROUTES_MAX)
    oldest = &times->routes[times->count++];
  memset (oldest, 0, sizeof *oldest);
  oldest->route = route;
  return oldest;
}

static double
sums_weight (const struct eel_run_times *times, int64_t now_us)
{
  double passed_us = fmax (0, (double)(now_us - times->sums_at_us));

  return exp (-passed_us / SPEED_WINDOW_US);
}

/* Weight of a sample that arrives passed_us after the one before it. */
static double
sample_weight (const struct eel_run_time *entry, double passed_us)
{
  double even = 1.0 / (entry->samples + 1.0);
  double decayed
      = fmin (1 - exp (-passed_us / MEAN_WINDOW_US), SAMPLE_WEIGHT_MAX);

  return entry->samples < EVEN_SAMPLES ? fmax (even, decayed) : decayed;
}

void
eel_run_times_record (struct eel_run_times *times,
                      uint64_t route,
                      int64_t held_us,
                      int64_t now_us)
{
  struct eel_run_time *entry = get_route (times, route);
  double sample_us = fmin (fmax (1, (double)held_us), EEL_RUN_TIMES_MAX_US);
  double kept = sums_weight (times, now_us);

  times->sums_at_us = now_us;
  times->usual_us *= kept;
  times->held_us *= kept;
  if (entry->samples > 0)
    {
      times->usual_us += entry->mean_us;
      times->held_us += fmin (sample_us, SPEED_CLIP_FACTOR * entry->mean_us);
      times->last_ratios[times->ended++ % EEL_RUN_TIMES_LAST]
          = fmin (sample_us / entry->mean_us, SPEED_CLIP_FACTOR);
      sample_us = fmin (sample_us, CLIP_FACTOR * entry->mean_us);
    }
  entry->mean_us
      += sample_weight (entry, fmax (0, (double)(now_us - entry->updated_us)))
         * (sample_us - entry->mean_us);
  entry->updated_us = now_us;
  if (entry->samples < UINT32_MAX)
    entry->samples++;
}

int64_t
eel_run_times_usual_us (const struct eel_run_times *times, uint64_t route)
{
  const struct eel_run_time *entry = find_route (times, route);

  return entry == NULL ? 0 : (int64_t)fmax (1, entry->mean_us);
}

int64_t
eel_run_times_expected_us (const struct eel_run_times *times,
                           uint64_t route,
                           int64_t now_us)
{
  return eel_run_times_usual_us (times, route) * SPEED_USUAL_MILLI
         / eel_run_times_speed_milli (times, now_us);
}

/* Mean of the times of the routes that are in use, for the weight of the prior;
   0: none is. */
static double
prior_us (const struct eel_run_times *times, int64_t now_us)
{
  double sum_us = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < times->count; i++)
    if ((double)(now_us - times->routes[i].updated_us) < MEAN_WINDOW_US)
      {
        sum_us += times->routes[i].mean_us;
        count++;
      }
  return count == 0 ? 0 : SPEED_PRIOR_RUNS * sum_us / count;
}

/* Speed by the runs that ended last, each relative to its own route; 0: there
   are too few. */
static double
last_speed_milli (const struct eel_run_times *times)
{
  double sum = SPEED_PRIOR_RUNS;

  if (times->ended < EEL_RUN_TIMES_LAST)
    return 0;
  for (uint32_t i = 0; i < EEL_RUN_TIMES_LAST; i++)
    sum += times->last_ratios[i];
  return SPEED_USUAL_MILLI * (EEL_RUN_TIMES_LAST + SPEED_PRIOR_RUNS) / sum;
}

uint32_t
eel_run_times_speed_milli (const struct eel_run_times *times, int64_t now_us)
{
  double kept = sums_weight (times, now_us);
  double prior = prior_us (times, now_us);
  double held_us = kept * times->held_us + prior;
  double speed_milli;

  if (prior <= 0)
    return SPEED_USUAL_MILLI;
  speed_milli = SPEED_USUAL_MILLI * (kept * times->usual_us + prior) / held_us;
  if (speed_milli < SPEED_USUAL_MILLI)
    speed_milli = fmax (speed_milli,
                        fmin (last_speed_milli (times), SPEED_USUAL_MILLI));
  return (uint32_t)fmin (fmax (speed_milli, SPEED_MIN_MILLI), SPEED_MAX_MILLI);
}
