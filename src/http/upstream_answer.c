#include "http/upstream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <strings.h>

#include "http/fields.h"

/* Copies the headers; returns 0 when they exceed the limits. */
static int
copy_headers (struct eel_headers *out, const struct evkeyvalq *in)
{
  struct evkeyval *item;

  for (item = in->tqh_first; item != NULL; item = item->next.tqe_next)
    if (eel_headers_add (out, item->key, item->value) != EEL_OK)
      return 0;
  return 1;
}

/*
 * Removes hop-by-hop headers and the Eel-* headers, which only the node sets.
 * Content-Length is kept for HEAD only.
 */
static void
keep_end_to_end (struct eel_headers *headers, int is_head)
{
  struct eel_headers kept = { .count = 0 };

  for (uint32_t i = 0; i < headers->count; i++)
    {
      const char *name = headers->items[i].name;

      if (!eel_http_has_prefix (name, "Eel-")
          && !eel_http_is_hop_by_hop (headers, name)
          && (is_head || strcasecmp (name, "Content-Length") != 0))
        eel_headers_add (&kept, name, headers->items[i].value);
    }
  eel_headers_finish (headers);
  *headers = kept;
}

/*
 * Returns 1 when the answer is known to be complete.  An answer without a
 * length ends with its connection, which looks the same as a crash.
 */
static int
is_framed (const struct eel_headers *headers,
           unsigned status,
           const char *method,
           size_t body_bytes)
{
  const char *length = eel_headers_get (headers, "Content-Length");
  const char *coding = eel_headers_get (headers, "Transfer-Encoding");
  uint64_t bytes;

  if (eel_http_field_count (headers, "Content-Length")
          + eel_http_field_count (headers, "Transfer-Encoding")
      > 1)
    return 0;
  if (!eel_http_status_has_body (status, method))
    return 1;
  if (coding != NULL)
    return strcasecmp (coding, "chunked") == 0;
  return length != NULL && eel_http_parse_u64 (length, UINT32_MAX, &bytes)
         && bytes == body_bytes;
}

/* Returns 1 when the upstream reports that it has not run the request. */
static int
is_refusal (const struct eel_headers *headers, unsigned status)
{
  const char *not_run = eel_headers_get (headers, "X-Not-Run");

  return status == 429
         || (status == 503 && not_run != NULL && strcmp (not_run, "1") == 0);
}

/*
 * Builds an answer from a finished request and sets *result.  Returns NULL,
 * with EEL_RUN_BROKEN, for a malformed, oversized or incomplete answer.
 */
struct eel_answer *
upstream_answer_read (struct upstream_conn *conn,
                      struct evhttp_request *request,
                      enum eel_run_result *result)
{
  int status = evhttp_request_get_response_code (request);
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  size_t bytes = evbuffer_get_length (body);
  struct eel_answer *answer = eel_answer_new (conn->call_id);
  const char *method = conn->call->method;

  *result = EEL_RUN_BROKEN;
  if (answer == NULL)
    return NULL;
  if (status < 200 || status > 599
      || !copy_headers (&answer->headers,
                        evhttp_request_get_input_headers (request))
      || !is_framed (&answer->headers, (unsigned)status, method, bytes)
      || eel_body_set (&answer->body, evbuffer_pullup (body, -1), bytes)
             != EEL_OK)
    {
      eel_metric_add (conn->upstream->metrics.malformed, 1);
      eel_answer_free (answer);
      return NULL;
    }
  *result = is_refusal (&answer->headers, (unsigned)status) ? EEL_RUN_REFUSED
                                                            : EEL_RUN_ANSWERED;
  answer->status = (uint16_t)status;
  answer->outcome
      = *result == EEL_RUN_REFUSED ? EEL_OUTCOME_REFUSED : EEL_OUTCOME_RAN;
  answer->error
      = *result == EEL_RUN_REFUSED ? EEL_ERROR_UPSTREAM_REFUSED : EEL_OK;
  keep_end_to_end (&answer->headers, strcmp (method, "HEAD") == 0);
  return answer;
}
