#include "node.h"

#include <stdlib.h>
#include <string.h>

/*
 * Interval and total time of retries to forward a call to its key's issuer
 * while no connection accepts it; opening one takes a few round trips.
 */
#define FORWARD_INTERVAL_US (10 * EEL_US_PER_MS)
#define FORWARD_RETRY_MAX_US (500 * EEL_US_PER_MS)
#define SWEEP_SLOTS 256

static void
submit_to_coordinator (struct eel_node *node, struct node_request *request)
{
  struct eel_action actions[EEL_ACTIONS_MAX];
  struct eel_arrival arrival = { 0 };
  size_t count;

  arrival.key = request->call->key;
  arrival.fingerprint = request->call->fingerprint;
  arrival.call_id = request->slot.id;
  arrival.deadline_us = request->deadline_us;
  if (!eel_key_is_root (&arrival.key))
    arrival.spare = request->ledger.spare;
  count = eel_coordinator_arrived (&node->coordinator, &arrival, node->now_us,
                                   actions);
  node_order_apply_actions (node, actions, count, request);
}

/*
 * Sends the call to the issuer of its key.  A connection that is still being
 * opened refuses it, in which case node_order_unsent schedules a retry.
 */
void
node_order_forward (struct eel_node *node, struct node_request *request)
{
  const struct eel_key *key = &request->call->key;
  struct node_send *send = node_send_new (node, NODE_SEND_DECIDE, NULL,
                                          key->issuer, request->slot.id);

  if (send == NULL)
    {
      node_request_fail (node, request, EEL_ERROR_TABLE_FULL);
      return;
    }
  send->owner = request->slot.id;
  send->lent = request->ledger.spare;
  node_peer_connect (node, key->issuer);
  if (!node_send_post (node, send, request->call, key->incarnation, 0))
    {
      node_table_remove (&node->sends, send);
      node_request_fail (node, request, EEL_ERROR_DECIDER_UNREACHABLE);
      return;
    }
  request->sends[0] = send->slot.id;
  request->ledger.lent = request->ledger.spare;
  request->ledger.spare = 0;
  node_request_set_timer (node, request, request->deadline_us);
}

/* Handles a call that was certainly not sent to the issuer of its key. */
void
node_order_unsent (struct eel_node *node, struct node_request *request)
{
  int64_t retry_us = node->now_us + FORWARD_INTERVAL_US;

  request->sends[0] = 0;
  eel_ledger_return (&request->ledger, request->ledger.lent,
                     request->ledger.lent);
  if (retry_us >= request->deadline_us
      || retry_us >= request->started_us + FORWARD_RETRY_MAX_US)
    node_request_fail (node, request, EEL_ERROR_DECIDER_UNREACHABLE);
  else
    node_request_set_timer (node, request, retry_us);
}

/*
 * Only the issuer of a key is its decider.  The request fails at once when the
 * issuer is unknown or dead.
 */
static void
forward_if_issuer_alive (struct eel_node *node, struct node_request *request)
{
  const struct eel_member *member
      = eel_membership_find (&node->membership, request->call->key.issuer);

  if (member == NULL || member->state == EEL_MEMBER_DEAD)
    node_request_fail (node, request, EEL_ERROR_DECIDER_UNREACHABLE);
  else
    node_order_forward (node, request);
}

/* Passes a non-idempotent request to the decider of its key. */
void
node_order_start (struct eel_node *node, struct node_request *request)
{
  if (request->call->key.issuer == node->settings.node)
    submit_to_coordinator (node, request);
  else
    forward_if_issuer_alive (node, request);
}

/*
 * A draining node starts no order, but copies of an order already started
 * still get its outcome.
 */
static int
must_refuse_new (struct eel_node *node, const struct eel_key *key)
{
  const struct eel_decider_record *record;

  if (!node->draining)
    return 0;
  record = eel_decider_find (&node->coordinator.decider, key);
  return record == NULL || record->state == EEL_DECIDER_ISSUED;
}

static enum eel_error
check_decide (struct eel_node *node, struct node_request *request)
{
  const struct eel_call *call = request->call;

  if (request->deadline_us <= node->now_us)
    return EEL_ERROR_DEADLINE;
  if (call->klass >= EEL_CLASS_COUNT || call->idempotent)
    return EEL_ERROR_MESSAGE_INVALID;
  if (must_refuse_new (node, &call->key))
    return EEL_ERROR_LEAVING;
  return EEL_OK;
}

/* Handles a call forwarded to this node as the decider of its key. */
void
node_order_decide (struct eel_node *node, struct eel_wire_message *wire)
{
  struct node_request *request
      = node_table_add (&node->requests, wire->from, wire->call_id);
  struct eel_wire_message *reply;
  enum eel_error error;

  if (request == NULL)
    {
      eel_metric_add (node->metrics.table_full, 1);
      reply = eel_wire_new (EEL_WIRE_REPLY);
      if (reply == NULL)
        return;
      reply->call_id = wire->call_id;
      reply->answer = eel_answer_error (wire->call_id, EEL_ERROR_TABLE_FULL);
      node_post_wire (node, wire->from, reply);
      return;
    }
  request->role = NODE_ROLE_DECIDER;
  request->call = wire->call;
  wire->call = NULL;
  request->document = eel_document_ref (node->presets.current);
  request->started_us = node->now_us;
  request->klass = request->call->klass;
  request->deadline_us = request->call->deadline_us;
  eel_ledger_init (&request->ledger, request->call->spare);
  error = check_decide (node, request);
  if (error != EEL_OK)
    node_request_fail (node, request, error);
  else
    submit_to_coordinator (node, request);
}

static struct eel_answer *
action_answer (const struct eel_action *action)
{
  struct eel_answer *answer;

  if (action->outcome == EEL_OUTCOME_RAN && action->answer != NULL)
    {
      answer = node_answer_decode (0, action->answer, action->answer_bytes);
      if (answer != NULL)
        return answer;
    }
  answer = eel_answer_error (0, action->error);
  if (answer == NULL)
    return NULL;
  answer->outcome = action->outcome;
  answer->retry = action->retry;
  if (action->has_next_key)
    eel_key_encode (&action->next_key, answer->next_key);
  return answer;
}

static void
answer_waiter (struct eel_node *node, const struct eel_action *action)
{
  struct node_request *request
      = node_table_get (&node->requests, action->call_id);

  if (request == NULL)
    return;
  if (action->outcome == EEL_OUTCOME_UNKNOWN)
    node_order_log_unknown (node, action);
  request->ledger.spare = action->spare;
  node_request_answer (node, request, action_answer (action));
}

/*
 * Carries out the coordinator's actions.  Answers come first: their stored
 * bytes are valid only until the next call into the coordinator, and the other
 * actions make such calls.
 */
void
node_order_apply_actions (struct eel_node *node,
                          const struct eel_action *actions,
                          size_t count,
                          struct node_request *request)
{
  uint64_t request_id = request != NULL ? request->slot.id : 0;

  /* The payload is stored before an answer can free the request. */
  for (size_t i = 0; i < count; i++)
    if (actions[i].kind == EEL_ACTION_EXECUTE)
      node_order_store (node, &actions[i].key, request);
  for (size_t i = 0; i < count; i++)
    if (actions[i].kind == EEL_ACTION_ANSWER)
      answer_waiter (node, &actions[i]);
  for (size_t i = 0; i < count; i++)
    {
      if (actions[i].kind == EEL_ACTION_EXECUTE)
        node_order_execute (node, &actions[i],
                            node_table_get (&node->requests, request_id));
      else if (actions[i].kind == EEL_ACTION_SEAL)
        node_order_seal (node, &actions[i]);
    }
}

static enum eel_attempt_result
attempt_result (const struct eel_answer *answer)
{
  switch (answer->outcome)
    {
    case EEL_OUTCOME_RAN:
      return EEL_ATTEMPT_RAN;
    case EEL_OUTCOME_REFUSED:
    case EEL_OUTCOME_NOT_RUN:
      return EEL_ATTEMPT_REFUSED;
    default:
      return EEL_ATTEMPT_UNKNOWN;
    }
}

/* Handles the executor's answer to an attempt. */
void
node_order_replied (struct eel_node *node,
                    const struct node_send *send,
                    uint64_t incarnation,
                    const struct eel_answer *answer)
{
  struct eel_action actions[EEL_ACTIONS_MAX];
  enum eel_attempt_result result = attempt_result (answer);
  struct node_order *order = node_order_find (node, &send->key);
  uint8_t *stored = NULL;
  uint32_t stored_bytes = 0;
  size_t count;

  if (result == EEL_ATTEMPT_RAN)
    stored = node_answer_encode (answer, &stored_bytes);
  if (result == EEL_ATTEMPT_RAN && order != NULL && order->service != NULL)
    eel_retry_budget_success (&order->service->budget);
  if (order != NULL)
    order->rerouted = answer->error == EEL_ERROR_LEAVING;
  count = eel_coordinator_replied (&node->coordinator, &send->key,
                                   send->attempt, send->target, incarnation,
                                   result, answer->error, answer->spare, stored,
                                   stored_bytes, node->now_us, actions);
  node_order_apply_actions (node, actions, count, NULL);
  free (stored);
  order = node_order_find (node, &send->key);
  if (order != NULL)
    node_order_free_if_done (node, order);
}

/* Handles the executor's answer to a seal request. */
void
node_order_sealed (struct eel_node *node, const struct eel_wire_message *wire)
{
  struct eel_action actions[EEL_ACTIONS_MAX];
  struct node_order *order;
  struct node_send *send;
  size_t count;

  send = node_send_find_order (node, wire->from, &wire->seal.key,
                               wire->seal.attempt);
  /* The execute message was lost or refused, so no answer will follow. */
  if (send != NULL && wire->seal.state == EEL_EXECUTOR_SEALED)
    node_send_finish (node, send, EEL_REPLY_TIMED_OUT, NULL);
  count = eel_coordinator_sealed (
      &node->coordinator, &wire->seal.key, wire->seal.attempt, wire->from,
      wire->from_incarnation, (enum eel_executor_state)wire->seal.state,
      node->now_us, actions);
  node_order_apply_actions (node, actions, count, NULL);
  order = node_order_find (node, &wire->seal.key);
  if (order != NULL)
    node_order_free_if_done (node, order);
}

/*
 * Frees orders that ended without an event for this task, checking SWEEP_SLOTS
 * table slots per tick.
 */
static void
sweep_orders (struct eel_node *node)
{
  for (uint32_t i = 0; node->orders.used > 0 && i < SWEEP_SLOTS; i++)
    {
      struct node_order *order;

      node->order_sweep_cursor
          = (node->order_sweep_cursor + 1) % node->orders.capacity;
      order = node_table_at (&node->orders, node->order_sweep_cursor);
      if (order != NULL)
        node_order_free_if_done (node, order);
    }
}

/* Runs the coordinator's timeouts and drain, and frees ended orders. */
void
node_order_tick (struct eel_node *node)
{
  struct eel_action actions[EEL_ACTIONS_MAX];
  size_t count;

  do
    {
      count = eel_coordinator_tick (&node->coordinator, node->now_us, actions);
      node_order_apply_actions (node, actions, count, NULL);
    }
  while (count == EEL_ACTIONS_MAX);
  do
    {
      count = node->draining ? eel_coordinator_drain (&node->coordinator,
                                                      node->now_us, actions)
                             : 0;
      node_order_apply_actions (node, actions, count, NULL);
    }
  while (count == EEL_ACTIONS_MAX);
  sweep_orders (node);
}
