#include "eelgrasslatch/fair_order.h"

#include <math.h>
#include <string.h>

#include "internal/fair_order.h"

/* Time constant of the slot time asked for and refused. */
#define WINDOW_US (500.0 * 1000.0)
/* EWMA weight of one request in the hold time. */
#define HOLD_WEIGHT 0.05
/* Time without requests after which a team's entry can be reused. */
#define IDLE_US (2 * EEL_US_PER_S)

void
eel_fair_order_init (struct eel_fair_order *order)
{
  memset (order, 0, sizeof *order);
  for (uint32_t rank = 0; rank < EEL_FAIR_RANKS; rank++)
    order->refused_at_us[rank] = INT64_MIN;
  order->last_refused_us = INT64_MIN;
}

/* Never 0. */
static uint64_t
key_of (uint64_t team, uint8_t rank)
{
  uint64_t key = team ^ ((uint64_t)rank * UINT64_C (0x9e3779b97f4a7c15));

  return key == 0 ? 1 : key;
}

static int32_t
find (const struct eel_fair_order *order, uint64_t team, uint8_t rank)
{
  uint64_t key = key_of (team, rank);

  for (uint32_t i = 0; i < order->count; i++)
    if (order->keys[i] == key && order->teams[i].team == team
        && order->teams[i].rank == rank)
      return (int32_t)i;
  return EEL_FAIR_NONE;
}

static int
is_idle (const struct eel_fair_team *team)
{
  return team->queued == 0 && team->running == 0;
}

/* True when the entry can go without the team gaining by it. */
static int
is_expired (const struct eel_fair_team *team, int64_t now_us)
{
  return is_idle (team) && now_us - team->updated_us > IDLE_US;
}

/* Returns an entry that is expired or was never used, or else the idle one that
   was used least recently. */
static int32_t
allocate (struct eel_fair_order *order, int64_t now_us)
{
  int32_t oldest = EEL_FAIR_NONE;

  while (order->count > 0
         && is_expired (&order->teams[order->count - 1], now_us))
    order->count--;
  for (uint32_t i = 0; i < order->count; i++)
    {
      const struct eel_fair_team *each = &order->teams[i];

      if (is_expired (each, now_us))
        return (int32_t)i;
      if (is_idle (each)
          && (oldest == EEL_FAIR_NONE
              || each->updated_us < order->teams[oldest].updated_us))
        oldest = (int32_t)i;
    }
  return order->count < EEL_FAIR_TEAMS_MAX ? (int32_t)order->count++ : oldest;
}

void
eel_fair_team_decay (struct eel_fair_team *team, int64_t now_us)
{
  double passed_us = (double)(now_us - team->updated_us);
  double factor = passed_us > 0 ? exp (-passed_us / WINDOW_US) : 1;

  team->asked_us *= factor;
  team->refused_us *= factor;
  if (now_us > team->updated_us)
    team->updated_us = now_us;
}

static double
to_virtual_us (const struct eel_fair_team *team, double slot_us)
{
  return slot_us * EEL_FAIR_WEIGHT_UNIT_MILLI / team->weight_milli;
}

/*
 * A team with queued requests keeps its place when others overtake it because
 * of their targets.  One without isn't held back for longer than the window:
 * requests that come one by one are no excess, even of a small team.
 */
static double
next_us (const struct eel_fair_order *order, const struct eel_fair_team *team)
{
  double now_us = order->virtual_us[team->rank];
  double held_us = fmax (order->advance_us[team->rank], team->mean_us);

  if (team->queued > 0)
    return team->virtual_us;
  return fmin (fmax (now_us, team->virtual_us), now_us + held_us);
}

double
eel_fair_order_start_us (const struct eel_fair_order *order,
                         int32_t entry,
                         uint32_t own_ahead)
{
  const struct eel_fair_team *team = &order->teams[entry];
  double mean_us = team->queued > 0 ? team->queued_us / team->queued : 0;

  return next_us (order, team) + to_virtual_us (team, mean_us * own_ahead);
}

int32_t
eel_fair_order_ask (struct eel_fair_order *order,
                    uint64_t team,
                    uint8_t rank,
                    uint32_t weight_milli,
                    double expected_us,
                    int64_t now_us)
{
  int32_t entry = find (order, team, rank);
  struct eel_fair_team *found;

  if (entry == EEL_FAIR_NONE)
    {
      entry = allocate (order, now_us);
      if (entry == EEL_FAIR_NONE)
        {
          order->unordered++;
          return EEL_FAIR_NONE;
        }
      found = &order->teams[entry];
      memset (found, 0, sizeof *found);
      found->team = team;
      found->rank = rank;
      found->updated_us = now_us;
      order->keys[entry] = key_of (team, rank);
    }
  found = &order->teams[entry];
  found->weight_milli
      = weight_milli > 0 ? weight_milli : EEL_FAIR_WEIGHT_UNIT_MILLI;
  eel_fair_team_decay (found, now_us);
  found->asked_us += expected_us;
  found->mean_us = expected_us;
  return entry;
}

void
eel_fair_order_queued (struct eel_fair_order *order,
                       int32_t entry,
                       double expected_us)
{
  struct eel_fair_team *team = &order->teams[entry];

  if (team->queued == 0)
    team->virtual_us = next_us (order, team);
  team->queued++;
  team->queued_us += expected_us;
}

void
eel_fair_order_unqueued (struct eel_fair_order *order,
                         int32_t entry,
                         double expected_us)
{
  struct eel_fair_team *team = &order->teams[entry];

  if (team->queued > 0)
    team->queued--;
  team->queued_us = team->queued > 0 ? team->queued_us - expected_us : 0;
}

static double
advance_us (const struct eel_fair_order *order, uint8_t rank, int64_t now_us)
{
  double passed_us = (double)(now_us - order->advanced_at_us[rank]);

  return passed_us > 0 ? order->advance_us[rank] * exp (-passed_us / WINDOW_US)
                       : order->advance_us[rank];
}

static void
advance (struct eel_fair_order *order,
         uint8_t rank,
         double virtual_us,
         int64_t now_us)
{
  if (virtual_us <= order->virtual_us[rank])
    return;
  order->advance_us[rank]
      = advance_us (order, rank, now_us) + virtual_us - order->virtual_us[rank];
  order->advanced_at_us[rank] = now_us;
  order->virtual_us[rank] = virtual_us;
}

/* Virtual time of the queued request of the rank that starts first by its
   share, or start_us if that is less. */
static double
least_start_us (const struct eel_fair_order *order,
                uint8_t rank,
                double start_us)
{
  for (uint32_t i = 0; i < order->count; i++)
    {
      const struct eel_fair_team *each = &order->teams[i];

      if (each->rank == rank && each->queued > 0 && each->virtual_us < start_us)
        start_us = each->virtual_us;
    }
  return start_us;
}

static void
start (struct eel_fair_order *order,
       struct eel_fair_team *team,
       double start_us,
       double expected_us,
       int64_t now_us)
{
  advance (order, team->rank, least_start_us (order, team->rank, start_us),
           now_us);
  team->virtual_us = start_us + to_virtual_us (team, expected_us);
  team->running++;
  team->running_us += expected_us;
}

void
eel_fair_order_started (struct eel_fair_order *order,
                        int32_t entry,
                        double expected_us,
                        int64_t now_us)
{
  struct eel_fair_team *team = &order->teams[entry];

  start (order, team, next_us (order, team), expected_us, now_us);
}

void
eel_fair_order_dequeued (struct eel_fair_order *order,
                         int32_t entry,
                         double expected_us,
                         int64_t now_us)
{
  struct eel_fair_team *team = &order->teams[entry];
  double start_us = next_us (order, team);

  eel_fair_order_unqueued (order, entry, expected_us);
  start (order, team, start_us, expected_us, now_us);
}

/* Replaces the expected slot time by the actual one, which lets the team start
   no earlier than one that becomes active now. */
void
eel_fair_order_done (struct eel_fair_order *order,
                     uint64_t team,
                     uint8_t rank,
                     double held_us)
{
  int32_t entry = find (order, team, rank);
  struct eel_fair_team *found;
  double expected_us;
  double floor_us;

  if (entry == EEL_FAIR_NONE || order->teams[entry].running == 0)
    return;
  found = &order->teams[entry];
  expected_us = found->running_us / found->running;
  found->running--;
  found->running_us -= expected_us;
  order->hold_us[rank] += (order->hold_us[rank] > 0 ? HOLD_WEIGHT : 1)
                          * (held_us - order->hold_us[rank]);
  floor_us = fmin (found->virtual_us, order->virtual_us[rank]);
  found->virtual_us
      = fmax (floor_us,
              found->virtual_us + to_virtual_us (found, held_us - expected_us));
}

void
eel_fair_order_refused (struct eel_fair_order *order,
                        int32_t entry,
                        double expected_us,
                        int64_t now_us)
{
  struct eel_fair_team *team = &order->teams[entry];

  eel_fair_team_decay (team, now_us);
  team->refused_us += expected_us;
  order->refused_at_us[team->rank] = now_us;
  order->last_refused_us = now_us;
}

/* Number of the team's queued requests that start at a virtual time or before
   it. */
static uint32_t
count_until (const struct eel_fair_team *team, double virtual_us)
{
  double room_us = virtual_us - team->virtual_us;
  double step_us;

  if (team->queued == 0 || room_us < 0)
    return 0;
  step_us = to_virtual_us (team, team->queued_us / team->queued);
  return room_us >= step_us * (team->queued - 1)
             ? team->queued
             : (uint32_t)(room_us / step_us) + 1;
}

/* With the teams that are active now the virtual time advances by the slot time
   that they are given, divided by the sum of their weights. */
int64_t
eel_fair_order_wait_us (const struct eel_fair_order *order,
                        int32_t entry,
                        uint32_t own_ahead,
                        double slots_min,
                        uint32_t *ahead)
{
  const struct eel_fair_team *own = &order->teams[entry];
  double start_us = eel_fair_order_start_us (order, entry, own_ahead);
  double ahead_us = start_us - order->virtual_us[own->rank];
  double weight = own->queued + own->running > 0 ? 0 : own->weight_milli;
  double running = 0;

  *ahead = own_ahead;
  for (uint32_t i = 0; i < order->count; i++)
    {
      const struct eel_fair_team *each = &order->teams[i];

      if (each->rank != own->rank || is_idle (each))
        continue;
      weight += each->weight_milli;
      running += each->running;
      if (each != own)
        *ahead += count_until (each, start_us);
    }
  if (ahead_us <= 0)
    return 0;
  return (int64_t)(ahead_us * weight / EEL_FAIR_WEIGHT_UNIT_MILLI
                   / fmax (running, slots_min));
}
