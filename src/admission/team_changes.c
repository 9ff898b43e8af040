#include <stdlib.h>

#include "eelgrasslatch/team_table.h"

/* Keys that a team gained or lost, by its index in a table. */
struct tally
{
  const struct eel_team_table *table;
  uint32_t *counts;
};

/* Returns the id of the team that a key serves, or EEL_NO_TEAM. */
static uint64_t
holder_id (const struct eel_team_table *table, const struct eel_team_key *key)
{
  return key->team == EEL_TEAM_LEFT_OUT ? EEL_NO_TEAM
                                        : table->teams[key->team].id;
}

/* Counts the keys of a table that serve another team, or none, in the other. */
static int
count_missing (struct tally *tally, const struct eel_team_table *other)
{
  const struct eel_team_table *table = tally->table;

  tally->counts = calloc ((size_t)table->count + 1, sizeof *tally->counts);
  if (tally->counts == NULL)
    return 0;
  for (uint32_t i = 0; i < table->key_count; i++)
    {
      const struct eel_team_key *key = &table->keys[i];
      const struct eel_team_key *found
          = eel_team_table_find_hash (other, key->hash);
      uint64_t id = holder_id (table, key);

      if (id != EEL_NO_TEAM
          && (found == NULL || holder_id (other, found) != id))
        tally->counts[key->team]++;
    }
  return 1;
}

/* Returns the count of a team by its id; 0 when the table lacks it. */
static uint32_t
count_of (const struct tally *tally, uint64_t id)
{
  const struct eel_team *team = eel_team_table_find (tally->table, id);

  return team == NULL ? 0 : tally->counts[team - tally->table->teams];
}

int64_t
eel_team_table_compare (const struct eel_team_table *before,
                        const struct eel_team_table *after,
                        void (*each) (void *data,
                                      const struct eel_team_change *change),
                        void *data)
{
  static const struct eel_team_table none;
  struct tally removed = { .table = before != NULL ? before : &none };
  struct tally added = { .table = after != NULL ? after : &none };
  int64_t changed = -1;

  if (count_missing (&removed, added.table)
      && count_missing (&added, removed.table))
    {
      changed = 0;
      for (uint32_t i = 0; i < added.table->count; i++)
        {
          const struct eel_team *team = &added.table->teams[i];
          struct eel_team_change change
              = { .name = team->name,
                  .keys = team->key_count,
                  .added = added.counts[i],
                  .removed = count_of (&removed, team->id) };

          if (change.added + change.removed > 0 && ++changed > 0)
            each (data, &change);
        }
      for (uint32_t i = 0; i < removed.table->count; i++)
        {
          const struct eel_team *team = &removed.table->teams[i];
          struct eel_team_change change
              = { .name = team->name, .removed = removed.counts[i] };

          if (change.removed > 0
              && eel_team_table_find (added.table, team->id) == NULL
              && ++changed > 0)
            each (data, &change);
        }
    }
  free (removed.counts);
  free (added.counts);
  return changed;
}
