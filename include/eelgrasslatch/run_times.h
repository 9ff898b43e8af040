#ifndef EELGRASSLATCH_RUN_TIMES_H
#define EELGRASSLATCH_RUN_TIMES_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * How long runs of each route take at this node's endpoint, and how fast the
 * endpoint is at present, measured by the node beside it.
 *
 * Per route: a mean of the hold time from which a long tail is kept out.  The
 * speed is the mean over recent runs of a route's usual time divided by the time
 * it took, in thousandths: 1000 is the endpoint's own usual.  Bounded: the least
 * recently used route gives way.
 */

#define EEL_RUN_TIMES_ROUTES_MAX 32

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
  double speed_milli;
  int64_t speed_at_us;
};

void eel_run_times_init (struct eel_run_times *times);
/* A run of the route held its slot for held_us. */
void eel_run_times_record (struct eel_run_times *times,
                           uint64_t route,
                           int64_t held_us,
                           int64_t now_us);
/* Expected time of a run that starts now; 0: nothing is known. */
int64_t eel_run_times_expected_us (const struct eel_run_times *times,
                                   uint64_t route,
                                   int64_t now_us);
/* Returns 1000 while nothing is known. */
uint32_t eel_run_times_speed_milli (const struct eel_run_times *times,
                                    int64_t now_us);

#endif
