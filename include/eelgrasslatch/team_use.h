#ifndef EELGRASSLATCH_TEAM_USE_H
#define EELGRASSLATCH_TEAM_USE_H

#include <stdint.h>

#include "eelgrasslatch/team_table.h"

/*
 * Counts what teams use at one node: those with the largest use by name, the
 * others together.  The number of counters is fixed, however many teams there
 * are.
 */

#define EEL_TEAM_USE_MAX 64

enum eel_team_use_kind
{
  EEL_TEAM_USE_ADMITTED,
  /* Refused above the team's cap. */
  EEL_TEAM_USE_OVER_CAP,
  /* Refused at the entry: the team is above its share of a service. */
  EEL_TEAM_USE_ABOVE_SHARE,
  /* Refused at the entry: repeated long before its Retry-After. */
  EEL_TEAM_USE_EARLY,
  /* Refused for want of slots, whatever the team's share. */
  EEL_TEAM_USE_NO_SLOT,
  EEL_TEAM_USE_KIND_COUNT
};

struct eel_team_use_row
{
  /* EEL_NO_TEAM: unused. */
  uint64_t id;
  char name[EEL_TEAM_NAME_MAX];
  /* Upper bound of what was counted of the team: that of the rows that it has
     replaced is included. */
  uint64_t use;
  /* Since the team has this row. */
  uint64_t counts[EEL_TEAM_USE_KIND_COUNT];
};

struct eel_team_use
{
  struct eel_team_use_row rows[EEL_TEAM_USE_MAX];
  uint64_t others[EEL_TEAM_USE_KIND_COUNT];
};

void eel_team_use_init (struct eel_team_use *use);
/* Counts a request of a team; one with EEL_NO_TEAM is not counted.  One that
   was admitted may be counted once more, when it got no slot. */
void eel_team_use_count (struct eel_team_use *use,
                         uint64_t id,
                         const char *name,
                         enum eel_team_use_kind kind);
/* Returns the label value of a kind. */
const char *eel_team_use_kind_name (enum eel_team_use_kind kind);

#endif
