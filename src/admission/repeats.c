#include "eelgrasslatch/repeats.h"

#include <string.h>

/* Part of the time that a caller was told after which it may come back: clients
 * round, and add jitter of their own. */
#define EARLY_PERCENT 50
/* Longest time for which a repeated request is refused: another caller may send
 * the same one. */
#define EARLY_MAX_US (300 * EEL_US_PER_MS)

void
eel_repeats_init (struct eel_repeats *repeats)
{
  memset (repeats, 0, sizeof *repeats);
}

/* A request that is refused again because it is early isn't held off for
   longer. */
void
eel_repeats_refused (struct eel_repeats *repeats,
                     uint64_t key,
                     int64_t after_us,
                     int64_t now_us)
{
  struct eel_repeat *entry = &repeats->entries[key % EEL_REPEATS_MAX];
  int64_t early_us = after_us * EARLY_PERCENT / 100;

  if (eel_repeats_is_early (repeats, key, now_us))
    return;
  entry->key = key;
  entry->until_us
      = now_us + (early_us < EARLY_MAX_US ? early_us : EARLY_MAX_US);
}

int
eel_repeats_is_early (const struct eel_repeats *repeats,
                      uint64_t key,
                      int64_t now_us)
{
  const struct eel_repeat *entry = &repeats->entries[key % EEL_REPEATS_MAX];

  return entry->key == key && now_us < entry->until_us;
}
