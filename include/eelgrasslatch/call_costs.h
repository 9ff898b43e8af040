#ifndef EELGRASSLATCH_CALL_COSTS_H
#define EELGRASSLATCH_CALL_COSTS_H

#include <stdint.h>

/*
 * Estimates how many calls to each route an endpoint makes per request that it
 * runs.  Calls do not name the request that caused them, and callers on the VM
 * send other requests through the same node, so the estimate correlates counts
 * per interval: recursive least squares on the differences between successive
 * intervals, in which slow variations common to all traffic cancel out.
 */

#define EEL_CALL_COSTS_RUNS_MAX 8
#define EEL_CALL_COSTS_CALLS_MAX 24

/* Runs of one route at the endpoint, in this interval and the one before. */
struct eel_call_costs_run
{
  uint64_t route;
  uint32_t current;
  uint32_t previous;
};

/* Calls to one route from this VM, in this interval and the one before. */
struct eel_call_costs_call
{
  uint64_t route;
  uint32_t current;
  uint32_t previous;
  /* Calls per run of the route at the same index of runs. */
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
/* Counts a request that starts at the local endpoint. */
void eel_call_costs_count_run (struct eel_call_costs *costs, uint64_t route);
/* Counts a request that arrives from this VM. */
void eel_call_costs_count_call (struct eel_call_costs *costs, uint64_t route);
/* Updates the estimate after each interval; call at least ten times a second.
 */
void eel_call_costs_tick (struct eel_call_costs *costs, int64_t now_us);
/* Estimated calls to call_route per run of run_route; 0 for unknown routes. */
double eel_call_costs_per_run (const struct eel_call_costs *costs,
                               uint64_t run_route,
                               uint64_t call_route);

#endif
