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

/* Adds up one window; ago counts back from the present slot. */
static uint32_t
sum (const struct eel_retry_share *share, const uint32_t *slots, uint32_t ago)
{
  uint32_t total = 0;

  for (uint32_t i = 0; i < EEL_RETRY_SHARE_SLOTS; i++)
    total += slots[(share->slot + 2 * SLOTS - ago - i) % SLOTS];
  return total;
}

/* Counts a request for the service. */
void
eel_retry_share_request (struct eel_retry_share *share, int64_t now_us)
{
  advance (share, now_us);
  share->requests[share->slot]++;
}

/* Takes a retry when the window has room for it. */
int
eel_retry_share_take (struct eel_retry_share *share,
                      uint32_t cost_milli,
                      int64_t now_us)
{
  uint32_t present;
  uint32_t before;
  double allowed;

  advance (share, now_us);
  present = sum (share, share->requests, 0);
  before = sum (share, share->requests, EEL_RETRY_SHARE_SLOTS);
  allowed = share->ratio * (present > before ? present : before) + share->extra;
  if (sum (share, share->retries_milli, 0) + cost_milli > allowed * 1000
      || share->retries_milli[share->slot] + cost_milli
             > allowed * 1000 * SLOT_SHARE + 1000)
    {
      share->refused++;
      return 0;
    }
  share->retries_milli[share->slot] += cost_milli;
  return 1;
}
