#include "internal/routing.h"

/*
 * Bad replies, less good ones, after which an endpoint is ejected.  With 5%
 * long calls, 5 in a row come by chance about once a minute at 8,000 calls/s.
 * That is harmless while the others have room, and an overload otherwise, so
 * that busy peers need more replies as proof.
 */
#define BAD_REPLIES 5
#define BAD_REPLIES_BUSY 8
#define BUSY_USE 0.5
/* Good trials, less bad ones, after which it is back. */
#define GOOD_TRIALS 3
/* Good replies of the others, and their excess over bad ones, that show that
 * the cause is at this endpoint and not behind all of them. */
#define OTHERS_GOOD_MIN 4
#define OTHERS_GOOD_FACTOR 3
/* Calls in flight that make a silence count. */
#define SILENT_IN_FLIGHT 3
/* Latencies below this are equal: jitter is not slowness. */
#define LATENCY_FLOOR_US 1000.0

/* Returns 1 while one more endpoint may be ejected; never the last one. */
int
eel_routing_may_eject (const struct eel_routing *routing)
{
  uint32_t ejected = 0;
  uint32_t usable = 0;
  uint32_t most;

  for (uint32_t i = 0; i < routing->count; i++)
    {
      uint8_t state = routing->endpoints[i].state;

      ejected += state == EEL_ENDPOINT_EJECTED;
      usable += state == EEL_ENDPOINT_EJECTED || state == EEL_ENDPOINT_UP;
    }
  /* Rounded up: a third of three endpoints is one. */
  most = (usable * routing->config.ejected_max_percent + 99) / 100;
  return ejected < most && ejected + 1 < usable;
}

static double
slow_above_us (const struct eel_routing *routing,
               const struct eel_endpoint *endpoint)
{
  double median = eel_routing_peer_median (routing, endpoint);

  if (median <= 0 || routing->config.straggler_factor == 0)
    return 0;
  if (median < LATENCY_FLOOR_US)
    median = LATENCY_FLOOR_US;
  return median * routing->config.straggler_factor;
}

/*
 * Returns how much longer a call takes by the endpoint's own queue.  The
 * endpoint that is full first must not look slow for that.
 */
static double
queue_factor (const struct eel_endpoint *endpoint)
{
  if (endpoint->load.limit == 0)
    return 1;
  return 1 + (double)endpoint->load.queued / endpoint->load.limit;
}

static void
eject (struct eel_routing *routing,
       struct eel_endpoint *endpoint,
       int64_t now_us)
{
  if (!eel_routing_may_eject (routing))
    return;
  endpoint->consecutive_good = 0;
  endpoint->state = EEL_ENDPOINT_EJECTED;
  endpoint->state_since_us = now_us;
  endpoint->ejections++;
  endpoint->consecutive_bad = 0;
  routing->ejections++;
}

static void
judge_trial (const struct eel_routing *routing,
             struct eel_endpoint *endpoint,
             int bad,
             int64_t now_us)
{
  if (!bad)
    endpoint->consecutive_good++;
  else if (endpoint->consecutive_good > 0)
    endpoint->consecutive_good--;
  if (endpoint->consecutive_good < GOOD_TRIALS
      || now_us - endpoint->state_since_us < routing->config.ejection_us)
    return;
  endpoint->state = EEL_ENDPOINT_UP;
  endpoint->state_since_us = now_us;
  endpoint->consecutive_bad = 0;
  endpoint->latency_us = eel_routing_peer_median (routing, endpoint);
}

static void
count (struct eel_routing *routing,
       struct eel_endpoint *endpoint,
       uint32_t needed,
       int bad)
{
  routing->good_replies += !bad;
  routing->bad_replies += bad;
  endpoint->good_since += !bad;
  endpoint->bad_since += bad;
  if (bad)
    endpoint->consecutive_bad++;
  else if (endpoint->consecutive_bad > 0)
    endpoint->consecutive_bad--;
  if (endpoint->consecutive_bad < needed)
    endpoint->suspected = 0;
  else if (!endpoint->suspected)
    {
      endpoint->suspected = 1;
      endpoint->good_since = 0;
      endpoint->bad_since = 0;
      endpoint->all_good_then = routing->good_replies;
      endpoint->all_bad_then = routing->bad_replies;
    }
}

/*
 * Returns 1 when the others replied well since this endpoint is suspected.
 * Earlier replies prove nothing: when all turn slow together, the endpoint
 * with the most calls is suspected first.
 */
static int
others_are_good (const struct eel_routing *routing,
                 const struct eel_endpoint *endpoint)
{
  uint64_t good
      = routing->good_replies - endpoint->all_good_then - endpoint->good_since;
  uint64_t bad
      = routing->bad_replies - endpoint->all_bad_then - endpoint->bad_since;

  return good >= OTHERS_GOOD_MIN && good >= bad * OTHERS_GOOD_FACTOR;
}

/* Returns the proof that an ejection needs, by the use of the others. */
static uint32_t
bad_replies_needed (const struct eel_routing *routing,
                    const struct eel_endpoint *endpoint,
                    int64_t now_us)
{
  double used = 0;
  uint32_t others = 0;

  for (uint32_t i = 0; i < routing->count; i++)
    {
      const struct eel_endpoint *other = &routing->endpoints[i];

      if (other == endpoint || other->state != EEL_ENDPOINT_UP)
        continue;
      used += eel_routing_use (other, now_us);
      others++;
    }
  return used > others * BUSY_USE ? BAD_REPLIES_BUSY : BAD_REPLIES;
}

/*
 * Judges an endpoint by one reply, against the median of its peers: when all
 * are slow, the cause is not this endpoint.  A refusal for overload is not
 * bad.
 */
void
eel_routing_judge (struct eel_routing *routing,
                   struct eel_endpoint *endpoint,
                   enum eel_reply_kind kind,
                   int64_t latency_us,
                   int64_t now_us)
{
  double slow_us = slow_above_us (routing, endpoint) * queue_factor (endpoint);
  int bad = kind != EEL_REPLY_OK;

  if (kind == EEL_REPLY_SHED)
    return;
  if (kind == EEL_REPLY_OK)
    bad = slow_us > 0 && (double)latency_us > slow_us;
  if (endpoint->state == EEL_ENDPOINT_EJECTED)
    judge_trial (routing, endpoint, bad, now_us);
  if (endpoint->state != EEL_ENDPOINT_UP)
    return;
  count (routing, endpoint, bad_replies_needed (routing, endpoint, now_us),
         bad);
  if (endpoint->suspected && others_are_good (routing, endpoint))
    eject (routing, endpoint, now_us);
}

/*
 * Returns 1 for an endpoint with calls in flight that has not replied for
 * longer than a slow reply takes: it is avoided before its replies are late.
 */
int
eel_routing_silent (const struct eel_routing *routing,
                    const struct eel_endpoint *endpoint,
                    int64_t now_us)
{
  double slow_us;

  if (endpoint->in_flight < SILENT_IN_FLIGHT)
    return 0;
  slow_us = slow_above_us (routing, endpoint);
  return slow_us > 0 && (double)(now_us - endpoint->progress_at_us) > slow_us;
}
