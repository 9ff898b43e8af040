#include "internal/admission.h"

#include <math.h>

/*
 * A window lasts at least WINDOW_MIN_US and until it has this many samples, or
 * fewer at a low limit.  At 10 slots and 200 ms, a probe of 100 samples leaves
 * a fifth of the slots idle for more than 2 s.
 */
#define WINDOW_SAMPLES_MAX 60
/*
 * A slow upstream with few slots takes long to yield 60 samples, and a probe
 * leaves slots idle meanwhile, so that three samples per slot of the limit
 * suffice, but at least 20.
 */
#define WINDOW_SAMPLES_PER_SLOT 3
#define WINDOW_SAMPLES_MIN 20
#define WINDOW_MIN_US (100 * EEL_US_PER_MS)
/* Latency above this multiple of the base latency starts a probe. */
#define LATENCY_TOLERANCE_FACTOR 1.5
/* A probe multiplies the limit by this factor. */
#define PROBE_FACTOR 0.8
/* The lower limit is kept when the relative drop of the latency exceeds this
 * share of the relative cut of the limit. */
#define PROBE_LATENCY_DROP_SHARE 0.6
#define PROBE_INTERVAL_US (10 * EEL_US_PER_S)
/* The limit after a refusal, relative to the work in flight at the time. */
#define REFUSED_FACTOR 0.9
/* Growth of the limit per window, but at least one slot. */
#define GROWTH_SHARE 0.05
/* A window is limit-bound when this share of the limit was in use. */
#define BOUND_SHARE 0.8
#define BASE_FALL_WEIGHT 0.2
/* Not applied to limit-bound windows: in these only a probe raises the base
 * latency, which would otherwise come to include queueing in the upstream. */
#define BASE_RISE_WEIGHT 0.01

static double
limit_min (const struct eel_admission *admission)
{
  uint32_t min = admission->config.limit_min;

  return min > 0 ? min : 1;
}

static void
set_limit (struct eel_admission *admission, double limit)
{
  if (limit > admission->config.slots)
    limit = admission->config.slots;
  if (limit < limit_min (admission))
    limit = limit_min (admission);
  admission->limit = limit;
}

static void
start_window (struct eel_admission *admission, int64_t now_us)
{
  admission->window_started_us = now_us;
  admission->window_samples = 0;
  admission->window_log_sum = 0;
  admission->window_in_flight_max = admission->in_flight;
}

/* The limit starts at the slots, its upper bound; probes correct it. */
void
eel_limit_init (struct eel_admission *admission, int64_t now_us)
{
  set_limit (admission, admission->config.slots);
  start_window (admission, now_us);
}

/*
 * Lowers the limit for one window.  Work started in it shows whether latency
 * depends on this node's concurrency (the upstream queues, so the lower limit
 * is kept) or not (service times have risen, so each slot is still needed).
 */
static void
start_probe (struct eel_admission *admission, int64_t now_us)
{
  struct eel_limit_probe *probe = &admission->probe;

  probe->active = 1;
  probe->limit_before = admission->limit;
  probe->latency_before_us = admission->short_latency_us;
  probe->started_us = now_us;
  set_limit (admission, admission->limit * PROBE_FACTOR);
}

static void
finish_probe (struct eel_admission *admission, int limit_bound, int64_t now_us)
{
  struct eel_limit_probe *probe = &admission->probe;
  double cut = 1 - admission->limit / probe->limit_before;
  double fall = 1 - admission->short_latency_us / probe->latency_before_us;

  probe->active = 0;
  if (limit_bound && fall > cut * PROBE_LATENCY_DROP_SHARE)
    return;
  set_limit (admission, probe->limit_before);
  if (!limit_bound)
    return;
  admission->base_latency_us = admission->short_latency_us;
  probe->next_us = now_us + PROBE_INTERVAL_US;
}

static void
update_base_latency (struct eel_admission *admission, int limit_bound)
{
  double gap = admission->short_latency_us - admission->base_latency_us;

  if (admission->base_latency_us <= 0)
    admission->base_latency_us = admission->short_latency_us;
  else
    admission->base_latency_us += gap
                                  * (gap < 0       ? BASE_FALL_WEIGHT
                                     : limit_bound ? 0
                                                   : BASE_RISE_WEIGHT);
}

static void
finish_window (struct eel_admission *admission, int64_t now_us)
{
  int limit_bound
      = admission->window_in_flight_max >= admission->limit * BOUND_SHARE;
  double growth = admission->limit * GROWTH_SHARE;

  admission->short_latency_us
      = exp (admission->window_log_sum / admission->window_samples);
  if (admission->probe.active)
    finish_probe (admission, limit_bound, now_us);
  else
    update_base_latency (admission, limit_bound);
  /* The limit also grows while it is not reached: refusals and probes lower it
     again when it is too high. */
  if (admission->short_latency_us
      <= admission->base_latency_us * LATENCY_TOLERANCE_FACTOR)
    set_limit (admission, admission->limit + (growth > 1 ? growth : 1));
  else if (limit_bound && now_us >= admission->probe.next_us
           && admission->limit > limit_min (admission))
    start_probe (admission, now_us);
  start_window (admission, now_us);
}

/* An upstream that refuses has fewer slots than configured. */
static void
decrease_on_refusal (struct eel_admission *admission, int64_t now_us)
{
  double reached = (double)admission->in_flight + 1;

  if (now_us - admission->probe.decreased_us < WINDOW_MIN_US)
    return;
  admission->probe.decreased_us = now_us;
  admission->probe.active = 0;
  if (reached > admission->limit)
    reached = admission->limit;
  set_limit (admission, reached * REFUSED_FACTOR);
  start_window (admission, now_us);
}

static uint32_t
window_samples (const struct eel_admission *admission)
{
  double samples = admission->limit * WINDOW_SAMPLES_PER_SLOT;

  if (samples < WINDOW_SAMPLES_MIN)
    return WINDOW_SAMPLES_MIN;
  return samples < WINDOW_SAMPLES_MAX ? (uint32_t)samples : WINDOW_SAMPLES_MAX;
}

/*
 * Updates the limit when work completes; in_flight no longer counts it.  Long
 * work is left out, because a change of its share would look like a change of
 * latency.  Latencies are averaged geometrically, because an arithmetic mean
 * would follow the share of long work that is not yet classified as long.
 */
void
eel_limit_done (struct eel_admission *admission,
                const struct eel_work_item *work,
                enum eel_work_result result,
                int64_t now_us)
{
  if (result == EEL_WORK_REFUSED)
    decrease_on_refusal (admission, now_us);
  if (work->is_long || (result != EEL_WORK_OK && result != EEL_WORK_TIMED_OUT))
    return;
  if (admission->probe.active && work->started_us < admission->probe.started_us)
    return;
  admission->window_log_sum += log ((double)(now_us - work->started_us) + 1);
  admission->window_samples++;
  if (admission->window_samples >= window_samples (admission)
      && now_us - admission->window_started_us >= WINDOW_MIN_US)
    finish_window (admission, now_us);
}
