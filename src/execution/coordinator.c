#include "eelgrasslatch/coordinator.h"

#include <string.h>

#include "eelgrasslatch/retry.h"
#include "eelgrasslatch/types.h"
#include "execution/pending.h"

#define KEY_LIFE_US (120 * EEL_US_PER_S)

/* Takes ownership of the decider, whose struct is copied. */
void
eel_coordinator_init (struct eel_coordinator *coordinator,
                      const struct eel_decider *decider,
                      struct eel_pending *pending,
                      uint32_t pending_capacity,
                      struct eel_waiter *waiters,
                      uint32_t waiter_capacity,
                      int64_t seal_timeout_us)
{
  memset (coordinator, 0, sizeof *coordinator);
  coordinator->decider = *decider;
  coordinator->pending = pending;
  coordinator->pending_capacity = pending_capacity;
  coordinator->waiters = waiters;
  coordinator->waiter_capacity = waiter_capacity;
  coordinator->seal_timeout_us = seal_timeout_us;
  coordinator->key_life_us = KEY_LIFE_US;
  coordinator->waiter_free = EEL_INDEX_NONE;
  for (uint32_t i = waiter_capacity; i-- > 0;)
    {
      waiters[i] = (struct eel_waiter){ .record = EEL_INDEX_NONE,
                                        .next = coordinator->waiter_free };
      coordinator->waiter_free = i;
    }
}

/* Also finishes the decider passed to init. */
void
eel_coordinator_finish (struct eel_coordinator *coordinator)
{
  eel_decider_finish (&coordinator->decider);
}

/* Error kind with which a copy is answered. */
static enum eel_error
verdict_error (enum eel_verdict verdict)
{
  switch (verdict)
    {
    case EEL_VERDICT_ANSWER:
    case EEL_VERDICT_RUN:
      return EEL_OK;
    case EEL_VERDICT_WAIT:
      return EEL_ERROR_IN_PROGRESS;
    case EEL_VERDICT_ANSWER_GONE:
      return EEL_ERROR_ANSWER_GONE;
    case EEL_VERDICT_NOT_RUN:
      return EEL_ERROR_SEALED;
    case EEL_VERDICT_UNKNOWN:
      return EEL_ERROR_OUTCOME_UNKNOWN;
    case EEL_VERDICT_EXPIRED:
      return EEL_ERROR_KEY_EXPIRED;
    case EEL_VERDICT_OTHER_INCARNATION:
      return EEL_ERROR_KEY_OTHER_INCARNATION;
    case EEL_VERDICT_OTHER_ISSUER:
      return EEL_ERROR_DECIDER_UNREACHABLE;
    case EEL_VERDICT_INVALID:
      return EEL_ERROR_KEY_INVALID;
    case EEL_VERDICT_MISMATCH:
      return EEL_ERROR_KEY_MISMATCH;
    case EEL_VERDICT_FULL:
      return EEL_ERROR_TABLE_FULL;
    }
  return EEL_ERROR_INTERNAL;
}

/* Answers a copy from the error table and returns its spare attempts. */
static void
refuse (struct eel_coordinator *coordinator,
        const struct eel_arrival *arrival,
        enum eel_error error,
        struct eel_action_list *out)
{
  const struct eel_error_info *info = eel_error_info (error);
  struct eel_action action = { .kind = EEL_ACTION_ANSWER,
                               .call_id = arrival->call_id,
                               .key = arrival->key,
                               .spare = arrival->spare,
                               .error = error,
                               .outcome = info->outcome,
                               .retry = info->retry };

  eel_action_list_add_answer (coordinator, out, &action);
}

/* Charges a resend of a key to the spare attempts of its record. */
static void
charge_resend (struct eel_decider_record *record)
{
  struct eel_ledger ledger = { .spare = record->spare };

  eel_ledger_take (&ledger);
  record->spare = ledger.spare;
}

/* Opens an order for the first copy of a request. */
static void
open_order (struct eel_coordinator *coordinator,
            const struct eel_arrival *arrival,
            struct eel_decider_record *record,
            int64_t now_us,
            struct eel_action_list *out)
{
  int is_child = !eel_key_is_root (&record->key);
  struct eel_pending *pending;

  if (coordinator->waiter_free == EEL_INDEX_NONE)
    pending = NULL;
  else
    pending
        = eel_pending_open (coordinator, record, arrival->deadline_us, now_us);
  if (pending == NULL)
    {
      refuse (coordinator, arrival, EEL_ERROR_TABLE_FULL, out);
      return;
    }
  if (is_child)
    record->spare = arrival->spare;
  eel_pending_add_waiter (coordinator, pending, arrival, is_child);
  if (coordinator->draining)
    eel_pending_finish_not_run (coordinator, pending, EEL_ERROR_LEAVING, now_us,
                                out);
  else if (now_us >= pending->deadline_us)
    eel_pending_finish_not_run (coordinator, pending, EEL_ERROR_DEADLINE,
                                now_us, out);
  else
    eel_pending_execute (coordinator, pending, out);
}

/*
 * Adds a copy to the waiters of an order.  When the order was closed with its
 * attempt unresolved, reopens it and asks the executor again.
 */
static void
join_order (struct eel_coordinator *coordinator,
            const struct eel_arrival *arrival,
            struct eel_decider_record *record,
            int64_t now_us,
            struct eel_action_list *out)
{
  struct eel_pending *pending = eel_pending_find (coordinator, record);

  if (now_us >= arrival->deadline_us)
    {
      refuse (coordinator, arrival, EEL_ERROR_IN_PROGRESS, out);
      return;
    }
  if (pending == NULL && coordinator->waiter_free != EEL_INDEX_NONE)
    {
      pending = eel_pending_open (coordinator, record, arrival->deadline_us,
                                  now_us);
      if (pending != NULL)
        {
          eel_pending_request_seal (coordinator, pending, out);
          pending->due_us = now_us + coordinator->seal_timeout_us;
        }
    }
  if (pending == NULL
      || !eel_pending_add_waiter (coordinator, pending, arrival, 0))
    refuse (coordinator, arrival, EEL_ERROR_IN_PROGRESS, out);
}

/* Answers a copy of a finished request with its outcome. */
static void
answer_finished (struct eel_coordinator *coordinator,
                 const struct eel_arrival *arrival,
                 struct eel_decider_record *record,
                 enum eel_verdict verdict,
                 int64_t now_us,
                 struct eel_action_list *out)
{
  enum eel_error error = verdict_error (verdict);
  struct eel_waiter waiter
      = { .call_id = arrival->call_id, .lent = arrival->spare };

  eel_coordinator_answer_waiter (coordinator, record, &waiter,
                                 eel_error_info (error)->outcome, error, NULL,
                                 now_us, out);
}

/* Entry point for each copy of a request. */
size_t
eel_coordinator_arrived (struct eel_coordinator *coordinator,
                         const struct eel_arrival *arrival,
                         int64_t now_us,
                         struct eel_action *actions)
{
  struct eel_action_list out = { .actions = actions };
  struct eel_decider_record *record;
  enum eel_verdict verdict
      = eel_decider_begin (&coordinator->decider, &arrival->key,
                           arrival->fingerprint, now_us, &record);

  switch (verdict)
    {
    case EEL_VERDICT_RUN:
      open_order (coordinator, arrival, record, now_us, &out);
      break;
    case EEL_VERDICT_WAIT:
      charge_resend (record);
      join_order (coordinator, arrival, record, now_us, &out);
      break;
    case EEL_VERDICT_ANSWER:
    case EEL_VERDICT_ANSWER_GONE:
    case EEL_VERDICT_NOT_RUN:
    case EEL_VERDICT_UNKNOWN:
      if (record != NULL)
        {
          charge_resend (record);
          answer_finished (coordinator, arrival, record, verdict, now_us, &out);
          break;
        }
      /* fall through */
    default:
      refuse (coordinator, arrival, verdict_error (verdict), &out);
      break;
    }
  return out.count;
}

/*
 * Checks the order again right before the message is sent: the process may
 * have been suspended, or the order sealed, since the action was written.
 */
enum eel_error
eel_coordinator_dispatched (struct eel_coordinator *coordinator,
                            const struct eel_key *key,
                            uint8_t attempt,
                            uint32_t executor,
                            uint64_t executor_incarnation,
                            int64_t now_us)
{
  struct eel_decider_record *record
      = eel_decider_find (&coordinator->decider, key);
  const struct eel_pending *pending = eel_pending_find (coordinator, record);

  if (pending == NULL || pending->finished
      || attempt != (uint8_t)(record->attempt + 1))
    return EEL_ERROR_SEALED;
  if (now_us >= pending->deadline_us)
    return EEL_ERROR_DEADLINE;
  record->attempt_deadline_us = pending->deadline_us;
  record->valid_until_us = INT64_MIN;
  return eel_decider_dispatch (&coordinator->decider, record, executor,
                               executor_incarnation, now_us);
}

void
eel_coordinator_set_valid_until (struct eel_coordinator *coordinator,
                                 const struct eel_key *key,
                                 uint8_t attempt,
                                 int64_t valid_until_us)
{
  struct eel_decider_record *record
      = eel_decider_find (&coordinator->decider, key);

  if (record != NULL && record->attempt == attempt)
    record->valid_until_us = valid_until_us;
}

/*
 * Returns 1 when the attempt is the next one and has not been sent.  Reopens
 * its record if it was already marked dispatched.
 */
static int
reopen_if_unsent (struct eel_coordinator *coordinator,
                  struct eel_decider_record *record,
                  uint8_t attempt)
{
  if (record->state == EEL_DECIDER_OPEN)
    return attempt == (uint8_t)(record->attempt + 1);
  eel_decider_attempt_refused (&coordinator->decider, record, attempt);
  return record->state == EEL_DECIDER_OPEN;
}

/*
 * Seals the order and answers "not run".  The attempt may have been marked
 * dispatched before sending its message failed.
 */
size_t
eel_coordinator_not_dispatched (struct eel_coordinator *coordinator,
                                const struct eel_key *key,
                                uint8_t attempt,
                                enum eel_error error,
                                int64_t now_us,
                                struct eel_action *actions)
{
  struct eel_action_list out = { .actions = actions };
  struct eel_decider_record *record
      = eel_decider_find (&coordinator->decider, key);
  struct eel_pending *pending = eel_pending_find (coordinator, record);

  if (pending == NULL || pending->finished
      || !reopen_if_unsent (coordinator, record, attempt))
    return 0;
  record->spare = (uint8_t)(record->spare + pending->lent);
  pending->lent = 0;
  eel_pending_finish_not_run (coordinator, pending, error, now_us, &out);
  return out.count;
}
