#include <math.h>
#include <stddef.h>

#include "internal/gate.h"

/* The gate's choices among requests that count on a team's share. */

/* Time since the last refused request after which a rank isn't crowded. */
#define CROWDED_US (200 * EEL_US_PER_MS)

/* Part of a request's slack up to its target after which it no longer waits for
   its team's share. */
#define SHARE_WAIT_PERCENT 80

/* Part of the slots that the teams of a rank are taken to get at least: what
   they hold at the moment says little when others have just overtaken them. */
#define SLOTS_MIN_SHARE 0.5

/* Completes the share of an arriving item; its entry is EEL_FAIR_NONE when it
   names no team. */
struct eel_gate_share
eel_gate_share_count (struct eel_gate *gate,
                      const struct eel_gate_item *item,
                      const struct eel_gate_share *share,
                      int64_t now_us)
{
  struct eel_gate_share own = { .entry = EEL_FAIR_NONE };

  if (share != NULL)
    own.is_guest = share->is_guest;
  if (share == NULL || share->team == 0)
    return own;
  own = *share;
  own.displaced = 0;
  own.ahead = 0;
  if (own.expected_us <= 0)
    own.expected_us = gate->fair.hold_us[item->rank];
  if (own.expected_us <= 0)
    own.expected_us = gate->hold_us;
  own.entry = eel_fair_order_ask (&gate->fair, own.team, item->rank,
                                  own.weight_milli, own.expected_us, now_us);
  return own;
}

/* True when the item is queued on a share of the rank. */
static int
has_share (const struct eel_gate *gate, uint32_t index, uint8_t rank)
{
  return gate->queue[index].rank == rank
         && gate->shares[index].entry != EEL_FAIR_NONE;
}

/* Expected time until the team's share gives the arriving item a slot, after
   those that go before all teams of its rank. */
int64_t
eel_gate_share_wait_us (const struct eel_gate *gate,
                        const struct eel_gate_item *item,
                        const struct eel_gate_share *share,
                        int64_t now_us)
{
  uint32_t own_ahead = 0;
  uint32_t others_ahead = 0;
  uint32_t share_ahead;
  int64_t share_us;
  int64_t wait_us;

  for (uint32_t i = 0; i < gate->queued; i++)
    if (eel_gate_precedes (gate, item, &gate->queue[i], now_us))
      continue;
    else if (!has_share (gate, i, item->rank))
      others_ahead++;
    else if (gate->shares[i].entry == share->entry)
      own_ahead++;
  share_us = eel_fair_order_wait_us (&gate->fair, share->entry, own_ahead,
                                     fmax (1, gate->limit * SLOTS_MIN_SHARE),
                                     &share_ahead);
  share_us += eel_gate_expected_wait_us (gate, others_ahead, now_us);
  wait_us
      = eel_gate_expected_wait_us (gate, others_ahead + share_ahead, now_us);
  return share_us > wait_us ? share_us : wait_us;
}

/* Virtual time at which the entry's last request starts, which is queued or, if
   it arrives, to be queued. */
static double
last_start_us (const struct eel_gate *gate, int32_t entry, int arrives)
{
  uint32_t queued = gate->fair.teams[entry].queued;

  return eel_fair_order_start_us (&gate->fair, entry,
                                  arrives ? queued : queued - 1);
}

/*
 * Marks a queued item of the rank for refusal in place of an arriving one: the
 * last by its team's share and then by target.  Returns 0 when the arriving one
 * is the last itself.
 */
int
eel_gate_share_displace (struct eel_gate *gate,
                         const struct eel_gate_item *item,
                         const struct eel_gate_share *share,
                         int64_t now_us)
{
  const struct eel_gate_item *last = item;
  int32_t last_entry = share->entry;
  double last_us = last_start_us (gate, share->entry, 1);
  uint32_t index = 0;

  for (uint32_t i = 0; i < gate->queued; i++)
    {
      int32_t entry = gate->shares[i].entry;
      double start_us;

      if (!has_share (gate, i, item->rank) || gate->shares[i].displaced)
        continue;
      start_us = last_start_us (gate, entry, entry == share->entry);
      if (entry == last_entry
              ? !eel_gate_precedes (gate, last, &gate->queue[i], now_us)
              : start_us <= last_us)
        continue;
      last = &gate->queue[i];
      last_us = start_us;
      last_entry = entry;
      index = i;
    }
  if (last == item)
    return 0;
  gate->shares[index].displaced = 1;
  gate->displaced++;
  return 1;
}

/* Counts a new item among those that are ahead of others, or those ahead of
   it. */
void
eel_gate_share_queued (struct eel_gate *gate, uint32_t index, int64_t now_us)
{
  const struct eel_gate_item *item = &gate->queue[index];
  struct eel_gate_share *share = &gate->shares[index];

  for (uint32_t i = 0; i < gate->queued; i++)
    if (gate->queue[i].rank != item->rank || i == index)
      continue;
    else if (share->entry != EEL_FAIR_NONE)
      gate->shares[i].ahead
          += (uint32_t)eel_gate_precedes (gate, item, &gate->queue[i], now_us);
    else if (has_share (gate, i, item->rank))
      share->ahead
          += (uint32_t)eel_gate_precedes (gate, &gate->queue[i], item, now_us);
}

/* Counts an item with a share as ahead of none, when it starts, or only of
   those that it precedes, when it doesn't. */
void
eel_gate_share_removed (struct eel_gate *gate,
                        const struct eel_gate_item *item,
                        int started,
                        int64_t now_us)
{
  for (uint32_t i = 0; i < gate->queued; i++)
    if (gate->queue[i].rank == item->rank && gate->shares[i].ahead > 0
        && (started || eel_gate_precedes (gate, item, &gate->queue[i], now_us)))
      gate->shares[i].ahead--;
}

/* Returns the first of the items of a rank that can, or that can't, meet their
   target, and that have no share; gate->queued when there is none. */
static uint32_t
first_without_share (const struct eel_gate *gate,
                     uint8_t rank,
                     int late,
                     int64_t now_us)
{
  int64_t end_us = now_us + (int64_t)gate->hold_us;
  uint32_t best = gate->queued;

  for (uint32_t i = 0; i < gate->queued; i++)
    if (gate->queue[i].rank == rank && gate->shares[i].entry == EEL_FAIR_NONE
        && (gate->queue[i].target_us < end_us) == late
        && (best == gate->queued
            || eel_gate_precedes (gate, &gate->queue[i], &gate->queue[best],
                                  now_us)))
      best = i;
  return best;
}

/*
 * Returns true for an item that would soon miss its target.  What is queued was
 * expected to get its share in time; when requests of others that came later
 * have overtaken it, waiting on would waste the wait.
 */
static int
is_overdue (const struct eel_gate *gate,
            const struct eel_gate_item *item,
            int64_t now_us)
{
  int64_t slack_us
      = item->target_us - item->arrived_us - (int64_t)gate->hold_us;

  return now_us - item->arrived_us > slack_us * SHARE_WAIT_PERCENT / 100;
}

/* Returns true when the queued item a starts before b, both with shares in the
   same rank and either able or unable to meet their targets. */
static int
starts_before (const struct eel_gate *gate,
               uint32_t a,
               uint32_t b,
               int64_t now_us)
{
  const struct eel_gate_item *item = &gate->queue[a];
  const struct eel_gate_item *other = &gate->queue[b];
  int32_t entry = gate->shares[a].entry;
  int32_t other_entry = gate->shares[b].entry;
  int overdue = is_overdue (gate, item, now_us);

  if (overdue != is_overdue (gate, other, now_us))
    return overdue;
  if (overdue || entry == other_entry)
    return eel_gate_precedes (gate, item, other, now_us);
  return eel_fair_order_start_us (&gate->fair, entry, 0)
         < eel_fair_order_start_us (&gate->fair, other_entry, 0);
}

/*
 * Returns the item to start when first goes before all others and has a share:
 * of those of its rank that can, or can't, meet their target like it, the first
 * that is overdue, or else that of the least virtual time.  An item without a
 * share goes before it once as many have started as preceded it, as without
 * shares.
 */
uint32_t
eel_gate_share_pick (const struct eel_gate *gate,
                     uint32_t first,
                     int64_t now_us)
{
  uint8_t rank = gate->queue[first].rank;
  int64_t end_us = now_us + (int64_t)gate->hold_us;
  int late = gate->queue[first].target_us < end_us;
  uint32_t best = first;
  uint32_t other;

  for (uint32_t i = 0; i < gate->queued; i++)
    if (has_share (gate, i, rank) && (gate->queue[i].target_us < end_us) == late
        && starts_before (gate, i, best, now_us))
      best = i;
  other = first_without_share (gate, rank, late, now_us);
  return other < gate->queued && gate->shares[other].ahead == 0 ? other : best;
}

/* Returns true for an item that waits on a share, can't meet its target any
   more and would be overtaken as long as others are refused that could. */
int
eel_gate_share_crowded_out (const struct eel_gate *gate,
                            uint32_t index,
                            int64_t now_us)
{
  const struct eel_gate_item *item = &gate->queue[index];

  return gate->shares[index].entry != EEL_FAIR_NONE
         && item->target_us < now_us + (int64_t)gate->hold_us
         && gate->fair.refused_at_us[item->rank] > now_us - CROWDED_US;
}

void
eel_gate_done_share (struct eel_gate *gate,
                     uint64_t team,
                     uint8_t rank,
                     int64_t held_us)
{
  eel_fair_order_done (&gate->fair, team, rank, (double)held_us);
}
