#include "eelgrasslatch/retry_share.h"

#include <string.h>

/* Of a window's retries, in one slot: the first second must not take all. */
#define SLOT_SHARE (1.5 / EEL_RETRY_SHARE_SLOTS)
#define SLOTS (2 * EEL_RETRY_SHARE_SLOTS)

/* Prepares an empty window. */
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

/* Forgets the slots that have passed. */
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

/* Adds up some slots; ago counts back from the present one. */
static uint32_t
sum (const struct eel_retry_share *share,
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
 * Retries in thousandths that are left to a window that began some slots ago:
 * its requests so far, or those of a whole window before its start.
 */
static double
left_milli (const struct eel_retry_share *share, uint32_t slots)
{
  uint32_t present = sum (share, share->requests, 0, slots);
  uint32_t before = sum (share, share->requests, slots, EEL_RETRY_SHARE_SLOTS);
  double allowed
      = share->ratio * (present > before ? present : before) + share->extra;

  return allowed * 1000 - sum (share, share->retries_milli, 0, slots);
}

/* Counts a request for the service. */
void
eel_retry_share_request (struct eel_retry_share *share, int64_t now_us)
{
  advance (share, now_us);
  share->requests[share->slot]++;
}

/* Takes a retry when every window that holds this moment has room for it. */
int
eel_retry_share_take (struct eel_retry_share *share,
                      uint32_t cost_milli,
                      int64_t now_us)
{
  uint32_t in_slot;
  double slot_milli;

  advance (share, now_us);
  in_slot = share->retries_milli[share->slot];
  slot_milli = (left_milli (share, 1) + in_slot) * SLOT_SHARE;
  /* The first of a slot passes, or little traffic would get none. */
  if (in_slot > 0 && in_slot + cost_milli > slot_milli)
    {
      share->refused++;
      return 0;
    }
  for (uint32_t slots = 1; slots <= EEL_RETRY_SHARE_SLOTS; slots++)
    if (left_milli (share, slots) < cost_milli)
      {
        share->refused++;
        return 0;
      }
  share->retries_milli[share->slot] += cost_milli;
  return 1;
}
