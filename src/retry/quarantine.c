#include "eelgrasslatch/quarantine.h"

/* The caller owns the entries, which must outlive the quarantine. */
void
eel_quarantine_init (struct eel_quarantine *quarantine,
                     struct eel_quarantine_entry *entries,
                     uint32_t capacity,
                     int64_t life_us)
{
  *quarantine = (struct eel_quarantine){ .entries = entries,
                                         .capacity = capacity,
                                         .life_us = life_us };
}

void
eel_quarantine_finish (struct eel_quarantine *quarantine)
{
  quarantine->count = 0;
}

/* Removes an entry by moving the last one to its place. */
static void
remove_at (struct eel_quarantine *quarantine, uint32_t index)
{
  quarantine->entries[index] = quarantine->entries[--quarantine->count];
}

/* Returns NULL when there is no unexpired entry; removes an expired one. */
static struct eel_quarantine_entry *
find_entry (struct eel_quarantine *quarantine,
            uint64_t fingerprint,
            int64_t now_us)
{
  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      if (quarantine->entries[i].fingerprint != fingerprint)
        continue;
      if (now_us < quarantine->entries[i].expires_us)
        return &quarantine->entries[i];
      remove_at (quarantine, i);
      return NULL;
    }
  return NULL;
}

/* Returns the index of the entry with the earliest expiry, past or future. */
static uint32_t
earliest_expiry (const struct eel_quarantine *quarantine)
{
  uint32_t best = 0;

  for (uint32_t i = 1; i < quarantine->count; i++)
    if (quarantine->entries[i].expires_us
        < quarantine->entries[best].expires_us)
      best = i;
  return best;
}

/* Adds an entry; a full table evicts the one that expires first. */
static struct eel_quarantine_entry *
add_entry (struct eel_quarantine *quarantine,
           uint64_t fingerprint,
           int64_t expires_us,
           int64_t now_us)
{
  struct eel_quarantine_entry *entry;

  if (quarantine->count == quarantine->capacity)
    {
      uint32_t index = earliest_expiry (quarantine);

      if (quarantine->entries[index].expires_us > now_us)
        quarantine->evicted++;
      remove_at (quarantine, index);
    }
  entry = &quarantine->entries[quarantine->count++];
  *entry = (struct eel_quarantine_entry){ .fingerprint = fingerprint,
                                          .expires_us = expires_us,
                                          .state = EEL_QUARANTINE_SUSPECT };
  return entry;
}

/* Returns the state of a fingerprint; expired entries count as none. */
enum eel_quarantine_state
eel_quarantine_check (struct eel_quarantine *quarantine,
                      uint64_t fingerprint,
                      int64_t now_us)
{
  const struct eel_quarantine_entry *entry
      = find_entry (quarantine, fingerprint, now_us);

  return entry == NULL ? EEL_QUARANTINE_NONE
                       : (enum eel_quarantine_state)entry->state;
}

/*
 * Returns 1 and the fingerprint when exactly one of the requests in flight was
 * a suspect before.  When a refused one is among them, it is taken as the cause
 * of the crash and the result is 0.
 */
static int
find_only_suspect (struct eel_quarantine *quarantine,
                   const uint64_t *fingerprints,
                   size_t count,
                   int64_t now_us,
                   uint64_t *found)
{
  size_t suspects = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct eel_quarantine_entry *entry
          = find_entry (quarantine, fingerprints[i], now_us);

      if (entry == NULL)
        continue;
      if (entry->state == EEL_QUARANTINE_REFUSED)
        return 0;
      if (suspects == 0 || fingerprints[i] != *found)
        suspects++;
      *found = fingerprints[i];
    }
  return suspects == 1;
}

/*
 * Marks every request in flight at a crash as a suspect.  The only one that
 * was a suspect already becomes refused; when there are several, the cause is
 * ambiguous and they stay suspects.
 */
void
eel_quarantine_crashed (struct eel_quarantine *quarantine,
                        const uint64_t *fingerprints,
                        size_t count,
                        int64_t now_us)
{
  uint64_t cause = 0;
  int has_cause
      = find_only_suspect (quarantine, fingerprints, count, now_us, &cause);

  for (size_t i = 0; i < count && quarantine->capacity > 0; i++)
    {
      struct eel_quarantine_entry *entry
          = find_entry (quarantine, fingerprints[i], now_us);

      if (entry == NULL)
        entry = add_entry (quarantine, fingerprints[i],
                           now_us + quarantine->life_us, now_us);
      if (entry->crashes < UINT8_MAX)
        entry->crashes++;
      if (has_cause && entry->fingerprint == cause)
        {
          entry->state = EEL_QUARANTINE_REFUSED;
          entry->expires_us = now_us + quarantine->life_us;
        }
    }
}

/* Removes a suspect that completed: it does not crash upstreams. */
void
eel_quarantine_cleared (struct eel_quarantine *quarantine, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < quarantine->count; i++)
    if (quarantine->entries[i].fingerprint == fingerprint
        && quarantine->entries[i].state == EEL_QUARANTINE_SUSPECT)
      {
        remove_at (quarantine, i);
        return;
      }
}

/*
 * Caps the remaining life at the full one, and does not renew a refused entry,
 * so that gossip cannot keep an entry for ever.
 */
int
eel_quarantine_merge_refused (struct eel_quarantine *quarantine,
                              uint64_t fingerprint,
                              int64_t remaining_us,
                              int64_t now_us)
{
  struct eel_quarantine_entry *entry;

  if (remaining_us <= 0 || quarantine->capacity == 0)
    return 0;
  if (remaining_us > quarantine->life_us)
    remaining_us = quarantine->life_us;
  entry = find_entry (quarantine, fingerprint, now_us);
  if (entry != NULL && entry->state == EEL_QUARANTINE_REFUSED)
    return 0;
  if (entry == NULL)
    entry = add_entry (quarantine, fingerprint, now_us + remaining_us, now_us);
  entry->state = EEL_QUARANTINE_REFUSED;
  entry->expires_us = now_us + remaining_us;
  return 1;
}

/* Does not renew a known suspect, so that gossip cannot keep it for ever. */
int
eel_quarantine_merge_entry (struct eel_quarantine *quarantine,
                            const struct eel_quarantine_entry *reported,
                            int64_t remaining_us,
                            int64_t now_us)
{
  if (reported->state == EEL_QUARANTINE_REFUSED)
    return eel_quarantine_merge_refused (quarantine, reported->fingerprint,
                                         remaining_us, now_us);
  if (reported->state != EEL_QUARANTINE_SUSPECT || remaining_us <= 0
      || quarantine->capacity == 0
      || find_entry (quarantine, reported->fingerprint, now_us) != NULL)
    return 0;
  if (remaining_us > quarantine->life_us)
    remaining_us = quarantine->life_us;
  add_entry (quarantine, reported->fingerprint, now_us + remaining_us, now_us);
  return 1;
}

const struct eel_quarantine_entry *
eel_quarantine_newest (const struct eel_quarantine *quarantine, int64_t now_us)
{
  const struct eel_quarantine_entry *newest = NULL;

  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      const struct eel_quarantine_entry *entry = &quarantine->entries[i];

      if (now_us < entry->expires_us
          && (newest == NULL || entry->expires_us > newest->expires_us))
        newest = entry;
    }
  return newest;
}

/* Starts at the end of the table, where new entries are added. */
size_t
eel_quarantine_list_refused (struct eel_quarantine *quarantine,
                             struct eel_quarantine_entry *out,
                             size_t max,
                             int64_t now_us)
{
  size_t count = 0;

  for (uint32_t i = quarantine->count; i-- > 0 && count < max;)
    if (quarantine->entries[i].state == EEL_QUARANTINE_REFUSED
        && now_us < quarantine->entries[i].expires_us)
      out[count++] = quarantine->entries[i];
  return count;
}
