#include <stdlib.h>

#include "policy_measure.h"

#define WINDOW_US (500 * EEL_US_PER_MS)
#define STEP_US (100 * EEL_US_PER_MS)

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* Sorts the values in place. */
static double
quantile_of (double *values, size_t count, double quantile)
{
  double value;

  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  value = values[(size_t)((double)(count - 1) * quantile)];
  return value;
}

/* Returns the requests answered between two times, per second. */
double
measure_goodput (const struct result *result, int64_t from_us, int64_t to_us)
{
  size_t count = 0;

  for (size_t i = 0; i < result->request_count; i++)
    count += result->requests[i].answered_us >= from_us
             && result->requests[i].answered_us < to_us;
  return (double)count * 1e6 / (double)(to_us - from_us);
}

/*
 * Returns the share of the requests of a class, or of all with -1, that were
 * answered.
 */
double
measure_success (const struct result *result,
                 int64_t from_us,
                 int64_t to_us,
                 int klass)
{
  size_t all = 0;
  size_t good = 0;

  for (size_t i = 0; i < result->request_count; i++)
    {
      const struct request *request = &result->requests[i];

      if (request->issued_us < from_us || request->issued_us >= to_us
          || (klass >= 0 && request->klass != klass))
        continue;
      all++;
      good += request->answered_us >= 0;
    }
  return all == 0 ? 1 : (double)good / (double)all;
}

/* Returns a quantile of the time from first issue to answer. */
double
measure_latency (const struct result *result,
                 int64_t from_us,
                 int64_t to_us,
                 double quantile)
{
  double *values = calloc (result->request_count + 1, sizeof *values);
  size_t count = 0;
  double value;

  if (values == NULL)
    exit (1);
  for (size_t i = 0; i < result->request_count; i++)
    {
      const struct request *request = &result->requests[i];

      if (request->issued_us >= from_us && request->issued_us < to_us
          && request->answered_us >= 0)
        values[count++] = (double)(request->answered_us - request->issued_us);
    }
  value = quantile_of (values, count, quantile);
  free (values);
  return value;
}

/* Returns a quantile of the waits of short work at endpoints. */
double
measure_wait (const struct result *result, int64_t from_us, double quantile)
{
  double *values = calloc (result->wait_count + 1, sizeof *values);
  size_t count = 0;
  double value;

  if (values == NULL)
    exit (1);
  for (size_t i = 0; i < result->wait_count; i++)
    if (result->waits[i].at_us >= from_us)
      values[count++] = (double)result->waits[i].wait_us;
  value = quantile_of (values, count, quantile);
  free (values);
  return value;
}

/* Returns the share of started or accepted lookups that were answered. */
double
measure_admitted (const struct result *result,
                  int64_t from_us,
                  int64_t to_us,
                  int started_only)
{
  size_t all = 0;
  size_t good = 0;

  for (size_t i = 0; i < result->request_count; i++)
    {
      const struct request *request = &result->requests[i];

      if (request->issued_us < from_us || request->issued_us >= to_us
          || request->klass != EEL_CLASS_LOOKUP
          || !(started_only ? request->started : request->accepted))
        continue;
      all++;
      good += request->answered_us >= 0;
    }
  return all == 0 ? 1 : (double)good / (double)all;
}

/*
 * Returns the seconds from overload_end_us until success is at least 95% and
 * p99 at most 150% of their earlier level for two windows, or all of the rest
 * of the run.
 */
double
measure_recovery (const struct result *result,
                  int64_t before_from_us,
                  int64_t before_to_us,
                  int64_t overload_end_us,
                  int64_t end_us)
{
  double success = measure_success (result, before_from_us, before_to_us, -1);
  double p99 = measure_latency (result, before_from_us, before_to_us, 0.99);
  int good = 0;

  for (int64_t at_us = overload_end_us; at_us + WINDOW_US <= end_us;
       at_us += STEP_US)
    {
      int ok = measure_success (result, at_us, at_us + WINDOW_US, -1)
                   >= 0.95 * success
               && measure_latency (result, at_us, at_us + WINDOW_US, 0.99)
                      <= 1.5 * p99;

      good = ok ? good + 1 : 0;
      /* Requires a second full window: one may be good by chance. */
      if (good > WINDOW_US / STEP_US)
        return (double)(at_us - WINDOW_US - overload_end_us) / 1e6;
    }
  return (double)(end_us - overload_end_us) / 1e6;
}
