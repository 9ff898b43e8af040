#include "eelgrasslatch/admission.h"

#include <math.h>
#include <string.h>

#include "eelgrasslatch/rng.h"

/*
 * Allowed ratio of requests to accepted ones: low while many admitted requests
 * fail, and two as soon as they succeed, so that the throttle opens within
 * about a window after the overload has ended.
 */
#define FACTOR_FAILING 1.1
#define FACTOR_OPENING 2.0
/* Share of admitted requests that fail from which FACTOR_FAILING applies. */
#define FAILING_SHARE 0.1
/* Excess requests per window that are tolerated. */
#define SLACK_REQUESTS 5.0
/* Some requests are always admitted, to detect the end of an overload: this
 * share, and at most so many of a class per window, however often callers
 * resend. */
#define ADMIT_MIN_SHARE 0.02
#define ADMIT_MIN_REQUESTS 4.0
/* The recent counts decay this many times as fast as the window. */
#define RECENT_DECAY_FACTOR 4
#define HASH_PROBES_MAX 8

/* The caller keeps ownership of the routes array. */
void
eel_throttle_init (struct eel_throttle *throttle,
                   struct eel_throttle_route *routes,
                   uint32_t capacity,
                   int64_t window_us)
{
  memset (throttle, 0, sizeof *throttle);
  memset (routes, 0, capacity * sizeof *routes);
  throttle->routes = routes;
  throttle->capacity = capacity;
  throttle->window_us = window_us > 0 ? window_us : EEL_US_PER_S;
}

/* Returns the entry of a route; a new one evicts the least recently used. */
static struct eel_throttle_route *
route_get (struct eel_throttle *throttle, uint32_t route_hash, int64_t now_us)
{
  struct eel_throttle_route *oldest
      = &throttle->routes[route_hash % throttle->capacity];
  uint32_t probes = throttle->capacity < HASH_PROBES_MAX ? throttle->capacity
                                                         : HASH_PROBES_MAX;

  for (uint32_t i = 0; i < probes; i++)
    {
      struct eel_throttle_route *route
          = &throttle->routes[(route_hash + i) % throttle->capacity];

      if (route->route_hash == route_hash)
        return route;
      if (route->decayed_at_us < oldest->decayed_at_us)
        oldest = route;
    }
  memset (oldest, 0, sizeof *oldest);
  oldest->route_hash = route_hash;
  oldest->decayed_at_us = now_us;
  return oldest;
}

static void
decay (const struct eel_throttle *throttle,
       struct eel_throttle_route *route,
       int64_t now_us)
{
  double windows
      = (double)(now_us - route->decayed_at_us) / (double)throttle->window_us;
  double keep;
  double keep_recent;

  if (windows <= 0)
    return;
  keep = exp (-windows);
  keep_recent = exp (-windows * RECENT_DECAY_FACTOR);
  for (int i = 0; i < EEL_CLASS_COUNT; i++)
    {
      route->requests[i] *= keep;
      route->accepts[i] *= keep;
    }
  route->recent_outcomes *= keep_recent;
  route->recent_overloaded *= keep_recent;
  route->decayed_at_us = now_us;
}

/* Returns by how many requests, over all classes, the window exceeds what is
 * allowed. */
static double
excess (const struct eel_throttle_route *route)
{
  double share = route->recent_overloaded / (route->recent_outcomes + 1);
  double factor = FACTOR_OPENING
                  - (FACTOR_OPENING - FACTOR_FAILING) * share / FAILING_SHARE;
  double sum = -SLACK_REQUESTS;

  if (factor < FACTOR_FAILING)
    factor = FACTOR_FAILING;
  for (int i = 0; i < EEL_CLASS_COUNT; i++)
    sum += route->requests[i] - factor * route->accepts[i];
  return sum;
}

/* Refuses the excess of a route, the least important class first. */
int
eel_throttle_admit (struct eel_throttle *throttle,
                    uint32_t route_hash,
                    enum eel_class klass,
                    int64_t now_us,
                    struct eel_rng *rng)
{
  struct eel_throttle_route *route;
  double remaining;
  double refuse;
  double admit_min;

  if (throttle->capacity == 0)
    return 1;
  if (klass >= EEL_CLASS_COUNT)
    klass = EEL_CLASS_BACKGROUND;
  route = route_get (throttle, route_hash, now_us);
  decay (throttle, route, now_us);
  remaining = excess (route);
  for (int i = EEL_CLASS_COUNT - 1; i > (int)klass; i--)
    remaining -= route->requests[i];
  refuse = remaining / (route->requests[klass] + 1);
  admit_min = ADMIT_MIN_REQUESTS / (route->requests[klass] + 1);
  if (admit_min > ADMIT_MIN_SHARE)
    admit_min = ADMIT_MIN_SHARE;
  if (refuse > 1 - admit_min)
    refuse = 1 - admit_min;
  if (eel_rng_unit (rng) >= refuse)
    return 1;
  route->requests[klass]++;
  throttle->refused[klass]++;
  return 0;
}

/*
 * Requests are counted on completion, not on admission: otherwise a surge of
 * slow requests would look like failures.
 */
void
eel_throttle_report_outcome (struct eel_throttle *throttle,
                             uint32_t route_hash,
                             enum eel_class klass,
                             int overloaded,
                             int64_t now_us)
{
  struct eel_throttle_route *route;

  if (throttle->capacity == 0)
    return;
  if (klass >= EEL_CLASS_COUNT)
    klass = EEL_CLASS_BACKGROUND;
  route = route_get (throttle, route_hash, now_us);
  decay (throttle, route, now_us);
  route->requests[klass]++;
  route->recent_outcomes++;
  if (overloaded)
    route->recent_overloaded++;
  else
    route->accepts[klass]++;
}
