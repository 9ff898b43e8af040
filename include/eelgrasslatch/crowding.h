#ifndef EELGRASSLATCH_CROWDING_H
#define EELGRASSLATCH_CROWDING_H

#include <stdint.h>

#include "eelgrasslatch/fair_order.h"
#include "eelgrasslatch/types.h"

/*
 * Teams above their share at crowded services, at the node where their requests
 * enter.  A gate tells with its answers which teams ask for more than their
 * share (eel_fair_order_excess); their requests are refused here in that
 * proportion, before they cost a message, and those of other teams are not.
 *
 * What was told decays and expires EEL_CROWDING_EXPIRY_US after the last news.
 * Bounded: the team that was told of least recently gives way.
 */

#define EEL_CROWDING_TEAMS_MAX 256
/* Teams in one answer. */
#define EEL_CROWDING_TOLD_MAX 4
#define EEL_CROWDING_EXPIRY_US (900 * EEL_US_PER_MS)

struct eel_crowding_team
{
  uint64_t team;
  uint32_t service;
  uint8_t rank;
  /* Share of the team's requests to refuse, 0 to 1. */
  double refused_share;
  int64_t told_us;
  /* First news, the last excess that was told, and requests refused since. */
  int64_t since_us;
  struct eel_fair_excess excess;
  uint64_t refused;
};

struct eel_crowding
{
  struct eel_crowding_team teams[EEL_CROWDING_TEAMS_MAX];
  uint32_t count;
  /* Teams that gave way while what was told of them was in force. */
  uint64_t evicted;
};

void eel_crowding_init (struct eel_crowding *crowding);
/* Records what a gate of the service tells of a team.  Returns 1 when nothing
   was known of the team. */
int eel_crowding_told (struct eel_crowding *crowding,
                       uint32_t service,
                       const struct eel_fair_excess *excess,
                       int64_t now_us);
/* Share of the team's requests of that rank to refuse, 0 to 1. */
double eel_crowding_refused_share (const struct eel_crowding *crowding,
                                   uint32_t service,
                                   uint64_t team,
                                   uint8_t rank,
                                   int64_t now_us);

/* Counts a request that was refused because of its team. */
void eel_crowding_count_refused (struct eel_crowding *crowding,
                                 uint32_t service,
                                 uint64_t team,
                                 uint8_t rank);
/* Forgets a team that no gate has told of for so long and copies what was known
   of it; returns 0 when there is none. */
int eel_crowding_next_ended (struct eel_crowding *crowding,
                             struct eel_crowding_team *ended,
                             int64_t now_us);

#endif
