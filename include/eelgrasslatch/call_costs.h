#ifndef EELGRASSLATCH_CALL_COSTS_H
#define EELGRASSLATCH_CALL_COSTS_H

#include <stdint.h>

/*
 * Learns which routes an endpoint calls while it runs requests of another
 * route.  The calls do not name the request that made them, and callers send
 * requests of their own through the same node, so the numbers per interval
 * are compared: recursive least squares on the changes from one interval to
 * the next, in which slow waves of all traffic cancel out.
 */

#define EEL_CALL_COSTS_RUNS_MAX 8
#define EEL_CALL_COSTS_CALLS_MAX 24

struct eel_call_costs_run
{
  uint64_t route;
  uint32_t now;
  uint32_t before;
};

struct eel_call_costs_call
{
  uint64_t route;
  uint32_t now;
  uint32_t before;
  /* Calls for each run of the route in the same place of runs. */
  double per_run[EEL_CALL_COSTS_RUNS_MAX];
};

struct eel_call_costs
{
  struct eel_call_costs_run runs[EEL_CALL_COSTS_RUNS_MAX];
  uint32_t run_count;
  struct eel_call_costs_call calls[EEL_CALL_COSTS_CALLS_MAX];
  uint32_t call_count;
  double covariance[EEL_CALL_COSTS_RUNS_MAX][EEL_CALL_COSTS_RUNS_MAX];
  int64_t interval_end_us;
};

void eel_call_costs_init (struct eel_call_costs *costs);
/* The own endpoint begins to run a request of a route. */
void eel_call_costs_count_run (struct eel_call_costs *costs, uint64_t route);
/* A request of a route came from this VM. */
void eel_call_costs_count_call (struct eel_call_costs *costs, uint64_t route);
/* Learns from the interval that has ended; call at least ten times a second. */
void eel_call_costs_tick (struct eel_call_costs *costs, int64_t now_us);
/* Estimated calls of one route for each run of another. */
double eel_call_costs_per_run (const struct eel_call_costs *costs,
                               uint64_t run_route,
                               uint64_t call_route);

#endif
