#include "internal/routing.h"

/* Age above which a reported load is ignored. */
#define LOAD_LIFE_US EEL_US_PER_S
/* Time for which a reported shed class is honoured. */
#define SHED_LIFE_US (100 * EEL_US_PER_MS)
/* Weight at the start of a cold-start ramp. */
#define RAMP_START 0.1
/* An ejected endpoint above this failure rate gets a critical call as a trial
 * only when it has had no trial for CRITICAL_TRIAL_INTERVAL_US; one that is
 * only slow gets them at the normal rate. */
#define FAILING_RATE 0.1
#define CRITICAL_TRIAL_INTERVAL_US (5 * EEL_US_PER_S)
#define CANDIDATES_MAX 64
/* Other failure domains are used when each endpoint of the own one has at least
 * this bad score or is above the spill share. */
#define SPILL_SCORE 2
/* Latencies are compared only when they differ by this factor, and while they
 * are fresh: an endpoint rejected for an old latency would get no further call
 * and so no newer latency. */
#define LATENCY_FACTOR 1.5
#define LATENCY_LIFE_US (200 * EEL_US_PER_MS)

struct pick_query
{
  const uint32_t *excluded;
  size_t excluded_count;
  enum eel_class klass;
  int64_t now_us;
  /* Nonzero applies the filters that are dropped when no candidate passes. */
  int strict;
};

/*
 * Returns the share of the endpoint's limit that is in use, 0 when the limit is
 * unknown.
 */
double
eel_routing_utilization (const struct eel_endpoint *endpoint, int64_t now_us)
{
  double limit = endpoint->load.limit;
  double busy = endpoint->in_flight;

  if (limit <= 0)
    return 0;
  if (now_us - endpoint->load_at_us < LOAD_LIFE_US)
    {
      double reported
          = (double)endpoint->load.in_flight + endpoint->load.queued;

      busy = reported > busy ? reported : busy;
    }
  return busy / limit;
}

static int
is_excluded (const struct pick_query *query, uint32_t node)
{
  for (size_t i = 0; i < query->excluded_count; i++)
    if (query->excluded[i] == node)
      return 1;
  return 0;
}

/* Returns 1 with a probability that rises to 1 over the cold-start ramp. */
static int
ramp_allows (const struct eel_routing *routing,
             const struct eel_endpoint *endpoint,
             int64_t now_us,
             struct eel_rng *rng)
{
  int64_t since_us = endpoint->state_since_us > endpoint->added_us
                         ? endpoint->state_since_us
                         : endpoint->added_us;
  double fraction;

  if (routing->config.ramp_us <= 0
      || now_us - since_us >= routing->config.ramp_us)
    return 1;
  fraction = (double)(now_us - since_us) / (double)routing->config.ramp_us;
  return eel_rng_unit (rng) < RAMP_START + (1 - RAMP_START) * fraction;
}

static int
is_shedding (const struct eel_endpoint *endpoint,
             const struct pick_query *query)
{
  return query->klass >= endpoint->load.shed_class
         && query->now_us - endpoint->load_at_us < SHED_LIFE_US;
}

static int
is_candidate (const struct eel_routing *routing,
              const struct eel_endpoint *endpoint,
              const struct pick_query *query,
              struct eel_rng *rng)
{
  if (endpoint->state != EEL_ENDPOINT_UP || endpoint->load.draining
      || is_excluded (query, endpoint->node))
    return 0;
  if (!query->strict)
    return 1;
  return !is_shedding (endpoint, query)
         && !eel_routing_is_stalled (routing, endpoint, query->now_us)
         && ramp_allows (routing, endpoint, query->now_us, rng);
}

/*
 * Collects the candidates of the own failure domain, and those of the others
 * when each of the own is above the spill share or has reached SPILL_SCORE.
 */
static uint32_t
collect_candidates (const struct eel_routing *routing,
                    const struct pick_query *query,
                    struct eel_rng *rng,
                    uint32_t *out)
{
  double spill = routing->config.spill_percent / 100.0;
  uint32_t other[CANDIDATES_MAX];
  uint32_t others = 0;
  uint32_t count = 0;
  uint32_t available = 0;

  for (uint32_t i = 0; i < routing->count; i++)
    {
      const struct eel_endpoint *endpoint = &routing->endpoints[i];

      if (!is_candidate (routing, endpoint, query, rng))
        continue;
      if (!endpoint->same_domain)
        {
          if (others < CANDIDATES_MAX)
            other[others++] = i;
        }
      else if (count < CANDIDATES_MAX)
        {
          out[count++] = i;
          available += eel_routing_utilization (endpoint, query->now_us) < spill
                       && endpoint->bad_score < SPILL_SCORE;
        }
    }
  if (available > 0)
    return count;
  for (uint32_t i = 0; i < others && count < CANDIDATES_MAX; i++)
    out[count++] = other[i];
  return count;
}

static int
has_fresh_latency (const struct eel_endpoint *endpoint, int64_t now_us)
{
  return endpoint->latency_us > 0
         && now_us - endpoint->progress_at_us < LATENCY_LIFE_US;
}

/*
 * Hot-cold lexicographic rule: of two endpoints below the spill share prefers
 * the one with the clearly lower latency, otherwise the less utilized one.
 */
static int
is_better (const struct eel_routing *routing,
           const struct eel_endpoint *a,
           const struct eel_endpoint *b,
           int64_t now_us)
{
  double spill = routing->config.spill_percent / 100.0;
  double use_a = eel_routing_utilization (a, now_us);
  double use_b = eel_routing_utilization (b, now_us);

  if (use_a < spill && use_b < spill && has_fresh_latency (a, now_us)
      && has_fresh_latency (b, now_us))
    {
      if (a->latency_us * LATENCY_FACTOR < b->latency_us)
        return 1;
      if (b->latency_us * LATENCY_FACTOR < a->latency_us)
        return 0;
    }
  if (use_a < use_b || use_b < use_a)
    return use_a < use_b;
  return a->in_flight < b->in_flight;
}

/* Picks the better of two random candidates. */
static struct eel_endpoint *
pick_of_two (struct eel_routing *routing,
             const uint32_t *candidates,
             uint32_t count,
             int64_t now_us,
             struct eel_rng *rng)
{
  uint32_t first = eel_rng_below (rng, count);
  uint32_t second = eel_rng_below (rng, count - 1);
  struct eel_endpoint *a = &routing->endpoints[candidates[first]];
  struct eel_endpoint *b;

  if (count == 1)
    return a;
  if (second >= first)
    second++;
  b = &routing->endpoints[candidates[second]];
  return is_better (routing, b, a, now_us) ? b : a;
}

/*
 * Returns an ejected endpoint that is due for a trial.  A critical call runs at
 * most once, so a failing endpoint gets one only after
 * CRITICAL_TRIAL_INTERVAL_US without a trial.
 */
static struct eel_endpoint *
pick_trial (struct eel_routing *routing, const struct pick_query *query)
{
  if (routing->config.trial_interval == 0
      || routing->picks % routing->config.trial_interval != 0)
    return NULL;
  for (uint32_t i = 0; i < routing->count; i++)
    {
      struct eel_endpoint *endpoint = &routing->endpoints[i];
      int64_t last_us = endpoint->last_trial_us > endpoint->state_since_us
                            ? endpoint->last_trial_us
                            : endpoint->state_since_us;

      if (endpoint->state != EEL_ENDPOINT_EJECTED || endpoint->load.draining
          || is_excluded (query, endpoint->node))
        continue;
      if (query->klass == EEL_CLASS_CRITICAL
          && endpoint->failure_rate > FAILING_RATE
          && query->now_us - last_us < CRITICAL_TRIAL_INTERVAL_US)
        continue;
      endpoint->last_trial_us = query->now_us;
      return endpoint;
    }
  return NULL;
}

/* Returns the ejected endpoint with the fewest calls in flight, or NULL. */
static struct eel_endpoint *
pick_ejected (struct eel_routing *routing, const struct pick_query *query)
{
  struct eel_endpoint *best = NULL;

  for (uint32_t i = 0; i < routing->count; i++)
    {
      struct eel_endpoint *endpoint = &routing->endpoints[i];

      if (endpoint->state == EEL_ENDPOINT_EJECTED && !endpoint->load.draining
          && !is_excluded (query, endpoint->node)
          && (best == NULL || endpoint->in_flight < best->in_flight))
        best = endpoint;
    }
  return best;
}

/* Falls back to an ejected endpoint when no other one is left. */
struct eel_endpoint *
eel_routing_pick (struct eel_routing *routing,
                  enum eel_class klass,
                  const uint32_t *excluded,
                  size_t excluded_count,
                  int64_t now_us,
                  struct eel_rng *rng)
{
  struct pick_query query = { excluded, excluded_count, klass, now_us, 1 };
  uint32_t candidates[CANDIDATES_MAX];
  struct eel_endpoint *endpoint;
  uint32_t count;

  routing->picks++;
  routing->hedge_tokens += routing->config.hedge_share_permille / 1000.0;
  endpoint = pick_trial (routing, &query);
  if (endpoint != NULL)
    return endpoint;
  count = collect_candidates (routing, &query, rng, candidates);
  if (count == 0)
    {
      query.strict = 0;
      count = collect_candidates (routing, &query, rng, candidates);
    }
  if (count == 0)
    return pick_ejected (routing, &query);
  return pick_of_two (routing, candidates, count, now_us, rng);
}
