#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "internal/reason.h"
#include "internal/task.h"
#include "relay/conn.h"

/* Appends an exchange to its connection; head is moved into it.  Returns NULL
   when out of memory. */
struct eel_exchange *
eel_exchange_new (struct eel_conn *conn, struct eel_head *head)
{
  struct eel_exchange *exchange = calloc (1, sizeof *exchange);

  if (exchange == NULL)
    return NULL;
  exchange->out = evbuffer_new ();
  if (exchange->out == NULL)
    {
      free (exchange);
      return NULL;
    }
  exchange->conn = conn;
  eel_head_init (&exchange->request);
  eel_head_move (&exchange->request, head);
  if (conn->last != NULL)
    conn->last->next = exchange;
  else
    conn->first = exchange;
  conn->last = exchange;
  conn->count++;
  conn->server->exchange_count++;
  return exchange;
}

static void
destroy (struct eel_exchange *exchange)
{
  eel_head_finish (&exchange->request);
  evbuffer_free (exchange->out);
  free (exchange);
}

/* The exchange must have been removed from its connection's list. */
void
eel_exchange_free (struct eel_exchange *exchange)
{
  exchange->conn->server->exchange_count--;
  destroy (exchange);
}

/* What is answered from here on is dropped. */
void
eel_exchange_release (struct eel_exchange *exchange)
{
  struct eel_server *server = exchange->conn->server;

  server->exchange_count--;
  exchange->state = NULL;
  exchange->released = 1;
  exchange->next = server->released;
  server->released = exchange;
}

/* Call it when no event of a connection is being handled. */
void
eel_exchange_free_released (struct eel_server *server)
{
  while (server->released != NULL)
    {
      struct eel_exchange *exchange = server->released;

      server->released = exchange->next;
      destroy (exchange);
    }
}

struct eel_server *
eel_exchange_server (const struct eel_exchange *exchange)
{
  return exchange->conn->server;
}

void
eel_exchange_continue (struct eel_exchange *exchange)
{
  evbuffer_add_printf (exchange->out, "HTTP/1.1 100 Continue\r\n\r\n");
  eel_conn_flush (exchange->conn);
}

/* Adds Connection: close when the server is closing or the request asks for
   it. */
void
eel_exchange_answer (struct eel_exchange *exchange,
                     uint16_t status,
                     struct evbuffer *lines,
                     enum eel_framing framing,
                     uint64_t length_bytes)
{
  struct evbuffer *out = exchange->out;

  exchange->answer_started = 1;
  exchange->answer_framing = framing;
  if (exchange->conn->server->closing || !exchange->request.keep_alive)
    exchange->close_after = 1;
  evbuffer_add_printf (out, "HTTP/1.1 %u %s\r\n", status,
                       eel_http_reason (status));
  if (lines != NULL)
    evbuffer_add_buffer (out, lines);
  eel_head_write_framing (framing, length_bytes, out);
  if (exchange->close_after)
    evbuffer_add (out, "Connection: close\r\n", 19);
  evbuffer_add (out, "\r\n", 2);
  eel_conn_flush (exchange->conn);
}

void
eel_exchange_body (struct eel_exchange *exchange,
                   const void *data,
                   size_t bytes)
{
  eel_body_write (exchange->answer_framing, exchange->out, data, bytes);
  eel_conn_flush (exchange->conn);
}

void
eel_exchange_end (struct eel_exchange *exchange)
{
  eel_body_write_end (exchange->answer_framing, exchange->out);
  exchange->answer_done = 1;
  exchange->answered_us = eel_clock_us ();
  exchange->state = NULL;
  /* The rest of the request is read and discarded; who paused it is gone. */
  eel_exchange_pause (exchange, 0);
  eel_conn_flush (exchange->conn);
}

void
eel_exchange_abort (struct eel_exchange *exchange)
{
  exchange->state = NULL;
  /* Its connection ends with the answer of another request. */
  if (exchange->released)
    return;
  eel_conn_close (exchange->conn);
}

/* Output of the connection counts only for its first exchange. */
size_t
eel_exchange_pending_bytes (const struct eel_exchange *exchange)
{
  const struct eel_conn *conn = exchange->conn;
  size_t bytes = evbuffer_get_length (exchange->out);

  if (conn->first == exchange)
    bytes += evbuffer_get_length (bufferevent_get_output (conn->bev));
  return bytes;
}

/* Does nothing once the whole request has been read. */
void
eel_exchange_pause (struct eel_exchange *exchange, int pause)
{
  struct eel_conn *conn = exchange->conn;

  if (conn->reading != exchange)
    return;
  if (pause)
    bufferevent_disable (conn->bev, EV_READ);
  else
    bufferevent_enable (conn->bev, EV_READ);
}
