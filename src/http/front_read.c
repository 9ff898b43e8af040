#include "http/front.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

/* Skips empty lines before a request line, as RFC 9112 recommends. */
static void
skip_empty_lines (struct evbuffer *input)
{
  char start[2];

  while (evbuffer_copyout (input, start, 2) == 2
         && memcmp (start, "\r\n", 2) == 0)
    evbuffer_drain (input, 2);
}

/* Returns the length of the head in the input, or 0 when it is incomplete. */
static size_t
head_length (struct front_conn *conn, struct evbuffer *input)
{
  size_t bytes = evbuffer_get_length (input);
  size_t from = conn->scanned_bytes > 3 ? conn->scanned_bytes - 3 : 0;
  const char *data = (const char *)evbuffer_pullup (input, -1);
  const char *end;

  if (data == NULL)
    return 0;
  end = memmem (data + from, bytes - from, "\r\n\r\n", 4);
  if (end == NULL)
    {
      for (size_t i = from; i < bytes; i++)
        if (data[i] == '\n' && (i == 0 || data[i - 1] != '\r'))
          front_refusal_set (&conn->refusal, EEL_ERROR_BAD_REQUEST, 1,
                             "lines of the head must end with CR LF");
      conn->scanned_bytes = bytes;
      return 0;
    }
  return (size_t)(end - data) + 4;
}

/*
 * Checks the head of the next request.  Returns 1 when evhtp may parse it, 0
 * when more input is needed or after a refusal, which frees conn.
 */
static int
read_head (struct front_conn *conn, struct evbuffer *input)
{
  size_t bytes;

  skip_empty_lines (input);
  if (evbuffer_get_length (input) == 0)
    return 0;
  if (conn->state == FRONT_IDLE)
    {
      conn->state = FRONT_READING;
      conn->state_since_us = eel_clock_us ();
    }
  bytes = head_length (conn, input);
  if (bytes > FRONT_HEAD_BYTES_MAX
      || (bytes == 0 && conn->scanned_bytes > FRONT_HEAD_BYTES_MAX))
    front_refusal_set (&conn->refusal, EEL_ERROR_HEADER_TOO_LARGE, 1,
                       "the request line and headers must be at most %d bytes",
                       FRONT_HEAD_BYTES_MAX);
  else if (bytes > 0
           && front_head_parse (conn, (const char *)evbuffer_pullup (input, -1),
                                bytes))
    {
      conn->is_head = strcmp (conn->call->method, "HEAD") == 0;
      return 1;
    }
  if (conn->refusal.close)
    front_conn_refuse (conn);
  return 0;
}

/*
 * Handles input.  While a request is open, further input stays in the buffer,
 * and reading stays enabled so that a disconnect is detected.
 */
static void
conn_read (struct bufferevent *bev, void *data)
{
  struct front_conn *conn = data;
  struct eel_front *front = conn->front;
  struct evbuffer *input = bufferevent_get_input (bev);
  uint64_t freed_count = front->freed_count;

  if (conn->state == FRONT_AWAITING_ANSWER || conn->state == FRONT_WRITING)
    return;
  if (conn->call == NULL && !read_head (conn, input))
    return;
  if (!front_chunks_check (conn, input))
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_BAD_REQUEST, 1,
                         FRONT_CHUNK_MALFORMED);
      front_conn_refuse (conn);
      return;
    }
  conn->evhtp_read (bev, conn->evhtp);
  if (front->freed_count != freed_count)
    return;
  front_chunks_consumed (conn, input);
  if (conn->state == FRONT_AWAITING_ANSWER)
    bufferevent_enable (bev, EV_READ);
}

static void
conn_written (struct bufferevent *bev, void *data)
{
  struct front_conn *conn = data;

  conn->evhtp_write (bev, conn->evhtp);
}

/* The caller has closed or reset the connection. */
static void
conn_event (struct bufferevent *bev, short what, void *data)
{
  struct front_conn *conn = data;

  (void)bev;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
    return;
  /*
   * In this state on_conn_fini sends no refusal, which could not be received.
   */
  conn->state = FRONT_IDLE;
  evhtp_connection_free (conn->evhtp);
}

/* Installs the front's callbacks, which call evhtp's. */
void
front_read_attach (struct front_conn *conn)
{
  struct bufferevent *bev = conn->evhtp->bev;

  bufferevent_getcb (bev, &conn->evhtp_read, &conn->evhtp_write, NULL, NULL);
  bufferevent_setcb (bev, conn_read, conn_written, conn_event, conn);
}
