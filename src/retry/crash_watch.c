#include "eelgrasslatch/crash_watch.h"

#include <string.h>

#include "eelgrasslatch/types.h"

/* A crashed endpoint refuses the next connection within this time. */
#define INTERRUPTED_LIFE_US (2 * EEL_US_PER_S)
/* Longer than a crashed endpoint stays unavailable. */
#define COMPLETED_LIFE_US (10 * EEL_US_PER_S)

void
eel_crash_watch_init (struct eel_crash_watch *watch)
{
  memset (watch, 0, sizeof *watch);
}

/* Overwrites the oldest record when the ring is full. */
void
eel_crash_watch_interrupted (struct eel_crash_watch *watch,
                             uint64_t fingerprint,
                             int64_t now_us)
{
  struct eel_crash_watch_entry *entry
      = &watch->interrupted[watch->next_interrupted];

  if (fingerprint == 0)
    return;
  entry->fingerprint = fingerprint;
  entry->at_us = now_us;
  watch->next_interrupted
      = (watch->next_interrupted + 1) % EEL_CRASH_WATCH_INTERRUPTED_MAX;
}

/* Keeps the fingerprint from being reported for COMPLETED_LIFE_US. */
void
eel_crash_watch_completed (struct eel_crash_watch *watch,
                           uint64_t fingerprint,
                           int64_t now_us)
{
  struct eel_crash_watch_entry *entry
      = &watch->completed[fingerprint % EEL_CRASH_WATCH_COMPLETED_MAX];

  if (fingerprint == 0)
    return;
  entry->fingerprint = fingerprint;
  entry->at_us = now_us;
}

static int
completed_recently (const struct eel_crash_watch *watch,
                    uint64_t fingerprint,
                    int64_t now_us)
{
  const struct eel_crash_watch_entry *entry
      = &watch->completed[fingerprint % EEL_CRASH_WATCH_COMPLETED_MAX];

  return entry->fingerprint == fingerprint
         && now_us - entry->at_us < COMPLETED_LIFE_US;
}

/*
 * Reports the recently interrupted runs to the quarantine, each only once, and
 * leaves out fingerprints that completed recently.
 */
uint32_t
eel_crash_watch_endpoint_down (struct eel_crash_watch *watch,
                               struct eel_quarantine *quarantine,
                               int64_t now_us)
{
  uint64_t suspects[EEL_CRASH_WATCH_INTERRUPTED_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < EEL_CRASH_WATCH_INTERRUPTED_MAX; i++)
    {
      struct eel_crash_watch_entry *entry = &watch->interrupted[i];

      if (entry->fingerprint != 0 && now_us - entry->at_us < INTERRUPTED_LIFE_US
          && !completed_recently (watch, entry->fingerprint, now_us))
        suspects[count++] = entry->fingerprint;
      entry->fingerprint = 0;
    }
  if (count > 0)
    eel_quarantine_crashed (quarantine, suspects, count, now_us);
  return count;
}
