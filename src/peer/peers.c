#include "peer/peers.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define ROUTER_HWM_MESSAGES 1000
#define CHECK_INTERVAL_S 1
/* Time to send queued replies at a planned stop. */
#define CLOSE_LINGER_MS 1000

static void
peers_handle (void *task, struct eel_msg *msg)
{
  struct eel_peers *peers = task;

  switch (msg->kind)
    {
    case EEL_MSG_PEER_SEND:
      peers_send (peers, msg);
      break;
    case EEL_MSG_PEER_CONNECT:
      peers_link_open (peers, (uint32_t)msg->value, msg->text);
      break;
    case EEL_MSG_PEER_DISCONNECT:
      peers_link_close (peers, (uint32_t)msg->value);
      break;
    default:
      g_warning ("peers: unexpected message kind %d", msg->kind);
      break;
    }
}

static void
on_router_readable (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  peers_router_drain (data);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  peers_links_check (data, eel_clock_us ());
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_router_options (struct eel_peers *peers)
{
  set_int (peers->router, ZMQ_CURVE_SERVER, 1);
  zmq_setsockopt (peers->router, ZMQ_CURVE_SECRETKEY,
                  peers->settings->curve.secret_key, EEL_CURVE_TEXT_BYTES);
  set_int (peers->router, ZMQ_ROUTER_MANDATORY, 1);
  set_int (peers->router, ZMQ_ROUTER_HANDOVER, 1);
  set_int (peers->router, ZMQ_LINGER, CLOSE_LINGER_MS);
  set_int (peers->router, ZMQ_SNDHWM, ROUTER_HWM_MESSAGES);
  set_int (peers->router, ZMQ_RCVHWM, ROUTER_HWM_MESSAGES);
  zmq_setsockopt (peers->router, ZMQ_MAXMSGSIZE,
                  &(int64_t){ EEL_WIRE_BYTES_MAX }, sizeof (int64_t));
}

static void
read_bound_port (struct eel_peers *peers)
{
  char endpoint[EEL_ADDRESS_MAX + 16];
  size_t bytes = sizeof endpoint;
  const char *colon;

  if (zmq_getsockopt (peers->router, ZMQ_LAST_ENDPOINT, endpoint, &bytes) != 0)
    return;
  colon = strrchr (endpoint, ':');
  if (colon != NULL)
    peers->port = (uint16_t)strtoul (colon + 1, NULL, 10);
}

static int
router_open (struct eel_peers *peers)
{
  const struct eel_endpoint_address *address = &peers->settings->peer;
  char url[EEL_ADDRESS_MAX + 16];
  int fd = -1;
  size_t fd_bytes = sizeof fd;

  peers->router = zmq_socket (peers->context, ZMQ_ROUTER);
  if (peers->router == NULL)
    return 0;
  set_router_options (peers);
  snprintf (url, sizeof url, "tcp://%s:%u", address->host, address->port);
  if (zmq_bind (peers->router, url) != 0
      || zmq_getsockopt (peers->router, ZMQ_FD, &fd, &fd_bytes) != 0)
    return 0;
  read_bound_port (peers);
  peers->router_readable = event_new (peers->base, fd, EV_READ | EV_PERSIST,
                                      on_router_readable, peers);
  return peers->router_readable != NULL
         && event_add (peers->router_readable, NULL) == 0;
}

static int
timer_open (struct eel_peers *peers)
{
  struct timeval interval = { CHECK_INTERVAL_S, 0 };

  peers->timer = event_new (peers->base, -1, EV_PERSIST, on_timer, peers);
  return peers->timer != NULL && event_add (peers->timer, &interval) == 0;
}

static struct eel_metric *
counter (struct eel_metrics *metrics, const char *name, const char *help)
{
  return eel_metrics_get (metrics, EEL_METRIC_COUNTER, name, "", help);
}

static void
register_metrics (struct eel_peers *peers, struct eel_metrics *metrics)
{
  peers->sent = counter (metrics, "eel_peer_messages_sent_total",
                         "Messages sent to other nodes.");
  peers->sent_bytes = counter (metrics, "eel_peer_sent_bytes_total",
                               "Bytes of messages sent to other nodes.");
  peers->received = counter (metrics, "eel_peer_messages_received_total",
                             "Messages received from other nodes.");
  peers->received_bytes
      = counter (metrics, "eel_peer_received_bytes_total",
                 "Bytes of messages received from other nodes.");
  peers->unsent = counter (metrics, "eel_peer_messages_unsent_total",
                           "Messages that could not be sent.");
  peers->invalid = counter (metrics, "eel_peer_messages_invalid_total",
                            "Messages that the decoder refused.");
  peers->unauthenticated
      = counter (metrics, "eel_peer_unauthenticated_total",
                 "Peer handshakes refused for an unknown key.");
}

/* Returns NULL after logging the error. */
struct eel_peers *
eel_peers_new (struct event_base *base,
               const struct eel_settings *settings,
               uint64_t incarnation,
               struct eel_metrics *metrics)
{
  struct eel_peers *peers = calloc (1, sizeof *peers);

  if (peers == NULL)
    return NULL;
  peers->base = base;
  peers->settings = settings;
  peers->incarnation = incarnation;
  register_metrics (peers, metrics);
  peers->context = zmq_ctx_new ();
  if (peers->context != NULL
      && eel_mailbox_init (&peers->inbox, base, EEL_MAILBOX_CAPACITY,
                           peers_handle, peers)
      && peers_auth_open (peers) && router_open (peers)
      && peers_monitor_open (peers) && timer_open (peers))
    return peers;
  g_critical ("cannot open the peer sockets at %s:%u: %s", settings->peer.host,
              settings->peer.port, zmq_strerror (zmq_errno ()));
  eel_peers_free (peers);
  return NULL;
}

/* The node task posts EEL_MSG_PEER_* messages here. */
struct eel_mailbox *
eel_peers_inbox (struct eel_peers *peers)
{
  return &peers->inbox;
}

/* Received and unsent messages are posted to node. */
void
eel_peers_connect (struct eel_peers *peers, struct eel_mailbox *node)
{
  peers->node = node;
}

/* Returns the port that the ROUTER socket is bound to. */
uint16_t
eel_peers_port (const struct eel_peers *peers)
{
  return peers->port;
}

static void
free_event (struct event *event)
{
  if (event != NULL)
    event_free (event);
}

/* Closes all sockets; blocks for up to CLOSE_LINGER_MS to send replies. */
void
eel_peers_free (struct eel_peers *peers)
{
  if (peers == NULL)
    return;
  for (uint32_t i = 0; i < peers->link_count; i++)
    peers_link_release (&peers->links[i]);
  free_event (peers->timer);
  free_event (peers->router_readable);
  free_event (peers->auth_readable);
  free_event (peers->monitor_readable);
  if (peers->router != NULL)
    zmq_close (peers->router);
  if (peers->monitor != NULL)
    zmq_close (peers->monitor);
  if (peers->auth != NULL)
    zmq_close (peers->auth);
  if (peers->context != NULL)
    zmq_ctx_term (peers->context);
  eel_mailbox_finish (&peers->inbox);
  free (peers);
}
