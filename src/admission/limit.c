#include "internal/admission.h"

#include <math.h>

/* A window ends after both.  At 10 slots and 200 ms, 100 samples of a probe
 * cost a fifth of the slots for more than 2 s. */
#define WINDOW_SAMPLES 60
/*
 * Few slots of a slow upstream take long to give 60 samples, and a probe idles
 * slots meanwhile: three rounds of the limit are enough, but at least 20.
 */
#define WINDOW_ROUNDS 3
#define WINDOW_SAMPLES_MIN 20
#define WINDOW_US (100 * EEL_US_PER_MS)
/* Latency above this multiple of the long-term one starts a probe. */
#define TOLERANCE 1.5
/* A probe lowers the limit by this factor. */
#define PROBE_FACTOR 0.8
/* Share of the decrease that latency has to follow to keep it. */
#define PROBE_FOLLOW 0.6
#define PROBE_INTERVAL_US (10 * EEL_US_PER_S)
#define REFUSED_FACTOR 0.9
#define GROWTH 0.05
/* The limit is judged only when this share of it was in use. */
#define BOUND_SHARE 0.8
#define BASE_FALL 0.2
/* While the limit is in use, only a probe may raise the long-term latency:
 * otherwise it would learn the queue inside the upstream as normal. */
#define BASE_RISE 0.01

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

/* Starts at the slots: they bound the upstream, and probes correct it. */
void
eel_limit_init (struct eel_admission *admission, int64_t now_us)
{
  set_limit (admission, admission->config.slots);
  start_window (admission, now_us);
}

/*
 * Lowers the limit for one window.  Work that starts in it shows whether
 * latency depends on our own concurrency (the upstream queues: keep the lower
 * limit) or not (the upstream itself is slower: each slot still counts).
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
finish_probe (struct eel_admission *admission, int bound, int64_t now_us)
{
  struct eel_limit_probe *probe = &admission->probe;
  double cut = 1 - admission->limit / probe->limit_before;
  double fall = 1 - admission->short_latency_us / probe->latency_before_us;

  probe->active = 0;
  if (bound && fall > cut * PROBE_FOLLOW)
    return;
  set_limit (admission, probe->limit_before);
  if (!bound)
    return;
  admission->base_latency_us = admission->short_latency_us;
  probe->next_us = now_us + PROBE_INTERVAL_US;
}

static void
learn_base (struct eel_admission *admission, int bound)
{
  double gap = admission->short_latency_us - admission->base_latency_us;

  if (admission->base_latency_us <= 0)
    admission->base_latency_us = admission->short_latency_us;
  else
    admission->base_latency_us += gap
                                  * (gap < 0 ? BASE_FALL
                                     : bound ? 0
                                             : BASE_RISE);
}

static void
finish_window (struct eel_admission *admission, int64_t now_us)
{
  int bound = admission->window_in_flight_max >= admission->limit * BOUND_SHARE;
  double growth = admission->limit * GROWTH;

  admission->short_latency_us
      = exp (admission->window_log_sum / admission->window_samples);
  if (admission->probe.active)
    finish_probe (admission, bound, now_us);
  else
    learn_base (admission, bound);
  /* Growth needs no load: refusals and probes correct a limit too high. */
  if (admission->short_latency_us <= admission->base_latency_us * TOLERANCE)
    set_limit (admission, admission->limit + (growth > 1 ? growth : 1));
  else if (bound && now_us >= admission->probe.next_us
           && admission->limit > limit_min (admission))
    start_probe (admission, now_us);
  start_window (admission, now_us);
}

/* An upstream that refuses has fewer slots than are set. */
static void
refused (struct eel_admission *admission, int64_t now_us)
{
  double reached = (double)admission->in_flight + 1;

  if (now_us - admission->probe.decreased_us < WINDOW_US)
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
  double samples = admission->limit * WINDOW_ROUNDS;

  if (samples < WINDOW_SAMPLES_MIN)
    return WINDOW_SAMPLES_MIN;
  return samples < WINDOW_SAMPLES ? (uint32_t)samples : WINDOW_SAMPLES;
}

/*
 * Takes the end of a piece of work into account; in_flight no longer counts
 * it.  Long work is left out: its mix would look like a change of latency.
 * Latencies are averaged as logarithms, because a mean would follow the share
 * of long work that is not yet known as long.
 */
void
eel_limit_done (struct eel_admission *admission,
                const struct eel_work_item *work,
                enum eel_work_result result,
                int64_t now_us)
{
  if (result == EEL_WORK_REFUSED)
    refused (admission, now_us);
  if (work->is_long || (result != EEL_WORK_OK && result != EEL_WORK_TIMED_OUT))
    return;
  if (admission->probe.active && work->started_us < admission->probe.started_us)
    return;
  admission->window_log_sum += log ((double)(now_us - work->started_us) + 1);
  admission->window_samples++;
  if (admission->window_samples >= window_samples (admission)
      && now_us - admission->window_started_us >= WINDOW_US)
    finish_window (admission, now_us);
}
