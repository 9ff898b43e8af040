#ifndef EELGRASSLATCH_GATE_H
#define EELGRASSLATCH_GATE_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * The slots of one endpoint, as the node beside it hands them out.  All
 * requests for the endpoint pass here, so the count of those that run is
 * exact and the endpoint itself never queues.
 *
 * Answers the load in which more arrives than the slots can run: the more
 * important rank goes first, then what can still be in time, by its target;
 * what cannot be served in time is refused when it arrives, before it costs
 * anything.
 */

#define EEL_GATE_QUEUE_MAX 512

struct eel_gate_item
{
  uint8_t rank;
  int64_t arrived_us;
  /* Answers until then are in time; later ones until the deadline count less.
   */
  int64_t target_us;
  int64_t deadline_us;
  void *owner;
};

enum eel_gate_verdict
{
  EEL_GATE_START,
  EEL_GATE_QUEUE,
  EEL_GATE_REFUSE
};

struct eel_gate
{
  uint32_t limit;
  uint32_t running;
  struct eel_gate_item queue[EEL_GATE_QUEUE_MAX];
  uint32_t queued;
  /* Rank of the least important route in force. */
  uint8_t last_rank;
  /* Mean time that a request holds a slot. */
  double hold_us;
  /* Smoothed (running + queued) / limit, in thousandths. */
  double use_milli;
  int64_t use_at_us;
  uint64_t started;
  uint64_t refused;
};

void eel_gate_init (struct eel_gate *gate, uint32_t slots);
/* The endpoint's slots as it announces them. */
void eel_gate_set_slots (struct eel_gate *gate, uint32_t slots);
enum eel_gate_verdict eel_gate_offer (struct eel_gate *gate,
                                      const struct eel_gate_item *item,
                                      int64_t now_us);
/*
 * Takes the next item out of the queue.  Returns EEL_GATE_START for one that
 * starts now, EEL_GATE_REFUSE for one that can't be served in time any more,
 * and EEL_GATE_QUEUE when nothing is to be done.
 */
enum eel_gate_verdict eel_gate_next (struct eel_gate *gate,
                                     struct eel_gate_item *item,
                                     int64_t now_us);
/* A request that had started has ended; held_us < 0: it says nothing. */
void eel_gate_done (struct eel_gate *gate, int64_t held_us, int64_t now_us);
/* Takes the item of an owner that has gone out of the queue. */
int eel_gate_withdraw (struct eel_gate *gate, const void *owner);
/* Use of the limit in thousandths; above 1000 requests wait. */
uint32_t eel_gate_use_milli (struct eel_gate *gate, int64_t now_us);

/* Expected wait of a request of the least importance that arrives now. */
int64_t eel_gate_wait_us (const struct eel_gate *gate);

#endif
