#ifndef EELGRASSLATCH_COORDINATOR_H
#define EELGRASSLATCH_COORDINATOR_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/error.h"
#include "eelgrasslatch/execution.h"
#include "eelgrasslatch/key.h"

/*
 * State machine of the decider for non-idempotent requests, called orders:
 * chooses the copy that runs, tracks the outstanding attempt, seals keys and
 * answers callers.  It does no I/O: each call writes the actions that its owner
 * must carry out.
 */

/* A copy of a request that waits for the outcome of its key. */
struct eel_waiter
{
  uint64_t call_id;
  int64_t deadline_us;
  uint32_t record;
  uint32_t next;
  /* Spare attempts received with the copy, returned with its answer. */
  uint8_t lent;
  /* First copy of a child key: the record holds its spare attempts. */
  uint8_t owns_spare;
};

/* An order that has no outcome yet or whose copies are still being answered. */
struct eel_pending
{
  uint32_t record;
  int64_t deadline_us;
  /* Timeout of the current step, after which the order is sealed or answered
     "unknown". */
  int64_t due_us;
  uint8_t sealing;
  /* Spare attempts lent to the outstanding attempt. */
  uint8_t lent;
  /* The outcome is known; waiters are being answered. */
  uint8_t finished;
  enum eel_outcome outcome;
  enum eel_error last_error;
  uint32_t first_waiter;
};

struct eel_coordinator
{
  struct eel_decider decider;
  struct eel_pending *pending;
  uint32_t pending_capacity;
  uint32_t pending_count;
  struct eel_waiter *waiters;
  uint32_t waiter_capacity;
  uint32_t waiter_free;
  int64_t seal_timeout_us;
  /* Lifetime of successor keys; init sets 120 s. */
  int64_t key_life_us;
  uint8_t draining;
  /* Per answered copy. */
  uint64_t outcomes[EEL_OUTCOME_COUNT];
  uint64_t unknown_by_error[EEL_ERROR_COUNT];
};

enum eel_action_kind
{
  /* Pick an endpoint, call eel_coordinator_dispatched, then send. */
  EEL_ACTION_EXECUTE,
  /* Ask the executor to seal the attempt. */
  EEL_ACTION_SEAL,
  /* Answer the copy with this call id. */
  EEL_ACTION_ANSWER
};

struct eel_action
{
  enum eel_action_kind kind;
  uint64_t call_id;
  struct eel_key key;
  uint8_t attempt;
  /* EXECUTE: spare attempts lent to it.  ANSWER: those that are left. */
  uint8_t spare;
  uint32_t executor;
  uint64_t executor_incarnation;
  /* SEAL: the deadline that the attempt was dispatched with. */
  int64_t deadline_us;
  /*
   * SEAL: as set by eel_coordinator_set_valid_until, else INT64_MIN, for which
   * the executor does not seal an attempt that it has no record of.
   */
  int64_t valid_until_us;
  enum eel_error error;
  enum eel_outcome outcome;
  enum eel_retry_advice retry;
  /* ANSWER with outcome not run: the key to use next (Eel-Next-Key). */
  uint8_t has_next_key;
  struct eel_key next_key;
  /* ANSWER with outcome ran: the stored bytes, valid until the next call. */
  const uint8_t *answer;
  uint32_t answer_bytes;
};

struct eel_arrival
{
  struct eel_key key;
  uint64_t fingerprint;
  uint64_t call_id;
  int64_t deadline_us;
  /* Spare attempts lent to this copy by its parent; child keys only. */
  uint8_t spare;
};

enum eel_attempt_result
{
  EEL_ATTEMPT_RAN,
  /* Did not run and will not run at this executor. */
  EEL_ATTEMPT_REFUSED,
  EEL_ATTEMPT_UNKNOWN
};

/* Every action array must have room for EEL_ACTIONS_MAX. */
#define EEL_ACTIONS_MAX 64

void eel_coordinator_init (struct eel_coordinator *coordinator,
                           const struct eel_decider *decider,
                           struct eel_pending *pending,
                           uint32_t pending_capacity,
                           struct eel_waiter *waiters,
                           uint32_t waiter_capacity,
                           int64_t seal_timeout_us);
void eel_coordinator_finish (struct eel_coordinator *coordinator);
/*
 * Handles a copy that arrived at its decider.  The owner must drop duplicates
 * of a message: each would be charged as a resend and would count the spare
 * attempts lent to a child again.
 */
size_t eel_coordinator_arrived (struct eel_coordinator *coordinator,
                                const struct eel_arrival *arrival,
                                int64_t now_us,
                                struct eel_action *actions);
/*
 * Records the executor chosen for an EXECUTE action.  The owner may send the
 * message only when this returns EEL_OK.
 */
enum eel_error eel_coordinator_dispatched (struct eel_coordinator *coordinator,
                                           const struct eel_key *key,
                                           uint8_t attempt,
                                           uint32_t executor,
                                           uint64_t executor_incarnation,
                                           int64_t now_us);
/*
 * Stores the valid-until sent with an attempt, in the executor's clock, for
 * use in its seal; a value computed again later may differ.
 */
void eel_coordinator_set_valid_until (struct eel_coordinator *coordinator,
                                      const struct eel_key *key,
                                      uint8_t attempt,
                                      int64_t valid_until_us);
/* No executor could be chosen, or the message was definitely not sent. */
size_t eel_coordinator_not_dispatched (struct eel_coordinator *coordinator,
                                       const struct eel_key *key,
                                       uint8_t attempt,
                                       enum eel_error error,
                                       int64_t now_us,
                                       struct eel_action *actions);
/*
 * executor and executor_incarnation identify the sender of a reply.  A refusal
 * from another incarnation than the one dispatched to counts as unknown.
 */
size_t eel_coordinator_replied (struct eel_coordinator *coordinator,
                                const struct eel_key *key,
                                uint8_t attempt,
                                uint32_t executor,
                                uint64_t executor_incarnation,
                                enum eel_attempt_result result,
                                enum eel_error error,
                                uint8_t unused_spare,
                                const uint8_t *answer,
                                uint32_t answer_bytes,
                                int64_t now_us,
                                struct eel_action *actions);
/*
 * Handles the executor's answer to a seal action.  executor_incarnation is
 * that of the sender: a restarted executor has no records of its predecessor,
 * so its seal leaves the outcome unknown.
 */
size_t eel_coordinator_sealed (struct eel_coordinator *coordinator,
                               const struct eel_key *key,
                               uint8_t attempt,
                               uint32_t executor,
                               uint64_t executor_incarnation,
                               enum eel_executor_state state,
                               int64_t now_us,
                               struct eel_action *actions);
/*
 * The executor restarted: answers "unknown" for attempts dispatched to its
 * earlier incarnations.
 */
size_t eel_coordinator_executor_restarted (struct eel_coordinator *coordinator,
                                           uint32_t executor,
                                           uint64_t current_incarnation,
                                           int64_t now_us,
                                           struct eel_action *actions);
/* Drops the copy of a caller that disconnected; the order continues. */
void eel_coordinator_caller_disconnected (struct eel_coordinator *coordinator,
                                          uint64_t call_id);
/*
 * Handles timeouts.  Call again at once while it returns EEL_ACTIONS_MAX.
 */
size_t eel_coordinator_tick (struct eel_coordinator *coordinator,
                             int64_t now_us,
                             struct eel_action *actions);
/* Graceful shutdown: seals every order without an outstanding attempt. */
size_t eel_coordinator_drain (struct eel_coordinator *coordinator,
                              int64_t now_us,
                              struct eel_action *actions);

#endif
