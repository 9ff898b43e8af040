#include "http/upstream.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "http/fields.h"

/* Maps a method to evhttp's type; returns 0 if it is not supported. */
int
upstream_request_method (const char *method, enum evhttp_cmd_type *type)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type type;
  } methods[]
      = { { "GET", EVHTTP_REQ_GET },        { "POST", EVHTTP_REQ_POST },
          { "HEAD", EVHTTP_REQ_HEAD },      { "PUT", EVHTTP_REQ_PUT },
          { "DELETE", EVHTTP_REQ_DELETE },  { "PATCH", EVHTTP_REQ_PATCH },
          { "OPTIONS", EVHTTP_REQ_OPTIONS } };

  for (size_t i = 0; i < sizeof methods / sizeof *methods; i++)
    if (strcmp (method, methods[i].name) == 0)
      {
        *type = methods[i].type;
        return 1;
      }
  return 0;
}

static int
add_number (struct evkeyvalq *out, const char *name, uint64_t value)
{
  char text[24];

  snprintf (text, sizeof text, "%" PRIu64, value);
  return evhttp_add_header (out, name, text) == 0;
}

/*
 * Adds the headers with which the upstream refuses an expired request
 * (Eel-Deadline), makes nested calls (Eel-Parent) and identifies the request
 * (Eel-Key).
 */
static int
add_eel_headers (struct evkeyvalq *out, const struct upstream_conn *conn)
{
  const struct eel_call *call = conn->call;
  int64_t left_ms = (call->deadline_us - eel_clock_us ()) / EEL_US_PER_MS;
  char key[EEL_KEY_TEXT_MAX];

  if (!add_number (out, "Eel-Deadline", (uint64_t)(eel_wall_ms () + left_ms))
      || !add_number (out, "Eel-Parent", conn->call_id))
    return 0;
  if (call->key.serial == 0 && call->key.issuer == 0)
    return 1;
  eel_key_encode (&call->key, key);
  return evhttp_add_header (out, "Eel-Key", key) == 0;
}

/* Returns a request for the call of a connection, or NULL on failure. */
struct evhttp_request *
upstream_request_new (struct upstream_conn *conn,
                      void (*done) (struct evhttp_request *, void *))
{
  struct evhttp_request *request = evhttp_request_new (done, conn);
  const struct eel_headers *headers = &conn->call->headers;
  const struct eel_body *body = &conn->call->body;
  struct evkeyvalq *out;
  int complete;

  if (request == NULL)
    return NULL;
  out = evhttp_request_get_output_headers (request);
  complete = add_eel_headers (out, conn);
  for (uint32_t i = 0; i < headers->count && complete; i++)
    if (!eel_http_has_prefix (headers->items[i].name, "Eel-"))
      complete = evhttp_add_header (out, headers->items[i].name,
                                    headers->items[i].value)
                 == 0;
  if (complete && body->bytes > 0)
    complete = evbuffer_add (evhttp_request_get_output_buffer (request),
                             body->data, body->bytes)
               == 0;
  if (complete)
    return request;
  evhttp_request_free (request);
  return NULL;
}
