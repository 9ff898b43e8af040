#include "eelgrasslatch/place.h"

#include <stddef.h>
#include <string.h>

/* Reports older than this say little; waves of load last seconds. */
#define USE_LIFE_US (1500 * EEL_US_PER_MS)
/* What is not known is taken as half used. */
#define USE_UNKNOWN_MILLI 500
/* First and longest time that a failing endpoint is avoided. */
#define AVOID_FIRST_US (250 * EEL_US_PER_MS)
#define AVOID_MOST_US (2 * EEL_US_PER_S)
/* A cold endpoint runs work at about half of its speed. */
#define COLD_PERCENT 200
/* Many senders see the same reports: they must not all pick the same one. */
#define NOISE_MILLI 200

/* Weight of one answer in the share of shed requests. */
#define SHED_WEIGHT 0.1
/* An endpoint that sheds more than this share loses its domain's preference. */
#define SHED_RATE_SPILL 0.15
/* A shed request costs as much as an endpoint that is twice as full. */
#define SHED_COST 2000.0

/* Failures in a row after which one request at a time tries an endpoint. */
#define FAILURES_MANY 2

/*
 * True while a request finds out whether a failing endpoint is back.  Once its
 * node has taken that one, others may follow: the answer can take long.
 */
static int
is_being_tried (const struct eel_instance *instance)
{
  return instance->failures >= FAILURES_MANY && instance->unaccepted > 0;
}

static int
was_tried (const struct eel_place_query *query, const char *id)
{
  for (uint32_t i = 0; i < query->tried_count; i++)
    if (strcmp (query->tried[i], id) == 0)
      return 1;
  return 0;
}

/* Expected use of an endpoint's slots, in thousandths of its limit. */
static uint32_t
expected_use (const struct eel_instance *instance, int64_t now_us)
{
  uint32_t slots = instance->slots > 0 ? instance->slots : 1;
  uint32_t own = instance->in_flight * 1000 / slots;
  uint32_t use = USE_UNKNOWN_MILLI;

  if (instance->use_at_us > 0 && now_us - instance->use_at_us < USE_LIFE_US)
    use = instance->use_milli;
  if (own > use)
    use = own;
  if (now_us < instance->cold_until_us)
    use = use * COLD_PERCENT / 100;
  return use;
}

/* Lower is better.  Random noise breaks ties between equal endpoints. */
static uint64_t
cost (const struct eel_instance *instance, int64_t now_us, struct eel_rng *rng)
{
  uint64_t use = expected_use (instance, now_us);
  uint64_t noise = eel_rng_below (rng, NOISE_MILLI);

  if (now_us < instance->avoid_until_us)
    return UINT64_C (1000000) + (uint64_t)(instance->avoid_until_us - now_us);
  if (instance->same_domain && use < EEL_PLACE_SPILL_MILLI
      && instance->shed_rate < SHED_RATE_SPILL)
    return use + noise;
  return 1000 + use + noise + (uint64_t)(SHED_COST * instance->shed_rate);
}

/* Returns the cheapest endpoint that was not tried. */
struct eel_instance *
eel_place_pick (struct eel_directory *directory,
                const struct eel_place_query *query,
                int64_t now_us,
                struct eel_rng *rng)
{
  struct eel_instance *best = NULL;
  uint64_t best_cost = UINT64_MAX;

  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];
      uint64_t instance_cost;

      if (instance->service != query->service || !eel_instance_usable (instance)
          || is_being_tried (instance) || was_tried (query, instance->id))
        continue;
      instance_cost = cost (instance, now_us, rng);
      if (instance_cost < best_cost)
        {
          best_cost = instance_cost;
          best = instance;
        }
    }
  return best;
}

/* Counts a request that is sent. */
void
eel_place_sent (struct eel_instance *instance)
{
  instance->in_flight++;
  instance->unaccepted++;
}

/* Counts an offer that was taken. */
void
eel_place_taken (struct eel_instance *instance)
{
  if (instance->unaccepted > 0)
    instance->unaccepted--;
}

/* Ends the avoidance of an endpoint that answers. */
void
eel_place_answered (struct eel_instance *instance,
                    uint32_t use_milli,
                    int64_t now_us)
{
  instance->use_milli = use_milli;
  instance->use_at_us = now_us;
  instance->failures = 0;
  instance->avoid_until_us = 0;
  instance->shed_rate -= SHED_WEIGHT * instance->shed_rate;
}

/* The endpoint has refused a request that its node had sent. */
void
eel_place_shed (struct eel_instance *instance)
{
  /* The answer itself has been counted as one that was not shed. */
  instance->shed_rate += SHED_WEIGHT;
}

/* Avoids an endpoint for longer with each failure in a row. */
void
eel_place_failed (struct eel_instance *instance, int64_t now_us)
{
  int64_t avoid_us = AVOID_FIRST_US
                     << (instance->failures < 8 ? instance->failures : 8);

  instance->failures++;
  if (avoid_us > AVOID_MOST_US)
    avoid_us = AVOID_MOST_US;
  instance->avoid_until_us = now_us + avoid_us;
}

/* Ends a request. */
void
eel_place_done (struct eel_instance *instance, int taken)
{
  if (instance->in_flight > 0)
    instance->in_flight--;
  if (!taken)
    eel_place_taken (instance);
}
