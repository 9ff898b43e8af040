#include "eelgrasslatch/admission.h"

#include <math.h>
#include <string.h>

#include "eelgrasslatch/rng.h"

/*
 * Requests may exceed the accepted ones by these factors: little while many of
 * the admitted fail, and twice as soon as they succeed, so that the throttle
 * opens within about a window after the cause has ended.
 */
#define FACTOR_FAILING 1.1
#define FACTOR_OPENING 2.0
/* Share of admitted requests that fail from which FACTOR_FAILING applies. */
#define FAILING_SHARE 0.1
/* Requests in the window below which nothing is refused. */
#define SLACK 5.0
/* A trickle passes at all times, to see the end of the cause: this share, and
 * at most so many requests of a class in a window, whatever callers resend. */
#define TRICKLE_SHARE 0.02
#define TRICKLE_REQUESTS 4.0
#define RECENT_PART 4
#define PROBES 8

/* Starts with no route known; all arrays belong to the caller. */
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

/* Returns the entry of a route; a new one replaces the least recent. */
static struct eel_throttle_route *
route_get (struct eel_throttle *throttle, uint32_t route_hash, int64_t now_us)
{
  struct eel_throttle_route *oldest
      = &throttle->routes[route_hash % throttle->capacity];
  uint32_t probes = throttle->capacity < PROBES ? throttle->capacity : PROBES;

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
  keep_recent = exp (-windows * RECENT_PART);
  for (int i = 0; i < EEL_CLASS_COUNT; i++)
    {
      route->requests[i] *= keep;
      route->accepts[i] *= keep;
    }
  route->recent_ends *= keep_recent;
  route->recent_overloaded *= keep_recent;
  route->decayed_at_us = now_us;
}

/* Returns how many requests of all classes are too many in the window. */
static double
excess (const struct eel_throttle_route *route)
{
  double share = route->recent_overloaded / (route->recent_ends + 1);
  double factor = FACTOR_OPENING
                  - (FACTOR_OPENING - FACTOR_FAILING) * share / FAILING_SHARE;
  double sum = -SLACK;

  if (factor < FACTOR_FAILING)
    factor = FACTOR_FAILING;
  for (int i = 0; i < EEL_CLASS_COUNT; i++)
    sum += route->requests[i] - factor * route->accepts[i];
  return sum;
}

/* Refuses the excess of a route from the last class upwards. */
int
eel_throttle_admit (struct eel_throttle *throttle,
                    uint32_t route_hash,
                    enum eel_class klass,
                    int64_t now_us,
                    struct eel_rng *rng)
{
  struct eel_throttle_route *route;
  double left;
  double refuse;
  double trickle;

  if (throttle->capacity == 0)
    return 1;
  if (klass >= EEL_CLASS_COUNT)
    klass = EEL_CLASS_BACKGROUND;
  route = route_get (throttle, route_hash, now_us);
  decay (throttle, route, now_us);
  left = excess (route);
  for (int i = EEL_CLASS_COUNT - 1; i > (int)klass; i--)
    left -= route->requests[i];
  refuse = left / (route->requests[klass] + 1);
  trickle = TRICKLE_REQUESTS / (route->requests[klass] + 1);
  if (trickle > TRICKLE_SHARE)
    trickle = TRICKLE_SHARE;
  if (refuse > 1 - trickle)
    refuse = 1 - trickle;
  if (eel_rng_unit (rng) >= refuse)
    return 1;
  route->requests[klass]++;
  throttle->refused[klass]++;
  return 0;
}

/*
 * Counts the end of an admitted request.  Requests are counted when they end,
 * not when they enter: otherwise a surge of slow requests would look like
 * requests that fail.
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
  route->recent_ends++;
  if (overloaded)
    route->recent_overloaded++;
  else
    route->accepts[klass]++;
}
