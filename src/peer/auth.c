#include <glib.h>
#include <string.h>
#include <zmq.h>

#include "peer/peers.h"

#define ZAP_FRAMES 7
#define ZAP_FRAME_MAX 255
#define LOG_INTERVAL_US (10 * EEL_US_PER_S)

/* One request of ZeroMQ's authentication protocol (RFC 27/ZAP 1.0). */
struct zap_request
{
  char frames[ZAP_FRAMES][ZAP_FRAME_MAX + 1];
  int bytes[ZAP_FRAMES];
  int count;
};

static int
key_accepted (const struct eel_peers *peers, const uint8_t raw[32])
{
  const struct eel_settings *settings = peers->settings;
  char text[EEL_CURVE_TEXT_BYTES];

  if (zmq_z85_encode (text, raw, 32) == NULL)
    return 0;
  return strcmp (text, settings->curve.public_key) == 0
         || (settings->has_curve_next
             && strcmp (text, settings->curve_next.public_key) == 0);
}

static int
read_request (void *socket, struct zap_request *request)
{
  int more = 1;
  size_t more_bytes = sizeof more;

  request->count = 0;
  while (more)
    {
      char discarded[ZAP_FRAME_MAX + 1];
      int stored = request->count < ZAP_FRAMES;
      char *frame = stored ? request->frames[request->count] : discarded;
      int bytes = peers_receive_bytes (socket, frame, ZAP_FRAME_MAX);

      if (bytes < 0)
        return 0;
      if (bytes > ZAP_FRAME_MAX)
        bytes = ZAP_FRAME_MAX;
      frame[bytes] = 0;
      if (stored)
        request->bytes[request->count++] = bytes;
      zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &more_bytes);
    }
  return 1;
}

/* Frames: version, request id, domain, address, identity, mechanism, key. */
static int
request_accepted (const struct eel_peers *peers,
                  const struct zap_request *request)
{
  return request->count == ZAP_FRAMES
         && strcmp (request->frames[5], "CURVE") == 0 && request->bytes[6] == 32
         && key_accepted (peers, (const uint8_t *)request->frames[6]);
}

static void
send_zap_reply (void *socket, const struct zap_request *request, int accepted)
{
  const char *status = accepted ? "200" : "400";

  peers_send_frame (socket, "1.0", 3, ZMQ_SNDMORE);
  peers_send_frame (socket, request->frames[1], (size_t)request->bytes[1],
                    ZMQ_SNDMORE);
  peers_send_frame (socket, status, 3, ZMQ_SNDMORE);
  peers_send_frame (socket, "", 0, ZMQ_SNDMORE);
  peers_send_frame (socket, "", 0, ZMQ_SNDMORE);
  peers_send_frame (socket, "", 0, 0);
}

static void
count_unauthenticated (struct eel_peers *peers,
                       const struct zap_request *request)
{
  int64_t now_us = eel_clock_us ();

  eel_metric_add (peers->unauthenticated, 1);
  if (peers->logged_auth_us != 0
      && now_us - peers->logged_auth_us < LOG_INTERVAL_US)
    return;
  peers->logged_auth_us = now_us;
  g_warning ("peer connection from %s refused: unknown CURVE key",
             request->count > 3 ? request->frames[3] : "unknown address");
}

/* Replies to all pending authentication requests. */
void
peers_auth_drain (struct eel_peers *peers)
{
  while (peers_readable (peers->auth))
    {
      struct zap_request request;
      int accepted;

      if (!read_request (peers->auth, &request))
        return;
      accepted = request_accepted (peers, &request);
      if (!accepted)
        count_unauthenticated (peers, &request);
      send_zap_reply (peers->auth, &request, accepted);
    }
}

static void
on_auth_readable (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  peers_auth_drain (data);
}

/*
 * Counts handshakes that failed before ZAP: a client without the right server
 * key fails before its own key reaches the ZAP handler.
 */
static void
monitor_drain (struct eel_peers *peers)
{
  while (peers_readable (peers->monitor))
    {
      /* Only the number of events is used; their frames are discarded. */
      struct zap_request event;

      if (!read_request (peers->monitor, &event))
        return;
      eel_metric_add (peers->unauthenticated, 1);
    }
}

static void
on_monitor_readable (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  monitor_drain (data);
}

/* Monitors failed handshakes of the ROUTER socket. */
int
peers_monitor_open (struct eel_peers *peers)
{
  static const char address[] = "inproc://router-monitor";
  int fd = -1;
  size_t fd_bytes = sizeof fd;

  if (zmq_socket_monitor (peers->router, address,
                          ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL
                              | ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL)
      != 0)
    return 0;
  peers->monitor = zmq_socket (peers->context, ZMQ_PAIR);
  if (peers->monitor == NULL
      || peers_connect_socket (peers->monitor, address) != 0
      || zmq_getsockopt (peers->monitor, ZMQ_FD, &fd, &fd_bytes) != 0)
    return 0;
  peers->monitor_readable = event_new (peers->base, fd, EV_READ | EV_PERSIST,
                                       on_monitor_readable, peers);
  if (peers->monitor_readable == NULL
      || event_add (peers->monitor_readable, NULL) != 0)
    return 0;
  /* The descriptor is edge-triggered: it signals only once the pending events
     have been read. */
  monitor_drain (peers);
  return 1;
}

/* The ZAP handler must be bound before the first CURVE server socket. */
int
peers_auth_open (struct eel_peers *peers)
{
  int fd = -1;
  size_t fd_bytes = sizeof fd;

  peers->auth = zmq_socket (peers->context, ZMQ_REP);
  if (peers->auth == NULL
      || zmq_bind (peers->auth, "inproc://zeromq.zap.01") != 0
      || zmq_getsockopt (peers->auth, ZMQ_FD, &fd, &fd_bytes) != 0)
    return 0;
  peers->auth_readable = event_new (peers->base, fd, EV_READ | EV_PERSIST,
                                    on_auth_readable, peers);
  return peers->auth_readable != NULL
         && event_add (peers->auth_readable, NULL) == 0;
}
