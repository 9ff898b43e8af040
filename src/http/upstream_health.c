#include "http/upstream.h"

#include <event2/buffer.h>
#include <string.h>
#include <strings.h>

/*
 * Notifies the node of a changed state.  If the mailbox is full, the next call
 * with this state notifies again.
 */
void
upstream_set_state (struct eel_upstream *upstream,
                    enum eel_upstream_state state)
{
  struct eel_msg msg
      = { .kind = EEL_MSG_UPSTREAM_STATE, .value = (uint64_t)state };

  if (upstream->state != (int)state && eel_mailbox_post (upstream->node, &msg))
    upstream->state = (int)state;
}

static int
announces_draining (struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  const char *text = (const char *)evbuffer_pullup (body, -1);
  size_t bytes = evbuffer_get_length (body);

  return evhttp_find_header (evhttp_request_get_input_headers (request),
                             "draining")
             != NULL
         || (bytes > 0 && memmem (text, bytes, "draining", 8) != NULL);
}

/*
 * Handles a health response.  It may lag or be wrong, so of all failures only a
 * refused connect and an announced drain change the state.
 */
static void
on_health_response (struct evhttp_request *request, void *data)
{
  struct eel_upstream *upstream = data;
  int status
      = request != NULL ? evhttp_request_get_response_code (request) : -1;

  upstream->health_pending = 0;
  if (status == 0)
    upstream_set_state (upstream, EEL_UPSTREAM_DOWN);
  else if (status == 200)
    upstream_set_state (upstream, EEL_UPSTREAM_UP);
  else if (status == 503 && announces_draining (request))
    upstream_set_state (upstream, EEL_UPSTREAM_DRAINING);
}

static void
check_health (evutil_socket_t fd, short what, void *data)
{
  struct eel_upstream *upstream = data;
  struct evhttp_request *request;

  (void)fd;
  (void)what;
  upstream_conn_reap (upstream);
  if (upstream->health_pending)
    return;
  request = evhttp_request_new (on_health_response, upstream);
  if (request == NULL)
    return;
  upstream->health_pending = 1;
  if (evhttp_make_request (upstream->health, request, EVHTTP_REQ_GET,
                           upstream->health_path)
      != 0)
    upstream->health_pending = 0;
}

/*
 * Starts the periodic health checks, the first one immediately; returns 0 if
 * out of memory.
 */
int
upstream_health_start (struct eel_upstream *upstream)
{
  struct timeval interval = { UPSTREAM_HEALTH_INTERVAL_MS / 1000,
                              UPSTREAM_HEALTH_INTERVAL_MS % 1000 * 1000 };
  struct timeval timeout = { UPSTREAM_HEALTH_TIMEOUT_S, 0 };

  upstream->health = evhttp_connection_base_new (
      upstream->base, NULL, upstream->address.host, upstream->address.port);
  upstream->health_timer
      = event_new (upstream->base, -1, EV_PERSIST, check_health, upstream);
  if (upstream->health == NULL || upstream->health_timer == NULL)
    return 0;
  evhttp_connection_set_retries (upstream->health, 0);
  evhttp_connection_set_timeout_tv (upstream->health, &timeout);
  evhttp_connection_set_max_body_size (upstream->health,
                                       UPSTREAM_HEALTH_BODY_BYTES_MAX);
  evhttp_connection_set_max_headers_size (upstream->health,
                                          EEL_HEADER_BYTES_MAX);
  event_add (upstream->health_timer, &interval);
  event_active (upstream->health_timer, EV_TIMEOUT, 0);
  return 1;
}

void
upstream_health_stop (struct eel_upstream *upstream)
{
  if (upstream->health_timer != NULL)
    event_free (upstream->health_timer);
  if (upstream->health != NULL)
    evhttp_connection_free (upstream->health);
}
