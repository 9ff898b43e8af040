#include "http/upstream.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

/*
 * Watches the output buffer of a connection.  evhttp fills it right before it
 * writes, after a connect that may have taken long, so this is the last point
 * at which a late call can be stopped: with the sending side shut down before
 * the first byte, the write fails and the upstream has certainly got nothing.
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
  if (info->n_added > 0 && conn->sent_bytes == 0 && !conn->late
      && eel_clock_us () >= conn->call->deadline_us)
    {
      struct bufferevent *bev
          = evhttp_connection_get_bufferevent (conn->evhttp);

      conn->late = 1;
      shutdown (bufferevent_getfd (bev), SHUT_RDWR);
    }
  conn->sent_bytes += info->n_deleted;
}

/* Opens the socket's side of a pool place; the connect is done by a request. */
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
  upstream->open_count++;
  eel_metric_add (upstream->metrics.opened, 1);
  eel_metric_set (upstream->metrics.connections, upstream->open_count);
  return 1;
}

/* Takes the idle place used last, so that the others can age out. */
struct upstream_conn *
upstream_conn_take (struct eel_upstream *upstream)
{
  struct upstream_conn *conn = upstream->idle;

  if (conn != NULL)
    upstream->idle = conn->next_idle;
  return conn;
}

/* Gives a place back; a doomed one follows when its connection is freed. */
void
upstream_conn_give_back (struct upstream_conn *conn)
{
  if (conn->doomed)
    return;
  conn->next_idle = conn->upstream->idle;
  conn->upstream->idle = conn;
}

/* Returns the place that carries a call, or NULL. */
struct upstream_conn *
upstream_conn_find (struct eel_upstream *upstream, uint64_t call_id)
{
  for (uint32_t i = 0; i < upstream->conn_max; i++)
    if (upstream->conns[i].call != NULL
        && upstream->conns[i].call_id == call_id)
      return &upstream->conns[i];
  return NULL;
}

/* Has a connection freed from the loop, outside of evhttp's callbacks. */
void
upstream_conn_doom (struct upstream_conn *conn)
{
  conn->doomed = 1;
  event_active (conn->upstream->reaper, EV_TIMEOUT, 0);
}

static void
close_conn (struct upstream_conn *conn)
{
  struct eel_upstream *upstream = conn->upstream;

  evhttp_connection_free (conn->evhttp);
  conn->evhttp = NULL;
  conn->doomed = 0;
  upstream->open_count--;
  eel_metric_set (upstream->metrics.connections, upstream->open_count);
}

/*
 * Closes an idle connection that the upstream has closed, or on which it has
 * sent something, before a request is put on it: the event may still wait in
 * the loop, and a request sent now would end as broken.
 */
void
upstream_conn_check (struct upstream_conn *conn)
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

/* Frees doomed connections and those unused for long. */
void
upstream_conn_reap (struct eel_upstream *upstream)
{
  int64_t now_us = eel_clock_us ();

  for (uint32_t i = 0; i < upstream->conn_max; i++)
    {
      struct upstream_conn *conn = &upstream->conns[i];

      if (conn->evhttp == NULL || conn->call != NULL)
        continue;
      if (conn->doomed)
        {
          close_conn (conn);
          upstream_conn_give_back (conn);
        }
      else if (now_us - conn->used_us > UPSTREAM_IDLE_US)
        close_conn (conn);
    }
}
