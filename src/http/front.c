#include "http/front.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "http/fields.h"

#define FRONT_LISTEN_BACKLOG 1024

/* Counts a request or connection that the front refused. */
void
front_count_refusal (struct eel_front *front, enum eel_error error)
{
  eel_metric_add (front->metrics.refused[error], 1);
}

static void
register_metrics (struct eel_front *front, struct eel_metrics *metrics)
{
  static const enum eel_error kinds[] = {
    EEL_ERROR_BAD_REQUEST,      EEL_ERROR_HEADER_INVALID,
    EEL_ERROR_HEADER_TOO_LARGE, EEL_ERROR_BODY_TOO_LARGE,
    EEL_ERROR_KEY_INVALID,      EEL_ERROR_NOT_FOUND,
    EEL_ERROR_OVERLOADED,       EEL_ERROR_INTERNAL,
  };
  struct front_metrics *own = &front->metrics;
  char labels[EEL_METRIC_LABELS_MAX];

  own->connections
      = eel_metrics_get (metrics, EEL_METRIC_GAUGE, "eel_front_connections", "",
                         "Caller connections that are open.");
  own->open = eel_metrics_get (metrics, EEL_METRIC_GAUGE, "eel_front_open", "",
                               "Requests that wait for their answer.");
  own->accepted = eel_metrics_get (metrics, EEL_METRIC_COUNTER,
                                   "eel_front_accepted_total", "",
                                   "Caller connections taken.");
  own->accept_failed = eel_metrics_get (
      metrics, EEL_METRIC_COUNTER, "eel_front_accept_failed_total", "",
      "Connections that could not be accepted, such as without descriptors.");
  own->requests = eel_metrics_get (metrics, EEL_METRIC_COUNTER,
                                   "eel_front_requests_total", "",
                                   "Complete requests received.");
  own->cancelled = eel_metrics_get (metrics, EEL_METRIC_COUNTER,
                                    "eel_front_cancelled_total", "",
                                    "Requests whose caller went away.");
  own->expired
      = eel_metrics_get (metrics, EEL_METRIC_COUNTER, "eel_front_expired_total",
                         "", "Requests the node left without answer.");
  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    {
      snprintf (labels, sizeof labels, "error=\"%s\"",
                eel_error_info (kinds[i])->name);
      own->refused[kinds[i]] = eel_metrics_get (
          metrics, EEL_METRIC_COUNTER, "eel_front_refused_total", labels,
          "Requests and connections that the front refused.");
    }
}

static int
schedule_sweep (struct eel_front *front, int interval_ms)
{
  struct timeval interval = { interval_ms / 1000, interval_ms % 1000 * 1000 };

  return event_add (front->sweep_timer, &interval) == 0;
}

/* Stops the listener; connections close when their requests are answered. */
static void
begin_drain (struct eel_front *front)
{
  if (front->draining)
    return;
  front->draining = 1;
  evhtp_unbind_socket (front->htp);
  schedule_sweep (front, FRONT_DRAIN_SWEEP_INTERVAL_MS);
}

static void
check_drained (struct eel_front *front)
{
  struct eel_msg msg = { .kind = EEL_MSG_DRAINED };

  if (front->draining && !front->drained && front->conn_count == 0)
    front->drained = (uint8_t)eel_mailbox_post (front->node, &msg);
}

static void
handle_answer (struct eel_front *front, struct eel_msg *msg)
{
  struct front_conn *conn = front_slot_find (front, msg->call_id);

  if (conn == NULL)
    return;
  if (msg->answer == NULL)
    msg->answer = eel_answer_error (msg->call_id, EEL_ERROR_INTERNAL);
  if (msg->answer == NULL)
    return;
  /* The answer to a request for keys has its body in the message. */
  if (msg->answer->body.data == NULL && msg->body.data != NULL)
    {
      msg->answer->body = msg->body;
      msg->body.data = NULL;
      msg->body.bytes = 0;
    }
  if (msg->answer->revision > front->revision)
    front->revision = msg->answer->revision;
  front_slot_release (conn);
  eel_metric_set (front->metrics.open, front->open_count);
  front_answer_write (conn, msg->answer);
}

static void
handle_message (void *task, struct eel_msg *msg)
{
  struct eel_front *front = task;

  if (msg->kind == EEL_MSG_ANSWER)
    handle_answer (front, msg);
  else if (msg->kind == EEL_MSG_DRAIN)
    begin_drain (front);
}

static void
on_sweep (evutil_socket_t fd, short what, void *data)
{
  struct eel_front *front = data;
  int64_t now_us = eel_clock_us ();

  (void)fd;
  (void)what;
  if (front->accept_paused && !front->draining)
    evconnlistener_enable (front->htp->server);
  front->accept_paused = 0;
  front_conn_sweep (front, now_us);
  front_linger_sweep (front, now_us);
  check_drained (front);
}

static uint16_t
bound_port (evutil_socket_t fd)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in in;
    struct sockaddr_in6 in6;
  } address;
  socklen_t bytes = sizeof address;

  memset (&address, 0, sizeof address);
  if (getsockname (fd, &address.any, &bytes) != 0)
    return 0;
  return ntohs (address.any.sa_family == AF_INET6 ? address.in6.sin6_port
                                                  : address.in.sin_port);
}

/*
 * Pauses accepting until the next sweep: without free file descriptors accept
 * would fail again immediately.
 */
static void
on_accept_error (struct evconnlistener *listener, void *data)
{
  /* evhtp created the listener and set the callback data to itself. */
  const evhtp_t *htp = data;
  struct eel_front *front = htp->arg;

  evconnlistener_disable (listener);
  front->accept_paused = 1;
  eel_metric_add (front->metrics.accept_failed, 1);
}

/*
 * Returns the connection limit.  It leaves file descriptors for the upstream,
 * the peers (this node's subset and at most 256 opened on demand), the
 * operators and the platform.
 */
static uint32_t
connection_limit (const struct eel_settings *settings)
{
  struct rlimit files;
  uint64_t reserved = FRONT_RESERVED_FDS;

  reserved += settings->upstream_slots < settings->upstream_connections
                  ? settings->upstream_slots
                  : settings->upstream_connections;
  if (getrlimit (RLIMIT_NOFILE, &files) != 0
      || files.rlim_cur >= reserved + FRONT_CONNECTIONS_MAX)
    return FRONT_CONNECTIONS_MAX;
  if (files.rlim_cur < reserved + FRONT_CONNECTIONS_MIN)
    return FRONT_CONNECTIONS_MIN;
  return (uint32_t)(files.rlim_cur - reserved);
}

static int
start_listener (struct eel_front *front, const struct eel_settings *settings)
{
  int fd;

  front->htp = evhtp_new (front->base, front);
  if (front->htp == NULL)
    return 0;
  evhtp_set_post_accept_cb (front->htp, front_conn_on_accept, front);
  /* EEL_BODY_BYTES_MAX is enforced as the body arrives. */
  evhtp_set_max_body_size (front->htp, 2 * EEL_BODY_BYTES_MAX);
  evhtp_set_bev_flags (front->htp, BEV_OPT_CLOSE_ON_FREE);
  if (evhtp_bind_socket (front->htp, settings->front.host, settings->front.port,
                         FRONT_LISTEN_BACKLOG)
      != 0)
    {
      g_warning ("front: cannot listen on %s:%u", settings->front.host,
                 settings->front.port);
      return 0;
    }
  evconnlistener_set_error_cb (front->htp->server, on_accept_error);
  fd = evconnlistener_get_fd (front->htp->server);
  front->port = bound_port (fd);
  return 1;
}

static int
start_sweep (struct eel_front *front)
{
  front->sweep_timer = event_new (front->base, -1, EV_PERSIST, on_sweep, front);
  return front->sweep_timer != NULL
         && schedule_sweep (front, FRONT_SWEEP_INTERVAL_MS);
}

/* Starts the listener.  Returns NULL on failure, after logging the cause. */
struct eel_front *
eel_front_new (struct event_base *base,
               const struct eel_settings *settings,
               struct eel_metrics *metrics)
{
  struct eel_front *front = calloc (1, sizeof *front);

  if (front == NULL)
    return NULL;
  eel_http_ignore_sigpipe ();
  front->base = base;
  front->conn_max = connection_limit (settings);
  front->open_max = settings->calls_max;
  register_metrics (front, metrics);
  if (front_slots_init (front, FRONT_CONNECTIONS_MAX)
      && eel_mailbox_init (&front->inbox, base, EEL_MAILBOX_CAPACITY,
                           handle_message, front)
      && start_listener (front, settings) && start_sweep (front))
    return front;
  g_warning ("front: cannot start");
  eel_front_free (front);
  return NULL;
}

/* Returns the mailbox for answers and for EEL_MSG_DRAIN. */
struct eel_mailbox *
eel_front_inbox (struct eel_front *front)
{
  return &front->inbox;
}

/* Sets the node's mailbox; must be called before the loop runs. */
void
eel_front_connect (struct eel_front *front, struct eel_mailbox *node)
{
  front->node = node;
}

/* Returns the port that the listener is bound to. */
uint16_t
eel_front_port (const struct eel_front *front)
{
  return front->port;
}

/* Closes every connection and frees the task; NULL is allowed. */
void
eel_front_free (struct eel_front *front)
{
  if (front == NULL)
    return;
  if (front->slots != NULL)
    front_conn_close_all (front);
  front_linger_close_all (front);
  if (front->sweep_timer != NULL)
    event_free (front->sweep_timer);
  if (front->htp != NULL)
    {
      evhtp_unbind_socket (front->htp);
      evhtp_free (front->htp);
    }
  eel_mailbox_finish (&front->inbox);
  free (front->slots);
  free (front);
}
