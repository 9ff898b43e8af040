#ifndef EEL_BENCH_POLICY_MEASURE_H
#define EEL_BENCH_POLICY_MEASURE_H

#include "policy_model.h"

/* Requests answered between two times, per second. */
double
measure_goodput (const struct result *result, int64_t from_us, int64_t to_us);
/* Share of requests issued between two times that were answered. */
double measure_success (const struct result *result,
                        int64_t from_us,
                        int64_t to_us,
                        int klass);
/* Quantile of the answer times of requests issued between two times. */
double measure_latency (const struct result *result,
                        int64_t from_us,
                        int64_t to_us,
                        double quantile);
double
measure_wait (const struct result *result, int64_t from_us, double quantile);
/* Share of started (or accepted) lookups that were answered. */
double measure_admitted (const struct result *result,
                         int64_t from_us,
                         int64_t to_us,
                         int started_only);
/* Seconds from overload_end_us until success and p99 have recovered. */
double measure_recovery (const struct result *result,
                         int64_t before_from_us,
                         int64_t before_to_us,
                         int64_t overload_end_us,
                         int64_t end_us);

#endif
