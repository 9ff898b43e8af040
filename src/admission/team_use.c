#include "eelgrasslatch/team_use.h"

#include <string.h>

/* Space-saving counters: a team without a row takes that of the least use, and
   its use, so that a team with a large share of all requests has a row. */

static const char *const kind_names[EEL_TEAM_USE_KIND_COUNT]
    = { [EEL_TEAM_USE_ADMITTED] = "admitted",
        [EEL_TEAM_USE_OVER_CAP] = "over_cap",
        [EEL_TEAM_USE_ABOVE_SHARE] = "above_share",
        [EEL_TEAM_USE_EARLY] = "early",
        [EEL_TEAM_USE_NO_SLOT] = "no_slot" };

void
eel_team_use_init (struct eel_team_use *use)
{
  memset (use, 0, sizeof *use);
}

/* Returns the row of a team, or else that of the least use. */
static struct eel_team_use_row *
find_row (struct eel_team_use *use, uint64_t id)
{
  struct eel_team_use_row *least = &use->rows[0];

  for (uint32_t i = 0; i < EEL_TEAM_USE_MAX; i++)
    {
      if (use->rows[i].id == id)
        return &use->rows[i];
      if (use->rows[i].use < least->use)
        least = &use->rows[i];
    }
  return least;
}

void
eel_team_use_count (struct eel_team_use *use,
                    uint64_t id,
                    const char *name,
                    enum eel_team_use_kind kind)
{
  struct eel_team_use_row *row;

  if (id == EEL_NO_TEAM)
    return;
  row = find_row (use, id);
  if (row->id != id)
    {
      for (uint32_t i = 0; i < EEL_TEAM_USE_KIND_COUNT; i++)
        use->others[i] += row->counts[i];
      memset (row->counts, 0, sizeof row->counts);
      memset (row->name, 0, sizeof row->name);
      strncpy (row->name, name, sizeof row->name - 1);
      row->id = id;
    }
  row->use++;
  row->counts[kind]++;
}

const char *
eel_team_use_kind_name (enum eel_team_use_kind kind)
{
  return kind_names[kind];
}
