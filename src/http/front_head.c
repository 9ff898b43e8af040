#include "http/front.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "http/fields.h"

/* Copies at most out_bytes - 1 bytes; returns 0 if the text was truncated. */
static int
copy_text (char *out, size_t out_bytes, const char *data, size_t bytes)
{
  size_t kept = bytes < out_bytes ? bytes : out_bytes - 1;

  memcpy (out, data, kept);
  out[kept] = 0;
  return kept == bytes;
}

/* Parses "METHOD target HTTP/1.x" with exactly two spaces. */
static int
parse_request_line (struct front_conn *conn, const char *line, size_t bytes)
{
  const char *space = memchr (line, ' ', bytes);
  const char *version = line + bytes - 8;
  char method[EEL_METHOD_MAX] = "";
  char target[EEL_TARGET_MAX];

  if (space == NULL || bytes < 12 || version <= space + 1 || version[-1] != ' '
      || memcmp (version, "HTTP/1.", 7) != 0
      || (version[7] != '0' && version[7] != '1'))
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_BAD_REQUEST, 1,
                         "the request line must be METHOD target HTTP/1.1");
      return 0;
    }
  /* A NUL would truncate the target where it is used as a C string. */
  if (memchr (line, 0, bytes) != NULL)
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_BAD_REQUEST, 1,
                         "the target must be a path of printable ASCII");
      return 0;
    }
  conn->minor_version = (uint8_t)(version[7] - '0');
  if (!copy_text (method, sizeof method, line, (size_t)(space - line)))
    method[0] = 0;
  if (!copy_text (target, sizeof target, space + 1,
                  (size_t)(version - 1 - (space + 1))))
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_HEADER_TOO_LARGE, 1,
                         "the target must be at most %d bytes",
                         EEL_TARGET_MAX - 1);
      return 0;
    }
  return front_parse_method (conn->call, method, &conn->refusal)
         && front_parse_target (conn->call, target, &conn->refusal);
}

/*
 * evhtp parses the two framing headers itself; a form that it might interpret
 * differently from front_check_framing is refused.
 */
static int
is_plain_framing (const char *name, const char *value, size_t bytes)
{
  if (strcasecmp (name, "Content-Length") != 0
      && strcasecmp (name, "Transfer-Encoding") != 0)
    return 1;
  if (bytes > 0 && value[0] == ' ')
    {
      value++;
      bytes--;
    }
  return bytes > 0 && value[0] != ' ' && value[0] != '\t'
         && value[bytes - 1] != ' ' && value[bytes - 1] != '\t';
}

static int
add_header (struct front_conn *conn,
            const char *name,
            const char *data,
            size_t bytes)
{
  char value[FRONT_HEADER_LINE_BYTES_MAX];
  enum eel_error error;

  if (!is_plain_framing (name, data, bytes))
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_BAD_REQUEST, 1,
                         "%s has extra white space", name);
      return 0;
    }
  while (bytes > 0 && (*data == ' ' || *data == '\t'))
    data++, bytes--;
  while (bytes > 0 && (data[bytes - 1] == ' ' || data[bytes - 1] == '\t'))
    bytes--;
  copy_text (value, sizeof value, data, bytes);
  if (strlen (value) != bytes || !eel_http_is_field_value (value))
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_BAD_REQUEST, 1,
                         "%.48s has a control character in its value", name);
      return 0;
    }
  error = eel_headers_add (&conn->raw_headers, name, value);
  if (error == EEL_OK)
    return 1;
  front_refusal_set (
      &conn->refusal, error, 1,
      "at most %d headers of %d bytes in all are taken; %.48s is over that",
      EEL_HEADERS_MAX, EEL_HEADER_BYTES_MAX, name);
  return 0;
}

/* Parses one "name: value" line; continuation lines are refused. */
static int
parse_header_line (struct front_conn *conn, const char *line, size_t bytes)
{
  const char *colon = memchr (line, ':', bytes);
  char name[256];

  if (bytes >= FRONT_HEADER_LINE_BYTES_MAX)
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_HEADER_TOO_LARGE, 1,
                         "header line %u must be under %d bytes",
                         conn->raw_headers.count + 1,
                         FRONT_HEADER_LINE_BYTES_MAX);
      return 0;
    }
  if (colon == NULL
      || !copy_text (name, sizeof name, line, (size_t)(colon - line))
      || strlen (name) != (size_t)(colon - line) || !eel_http_is_token (name))
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_BAD_REQUEST, 1,
                         "header line %u must be a name, a colon and a value",
                         conn->raw_headers.count + 1);
      return 0;
    }
  return add_header (conn, name, colon + 1, bytes - (size_t)(colon + 1 - line));
}

/* Returns 1 when the connection persists after the answer (RFC 9112). */
static int
wants_keep_alive (const struct front_conn *conn)
{
  int keep_alive = conn->minor_version > 0;

  for (uint32_t i = 0; i < conn->raw_headers.count; i++)
    if (strcasecmp (conn->raw_headers.items[i].name, "Connection") == 0)
      {
        if (eel_http_list_contains (conn->raw_headers.items[i].value, "close"))
          return 0;
        if (eel_http_list_contains (conn->raw_headers.items[i].value,
                                    "keep-alive"))
          keep_alive = 1;
      }
  return keep_alive;
}

/*
 * Parses a complete request head, including the empty line, before evhtp does:
 * evhtp accepts continuation lines, lines without a colon and NUL bytes in ways
 * that end a request early.  Returns 0 when the connection must be closed with
 * conn->refusal.
 */
int
front_head_parse (struct front_conn *conn, const char *data, size_t bytes)
{
  const char *end = data + bytes - 2;
  const char *line = data;

  conn->call = eel_call_new ();
  if (conn->call == NULL)
    {
      front_refusal_set (&conn->refusal, EEL_ERROR_INTERNAL, 1, "no memory");
      return 0;
    }
  while (line < end)
    {
      const char *next = memmem (line, (size_t)(end + 2 - line), "\r\n", 2);
      size_t length = (size_t)(next - line);

      if (!(line == data ? parse_request_line (conn, line, length)
                         : parse_header_line (conn, line, length)))
        return 0;
      line = next + 2;
    }
  conn->keep_alive = (uint8_t)wants_keep_alive (conn);
  if (!front_check_framing (&conn->raw_headers, &conn->refusal))
    return 0;
  conn->checks_chunks = 0;
  if (eel_headers_get (&conn->raw_headers, "Transfer-Encoding") != NULL)
    front_chunks_begin (conn, bytes);
  /* A request for keys has no service. */
  if (!eel_http_has_prefix (conn->call->target, "/eel/"))
    front_parse_headers (conn->call, &conn->raw_headers, eel_clock_us (),
                         eel_wall_ms (), &conn->refusal);
  eel_headers_finish (&conn->raw_headers);
  return !conn->refusal.close;
}
