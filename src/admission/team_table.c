#include "eelgrasslatch/team_table.h"

#include <math.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"

#define FIRST_CAPACITY 64

_Static_assert(EEL_TEAM_SECRET_BYTES == crypto_shorthash_siphashx24_KEYBYTES,
               "the secret is a key of the hash");
_Static_assert(EEL_TEAM_KEY_HASH_BYTES == crypto_shorthash_siphashx24_BYTES,
               "a key is kept as one hash");

void
eel_team_table_init (struct eel_team_table *table,
                     uint64_t version,
                     const uint8_t secret[EEL_TEAM_SECRET_BYTES])
{
  *table = (struct eel_team_table){ .version = version };
  memcpy (table->secret, secret, EEL_TEAM_SECRET_BYTES);
}

void
eel_team_table_finish (struct eel_team_table *table)
{
  for (uint32_t i = 0; i < table->count; i++)
    free (table->teams[i].name);
  free (table->teams);
  free (table->keys);
  free (table->team_slots);
  free (table->key_slots);
  sodium_memzero (table, sizeof *table);
}

uint64_t
eel_team_id (const char *name)
{
  uint64_t id = eel_hash64 (name, strlen (name), 0);

  return id == EEL_NO_TEAM ? 1 : id;
}

/* Returns the slot of a team's id, or the empty one where it belongs. */
static uint32_t
find_team_slot (const struct eel_team_table *table, uint64_t id)
{
  uint32_t mask = table->team_slot_count - 1;
  uint32_t slot = (uint32_t)id & mask;

  while (table->team_slots[slot] != 0
         && table->teams[table->team_slots[slot] - 1].id != id)
    slot = (slot + 1) & mask;
  return slot;
}

/* The hash is keyed, so neither the slots that are visited nor the time for
   them tell how close a key came to another one. */
static uint32_t
find_key_slot (const struct eel_team_table *table,
               const uint8_t hash[EEL_TEAM_KEY_HASH_BYTES])
{
  uint32_t mask = table->key_slot_count - 1;
  uint32_t slot;

  memcpy (&slot, hash, sizeof slot);
  slot &= mask;
  while (table->key_slots[slot] != 0
         && sodium_memcmp (table->keys[table->key_slots[slot] - 1].hash, hash,
                           EEL_TEAM_KEY_HASH_BYTES)
                != 0)
    slot = (slot + 1) & mask;
  return slot;
}

/* Doubles the room of an array and empties its index, into which the caller
   puts the entries again.  Returns the array, or NULL when out of memory. */
static void *
grow (void *entries,
      size_t entry_bytes,
      uint32_t *capacity,
      uint32_t **slots,
      uint32_t *slot_count)
{
  uint32_t grown = *capacity == 0 ? FIRST_CAPACITY : *capacity * 2;
  uint32_t *grown_slots = calloc ((size_t)grown * 2, sizeof *grown_slots);

  if (grown_slots == NULL)
    return NULL;
  entries = realloc (entries, grown * entry_bytes);
  if (entries == NULL)
    {
      free (grown_slots);
      return NULL;
    }
  free (*slots);
  *slots = grown_slots;
  *slot_count = grown * 2;
  *capacity = grown;
  return entries;
}

static int
grow_teams (struct eel_team_table *table)
{
  struct eel_team *teams = grow (table->teams, sizeof *teams, &table->capacity,
                                 &table->team_slots, &table->team_slot_count);

  if (teams == NULL)
    return 0;
  table->teams = teams;
  for (uint32_t i = 0; i < table->count; i++)
    table->team_slots[find_team_slot (table, teams[i].id)] = i + 1;
  return 1;
}

static int
grow_keys (struct eel_team_table *table)
{
  struct eel_team_key *keys
      = grow (table->keys, sizeof *keys, &table->key_capacity,
              &table->key_slots, &table->key_slot_count);

  if (keys == NULL)
    return 0;
  table->keys = keys;
  for (uint32_t i = 0; i < table->key_count; i++)
    table->key_slots[find_key_slot (table, keys[i].hash)] = i + 1;
  return 1;
}

/* True for a name that a header field can hold unchanged. */
static int
name_is_valid (const char *name)
{
  size_t bytes = strlen (name);

  if (bytes == 0 || bytes >= EEL_TEAM_NAME_MAX || name[0] == ' '
      || name[bytes - 1] == ' ')
    return 0;
  for (size_t i = 0; i < bytes; i++)
    if ((unsigned char)name[i] < ' ' || name[i] == 0x7f)
      return 0;
  return 1;
}

int32_t
eel_team_table_add (struct eel_team_table *table, const struct eel_team *team)
{
  struct eel_team copy = *team;
  uint32_t slot;

  if (team->name == NULL || !name_is_valid (team->name)
      || !(team->rate_per_s >= 0) || !isfinite (team->rate_per_s)
      || !(team->burst >= 0) || !isfinite (team->burst)
      || (table->count == table->capacity && !grow_teams (table)))
    return -1;
  copy.id = eel_team_id (team->name);
  copy.key_count = 0;
  slot = find_team_slot (table, copy.id);
  if (table->team_slots[slot] != 0)
    return -1;
  copy.name = strdup (team->name);
  if (copy.name == NULL)
    return -1;
  table->teams[table->count++] = copy;
  table->team_slots[slot] = table->count;
  return (int32_t)(table->count - 1);
}

/* A key that is held already serves no team unless it is held by the same. */
static void
claim_again (struct eel_team_table *table,
             struct eel_team_key *key,
             uint32_t team)
{
  if (key->team == team || key->team == EEL_TEAM_LEFT_OUT)
    return;
  table->teams[key->team].key_count--;
  key->team = EEL_TEAM_LEFT_OUT;
  table->ambiguous_keys++;
}

int
eel_team_table_add_key (struct eel_team_table *table,
                        uint32_t team,
                        const char *key,
                        size_t bytes)
{
  struct eel_team_key added = { .team = team };
  uint32_t slot;

  if (bytes == 0 || bytes > EEL_TEAM_KEY_MAX
      || (team >= table->count && team != EEL_TEAM_LEFT_OUT)
      || (table->key_count == table->key_capacity && !grow_keys (table)))
    return 0;
  crypto_shorthash_siphashx24 (added.hash, (const unsigned char *)key, bytes,
                               table->secret);
  slot = find_key_slot (table, added.hash);
  if (table->key_slots[slot] != 0)
    {
      claim_again (table, &table->keys[table->key_slots[slot] - 1], team);
      return 1;
    }
  table->keys[table->key_count++] = added;
  table->key_slots[slot] = table->key_count;
  if (team != EEL_TEAM_LEFT_OUT)
    table->teams[team].key_count++;
  return 1;
}

/* Gives back the room that growing has left over. */
void
eel_team_table_seal (struct eel_team_table *table)
{
  void *teams = NULL;
  void *keys = NULL;

  if (table->count > 0)
    teams = realloc (table->teams, table->count * sizeof *table->teams);
  if (table->key_count > 0)
    keys = realloc (table->keys, table->key_count * sizeof *table->keys);
  if (teams != NULL)
    {
      table->teams = teams;
      table->capacity = table->count;
    }
  if (keys != NULL)
    {
      table->keys = keys;
      table->key_capacity = table->key_count;
    }
}

const struct eel_team_key *
eel_team_table_find_hash (const struct eel_team_table *table,
                          const uint8_t hash[EEL_TEAM_KEY_HASH_BYTES])
{
  uint32_t found;

  if (table->key_slot_count == 0)
    return NULL;
  found = table->key_slots[find_key_slot (table, hash)];
  return found == 0 ? NULL : &table->keys[found - 1];
}

const struct eel_team *
eel_team_table_find_key (const struct eel_team_table *table,
                         const char *key,
                         size_t bytes)
{
  uint8_t hash[EEL_TEAM_KEY_HASH_BYTES];
  const struct eel_team_key *found;

  if (bytes == 0 || bytes > EEL_TEAM_KEY_MAX)
    return NULL;
  crypto_shorthash_siphashx24 (hash, (const unsigned char *)key, bytes,
                               table->secret);
  found = eel_team_table_find_hash (table, hash);
  return found == NULL || found->team == EEL_TEAM_LEFT_OUT
             ? NULL
             : &table->teams[found->team];
}

const struct eel_team *
eel_team_table_find (const struct eel_team_table *table, uint64_t id)
{
  uint32_t found;

  if (table->team_slot_count == 0 || id == EEL_NO_TEAM)
    return NULL;
  found = table->team_slots[find_team_slot (table, id)];
  return found == 0 ? NULL : &table->teams[found - 1];
}
