#ifndef EELGRASSLATCH_TEAM_TABLE_H
#define EELGRASSLATCH_TEAM_TABLE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Teams of one configuration version: which key belongs to which team, and what
 * each team may use.  Keys are held as keyed hashes only; a lookup takes the
 * same time for 10,000 teams as for one.
 *
 * A table is built, sealed and replaced as a whole.  Requests in flight keep a
 * copy of their team's name and id, so that a replaced table can be freed.
 */

/* With the terminating zero. */
#define EEL_TEAM_NAME_MAX 200
/* Longest key in bytes. */
#define EEL_TEAM_KEY_MAX 4096
/* Id of a request without a team. */
#define EEL_NO_TEAM UINT64_C (0)
/* Bytes of the secret that keys are hashed with. */
#define EEL_TEAM_SECRET_BYTES 16
#define EEL_TEAM_KEY_HASH_BYTES 16
/* In place of a team's index, for a key that is claimed but serves no team. */
#define EEL_TEAM_LEFT_OUT UINT32_MAX

struct eel_team
{
  char *name;
  /* Hash of the name, stable across versions; never EEL_NO_TEAM. */
  uint64_t id;
  /* The team's rank goes before that of a route. */
  uint8_t has_rank;
  uint8_t rank;
  /* Cap over all nodes together, in requests a second; 0: none. */
  double rate_per_s;
  /* Requests that may come at once beyond the rate. */
  double burst;
  uint32_t key_count;
};

struct eel_team_key
{
  uint8_t hash[EEL_TEAM_KEY_HASH_BYTES];
  /* EEL_TEAM_LEFT_OUT: serves none. */
  uint32_t team;
};

struct eel_team_table
{
  struct eel_team *teams;
  uint32_t count;
  uint32_t capacity;
  struct eel_team_key *keys;
  uint32_t key_count;
  uint32_t key_capacity;
  /* Open addressing, at most half full: index + 1 into teams by id and into
     keys by hash; 0: empty.  The counts are powers of two. */
  uint32_t *team_slots;
  uint32_t team_slot_count;
  uint32_t *key_slots;
  uint32_t key_slot_count;
  uint8_t secret[EEL_TEAM_SECRET_BYTES];
  /* Keys that two teams hold: neither team is served by them. */
  uint32_t ambiguous_keys;
  uint64_t version;
};

void eel_team_table_init (struct eel_team_table *table,
                          uint64_t version,
                          const uint8_t secret[EEL_TEAM_SECRET_BYTES]);
void eel_team_table_finish (struct eel_team_table *table);
/* Copies name and limits; returns the team's index, or -1 when a field is out
   of range, the name is taken or not fit for a header field, or memory runs
   out. */
int32_t eel_team_table_add (struct eel_team_table *table,
                            const struct eel_team *team);
/* Adds a key of a team, or with EEL_TEAM_LEFT_OUT one that serves none even if
   a team holds it too; 0 when it is empty, too long or memory runs out. */
int eel_team_table_add_key (struct eel_team_table *table,
                            uint32_t team,
                            const char *key,
                            size_t bytes);
/* Call after the last add and before the first find. */
void eel_team_table_seal (struct eel_team_table *table);
/* Returns the team that alone holds the key, or NULL. */
const struct eel_team *eel_team_table_find_key (
    const struct eel_team_table *table, const char *key, size_t bytes);
/* Returns the key with that hash, or NULL. */
const struct eel_team_key *
eel_team_table_find_hash (const struct eel_team_table *table,
                          const uint8_t hash[EEL_TEAM_KEY_HASH_BYTES]);
/* Returns the team with that id, or NULL. */
const struct eel_team *eel_team_table_find (const struct eel_team_table *table,
                                            uint64_t id);
/* How the keys in force of one team differ between two versions. */
struct eel_team_change
{
  const char *name;
  /* In the later version. */
  uint32_t keys;
  uint32_t added;
  uint32_t removed;
};

/*
 * Passes each team whose keys in force differ to a function; either table may
 * be NULL, for one without teams.  The tables have the same secret.  Returns
 * the number of teams, or -1 when out of memory.
 */
int64_t eel_team_table_compare (
    const struct eel_team_table *before,
    const struct eel_team_table *after,
    void (*each) (void *data, const struct eel_team_change *change),
    void *data);
/* Returns the id of a team's name. */
uint64_t eel_team_id (const char *name);

#endif
