#ifndef EELGRASSLATCH_ADMISSION_H
#define EELGRASSLATCH_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/error.h"
#include "eelgrasslatch/types.h"

/*
 * Admission at one endpoint: an adaptive concurrency limit, a short queue in
 * class order, a share of slots for long work and fairness between callers.
 * This part only decides; its user sends admitted work to the upstream and
 * reports each completion with eel_admission_done.
 */

#define EEL_ADMISSION_ROUTES 256
#define EEL_ADMISSION_CALLERS 64

struct eel_work_item
{
  uint64_t id;
  enum eel_class klass;
  /* A nested call of an admitted request goes before other work of its class.
   */
  uint8_t nested;
  uint32_t caller_hash;
  /* Hash of class and path; service times are estimated per route. */
  uint32_t route_hash;
  int64_t deadline_us;
  int64_t arrived_us;
  /* Set by admission when the work starts. */
  int64_t started_us;
  uint8_t is_long;
};

enum eel_work_result
{
  EEL_WORK_OK,
  /* The upstream refused it for overload before running it. */
  EEL_WORK_REFUSED,
  EEL_WORK_FAILED,
  EEL_WORK_TIMED_OUT,
  EEL_WORK_CANCELLED
};

struct eel_admission_config
{
  uint32_t slots;
  uint32_t limit_min;
  uint32_t queue_max;
  int64_t queue_target_us;
  uint32_t long_factor;
  uint32_t long_share_max_percent;
  uint32_t caller_share_percent;
};

struct eel_admission_queued
{
  struct eel_work_item work;
  uint32_t next;
  uint32_t previous;
  uint8_t list;
};

struct eel_route_time
{
  uint32_t route_hash;
  int64_t mean_us;
  /* Mean absolute deviation. */
  int64_t deviation_us;
  uint64_t samples;
  int64_t last_sample_us;
  int64_t last_trial_us;
};

/*
 * State of the probe that lowers the limit for one window, to find out whether
 * latency depends on this node's concurrency.
 */
struct eel_limit_probe
{
  uint8_t active;
  double limit_before;
  double latency_before_us;
  int64_t started_us;
  /* No further probe starts before this. */
  int64_t next_us;
  /* Last decrease of the limit because the upstream refused work. */
  int64_t decreased_us;
};

struct eel_admission
{
  struct eel_admission_config config;
  struct eel_admission_queued *queue;
  uint32_t queue_capacity;
  uint32_t queued;
  uint32_t in_flight;
  uint32_t long_in_flight;
  double limit;
  /* Latency of short work in the last window, and its estimate without queueing
     in the upstream. */
  double short_latency_us;
  double base_latency_us;
  double long_share;
  int64_t window_started_us;
  uint32_t window_samples;
  uint32_t window_in_flight_max;
  uint64_t started[EEL_CLASS_COUNT];
  uint64_t shed[EEL_CLASS_COUNT];
  uint64_t dropped_late[EEL_CLASS_COUNT];
  struct eel_route_time routes[EEL_ADMISSION_ROUTES];
  uint32_t caller_queued[EEL_ADMISSION_CALLERS];
  /* Queue list heads and free list; private to src/admission. */
  uint32_t heads[EEL_CLASS_COUNT * 2];
  uint32_t tails[EEL_CLASS_COUNT * 2];
  uint32_t free_list;
  int64_t above_target_since_us;
  uint32_t list_queued[EEL_CLASS_COUNT * 2];
  uint32_t long_queued;
  /* Only critical work is accepted until then, because critical work was
     refused. */
  int64_t critical_only_until_us;
  int64_t swept_at_us;
  struct eel_limit_probe probe;
  double window_log_sum;
  /* Mean service time of short work, and median of all work. */
  double mean_us;
  double median_us;
  /* Demand of accepted work in slots, and when both were last decayed. */
  double demand_short;
  double demand_long;
  int64_t demand_at_us;
  /* Decaying sum of the expected service time of started work, in microseconds
     per caller bucket. */
  double caller_recent[EEL_ADMISSION_CALLERS];
  double caller_recent_total;
  int64_t caller_decayed_at_us;
};

enum eel_offer
{
  EEL_OFFER_START,
  EEL_OFFER_QUEUED,
  EEL_OFFER_REFUSED
};

struct eel_offer_result
{
  enum eel_offer verdict;
  enum eel_error error;
  /* Id of the queued work evicted in favour of the offered work, or 0. */
  uint64_t evicted_id;
};

void eel_admission_init (struct eel_admission *admission,
                         const struct eel_admission_config *config,
                         struct eel_admission_queued *queue,
                         uint32_t queue_capacity,
                         int64_t now_us);
void eel_admission_finish (struct eel_admission *admission);
void eel_admission_configure (struct eel_admission *admission,
                              const struct eel_admission_config *config);
struct eel_offer_result eel_admission_offer (struct eel_admission *admission,
                                             struct eel_work_item *work,
                                             int64_t now_us);
/*
 * Dequeues the next work that may start now; returns 0 when there is none.
 * Work that can no longer meet its deadline, or is shed because it is old or
 * because critical work was refused, is returned with *error set and must be
 * answered, not started.  Call again until 0.
 */
int eel_admission_next (struct eel_admission *admission,
                        struct eel_work_item *work,
                        enum eel_error *error,
                        int64_t now_us);
/* Removes queued work, for a cancelled call; 0 when it is not queued. */
int eel_admission_remove (struct eel_admission *admission, uint64_t id);
void eel_admission_done (struct eel_admission *admission,
                         const struct eel_work_item *work,
                         enum eel_work_result result,
                         int64_t now_us);
void eel_admission_load (const struct eel_admission *admission,
                         struct eel_load *load);

/*
 * Entry throttle: per route, the share of requests that failed because of
 * overload anywhere downstream sets the probability of refusal at the entry.
 */
struct eel_rng;

/*
 * Default time constant of the throttle.  At 250 ms, upstreams with 10 and 20
 * slots spent over 5% of their time on requests that failed; at 10 s the entry
 * still refused most work ten seconds after an overload.
 */
#define EEL_THROTTLE_WINDOW_US (100 * EEL_US_PER_MS)

struct eel_throttle_route
{
  uint32_t route_hash;
  double requests[EEL_CLASS_COUNT];
  double accepts[EEL_CLASS_COUNT];
  /* Completed admitted requests, decayed over a quarter of the window. */
  double recent_outcomes;
  double recent_overloaded;
  int64_t decayed_at_us;
};

struct eel_throttle
{
  struct eel_throttle_route *routes;
  uint32_t capacity;
  int64_t window_us;
  uint64_t refused[EEL_CLASS_COUNT];
};

void eel_throttle_init (struct eel_throttle *throttle,
                        struct eel_throttle_route *routes,
                        uint32_t capacity,
                        int64_t window_us);
/*
 * Returns 1 when the request may enter; its outcome must then be reported with
 * eel_throttle_report_outcome.
 */
int eel_throttle_admit (struct eel_throttle *throttle,
                        uint32_t route_hash,
                        enum eel_class klass,
                        int64_t now_us,
                        struct eel_rng *rng);
void eel_throttle_report_outcome (struct eel_throttle *throttle,
                                  uint32_t route_hash,
                                  enum eel_class klass,
                                  int overloaded,
                                  int64_t now_us);

#endif
