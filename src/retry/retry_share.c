#include "eelgrasslatch/retry_share.h"

#include <string.h>

/* Largest share of a window's retries in one slot, so that the first slot does
 * not use up the whole window. */
#define SLOT_SHARE (1.5 / EEL_RETRY_SHARE_SLOTS)
#define SLOTS (2 * EEL_RETRY_SHARE_SLOTS)

void
eel_retry_share_init (struct eel_retry_share *share,
                      double ratio,
                      double extra,
                      int64_t window_us,
                      int64_t now_us)
{
  memset (share, 0, sizeof *share);
  share->ratio = ratio;
  share->extra = extra;
  share->slot_us = window_us / EEL_RETRY_SHARE_SLOTS;
  share->slot_end_us = now_us + share->slot_us;
}

/* Moves the current slot to now_us and clears the slots in between. */
static void
advance (struct eel_retry_share *share, int64_t now_us)
{
  uint32_t steps = 0;

  while (now_us >= share->slot_end_us && steps < SLOTS)
    {
      share->slot = (share->slot + 1) % SLOTS;
      share->requests[share->slot] = 0;
      share->retries_milli[share->slot] = 0;
      share->slot_end_us += share->slot_us;
      steps++;
    }
  if (now_us >= share->slot_end_us)
    share->slot_end_us = now_us + share->slot_us;
}

/* Sums count slots, from the one that is ago slots before the current one. */
static uint32_t
sum_slots (const struct eel_retry_share *share,
           const uint32_t *slots,
           uint32_t ago,
           uint32_t count)
{
  uint32_t total = 0;

  for (uint32_t i = 0; i < count; i++)
    total += slots[(share->slot + 2 * SLOTS - ago - i) % SLOTS];
  return total;
}

/*
 * Returns the retries left, in thousandths, to a window that began so many
 * slots ago.  They are earned by its requests so far or by those of the whole
 * window before it, whichever are more.
 */
static double
remaining_milli (const struct eel_retry_share *share, uint32_t slots)
{
  uint32_t current = sum_slots (share, share->requests, 0, slots);
  uint32_t previous
      = sum_slots (share, share->requests, slots, EEL_RETRY_SHARE_SLOTS);
  double allowed
      = share->ratio * (current > previous ? current : previous) + share->extra;

  return allowed * 1000 - sum_slots (share, share->retries_milli, 0, slots);
}

void
eel_retry_share_request (struct eel_retry_share *share, int64_t now_us)
{
  advance (share, now_us);
  share->requests[share->slot]++;
}

/* Takes a retry when every window that includes now_us has room for it. */
int
eel_retry_share_take (struct eel_retry_share *share,
                      uint32_t cost_milli,
                      int64_t now_us)
{
  uint32_t in_slot;
  double slot_milli;

  advance (share, now_us);
  in_slot = share->retries_milli[share->slot];
  slot_milli = (remaining_milli (share, 1) + in_slot) * SLOT_SHARE;
  /* The first retry of a slot is exempt, or low traffic would get none. */
  if (in_slot > 0 && in_slot + cost_milli > slot_milli)
    {
      share->refused++;
      return 0;
    }
  for (uint32_t slots = 1; slots <= EEL_RETRY_SHARE_SLOTS; slots++)
    if (remaining_milli (share, slots) < cost_milli)
      {
        share->refused++;
        return 0;
      }
  share->retries_milli[share->slot] += cost_milli;
  return 1;
}

double
eel_retry_share_room_milli (struct eel_retry_share *share,
                            int64_t *left_us,
                            int64_t now_us)
{
  double room_milli;
  double in_slot;

  advance (share, now_us);
  *left_us = share->slot_end_us - now_us;
  in_slot = share->retries_milli[share->slot];
  room_milli = (remaining_milli (share, 1) + in_slot) * SLOT_SHARE - in_slot;
  for (uint32_t slots = 1; slots <= EEL_RETRY_SHARE_SLOTS; slots++)
    {
      double window_milli = remaining_milli (share, slots);

      if (window_milli < room_milli)
        room_milli = window_milli;
    }
  return room_milli;
}
