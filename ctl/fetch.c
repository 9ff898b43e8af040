#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define REPLY_BYTES_MAX (16 * 1024 * 1024)

struct fetch
{
  struct event_base *base;
  struct ctl_reply *reply;
};

static void
fetch_done (struct evhttp_request *request, void *data)
{
  struct fetch *fetch = data;
  struct evbuffer *body;
  size_t bytes;

  event_base_loopbreak (fetch->base);
  if (request == NULL)
    return;
  fetch->reply->status = evhttp_request_get_response_code (request);
  body = evhttp_request_get_input_buffer (request);
  bytes = evbuffer_get_length (body);
  fetch->reply->body = g_malloc (bytes + 1);
  evbuffer_copyout (body, fetch->reply->body, bytes);
  fetch->reply->body[bytes] = 0;
}

static void
add_headers (struct evhttp_request *request,
             const struct ctl_options *options,
             const char *node)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char *value = g_strconcat ("Bearer ", options->token, NULL);

  evhttp_add_header (headers, "Host", node);
  evhttp_add_header (headers, "Connection", "close");
  if (options->token != NULL)
    evhttp_add_header (headers, "Authorization", value);
  g_free (value);
}

static void
fetch_run (struct fetch *fetch,
           const struct ctl_options *options,
           const char *node,
           const char *path)
{
  char *host = g_strdup (node);
  char *colon = strrchr (host, ':');
  struct timeval timeout
      = { options->timeout_ms / 1000, options->timeout_ms % 1000 * 1000 };
  struct evhttp_connection *connection;
  struct evhttp_request *request;

  *colon = 0;
  connection = evhttp_connection_base_new (
      fetch->base, NULL, host,
      (uint16_t)g_ascii_strtoull (colon + 1, NULL, 10));
  evhttp_connection_set_timeout_tv (connection, &timeout);
  evhttp_connection_set_max_body_size (connection, REPLY_BYTES_MAX);
  request = evhttp_request_new (fetch_done, fetch);
  add_headers (request, options, node);
  if (evhttp_make_request (connection, request, EVHTTP_REQ_GET, path) == 0)
    event_base_dispatch (fetch->base);
  evhttp_connection_free (connection);
  g_free (host);
}

/* Sends a GET request to a node.  The caller clears the reply. */
void
ctl_fetch (const struct ctl_options *options,
           const char *node,
           const char *path,
           struct ctl_reply *reply)
{
  struct fetch fetch = { event_base_new (), reply };

  memset (reply, 0, sizeof *reply);
  if (fetch.base == NULL || strrchr (node, ':') == NULL)
    return;
  fetch_run (&fetch, options, node, path);
  event_base_free (fetch.base);
}

void
ctl_reply_clear (struct ctl_reply *reply)
{
  g_free (reply->body);
  reply->body = NULL;
}

/* Prints an error reply to standard error and returns the exit code. */
enum ctl_exit
ctl_reply_exit_code (const char *node, const struct ctl_reply *reply)
{
  if (reply->status == 0)
    {
      fprintf (stderr, "%s: cannot be reached\n", node);
      return CTL_UNREACHABLE;
    }
  if (reply->status == 200)
    return CTL_OK;
  fprintf (stderr, "%s: status %d: %s\n", node, reply->status,
           reply->body != NULL ? reply->body : "");
  return CTL_FAILED;
}
