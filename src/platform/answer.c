#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "eelgrasslatch/preset.h"
#include "platform/platform.h"

static int
parse_decimal (const char *text, uint64_t *value)
{
  size_t length = text == NULL ? 0 : strlen (text);

  if (length == 0 || length > 19 || strspn (text, "0123456789") != length)
    return 0;
  *value = strtoull (text, NULL, 10);
  return 1;
}

/*
 * A body that ends with the connection may be truncated, so it needs a
 * matching Content-Length or chunked encoding, whose end evhttp checks.
 */
static int
is_body_complete (const struct evkeyvalq *headers, size_t bytes)
{
  const char *encoding = evhttp_find_header (headers, "Transfer-Encoding");
  uint64_t length;

  if (encoding != NULL)
    return strcasecmp (encoding, "chunked") == 0;
  return parse_decimal (evhttp_find_header (headers, "Content-Length"), &length)
         && length == bytes;
}

static int
post_body (struct eel_platform *platform,
           enum eel_msg_kind kind,
           struct evbuffer *buffer,
           size_t bytes)
{
  struct eel_msg msg = { .kind = kind };

  if (platform->node == NULL)
    return 0;
  msg.body.data = malloc (bytes + 1);
  if (msg.body.data == NULL)
    return 0;
  evbuffer_remove (buffer, msg.body.data, bytes);
  msg.body.data[bytes] = 0;
  msg.body.bytes = bytes;
  return eel_mailbox_post (platform->node, &msg);
}

/*
 * A response that is truncated, of lower version or not 200 is discarded.  A
 * watch without a change ends with 304, which is a success.
 */
int
eel_platform_handle_response (struct eel_platform_call *call,
                              struct evhttp_request *request)
{
  struct eel_platform *platform = call->platform;
  struct evkeyvalq *headers;
  struct evbuffer *body;
  uint64_t version;
  size_t bytes;
  int status;

  if (request == NULL)
    return 0;
  status = evhttp_request_get_response_code (request);
  if (status == 304 && call->read == EEL_READ_WATCH)
    return 1;
  headers = evhttp_request_get_input_headers (request);
  body = evhttp_request_get_input_buffer (request);
  bytes = evbuffer_get_length (body);
  if (status != 200 || bytes == 0 || bytes > EEL_DOCUMENT_BYTES_MAX
      || !is_body_complete (headers, bytes))
    return 0;
  if (call->read == EEL_READ_VMS)
    return post_body (platform, EEL_MSG_VM_LIST, body, bytes);
  if (!parse_decimal (evhttp_find_header (headers, "X-Version"), &version)
      || !eel_read_schedule_record_version (&platform->schedule, version))
    return 0;
  return post_body (platform, EEL_MSG_DOCUMENT, body, bytes);
}
