#include "quarantine_judge.h"

#include "quarantine_table.h"

int
eel_quarantine_is_for_good (const struct eel_quarantine_entry *entry)
{
  return entry->state == EEL_QUARANTINE_REFUSED && entry->held_until_us == 0;
}

/* True when the other was in flight at all crashes of the entry, and at more.
 */
static int
explains (const struct eel_quarantine_entry *other,
          const struct eel_quarantine_entry *entry)
{
  if (other->crashes <= entry->crashes)
    return 0;
  for (uint32_t i = 0; i < entry->crashes && i < EEL_QUARANTINE_CRASHES_MAX;
       i++)
    if (!eel_quarantine_has_crash (other, entry->crash_ids[i]))
      return 0;
  return 1;
}

static int
is_explained (const struct eel_quarantine *quarantine,
              const struct eel_quarantine_entry *entry)
{
  for (uint32_t i = 0; i < quarantine->count; i++)
    if (explains (&quarantine->entries[i], entry))
      return 1;
  return 0;
}

/* Holds the refused ones whose crashes the entry explains by now: each may be
   tried once more. */
static void
hold_explained (struct eel_quarantine *quarantine,
                const struct eel_quarantine_entry *cause,
                int64_t now_us)
{
  if (quarantine->hold_us == 0
      || cause->crashes <= EEL_QUARANTINE_CRASHES_REFUSED)
    return;
  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      struct eel_quarantine_entry *entry = &quarantine->entries[i];

      if (eel_quarantine_is_for_good (entry) && entry->crashes > 0
          && explains (cause, entry))
        entry->held_until_us = now_us + quarantine->hold_us;
    }
}

void
eel_quarantine_refuse (struct eel_quarantine *quarantine,
                       struct eel_quarantine_entry *entry,
                       int64_t until_us,
                       int64_t now_us)
{
  if (eel_quarantine_is_for_good (entry))
    return;
  entry->state = EEL_QUARANTINE_REFUSED;
  entry->held_until_us = until_us;
  entry->expires_us = now_us + quarantine->life_us;
  entry->changed_us = now_us;
}

/* Refuses an entry if its crashes are enough: for good, or for a while if
   another one explains them. */
void
eel_quarantine_judge (struct eel_quarantine *quarantine,
                      struct eel_quarantine_entry *entry,
                      int is_only_suspect,
                      int64_t now_us)
{
  int64_t held_until_us
      = quarantine->hold_us > 0 ? now_us + quarantine->hold_us : 0;

  if (entry->crashes >= EEL_QUARANTINE_CRASHES_REFUSED
      && !is_explained (quarantine, entry))
    eel_quarantine_refuse (quarantine, entry, 0, now_us);
  else if (is_only_suspect || entry->crashes >= EEL_QUARANTINE_CRASHES_REFUSED)
    eel_quarantine_refuse (quarantine, entry, held_until_us, now_us);
  hold_explained (quarantine, entry, now_us);
}
