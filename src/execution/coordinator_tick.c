#include "eelgrasslatch/coordinator.h"

#include "execution/pending.h"

/* Returns 1 when the order had a waiter with this call id. */
static int
remove_waiter (struct eel_coordinator *coordinator,
               struct eel_pending *pending,
               uint64_t call_id)
{
  uint32_t *link = &pending->first_waiter;

  while (*link != EEL_INDEX_NONE)
    {
      if (coordinator->waiters[*link].call_id == call_id)
        {
          eel_pending_remove_waiter (coordinator, link);
          return 1;
        }
      link = &coordinator->waiters[*link].next;
    }
  return 0;
}

/* Drops the waiter of a caller that disconnected; the order continues. */
void
eel_coordinator_caller_disconnected (struct eel_coordinator *coordinator,
                                     uint64_t call_id)
{
  for (uint32_t i = 0; i < coordinator->pending_count; i++)
    if (remove_waiter (coordinator, &coordinator->pending[i], call_id))
      return;
}

/*
 * Refuses copies whose own deadline is before that of the order.  The refusal
 * concerns the copy only, not the attempt that runs.
 */
static void
refuse_late_waiters (struct eel_coordinator *coordinator,
                     struct eel_pending *pending,
                     int64_t now_us,
                     struct eel_action_list *out)
{
  uint32_t *link = &pending->first_waiter;

  if (now_us >= pending->deadline_us)
    return;
  while (*link != EEL_INDEX_NONE && out->count < EEL_ACTIONS_MAX)
    {
      const struct eel_waiter *waiter = &coordinator->waiters[*link];

      if (now_us < waiter->deadline_us)
        {
          link = &coordinator->waiters[*link].next;
          continue;
        }
      eel_coordinator_answer_waiter (
          coordinator, eel_pending_record (coordinator, pending), waiter,
          EEL_OUTCOME_REFUSED, EEL_ERROR_IN_PROGRESS, NULL, now_us, out);
      eel_pending_remove_waiter (coordinator, link);
    }
}

/* Handles a timeout: seals the order, requests a seal, or gives up. */
static void
run_due_step (struct eel_coordinator *coordinator,
              struct eel_pending *pending,
              int64_t now_us,
              struct eel_action_list *out)
{
  const struct eel_decider_record *record
      = eel_pending_record (coordinator, pending);

  if (record->state == EEL_DECIDER_OPEN)
    eel_pending_finish_not_run (coordinator, pending, pending->last_error,
                                now_us, out);
  else if (!pending->sealing)
    {
      eel_pending_request_seal (coordinator, pending, out);
      pending->due_us = now_us < pending->deadline_us
                            ? pending->deadline_us
                            : now_us + coordinator->seal_timeout_us;
    }
  else
    /* The record stays dispatched: a late reply or seal resolves it. */
    eel_pending_finish_unknown (coordinator, pending, EEL_ERROR_OUTCOME_UNKNOWN,
                                now_us, out);
}

/* Returns 1 when the order is still open afterwards. */
static int
tick_pending (struct eel_coordinator *coordinator,
              uint32_t index,
              int64_t now_us,
              struct eel_action_list *out)
{
  struct eel_pending *pending = &coordinator->pending[index];
  uint32_t count = coordinator->pending_count;

  if (pending->finished)
    eel_pending_answer_waiters (coordinator, pending, NULL, now_us, out);
  else
    {
      refuse_late_waiters (coordinator, pending, now_us, out);
      if (now_us >= pending->due_us && out->count < EEL_ACTIONS_MAX)
        run_due_step (coordinator, pending, now_us, out);
    }
  return coordinator->pending_count == count;
}

/* Handles the orders whose timeout is due while there is room for actions. */
size_t
eel_coordinator_tick (struct eel_coordinator *coordinator,
                      int64_t now_us,
                      struct eel_action *actions)
{
  struct eel_action_list out = { .actions = actions };
  uint32_t index = 0;

  while (index < coordinator->pending_count && out.count < EEL_ACTIONS_MAX)
    index += (uint32_t)tick_pending (coordinator, index, now_us, &out);
  return out.count;
}

/*
 * Graceful shutdown: seals every order without an outstanding attempt.
 * Attempts refused later are sealed too, and new orders are answered "not run".
 * Call again while it returns EEL_ACTIONS_MAX.
 */
size_t
eel_coordinator_drain (struct eel_coordinator *coordinator,
                       int64_t now_us,
                       struct eel_action *actions)
{
  struct eel_action_list out = { .actions = actions };
  uint32_t index = 0;

  coordinator->draining = 1;
  while (index < coordinator->pending_count && out.count < EEL_ACTIONS_MAX)
    {
      struct eel_pending *pending = &coordinator->pending[index];
      uint32_t count = coordinator->pending_count;

      if (!pending->finished
          && eel_pending_record (coordinator, pending)->state
                 == EEL_DECIDER_OPEN)
        eel_pending_finish_not_run (coordinator, pending, EEL_ERROR_LEAVING,
                                    now_us, &out);
      if (coordinator->pending_count == count)
        index++;
    }
  return out.count;
}
