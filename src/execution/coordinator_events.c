#include "eelgrasslatch/coordinator.h"

#include "eelgrasslatch/retry.h"
#include "execution/pending.h"

/* Returns the record of an unresolved attempt, or NULL. */
static struct eel_decider_record *
find_unresolved (struct eel_coordinator *coordinator,
                 const struct eel_key *key,
                 uint8_t attempt,
                 uint32_t executor)
{
  struct eel_decider_record *record
      = eel_decider_find (&coordinator->decider, key);

  if (record == NULL || record->attempt != attempt
      || record->executor != executor)
    return NULL;
  if (record->state != EEL_DECIDER_DISPATCHED
      && record->state != EEL_DECIDER_UNKNOWN)
    return NULL;
  return record;
}

/* Reclaims the lent attempts that the outstanding attempt did not use. */
static void
reclaim_spare (struct eel_decider_record *record,
               struct eel_pending *pending,
               uint8_t unused)
{
  struct eel_ledger ledger = { .spare = record->spare, .lent = pending->lent };

  eel_ledger_return (&ledger, pending->lent, unused);
  record->spare = ledger.spare;
  pending->lent = 0;
}

/*
 * Returns 1 when a refused attempt may be followed by another one, and charges
 * a spare attempt for it.  Refusals for overload are retried only for root
 * keys: retries at inner hops would multiply the load that caused them.
 */
static int
charge_retry (const struct eel_coordinator *coordinator,
              struct eel_decider_record *record,
              const struct eel_pending *pending,
              enum eel_error error,
              int64_t now_us)
{
  struct eel_ledger ledger = { .spare = record->spare };

  if (coordinator->draining || pending->sealing || now_us >= pending->due_us
      || eel_error_info (error)->retry != EEL_RETRY_SAME_KEY)
    return 0;
  if (error == EEL_ERROR_OVERLOADED && !eel_key_is_root (&record->key))
    return 0;
  if (!eel_ledger_take (&ledger))
    return 0;
  record->spare = ledger.spare;
  return 1;
}

/* The outstanding attempt will not run: retries or seals the key. */
static void
handle_refused (struct eel_coordinator *coordinator,
                struct eel_decider_record *record,
                uint8_t unused,
                enum eel_error error,
                int64_t now_us,
                struct eel_action_list *out)
{
  struct eel_pending *pending = eel_pending_find (coordinator, record);

  eel_decider_attempt_refused (&coordinator->decider, record, record->attempt);
  if (pending == NULL)
    {
      /* Its callers were answered "unknown"; later copies get "not run". */
      eel_decider_seal (&coordinator->decider, record);
      return;
    }
  if (pending->finished)
    {
      /* Waiters get "unknown"; an open record could be dispatched again. */
      eel_decider_seal (&coordinator->decider, record);
      return;
    }
  reclaim_spare (record, pending, unused);
  if (charge_retry (coordinator, record, pending, error, now_us))
    eel_pending_execute (coordinator, pending, out);
  else
    eel_pending_finish_not_run (coordinator, pending, error, now_us, out);
}

/* Stores the answer of a run and sends it to every waiting copy. */
static void
handle_ran (struct eel_coordinator *coordinator,
            struct eel_decider_record *record,
            uint8_t unused,
            const struct eel_reply_answer *reply_answer,
            int64_t now_us,
            struct eel_action_list *out)
{
  struct eel_pending *pending = eel_pending_find (coordinator, record);

  eel_decider_mark_ran (&coordinator->decider, record, reply_answer->answer,
                        reply_answer->bytes);
  if (pending == NULL)
    return;
  reclaim_spare (record, pending, unused);
  eel_pending_finish (pending, EEL_OUTCOME_RAN, EEL_OK);
  eel_pending_answer_waiters (coordinator, pending, reply_answer, now_us, out);
}

/* Handles the executor's reply to an attempt. */
size_t
eel_coordinator_replied (struct eel_coordinator *coordinator,
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
                         struct eel_action *actions)
{
  struct eel_action_list out = { .actions = actions };
  struct eel_reply_answer reply_answer
      = { .answer = answer, .bytes = answer_bytes };
  struct eel_decider_record *record
      = find_unresolved (coordinator, key, attempt, executor);
  struct eel_pending *pending = eel_pending_find (coordinator, record);

  if (record == NULL)
    return 0;
  if (executor_incarnation != record->executor_incarnation
      && result == EEL_ATTEMPT_REFUSED)
    result = EEL_ATTEMPT_UNKNOWN;
  /* The error of a refusal would contradict the outcome. */
  if (result == EEL_ATTEMPT_UNKNOWN
      && eel_error_info (error)->outcome != EEL_OUTCOME_UNKNOWN)
    error = EEL_ERROR_OUTCOME_UNKNOWN;
  if (result == EEL_ATTEMPT_RAN)
    handle_ran (coordinator, record, unused_spare, &reply_answer, now_us, &out);
  else if (result == EEL_ATTEMPT_REFUSED)
    handle_refused (coordinator, record, unused_spare, error, now_us, &out);
  else
    {
      eel_decider_mark_unknown (&coordinator->decider, record);
      if (pending != NULL && !pending->finished)
        eel_pending_finish_unknown (coordinator, pending, error, now_us, &out);
    }
  return out.count;
}

/*
 * Handles the executor's answer to a seal.  A running attempt may reply until
 * the deadline.  After a finished one the reply is in flight or lost, and the
 * timeout stays as it is.
 */
size_t
eel_coordinator_sealed (struct eel_coordinator *coordinator,
                        const struct eel_key *key,
                        uint8_t attempt,
                        uint32_t executor,
                        uint64_t executor_incarnation,
                        enum eel_executor_state state,
                        int64_t now_us,
                        struct eel_action *actions)
{
  struct eel_action_list out = { .actions = actions };
  struct eel_decider_record *record
      = find_unresolved (coordinator, key, attempt, executor);
  struct eel_pending *pending = eel_pending_find (coordinator, record);

  if (record == NULL)
    return 0;
  if (executor_incarnation != record->executor_incarnation
      || state == EEL_EXECUTOR_FREE)
    {
      eel_decider_mark_unknown (&coordinator->decider, record);
      if (pending != NULL && !pending->finished)
        eel_pending_finish_unknown (coordinator, pending,
                                    EEL_ERROR_OUTCOME_UNKNOWN, now_us, &out);
    }
  else if (state == EEL_EXECUTOR_SEALED)
    handle_refused (coordinator, record, pending != NULL ? pending->lent : 0,
                    EEL_ERROR_DEADLINE, now_us, &out);
  else if (state == EEL_EXECUTOR_RUNNING && pending != NULL
           && pending->due_us < pending->deadline_us)
    pending->due_us = pending->deadline_us;
  return out.count;
}

/*
 * An executor restarted: what was dispatched to an earlier incarnation may
 * have run, and its records are lost.  Call again while it returns
 * EEL_ACTIONS_MAX; eel_coordinator_tick writes the remaining answers.
 */
size_t
eel_coordinator_executor_restarted (struct eel_coordinator *coordinator,
                                    uint32_t executor,
                                    uint64_t current_incarnation,
                                    int64_t now_us,
                                    struct eel_action *actions)
{
  struct eel_decider *decider = &coordinator->decider;
  uint32_t total = decider->root_capacity + decider->child_capacity;
  struct eel_action_list out = { .actions = actions };

  for (uint32_t i = 0; i < total; i++)
    {
      struct eel_decider_record *record = &decider->records[i];
      struct eel_pending *pending;

      if (record->state != EEL_DECIDER_DISPATCHED
          || record->executor != executor
          || record->executor_incarnation == current_incarnation)
        continue;
      eel_decider_mark_unknown (decider, record);
      pending = eel_pending_find (coordinator, record);
      if (pending != NULL && !pending->finished)
        eel_pending_finish_unknown (coordinator, pending,
                                    EEL_ERROR_OUTCOME_UNKNOWN, now_us, &out);
    }
  return out.count;
}
