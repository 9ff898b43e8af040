#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Stand-in for a network path: forwards connections and injects faults.
 * Arguments: LISTEN_IP TARGET_IP PORT...; prints the control port.  Commands
 * over HTTP: /pass, /delay (300 ms per chunk), /stall (holds bytes in both
 * directions), /stall-inbound (holds bytes to the target), /reset (resets the
 * open connections).
 */

#define CONNS_MAX 512
#define DELAY_US 300000

enum mode
{
  MODE_PASS,
  MODE_DELAY,
  MODE_STALL,
  MODE_STALL_INBOUND
};

/* One side of a connection; bytes read from it go to its peer. */
struct side
{
  struct bufferevent *bev;
  struct side *peer;
  struct event *timer;
  int to_target;
  int closed;
};

struct conn
{
  struct side sides[2];
};

static struct
{
  struct event_base *base;
  struct sockaddr_in target;
  struct conn *conns[CONNS_MAX];
  enum mode mode;
} proxy;

static int
is_stalled (const struct side *side)
{
  return proxy.mode == MODE_STALL
         || (proxy.mode == MODE_STALL_INBOUND && side->to_target);
}

static void
conn_close (struct conn *conn, int reset)
{
  const struct linger immediate = { .l_onoff = 1, .l_linger = 0 };

  for (int i = 0; i < CONNS_MAX; i++)
    if (proxy.conns[i] == conn)
      proxy.conns[i] = NULL;
  for (int i = 0; i < 2; i++)
    {
      struct side *side = &conn->sides[i];

      if (reset)
        setsockopt (bufferevent_getfd (side->bev), SOL_SOCKET, SO_LINGER,
                    &immediate, sizeof immediate);
      bufferevent_free (side->bev);
      event_free (side->timer);
    }
  free (conn);
}

static struct conn *
conn_of (struct side *side)
{
  return (struct conn *)(side->to_target ? side : side->peer);
}

/* Moves buffered input to the peer; closes both sides once drained at EOF. */
static void
forward (struct side *side)
{
  bufferevent_write_buffer (side->peer->bev, bufferevent_get_input (side->bev));
  if (side->closed
      && evbuffer_get_length (bufferevent_get_output (side->peer->bev)) == 0)
    conn_close (conn_of (side), 0);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  struct side *side = data;

  (void)fd;
  (void)what;
  if (!is_stalled (side))
    forward (side);
}

static void
on_read (struct bufferevent *bev, void *data)
{
  const struct timeval delay = { .tv_usec = DELAY_US };
  struct side *side = data;

  (void)bev;
  if (is_stalled (side))
    return;
  if (proxy.mode != MODE_DELAY)
    forward (side);
  else if (!event_pending (side->timer, EV_TIMEOUT, NULL))
    event_add (side->timer, &delay);
}

/* Output is flushed; closes the connection if the peer has closed. */
static void
on_write (struct bufferevent *bev, void *data)
{
  struct side *side = data;

  (void)bev;
  if (side->peer->closed && !is_stalled (side->peer))
    conn_close (conn_of (side), 0);
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  struct side *side = data;

  (void)bev;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  side->closed = 1;
  if ((what & BEV_EVENT_ERROR) && !is_stalled (side))
    conn_close (conn_of (side), 1);
  else if (!is_stalled (side))
    forward (side);
}

static void
side_init (struct side *side, struct side *peer, int fd, int to_target)
{
  side->bev = bufferevent_socket_new (proxy.base, fd, BEV_OPT_CLOSE_ON_FREE);
  side->peer = peer;
  side->to_target = to_target;
  side->timer = event_new (proxy.base, -1, 0, on_timer, side);
  bufferevent_setcb (side->bev, on_read, on_write, on_event, side);
  bufferevent_enable (side->bev, EV_READ | EV_WRITE);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int bytes,
           void *data)
{
  struct sockaddr_in target = proxy.target;
  struct conn *conn = NULL;

  (void)listener;
  (void)address;
  (void)bytes;
  target.sin_port = htons ((uint16_t)GPOINTER_TO_UINT (data));
  for (int i = 0; i < CONNS_MAX && conn == NULL; i++)
    if (proxy.conns[i] == NULL)
      proxy.conns[i] = conn = calloc (1, sizeof *conn);
  if (conn == NULL)
    {
      evutil_closesocket (fd);
      return;
    }
  side_init (&conn->sides[0], &conn->sides[1], fd, 1);
  side_init (&conn->sides[1], &conn->sides[0], -1, 0);
  bufferevent_socket_connect (conn->sides[1].bev, (struct sockaddr *)&target,
                              sizeof target);
}

static void
for_each_conn (void (*act) (struct conn *conn))
{
  for (int i = 0; i < CONNS_MAX; i++)
    if (proxy.conns[i] != NULL)
      act (proxy.conns[i]);
}

static void
reset_conn (struct conn *conn)
{
  conn_close (conn, 1);
}

static void
flush_to_target (struct conn *conn)
{
  forward (&conn->sides[0]);
}

static void
flush_to_client (struct conn *conn)
{
  forward (&conn->sides[1]);
}

static void
on_command (struct evhttp_request *request, void *data)
{
  static const char *const modes[]
      = { [MODE_PASS] = "/pass",
          [MODE_DELAY] = "/delay",
          [MODE_STALL] = "/stall",
          [MODE_STALL_INBOUND] = "/stall-inbound" };
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  (void)data;
  for (int i = 0; i <= MODE_STALL_INBOUND; i++)
    if (strcmp (path, modes[i]) == 0)
      proxy.mode = (enum mode)i;
  if (strcmp (path, "/reset") == 0)
    for_each_conn (reset_conn);
  if (strcmp (path, "/pass") == 0)
    {
      for_each_conn (flush_to_target);
      for_each_conn (flush_to_client);
    }
  evhttp_send_reply (request, 200, "OK", NULL);
}

static int
open_control (void)
{
  struct evhttp *http = evhttp_new (proxy.base);
  struct sockaddr_in address;
  socklen_t bytes = sizeof address;
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);

  if (bound == NULL)
    return 0;
  evhttp_set_gencb (http, on_command, NULL);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &bytes);
  printf ("%u\n", ntohs (address.sin_port));
  fflush (stdout);
  return 1;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  signal (SIGPIPE, SIG_IGN);
  proxy.base = event_base_new ();
  proxy.target.sin_family = AF_INET;
  if (argc < 4 || inet_pton (AF_INET, argv[1], &address.sin_addr) != 1
      || inet_pton (AF_INET, argv[2], &proxy.target.sin_addr) != 1)
    return 64;
  for (int i = 3; i < argc; i++)
    {
      unsigned port = (unsigned)atoi (argv[i]);

      address.sin_port = htons ((uint16_t)port);
      if (evconnlistener_new_bind (
              proxy.base, on_accept, GUINT_TO_POINTER (port),
              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 256,
              (struct sockaddr *)&address, sizeof address)
          == NULL)
        return 1;
    }
  if (!open_control ())
    return 1;
  event_base_dispatch (proxy.base);
  return 0;
}
