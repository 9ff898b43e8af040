#include "internal/routing.h"

/* A load older than this says nothing. */
#define LOAD_LIFE_US EEL_US_PER_S
/* A refusal of a class is believed for so long. */
#define SHED_LIFE_US (100 * EEL_US_PER_MS)
/* Weight at the start of a cold-start ramp. */
#define RAMP_START 0.1
/* Orders try an endpoint that fails only without other trials for so long;
 * one that is only slow still runs them. */
#define FAILING_RATE 0.1
#define ORDER_TRIAL_US (5 * EEL_US_PER_S)
#define CANDIDATES_MAX 64
/* Bad replies from which on other failure domains are tried as well. */
#define SUSPECT_REPLIES 2
/* Latencies count only when they differ by this factor, and while fresh: an
 * endpoint that lost by an old latency would never get another call. */
#define LATENCY_FACTOR 1.5
#define LATENCY_LIFE_US (200 * EEL_US_PER_MS)

struct choice
{
  const uint32_t *excluded;
  size_t excluded_count;
  enum eel_class klass;
  int64_t now_us;
  /* Filters that are dropped when they leave no candidate. */
  int strict;
};

/* Returns the share of the endpoint's limit that is in use. */
double
eel_routing_use (const struct eel_endpoint *endpoint, int64_t now_us)
{
  double limit = endpoint->load.limit;
  double busy = endpoint->in_flight;

  if (limit <= 0)
    return 0;
  if (now_us - endpoint->load_at_us < LOAD_LIFE_US)
    {
      double there = (double)endpoint->load.in_flight + endpoint->load.queued;

      busy = there > busy ? there : busy;
    }
  return busy / limit;
}

static int
excluded (const struct choice *choice, uint32_t node)
{
  for (size_t i = 0; i < choice->excluded_count; i++)
    if (choice->excluded[i] == node)
      return 1;
  return 0;
}

/* Returns 1 with the probability that the cold-start ramp gives. */
static int
ramp_allows (const struct eel_routing *routing,
             const struct eel_endpoint *endpoint,
             int64_t now_us,
             struct eel_rng *rng)
{
  int64_t since_us = endpoint->state_since_us > endpoint->added_us
                         ? endpoint->state_since_us
                         : endpoint->added_us;
  double part;

  if (routing->config.ramp_us <= 0
      || now_us - since_us >= routing->config.ramp_us)
    return 1;
  part = (double)(now_us - since_us) / (double)routing->config.ramp_us;
  return eel_rng_unit (rng) < RAMP_START + (1 - RAMP_START) * part;
}

static int
sheds (const struct eel_endpoint *endpoint, const struct choice *choice)
{
  return choice->klass >= endpoint->load.shed_class
         && choice->now_us - endpoint->load_at_us < SHED_LIFE_US;
}

static int
is_candidate (const struct eel_routing *routing,
              const struct eel_endpoint *endpoint,
              const struct choice *choice,
              struct eel_rng *rng)
{
  if (endpoint->state != EEL_ENDPOINT_UP || endpoint->load.draining
      || excluded (choice, endpoint->node))
    return 0;
  if (!choice->strict)
    return 1;
  return !sheds (endpoint, choice)
         && !eel_routing_silent (routing, endpoint, choice->now_us)
         && ramp_allows (routing, endpoint, choice->now_us, rng);
}

/*
 * Collects candidates of the own failure domain, and of the others when those
 * are used above the spill share.
 */
static uint32_t
collect (const struct eel_routing *routing,
         const struct choice *choice,
         struct eel_rng *rng,
         uint32_t *out)
{
  double spill = routing->config.spill_percent / 100.0;
  uint32_t other[CANDIDATES_MAX];
  uint32_t others = 0;
  uint32_t count = 0;
  uint32_t cool = 0;

  for (uint32_t i = 0; i < routing->count; i++)
    {
      const struct eel_endpoint *endpoint = &routing->endpoints[i];

      if (!is_candidate (routing, endpoint, choice, rng))
        continue;
      if (!endpoint->same_domain)
        {
          if (others < CANDIDATES_MAX)
            other[others++] = i;
        }
      else if (count < CANDIDATES_MAX)
        {
          out[count++] = i;
          cool += eel_routing_use (endpoint, choice->now_us) < spill
                  && endpoint->consecutive_bad < SUSPECT_REPLIES;
        }
    }
  if (cool > 0)
    return count;
  for (uint32_t i = 0; i < others && count < CANDIDATES_MAX; i++)
    out[count++] = other[i];
  return count;
}

static int
latency_known (const struct eel_endpoint *endpoint, int64_t now_us)
{
  return endpoint->latency_us > 0
         && now_us - endpoint->progress_at_us < LATENCY_LIFE_US;
}

/*
 * Hot-cold rule: of two endpoints below the spill share, the one that replies
 * clearly faster; otherwise the less used one.
 */
static int
better (const struct eel_routing *routing,
        const struct eel_endpoint *a,
        const struct eel_endpoint *b,
        int64_t now_us)
{
  double spill = routing->config.spill_percent / 100.0;
  double use_a = eel_routing_use (a, now_us);
  double use_b = eel_routing_use (b, now_us);

  if (use_a < spill && use_b < spill && latency_known (a, now_us)
      && latency_known (b, now_us))
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

static struct eel_endpoint *
two_choices (struct eel_routing *routing,
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
  return better (routing, b, a, now_us) ? b : a;
}

/*
 * Returns an ejected endpoint that is due for a trial.  Orders run at most
 * once, so they try one that fails only when nothing else does.
 */
static struct eel_endpoint *
trial (struct eel_routing *routing, const struct choice *choice)
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
          || excluded (choice, endpoint->node))
        continue;
      if (choice->klass == EEL_CLASS_CRITICAL
          && endpoint->failure_rate > FAILING_RATE
          && choice->now_us - last_us < ORDER_TRIAL_US)
        continue;
      endpoint->last_trial_us = choice->now_us;
      return endpoint;
    }
  return NULL;
}

/* Returns the ejected endpoint with the fewest calls in flight, or NULL. */
static struct eel_endpoint *
last_resort (struct eel_routing *routing, const struct choice *choice)
{
  struct eel_endpoint *best = NULL;

  for (uint32_t i = 0; i < routing->count; i++)
    {
      struct eel_endpoint *endpoint = &routing->endpoints[i];

      if (endpoint->state == EEL_ENDPOINT_EJECTED && !endpoint->load.draining
          && !excluded (choice, endpoint->node)
          && (best == NULL || endpoint->in_flight < best->in_flight))
        best = endpoint;
    }
  return best;
}

/* Picks an endpoint; NULL when none may take the work. */
struct eel_endpoint *
eel_routing_pick (struct eel_routing *routing,
                  enum eel_class klass,
                  const uint32_t *excluded_nodes,
                  size_t excluded_count,
                  int64_t now_us,
                  struct eel_rng *rng)
{
  struct choice choice = { excluded_nodes, excluded_count, klass, now_us, 1 };
  uint32_t candidates[CANDIDATES_MAX];
  struct eel_endpoint *endpoint;
  uint32_t count;

  routing->picks++;
  routing->hedge_tokens += routing->config.hedge_share_permille / 1000.0;
  endpoint = trial (routing, &choice);
  if (endpoint != NULL)
    return endpoint;
  count = collect (routing, &choice, rng, candidates);
  if (count == 0)
    {
      choice.strict = 0;
      count = collect (routing, &choice, rng, candidates);
    }
  if (count == 0)
    return last_resort (routing, &choice);
  return two_choices (routing, candidates, count, now_us, rng);
}
