#include "quarantine_table.h"

#include <string.h>

static uint64_t
filter_bit (uint64_t fingerprint, uint32_t *word)
{
  uint32_t bit = (uint32_t)(fingerprint % EEL_QUARANTINE_FILTER_BITS);

  *word = bit / 64;
  return UINT64_C (1) << (bit % 64);
}

static void
filter_add (struct eel_quarantine *quarantine, uint64_t fingerprint)
{
  uint32_t word;
  uint64_t bit = filter_bit (fingerprint, &word);

  quarantine->filter[word] |= bit;
}

static int
filter_has (const struct eel_quarantine *quarantine, uint64_t fingerprint)
{
  uint32_t word;
  uint64_t bit = filter_bit (fingerprint, &word);

  return (quarantine->filter[word] & bit) != 0;
}

/* The bits of removed entries stay until the table is empty or full. */
static void
filter_rebuild (struct eel_quarantine *quarantine)
{
  memset (quarantine->filter, 0, sizeof quarantine->filter);
  for (uint32_t i = 0; i < quarantine->count; i++)
    filter_add (quarantine, quarantine->entries[i].fingerprint);
}

void
eel_quarantine_table_remove (struct eel_quarantine *quarantine, uint32_t index)
{
  quarantine->entries[index] = quarantine->entries[--quarantine->count];
  if (quarantine->count == 0)
    filter_rebuild (quarantine);
}

struct eel_quarantine_entry *
eel_quarantine_table_find (struct eel_quarantine *quarantine,
                           uint64_t fingerprint,
                           int64_t now_us)
{
  if (!filter_has (quarantine, fingerprint))
    return NULL;
  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      if (quarantine->entries[i].fingerprint != fingerprint)
        continue;
      if (now_us < quarantine->entries[i].expires_us)
        return &quarantine->entries[i];
      eel_quarantine_table_remove (quarantine, i);
      return NULL;
    }
  return NULL;
}

/* An expired entry goes first, then one of the fewest crashes that is not
   refused, then the one that expires first. */
static int
goes_before (const struct eel_quarantine_entry *a,
             const struct eel_quarantine_entry *b,
             int64_t now_us)
{
  int a_expired = a->expires_us <= now_us;
  int b_expired = b->expires_us <= now_us;

  if (a_expired != b_expired)
    return a_expired;
  if (a->state != b->state)
    return a->state < b->state;
  if (a->crashes != b->crashes)
    return a->crashes < b->crashes;
  return a->expires_us < b->expires_us;
}

static void
evict (struct eel_quarantine *quarantine, int64_t now_us)
{
  uint32_t first = 0;

  for (uint32_t i = 1; i < quarantine->count; i++)
    if (goes_before (&quarantine->entries[i], &quarantine->entries[first],
                     now_us))
      first = i;
  if (quarantine->entries[first].expires_us > now_us)
    quarantine->evicted++;
  eel_quarantine_table_remove (quarantine, first);
  filter_rebuild (quarantine);
}

struct eel_quarantine_entry *
eel_quarantine_table_add (struct eel_quarantine *quarantine,
                          uint64_t fingerprint,
                          int64_t expires_us,
                          int64_t now_us)
{
  struct eel_quarantine_entry *entry;

  if (quarantine->count == quarantine->capacity)
    evict (quarantine, now_us);
  entry = &quarantine->entries[quarantine->count++];
  *entry = (struct eel_quarantine_entry){ .fingerprint = fingerprint,
                                          .expires_us = expires_us,
                                          .changed_us = now_us,
                                          .state = EEL_QUARANTINE_SUSPECT };
  filter_add (quarantine, fingerprint);
  return entry;
}

int
eel_quarantine_has_crash (const struct eel_quarantine_entry *entry,
                          uint32_t crash_id)
{
  for (uint32_t i = 0; i < entry->crashes && i < EEL_QUARANTINE_CRASHES_MAX;
       i++)
    if (entry->crash_ids[i] == crash_id)
      return 1;
  return 0;
}
