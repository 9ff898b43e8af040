#include "http/upstream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Checks the bytes of an answer beside evhttp, which takes a status with a sign
 * or of any length, any byte in the name or value of a field, and sizes of
 * chunks with a sign.
 */

/* evhttp bounds the head by EEL_HEADER_BYTES_MAX, line ends included. */
#define CHECKED_HEAD_BYTES_MAX (4 * EEL_HEADER_BYTES_MAX)
#define PIECE_BYTES 4096

static int
on_head (void *owner, struct eel_head *head)
{
  struct upstream_conn *conn = owner;

  conn->check_is_interim = head->status < 200;
  return strcmp (conn->call->method, "HEAD") == 0;
}

static void
on_body (void *owner, const char *data, size_t bytes)
{
  (void)owner;
  (void)data;
  (void)bytes;
}

static void
on_end (void *owner)
{
  struct upstream_conn *conn = owner;

  if (conn->check_is_interim)
    eel_reader_next (&conn->check);
  else
    conn->check_done = 1;
}

static const struct eel_reader_ops reader_ops
    = { .head = on_head, .body = on_body, .end = on_end };

/* Prepares the check of the answer to the connection's call. */
void
upstream_check_begin (struct upstream_conn *conn)
{
  eel_reader_finish (&conn->check);
  eel_reader_init (&conn->check, HTTP_RESPONSE, &reader_ops, conn,
                   CHECKED_HEAD_BYTES_MAX);
  conn->check_done = 0;
  conn->is_malformed = 0;
}

/* Ends the connection, since evhttp may still wait for the rest. */
static void
reject (struct upstream_conn *conn)
{
  conn->is_malformed = 1;
  eel_metric_add (conn->upstream->metrics.malformed, 1);
  g_message ("event=upstream_answer_malformed call=%" PRIu64, conn->call_id);
  shutdown (
      bufferevent_getfd (evhttp_connection_get_bufferevent (conn->evhttp)),
      SHUT_RDWR);
}

static void
check_piece (struct upstream_conn *conn, const char *data, size_t bytes)
{
  while (bytes > 0 && !conn->check_done)
    {
      long read_bytes = eel_reader_feed (&conn->check, data, bytes);

      if (read_bytes < 0)
        {
          reject (conn);
          return;
        }
      data += read_bytes;
      bytes -= (size_t)read_bytes;
    }
}

/* Input buffer callback: the bytes added are the last of the buffer. */
void
upstream_check_input (struct evbuffer *buffer,
                      const struct evbuffer_cb_info *info,
                      void *data)
{
  struct upstream_conn *conn = data;
  size_t left = info->n_added;
  struct evbuffer_ptr at;
  char piece[PIECE_BYTES];

  while (left > 0 && conn->call != NULL && !conn->check_done
         && !conn->is_malformed)
    {
      size_t bytes = left < sizeof piece ? left : sizeof piece;

      evbuffer_ptr_set (buffer, &at, evbuffer_get_length (buffer) - left,
                        EVBUFFER_PTR_SET);
      evbuffer_copyout_from (buffer, &at, piece, bytes);
      check_piece (conn, piece, bytes);
      left -= bytes;
    }
}
