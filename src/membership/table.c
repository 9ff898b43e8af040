#include "membership/table.h"

#include <stdio.h>
#include <string.h>

#include "internal/hash.h"

#define INDEX_MASK (EEL_MEMBERSHIP_INDEX - 1)

/* Multiplicative hash (Knuth); node numbers are often consecutive. */
static uint32_t
node_hash (uint32_t node)
{
  return node * UINT32_C (2654435761);
}

static uint32_t
index_slot (const struct eel_membership *membership, uint32_t node)
{
  /* The upper 13 bits: EEL_MEMBERSHIP_INDEX is 2^13. */
  uint32_t slot = node_hash (node) >> 19;

  while (membership->index[slot] != 0
         && membership->members[membership->index[slot] - 1].node != node)
    slot = (slot + 1) & INDEX_MASK;
  return slot;
}

struct eel_member *
eel_table_find (const struct eel_membership *membership, uint32_t node)
{
  uint32_t position = membership->index[index_slot (membership, node)];

  return position == 0 ? NULL : &membership->members[position - 1];
}

/* Returns the leaf range of a node, from 0: 9 bits for 512 leaves. */
uint32_t
eel_table_leaf (uint32_t node)
{
  return node_hash (node) >> 23;
}

static int
in_digest (uint8_t state)
{
  return state == EEL_MEMBER_ALIVE || state == EEL_MEMBER_SUSPECT
         || state == EEL_MEMBER_LEAVING;
}

/* Adds (sign 1) or subtracts (sign -1) a member's part of the digests. */
static void
digest_apply (struct eel_membership *membership,
              const struct eel_member *member,
              int sign)
{
  uint64_t parts[4] = { member->node, member->incarnation, member->generation,
                        member->state };
  uint32_t leaf = eel_table_leaf (member->node);
  uint64_t hash;

  membership->state_count[member->state] += (uint32_t)sign;
  if (!in_digest (member->state))
    return;
  hash = eel_hash64 (parts, sizeof parts, 0);
  membership->leaf_digest[leaf] += sign > 0 ? hash : -hash;
  membership->leaf_count[leaf] += (uint32_t)sign;
}

/* Sums the leaves of a range; ranges are numbered like a binary heap. */
uint64_t
eel_table_digest (const struct eel_membership *membership,
                  uint32_t range,
                  uint32_t *count)
{
  uint32_t first = range;
  uint32_t leaves = 1;
  uint64_t digest = 0;

  *count = 0;
  while (first < EEL_MEMBERSHIP_LEAVES)
    {
      first *= 2;
      leaves *= 2;
    }
  for (uint32_t i = 0; i < leaves; i++)
    {
      digest += membership->leaf_digest[first - EEL_MEMBERSHIP_LEAVES + i];
      *count += membership->leaf_count[first - EEL_MEMBERSHIP_LEAVES + i];
    }
  return digest;
}

/* Sets how many more messages carry the member's record. */
void
eel_table_set_sends (struct eel_membership *membership,
                     struct eel_member *member,
                     uint8_t sends)
{
  membership->pending_updates -= member->sends_left > 0;
  membership->pending_updates += sends > 0;
  member->sends_left = sends;
}

/* Sets how many more pings the member gets outside the probe set. */
void
eel_table_set_pings (struct eel_membership *membership,
                     struct eel_member *member,
                     uint8_t pings)
{
  membership->pending_pings -= member->pings_left > 0;
  membership->pending_pings += pings > 0;
  member->pings_left = pings;
}

/* Adds an unknown member; returns NULL and counts it if there is no room. */
struct eel_member *
eel_table_add (struct eel_membership *membership,
               const struct eel_member_update *update,
               int64_t now_us)
{
  struct eel_member *member;

  if (membership->count == membership->capacity)
    {
      membership->ignored_full++;
      return NULL;
    }
  member = &membership->members[membership->count];
  memset (member, 0, sizeof *member);
  member->node = update->node;
  member->incarnation = update->incarnation;
  member->generation = update->generation;
  member->state = update->state;
  member->domain = update->domain;
  member->service = update->service;
  memcpy (member->address, update->address, sizeof member->address);
  member->address[sizeof member->address - 1] = 0;
  member->changed_us = now_us;
  membership->index[index_slot (membership, update->node)]
      = (uint16_t)++membership->count;
  digest_apply (membership, member, 1);
  membership->version++;
  membership->probe_set_stale = 1;
  return member;
}

/* Backward-shift deletion, as the index is probed linearly. */
static void
index_remove (struct eel_membership *membership, uint32_t slot)
{
  uint32_t gap = slot;

  membership->index[gap] = 0;
  for (slot = (slot + 1) & INDEX_MASK; membership->index[slot] != 0;
       slot = (slot + 1) & INDEX_MASK)
    {
      uint32_t node = membership->members[membership->index[slot] - 1].node;
      uint32_t home = node_hash (node) >> 19;

      if (((slot - home) & INDEX_MASK) < ((slot - gap) & INDEX_MASK))
        continue;
      membership->index[gap] = membership->index[slot];
      membership->index[slot] = 0;
      gap = slot;
    }
}

/* Removes a member; the last one moves to its position. */
void
eel_table_remove (struct eel_membership *membership, uint32_t position)
{
  struct eel_member *member = &membership->members[position];
  struct eel_member *last = &membership->members[membership->count - 1];

  eel_table_set_sends (membership, member, 0);
  eel_table_set_pings (membership, member, 0);
  digest_apply (membership, member, -1);
  index_remove (membership, index_slot (membership, member->node));
  if (member != last)
    {
      membership->index[index_slot (membership, last->node)]
          = (uint16_t)(position + 1);
      *member = *last;
    }
  membership->count--;
  membership->version++;
  membership->probe_set_stale = 1;
}

/* A change of the generation alone is not reported to the owner. */
void
eel_table_set (struct eel_membership *membership,
               struct eel_member *member,
               uint8_t state,
               uint64_t generation,
               uint64_t incarnation,
               const char *source,
               int64_t now_us)
{
  uint8_t state_before = member->state;
  int restarted = member->incarnation != incarnation;

  digest_apply (membership, member, -1);
  member->state = state;
  member->generation = generation;
  member->incarnation = incarnation;
  digest_apply (membership, member, 1);
  if (state_before == state && !restarted)
    return;
  if (state_before != state)
    member->changed_us = now_us;
  membership->version++;
  membership->probe_set_stale = 1;
  if (membership->changed != NULL)
    membership->changed (membership->changed_data, member, state_before,
                         source);
}

void
eel_table_copy_update (const struct eel_member *member,
                       struct eel_member_update *update)
{
  memset (update, 0, sizeof *update);
  update->node = member->node;
  update->incarnation = member->incarnation;
  update->generation = member->generation;
  update->state = member->state;
  update->domain = member->domain;
  update->service = member->service;
  memcpy (update->address, member->address, sizeof update->address);
}
