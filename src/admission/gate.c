#include "eelgrasslatch/gate.h"

#include <math.h>
#include <string.h>

/* Some upstreams slow down when nearly all of their slots are in use. */
#define LIMIT_PERCENT 95
/* Until requests have ended: the work of an ordinary call. */
#define FIRST_HOLD_US 50000.0
/* Weight of one ended request in the mean. */
#define HOLD_WEIGHT 0.05
/* Time constant of the reported use. */
#define USE_WINDOW_US (200.0 * 1000.0)
/* Share of the time to the target that a request may be expected to wait. */
#define WAIT_PERCENT 60

/* Prepares a gate with nothing running. */
void
eel_gate_init (struct eel_gate *gate, uint32_t slots)
{
  memset (gate, 0, sizeof *gate);
  gate->hold_us = FIRST_HOLD_US;
  eel_gate_set_slots (gate, slots);
}

/* Keeps one slot in twenty free, but at least one in use. */
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
  double use = 1000.0 * (gate->running + gate->queued) / gate->limit;
  double passed_us = (double)(now_us - gate->use_at_us);
  double weight = gate->use_at_us == 0 || passed_us < 0
                      ? 1
                      : 1 - exp (-passed_us / USE_WINDOW_US);

  gate->use_milli += weight * (use - gate->use_milli);
  gate->use_at_us = now_us;
}

/* Returns the smoothed use of the limit. */
uint32_t
eel_gate_use_milli (struct eel_gate *gate, int64_t now_us)
{
  update_use (gate, now_us);
  return (uint32_t)gate->use_milli;
}

/* True when a is served before b. */
static int
goes_first (const struct eel_gate *gate,
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

/* Time until a slot is free for an item with that many before it. */
static int64_t
expected_wait_us (const struct eel_gate *gate, uint32_t ahead)
{
  return (int64_t)((ahead + 1) * gate->hold_us / gate->limit);
}

/* Returns the expected wait at the end of the queue. */
int64_t
eel_gate_wait_us (const struct eel_gate *gate)
{
  if (gate->running < gate->limit && gate->queued == 0)
    return 0;
  return expected_wait_us (gate, gate->queued);
}

/*
 * The longest wait that an item may expect when it arrives.  Only the least
 * important rank has to be in time: the others include the calls of requests
 * that run already, and refusing one throws away what these have done.
 */
static int64_t
allowed_wait_us (const struct eel_gate *gate,
                 const struct eel_gate_item *item,
                 int64_t now_us)
{
  int64_t limit_us
      = item->rank < gate->last_rank ? item->deadline_us : item->target_us;

  return (limit_us - now_us - (int64_t)gate->hold_us) * WAIT_PERCENT / 100;
}

static uint32_t
count_ahead (const struct eel_gate *gate,
             const struct eel_gate_item *item,
             int64_t now_us)
{
  uint32_t ahead = 0;

  for (uint32_t i = 0; i < gate->queued; i++)
    ahead += (uint32_t)!goes_first (gate, item, &gate->queue[i], now_us);
  return ahead;
}

/* Starts, queues or refuses a request that arrives. */
enum eel_gate_verdict
eel_gate_offer (struct eel_gate *gate,
                const struct eel_gate_item *item,
                int64_t now_us)
{
  update_use (gate, now_us);
  if (gate->running < gate->limit && gate->queued == 0)
    {
      gate->running++;
      gate->started++;
      return EEL_GATE_START;
    }
  if (gate->queued == EEL_GATE_QUEUE_MAX
      || expected_wait_us (gate, count_ahead (gate, item, now_us))
             > allowed_wait_us (gate, item, now_us))
    {
      gate->refused++;
      return EEL_GATE_REFUSE;
    }
  gate->queue[gate->queued++] = *item;
  return EEL_GATE_QUEUE;
}

static void
take (struct eel_gate *gate, uint32_t index, struct eel_gate_item *item)
{
  *item = gate->queue[index];
  gate->queue[index] = gate->queue[--gate->queued];
}

/* An item that would end after its deadline is not worth its slot. */
static int
is_expired (const struct eel_gate *gate,
            const struct eel_gate_item *item,
            int64_t now_us)
{
  return item->deadline_us - now_us < (int64_t)(gate->hold_us / 2);
}

/* Takes the next item to start or to refuse. */
enum eel_gate_verdict
eel_gate_next (struct eel_gate *gate,
               struct eel_gate_item *item,
               int64_t now_us)
{
  uint32_t best = 0;

  if (gate->queued == 0)
    return EEL_GATE_QUEUE;
  for (uint32_t i = 0; i < gate->queued; i++)
    if (is_expired (gate, &gate->queue[i], now_us))
      {
        take (gate, i, item);
        gate->refused++;
        return EEL_GATE_REFUSE;
      }
  if (gate->running >= gate->limit)
    return EEL_GATE_QUEUE;
  for (uint32_t i = 1; i < gate->queued; i++)
    if (goes_first (gate, &gate->queue[i], &gate->queue[best], now_us))
      best = i;
  take (gate, best, item);
  gate->running++;
  gate->started++;
  update_use (gate, now_us);
  return EEL_GATE_START;
}

/* Frees a slot and learns how long it was held. */
void
eel_gate_done (struct eel_gate *gate, int64_t held_us, int64_t now_us)
{
  if (gate->running > 0)
    gate->running--;
  if (held_us >= 0)
    gate->hold_us += HOLD_WEIGHT * ((double)held_us - gate->hold_us);
  update_use (gate, now_us);
}

/* Removes the item of an owner; 0 when it isn't queued. */
int
eel_gate_withdraw (struct eel_gate *gate, const void *owner)
{
  struct eel_gate_item item;

  for (uint32_t i = 0; i < gate->queued; i++)
    if (gate->queue[i].owner == owner)
      {
        take (gate, i, &item);
        return 1;
      }
  return 0;
}
