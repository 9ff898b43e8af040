#include "internal/routing.h"

/*
 * Bad score, that is bad replies less good ones, at which an endpoint is
 * ejected.  With 5% long calls, 5 in a row come by chance about once a minute
 * at 8,000 calls/s.  Such an ejection is harmless while the peers have room and
 * overloads them otherwise, so the threshold is higher when they are busy.
 */
#define EJECT_SCORE 5
#define EJECT_SCORE_BUSY 8
#define BUSY_UTILIZATION 0.5
/* Good trials, less bad ones, after which an ejection ends. */
#define RETURN_SCORE 3
/* Good replies of the peers, and their ratio to bad ones, that show that the
 * fault is in this endpoint and not in a dependency of all of them. */
#define PEERS_GOOD_MIN 4
#define PEERS_GOOD_RATIO 3
/* Calls in flight from which on an endpoint can count as stalled. */
#define STALLED_IN_FLIGHT_MIN 3
/* Lower bound of the peer median: differences below this are jitter. */
#define LATENCY_FLOOR_US 1000.0

/* Returns 1 while one more endpoint may be ejected; the last one never is. */
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
  /* Rounded up, so that 33% of three endpoints is one. */
  most = (usable * routing->config.ejected_max_percent + 99) / 100;
  return ejected < most && ejected + 1 < usable;
}

/* Returns the latency above which a reply is slow, 0 when not known. */
static double
slow_threshold_us (const struct eel_routing *routing,
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
 * Returns the factor by which the endpoint's own queue lengthens a call, so
 * that the endpoint that fills up first does not count as slow.
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
  endpoint->trial_score = 0;
  endpoint->state = EEL_ENDPOINT_EJECTED;
  endpoint->state_since_us = now_us;
  endpoint->ejections++;
  endpoint->bad_score = 0;
  routing->ejections++;
}

static void
evaluate_trial (const struct eel_routing *routing,
                struct eel_endpoint *endpoint,
                int bad,
                int64_t now_us)
{
  if (!bad)
    endpoint->trial_score++;
  else if (endpoint->trial_score > 0)
    endpoint->trial_score--;
  if (endpoint->trial_score < RETURN_SCORE
      || now_us - endpoint->state_since_us < routing->config.ejection_us)
    return;
  endpoint->state = EEL_ENDPOINT_UP;
  endpoint->state_since_us = now_us;
  endpoint->bad_score = 0;
  endpoint->latency_us = eel_routing_peer_median (routing, endpoint);
}

static void
count_reply (struct eel_routing *routing,
             struct eel_endpoint *endpoint,
             uint32_t needed,
             int bad)
{
  routing->good_replies += !bad;
  routing->bad_replies += bad;
  endpoint->good_since_suspect += !bad;
  endpoint->bad_since_suspect += bad;
  if (bad)
    endpoint->bad_score++;
  else if (endpoint->bad_score > 0)
    endpoint->bad_score--;
  if (endpoint->bad_score < needed)
    endpoint->suspected = 0;
  else if (!endpoint->suspected)
    {
      endpoint->suspected = 1;
      endpoint->good_since_suspect = 0;
      endpoint->bad_since_suspect = 0;
      endpoint->total_good_at_suspect = routing->good_replies;
      endpoint->total_bad_at_suspect = routing->bad_replies;
    }
}

/*
 * Returns 1 when the peers have replied well since this endpoint became
 * suspected.  Earlier replies are no evidence: when all endpoints become slow
 * together, the one with the most calls is suspected first.
 */
static int
peers_are_healthy (const struct eel_routing *routing,
                   const struct eel_endpoint *endpoint)
{
  uint64_t good = routing->good_replies - endpoint->total_good_at_suspect
                  - endpoint->good_since_suspect;
  uint64_t bad = routing->bad_replies - endpoint->total_bad_at_suspect
                 - endpoint->bad_since_suspect;

  return good >= PEERS_GOOD_MIN && good >= bad * PEERS_GOOD_RATIO;
}

/* Returns the bad score that ejects, which depends on the peers' load. */
static uint32_t
required_score (const struct eel_routing *routing,
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
      used += eel_routing_utilization (other, now_us);
      others++;
    }
  return used > others * BUSY_UTILIZATION ? EJECT_SCORE_BUSY : EJECT_SCORE;
}

/*
 * Evaluates one reply against the median of the peers: when all are slow, the
 * fault is not in this endpoint.  A shed call is neither good nor bad.
 */
void
eel_routing_evaluate (struct eel_routing *routing,
                      struct eel_endpoint *endpoint,
                      enum eel_reply_kind kind,
                      int64_t latency_us,
                      int64_t now_us)
{
  double slow_us
      = slow_threshold_us (routing, endpoint) * queue_factor (endpoint);
  int bad = kind != EEL_REPLY_OK;

  if (kind == EEL_REPLY_SHED)
    return;
  if (kind == EEL_REPLY_OK)
    bad = slow_us > 0 && (double)latency_us > slow_us;
  if (endpoint->state == EEL_ENDPOINT_EJECTED)
    evaluate_trial (routing, endpoint, bad, now_us);
  if (endpoint->state != EEL_ENDPOINT_UP)
    return;
  count_reply (routing, endpoint, required_score (routing, endpoint, now_us),
               bad);
  if (endpoint->suspected && peers_are_healthy (routing, endpoint))
    eject (routing, endpoint, now_us);
}

/*
 * Returns 1 when an endpoint with calls in flight has not replied for longer
 * than a slow reply takes, so that it is avoided before a late reply counts.
 */
int
eel_routing_is_stalled (const struct eel_routing *routing,
                        const struct eel_endpoint *endpoint,
                        int64_t now_us)
{
  double slow_us;

  if (endpoint->in_flight < STALLED_IN_FLIGHT_MIN)
    return 0;
  slow_us = slow_threshold_us (routing, endpoint);
  return slow_us > 0 && (double)(now_us - endpoint->progress_at_us) > slow_us;
}
