#include "eelgrasslatch/quarantine.h"

#include <string.h>

#include "quarantine_judge.h"
#include "quarantine_table.h"

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
eel_quarantine_set_hold (struct eel_quarantine *quarantine, int64_t hold_us)
{
  quarantine->hold_us = hold_us;
}

void
eel_quarantine_finish (struct eel_quarantine *quarantine)
{
  quarantine->count = 0;
}

/* A hold that has ended leaves a suspect. */
static void
end_hold (struct eel_quarantine_entry *entry, int64_t now_us)
{
  if (entry->held_until_us == 0 || now_us < entry->held_until_us)
    return;
  entry->held_until_us = 0;
  entry->state = EEL_QUARANTINE_SUSPECT;
}

const struct eel_quarantine_entry *
eel_quarantine_find (struct eel_quarantine *quarantine,
                     uint64_t fingerprint,
                     int64_t now_us)
{
  struct eel_quarantine_entry *entry
      = eel_quarantine_table_find (quarantine, fingerprint, now_us);

  if (entry != NULL)
    end_hold (entry, now_us);
  return entry;
}

/* Returns the state of a fingerprint; expired entries count as none. */
enum eel_quarantine_state
eel_quarantine_check (struct eel_quarantine *quarantine,
                      uint64_t fingerprint,
                      int64_t now_us)
{
  const struct eel_quarantine_entry *entry
      = eel_quarantine_find (quarantine, fingerprint, now_us);

  return entry == NULL ? EEL_QUARANTINE_NONE
                       : (enum eel_quarantine_state)entry->state;
}

/* What a request in flight at a crash says of its cause. */
struct crash_view
{
  /* The only one that was a suspect of another crash; 0: none or several. */
  uint64_t only_suspect;
  /* One that is refused for good was in flight: it is the cause. */
  int explained;
};

static void
view_crash (struct eel_quarantine *quarantine,
            uint32_t crash_id,
            const uint64_t *fingerprints,
            size_t count,
            int64_t now_us,
            struct crash_view *view)
{
  uint64_t found = 0;
  size_t suspects = 0;

  memset (view, 0, sizeof *view);
  for (size_t i = 0; i < count; i++)
    {
      const struct eel_quarantine_entry *entry
          = eel_quarantine_find (quarantine, fingerprints[i], now_us);

      if (entry == NULL
          || (entry->crashes == 1
              && eel_quarantine_has_crash (entry, crash_id)))
        continue;
      view->explained |= eel_quarantine_is_for_good (entry);
      if (suspects == 0 || fingerprints[i] != found)
        suspects++;
      found = fingerprints[i];
    }
  view->only_suspect = suspects == 1 && !view->explained ? found : 0;
}

/* Returns 1 when the crash is new to the entry. */
static int
add_crash (struct eel_quarantine_entry *entry, uint32_t crash_id)
{
  if (eel_quarantine_has_crash (entry, crash_id))
    return 0;
  if (entry->crashes < EEL_QUARANTINE_CRASHES_MAX)
    entry->crash_ids[entry->crashes] = crash_id;
  if (entry->crashes < UINT8_MAX)
    entry->crashes++;
  return 1;
}

/*
 * Marks every request in flight at a crash as a suspect.  The only one that
 * was a suspect already becomes refused; when there are several, the cause is
 * ambiguous and they stay suspects until one has crashes enough.
 */
void
eel_quarantine_crashed_at (struct eel_quarantine *quarantine,
                           uint32_t crash_id,
                           const uint64_t *fingerprints,
                           size_t count,
                           int64_t now_us)
{
  struct crash_view view;

  view_crash (quarantine, crash_id, fingerprints, count, now_us, &view);
  for (size_t i = 0; i < count && quarantine->capacity > 0; i++)
    {
      struct eel_quarantine_entry *entry
          = eel_quarantine_table_find (quarantine, fingerprints[i], now_us);

      if (entry == NULL)
        entry = eel_quarantine_table_add (quarantine, fingerprints[i],
                                          now_us + quarantine->life_us, now_us);
      if (!add_crash (entry, crash_id))
        continue;
      entry->changed_us = now_us;
      entry->expires_us = now_us + quarantine->life_us;
    }
  for (size_t i = 0; i < count; i++)
    {
      struct eel_quarantine_entry *entry
          = eel_quarantine_table_find (quarantine, fingerprints[i], now_us);

      if (entry != NULL && eel_quarantine_has_crash (entry, crash_id)
          && entry->changed_us == now_us)
        eel_quarantine_judge (quarantine, entry,
                              fingerprints[i] == view.only_suspect, now_us);
    }
}

void
eel_quarantine_crashed (struct eel_quarantine *quarantine,
                        const uint64_t *fingerprints,
                        size_t count,
                        int64_t now_us)
{
  eel_quarantine_crashed_at (quarantine, ++quarantine->anonymous_crashes,
                             fingerprints, count, now_us);
}

static void
clear (struct eel_quarantine *quarantine, uint64_t fingerprint, int refused_too)
{
  for (uint32_t i = 0; i < quarantine->count; i++)
    if (quarantine->entries[i].fingerprint == fingerprint
        && (refused_too
            || !eel_quarantine_is_for_good (&quarantine->entries[i])))
      {
        eel_quarantine_table_remove (quarantine, i);
        return;
      }
}

/* A suspect that completed does not crash upstreams. */
void
eel_quarantine_cleared (struct eel_quarantine *quarantine, uint64_t fingerprint)
{
  clear (quarantine, fingerprint, 0);
}

void
eel_quarantine_succeeded (struct eel_quarantine *quarantine,
                          uint64_t fingerprint)
{
  clear (quarantine, fingerprint, 1);
}

static int
is_repeated_suspect (struct eel_quarantine *quarantine,
                     uint64_t fingerprint,
                     int64_t now_us)
{
  const struct eel_quarantine_entry *entry
      = eel_quarantine_find (quarantine, fingerprint, now_us);

  return entry != NULL && entry->crashes >= 2;
}

enum eel_quarantine_trial
eel_quarantine_may_start (struct eel_quarantine *quarantine,
                          uint64_t fingerprint,
                          const uint64_t *running,
                          size_t count,
                          int64_t now_us)
{
  enum eel_quarantine_trial trial = EEL_QUARANTINE_START;

  if (eel_quarantine_check (quarantine, fingerprint, now_us)
      == EEL_QUARANTINE_REFUSED)
    return EEL_QUARANTINE_REFUSE;
  if (!is_repeated_suspect (quarantine, fingerprint, now_us))
    return EEL_QUARANTINE_START;
  for (size_t i = 0; i < count; i++)
    {
      if (running[i] == fingerprint)
        return EEL_QUARANTINE_REFUSE;
      if (is_repeated_suspect (quarantine, running[i], now_us))
        trial = EEL_QUARANTINE_ELSEWHERE;
    }
  return trial;
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
  entry = eel_quarantine_table_find (quarantine, fingerprint, now_us);
  if (entry != NULL && eel_quarantine_is_for_good (entry))
    return 0;
  if (entry == NULL)
    entry = eel_quarantine_table_add (quarantine, fingerprint,
                                      now_us + remaining_us, now_us);
  eel_quarantine_refuse (quarantine, entry, 0, now_us);
  entry->expires_us = now_us + remaining_us;
  return 1;
}

/* Adds the crashes of a reported entry; returns 1 when one was not known. */
static int
merge_crashes (struct eel_quarantine *quarantine,
               const struct eel_quarantine_entry *reported,
               int64_t remaining_us,
               int64_t now_us)
{
  struct eel_quarantine_entry *entry
      = eel_quarantine_table_find (quarantine, reported->fingerprint, now_us);
  int changed = 0;

  for (uint32_t i = 0; i < reported->crashes && i < EEL_QUARANTINE_CRASHES_MAX;
       i++)
    {
      if (entry == NULL)
        entry = eel_quarantine_table_add (quarantine, reported->fingerprint,
                                          now_us + remaining_us, now_us);
      changed |= add_crash (entry, reported->crash_ids[i]);
    }
  if (!changed)
    return 0;
  entry->changed_us = now_us;
  if (entry->expires_us < now_us + remaining_us)
    entry->expires_us = now_us + remaining_us;
  return 1;
}

/* Returns 1 when the entry was not held before. */
static int
merge_hold (struct eel_quarantine *quarantine,
            const struct eel_quarantine_entry *reported,
            int64_t now_us)
{
  struct eel_quarantine_entry *entry
      = eel_quarantine_table_find (quarantine, reported->fingerprint, now_us);
  int64_t until_us = reported->held_until_us;

  if (until_us > now_us + quarantine->hold_us)
    until_us = now_us + quarantine->hold_us;
  if (entry == NULL || entry->state == EEL_QUARANTINE_REFUSED
      || until_us <= now_us)
    return 0;
  eel_quarantine_refuse (quarantine, entry, until_us, now_us);
  return 1;
}

/* Does not renew a known suspect, so that gossip cannot keep it for ever. */
int
eel_quarantine_merge_entry (struct eel_quarantine *quarantine,
                            const struct eel_quarantine_entry *reported,
                            int64_t remaining_us,
                            int64_t now_us)
{
  struct eel_quarantine_entry *entry;
  int changed;

  if ((reported->state != EEL_QUARANTINE_SUSPECT
       && reported->state != EEL_QUARANTINE_REFUSED)
      || remaining_us <= 0 || quarantine->capacity == 0)
    return 0;
  if (remaining_us > quarantine->life_us)
    remaining_us = quarantine->life_us;
  changed = merge_crashes (quarantine, reported, remaining_us, now_us);
  if (reported->state == EEL_QUARANTINE_REFUSED && reported->held_until_us != 0)
    return merge_hold (quarantine, reported, now_us) || changed;
  if (reported->state == EEL_QUARANTINE_REFUSED)
    return eel_quarantine_merge_refused (quarantine, reported->fingerprint,
                                         remaining_us, now_us)
           || changed;
  entry = eel_quarantine_table_find (quarantine, reported->fingerprint, now_us);
  if (reported->crashes == 0 && entry == NULL)
    {
      eel_quarantine_table_add (quarantine, reported->fingerprint,
                                now_us + remaining_us, now_us);
      return 1;
    }
  if (changed)
    eel_quarantine_judge (quarantine, entry, 0, now_us);
  return changed;
}
