#include "eelgrasslatch/crash_watch.h"

#include <string.h>

#include "eelgrasslatch/types.h"

/* A crashed endpoint refuses the next connection within this time. */
#define INTERRUPTED_LIFE_US (2 * EEL_US_PER_S)
/* How long an endpoint may go on with a run that was given up. */
#define GIVEN_UP_LIFE_US (5 * EEL_US_PER_S)
/* Longer than a crashed endpoint stays unavailable. */
#define COMPLETED_LIFE_US (10 * EEL_US_PER_S)

void
eel_crash_watch_init (struct eel_crash_watch *watch, uint64_t seed)
{
  memset (watch, 0, sizeof *watch);
  eel_rng_init (&watch->rng, seed);
}

/* Overwrites the oldest record when the ring is full. */
static void
add_run (struct eel_crash_watch *watch,
         uint64_t fingerprint,
         int64_t started_us,
         int64_t expires_us)
{
  if (fingerprint == 0)
    return;
  watch->runs[watch->next_run]
      = (struct eel_crash_watch_run){ .fingerprint = fingerprint,
                                      .started_us = started_us,
                                      .expires_us = expires_us };
  watch->next_run = (watch->next_run + 1) % EEL_CRASH_WATCH_RUNS_MAX;
}

void
eel_crash_watch_interrupted (struct eel_crash_watch *watch,
                             uint64_t fingerprint,
                             int64_t started_us,
                             int64_t now_us)
{
  add_run (watch, fingerprint, started_us, now_us + INTERRUPTED_LIFE_US);
}

void
eel_crash_watch_given_up (struct eel_crash_watch *watch,
                          uint64_t fingerprint,
                          int64_t started_us,
                          int64_t now_us)
{
  add_run (watch, fingerprint, started_us, now_us + GIVEN_UP_LIFE_US);
}

/* Keeps the fingerprint from being reported for COMPLETED_LIFE_US. */
void
eel_crash_watch_completed (struct eel_crash_watch *watch,
                           uint64_t fingerprint,
                           int64_t now_us)
{
  struct eel_crash_watch_completed *entry
      = &watch->completed[fingerprint % EEL_CRASH_WATCH_COMPLETED_MAX];

  if (fingerprint == 0)
    return;
  entry->fingerprint = fingerprint;
  entry->at_us = now_us;
}

int
eel_crash_watch_completed_recently (const struct eel_crash_watch *watch,
                                    uint64_t fingerprint,
                                    int64_t now_us)
{
  const struct eel_crash_watch_completed *entry
      = &watch->completed[fingerprint % EEL_CRASH_WATCH_COMPLETED_MAX];

  return entry->fingerprint == fingerprint
         && now_us - entry->at_us < COMPLETED_LIFE_US;
}

int
eel_crash_watch_completed_since (const struct eel_crash_watch *watch,
                                 uint64_t fingerprint,
                                 int64_t since_us)
{
  const struct eel_crash_watch_completed *entry
      = &watch->completed[fingerprint % EEL_CRASH_WATCH_COMPLETED_MAX];

  return entry->fingerprint == fingerprint && entry->at_us > since_us;
}

/* Moves the fingerprints of runs that started in that time to suspects. */
static void
take_suspects (struct eel_crash_watch *watch,
               int64_t after_us,
               int64_t until_us,
               int64_t now_us)
{
  watch->suspect_count = 0;
  for (uint32_t i = 0; i < EEL_CRASH_WATCH_RUNS_MAX; i++)
    {
      struct eel_crash_watch_run *run = &watch->runs[i];

      if (run->fingerprint == 0 || run->started_us <= after_us
          || run->started_us > until_us)
        continue;
      if (now_us < run->expires_us
          && !eel_crash_watch_completed_recently (watch, run->fingerprint,
                                                  now_us))
        watch->suspects[watch->suspect_count++] = run->fingerprint;
      run->fingerprint = 0;
    }
}

uint32_t
eel_crash_watch_endpoint_down (struct eel_crash_watch *watch,
                               struct eel_quarantine *quarantine,
                               int64_t now_us)
{
  uint32_t late;

  take_suspects (watch, INT64_MIN, watch->crashed_us, now_us);
  late = watch->suspect_count;
  if (late > 0)
    eel_quarantine_crashed_at (quarantine, watch->crash_id, watch->suspects,
                               late, now_us);
  take_suspects (watch, watch->crashed_us, INT64_MAX, now_us);
  if (watch->suspect_count == 0)
    return late;
  watch->crashed_us = now_us;
  watch->crash_id = (uint32_t)eel_rng_next (&watch->rng);
  eel_quarantine_crashed_at (quarantine, watch->crash_id, watch->suspects,
                             watch->suspect_count, now_us);
  return watch->suspect_count;
}
