#include "eelgrasslatch/crowding.h"

#include <math.h>
#include <string.h>

/* Time constants of the refused share; the rise is no faster than the gates'
 * measurement of what they are asked for. */
#define RISE_US (400.0 * 1000.0)
#define FALL_US (1000.0 * 1000.0)
/* Longest time that one report stands for. */
#define REPORT_SPAN_US (100.0 * 1000.0)
/* Excess that is left to the gates, which know their free room better. */
#define LEFT_MILLI 250.0
/* A part of the requests always passes, because only answers carry news. */
#define REFUSED_SHARE_MAX 0.95

void
eel_crowding_init (struct eel_crowding *crowding)
{
  memset (crowding, 0, sizeof *crowding);
}

static int
is_expired (const struct eel_crowding_team *team, int64_t now_us)
{
  return now_us - team->told_us > EEL_CROWDING_EXPIRY_US;
}

/* What is left of the refused share since the last news. */
static double
present_share (const struct eel_crowding_team *team, int64_t now_us)
{
  double passed_us = (double)(now_us - team->told_us);

  if (is_expired (team, now_us))
    return 0;
  return passed_us > 0 ? team->refused_share * exp (-passed_us / FALL_US)
                       : team->refused_share;
}

/* Returns the index of the team's entry, or the number of entries. */
static uint32_t
find (const struct eel_crowding *crowding,
      uint32_t service,
      uint64_t team,
      uint8_t rank)
{
  uint32_t i = 0;

  while (i < crowding->count
         && (crowding->teams[i].team != team
             || crowding->teams[i].service != service
             || crowding->teams[i].rank != rank))
    i++;
  return i;
}

/* Returns an unused entry, or the one that was told of least recently. */
static struct eel_crowding_team *
allocate (struct eel_crowding *crowding, int64_t now_us)
{
  struct eel_crowding_team *oldest = &crowding->teams[0];

  if (crowding->count < EEL_CROWDING_TEAMS_MAX)
    return &crowding->teams[crowding->count++];
  for (uint32_t i = 1; i < crowding->count; i++)
    if (crowding->teams[i].told_us < oldest->told_us)
      oldest = &crowding->teams[i];
  crowding->evicted += (uint64_t)!is_expired (oldest, now_us);
  return oldest;
}

static struct eel_crowding_team *
find_or_add (struct eel_crowding *crowding,
             uint32_t service,
             const struct eel_fair_excess *excess,
             int64_t now_us)
{
  uint32_t index = find (crowding, service, excess->team, excess->rank);
  struct eel_crowding_team *entry;

  if (index < crowding->count)
    return &crowding->teams[index];
  entry = allocate (crowding, now_us);
  *entry = (struct eel_crowding_team){ .team = excess->team,
                                       .service = service,
                                       .rank = excess->rank,
                                       .told_us
                                       = now_us - EEL_CROWDING_EXPIRY_US - 1 };
  return entry;
}

/*
 * The excess is that of the requests that were let through here, so the part of
 * them that is refused next adds to what is refused already.
 */
int
eel_crowding_told (struct eel_crowding *crowding,
                   uint32_t service,
                   const struct eel_fair_excess *excess,
                   int64_t now_us)
{
  struct eel_crowding_team *entry
      = find_or_add (crowding, service, excess, now_us);
  double span_us = fmin ((double)(now_us - entry->told_us), REPORT_SPAN_US);
  double above
      = fmax (0, excess->excess_milli - LEFT_MILLI) / (1000 - LEFT_MILLI);
  double weight = span_us > 0 ? 1 - exp (-span_us / RISE_US) : 0;
  double share = present_share (entry, now_us);
  int is_new = is_expired (entry, now_us);

  if (is_new)
    {
      entry->since_us = now_us;
      entry->refused = 0;
    }
  share += weight * (1 - share) * above;
  entry->refused_share = fmin (share, REFUSED_SHARE_MAX);
  entry->told_us = now_us;
  entry->excess = *excess;
  return is_new;
}

double
eel_crowding_refused_share (const struct eel_crowding *crowding,
                            uint32_t service,
                            uint64_t team,
                            uint8_t rank,
                            int64_t now_us)
{
  uint32_t index = find (crowding, service, team, rank);

  return index == crowding->count
             ? 0
             : present_share (&crowding->teams[index], now_us);
}

void
eel_crowding_count_refused (struct eel_crowding *crowding,
                            uint32_t service,
                            uint64_t team,
                            uint8_t rank)
{
  uint32_t index = find (crowding, service, team, rank);

  if (index < crowding->count)
    crowding->teams[index].refused++;
}

int
eel_crowding_next_ended (struct eel_crowding *crowding,
                         struct eel_crowding_team *ended,
                         int64_t now_us)
{
  for (uint32_t i = 0; i < crowding->count; i++)
    if (is_expired (&crowding->teams[i], now_us))
      {
        *ended = crowding->teams[i];
        crowding->teams[i] = crowding->teams[--crowding->count];
        return 1;
      }
  return 0;
}
