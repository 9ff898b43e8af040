#include "eelgrasslatch/call_costs.h"

#include <string.h>

#include "eelgrasslatch/types.h"

/* Long enough that a run makes its first calls in the same interval. */
#define INTERVAL_US (200 * EEL_US_PER_MS)
/* Weight of an interval relative to the next; a time constant of about ten
 * seconds. */
#define FORGETTING_FACTOR 0.98
/* Before any samples a route may make up to about ten calls per run. */
#define INITIAL_VARIANCE 10.0
/* The covariance is reset above this: with few runs, forgetting makes it grow
 * without bound. */
#define VARIANCE_MAX 100.0

void
eel_call_costs_init (struct eel_call_costs *costs)
{
  memset (costs, 0, sizeof *costs);
  for (uint32_t i = 0; i < EEL_CALL_COSTS_RUNS_MAX; i++)
    costs->covariance[i][i] = INITIAL_VARIANCE;
}

/* Ignores routes beyond EEL_CALL_COSTS_RUNS_MAX. */
void
eel_call_costs_count_run (struct eel_call_costs *costs, uint64_t route)
{
  uint32_t i = 0;

  while (i < costs->run_count && costs->runs[i].route != route)
    i++;
  if (i == EEL_CALL_COSTS_RUNS_MAX)
    return;
  if (i == costs->run_count)
    costs->runs[costs->run_count++].route = route;
  costs->runs[i].current++;
}

/* Ignores routes beyond EEL_CALL_COSTS_CALLS_MAX. */
void
eel_call_costs_count_call (struct eel_call_costs *costs, uint64_t route)
{
  uint32_t i = 0;

  while (i < costs->call_count && costs->calls[i].route != route)
    i++;
  if (i == EEL_CALL_COSTS_CALLS_MAX)
    return;
  if (i == costs->call_count)
    costs->calls[costs->call_count++].route = route;
  costs->calls[i].current++;
}

/* gain = P x / (forgetting + x' P x); returns 0 when x is 0. */
static int
compute_gain (const struct eel_call_costs *costs, const double *x, double *gain)
{
  uint32_t n = costs->run_count;
  double scale = FORGETTING_FACTOR;
  int changed = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      gain[i] = 0;
      for (uint32_t j = 0; j < n; j++)
        gain[i] += costs->covariance[i][j] * x[j];
      scale += x[i] * gain[i];
      changed |= x[i] != 0;
    }
  for (uint32_t i = 0; i < n; i++)
    gain[i] /= scale;
  return changed;
}

/* P = (P - gain x' P) / forgetting. */
static void
update_covariance (struct eel_call_costs *costs,
                   const double *x,
                   const double *gain)
{
  uint32_t n = costs->run_count;
  double row[EEL_CALL_COSTS_RUNS_MAX];

  for (uint32_t j = 0; j < n; j++)
    {
      row[j] = 0;
      for (uint32_t i = 0; i < n; i++)
        row[j] += x[i] * costs->covariance[i][j];
    }
  for (uint32_t i = 0; i < n; i++)
    for (uint32_t j = 0; j < n; j++)
      costs->covariance[i][j]
          = (costs->covariance[i][j] - gain[i] * row[j]) / FORGETTING_FACTOR;
  for (uint32_t i = 0; i < n; i++)
    if (costs->covariance[i][i] > VARIANCE_MAX)
      {
        memset (costs->covariance, 0, sizeof costs->covariance);
        for (uint32_t j = 0; j < EEL_CALL_COSTS_RUNS_MAX; j++)
          costs->covariance[j][j] = INITIAL_VARIANCE;
        return;
      }
}

static void
update_estimates (struct eel_call_costs *costs)
{
  double x[EEL_CALL_COSTS_RUNS_MAX];
  double gain[EEL_CALL_COSTS_RUNS_MAX];

  for (uint32_t i = 0; i < costs->run_count; i++)
    x[i] = (double)costs->runs[i].current - (double)costs->runs[i].previous;
  if (!compute_gain (costs, x, gain))
    return;
  for (uint32_t c = 0; c < costs->call_count; c++)
    {
      struct eel_call_costs_call *call = &costs->calls[c];
      double error = (double)call->current - (double)call->previous;

      for (uint32_t i = 0; i < costs->run_count; i++)
        error -= x[i] * call->per_run[i];
      for (uint32_t i = 0; i < costs->run_count; i++)
        call->per_run[i] += gain[i] * error;
    }
  update_covariance (costs, x, gain);
}

void
eel_call_costs_tick (struct eel_call_costs *costs, int64_t now_us)
{
  if (now_us < costs->interval_end_us)
    return;
  /* After a gap between ticks the counts do not cover one interval each. */
  if (now_us < costs->interval_end_us + INTERVAL_US)
    update_estimates (costs);
  costs->interval_end_us = now_us + INTERVAL_US;
  for (uint32_t i = 0; i < costs->run_count; i++)
    {
      costs->runs[i].previous = costs->runs[i].current;
      costs->runs[i].current = 0;
    }
  for (uint32_t c = 0; c < costs->call_count; c++)
    {
      costs->calls[c].previous = costs->calls[c].current;
      costs->calls[c].current = 0;
    }
}

double
eel_call_costs_per_run (const struct eel_call_costs *costs,
                        uint64_t run_route,
                        uint64_t call_route)
{
  for (uint32_t i = 0; i < costs->run_count; i++)
    for (uint32_t c = 0; c < costs->call_count; c++)
      if (costs->runs[i].route == run_route
          && costs->calls[c].route == call_route)
        return costs->calls[c].per_run[i];
  return 0;
}
