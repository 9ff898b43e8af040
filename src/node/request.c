#include "node.h"

#include <string.h>

/* Returns 1 when the answer indicates overload on the call path. */
static int
indicates_overload (const struct eel_answer *answer)
{
  if (answer->outcome == EEL_OUTCOME_NOT_RUN)
    return 1;
  switch (answer->error)
    {
    case EEL_ERROR_OVERLOADED:
    case EEL_ERROR_UPSTREAM_REFUSED:
    case EEL_ERROR_DEADLINE:
    case EEL_ERROR_OUTCOME_UNKNOWN:
    case EEL_ERROR_RETRY_BUDGET:
    case EEL_ERROR_ATTEMPTS_SPENT:
      return 1;
    case EEL_OK:
      return answer->status == 429 || answer->status == 502
             || answer->status == 503 || answer->status == 504;
    default:
      return 0;
    }
}

static void
request_free (struct eel_node *node, struct node_request *request)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      struct node_send *send = node_table_get (&node->sends, request->sends[i]);

      if (send != NULL && send->kind == NODE_SEND_LOOKUP)
        node_send_cancel (node, send);
      else if (send != NULL)
        node_send_finish (node, send, EEL_REPLY_LOST, NULL);
    }
  if (request->has_timer)
    event_del (&request->timer);
  node_nested_return_attempts (node, request);
  eel_call_free (request->call);
  if (request->document != NULL)
    eel_document_unref (request->document);
  node_table_remove (&node->requests, request);
}

static void
issue_next_key (struct eel_node *node,
                const struct node_request *request,
                struct eel_answer *answer)
{
  const struct eel_preset *preset = eel_document_preset (request->document);
  uint8_t spare = (uint8_t)preset->spare_attempts_max;
  struct eel_key key;

  if (eel_decider_issue (&node->coordinator.decider, spare,
                         preset->key_life_ms * EEL_US_PER_MS, node->now_us,
                         &key)
      == EEL_OK)
    eel_key_encode (&key, answer->next_key);
}

/*
 * A caller gets a new key when it sent no valid one or when its request ran.
 * After "not run" only the decider issues one, so that two copies get the same
 * successor.  Nested calls have derived keys instead.
 */
static int
needs_next_key (const struct node_request *request,
                const struct eel_answer *answer)
{
  if (request->idempotent || request->parent != 0)
    return 0;
  return answer->error == EEL_ERROR_KEY_REQUIRED
         || answer->error == EEL_ERROR_KEY_INVALID
         || answer->outcome == EEL_OUTCOME_RAN;
}

static void
answer_peer (struct eel_node *node,
             const struct node_request *request,
             struct eel_answer *answer)
{
  struct eel_wire_message *wire = eel_wire_new (EEL_WIRE_REPLY);

  if (wire == NULL)
    {
      eel_answer_free (answer);
      return;
    }
  node_current_load (node, &answer->load);
  answer->call_id = request->slot.origin_id;
  wire->call_id = request->slot.origin_id;
  wire->answer = answer;
  node_post_wire (node, request->slot.origin, wire);
}

static void
answer_front (struct eel_node *node,
              const struct node_request *request,
              struct eel_answer *answer)
{
  answer->call_id = request->slot.origin_id;
  if (answer->next_key[0] == '\0' && needs_next_key (request, answer))
    issue_next_key (node, request, answer);
  eel_metric_add (node->metrics.answered[answer->outcome], 1);
  eel_metric_observe (node->metrics.latency,
                      node->now_us - request->started_us);
  node_post_answer (node, request->reply_to, answer);
}

/* Sends the answer, taking ownership of it, and frees the request. */
void
node_request_answer (struct eel_node *node,
                     struct node_request *request,
                     struct eel_answer *answer)
{
  if (answer == NULL)
    answer = eel_answer_error (0, EEL_ERROR_INTERNAL);
  if (answer == NULL)
    {
      request_free (node, request);
      return;
    }
  answer->spare = request->ledger.spare;
  answer->revision = request->document->revision.number;
  if (request->throttled)
    eel_throttle_report_outcome (&node->throttle, request->route_hash,
                                 request->klass, indicates_overload (answer),
                                 node->now_us);
  if (request->role == NODE_ROLE_DECIDER)
    answer_peer (node, request, answer);
  else
    answer_front (node, request, answer);
  request_free (node, request);
}

void
node_request_fail (struct eel_node *node,
                   struct node_request *request,
                   enum eel_error kind)
{
  node_request_answer (node, request, eel_answer_error (0, kind));
}

/* Frees a request without an answer after its caller has disconnected. */
void
node_request_drop (struct eel_node *node, struct node_request *request)
{
  if (request->throttled)
    eel_throttle_report_outcome (&node->throttle, request->route_hash,
                                 request->klass, 0, node->now_us);
  request_free (node, request);
}

/* Fails a request at its deadline, as unknown if an attempt is outstanding. */
static void
handle_deadline (struct eel_node *node, struct node_request *request)
{
  enum eel_error kind = EEL_ERROR_DEADLINE;

  for (uint32_t i = 0; i < 2; i++)
    {
      struct node_send *send = node_table_get (&node->sends, request->sends[i]);

      if (send == NULL)
        continue;
      kind = EEL_ERROR_OUTCOME_UNKNOWN;
      if (send->kind == NODE_SEND_LOOKUP)
        node_send_finish (node, send, EEL_REPLY_TIMED_OUT, NULL);
    }
  node_request_fail (node, request, kind);
}

/* Handles the request's timer: deadline, hedge or retry of forwarding. */
void
node_request_handle_timer (struct eel_node *node, struct node_request *request)
{
  node->now_us = eel_clock_us ();
  if (node->now_us >= request->deadline_us)
    handle_deadline (node, request);
  else if (request->idempotent)
    node_lookup_hedge (node, request);
  else if (request->sends[0] == 0)
    node_order_forward (node, request);
  else
    /* The event loop's coarser clock fired the timer early. */
    node_request_set_timer (node, request, request->deadline_us);
}

static void
timer_fired (evutil_socket_t fd, short what, void *data)
{
  struct node_request *request = data;

  (void)fd;
  (void)what;
  node_request_handle_timer (request->node, request);
}

/* Sets the request's timer to a time of eel_clock_us. */
void
node_request_set_timer (struct eel_node *node,
                        struct node_request *request,
                        int64_t due_us)
{
  int64_t wait_us = due_us > node->now_us ? due_us - node->now_us : 0;
  struct timeval wait;

  if (!request->has_timer)
    {
      request->node = node;
      evtimer_assign (&request->timer, node->base, timer_fired, request);
      request->has_timer = 1;
    }
  wait.tv_sec = (time_t)(wait_us / EEL_US_PER_S);
  wait.tv_usec = (suseconds_t)(wait_us % EEL_US_PER_S);
  evtimer_add (&request->timer, &wait);
}
