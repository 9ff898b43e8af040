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
 * Stand-in of a network path: forwards connections, and harms them on order.
 * Arguments: LISTEN_IP TARGET_IP PORT...; prints the port for orders.  Orders
 * over HTTP: /pass, /delay (300 ms a piece), /silence, /inbound (bytes to the
 * target are held), /reset (what is open now).
 */

#define CONNS_MAX 512
#define DELAY_US 300000

enum mode
{
  MODE_PASS,
  MODE_DELAY,
  MODE_SILENCE,
  MODE_INBOUND
};

/* Two ends; each has its own direction of bytes. */
struct end
{
  struct bufferevent *bev;
  struct end *other;
  struct event *timer;
  int to_target;
  int ended;
};

struct conn
{
  struct end ends[2];
};

static struct
{
  struct event_base *base;
  struct sockaddr_in target;
  struct conn *conns[CONNS_MAX];
  enum mode mode;
} proxy;

static int
holds (const struct end *end)
{
  return proxy.mode == MODE_SILENCE
         || (proxy.mode == MODE_INBOUND && end->to_target);
}

static void
conn_close (struct conn *conn, int reset)
{
  const struct linger now = { .l_onoff = 1, .l_linger = 0 };

  for (int i = 0; i < CONNS_MAX; i++)
    if (proxy.conns[i] == conn)
      proxy.conns[i] = NULL;
  for (int i = 0; i < 2; i++)
    {
      struct end *end = &conn->ends[i];

      if (reset)
        setsockopt (bufferevent_getfd (end->bev), SOL_SOCKET, SO_LINGER, &now,
                    sizeof now);
      bufferevent_free (end->bev);
      event_free (end->timer);
    }
  free (conn);
}

static struct conn *
conn_of (struct end *end)
{
  return (struct conn *)(end->to_target ? end : end->other);
}

/* Moves what has arrived at an end to the other one. */
static void
forward (struct end *end)
{
  bufferevent_write_buffer (end->other->bev, bufferevent_get_input (end->bev));
  if (end->ended
      && evbuffer_get_length (bufferevent_get_output (end->other->bev)) == 0)
    conn_close (conn_of (end), 0);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  struct end *end = data;

  (void)fd;
  (void)what;
  if (!holds (end))
    forward (end);
}

static void
on_read (struct bufferevent *bev, void *data)
{
  const struct timeval delay = { .tv_usec = DELAY_US };
  struct end *end = data;

  (void)bev;
  if (holds (end))
    return;
  if (proxy.mode != MODE_DELAY)
    forward (end);
  else if (!event_pending (end->timer, EV_TIMEOUT, NULL))
    event_add (end->timer, &delay);
}

/* The last bytes have left: an end that has ended takes the other along. */
static void
on_write (struct bufferevent *bev, void *data)
{
  struct end *end = data;

  (void)bev;
  if (end->other->ended && !holds (end->other))
    conn_close (conn_of (end), 0);
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  struct end *end = data;

  (void)bev;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  end->ended = 1;
  if ((what & BEV_EVENT_ERROR) && !holds (end))
    conn_close (conn_of (end), 1);
  else if (!holds (end))
    forward (end);
}

static void
end_init (struct end *end, struct end *other, int fd, int to_target)
{
  end->bev = bufferevent_socket_new (proxy.base, fd, BEV_OPT_CLOSE_ON_FREE);
  end->other = other;
  end->to_target = to_target;
  end->timer = event_new (proxy.base, -1, 0, on_timer, end);
  bufferevent_setcb (end->bev, on_read, on_write, on_event, end);
  bufferevent_enable (end->bev, EV_READ | EV_WRITE);
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
  end_init (&conn->ends[0], &conn->ends[1], fd, 1);
  end_init (&conn->ends[1], &conn->ends[0], -1, 0);
  bufferevent_socket_connect (conn->ends[1].bev, (struct sockaddr *)&target,
                              sizeof target);
}

static void
each_conn (void (*act) (struct conn *conn))
{
  for (int i = 0; i < CONNS_MAX; i++)
    if (proxy.conns[i] != NULL)
      act (proxy.conns[i]);
}

static void
reset (struct conn *conn)
{
  conn_close (conn, 1);
}

static void
release (struct conn *conn)
{
  forward (&conn->ends[0]);
}

static void
release_back (struct conn *conn)
{
  forward (&conn->ends[1]);
}

static void
on_order (struct evhttp_request *request, void *data)
{
  static const char *const modes[] = { [MODE_PASS] = "/pass",
                                       [MODE_DELAY] = "/delay",
                                       [MODE_SILENCE] = "/silence",
                                       [MODE_INBOUND] = "/inbound" };
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  (void)data;
  for (int i = 0; i <= MODE_INBOUND; i++)
    if (strcmp (path, modes[i]) == 0)
      proxy.mode = (enum mode)i;
  if (strcmp (path, "/reset") == 0)
    each_conn (reset);
  if (strcmp (path, "/pass") == 0)
    {
      each_conn (release);
      each_conn (release_back);
    }
  evhttp_send_reply (request, 200, "OK", NULL);
}

static int
open_orders (void)
{
  struct evhttp *http = evhttp_new (proxy.base);
  struct sockaddr_in address;
  socklen_t bytes = sizeof address;
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);

  if (bound == NULL)
    return 0;
  evhttp_set_gencb (http, on_order, NULL);
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
  if (!open_orders ())
    return 1;
  event_base_dispatch (proxy.base);
  return 0;
}
