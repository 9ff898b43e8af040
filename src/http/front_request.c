#include "http/front.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "http/fields.h"

#define KEYS_PATH "/eel/v1/keys"

/* Hands a refusal to the own mailbox, to be answered after the parser ran. */
static void
post_refusal (struct front_conn *conn, uint64_t call_id)
{
  struct eel_front *front = conn->front;
  struct eel_msg msg = { .kind = EEL_MSG_ANSWER, .call_id = call_id };

  front_count_refusal (front, conn->refusal.error);
  msg.answer = front_answer_refusal (front, call_id, &conn->refusal);
  /* On failure the sweep answers the request when its time is over. */
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
    front_refuse (&conn->refusal, EEL_ERROR_NOT_FOUND, 0,
                  "only POST " KEYS_PATH "?count=N is offered here");
  else if (front_parse_key_count (conn->call->target, &msg.value,
                                  &conn->refusal)
           && !eel_mailbox_post (front->node, &msg))
    front_refuse (&conn->refusal, EEL_ERROR_OVERLOADED, 0,
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
      front_refuse (&conn->refusal, EEL_ERROR_BODY_TOO_LARGE, 0,
                    "the body must be at most %d bytes", EEL_BODY_BYTES_MAX);
      return 0;
    }
  evbuffer_drain (body, bytes);
  conn->call->id = call_id;
  msg.call = conn->call;
  conn->call = NULL;
  if (eel_mailbox_post (front->node, &msg))
    return 1;
  front_refuse (&conn->refusal, EEL_ERROR_OVERLOADED, 0,
                "the node's mailbox is full");
  return 0;
}

/* When the node must have answered at the latest. */
static int64_t
expiry (const struct front_conn *conn)
{
  const struct eel_call *call = conn->call;
  int64_t deadline_us = eel_clock_us () + FRONT_TIMEOUT_MS_MAX * EEL_US_PER_MS;

  if (call->given & EEL_GIVEN_DEADLINE)
    deadline_us = call->deadline_us;
  return deadline_us + FRONT_GRACE_US;
}

/*
 * Takes a complete request.  The pause flag keeps evhtp from parsing a
 * pipelined request while the answer is awaited.
 */
void
front_request_complete (evhtp_request_t *request, void *data)
{
  struct front_conn *conn = data;
  struct eel_front *front = conn->front;
  uint64_t call_id;

  conn->state = FRONT_OPEN;
  conn->since_us = eel_clock_us ();
  evhtp_request_pause (request);
  eel_metric_add (front->metrics.requests, 1);
  call_id = front_slot_take (conn);
  eel_metric_set (front->metrics.open, front->open_count);
  if (front->open_count > front->open_max && conn->refusal.error == EEL_OK)
    front_refuse (&conn->refusal, EEL_ERROR_OVERLOADED, 0,
                  "%u requests are open at this node", front->open_max);
  front->slots[conn->slot].expires_us = expiry (conn);
  if (conn->refusal.error != EEL_OK
      || !(eel_http_has_prefix (conn->call->target, "/eel/")
               ? post_keys (conn, call_id)
               : post_call (conn, call_id)))
    post_refusal (conn, call_id);
}

/* The caller has gone before its answer: tells the node. */
void
front_request_gone (struct front_conn *conn)
{
  struct eel_front *front = conn->front;
  struct eel_msg msg = { .kind = EEL_MSG_CANCEL };

  if (!conn->has_slot)
    return;
  msg.call_id = front_slot_id (conn);
  front_slot_release (conn);
  eel_metric_set (front->metrics.open, front->open_count);
  eel_metric_add (front->metrics.cancelled, 1);
  /* A lost cancel costs upstream work until the call's deadline. */
  eel_mailbox_post (front->node, &msg);
}
