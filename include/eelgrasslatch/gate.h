#ifndef EELGRASSLATCH_GATE_H
#define EELGRASSLATCH_GATE_H

#include <stdint.h>

#include "eelgrasslatch/directory.h"
#include "eelgrasslatch/fair_order.h"
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
 * Requests that name a team share the slots that their rank gets
 * (fair_order.h): which of them starts, and which is refused when the wait is
 * too long, goes by team, and only after that by target.  How many are refused,
 * and when one of them is due among those without a team, is the same as
 * without teams.
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

/* Whose share a request is counted on. */
struct eel_gate_share
{
  /* 0: none. */
  uint64_t team;
  uint32_t weight_milli;
  /* Time that it is expected to hold a slot; 0: the mean of requests of teams
     of its rank. */
  double expected_us;
  /* Sent by another failure domain: as for eel_gate_offer_guest. */
  uint8_t is_guest;
  /* Set by the gate: entry of the fair order, and that the request has to be
     refused because its place went to another. */
  int32_t entry;
  uint8_t displaced;
  /* Set by the gate where no team is named: requests of teams of its rank that
     start before it. */
  uint32_t ahead;
};

enum eel_gate_verdict
{
  EEL_GATE_START,
  EEL_GATE_QUEUE,
  EEL_GATE_REFUSE
};

/* Slots that the requests of a rank take. */
struct eel_gate_rank
{
  uint8_t rank;
  /* Slot time asked for, decaying. */
  double asked_us;
  int64_t asked_at_us;
};

struct eel_gate
{
  uint32_t limit;
  struct eel_rate_limit rate;
  uint32_t running;
  /* One more for the request that took the place of a displaced one. */
  struct eel_gate_item queue[EEL_GATE_QUEUE_MAX + 1];
  struct eel_gate_share shares[EEL_GATE_QUEUE_MAX + 1];
  uint32_t queued;
  uint32_t displaced;
  struct eel_fair_order fair;
  /* Rank of the least important route in force. */
  uint8_t last_rank;
  /* The expected wait of what has to be in time counts requests of more
     important ranks that arrive later.  Set where what is refused may be
     offered to another domain. */
  uint8_t counts_later;
  /* EWMA of the time that a request holds a slot. */
  double hold_us;
  /* EWMA of (running + queued) / limit, in thousandths. */
  double use_milli;
  int64_t use_at_us;
  uint64_t started;
  uint64_t refused;
  struct eel_gate_rank ranks[EEL_RANK_WAITS_MAX];
  uint32_t rank_count;
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
 * Offers an item that counts on a team's share.  The place of a queued one may
 * go to it: while gate->displaced isn't 0, eel_gate_next returns those that
 * have lost theirs, as refused.
 */
enum eel_gate_verdict eel_gate_offer_share (struct eel_gate *gate,
                                            const struct eel_gate_item *item,
                                            const struct eel_gate_share *share,
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
/* Charges a team for the slot that its request has held. */
void eel_gate_done_share (struct eel_gate *gate,
                          uint64_t team,
                          uint8_t rank,
                          int64_t held_us);
/* Dequeues the item of a cancelled owner; 0 when it is not queued. */
int eel_gate_withdraw (struct eel_gate *gate, const void *owner);
/* Smoothed use of the limit in thousandths; above 1000 requests are queued. */
uint32_t eel_gate_use_milli (struct eel_gate *gate, int64_t now_us);

/* Expected wait of a request of the least important rank that arrives now. */
int64_t eel_gate_wait_us (const struct eel_gate *gate, int64_t now_us);
/* Expected waits of requests that arrive now, by ascending rank, of the ranks
   that were asked for last; requests of more important ranks that arrive later
   are counted in.  Returns their number, 0 while one would start at once. */
uint32_t eel_gate_rank_waits (const struct eel_gate *gate,
                              int64_t now_us,
                              struct eel_rank_wait *waits);
/* Time until eel_gate_next has to be called although no slot becomes free: a
   queued request may start by its rate then, or expires.  0: none is queued. */
int64_t eel_gate_next_change_us (const struct eel_gate *gate, int64_t now_us);

#endif
