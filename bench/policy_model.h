#ifndef EEL_BENCH_POLICY_MODEL_H
#define EEL_BENCH_POLICY_MODEL_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/admission.h"
#include "eelgrasslatch/retry.h"
#include "eelgrasslatch/routing.h"

/*
 * Simulation in virtual time of clients and three endpoints per service.  A
 * request runs at services 0 .. depth - 1, each call nested in the previous.
 */

#define ENDPOINTS 3
#define SERVICES_MAX 2
#define QUEUE_MAX 600

enum policy
{
  /* Three tries at each hop, bounded only by the upstream's connections. */
  POLICY_NONE,
  /* Three tries at each hop, fixed concurrency limit and FIFO queue. */
  POLICY_FIXED,
  /* Admission, routing, retry budget and throttle of this library. */
  POLICY_ADAPTIVE,
  POLICY_COUNT
};

enum report
{
  REPORT_TRUE,
  REPORT_ZERO,
  REPORT_FULL,
  REPORT_FROZEN
};

struct scenario
{
  enum policy policy;
  uint64_t seed;
  /* Slots per endpoint of the deepest service and of the others. */
  uint32_t slots;
  uint32_t upper_slots;
  uint32_t connections;
  int64_t one_way_us;
  int depth;
  int64_t service_us;
  int64_t deadline_us;
  int64_t end_us;
  /* Sends in this interval count for the upstream times of the result. */
  int64_t count_from_us;
  int64_t count_to_us;
  /* Sends of one request by its client, and the delay between them. */
  uint32_t sends_max;
  int64_t resend_us;
  uint32_t order_percent;
  uint32_t background_percent;
  uint32_t long_percent;
  uint32_t long_factor;
  /* Requests per second. */
  double (*rate) (const struct scenario *scenario, int64_t now_us);
  double (*slowness) (const struct scenario *scenario,
                      int service,
                      int endpoint,
                      int64_t now_us);
  double base_rate;
  enum report report;
  /* Baselines only: pick the endpoint with the least reported load. */
  int route_by_report;
};

struct request
{
  int64_t issued_us;
  /* Time of the first good answer, or -1. */
  int64_t answered_us;
  uint32_t sends;
  uint8_t klass;
  uint8_t is_long;
  /* Whether an endpoint of service 0 started it; started or queued it. */
  uint8_t started;
  uint8_t accepted;
};

struct wait
{
  int64_t at_us;
  int64_t wait_us;
};

struct result
{
  struct request *requests;
  size_t request_count;
  size_t request_capacity;
  /* Queueing delays of short work at endpoints. */
  struct wait *waits;
  size_t wait_count;
  size_t wait_capacity;
  double upstream_time_us;
  double failed_upstream_time_us;
  uint64_t executions;
  uint64_t hedges;
  uint64_t ejections;
};

void model_run (const struct scenario *scenario, struct result *result);
void result_finish (struct result *result);
void *model_grow (void *array, size_t count, size_t *capacity, size_t size);

#endif
