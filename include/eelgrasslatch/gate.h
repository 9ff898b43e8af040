#ifndef EELGRASSLATCH_GATE_H
#define EELGRASSLATCH_GATE_H

#include <stdint.h>

#include "eelgrasslatch/rate_limit.h"
#include "eelgrasslatch/types.h"

/*
 * Allocates the slots of one endpoint to requests, on the node of its VM.
 * All requests for the endpoint pass through the gate, so the count of running
 * ones is exact and the endpoint itself never queues.
 *
 * When more requests arrive than the slots can run, queued requests start in
 * order of rank; within a rank those that can still meet their target go first,
 * in order of target.  A request whose expected wait is too long is refused on
 * arrival, before anything is spent on it.
 *
 * An endpoint in need names a rate of requests; the gate keeps to that too.
 */

#define EEL_GATE_QUEUE_MAX 512

struct eel_gate_item
{
  /* 0 is the most important. */
  uint8_t rank;
  int64_t arrived_us;
  /* An answer by then is in time; one between then and the deadline is late but
     still useful. */
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
  struct eel_rate_limit rate;
  uint32_t running;
  struct eel_gate_item queue[EEL_GATE_QUEUE_MAX];
  uint32_t queued;
  /* Rank of the least important route in force. */
  uint8_t last_rank;
  /* EWMA of the time that a request holds a slot. */
  double hold_us;
  /* EWMA of (running + queued) / limit, in thousandths. */
  double use_milli;
  int64_t use_at_us;
  uint64_t started;
  uint64_t refused;
};

void eel_gate_init (struct eel_gate *gate, uint32_t slots);
/* Sets the limit from the slots that the endpoint announces. */
void eel_gate_set_slots (struct eel_gate *gate, uint32_t slots);
enum eel_gate_verdict eel_gate_offer (struct eel_gate *gate,
                                      const struct eel_gate_item *item,
                                      int64_t now_us);
/* The same for a request from another failure domain that has endpoints of the
   service too: it must meet its target, and waits for less time. */
enum eel_gate_verdict eel_gate_offer_guest (struct eel_gate *gate,
                                            const struct eel_gate_item *item,
                                            int64_t now_us);
/*
 * Dequeues the next item.  Returns EEL_GATE_START for one that starts now,
 * EEL_GATE_REFUSE for one that can no longer be served before its deadline, and
 * EEL_GATE_QUEUE, without an item, when there is neither.
 */
enum eel_gate_verdict eel_gate_next (struct eel_gate *gate,
                                     struct eel_gate_item *item,
                                     int64_t now_us);
/*
 * Frees the slot of a started request.  A negative held_us is left out of the
 * mean hold time.
 */
void eel_gate_done (struct eel_gate *gate, int64_t held_us, int64_t now_us);
/* Dequeues the item of a cancelled owner; 0 when it is not queued. */
int eel_gate_withdraw (struct eel_gate *gate, const void *owner);
/* Smoothed use of the limit in thousandths; above 1000 requests are queued. */
uint32_t eel_gate_use_milli (struct eel_gate *gate, int64_t now_us);

/* Expected wait of a request of the least important rank that arrives now. */
int64_t eel_gate_wait_us (const struct eel_gate *gate, int64_t now_us);
/* Time until eel_gate_next has to be called although no slot becomes free: a
   queued request may start by its rate then, or expires.  0: none is queued. */
int64_t eel_gate_next_change_us (const struct eel_gate *gate, int64_t now_us);

#endif
