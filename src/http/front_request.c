#include "http/front.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "http/fields.h"

#define KEYS_PATH "/eel/v1/keys"

/*
 * Posts a refusal to the front's own mailbox, so that it is sent after evhtp's
 * parser has returned.
 */
static void
post_refusal (struct front_conn *conn, uint64_t call_id)
{
  struct eel_front *front = conn->front;
  struct eel_msg msg = { .kind = EEL_MSG_ANSWER, .call_id = call_id };

  front_count_refusal (front, conn->refusal.error);
  msg.answer = front_answer_refusal (front, call_id, &conn->refusal);
  /* If the mailbox is full, the sweep answers the request when it expires. */
  eel_mailbox_post (&front->inbox, &msg);
}

static int
post_keys (struct front_conn *conn, uint64_t call_id)
{
  struct eel_front *front = conn->front;
  struct eel_msg msg
      = { .kind = EEL_MSG_KEYS, .call_id = call_id, .reply_to = &front->inbox };

  if (strcmp (conn->call->method, "POST") != 0
      || strcspn (conn->call->target, "?") != strlen (KEYS_PATH)
      || strncmp (conn->call->target, KEYS_PATH, strlen (KEYS_PATH)) != 0)
    front_refusal_set (&conn->refusal, EEL_ERROR_NOT_FOUND, 0,
                       "only POST " KEYS_PATH "?count=N is offered here");
  else if (front_parse_key_count (conn->call->target, &msg.value,
                                  &conn->refusal)
           && !eel_mailbox_post (front->node, &msg))
    front_refusal_set (&conn->refusal, EEL_ERROR_OVERLOADED, 0,
                       "the node's mailbox is full");
  return conn->refusal.error == EEL_OK;
}

static int
post_call (struct front_conn *conn, uint64_t call_id)
{
  struct eel_front *front = conn->front;
  struct evbuffer *body = conn->evhtp->request->buffer_in;
  struct eel_msg msg
      = { .kind = EEL_MSG_CALL, .call_id = call_id, .reply_to = &front->inbox };
  size_t bytes = evbuffer_get_length (body);

  if (eel_body_set (&conn->call->body, evbuffer_pullup (body, -1), bytes)
      != EEL_OK)
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_BODY_TOO_LARGE, 0,
                         "the body must be at most %d bytes",
                         EEL_BODY_BYTES_MAX);
      return 0;
    }
  evbuffer_drain (body, bytes);
  conn->call->id = call_id;
  msg.call = conn->call;
  conn->call = NULL;
  if (eel_mailbox_post (front->node, &msg))
    return 1;
  front_refusal_set (&conn->refusal, EEL_ERROR_OVERLOADED, 0,
                     "the node's mailbox is full");
  return 0;
}

/* Returns the time by which the node must have answered. */
static int64_t
answer_due_us (const struct front_conn *conn)
{
  const struct eel_call *call = conn->call;
  int64_t deadline_us = eel_clock_us () + FRONT_TIMEOUT_MS_MAX * EEL_US_PER_MS;

  if (call->given & EEL_GIVEN_DEADLINE)
    deadline_us = call->deadline_us;
  return deadline_us + FRONT_ANSWER_GRACE_US;
}

/*
 * Posts a complete request to the node.  The pause flag keeps evhtp from
 * parsing a pipelined request while this one is open.
 */
void
front_request_complete (evhtp_request_t *request, void *data)
{
  struct front_conn *conn = data;
  struct eel_front *front = conn->front;
  uint64_t call_id;

  conn->state = FRONT_AWAITING_ANSWER;
  conn->state_since_us = eel_clock_us ();
  evhtp_request_pause (request);
  eel_metric_add (front->metrics.requests, 1);
  call_id = front_slot_acquire (conn);
  eel_metric_set (front->metrics.open, front->open_count);
  if (front->open_count > front->open_max && conn->refusal.error == EEL_OK)
    front_refusal_set (&conn->refusal, EEL_ERROR_OVERLOADED, 0,
                       "%u requests are open at this node", front->open_max);
  front->slots[conn->slot].expires_us = answer_due_us (conn);
  if (conn->refusal.error != EEL_OK
      || !(eel_http_has_prefix (conn->call->target, "/eel/")
               ? post_keys (conn, call_id)
               : post_call (conn, call_id)))
    post_refusal (conn, call_id);
}

/*
 * Releases the slot of a request that the caller or the front gave up, and
 * cancels its call at the node.  Does nothing without an open request.
 */
void
front_request_cancel (struct front_conn *conn)
{
  struct eel_front *front = conn->front;
  struct eel_msg msg = { .kind = EEL_MSG_CANCEL };

  if (!conn->has_slot)
    return;
  msg.call_id = front_slot_call_id (conn);
  front_slot_release (conn);
  eel_metric_set (front->metrics.open, front->open_count);
  eel_metric_add (front->metrics.cancelled, 1);
  /*
   * If the mailbox is full, the upstream may run the call until its deadline.
   */
  eel_mailbox_post (front->node, &msg);
}
