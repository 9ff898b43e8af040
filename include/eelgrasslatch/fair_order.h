#ifndef EELGRASSLATCH_FAIR_ORDER_H
#define EELGRASSLATCH_FAIR_ORDER_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * Shares of slot time among the teams of one rank, at the gate of one endpoint.
 *
 * Each team has a virtual time, the slot time that it was given.  A team that
 * becomes active starts at the least virtual time of the active ones, so that
 * an idle team saves up no credit.  Among requests of one rank that can still
 * meet their target the gate starts one of the team with the least virtual
 * time; when the wait is too long it refuses one of the team that is furthest
 * above its share.
 *
 * Bounded: only teams with requests queued or running, and those that ran some
 * in the last seconds, have an entry.
 */

#define EEL_FAIR_TEAMS_MAX 512

struct eel_fair_team
{
  uint64_t team;
  /* Slot time given, in microseconds, relative to the order's virtual time. */
  double virtual_us;
  uint32_t queued;
  uint32_t running;
  int64_t used_us;
};

struct eel_fair_order
{
  struct eel_fair_team teams[EEL_FAIR_TEAMS_MAX];
  uint32_t count;
  double virtual_us;
};

void eel_fair_order_init (struct eel_fair_order *order);

#endif
