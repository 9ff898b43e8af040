#ifndef EEL_TESTS_STANDIN_LOAD_H
#define EEL_TESTS_STANDIN_LOAD_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdint.h>
#include <stdio.h>

#include "eelgrasslatch/rng.h"

#define LOAD_PORTS_MAX 64
#define LOAD_RAMP_MAX 16
#define LOAD_REQUESTS_MAX 65536
#define LOAD_KEYS_MAX 4096
#define LOAD_CONNECTIONS_MAX 4096
#define LOAD_KEY_BYTES 128

enum load_kind
{
  LOAD_LOOKUP,
  LOAD_ORDER,
  LOAD_LONG,
  LOAD_KIND_COUNT
};

/* Result of a request as its caller sees it. */
enum load_outcome
{
  LOAD_GOOD,
  /* Answered 200 after the timeout. */
  LOAD_LATE,
  LOAD_NOT_RUN,
  LOAD_REFUSED,
  LOAD_UNKNOWN,
  LOAD_ERROR,
  LOAD_NO_KEY,
  LOAD_OUTCOME_COUNT
};

struct load_step
{
  double at_s;
  double rate;
};

struct load_options
{
  uint16_t ports[LOAD_PORTS_MAX];
  uint32_t port_count;
  struct load_step ramp[LOAD_RAMP_MAX];
  uint32_t ramp_count;
  double seconds;
  double warmup_s;
  const char *service[LOAD_KIND_COUNT];
  double order_share;
  double long_share;
  const char *work_ms;
  const char *long_ms;
  uint32_t timeout_ms;
  uint32_t retries;
  uint32_t retry_delay_ms;
  /* Resend at once after any failure and ignore the advice in the reply. */
  int ignore_advice;
  /* Send to upstreams directly instead of through nodes. */
  int direct;
  uint64_t seed;
  const char *records;
  const char *json;
  uint32_t series_ms;
};

struct load_result
{
  uint64_t sent[LOAD_KIND_COUNT];
  uint64_t outcomes[LOAD_KIND_COUNT][LOAD_OUTCOME_COUNT];
  uint64_t sends;
  uint32_t *latency_us[LOAD_KIND_COUNT];
  uint32_t latency_count[LOAD_KIND_COUNT];
  uint32_t latency_capacity[LOAD_KIND_COUNT];
  /* Requests and good answers by time of sending, in buckets of series_ms. */
  uint32_t *series_sent;
  uint32_t *series_good;
  uint32_t series_count;
  uint64_t status_count[600];
};

int load_parse (struct load_options *options, int argc, char **argv);
double load_rate (const struct load_options *options, double at_s);
int load_result_init (struct load_result *result,
                      const struct load_options *options);
void load_result_latency (struct load_result *result,
                          enum load_kind kind,
                          uint32_t latency_us);
uint32_t
load_percentile (struct load_result *result, enum load_kind kind, double share);
enum load_kind load_random_kind (const struct load_options *options,
                                 struct eel_rng *rng);
enum load_outcome load_outcome_of (const char *outcome);
void load_print (struct load_result *result,
                 const struct load_options *options);

#endif
