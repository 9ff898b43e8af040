#include <string.h>

#include "eelgrasslatch/retry.h"
#include "execution/pending.h"

/* Returns the open order of a record, or NULL. */
struct eel_pending *
eel_pending_find (struct eel_coordinator *coordinator,
                  const struct eel_decider_record *record)
{
  if (record == NULL || record->pending == EEL_INDEX_NONE)
    return NULL;
  return &coordinator->pending[record->pending];
}

/* Returns the record of an open order. */
struct eel_decider_record *
eel_pending_record (struct eel_coordinator *coordinator,
                    const struct eel_pending *pending)
{
  return &coordinator->decider.records[pending->record];
}

/*
 * Opens an order for a record; NULL when the table is full.  Sealing starts
 * one seal timeout before the deadline, or halfway to it when that is later,
 * so that the executor's answer arrives by the deadline.
 */
struct eel_pending *
eel_pending_open (struct eel_coordinator *coordinator,
                  struct eel_decider_record *record,
                  int64_t deadline_us,
                  int64_t now_us)
{
  struct eel_pending *pending;
  int64_t lead_us;

  if (coordinator->pending_count == coordinator->pending_capacity)
    return NULL;
  if (deadline_us > record->key.expiry_us)
    deadline_us = record->key.expiry_us;
  lead_us = (deadline_us - now_us) / 2;
  if (lead_us > coordinator->seal_timeout_us)
    lead_us = coordinator->seal_timeout_us;
  record->pending = coordinator->pending_count++;
  pending = &coordinator->pending[record->pending];
  *pending = (struct eel_pending){
    .record = (uint32_t)(record - coordinator->decider.records),
    .deadline_us = deadline_us,
    .due_us = deadline_us - lead_us,
    .last_error = EEL_ERROR_DEADLINE,
    .first_waiter = EEL_INDEX_NONE,
  };
  return pending;
}

/* Removes an order and moves the last one into its slot. */
static void
close_pending (struct eel_coordinator *coordinator, struct eel_pending *pending)
{
  struct eel_pending *last
      = &coordinator->pending[--coordinator->pending_count];

  eel_pending_record (coordinator, pending)->pending = EEL_INDEX_NONE;
  if (pending == last)
    return;
  *pending = *last;
  eel_pending_record (coordinator, pending)->pending
      = (uint32_t)(pending - coordinator->pending);
}

/* Returns 0 when the table of waiters is full. */
int
eel_pending_add_waiter (struct eel_coordinator *coordinator,
                        struct eel_pending *pending,
                        const struct eel_arrival *arrival,
                        int owns_spare)
{
  uint32_t index = coordinator->waiter_free;
  struct eel_waiter *waiter;

  if (index == EEL_INDEX_NONE)
    return 0;
  waiter = &coordinator->waiters[index];
  coordinator->waiter_free = waiter->next;
  *waiter = (struct eel_waiter){ .call_id = arrival->call_id,
                                 .deadline_us = arrival->deadline_us,
                                 .record = pending->record,
                                 .next = pending->first_waiter,
                                 .lent = arrival->spare,
                                 .owns_spare = (uint8_t)owns_spare };
  pending->first_waiter = index;
  return 1;
}

/* Unlinks and frees the waiter that a link points to. */
void
eel_pending_remove_waiter (struct eel_coordinator *coordinator, uint32_t *link)
{
  uint32_t index = *link;
  struct eel_waiter *waiter = &coordinator->waiters[index];

  *link = waiter->next;
  waiter->call_id = 0;
  waiter->record = EEL_INDEX_NONE;
  waiter->next = coordinator->waiter_free;
  coordinator->waiter_free = index;
}

/* Requests the next attempt and lends it half of the spare attempts. */
void
eel_pending_execute (struct eel_coordinator *coordinator,
                     struct eel_pending *pending,
                     struct eel_action_list *out)
{
  struct eel_decider_record *record = eel_pending_record (coordinator, pending);
  struct eel_ledger ledger = { .spare = record->spare };
  struct eel_action *action
      = eel_action_list_add (out, EEL_ACTION_EXECUTE, &record->key);

  pending->lent = eel_ledger_lend (&ledger);
  record->spare = ledger.spare;
  action->attempt = (uint8_t)(record->attempt + 1);
  action->spare = pending->lent;
  action->deadline_us = pending->deadline_us;
}

/* Asks the executor of the outstanding attempt to seal it. */
void
eel_pending_request_seal (struct eel_coordinator *coordinator,
                          struct eel_pending *pending,
                          struct eel_action_list *out)
{
  const struct eel_decider_record *record
      = eel_pending_record (coordinator, pending);
  struct eel_action *action
      = eel_action_list_add (out, EEL_ACTION_SEAL, &record->key);

  action->attempt = record->attempt;
  action->executor = record->executor;
  action->executor_incarnation = record->executor_incarnation;
  action->deadline_us = record->attempt_deadline_us;
  action->valid_until_us = record->valid_until_us;
  pending->sealing = 1;
}

/* Sets the outcome that eel_pending_answer_waiters sends. */
void
eel_pending_finish (struct eel_pending *pending,
                    enum eel_outcome outcome,
                    enum eel_error error)
{
  pending->finished = 1;
  pending->outcome = outcome;
  pending->last_error = error;
}

/*
 * Answers waiting copies while there is room for actions and closes the order
 * after the last one; eel_coordinator_tick answers the others.
 */
void
eel_pending_answer_waiters (struct eel_coordinator *coordinator,
                            struct eel_pending *pending,
                            const struct eel_reply_answer *reply_answer,
                            int64_t now_us,
                            struct eel_action_list *out)
{
  struct eel_decider_record *record = eel_pending_record (coordinator, pending);

  while (pending->first_waiter != EEL_INDEX_NONE)
    {
      if (out->count == EEL_ACTIONS_MAX)
        return;
      eel_coordinator_answer_waiter (
          coordinator, record, &coordinator->waiters[pending->first_waiter],
          pending->outcome, pending->last_error, reply_answer, now_us, out);
      eel_pending_remove_waiter (coordinator, &pending->first_waiter);
    }
  close_pending (coordinator, pending);
}

/* Seals an order without an outstanding attempt and answers "not run". */
void
eel_pending_finish_not_run (struct eel_coordinator *coordinator,
                            struct eel_pending *pending,
                            enum eel_error error,
                            int64_t now_us,
                            struct eel_action_list *out)
{
  struct eel_decider_record *record = eel_pending_record (coordinator, pending);

  if (eel_decider_seal (&coordinator->decider, record) != EEL_OK)
    return;
  eel_pending_finish (pending, EEL_OUTCOME_NOT_RUN, error);
  eel_pending_answer_waiters (coordinator, pending, NULL, now_us, out);
}

/* Answers "unknown"; the attempts lent to the outstanding one are lost. */
void
eel_pending_finish_unknown (struct eel_coordinator *coordinator,
                            struct eel_pending *pending,
                            enum eel_error error,
                            int64_t now_us,
                            struct eel_action_list *out)
{
  pending->lent = 0;
  eel_pending_finish (pending, EEL_OUTCOME_UNKNOWN, error);
  eel_pending_answer_waiters (coordinator, pending, NULL, now_us, out);
}
