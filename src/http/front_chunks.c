#include "http/front.h"

#include <event2/buffer.h>
#include <string.h>

/*
 * Checks the chunks of a request's body before evhtp parses them.  Where char
 * is unsigned, evhtp takes any character for a digit of a chunk's size, and
 * would then read the next request as part of the body.
 */

static int
on_complete (http_parser *parser)
{
  struct front_conn *conn = parser->data;

  conn->checks_chunks = 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings settings
    = { .on_message_complete = on_complete };

/* Starts with the body, since the front checks heads itself. */
void
front_chunks_begin (struct front_conn *conn, size_t head_bytes)
{
  static const char head[] = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n";

  http_parser_init (&conn->chunks, HTTP_REQUEST);
  conn->chunks.data = conn;
  conn->checks_chunks = 1;
  conn->checked_bytes = head_bytes;
  http_parser_execute (&conn->chunks, &settings, head, sizeof head - 1);
}

/* Checks the input that has arrived since the last call; returns 0 when it is
   malformed. */
int
front_chunks_check (struct front_conn *conn, struct evbuffer *input)
{
  size_t bytes = evbuffer_get_length (input);
  const char *data;
  enum http_errno error;

  if (!conn->checks_chunks || bytes <= conn->checked_bytes)
    return 1;
  data = (const char *)evbuffer_pullup (input, -1);
  if (data == NULL)
    return 0;
  http_parser_execute (&conn->chunks, &settings, data + conn->checked_bytes,
                       bytes - conn->checked_bytes);
  conn->checked_bytes = bytes;
  error = HTTP_PARSER_ERRNO (&conn->chunks);
  return error == HPE_OK || error == HPE_PAUSED;
}

/* Records what evhtp has left in the input. */
void
front_chunks_consumed (struct front_conn *conn, struct evbuffer *input)
{
  conn->checked_bytes = evbuffer_get_length (input);
}
