#include "relay/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "eelgrasslatch/types.h"
#include "internal/task.h"
#include "relay/conn.h"

/* In force until the first configuration arrives. */
#define DEFAULT_HEAD_BYTES_MAX 16384
#define DEFAULT_BODY_BYTES_MAX (64 * 1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT_US (5 * EEL_US_PER_S)
#define DEFAULT_IDLE_TIMEOUT_US (30 * EEL_US_PER_S)
#define DEFAULT_CONNS_MAX 3000
#define LISTEN_BACKLOG 1024
/* A peer that has received its last answer closes within a round trip. */
#define LINGER_TIMEOUT_US (1 * EEL_US_PER_S)
/* Beyond the deadline of an answer, and since it was complete here. */
#define UNREAD_TIMEOUT_US (1 * EEL_US_PER_S)
/* A peer that acknowledges nothing for this long can't be reached. */
#define UNREACHABLE_US (4 * EEL_US_PER_S)
/* A caller sends its request within a round trip after it has connected, and
   the rest of a head that it has begun soon after. */
#define REQUEST_EXPECTED_US (200 * EEL_US_PER_MS)
#define HEAD_EXPECTED_US (1 * EEL_US_PER_S)

/* Closes the connection that has been idle for longest, so that a new caller is
   not turned away for one that may never come back; 0 when none is idle. */
static int
make_room (struct eel_server *server)
{
  struct eel_conn *oldest = NULL;

  for (struct eel_conn *conn = server->conns; conn != NULL; conn = conn->next)
    if (conn->count == 0 && !conn->reader.started
        && eel_conn_unsent_bytes (conn) == 0
        && (oldest == NULL || conn->phase_start_us < oldest->phase_start_us))
      oldest = conn;
  if (oldest == NULL)
    return 0;
  server->displaced++;
  eel_conn_close (oldest);
  return 1;
}

/* Reports connections that were turned away or displaced at the limit. */
static void
log_limit (struct eel_server *server)
{
  uint64_t at_limit = server->refused + server->displaced;

  if (at_limit == server->limit_logged)
    return;
  g_message ("event=connection_limit server=%s limit=%u refused=%" PRIu64
             " displaced=%" PRIu64,
             server->ops->name, server->max_conns, server->refused,
             server->displaced);
  server->limit_logged = at_limit;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int bytes,
           void *data)
{
  struct eel_server *server = data;

  (void)listener;
  (void)address;
  (void)bytes;
  if (server->conn_count >= server->max_conns && !make_room (server))
    {
      server->refused++;
      evutil_closesocket (fd);
      return;
    }
  server->accepted++;
  eel_conn_open (server, fd);
}

/* Returns 0 when the address can't be bound. */
int
eel_server_init (struct eel_server *server,
                 struct event_base *base,
                 const struct sockaddr_in *address,
                 const struct eel_server_ops *ops,
                 void *owner)
{
  memset (server, 0, sizeof *server);
  server->base = base;
  server->ops = ops;
  server->owner = owner;
  server->max_conns = DEFAULT_CONNS_MAX;
  server->limits = (struct eel_server_limits){ DEFAULT_HEAD_BYTES_MAX,
                                               DEFAULT_BODY_BYTES_MAX,
                                               DEFAULT_HEAD_TIMEOUT_US,
                                               DEFAULT_IDLE_TIMEOUT_US };
  server->listener = evconnlistener_new_bind (
      base, on_accept, server, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (const struct sockaddr *)address, sizeof *address);
  return server->listener != NULL;
}

void
eel_server_stop (struct eel_server *server)
{
  if (server->listener != NULL)
    evconnlistener_free (server->listener);
  server->listener = NULL;
}

static void
free_closed (struct eel_server *server)
{
  eel_exchange_free_released (server);
  while (server->closed != NULL)
    {
      struct eel_conn *conn = server->closed;

      server->closed = conn->next;
      eel_conn_free (conn);
    }
}

/* Closes the listener and every connection; reports open exchanges as
   disconnected. */
void
eel_server_finish (struct eel_server *server)
{
  eel_server_stop (server);
  while (server->conns != NULL)
    eel_conn_close (server->conns);
  free_closed (server);
}

/* Returns why an answer that is not written to the socket must be given up, or
   NULL.  A peer that reads slowly keeps its connection until the deadline. */
static const char *
reason_to_cut (struct eel_conn *conn, int64_t now_us)
{
  if (eel_socket_is_unreachable (&conn->watch, bufferevent_getfd (conn->bev),
                                 UNREACHABLE_US, now_us))
    return "peer is unreachable";
  if (conn->count == 0 && now_us - conn->phase_start_us > UNREAD_TIMEOUT_US
      && now_us - conn->answer_deadline_us > UNREAD_TIMEOUT_US)
    return "not read by the deadline";
  return NULL;
}

static int
is_overdue (const struct eel_conn *conn, int64_t now_us)
{
  const struct eel_server_limits *limits = &conn->server->limits;
  int64_t limit_us = conn->reader.started ? limits->head_timeout_us
                                          : limits->idle_timeout_us;

  if (conn->lingering)
    limit_us = LINGER_TIMEOUT_US;
  /* The rest of a request that has its answer. */
  if (conn->first != NULL && conn->first->answer_done)
    return now_us - conn->last_read_us > limits->head_timeout_us
           && now_us - conn->first->answered_us > limits->head_timeout_us;
  return conn->count == 0 && now_us - conn->phase_start_us > limit_us;
}

void
eel_server_sweep (struct eel_server *server, int64_t now_us)
{
  struct eel_conn *conn = server->conns;

  free_closed (server);
  log_limit (server);
  while (conn != NULL)
    {
      struct eel_conn *next = conn->next;
      int unsent = eel_conn_unsent_bytes (conn) > 0;
      const char *reason = unsent ? reason_to_cut (conn, now_us) : NULL;

      if (reason != NULL)
        eel_conn_cut (conn, reason);
      else if (!unsent && is_overdue (conn, now_us))
        eel_conn_close (conn);
      conn = next;
    }
}

void
eel_server_visit_open (const struct eel_server *server,
                       void (*visit) (const struct eel_exchange *exchange,
                                      void *data),
                       void *data)
{
  for (const struct eel_conn *conn = server->conns; conn != NULL;
       conn = conn->next)
    for (const struct eel_exchange *exchange = conn->first; exchange != NULL;
         exchange = exchange->next)
      if (exchange->state != NULL)
        visit (exchange, data);
}

/* Ends one of the exchanges; 0 when none is left that end takes. */
static int
end_one (const struct eel_server *server,
         int (*end) (struct eel_exchange *exchange))
{
  for (struct eel_conn *conn = server->conns; conn != NULL; conn = conn->next)
    for (struct eel_exchange *exchange = conn->first; exchange != NULL;
         exchange = exchange->next)
      if (exchange->state != NULL && end (exchange))
        return 1;
  return 0;
}

/* Searches from the start each time, since end may close connections. */
void
eel_server_each_open (struct eel_server *server,
                      int (*end) (struct eel_exchange *exchange))
{
  while (end_one (server, end))
    ;
}

/* True when a request is open or expected, or an answer is being sent. */
static int
is_busy (const struct eel_conn *conn, int64_t now_us)
{
  int64_t age_us = now_us - conn->phase_start_us;

  if (conn->count > 0 || eel_conn_unsent_bytes (conn) > 0)
    return 1;
  if (conn->lingering || conn->closing)
    return 0;
  return age_us
         < (conn->reader.started ? HEAD_EXPECTED_US : REQUEST_EXPECTED_US);
}

/* True when no request is open or expected and all output is written to the
   sockets. */
int
eel_server_is_idle (const struct eel_server *server)
{
  int64_t now_us = eel_clock_us ();
  const struct eel_conn *conn;

  for (conn = server->conns; conn != NULL; conn = conn->next)
    if (is_busy (conn, now_us))
      return 0;
  return 1;
}

/* Keeps connections on which a request is open or expected, or an answer is
   being sent, and those that linger. */
void
eel_server_close_idle (struct eel_server *server)
{
  struct eel_conn *conn = server->conns;
  int64_t now_us = eel_clock_us ();

  while (conn != NULL)
    {
      struct eel_conn *next = conn->next;

      if (!is_busy (conn, now_us) && !conn->lingering)
        eel_conn_close (conn);
      conn = next;
    }
}
