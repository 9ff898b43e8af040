#include <math.h>
#include <string.h>

#include "internal/fair_order.h"

/* Which teams are refused more than the others of their rank. */

/* Time since the last refusal after which no team is above its share. */
#define EXCESS_LIFE_US (500 * EEL_US_PER_MS)
/* Requests refused in the window below which a team is not said to be above its
 * share. */
#define REFUSED_MIN 3.0
/* Greatest ratio that is told. */
#define RATIO_MAX 1000.0
/* A lower excess is noise, or left to the gate. */
#define EXCESS_MIN_MILLI 200

/* Adds to out, which is sorted by excess, descending. */
static uint32_t
insert (struct eel_fair_excess *out,
        uint32_t count,
        uint32_t max,
        const struct eel_fair_excess *excess)
{
  uint32_t at = count;

  while (at > 0 && out[at - 1].excess_milli < excess->excess_milli)
    at--;
  if (at == max)
    return count;
  if (count == max)
    count--;
  memmove (&out[at + 1], &out[at], (count - at) * sizeof *out);
  out[at] = *excess;
  return count + 1;
}

static uint32_t
to_milli (double ratio)
{
  return (uint32_t)(1000 * fmin (ratio, RATIO_MAX));
}

/* Fills excess and returns true when the team is refused more than the others
   of its rank, whose sums are given. */
static int
exceeds (const struct eel_fair_team *team,
         double all_asked_us,
         double all_refused_us,
         struct eel_fair_excess *excess)
{
  double others_us = all_asked_us - team->asked_us;
  double others_got = 1 - (all_refused_us - team->refused_us) / others_us;
  double got = 1 - team->refused_us / team->asked_us;
  double all_got_us = all_asked_us - all_refused_us;

  if (others_us <= 0 || others_got <= 0 || got >= others_got)
    return 0;
  excess->team = team->team;
  excess->rank = team->rank;
  excess->excess_milli = (uint32_t)(1000 * (1 - got / others_got));
  excess->asked_milli = to_milli (team->asked_us / all_got_us);
  excess->got_milli
      = to_milli ((team->asked_us - team->refused_us) / all_got_us);
  return excess->excess_milli >= EXCESS_MIN_MILLI;
}

uint32_t
eel_fair_order_excess (struct eel_fair_order *order,
                       struct eel_fair_excess *out,
                       uint32_t max,
                       int64_t now_us)
{
  double asked_us[EEL_FAIR_RANKS] = { 0 };
  double refused_us[EEL_FAIR_RANKS] = { 0 };
  struct eel_fair_excess excess;
  uint32_t count = 0;

  if (order->last_refused_us < now_us - EXCESS_LIFE_US)
    return 0;
  for (uint32_t i = 0; i < order->count; i++)
    {
      struct eel_fair_team *each = &order->teams[i];

      eel_fair_team_decay (each, now_us);
      asked_us[each->rank] += each->asked_us;
      refused_us[each->rank] += each->refused_us;
    }
  for (uint32_t i = 0; i < order->count; i++)
    {
      const struct eel_fair_team *each = &order->teams[i];

      if (each->refused_us > REFUSED_MIN * each->mean_us
          && exceeds (each, asked_us[each->rank], refused_us[each->rank],
                      &excess))
        count = insert (out, count, max, &excess);
    }
  return count;
}
