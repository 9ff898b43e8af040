#ifndef EELGRASSLATCH_RUN_TIMES_H
#define EELGRASSLATCH_RUN_TIMES_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * How long runs of each route take at this node's endpoint, and how fast the
 * endpoint is at present, measured by the node beside it.
 *
 * Per route: a mean of the hold time over some seconds, in which a sample
 * counts for at most a small multiple of the mean.  The speed compares the runs
 * of the last moments with these means, in thousandths: 1000 is the endpoint's
 * own usual, and the value without recent runs.  A hold time includes what the
 * run waits for its own calls, so the times tell endpoints of one service apart
 * only for the same route.  Bounded: the least recently used route gives way.
 */

#define EEL_RUN_TIMES_ROUTES_MAX 32
/* Runs by which the end of a slow moment is noticed. */
#define EEL_RUN_TIMES_LAST 5
/* A longer run counts as this. */
#define EEL_RUN_TIMES_MAX_US (3600 * EEL_US_PER_S)

struct eel_run_time
{
  uint64_t route;
  double mean_us;
  uint32_t samples;
  int64_t updated_us;
};

struct eel_run_times
{
  struct eel_run_time routes[EEL_RUN_TIMES_ROUTES_MAX];
  uint32_t count;
  /* Decaying sums over recent runs: the usual times of their routes, and the
     times that they took. */
  double usual_us;
  double held_us;
  int64_t sums_at_us;
  /* Of the runs that ended last, in turn: the time taken over the usual one. */
  double last_ratios[EEL_RUN_TIMES_LAST];
  uint64_t ended;
};

void eel_run_times_init (struct eel_run_times *times);
/* A run of the route held its slot for held_us. */
void eel_run_times_record (struct eel_run_times *times,
                           uint64_t route,
                           int64_t held_us,
                           int64_t now_us);
/* Mean time of a run of the route; 0: nothing is known. */
int64_t eel_run_times_usual_us (const struct eel_run_times *times,
                                uint64_t route);
/* Expected time of a run that starts now; 0: nothing is known. */
int64_t eel_run_times_expected_us (const struct eel_run_times *times,
                                   uint64_t route,
                                   int64_t now_us);
uint32_t eel_run_times_speed_milli (const struct eel_run_times *times,
                                    int64_t now_us);

#endif
