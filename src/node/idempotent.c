#include "node.h"

#include <string.h>

/*
 * Endpoints tried before a reroute from an unavailable one uses up a spare
 * attempt.  Bounds the sends per call while the whole service is down.
 */
#define FREE_REROUTES_MAX 4

static int
has_outstanding (const struct node_request *request)
{
  return request->sends[0] != 0 || request->sends[1] != 0;
}

static void
mark_tried (struct node_request *request, uint32_t target)
{
  if (request->tried_count < NODE_TRIED_MAX)
    request->tried[request->tried_count++] = target;
}

static enum eel_error
send_attempt (struct eel_node *node,
              struct node_request *request,
              uint32_t send_index)
{
  struct eel_endpoint *endpoint = eel_routing_pick (
      &request->service->routing, request->klass, request->tried,
      request->tried_count, node->now_us, &node->rng);
  struct node_send *send;
  uint8_t lent;

  if (endpoint == NULL)
    return EEL_ERROR_NO_ENDPOINT;
  send = node_send_new (node, NODE_SEND_LOOKUP, request->service,
                        endpoint->node, request->slot.id);
  if (send == NULL)
    return EEL_ERROR_TABLE_FULL;
  lent = eel_ledger_lend (&request->ledger);
  send->owner = request->slot.id;
  send->lent = lent;
  mark_tried (request, endpoint->node);
  if (!node_send_post (node, send, request->call, endpoint->incarnation, 0))
    {
      node_table_remove (&node->sends, send);
      eel_ledger_return (&request->ledger, lent, lent);
      return EEL_ERROR_OVERLOADED;
    }
  request->sends[send_index] = send->slot.id;
  return EEL_OK;
}

static void
set_timer (struct eel_node *node, struct node_request *request)
{
  int64_t due_us = request->deadline_us;
  int64_t hedge_us;

  if (request->klass == EEL_CLASS_LOOKUP && request->ledger.spare > 0
      && !request->hedged)
    {
      hedge_us = eel_routing_hedge_delay_us (&request->service->routing);
      if (hedge_us >= 0 && node->now_us + hedge_us < due_us)
        due_us = node->now_us + hedge_us;
    }
  node_request_set_timer (node, request, due_us);
}

/* Sends an idempotent request to an executor chosen by routing. */
void
node_lookup_start (struct eel_node *node, struct node_request *request)
{
  enum eel_error error = send_attempt (node, request, 0);

  if (error != EEL_OK)
    node_request_fail (node, request, error);
  else
    set_timer (node, request);
}

/*
 * Sends a second attempt when the first is slow, if a spare attempt is left and
 * no hedge was sent before.
 */
void
node_lookup_hedge (struct eel_node *node, struct node_request *request)
{
  uint32_t send_index = request->sends[0] == 0 ? 0 : 1;

  node_request_set_timer (node, request, request->deadline_us);
  if (request->hedged || request->sends[send_index] != 0
      || !eel_ledger_take (&request->ledger))
    return;
  request->hedged = 1;
  if (send_attempt (node, request, send_index) != EEL_OK)
    {
      /* Nothing was sent, so the spare attempt is returned. */
      request->ledger.spare++;
      return;
    }
  eel_routing_hedged (&request->service->routing);
  eel_metric_add (node->metrics.hedges, 1);
}

/*
 * Overload refusals are retried only for root calls, not for nested ones, so
 * that retries do not multiply along the call graph.
 */
static int
may_retry (const struct node_request *request, enum eel_error error)
{
  switch (error)
    {
    case EEL_ERROR_OVERLOADED:
    case EEL_ERROR_UPSTREAM_REFUSED:
      return request->parent == 0;
    case EEL_ERROR_LEAVING:
    case EEL_ERROR_NO_ENDPOINT:
    case EEL_ERROR_UPSTREAM_FAILED:
    case EEL_ERROR_TABLE_FULL:
    case EEL_ERROR_INTERNAL:
      return 1;
    default:
      return 0;
    }
}

/*
 * An endpoint that is leaving or unreachable ran nothing, so rerouting from it
 * uses up no spare attempt.
 */
static int
is_free_reroute (const struct node_request *request, enum eel_error error)
{
  return (error == EEL_ERROR_LEAVING || error == EEL_ERROR_NO_ENDPOINT)
         && request->tried_count < FREE_REROUTES_MAX;
}

static enum eel_error
reserve_retry (struct eel_node *node,
               struct node_request *request,
               enum eel_error error)
{
  if (!may_retry (request, error) || node->now_us >= request->deadline_us)
    return error;
  if (is_free_reroute (request, error))
    return EEL_OK;
  if (request->ledger.spare == 0)
    return error;
  if (!eel_retry_budget_take (&request->service->budget, node->now_us))
    return error;
  eel_ledger_take (&request->ledger);
  return EEL_OK;
}

static void
mark_suspect (struct node_request *request)
{
  if (request->suspect)
    return;
  request->suspect = 1;
  eel_headers_add (&request->call->headers, NODE_SUSPECT_HEADER, "1");
}

static void
retry (struct eel_node *node,
       struct node_request *request,
       struct eel_answer *answer)
{
  enum eel_error error;

  if (answer->error == EEL_ERROR_UPSTREAM_FAILED)
    mark_suspect (request);
  eel_metric_add (node->metrics.retries, 1);
  error = send_attempt (node, request, 0);
  if (error == EEL_OK)
    {
      eel_answer_free (answer);
      set_timer (node, request);
      return;
    }
  /* The first failure is more informative than EEL_ERROR_NO_ENDPOINT. */
  node_request_answer (node, request, answer);
}

/*
 * Handles the second upstream crash of a suspect, which was the only suspect in
 * flight there.  Its fingerprint is quarantined here at once: the executor's
 * entry arrives later by gossip, and another attempt would crash a third
 * upstream.
 */
static void
handle_second_crash (struct eel_node *node,
                     struct node_request *request,
                     struct eel_answer *answer)
{
  if (eel_quarantine_merge_refused (&node->quarantine,
                                    request->call->fingerprint,
                                    node->quarantine.life_us, node->now_us))
    node_gossip_disseminate (node);
  node_request_answer (node, request, answer);
}

/*
 * Handles the end of an attempt and takes ownership of its answer.  The first
 * successful answer wins; after a failure the request waits for its other
 * attempt, or is retried.
 */
void
node_lookup_replied (struct eel_node *node,
                     struct node_request *request,
                     uint32_t target,
                     struct eel_answer *answer)
{
  (void)target;
  if (answer == NULL)
    {
      node_request_fail (node, request, EEL_ERROR_INTERNAL);
      return;
    }
  if (answer->error == EEL_OK)
    {
      eel_retry_budget_success (&request->service->budget);
      node_request_answer (node, request, answer);
      return;
    }
  if (has_outstanding (request))
    {
      eel_answer_free (answer);
      return;
    }
  if (answer->error == EEL_ERROR_UPSTREAM_FAILED && request->suspect)
    handle_second_crash (node, request, answer);
  else if (reserve_retry (node, request, answer->error) == EEL_OK)
    retry (node, request, answer);
  else
    node_request_answer (node, request, answer);
}
