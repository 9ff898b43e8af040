#include "node.h"

#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"

/* Returns 1 if the header was present. */
static uint8_t
remove_suspect_header (struct eel_headers *headers)
{
  for (uint32_t i = 0; i < headers->count; i++)
    {
      struct eel_header *item = &headers->items[i];

      if (strcmp (item->name, NODE_SUSPECT_HEADER) != 0)
        continue;
      headers->bytes -= (uint32_t)(strlen (item->name) + strlen (item->value));
      free (item->name);
      free (item->value);
      *item = headers->items[--headers->count];
      return 1;
    }
  return 0;
}

static struct node_run *
new_run (struct eel_node *node, struct eel_wire_message *wire)
{
  struct node_run *run
      = node_table_add (&node->runs, wire->from, wire->call_id);
  struct eel_call *call = wire->call;

  if (run == NULL)
    return NULL;
  wire->call = NULL;
  run->call = call;
  run->key = call->key;
  run->state = NODE_RUN_QUEUED;
  run->idempotent = call->idempotent;
  run->attempt = call->attempt;
  run->klass
      = call->klass < EEL_CLASS_COUNT ? call->klass : EEL_CLASS_BACKGROUND;
  run->has_root = call->has_root || !call->idempotent;
  run->root = call->has_root ? call->root : call->key;
  run->fingerprint = call->fingerprint;
  run->deadline_us = call->deadline_us;
  run->valid_until_us = wire->valid_until_us;
  run->suspect = remove_suspect_header (&call->headers);
  eel_ledger_init (&run->ledger, call->spare);
  run->work.id = run->slot.id;
  run->work.klass = run->klass;
  run->work.nested = call->nested;
  run->work.caller_hash
      = (uint32_t)eel_hash64 (call->caller, strlen (call->caller), 0);
  run->work.route_hash
      = eel_route_hash (call->service, call->method, call->target);
  run->work.deadline_us = call->deadline_us;
  run->work.arrived_us = node->now_us;
  return run;
}

static enum eel_error
accept_error (enum eel_accept accept)
{
  switch (accept)
    {
    case EEL_ACCEPT_OK:
      return EEL_OK;
    case EEL_ACCEPT_LATE:
      return EEL_ERROR_DEADLINE;
    case EEL_ACCEPT_FULL:
      return EEL_ERROR_TABLE_FULL;
    default:
      return EEL_ERROR_NO_ENDPOINT;
    }
}

static enum eel_error
check_run (struct eel_node *node, struct node_run *run)
{
  if (strcmp (run->call->service, node->settings.service) != 0)
    return EEL_ERROR_SERVICE_UNKNOWN;
  if (node->draining || node->upstream_leaving)
    return EEL_ERROR_LEAVING;
  if (node->upstream_state != EEL_UPSTREAM_UP || !node_is_joined (node))
    return EEL_ERROR_NO_ENDPOINT;
  if (run->deadline_us <= node->now_us)
    return EEL_ERROR_DEADLINE;
  switch (
      eel_quarantine_check (&node->quarantine, run->fingerprint, node->now_us))
    {
    case EEL_QUARANTINE_REFUSED:
      return EEL_ERROR_QUARANTINED;
    case EEL_QUARANTINE_SUSPECT:
      run->suspect = 1;
      return EEL_OK;
    default:
      break;
    }
  /* The sender marked it: it was in flight when another endpoint crashed. */
  if (run->suspect)
    eel_quarantine_crashed (&node->quarantine, &run->fingerprint, 1,
                            node->now_us);
  return EEL_OK;
}

static void
refuse_evicted (struct eel_node *node, uint64_t id)
{
  struct node_run *run = node_table_get (&node->runs, id);

  if (run != NULL)
    node_run_refuse (node, run, EEL_ERROR_OVERLOADED);
}

/* Offers a run to admission, which starts, queues or refuses it. */
void
node_execute_offer (struct eel_node *node, struct node_run *run)
{
  struct eel_offer_result result;
  uint64_t id = run->slot.id;

  run->state = NODE_RUN_QUEUED;
  result = eel_admission_offer (&node->admission, &run->work, node->now_us);
  if (result.evicted_id != 0)
    refuse_evicted (node, result.evicted_id);
  run = node_table_get (&node->runs, id);
  if (run == NULL)
    return;
  if (result.verdict == EEL_OFFER_START)
    node_run_start (node, run);
  else if (result.verdict == EEL_OFFER_REFUSED)
    node_run_refuse (node, run, result.error);
}

/*
 * Refuses a call because the run table is full.  The attempt of an order is
 * sealed first: a second copy of the message could arrive when there is room.
 */
static void
refuse_full (struct eel_node *node, const struct eel_wire_message *wire)
{
  const struct eel_call *call = wire->call;
  struct eel_wire_message *reply;

  eel_metric_add (node->metrics.table_full, 1);
  if (!call->idempotent
      && eel_executor_accept (&node->executor, &call->key, call->attempt,
                              wire->valid_until_us, wire->to_incarnation,
                              node->now_us)
             != EEL_ACCEPT_OK)
    return;
  if (!call->idempotent)
    eel_executor_not_run (&node->executor, &call->key, call->attempt);
  reply = eel_wire_new (EEL_WIRE_REPLY);
  if (reply == NULL)
    return;
  reply->call_id = wire->call_id;
  reply->answer = eel_answer_error (wire->call_id, EEL_ERROR_TABLE_FULL);
  if (reply->answer != NULL)
    {
      reply->answer->spare = wire->call->spare;
      node_current_load (node, &reply->answer->load);
    }
  node_post_wire (node, wire->from, reply);
}

/* Handles a call for this node's upstream. */
void
node_execute_call (struct eel_node *node, struct eel_wire_message *wire)
{
  struct node_run *run = new_run (node, wire);
  enum eel_accept accept = EEL_ACCEPT_OK;
  enum eel_error error;

  if (run == NULL)
    {
      refuse_full (node, wire);
      return;
    }
  if (!run->idempotent)
    accept = eel_executor_accept (&node->executor, &run->key, run->attempt,
                                  run->valid_until_us, wire->to_incarnation,
                                  node->now_us);
  if (accept == EEL_ACCEPT_DUPLICATE)
    {
      /* Only the first copy of the message gets a reply. */
      eel_metric_add (node->metrics.duplicates, 1);
      node_run_free (node, run);
      return;
    }
  if (accept == EEL_ACCEPT_OTHER_INCARNATION)
    {
      /* The incarnation that it was sent to may have run another copy. */
      node_run_reply (node, run,
                      eel_answer_error (0, EEL_ERROR_OUTCOME_UNKNOWN));
      return;
    }
  error = accept_error (accept);
  if (error == EEL_OK)
    error = check_run (node, run);
  if (error != EEL_OK)
    node_run_refuse (node, run, error);
  else if (!run->suspect || !node_suspect_hold (node, run))
    node_execute_offer (node, run);
}

static struct node_run *
find_attempt (const struct eel_node *node,
              const struct eel_key *key,
              uint8_t attempt)
{
  for (uint32_t i = 0; i < node->runs.capacity; i++)
    {
      struct node_run *run = node_table_at (&node->runs, i);

      if (run != NULL && !run->idempotent && run->attempt == attempt
          && eel_key_equal (&run->key, key))
        return run;
    }
  return NULL;
}

/* Handles a seal request: the attempt must not start from now on. */
void
node_execute_seal (struct eel_node *node, const struct eel_wire_message *wire)
{
  struct eel_wire_message *reply = eel_wire_new (EEL_WIRE_SEALED);
  enum eel_executor_state state;
  struct node_run *run;

  if (reply == NULL)
    return;
  state
      = eel_executor_seal (&node->executor, &wire->seal.key, wire->seal.attempt,
                           wire->seal.valid_until_us, node->now_us);
  run = state == EEL_EXECUTOR_SEALED
            ? find_attempt (node, &wire->seal.key, wire->seal.attempt)
            : NULL;
  if (run != NULL && run->state != NODE_RUN_RUNNING)
    node_run_refuse (node, run, EEL_ERROR_DEADLINE);
  reply->seal = wire->seal;
  reply->seal.state = (uint8_t)state;
  node_post_wire (node, wire->from, reply);
}

static void
cancel_run (struct eel_node *node, struct node_run *run)
{
  struct eel_msg msg = { .kind = EEL_MSG_RUN_CANCEL };

  if (run->state == NODE_RUN_RUNNING)
    {
      run->cancelled = 1;
      msg.call_id = run->slot.id;
      node_post (node, node->out.upstream, &msg);
      return;
    }
  eel_admission_remove (&node->admission, run->slot.id);
  node_run_free (node, run);
}

/*
 * Handles the sender's cancellation of a call.  Orders continue, because the
 * decider records their outcome.
 */
void
node_execute_cancel (struct eel_node *node, uint32_t peer, uint64_t call_id)
{
  struct node_run *run = node_table_find (&node->runs, peer, call_id);
  struct node_request *request
      = node_table_find (&node->requests, peer, call_id);

  if (run != NULL && run->idempotent)
    cancel_run (node, run);
  else if (request != NULL && request->role == NODE_ROLE_DECIDER)
    {
      eel_coordinator_caller_disconnected (&node->coordinator,
                                           request->slot.id);
      node_request_drop (node, request);
    }
}
