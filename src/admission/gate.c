#include "eelgrasslatch/gate.h"

#include <math.h>
#include <string.h>

#include "internal/gate.h"

/* Part of the slots to use: some upstreams slow down close to saturation. */
#define LIMIT_PERCENT 95
/* Hold time of an ordinary call, assumed until requests have completed. */
#define INITIAL_HOLD_US 50000.0
/* EWMA weight of one completed request. */
#define HOLD_WEIGHT 0.05
/* Time constant of the reported use. */
#define USE_WINDOW_US (200.0 * 1000.0)
/* Share of a request's slack, up to its target or deadline, that its expected
 * wait may take. */
#define WAIT_PERCENT 60
/* The same for a guest: a queue that fills is left to the domain's own
 * requests.
 */
#define GUEST_WAIT_PERCENT 45
/* Time for a refusal to reach the caller's node before its deadline there: two
 * ways between VMs and the turns of both event loops.  Of a short request it is
 * at most a share. */
#define REFUSAL_WAY_US (20 * EEL_US_PER_MS)
#define REFUSAL_WAY_PERCENT_MAX 10

void
eel_gate_init (struct eel_gate *gate, uint32_t slots)
{
  memset (gate, 0, sizeof *gate);
  gate->hold_us = INITIAL_HOLD_US;
  eel_rate_limit_init (&gate->rate);
  eel_fair_order_init (&gate->fair);
  eel_gate_set_slots (gate, slots);
}

/* Leaves one slot in twenty unused; the limit is at least 1. */
void
eel_gate_set_slots (struct eel_gate *gate, uint32_t slots)
{
  gate->limit = slots * LIMIT_PERCENT / 100;
  if (gate->limit == 0)
    gate->limit = 1;
}

static void
update_use (struct eel_gate *gate, int64_t now_us)
{
  double rate_use
      = eel_rate_limit_use_milli (&gate->rate, gate->queued, now_us);
  double use
      = fmax (1000.0 * (gate->running + gate->queued) / gate->limit, rate_use);
  double passed_us = (double)(now_us - gate->use_at_us);
  double weight = gate->use_at_us == 0 || passed_us < 0
                      ? 1
                      : 1 - exp (-passed_us / USE_WINDOW_US);

  gate->use_milli += weight * (use - gate->use_milli);
  gate->use_at_us = now_us;
}

uint32_t
eel_gate_use_milli (struct eel_gate *gate, int64_t now_us)
{
  update_use (gate, now_us);
  return (uint32_t)gate->use_milli;
}

/*
 * Returns true when a is served before b.  An item that would miss its target
 * even when started now goes after those of its rank that can still meet it.
 */
int
eel_gate_precedes (const struct eel_gate *gate,
                   const struct eel_gate_item *a,
                   const struct eel_gate_item *b,
                   int64_t now_us)
{
  int64_t end_us = now_us + (int64_t)gate->hold_us;
  int a_late = a->target_us < end_us;
  int b_late = b->target_us < end_us;

  if (a->rank != b->rank)
    return a->rank < b->rank;
  if (a_late != b_late)
    return b_late;
  return a_late ? a->deadline_us < b->deadline_us : a->target_us < b->target_us;
}

/* Expected time until an item with so many ahead of it gets a slot, and may
   start. */
int64_t
eel_gate_expected_wait_us (const struct eel_gate *gate,
                           uint32_t ahead,
                           int64_t now_us)
{
  int64_t rate_us = eel_rate_limit_wait_us (&gate->rate, ahead, now_us);
  int64_t slot_us = (int64_t)((ahead + 1) * gate->hold_us / gate->limit);

  return rate_us > slot_us ? rate_us : slot_us;
}

int64_t
eel_gate_wait_us (const struct eel_gate *gate, int64_t now_us)
{
  if (gate->running < gate->limit && gate->queued == 0)
    return eel_rate_limit_wait_us (&gate->rate, 0, now_us);
  return eel_gate_expected_wait_us (gate, gate->queued, now_us);
}

/*
 * Returns the longest expected wait at which an arriving item is queued.  Only
 * the least important rank has to meet its target; the others have until their
 * deadline, because they include nested calls of requests that are already
 * running, and refusing such a call wastes the work done for its request.
 */
static int64_t
allowed_wait_us (const struct eel_gate *gate,
                 const struct eel_gate_item *item,
                 int is_guest,
                 int64_t now_us)
{
  int must_be_in_time = is_guest || item->rank >= gate->last_rank;
  int64_t limit_us = must_be_in_time ? item->target_us : item->deadline_us;
  int64_t allowed_us = (limit_us - now_us - (int64_t)gate->hold_us)
                       * (is_guest ? GUEST_WAIT_PERCENT : WAIT_PERCENT) / 100;

  if (!must_be_in_time || !gate->counts_later || allowed_us < 0)
    return allowed_us;
  return (int64_t)((double)allowed_us
                   * eel_gate_rank_left (gate, item->rank, now_us));
}

static uint32_t
count_ahead (const struct eel_gate *gate,
             const struct eel_gate_item *item,
             int64_t now_us)
{
  uint32_t ahead = 0;

  for (uint32_t i = 0; i < gate->queued; i++)
    ahead += (uint32_t)!eel_gate_precedes (gate, item, &gate->queue[i], now_us);
  return ahead;
}

/*
 * Decides about an item that can't start at once; returns true to queue it.
 * The waits by the shares are estimates; while all that is queued would wait
 * too long, an item with a share is queued only if that gives it a slot in half
 * of the time.
 */
static int
may_queue (struct eel_gate *gate,
           const struct eel_gate_item *item,
           const struct eel_gate_share *share,
           int64_t now_us)
{
  int64_t allowed_us = allowed_wait_us (gate, item, share->is_guest, now_us);
  int fits = eel_gate_expected_wait_us (gate, count_ahead (gate, item, now_us),
                                        now_us)
             <= allowed_us;

  if (share->entry == EEL_FAIR_NONE)
    return gate->queued < EEL_GATE_QUEUE_MAX && fits;
  if (eel_gate_share_wait_us (gate, item, share, now_us)
      > (fits ? allowed_us : allowed_us / 2))
    return 0;
  return gate->queued < EEL_GATE_QUEUE_MAX
         || (gate->queued == EEL_GATE_QUEUE_MAX
             && eel_gate_share_displace (gate, item, share, now_us));
}

static void
count_refused (struct eel_gate *gate,
               const struct eel_gate_share *share,
               int64_t now_us)
{
  gate->refused++;
  if (share->entry != EEL_FAIR_NONE)
    eel_fair_order_refused (&gate->fair, share->entry, share->expected_us,
                            now_us);
}

/* Starts, queues or refuses an arriving request; a queued item is copied. */
enum eel_gate_verdict
eel_gate_offer_share (struct eel_gate *gate,
                      const struct eel_gate_item *item,
                      const struct eel_gate_share *share,
                      int64_t now_us)
{
  struct eel_gate_share own = eel_gate_share_count (gate, item, share, now_us);

  update_use (gate, now_us);
  if (gate->running < gate->limit && gate->queued == 0
      && eel_rate_limit_take (&gate->rate, now_us))
    {
      gate->running++;
      gate->started++;
      eel_gate_rank_asked (gate, item->rank, now_us);
      if (own.entry != EEL_FAIR_NONE)
        eel_fair_order_started (&gate->fair, own.entry, own.expected_us,
                                now_us);
      return EEL_GATE_START;
    }
  if (!may_queue (gate, item, &own, now_us))
    {
      count_refused (gate, &own, now_us);
      return EEL_GATE_REFUSE;
    }
  if (own.entry != EEL_FAIR_NONE)
    eel_fair_order_queued (&gate->fair, own.entry, own.expected_us);
  eel_gate_rank_asked (gate, item->rank, now_us);
  gate->shares[gate->queued] = own;
  gate->queue[gate->queued++] = *item;
  eel_gate_share_queued (gate, gate->queued - 1, now_us);
  return EEL_GATE_QUEUE;
}

enum eel_gate_verdict
eel_gate_offer (struct eel_gate *gate,
                const struct eel_gate_item *item,
                int64_t now_us)
{
  return eel_gate_offer_share (gate, item, NULL, now_us);
}

enum eel_gate_verdict
eel_gate_offer_guest (struct eel_gate *gate,
                      const struct eel_gate_item *item,
                      int64_t now_us)
{
  const struct eel_gate_share share = { .is_guest = 1 };

  return eel_gate_offer_share (gate, item, &share, now_us);
}

static void
remove_item (struct eel_gate *gate, uint32_t index, struct eel_gate_item *item)
{
  *item = gate->queue[index];
  gate->displaced -= gate->shares[index].displaced;
  gate->queue[index] = gate->queue[--gate->queued];
  gate->shares[index] = gate->shares[gate->queued];
}

/* Removes an item that doesn't start. */
static void
drop_item (struct eel_gate *gate, uint32_t index, struct eel_gate_item *item)
{
  const struct eel_gate_share share = gate->shares[index];

  remove_item (gate, index, item);
  if (share.entry == EEL_FAIR_NONE)
    return;
  eel_fair_order_unqueued (&gate->fair, share.entry, share.expected_us);
  eel_gate_share_removed (gate, item, 0, gate->use_at_us);
}

/*
 * Returns when a queued item expires: with less than half of the mean hold time
 * left before the deadline it would probably complete late and waste its slot,
 * and a refusal has to arrive before the deadline too.
 */
static int64_t
expiry_us (const struct eel_gate *gate, const struct eel_gate_item *item)
{
  int64_t total_us = item->deadline_us - item->arrived_us;
  int64_t before_us = total_us * REFUSAL_WAY_PERCENT_MAX / 100;

  if (before_us > REFUSAL_WAY_US)
    before_us = REFUSAL_WAY_US;
  if (before_us < (int64_t)(gate->hold_us / 2))
    before_us = (int64_t)(gate->hold_us / 2);
  return item->deadline_us - before_us;
}

/* Displaced and expired items are returned first, whatever their rank. */
enum eel_gate_verdict
eel_gate_next (struct eel_gate *gate,
               struct eel_gate_item *item,
               int64_t now_us)
{
  struct eel_gate_share share;
  uint32_t best = 0;

  if (gate->queued == 0)
    return EEL_GATE_QUEUE;
  for (uint32_t i = 0; i < gate->queued; i++)
    if (gate->shares[i].displaced || now_us > expiry_us (gate, &gate->queue[i])
        || eel_gate_share_crowded_out (gate, i, now_us))
      {
        count_refused (gate, &gate->shares[i], now_us);
        drop_item (gate, i, item);
        return EEL_GATE_REFUSE;
      }
  if (gate->running >= gate->limit
      || !eel_rate_limit_take (&gate->rate, now_us))
    return EEL_GATE_QUEUE;
  for (uint32_t i = 1; i < gate->queued; i++)
    if (eel_gate_precedes (gate, &gate->queue[i], &gate->queue[best], now_us))
      best = i;
  if (gate->shares[best].entry != EEL_FAIR_NONE)
    best = eel_gate_share_pick (gate, best, now_us);
  share = gate->shares[best];
  remove_item (gate, best, item);
  if (share.entry != EEL_FAIR_NONE)
    {
      eel_fair_order_dequeued (&gate->fair, share.entry, share.expected_us,
                               now_us);
      eel_gate_share_removed (gate, item, 1, now_us);
    }
  gate->running++;
  gate->started++;
  update_use (gate, now_us);
  return EEL_GATE_START;
}

int64_t
eel_gate_next_change_us (const struct eel_gate *gate, int64_t now_us)
{
  int64_t next_us = INT64_MAX;

  if (gate->queued == 0)
    return 0;
  for (uint32_t i = 0; i < gate->queued; i++)
    if (expiry_us (gate, &gate->queue[i]) < next_us)
      next_us = expiry_us (gate, &gate->queue[i]);
  next_us = next_us < now_us ? 1 : next_us - now_us + 1;
  if (gate->running < gate->limit)
    {
      int64_t start_us = eel_rate_limit_wait_us (&gate->rate, 0, now_us);

      if (start_us > 0 && start_us < next_us)
        next_us = start_us;
    }
  return next_us;
}

void
eel_gate_done (struct eel_gate *gate, int64_t held_us, int64_t now_us)
{
  if (gate->running > 0)
    gate->running--;
  if (held_us >= 0)
    gate->hold_us += HOLD_WEIGHT * ((double)held_us - gate->hold_us);
  update_use (gate, now_us);
}

int
eel_gate_withdraw (struct eel_gate *gate, const void *owner)
{
  struct eel_gate_item item;

  for (uint32_t i = 0; i < gate->queued; i++)
    if (gate->queue[i].owner == owner)
      {
        drop_item (gate, i, &item);
        return 1;
      }
  return 0;
}
