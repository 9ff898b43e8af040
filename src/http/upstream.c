#include "http/upstream.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "http/fields.h"

static void
register_metrics (struct eel_upstream *upstream, struct eel_metrics *metrics)
{
  static const char *const results[UPSTREAM_RESULT_COUNT] = {
    [EEL_RUN_ANSWERED] = "answered",   [EEL_RUN_NOT_SENT] = "not_sent",
    [EEL_RUN_REFUSED] = "refused",     [EEL_RUN_BROKEN] = "broken",
    [EEL_RUN_TIMED_OUT] = "timed_out", [EEL_RUN_CANCELLED] = "cancelled",
  };
  struct upstream_metrics *own = &upstream->metrics;
  char labels[EEL_METRIC_LABELS_MAX];

  for (int i = 0; i < UPSTREAM_RESULT_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "result=\"%s\"", results[i]);
      own->runs[i] = eel_metrics_get (metrics, EEL_METRIC_COUNTER,
                                      "eel_upstream_runs_total", labels,
                                      "Requests to the own upstream.");
    }
  own->connections = eel_metrics_get (
      metrics, EEL_METRIC_GAUGE, "eel_upstream_connections", "",
      "Connections to the own upstream, without the health read's.");
  own->opened = eel_metrics_get (metrics, EEL_METRIC_COUNTER,
                                 "eel_upstream_opened_total", "",
                                 "Connections opened to the own upstream.");
  own->in_flight
      = eel_metrics_get (metrics, EEL_METRIC_GAUGE, "eel_upstream_in_flight",
                         "", "Requests that the own upstream runs.");
  own->malformed = eel_metrics_get (metrics, EEL_METRIC_COUNTER,
                                    "eel_upstream_malformed_total", "",
                                    "Answers that are malformed or too large.");
  own->latency
      = eel_metrics_get (metrics, EEL_METRIC_HISTOGRAM, "eel_upstream_latency",
                         "", "Time of answered upstream requests.");
}

static void
handle_message (void *task, struct eel_msg *msg)
{
  if (msg->kind == EEL_MSG_RUN)
    upstream_run_start (task, msg);
  else if (msg->kind == EEL_MSG_RUN_CANCEL)
    upstream_run_cancel (task, msg->call_id);
}

static void
reap (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  upstream_conn_reap (data);
}

/* Reserves one connection for health checks if the settings allow two. */
static uint32_t
pool_size (const struct eel_settings *settings)
{
  uint32_t connections = settings->upstream_connections > 1
                             ? settings->upstream_connections - 1
                             : 1;

  return settings->upstream_slots < connections ? settings->upstream_slots
                                                : connections;
}

static int
create_pool (struct eel_upstream *upstream)
{
  upstream->conns = calloc (upstream->conn_max, sizeof *upstream->conns);
  if (upstream->conns == NULL)
    return 0;
  for (uint32_t i = 0; i < upstream->conn_max; i++)
    {
      struct upstream_conn *conn = &upstream->conns[i];

      conn->upstream = upstream;
      upstream_conn_release (conn);
      conn->timeout = evtimer_new (upstream->base, upstream_run_timeout, conn);
      if (conn->timeout == NULL)
        return 0;
    }
  return 1;
}

/* Creates the pool, which opens connections on demand; NULL on failure. */
struct eel_upstream *
eel_upstream_new (struct event_base *base,
                  const struct eel_settings *settings,
                  struct eel_metrics *metrics)
{
  struct eel_upstream *upstream = calloc (1, sizeof *upstream);

  if (upstream == NULL)
    return NULL;
  eel_http_ignore_sigpipe ();
  upstream->base = base;
  upstream->address = settings->upstream;
  upstream->state = -1;
  upstream->conn_max = pool_size (settings);
  snprintf (upstream->health_path, sizeof upstream->health_path, "%s",
            settings->upstream_health_path);
  register_metrics (upstream, metrics);
  upstream->reaper = event_new (base, -1, 0, reap, upstream);
  if (upstream->reaper != NULL && create_pool (upstream)
      && eel_mailbox_init (&upstream->inbox, base, EEL_MAILBOX_CAPACITY,
                           handle_message, upstream))
    return upstream;
  g_warning ("upstream: cannot start");
  eel_upstream_free (upstream);
  return NULL;
}

/* Returns the mailbox for runs and cancels. */
struct eel_mailbox *
eel_upstream_inbox (struct eel_upstream *upstream)
{
  return &upstream->inbox;
}

/* Sets the node's mailbox and starts the health checks. */
void
eel_upstream_connect (struct eel_upstream *upstream, struct eel_mailbox *node)
{
  upstream->node = node;
  if (!upstream_health_start (upstream))
    g_warning ("upstream: out of memory for health checks");
}

/*
 * Closes all connections and frees the task, without reporting open runs; NULL
 * is allowed.
 */
void
eel_upstream_free (struct eel_upstream *upstream)
{
  if (upstream == NULL)
    return;
  upstream_health_stop (upstream);
  for (uint32_t i = 0; upstream->conns != NULL && i < upstream->conn_max; i++)
    {
      struct upstream_conn *conn = &upstream->conns[i];

      eel_call_free (conn->call);
      conn->call = NULL;
      if (conn->evhttp != NULL)
        evhttp_connection_free (conn->evhttp);
      if (conn->timeout != NULL)
        event_free (conn->timeout);
      eel_reader_finish (&conn->check);
    }
  if (upstream->reaper != NULL)
    event_free (upstream->reaper);
  eel_mailbox_finish (&upstream->inbox);
  free (upstream->conns);
  free (upstream);
}
