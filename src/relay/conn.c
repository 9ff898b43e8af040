#include "relay/conn.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "eelgrasslatch/types.h"
#include "internal/task.h"

/* Requests of one connection that are open at the same time. */
#define PIPELINE_MAX 16
#define READ_BYTES_MAX 65536

/* The connection must be closed. */
void
eel_conn_free (struct eel_conn *conn)
{
  eel_reader_finish (&conn->reader);
  free (conn);
}

/* Releases all exchanges; reports those without a complete answer as
   disconnected, which may answer others of this connection: the list is
   detached first. */
static void
release_exchanges (struct eel_conn *conn)
{
  struct eel_exchange *exchange = conn->first;

  conn->first = NULL;
  conn->last = NULL;
  conn->reading = NULL;
  conn->count = 0;
  while (exchange != NULL)
    {
      struct eel_exchange *next;

      if (exchange->state != NULL)
        conn->server->ops->disconnected (exchange);
      next = exchange->next;
      eel_exchange_release (exchange);
      exchange = next;
    }
}

/* Closes the socket; the struct is freed by the next sweep, since its reader
   may be on the stack. */
void
eel_conn_close (struct eel_conn *conn)
{
  struct eel_server *server = conn->server;

  if (conn->is_closed)
    return;
  conn->is_closed = 1;
  conn->reader.stopped = 1;
  release_exchanges (conn);
  if (conn->previous != NULL)
    conn->previous->next = conn->next;
  else
    server->conns = conn->next;
  if (conn->next != NULL)
    conn->next->previous = conn->previous;
  server->conn_count--;
  bufferevent_free (conn->bev);
  conn->bev = NULL;
  conn->next = server->closed;
  server->closed = conn;
}

/*
 * Shuts the write side down after the last answer and waits for the peer to
 * close: close() with unread input would reset the connection, and the peer
 * could lose the answer.
 */
static void
linger (struct eel_conn *conn)
{
  if (conn->lingering)
    return;
  conn->lingering = 1;
  conn->phase_start_us = eel_clock_us ();
  shutdown (bufferevent_getfd (conn->bev), SHUT_WR);
}

/* Removes and frees the first exchange. */
static void
pop_first (struct eel_conn *conn)
{
  struct eel_exchange *exchange = conn->first;

  conn->first = exchange->next;
  if (conn->first == NULL)
    conn->last = NULL;
  if (conn->reading == exchange)
    conn->reading = NULL;
  conn->count--;
  conn->phase_start_us = eel_clock_us ();
  if (exchange->deadline_us > conn->answer_deadline_us)
    conn->answer_deadline_us = exchange->deadline_us;
  eel_exchange_free (exchange);
}

/*
 * Moves answers to the connection's output, in order.  An exchange is removed
 * once its answer and its request are complete.  After an answer with
 * Connection: close no further request is read.
 */
void
eel_conn_flush (struct eel_conn *conn)
{
  if (conn->is_closed)
    return;
  while (conn->first != NULL && !conn->closing)
    {
      struct eel_exchange *exchange = conn->first;

      if (evbuffer_get_length (exchange->out) > 0)
        evbuffer_add_buffer (bufferevent_get_output (conn->bev), exchange->out);
      if (!exchange->answer_done)
        return;
      /* The rest of the request is read first: closing with unread input would
         reset the connection. */
      if (!exchange->request_done && !conn->discard_input)
        return;
      conn->closing = exchange->close_after;
      pop_first (conn);
    }
  if (conn->closing)
    {
      conn->discard_input = 1;
      release_exchanges (conn);
    }
  if (!conn->feeding)
    eel_conn_feed (conn);
}

/* Stops reading after invalid input.  Answers the request being read with the
   error unless it has its answer; closes the connection at once when the
   request is being processed. */
static void
refuse (struct eel_conn *conn, enum eel_error error)
{
  const struct eel_error_info *info = eel_error_info (error);
  struct eel_exchange *exchange = conn->reading;

  conn->discard_input = 1;
  if (exchange != NULL && exchange->answer_done)
    {
      exchange->close_after = 1;
      eel_conn_flush (conn);
      return;
    }
  if (exchange != NULL && (exchange->answer_started || exchange->state != NULL))
    {
      eel_conn_close (conn);
      return;
    }
  if (exchange == NULL)
    exchange = eel_exchange_new (conn, &conn->reader.head);
  if (exchange == NULL)
    {
      eel_conn_close (conn);
      return;
    }
  exchange->close_after = 1;
  exchange->request_done = 1;
  eel_exchange_answer (exchange, info->http_status, NULL, EEL_FRAMING_LENGTH,
                       0);
  eel_exchange_end (exchange);
}

static void
reject_large_body (struct eel_conn *conn)
{
  conn->reader.stopped = 1;
  conn->reader.error = EEL_ERROR_BODY_TOO_LARGE;
}

/* True for exactly one Host field, with a value (RFC 9112, section 3.2).  A
   field without a value counts as two. */
static int
host_is_valid (const struct eel_head *head)
{
  uint32_t hosts = 0;

  for (uint32_t i = 0; i < head->count; i++)
    if (strcasecmp (head->text + head->fields[i].name, "host") == 0)
      hosts += head->text[head->fields[i].value] != 0 ? 1 : 2;
  return hosts == 1;
}

static int
request_head (void *owner, struct eel_head *head)
{
  struct eel_conn *conn = owner;
  int expects = eel_head_get (head, "expect") != NULL;

  if (!host_is_valid (head))
    {
      conn->reader.stopped = 1;
      conn->reader.error = EEL_ERROR_BAD_REQUEST;
      return 0;
    }
  if (head->framing == EEL_FRAMING_LENGTH
      && head->length_bytes > conn->server->limits.max_body_bytes)
    {
      reject_large_body (conn);
      return 0;
    }
  conn->reading = eel_exchange_new (conn, head);
  if (conn->reading == NULL)
    {
      conn->reader.stopped = 1;
      conn->reader.error = EEL_ERROR_INTERNAL;
      return 0;
    }
  if (expects && conn->first == conn->reading)
    evbuffer_add_printf (conn->reading->out, "HTTP/1.1 100 Continue\r\n\r\n");
  conn->server->ops->request (conn->reading);
  return 0;
}

static void
request_body (void *owner, const char *data, size_t bytes)
{
  struct eel_conn *conn = owner;
  struct eel_exchange *exchange = conn->reading;

  if (exchange == NULL)
    return;
  exchange->body_bytes += bytes;
  if (exchange->body_bytes > conn->server->limits.max_body_bytes)
    reject_large_body (conn);
  else if (exchange->state != NULL)
    conn->server->ops->body (exchange, data, bytes);
}

static void
request_end (void *owner)
{
  struct eel_conn *conn = owner;
  struct eel_exchange *exchange = conn->reading;

  eel_reader_next (&conn->reader);
  /* Reading may have been paused for it, with its end already read. */
  if (exchange != NULL)
    eel_exchange_pause (exchange, 0);
  conn->reading = NULL;
  if (exchange == NULL)
    return;
  exchange->request_done = 1;
  if (!exchange->request.keep_alive)
    conn->discard_input = 1;
  if (exchange->state != NULL)
    conn->server->ops->body_end (exchange);
  else
    eel_conn_flush (conn);
}

static const struct eel_reader_ops reader_ops
    = { .head = request_head, .body = request_body, .end = request_end };

/* Parses one piece of input; returns 0 when reading has to stop. */
static int
feed_piece (struct eel_conn *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);
  struct evbuffer_iovec chunk;
  long consumed;

  if (conn->discard_input)
    {
      evbuffer_drain (input, evbuffer_get_length (input));
      return 0;
    }
  if (conn->reading == NULL && conn->count >= PIPELINE_MAX)
    return 0;
  if (!conn->reader.started)
    conn->phase_start_us = eel_clock_us ();
  evbuffer_peek (input, -1, NULL, &chunk, 1);
  consumed = eel_reader_feed (&conn->reader, chunk.iov_base, chunk.iov_len);
  if (conn->is_closed)
    return 0;
  if (consumed < 0)
    {
      refuse (conn, conn->reader.error == EEL_OK ? EEL_ERROR_BAD_REQUEST
                                                 : conn->reader.error);
      return 0;
    }
  evbuffer_drain (input, (size_t)consumed);
  return 1;
}

/* Parses buffered input until PIPELINE_MAX requests are open. */
void
eel_conn_feed (struct eel_conn *conn)
{
  if (conn->is_closed || conn->feeding)
    return;
  conn->feeding = 1;
  while (!conn->is_closed
         && evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    if (!feed_piece (conn))
      break;
  conn->feeding = 0;
  if (!conn->is_closed && conn->closing
      && evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0)
    linger (conn);
}

static void
on_read (struct bufferevent *bev, void *data)
{
  struct eel_conn *conn = data;

  (void)bev;
  conn->last_read_us = eel_clock_us ();
  eel_conn_feed (conn);
}

static void
on_write (struct bufferevent *bev, void *data)
{
  struct eel_conn *conn = data;

  (void)bev;
  /* An idle phase begins with the end of the last answer. */
  if (conn->count == 0 && !conn->lingering)
    conn->phase_start_us = eel_clock_us ();
  if (conn->closing)
    linger (conn);
  else if (conn->first != NULL && conn->first->state != NULL)
    conn->server->ops->drained (conn->first);
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  int error = EVUTIL_SOCKET_ERROR ();

  (void)bev;
  eel_conn_lost (data, (what & BEV_EVENT_EOF) != 0 ? 0 : error);
}

/* Takes ownership of an accepted socket.  Returns NULL when out of memory; the
   socket is then closed. */
struct eel_conn *
eel_conn_open (struct eel_server *server, int fd)
{
  struct eel_conn *conn = calloc (1, sizeof *conn);

  if (conn != NULL)
    conn->bev
        = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  if (conn == NULL || conn->bev == NULL)
    {
      evutil_closesocket (fd);
      free (conn);
      return NULL;
    }
  eel_socket_set_nodelay (fd);
  eel_socket_set_keepalive (fd);
  conn->server = server;
  conn->phase_start_us = eel_clock_us ();
  eel_reader_init (&conn->reader, HTTP_REQUEST, &reader_ops, conn,
                   server->limits.max_head_bytes);
  conn->next = server->conns;
  if (conn->next != NULL)
    conn->next->previous = conn;
  server->conns = conn;
  server->conn_count++;
  bufferevent_setcb (conn->bev, on_read, on_write, on_event, conn);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, READ_BYTES_MAX);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  return conn;
}
