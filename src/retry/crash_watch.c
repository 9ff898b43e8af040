#include "eelgrasslatch/crash_watch.h"

#include <string.h>

#include "eelgrasslatch/types.h"

/* A crashed endpoint refuses the next connection within this time. */
#define BROKEN_LIFE_US (2 * EEL_US_PER_S)
/* Longer than an endpoint that has crashed stays away. */
#define ENDED_LIFE_US (10 * EEL_US_PER_S)

/* Prepares a watch that has seen nothing. */
void
eel_crash_watch_init (struct eel_crash_watch *watch)
{
  memset (watch, 0, sizeof *watch);
}

/* Remembers a run that broke off. */
void
eel_crash_watch_interrupted (struct eel_crash_watch *watch,
                             uint64_t fingerprint,
                             int64_t now_us)
{
  struct eel_crash_watch_entry *entry = &watch->broken[watch->next_broken];

  if (fingerprint == 0)
    return;
  entry->fingerprint = fingerprint;
  entry->at_us = now_us;
  watch->next_broken = (watch->next_broken + 1) % EEL_CRASH_WATCH_BROKEN_MAX;
}

/* Remembers that requests of this content can end well. */
void
eel_crash_watch_completed (struct eel_crash_watch *watch,
                           uint64_t fingerprint,
                           int64_t now_us)
{
  struct eel_crash_watch_entry *entry
      = &watch->ended[fingerprint % EEL_CRASH_WATCH_ENDED_MAX];

  if (fingerprint == 0)
    return;
  entry->fingerprint = fingerprint;
  entry->at_us = now_us;
}

static int
ended_lately (const struct eel_crash_watch *watch,
              uint64_t fingerprint,
              int64_t now_us)
{
  const struct eel_crash_watch_entry *entry
      = &watch->ended[fingerprint % EEL_CRASH_WATCH_ENDED_MAX];

  return entry->fingerprint == fingerprint
         && now_us - entry->at_us < ENDED_LIFE_US;
}

/* Hands what broke off just before to the quarantine, each only once. */
uint32_t
eel_crash_watch_endpoint_down (struct eel_crash_watch *watch,
                               struct eel_quarantine *quarantine,
                               int64_t now_us)
{
  uint64_t suspects[EEL_CRASH_WATCH_BROKEN_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < EEL_CRASH_WATCH_BROKEN_MAX; i++)
    {
      struct eel_crash_watch_entry *entry = &watch->broken[i];

      if (entry->fingerprint != 0 && now_us - entry->at_us < BROKEN_LIFE_US
          && !ended_lately (watch, entry->fingerprint, now_us))
        suspects[count++] = entry->fingerprint;
      entry->fingerprint = 0;
    }
  if (count > 0)
    eel_quarantine_crashed (quarantine, suspects, count, now_us);
  return count;
}
