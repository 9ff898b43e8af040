#include "node.h"

#include <string.h>

/* A send without an answer is freed this long after its deadline. */
#define LATE_ANSWER_US (30 * EEL_US_PER_S)
#define SWEEP_SLOTS 64

/*
 * Adds the record of a call to a node.  The subject is the request's id or the
 * hash of the order's key.  Returns NULL and counts it when the table is full.
 */
struct node_send *
node_send_new (struct eel_node *node,
               enum node_send_kind kind,
               struct node_service *service,
               uint32_t target,
               uint64_t subject)
{
  struct node_send *send = node_table_add (&node->sends, target, subject);

  if (send == NULL)
    {
      eel_metric_add (node->metrics.table_full, 1);
      return NULL;
    }
  send->kind = kind;
  send->service = service;
  send->target = target;
  send->sent_us = node->now_us;
  return send;
}

static struct eel_wire_message *
call_message (const struct eel_node *node,
              const struct node_send *send,
              const struct eel_call *call)
{
  struct eel_wire_message *wire = eel_wire_new (EEL_WIRE_CALL);

  if (wire == NULL)
    return NULL;
  wire->call = node_call_copy (call);
  if (wire->call == NULL)
    {
      eel_wire_free (wire);
      return NULL;
    }
  wire->call_id = send->slot.id;
  wire->role
      = send->kind == NODE_SEND_DECIDE ? EEL_WIRE_DECIDE : EEL_WIRE_EXECUTE;
  wire->remaining_us = call->deadline_us - node->now_us;
  wire->call->id = send->slot.id;
  wire->call->attempt = send->attempt;
  wire->call->spare = send->lent;
  return wire;
}

/*
 * Sends a copy of the call.  Returns 0 when it was certainly not sent; the
 * caller must then free the record.
 */
int
node_send_post (struct eel_node *node,
                struct node_send *send,
                const struct eel_call *call,
                uint64_t to_incarnation,
                int64_t valid_until_us)
{
  struct eel_wire_message *wire = call_message (node, send, call);

  if (wire == NULL)
    return 0;
  send->deadline_us = call->deadline_us;
  send->target_incarnation = to_incarnation;
  wire->to_incarnation = to_incarnation;
  wire->valid_until_us = valid_until_us;
  if (!node_post_wire (node, send->target, wire))
    return 0;
  if (send->service != NULL)
    eel_routing_sent (&send->service->routing, send->target, node->now_us);
  send->sent_us = node->now_us;
  return 1;
}

/* Reports the result of a sent call to routing and frees its record. */
void
node_send_finish (struct eel_node *node,
                  struct node_send *send,
                  enum eel_reply_kind kind,
                  const struct eel_load *load)
{
  if (send->service != NULL)
    eel_routing_replied (&send->service->routing, send->target, kind, load,
                         node->now_us - send->sent_us, node->now_us);
  node_table_remove (&node->sends, send);
}

/*
 * Cancels an attempt whose answer is not needed.  The time taken so far is a
 * lower bound of its latency, so it is still reported to routing.
 */
void
node_send_cancel (struct eel_node *node, struct node_send *send)
{
  struct eel_wire_message *wire = eel_wire_new (EEL_WIRE_CANCEL);

  if (wire != NULL)
    {
      wire->call_id = send->slot.id;
      node_post_wire (node, send->target, wire);
    }
  node_send_finish (node, send, EEL_REPLY_OK, NULL);
}

static enum eel_reply_kind
reply_kind (const struct eel_answer *answer)
{
  switch (answer->error)
    {
    case EEL_ERROR_OVERLOADED:
    case EEL_ERROR_UPSTREAM_REFUSED:
    case EEL_ERROR_CALLER_LIMIT:
    case EEL_ERROR_LEAVING:
      return EEL_REPLY_SHED;
    case EEL_ERROR_UPSTREAM_FAILED:
    case EEL_ERROR_INTERNAL:
    case EEL_ERROR_NO_ENDPOINT:
      return EEL_REPLY_FAILED;
    case EEL_ERROR_DEADLINE:
    case EEL_ERROR_OUTCOME_UNKNOWN:
      return EEL_REPLY_TIMED_OUT;
    default:
      return EEL_REPLY_OK;
    }
}

static void
decide_replied (struct eel_node *node,
                struct node_request *request,
                struct eel_wire_message *wire)
{
  struct eel_answer *answer = wire->answer;

  wire->answer = NULL;
  request->sends[0] = 0;
  eel_ledger_return (&request->ledger, request->ledger.lent, answer->spare);
  node_request_answer (node, request, answer);
}

static void
lookup_replied (struct eel_node *node,
                struct node_request *request,
                const struct node_send *send,
                struct eel_wire_message *wire)
{
  struct eel_answer *answer = wire->answer;

  wire->answer = NULL;
  for (uint32_t i = 0; i < 2; i++)
    if (request->sends[i] == send->slot.id)
      request->sends[i] = 0;
  eel_ledger_return (&request->ledger, send->lent, answer->spare);
  node_lookup_replied (node, request, send->target, answer);
}

/* Handles the answer to a sent call; one without a record is dropped. */
void
node_send_replied (struct eel_node *node, struct eel_wire_message *wire)
{
  struct node_send *found = node_table_get (&node->sends, wire->call_id);
  struct node_send send;
  struct node_request *request;

  if (found == NULL || wire->answer == NULL || found->target != wire->from)
    return;
  send = *found;
  node_send_finish (node, found, reply_kind (wire->answer),
                    &wire->answer->load);
  if (send.kind == NODE_SEND_ORDER)
    {
      node_order_replied (node, &send, wire->from_incarnation, wire->answer);
      return;
    }
  request = node_table_get (&node->requests, send.owner);
  if (request == NULL)
    return;
  if (send.kind == NODE_SEND_DECIDE)
    decide_replied (node, request, wire);
  else
    lookup_replied (node, request, &send, wire);
}

/* Ends an attempt that was certainly not sent. */
static void
complete_unsent (struct eel_node *node, const struct node_send *send)
{
  struct node_request *request = node_table_get (&node->requests, send->owner);
  struct eel_wire_message wire = { 0 };

  if (request != NULL && send->kind == NODE_SEND_DECIDE)
    {
      node_order_unsent (node, request);
      return;
    }
  wire.answer = eel_answer_error (0, EEL_ERROR_NO_ENDPOINT);
  if (wire.answer == NULL)
    return;
  wire.answer->spare = send->lent;
  if (send->kind == NODE_SEND_ORDER)
    node_order_replied (node, send, send->target_incarnation, wire.answer);
  else if (request != NULL && send->kind == NODE_SEND_LOOKUP)
    lookup_replied (node, request, send, &wire);
  eel_answer_free (wire.answer);
}

/* Handles a call that the peers task could not send. */
void
node_send_unsent (struct eel_node *node,
                  const struct eel_wire_message *wire,
                  uint32_t target)
{
  struct node_send *found = node_table_get (&node->sends, wire->call_id);
  struct node_send send;

  if (wire->kind != EEL_WIRE_CALL || found == NULL || found->target != target)
    return;
  send = *found;
  node_send_finish (node, found, EEL_REPLY_LOST, NULL);
  complete_unsent (node, &send);
}

/* Returns the record of an order's unanswered attempt, or NULL. */
struct node_send *
node_send_find_order (const struct eel_node *node,
                      uint32_t target,
                      const struct eel_key *key,
                      uint8_t attempt)
{
  struct node_send *send
      = node_table_find (&node->sends, target, node_key_hash (key));

  while (send != NULL
         && (send->kind != NODE_SEND_ORDER || send->attempt != attempt
             || !eel_key_equal (&send->key, key)))
    send = node_table_find_next (&node->sends, send);
  return send;
}

/*
 * Frees sends without an answer LATE_ANSWER_US after their deadline, checking
 * SWEEP_SLOTS table slots per tick.  Only sends of orders live that long: the
 * others are freed with their request.
 */
void
node_send_sweep (struct eel_node *node)
{
  for (uint32_t i = 0; i < SWEEP_SLOTS && node->sends.capacity > 0; i++)
    {
      struct node_send *send;

      node->send_sweep_cursor
          = (node->send_sweep_cursor + 1) % node->sends.capacity;
      send = node_table_at (&node->sends, node->send_sweep_cursor);
      if (send != NULL && send->deadline_us + LATE_ANSWER_US < node->now_us)
        node_send_finish (node, send, EEL_REPLY_LOST, NULL);
    }
}

static void
fail_lost (struct eel_node *node, const struct node_send *send)
{
  struct node_request *request = node_table_get (&node->requests, send->owner);

  if (request == NULL)
    return;
  if (send->kind == NODE_SEND_DECIDE)
    {
      request->sends[0] = 0;
      node_request_fail (node, request, EEL_ERROR_OUTCOME_UNKNOWN);
      return;
    }
  for (uint32_t i = 0; i < 2; i++)
    if (request->sends[i] == send->slot.id)
      request->sends[i] = 0;
  node_lookup_replied (node, request, send->target,
                       eel_answer_error (0, EEL_ERROR_INTERNAL));
}

/*
 * Fails the requests with calls to a node that restarted or is dead.  Orders
 * are left to the coordinator.
 */
void
node_send_peer_lost (struct eel_node *node, uint32_t peer)
{
  for (uint32_t i = 0; i < node->sends.capacity; i++)
    {
      struct node_send *found = node_table_at (&node->sends, i);
      struct node_send send;

      if (found == NULL || found->target != peer
          || found->kind == NODE_SEND_ORDER)
        continue;
      send = *found;
      node_send_finish (node, found, EEL_REPLY_LOST, NULL);
      fail_lost (node, &send);
    }
}
