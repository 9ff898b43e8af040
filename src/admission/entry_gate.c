#include "eelgrasslatch/entry_gate.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "eelgrasslatch/types.h"

/* Wait at one service that the least important rank may cause. */
#define LAST_RANK_MILLI 300.0
/* Each more important rank may cause so much more. */
#define RANK_FACTOR 2.5
/* Refused share gained in a second at twice the allowed pressure. */
#define GAIN_PER_S 0.5
/* Change per second at most, in units of the gain. */
#define RISE_MAX 3.0
/* Refused share lost in a second without pressure: open again soon. */
#define FALL_GAIN_PER_S 1.0
/* Some requests always pass, so that the pressure stays known. */
#define REFUSE_MAX 0.95
/* Time constant of the reported pressure, and how long it counts. */
#define PRESSURE_WINDOW_US (150.0 * 1000.0)
#define SAMPLE_WEIGHT_LEAST 0.05
#define PRESSURE_LIFE_US (600 * EEL_US_PER_MS)
/* A route of which less fails or is late doesn't suffer from pressure. */
#define BAD_LEAST 0.03
/* Time constant of that share, and how long it counts. */
#define BAD_WINDOW_US (500.0 * 1000.0)
#define BAD_LIFE_US (1 * EEL_US_PER_S)
/* Fewer calls for each run than this are taken for noise. */
#define CALLS_LEAST 0.3

/* Prepares a gate that admits everything. */
void
eel_entry_gate_init (struct eel_entry_gate *gate)
{
  memset (gate, 0, sizeof *gate);
}

static const struct eel_entry_gate_route *
find (const struct eel_entry_gate *gate, uint64_t route)
{
  for (uint32_t i = 0; i < gate->count; i++)
    if (gate->routes[i].route == route)
      return &gate->routes[i];
  return NULL;
}

/* Returns the state of a route; the one unused for longest gives way. */
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
  oldest->bad_share = 1;
  return oldest;
}

/* Weight of one sample; several at one moment count too. */
static double
sample_weight (int64_t passed_us, double window_us)
{
  double weight = 1 - exp (-(double)passed_us / window_us);

  return weight < SAMPLE_WEIGHT_LEAST ? SAMPLE_WEIGHT_LEAST : weight;
}

/* Adds one report to the smoothed pressure. */
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

/* Returns the smoothed pressure while it is fresh. */
double
eel_entry_gate_pressure (const struct eel_entry_gate *gate,
                         uint64_t route,
                         int64_t now_us)
{
  const struct eel_entry_gate_route *state = find (gate, route);

  if (state == NULL || now_us - state->reported_us > PRESSURE_LIFE_US)
    return 0;
  return state->pressure_milli;
}

/* Returns the refused share of a route. */
double
eel_entry_gate_refused_share (const struct eel_entry_gate *gate, uint64_t route)
{
  const struct eel_entry_gate_route *state = find (gate, route);

  return state == NULL ? 0 : state->refuse;
}

/* Returns the greatest pressure on the routes that a run calls. */
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
          && eel_call_costs_per_run (costs, run_route, route) > CALLS_LEAST)
        greatest = pressure;
    }
  return greatest;
}

/* Adds one outcome to the share of bad ones. */
void
eel_entry_gate_report_outcome (struct eel_entry_gate *gate,
                               uint64_t route,
                               int bad,
                               int64_t now_us)
{
  struct eel_entry_gate_route *state = find_or_add (gate, route, now_us);
  double weight = sample_weight (now_us - state->outcome_us, BAD_WINDOW_US);

  state->bad_share += weight * ((bad ? 1 : 0) - state->bad_share);
  state->outcome_us = now_us;
}

static int
suffers (const struct eel_entry_gate_route *state, int64_t now_us)
{
  return state->bad_share > BAD_LEAST
         || now_us - state->outcome_us > BAD_LIFE_US;
}

static double
allowed_milli (const struct eel_entry_gate *gate, uint8_t rank)
{
  int steps = gate->last_rank > rank ? gate->last_rank - rank : 0;

  return LAST_RANK_MILLI * pow (RANK_FACTOR, steps < 8 ? steps : 8);
}

/* Moves the refused share towards the one that holds the allowed pressure. */
static void
update (struct eel_entry_gate *gate,
        struct eel_entry_gate_route *state,
        uint8_t rank,
        int64_t now_us)
{
  double pressure = suffers (state, now_us)
                        ? eel_entry_gate_pressure (gate, state->route, now_us)
                        : 0;
  double excess = pressure / allowed_milli (gate, rank) - 1;
  double passed_s = (double)(now_us - state->updated_us) / EEL_US_PER_S;

  if (passed_s > 1)
    passed_s = 1;
  if (excess > RISE_MAX)
    excess = RISE_MAX;
  state->refuse
      += (excess < 0 ? FALL_GAIN_PER_S : GAIN_PER_S) * excess * passed_s;
  if (state->refuse < 0)
    state->refuse = 0;
  if (state->refuse > REFUSE_MAX)
    state->refuse = REFUSE_MAX;
  state->updated_us = now_us;
}

/* Decides about one request. */
int
eel_entry_gate_admit (struct eel_entry_gate *gate,
                      uint64_t route,
                      uint8_t rank,
                      int64_t now_us,
                      struct eel_rng *rng)
{
  struct eel_entry_gate_route *state = find_or_add (gate, route, now_us);

  update (gate, state, rank, now_us);
  return state->refuse <= 0 || eel_rng_unit (rng) >= state->refuse;
}
