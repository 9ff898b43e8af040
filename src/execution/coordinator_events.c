#include "eelgrasslatch/coordinator.h"

#include "eelgrasslatch/retry.h"
#include "execution/pending.h"

/* Returns the record whose outstanding or lost attempt a reply names. */
static struct eel_decider_record *
replied_record (struct eel_coordinator *coordinator,
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

/* Takes back the lent attempts that the outstanding attempt did not use. */
static void
take_back (struct eel_decider_record *record,
           struct eel_pending *pending,
           uint8_t unused)
{
  struct eel_ledger ledger = { .spare = record->spare, .lent = pending->lent };

  eel_ledger_return (&ledger, pending->lent, unused);
  record->spare = ledger.spare;
  pending->lent = 0;
}

/*
 * Returns 1 when a refused attempt may be followed by another one, and pays
 * for it.  Refusals for overload are retried only for root keys: inner hops
 * would multiply the load that caused them.
 */
static int
may_repeat (const struct eel_coordinator *coordinator,
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

/* The outstanding attempt will not run: tries again or seals the key. */
static void
refused (struct eel_coordinator *coordinator,
         struct eel_decider_record *record,
         uint8_t unused,
         enum eel_error error,
         int64_t now_us,
         struct eel_out *out)
{
  struct eel_pending *pending = eel_pending_of (coordinator, record);

  eel_decider_attempt_refused (&coordinator->decider, record, record->attempt);
  if (pending == NULL)
    {
      /* Its callers were told "unknown"; later copies learn "not run". */
      eel_decider_seal (&coordinator->decider, record);
      return;
    }
  if (pending->finished)
    {
      /* "Unknown" is being told; an open record would let it run again. */
      eel_decider_seal (&coordinator->decider, record);
      return;
    }
  take_back (record, pending, unused);
  if (may_repeat (coordinator, record, pending, error, now_us))
    eel_pending_execute (coordinator, pending, out);
  else
    eel_pending_not_run (coordinator, pending, error, now_us, out);
}

/* The request ran: keeps the answer and gives it to every waiting copy. */
static void
ran (struct eel_coordinator *coordinator,
     struct eel_decider_record *record,
     uint8_t unused,
     const struct eel_fresh *fresh,
     int64_t now_us,
     struct eel_out *out)
{
  struct eel_pending *pending = eel_pending_of (coordinator, record);

  eel_decider_ran (&coordinator->decider, record, fresh->answer, fresh->bytes);
  if (pending == NULL)
    return;
  take_back (record, pending, unused);
  eel_pending_finish (pending, EEL_OUTCOME_RAN, EEL_OK);
  eel_pending_flush (coordinator, pending, fresh, now_us, out);
}

/* The executor's reply to an attempt. */
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
  struct eel_out out = { .actions = actions };
  struct eel_fresh fresh = { .answer = answer, .bytes = answer_bytes };
  struct eel_decider_record *record
      = replied_record (coordinator, key, attempt, executor);
  struct eel_pending *pending = eel_pending_of (coordinator, record);

  if (record == NULL)
    return 0;
  if (executor_incarnation != record->executor_incarnation
      && result == EEL_ATTEMPT_REFUSED)
    result = EEL_ATTEMPT_UNKNOWN;
  /* The text of a refusal would contradict the outcome. */
  if (result == EEL_ATTEMPT_UNKNOWN
      && eel_error_info (error)->outcome != EEL_OUTCOME_UNKNOWN)
    error = EEL_ERROR_OUTCOME_UNKNOWN;
  if (result == EEL_ATTEMPT_RAN)
    ran (coordinator, record, unused_spare, &fresh, now_us, &out);
  else if (result == EEL_ATTEMPT_REFUSED)
    refused (coordinator, record, unused_spare, error, now_us, &out);
  else
    {
      eel_decider_unknown (&coordinator->decider, record);
      if (pending != NULL && !pending->finished)
        eel_pending_unknown (coordinator, pending, error, now_us, &out);
    }
  return out.count;
}

/*
 * The executor's answer to a seal.  Running: its reply is awaited until the
 * deadline.  Done: the reply is on its way or lost, the timeout decides.
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
  struct eel_out out = { .actions = actions };
  struct eel_decider_record *record
      = replied_record (coordinator, key, attempt, executor);
  struct eel_pending *pending = eel_pending_of (coordinator, record);

  if (record == NULL)
    return 0;
  if (executor_incarnation != record->executor_incarnation
      || state == EEL_EXECUTOR_FREE)
    {
      eel_decider_unknown (&coordinator->decider, record);
      if (pending != NULL && !pending->finished)
        eel_pending_unknown (coordinator, pending, EEL_ERROR_OUTCOME_UNKNOWN,
                             now_us, &out);
    }
  else if (state == EEL_EXECUTOR_SEALED)
    refused (coordinator, record, pending != NULL ? pending->lent : 0,
             EEL_ERROR_DEADLINE, now_us, &out);
  else if (state == EEL_EXECUTOR_RUNNING && pending != NULL
           && pending->due_us < pending->deadline_us)
    pending->due_us = pending->deadline_us;
  return out.count;
}

/*
 * An executor has another incarnation now: what was dispatched to an earlier
 * one may have run and nobody can tell.  Call again while it returns
 * EEL_ACTIONS_MAX; tick answers the rest.
 */
size_t
eel_coordinator_executor_restarted (struct eel_coordinator *coordinator,
                                    uint32_t executor,
                                    uint64_t incarnation_now,
                                    int64_t now_us,
                                    struct eel_action *actions)
{
  struct eel_decider *decider = &coordinator->decider;
  uint32_t total = decider->root_capacity + decider->child_capacity;
  struct eel_out out = { .actions = actions };

  for (uint32_t i = 0; i < total; i++)
    {
      struct eel_decider_record *record = &decider->records[i];
      struct eel_pending *pending;

      if (record->state != EEL_DECIDER_DISPATCHED
          || record->executor != executor
          || record->executor_incarnation == incarnation_now)
        continue;
      eel_decider_unknown (decider, record);
      pending = eel_pending_of (coordinator, record);
      if (pending != NULL && !pending->finished)
        eel_pending_unknown (coordinator, pending, EEL_ERROR_OUTCOME_UNKNOWN,
                             now_us, &out);
    }
  return out.count;
}
