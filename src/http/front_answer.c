#include "internal/reason.h"
#include "http/front.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "http/fields.h"

static void
add_header (struct evbuffer *out, const char *name, const char *value)
{
  evbuffer_add_printf (out, "%s: %s\r\n", name, value);
}

static void
add_number (struct evbuffer *out, const char *name, uint64_t value)
{
  evbuffer_add_printf (out, "%s: %llu\r\n", name, (unsigned long long)value);
}

/*
 * Adds the Eel-* headers.  Retry-After gives Eel-Retry-After-Ms in seconds,
 * rounded up, for human readers.
 */
static void
add_eel_headers (struct evbuffer *out, const struct eel_answer *answer)
{
  add_header (out, "Eel-Outcome", eel_outcome_name (answer->outcome));
  add_header (out, "Eel-Retry", eel_retry_advice_name (answer->retry));
  if (answer->error != EEL_OK)
    add_header (out, "Eel-Error", eel_error_info (answer->error)->name);
  if (answer->retry_after_ms > 0)
    {
      add_number (out, "Retry-After", (answer->retry_after_ms + 999) / 1000);
      add_number (out, "Eel-Retry-After-Ms", answer->retry_after_ms);
    }
  if (answer->next_key[0] != 0)
    add_header (out, "Eel-Next-Key", answer->next_key);
  add_number (out, "Eel-Preset", answer->revision);
}

/*
 * Adds the end-to-end headers of the upstream.  Its Content-Length is kept for
 * HEAD only, where it gives the length of the body that is not sent.
 */
static void
add_upstream_headers (struct evbuffer *out,
                      const struct eel_answer *answer,
                      int is_head)
{
  const struct eel_headers *headers = &answer->headers;

  for (uint32_t i = 0; i < headers->count; i++)
    {
      const char *name = headers->items[i].name;

      /*
       * A header from a peer may contain line breaks, which would allow
       * response splitting.
       */
      if (!eel_http_is_token (name)
          || !eel_http_is_field_value (headers->items[i].value)
          || eel_http_has_prefix (name, "Eel-")
          || eel_http_is_hop_by_hop (headers, name)
          || (strcasecmp (name, "Content-Length") == 0 && !is_head)
          || (strcasecmp (name, "Retry-After") == 0
              && answer->retry_after_ms > 0))
        continue;
      add_header (out, name, headers->items[i].value);
    }
  if (answer->error != EEL_OK
      && eel_headers_get (headers, "Content-Type") == NULL)
    add_header (out, "Content-Type", "text/plain");
}

/* Serializes an answer into a buffer. */
static void
render (struct evbuffer *out,
        const struct eel_answer *answer,
        int is_head,
        int keep_alive)
{
  int has_body
      = eel_http_status_has_body (answer->status, is_head ? "HEAD" : "GET");

  evbuffer_add_printf (out, "HTTP/1.1 %u %s\r\n", answer->status,
                       eel_http_reason (answer->status));
  add_upstream_headers (out, answer, is_head);
  add_eel_headers (out, answer);
  if (has_body)
    add_number (out, "Content-Length", answer->body.bytes);
  add_header (out, "Connection", keep_alive ? "keep-alive" : "close");
  evbuffer_add (out, "\r\n", 2);
  if (has_body)
    evbuffer_add (out, answer->body.data, answer->body.bytes);
}

/*
 * Writes the answer to the open request of a connection.  The pause flag is
 * cleared first, so that evhtp finishes the request when the output has been
 * written.
 */
void
front_answer_write (struct front_conn *conn, const struct eel_answer *answer)
{
  evhtp_request_t *request = conn->evhtp->request;
  int keep_alive = conn->keep_alive && !conn->front->draining;

  if (keep_alive)
    evhtp_request_enable_flag (request, EVHTP_REQ_FLAG_KEEPALIVE);
  else
    evhtp_request_disable_flag (request, EVHTP_REQ_FLAG_KEEPALIVE);
  conn->state = FRONT_WRITING;
  conn->state_since_us = eel_clock_us ();
  evhtp_connection_disable_flag (conn->evhtp, EVHTP_CONN_FLAG_PAUSED);
  render (bufferevent_get_output (conn->evhtp->bev), answer, conn->is_head,
          keep_alive);
  evhtp_send_reply_end (request);
}

/*
 * Returns an answer with the refusal's text as its body, or NULL if out of
 * memory.
 */
struct eel_answer *
front_answer_refusal (const struct eel_front *front,
                      uint64_t call_id,
                      const struct front_refusal *refusal)
{
  struct eel_answer *answer = eel_answer_error (call_id, refusal->error);
  char text[256];
  int length;

  if (answer == NULL)
    return NULL;
  answer->revision = front->revision;
  length = snprintf (text, sizeof text, "%s: %s\n",
                     eel_error_info (refusal->error)->name, refusal->text);
  if (length > 0 && (size_t)length < sizeof text)
    eel_body_set (&answer->body, text, (size_t)length);
  return answer;
}

/* Writes a refusal to a connection that is being closed. */
void
front_answer_write_refusal (const struct eel_front *front,
                            struct bufferevent *bev,
                            const struct front_refusal *refusal)
{
  struct eel_answer *answer = front_answer_refusal (front, 0, refusal);

  if (answer != NULL)
    render (bufferevent_get_output (bev), answer, 0, 0);
  eel_answer_free (answer);
}
