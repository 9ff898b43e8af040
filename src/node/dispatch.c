#include "node.h"

#include <string.h>

#include "internal/hash.h"

/* Hash under which an order and its sends are indexed. */
uint64_t
node_key_hash (const struct eel_key *key)
{
  return eel_hash64 (key->child, sizeof key->child,
                     key->serial ^ key->incarnation);
}

/* Returns the open order of a key, or NULL. */
struct node_order *
node_order_find (const struct eel_node *node, const struct eel_key *key)
{
  struct node_order *order
      = node_table_find (&node->orders, key->issuer, node_key_hash (key));

  while (order != NULL && !eel_key_equal (&order->key, key))
    order = node_table_find_next (&node->orders, order);
  return order;
}

/*
 * Returns the order of a key.  If there is none, or it was freed since the last
 * attempt, adds one that takes the call of the request.  Returns NULL when the
 * table is full or the request has no call of this key.
 */
struct node_order *
node_order_store (struct eel_node *node,
                  const struct eel_key *key,
                  struct node_request *request)
{
  struct node_order *order = node_order_find (node, key);

  if (order != NULL || request == NULL || request->call == NULL
      || !eel_key_equal (&request->call->key, key))
    return order;
  order = node_table_add (&node->orders, key->issuer, node_key_hash (key));
  if (order == NULL)
    {
      eel_metric_add (node->metrics.table_full, 1);
      return NULL;
    }
  order->key = *key;
  order->call = request->call;
  request->call = NULL;
  order->service = node_service_get (node, order->call->service);
  return order;
}

/* Frees an order unless its decider record may still dispatch an attempt. */
void
node_order_free_if_done (struct eel_node *node, struct node_order *order)
{
  const struct eel_decider_record *record
      = eel_decider_find (&node->coordinator.decider, &order->key);

  if (record != NULL && record->pending != UINT32_MAX
      && (record->state == EEL_DECIDER_OPEN
          || record->state == EEL_DECIDER_DISPATCHED))
    return;
  eel_call_free (order->call);
  node_table_remove (&node->orders, order);
}

static void
report_not_dispatched (struct eel_node *node,
                       const struct eel_action *action,
                       enum eel_error error)
{
  struct eel_action actions[EEL_ACTIONS_MAX];
  size_t count = eel_coordinator_not_dispatched (&node->coordinator,
                                                 &action->key, action->attempt,
                                                 error, node->now_us, actions);
  struct node_order *order;

  node_order_apply_actions (node, actions, count, NULL);
  order = node_order_find (node, &action->key);
  if (order != NULL)
    node_order_free_if_done (node, order);
}

static enum eel_error
choose_executor (struct eel_node *node,
                 struct node_order *order,
                 struct eel_endpoint **endpoint)
{
  if (order->service == NULL)
    return EEL_ERROR_SERVICE_UNKNOWN;
  if (order->dispatches > 0 && !order->rerouted
      && !eel_retry_budget_take (&order->service->budget, node->now_us))
    return EEL_ERROR_RETRY_BUDGET;
  *endpoint = eel_routing_pick (&order->service->routing, order->call->klass,
                                order->tried, order->tried_count, node->now_us,
                                &node->rng);
  if (*endpoint == NULL || !node_peer_is_usable (node, (*endpoint)->node))
    return EEL_ERROR_NO_ENDPOINT;
  return EEL_OK;
}

static enum eel_error
dispatch (struct eel_node *node,
          struct node_order *order,
          const struct eel_action *action,
          const struct eel_endpoint *endpoint)
{
  struct node_send *send
      = node_send_new (node, NODE_SEND_ORDER, order->service, endpoint->node,
                       node_key_hash (&action->key));
  int64_t valid_until_us;
  enum eel_error error;

  if (send == NULL)
    return EEL_ERROR_TABLE_FULL;
  send->key = action->key;
  send->attempt = action->attempt;
  send->lent = action->spare;
  error = eel_coordinator_dispatched (&node->coordinator, &action->key,
                                      action->attempt, endpoint->node,
                                      endpoint->incarnation, node->now_us);
  if (error == EEL_OK)
    {
      order->dispatches++;
      if (order->tried_count < NODE_TRIED_MAX)
        order->tried[order->tried_count++] = endpoint->node;
      order->call->deadline_us = action->deadline_us;
      valid_until_us = node_peer_to_remote_clock (node, endpoint->node,
                                                  action->deadline_us);
      eel_coordinator_set_valid_until (&node->coordinator, &action->key,
                                       action->attempt, valid_until_us);
      if (node_send_post (node, send, order->call, endpoint->incarnation,
                          valid_until_us))
        return EEL_OK;
      error = EEL_ERROR_OVERLOADED;
    }
  node_table_remove (&node->sends, send);
  return error;
}

/*
 * Carries out an execute action.  The dispatch is recorded before the message
 * is sent.
 */
void
node_order_execute (struct eel_node *node,
                    const struct eel_action *action,
                    struct node_request *request)
{
  struct node_order *order = node_order_store (node, &action->key, request);
  struct eel_endpoint *endpoint = NULL;
  enum eel_error error;

  if (order == NULL)
    {
      report_not_dispatched (node, action, EEL_ERROR_TABLE_FULL);
      return;
    }
  error = choose_executor (node, order, &endpoint);
  if (error == EEL_OK)
    error = dispatch (node, order, action, endpoint);
  if (error != EEL_OK)
    report_not_dispatched (node, action, error);
}

/* Carries out a seal action; a lost message is covered by the seal timeout. */
void
node_order_seal (struct eel_node *node, const struct eel_action *action)
{
  struct eel_wire_message *wire = eel_wire_new (EEL_WIRE_SEAL);

  if (wire == NULL)
    return;
  wire->seal.key = action->key;
  wire->seal.attempt = action->attempt;
  wire->seal.valid_until_us = action->valid_until_us;
  wire->to_incarnation = action->executor_incarnation;
  node_post_wire (node, action->executor, wire);
}
