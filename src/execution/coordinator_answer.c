#include <string.h>

#include "execution/pending.h"

/* Appends an action; the caller has checked that there is room. */
struct eel_action *
eel_action_list_add (struct eel_action_list *out,
                     enum eel_action_kind kind,
                     const struct eel_key *key)
{
  struct eel_action *action = &out->actions[out->count++];

  memset (action, 0, sizeof *action);
  action->kind = kind;
  action->key = *key;
  return action;
}

/* Appends an answer and counts its outcome. */
void
eel_action_list_add_answer (struct eel_coordinator *coordinator,
                            struct eel_action_list *out,
                            const struct eel_action *answer)
{
  out->actions[out->count++] = *answer;
  coordinator->outcomes[answer->outcome]++;
  if (answer->outcome == EEL_OUTCOME_UNKNOWN)
    coordinator->unknown_by_error[answer->error]++;
}

/* Sets the answer to the stored bytes, or to those of the current reply. */
static void
set_answer (const struct eel_coordinator *coordinator,
            const struct eel_decider_record *record,
            const struct eel_reply_answer *reply_answer,
            struct eel_action *action)
{
  action->answer = eel_decider_answer (&coordinator->decider, record,
                                       &action->answer_bytes);
  if (action->answer == NULL && reply_answer != NULL)
    {
      action->answer = reply_answer->answer;
      action->answer_bytes = reply_answer->bytes;
    }
  if (action->answer == NULL)
    action->error = EEL_ERROR_ANSWER_GONE;
}

/*
 * Adds the successor of a sealed key.  There is none without spare attempts or
 * for a nested call, whose parent chooses another label.  A draining node
 * issues no key; the caller then uses a key of another node.
 */
static void
add_successor (struct eel_coordinator *coordinator,
               struct eel_decider_record *record,
               int64_t now_us,
               struct eel_action *action)
{
  enum eel_error error;

  action->retry = EEL_RETRY_NONE;
  if (!eel_key_is_root (&record->key) || record->spare == 0)
    return;
  action->retry = EEL_RETRY_NEW_KEY;
  if (coordinator->draining)
    return;
  error = eel_decider_successor (&coordinator->decider, record,
                                 coordinator->key_life_us, now_us,
                                 &action->next_key);
  action->has_next_key = error == EEL_OK;
  if (error == EEL_ERROR_KEY_EXPIRED)
    action->retry = EEL_RETRY_NONE;
}

/*
 * An unresolved attempt may still be resolved by its executor, so the caller
 * may send the same key again; the request is not dispatched again.
 */
static enum eel_retry_advice
unknown_advice (const struct eel_decider_record *record)
{
  return record->state == EEL_DECIDER_DISPATCHED ? EEL_RETRY_SAME_KEY
                                                 : EEL_RETRY_NONE;
}

/* Answers one copy with the outcome of its key. */
void
eel_coordinator_answer_waiter (struct eel_coordinator *coordinator,
                               struct eel_decider_record *record,
                               const struct eel_waiter *waiter,
                               enum eel_outcome outcome,
                               enum eel_error error,
                               const struct eel_reply_answer *reply_answer,
                               int64_t now_us,
                               struct eel_action_list *out)
{
  struct eel_action action = { .kind = EEL_ACTION_ANSWER,
                               .call_id = waiter->call_id,
                               .key = record->key,
                               .attempt = record->attempt,
                               .spare = waiter->lent,
                               .error = error,
                               .outcome = outcome,
                               .retry = eel_error_info (error)->retry };

  if (outcome == EEL_OUTCOME_RAN)
    set_answer (coordinator, record, reply_answer, &action);
  else if (outcome == EEL_OUTCOME_NOT_RUN)
    add_successor (coordinator, record, now_us, &action);
  else if (outcome == EEL_OUTCOME_UNKNOWN)
    action.retry = unknown_advice (record);
  if (eel_key_is_root (&record->key))
    action.spare = record->spare;
  else if (waiter->owns_spare)
    {
      /* The rest is returned to the parent and must not be used here too. */
      action.spare = record->spare;
      record->spare = 0;
    }
  eel_action_list_add_answer (coordinator, out, &action);
}
