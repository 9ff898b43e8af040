#include "http/front.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "http/fields.h"

static void
clear_request (struct front_conn *conn)
{
  eel_headers_finish (&conn->raw_headers);
  eel_call_free (conn->call);
  conn->call = NULL;
  conn->scanned_bytes = 0;
  conn->is_head = 0;
  memset (&conn->refusal, 0, sizeof conn->refusal);
}

static evhtp_res
on_headers (evhtp_request_t *request, evhtp_headers_t *headers, void *data)
{
  (void)headers;
  /* evhtp's own callbacks are set per listener; this one needs conn. */
  request->cb = front_request_complete;
  request->cbarg = data;
  return EVHTP_RES_OK;
}

/* Limits a chunked body, whose length is not known in advance. */
static evhtp_res
on_read (evhtp_request_t *request, struct evbuffer *buffer, void *data)
{
  struct front_conn *conn = data;

  if (evbuffer_get_length (request->buffer_in) + evbuffer_get_length (buffer)
      <= EEL_BODY_BYTES_MAX)
    return EVHTP_RES_OK;
  front_refusal_set (&conn->refusal, EEL_ERROR_BODY_TOO_LARGE, 1,
                     "the body must be at most %d bytes", EEL_BODY_BYTES_MAX);
  return EVHTP_RES_BADREQ;
}

/*
 * Resets the connection when evhtp has finished its request.  A pipelined
 * request may already be in the input buffer, for which no read event follows,
 * so the read callback is triggered from the loop.
 */
static evhtp_res
on_request_fini (evhtp_request_t *request, void *data)
{
  struct front_conn *conn = data;

  (void)request;
  clear_request (conn);
  if (conn->state != FRONT_WRITING)
    return EVHTP_RES_OK;
  conn->state = FRONT_IDLE;
  conn->state_since_us = eel_clock_us ();
  if (conn->evhtp->bev != NULL)
    bufferevent_trigger (conn->evhtp->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  return EVHTP_RES_OK;
}

static void
unlink_conn (struct front_conn *conn)
{
  struct eel_front *front = conn->front;

  if (conn->next != NULL)
    conn->next->previous = conn->previous;
  if (conn->previous != NULL)
    conn->previous->next = conn->next;
  else
    front->conns = conn->next;
  front->conn_count--;
  eel_metric_set (front->metrics.connections, front->conn_count);
}

/*
 * Refuses a connection that evhtp is about to free.  The bufferevent is
 * detached from evhtp first, so that it stays open until the refusal is
 * flushed.
 */
static void
refuse_and_linger (struct eel_front *front,
                   evhtp_connection_t *evhtp,
                   const struct front_refusal *refusal)
{
  struct bufferevent *bev = evhtp->bev;

  evhtp_connection_set_bev (evhtp, NULL);
  front_linger_start (front, bev, refusal);
}

/* Called before evhtp frees a connection, whatever the reason. */
static evhtp_res
on_conn_fini (evhtp_connection_t *evhtp, void *data)
{
  struct front_conn *conn = data;

  /* evhtp frees the request after this hook, when conn is no longer valid. */
  evhtp_connection_unset_hook (evhtp, evhtp_hook_on_request_fini);
  front_request_cancel (conn);
  conn->front->freed_count++;
  /*
   * The front has checked the head, so evhtp's parser can only have rejected a
   * chunk.
   */
  if (conn->state == FRONT_READING && conn->refusal.error == EEL_OK
      && htparser_get_error (evhtp->parser) != htparse_error_none)
    front_refusal_set (&conn->refusal, EEL_ERROR_BAD_REQUEST, 1,
                       FRONT_CHUNK_MALFORMED);
  if (conn->state == FRONT_READING && conn->refusal.close)
    refuse_and_linger (conn->front, evhtp, &conn->refusal);
  clear_request (conn);
  unlink_conn (conn);
  free (conn);
  return EVHTP_RES_OK;
}

static void
set_hooks (evhtp_connection_t *evhtp, struct front_conn *conn)
{
  static const struct
  {
    evhtp_hook_type type;
    evhtp_hook hook;
  } hooks[] = {
    { evhtp_hook_on_headers, (evhtp_hook)on_headers },
    { evhtp_hook_on_read, (evhtp_hook)on_read },
    { evhtp_hook_on_request_fini, (evhtp_hook)on_request_fini },
    { evhtp_hook_on_connection_fini, (evhtp_hook)on_conn_fini },
  };

  for (size_t i = 0; i < sizeof hooks / sizeof *hooks; i++)
    evhtp_connection_set_hook (evhtp, hooks[i].type, hooks[i].hook, conn);
}

/* Registers an accepted connection, or refuses it at the connection limit. */
evhtp_res
front_conn_on_accept (evhtp_connection_t *evhtp, void *data)
{
  struct eel_front *front = data;
  struct front_conn *conn = NULL;
  int on = 1;

  setsockopt (evhtp->sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (front->conn_count < front->conn_max)
    conn = calloc (1, sizeof *conn);
  if (conn == NULL)
    {
      struct front_refusal refusal;

      front_refusal_set (&refusal, EEL_ERROR_OVERLOADED, 1,
                         "%u connections are open at this node",
                         front->conn_max);
      refuse_and_linger (front, evhtp, &refusal);
      return EVHTP_RES_ERROR;
    }
  conn->front = front;
  conn->evhtp = evhtp;
  conn->state_since_us = eel_clock_us ();
  conn->next = front->conns;
  if (front->conns != NULL)
    front->conns->previous = conn;
  front->conns = conn;
  front->conn_count++;
  eel_metric_add (front->metrics.accepted, 1);
  eel_metric_set (front->metrics.connections, front->conn_count);
  /* Limits the input buffered while a request is open to one more request. */
  bufferevent_setwatermark (evhtp->bev, EV_READ, 0, EEL_BODY_BYTES_MAX);
  set_hooks (evhtp, conn);
  front_read_attach (conn);
  return EVHTP_RES_OK;
}

/* Closes a connection after sending the refusal of the request being read. */
void
front_conn_refuse (struct front_conn *conn)
{
  conn->state = FRONT_READING;
  evhtp_connection_free (conn->evhtp);
}

/* Returns 1 when a connection has exceeded the time limit of its state. */
static int
is_stale (const struct front_conn *conn, int64_t now_us)
{
  int64_t age_us = now_us - conn->state_since_us;

  switch (conn->state)
    {
    case FRONT_IDLE:
      return age_us > (conn->front->draining ? FRONT_DRAIN_IDLE_TIMEOUT_US
                                             : FRONT_IDLE_TIMEOUT_US);
    case FRONT_READING:
    case FRONT_WRITING:
      return age_us > FRONT_READ_TIMEOUT_US;
    case FRONT_AWAITING_ANSWER:
      return 0;
    }
  return 0;
}

static void
expire_request (struct front_conn *conn)
{
  struct eel_front *front = conn->front;
  struct eel_answer *answer
      = eel_answer_error (front_slot_call_id (conn), EEL_ERROR_OUTCOME_UNKNOWN);

  eel_metric_add (front->metrics.expired, 1);
  front_request_cancel (conn);
  if (answer != NULL)
    {
      answer->revision = front->revision;
      front_answer_write (conn, answer);
    }
  eel_answer_free (answer);
}

/*
 * Closes stale connections and answers requests that the node has not answered
 * in time.
 */
void
front_conn_sweep (struct eel_front *front, int64_t now_us)
{
  struct front_conn *next;

  for (struct front_conn *conn = front->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      if (conn->has_slot && front->slots[conn->slot].expires_us <= now_us)
        expire_request (conn);
      else if (is_stale (conn, now_us))
        evhtp_connection_free (conn->evhtp);
    }
}

void
front_conn_close_all (struct eel_front *front)
{
  while (front->conns != NULL)
    evhtp_connection_free (front->conns->evhtp);
}
