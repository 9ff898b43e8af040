#include "eelgrasslatch/entry_gate.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "eelgrasslatch/types.h"

/* Pressure up to which the least important rank is not refused. */
#define LAST_RANK_PRESSURE_MILLI 300.0
/* Factor of that bound for each more important rank. */
#define RANK_PRESSURE_FACTOR 2.5
/* Rise of the refused share per second at twice the allowed pressure. */
#define RISE_GAIN_PER_S 0.5
/* Upper bound of the relative excess pressure, which bounds the rise. */
#define EXCESS_MAX 3.0
/* Fall of the refused share per second without pressure; a higher gain, so that
 * admission recovers soon. */
#define FALL_GAIN_PER_S 1.0
/* A part of the requests always passes, because only answers carry the
 * pressure. */
#define REFUSED_SHARE_MAX 0.95
/* Time constant of the pressure. */
#define PRESSURE_WINDOW_US (150.0 * 1000.0)
/* Without a minimum, simultaneous samples would have no weight. */
#define SAMPLE_WEIGHT_MIN 0.05
/* Age of the last report at which the pressure expires. */
#define PRESSURE_EXPIRY_US (600 * EEL_US_PER_MS)
/* A route with a lower share of misses is not refused for pressure. */
#define MISS_SHARE_MIN 0.03
/* Time constant of that share, and age at which it expires. */
#define MISS_WINDOW_US (500.0 * 1000.0)
#define MISS_EXPIRY_US (1 * EEL_US_PER_S)
/* Estimates below this are noise. */
#define CALLS_PER_RUN_MIN 0.3

void
eel_entry_gate_init (struct eel_entry_gate *gate)
{
  memset (gate, 0, sizeof *gate);
}

static const struct eel_entry_gate_route *
find_route (const struct eel_entry_gate *gate, uint64_t route)
{
  for (uint32_t i = 0; i < gate->count; i++)
    if (gate->routes[i].route == route)
      return &gate->routes[i];
  return NULL;
}

/* Returns the state of a route; a new one evicts the least recently used. */
static struct eel_entry_gate_route *
find_or_add (struct eel_entry_gate *gate, uint64_t route, int64_t now_us)
{
  struct eel_entry_gate_route *oldest = &gate->routes[0];

  for (uint32_t i = 0; i < gate->count; i++)
    {
      if (gate->routes[i].route == route)
        return &gate->routes[i];
      if (gate->routes[i].updated_us < oldest->updated_us)
        oldest = &gate->routes[i];
    }
  if (gate->count < EEL_ENTRY_GATE_ROUTES_MAX)
    oldest = &gate->routes[gate->count++];
  memset (oldest, 0, sizeof *oldest);
  oldest->route = route;
  oldest->updated_us = now_us;
  oldest->miss_share = 1;
  return oldest;
}

static double
sample_weight (int64_t passed_us, double window_us)
{
  double weight = 1 - exp (-(double)passed_us / window_us);

  return weight < SAMPLE_WEIGHT_MIN ? SAMPLE_WEIGHT_MIN : weight;
}

void
eel_entry_gate_report_pressure (struct eel_entry_gate *gate,
                                uint64_t route,
                                double pressure_milli,
                                int64_t now_us)
{
  struct eel_entry_gate_route *state = find_or_add (gate, route, now_us);
  double weight
      = sample_weight (now_us - state->reported_us, PRESSURE_WINDOW_US);

  state->pressure_milli += weight * (pressure_milli - state->pressure_milli);
  state->reported_us = now_us;
}

double
eel_entry_gate_pressure (const struct eel_entry_gate *gate,
                         uint64_t route,
                         int64_t now_us)
{
  const struct eel_entry_gate_route *state = find_route (gate, route);

  if (state == NULL || now_us - state->reported_us > PRESSURE_EXPIRY_US)
    return 0;
  return state->pressure_milli;
}

double
eel_entry_gate_refused_share (const struct eel_entry_gate *gate, uint64_t route)
{
  const struct eel_entry_gate_route *state = find_route (gate, route);

  return state == NULL ? 0 : state->refused_share;
}

/* Skips run_route itself and routes whose call estimate may be noise. */
double
eel_entry_gate_downstream_pressure (const struct eel_entry_gate *gate,
                                    const struct eel_call_costs *costs,
                                    uint64_t run_route,
                                    int64_t now_us)
{
  double greatest = 0;

  for (uint32_t i = 0; i < gate->count; i++)
    {
      uint64_t route = gate->routes[i].route;
      double pressure = eel_entry_gate_pressure (gate, route, now_us);

      if (route != run_route && pressure > greatest
          && eel_call_costs_per_run (costs, run_route, route)
                 > CALLS_PER_RUN_MIN)
        greatest = pressure;
    }
  return greatest;
}

void
eel_entry_gate_report_outcome (struct eel_entry_gate *gate,
                               uint64_t route,
                               int missed,
                               int64_t now_us)
{
  struct eel_entry_gate_route *state = find_or_add (gate, route, now_us);
  double weight = sample_weight (now_us - state->outcome_us, MISS_WINDOW_US);

  state->miss_share += weight * ((missed ? 1 : 0) - state->miss_share);
  state->outcome_us = now_us;
}

/* Without recent outcomes a route counts as missing its targets. */
static int
misses_targets (const struct eel_entry_gate_route *state, int64_t now_us)
{
  return state->miss_share > MISS_SHARE_MIN
         || now_us - state->outcome_us > MISS_EXPIRY_US;
}

static double
allowed_milli (const struct eel_entry_gate *gate, uint8_t rank)
{
  int steps = gate->last_rank > rank ? gate->last_rank - rank : 0;

  return LAST_RANK_PRESSURE_MILLI
         * pow (RANK_PRESSURE_FACTOR, steps < 8 ? steps : 8);
}

/*
 * Integral control: moves the refused share until the pressure settles at the
 * bound of the rank.
 */
static void
update_refused_share (struct eel_entry_gate *gate,
                      struct eel_entry_gate_route *state,
                      uint8_t rank,
                      int64_t now_us)
{
  double pressure = misses_targets (state, now_us)
                        ? eel_entry_gate_pressure (gate, state->route, now_us)
                        : 0;
  double excess = pressure / allowed_milli (gate, rank) - 1;
  double passed_s = (double)(now_us - state->updated_us) / EEL_US_PER_S;

  if (passed_s > 1)
    passed_s = 1;
  if (excess > EXCESS_MAX)
    excess = EXCESS_MAX;
  state->refused_share
      += (excess < 0 ? FALL_GAIN_PER_S : RISE_GAIN_PER_S) * excess * passed_s;
  if (state->refused_share < 0)
    state->refused_share = 0;
  if (state->refused_share > REFUSED_SHARE_MAX)
    state->refused_share = REFUSED_SHARE_MAX;
  state->updated_us = now_us;
}

int
eel_entry_gate_admit (struct eel_entry_gate *gate,
                      uint64_t route,
                      uint8_t rank,
                      int64_t now_us,
                      struct eel_rng *rng)
{
  struct eel_entry_gate_route *state = find_or_add (gate, route, now_us);

  update_refused_share (gate, state, rank, now_us);
  return state->refused_share <= 0
         || eel_rng_unit (rng) >= state->refused_share;
}
