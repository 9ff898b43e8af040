#include "http/upstream.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

/*
 * Output buffer callback: counts sent bytes and stops an expired call.  evhttp
 * fills the buffer right before it writes, after a connect that may have taken
 * long, so this is the last point at which the call can be stopped: with the
 * socket shut down before the first byte, the write fails and the upstream has
 * received nothing.
 */
static void
output_changed (struct evbuffer *buffer,
                const struct evbuffer_cb_info *info,
                void *data)
{
  struct upstream_conn *conn = data;

  (void)buffer;
  if (conn->call == NULL)
    return;
  if (info->n_added > 0 && conn->sent_bytes == 0 && !conn->expired
      && eel_clock_us () >= conn->call->deadline_us)
    {
      struct bufferevent *bev
          = evhttp_connection_get_bufferevent (conn->evhttp);

      conn->expired = 1;
      shutdown (bufferevent_getfd (bev), SHUT_RDWR);
    }
  conn->sent_bytes += info->n_deleted;
}

/*
 * Creates the evhttp connection of a pool entry; the first request connects it.
 */
int
upstream_conn_open (struct upstream_conn *conn)
{
  struct eel_upstream *upstream = conn->upstream;
  struct bufferevent *bev;

  conn->evhttp = evhttp_connection_base_new (
      upstream->base, NULL, upstream->address.host, upstream->address.port);
  if (conn->evhttp == NULL)
    return 0;
  evhttp_connection_set_retries (conn->evhttp, 0);
  evhttp_connection_set_max_headers_size (conn->evhttp, EEL_HEADER_BYTES_MAX);
  evhttp_connection_set_max_body_size (conn->evhttp, EEL_BODY_BYTES_MAX);
  bev = evhttp_connection_get_bufferevent (conn->evhttp);
  evbuffer_add_cb (bufferevent_get_output (bev), output_changed, conn);
  evbuffer_add_cb (bufferevent_get_input (bev), upstream_check_input, conn);
  upstream->open_count++;
  eel_metric_add (upstream->metrics.opened, 1);
  eel_metric_set (upstream->metrics.connections, upstream->open_count);
  return 1;
}

/*
 * Acquires the most recently used idle entry, so that the others reach their
 * idle time limit.  Returns NULL when none is idle.
 */
struct upstream_conn *
upstream_conn_acquire (struct eel_upstream *upstream)
{
  struct upstream_conn *conn = upstream->idle;

  if (conn != NULL)
    upstream->idle = conn->next_idle;
  return conn;
}

/*
 * Releases an entry to the idle list.  An entry whose close is pending is
 * released by the reaper, after its connection was freed.
 */
void
upstream_conn_release (struct upstream_conn *conn)
{
  if (conn->close_pending)
    return;
  conn->next_idle = conn->upstream->idle;
  conn->upstream->idle = conn;
}

/* Returns the entry that carries a call, or NULL. */
struct upstream_conn *
upstream_conn_find (struct eel_upstream *upstream, uint64_t call_id)
{
  for (uint32_t i = 0; i < upstream->conn_max; i++)
    if (upstream->conns[i].call != NULL
        && upstream->conns[i].call_id == call_id)
      return &upstream->conns[i];
  return NULL;
}

/*
 * Schedules the close of a connection from the loop, outside evhttp's
 * callbacks.
 */
void
upstream_conn_schedule_close (struct upstream_conn *conn)
{
  conn->close_pending = 1;
  event_active (conn->upstream->reaper, EV_TIMEOUT, 0);
}

static void
close_conn (struct upstream_conn *conn)
{
  struct eel_upstream *upstream = conn->upstream;

  evhttp_connection_free (conn->evhttp);
  conn->evhttp = NULL;
  conn->close_pending = 0;
  upstream->open_count--;
  eel_metric_set (upstream->metrics.connections, upstream->open_count);
}

/*
 * Closes an idle connection that the upstream has closed or has sent data on,
 * before it is used for a request: the event may still be pending in the loop,
 * and the request would end with EEL_RUN_BROKEN.
 */
void
upstream_conn_close_if_stale (struct upstream_conn *conn)
{
  struct bufferevent *bev;
  char byte;
  evutil_socket_t fd;

  if (conn->evhttp == NULL)
    return;
  bev = evhttp_connection_get_bufferevent (conn->evhttp);
  fd = bufferevent_getfd (bev);
  if (fd < 0 || recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
      || (errno != EAGAIN && errno != EWOULDBLOCK))
    close_conn (conn);
}

/*
 * Closes connections whose close is pending or whose idle time limit has
 * passed.
 */
void
upstream_conn_reap (struct eel_upstream *upstream)
{
  int64_t now_us = eel_clock_us ();

  for (uint32_t i = 0; i < upstream->conn_max; i++)
    {
      struct upstream_conn *conn = &upstream->conns[i];

      if (conn->evhttp == NULL || conn->call != NULL)
        continue;
      if (conn->close_pending)
        {
          close_conn (conn);
          upstream_conn_release (conn);
        }
      else if (now_us - conn->last_used_us > UPSTREAM_IDLE_TIMEOUT_US)
        close_conn (conn);
    }
}
