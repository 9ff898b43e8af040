#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>

#include "eelgrasslatch/types.h"
#include "internal/task.h"
#include "relay/conn.h"

/* Ends of connections that cut an answer off. */

size_t
eel_conn_unsent_bytes (const struct eel_conn *conn)
{
  return evbuffer_get_length (bufferevent_get_output (conn->bev));
}

static void
report_cut (struct eel_conn *conn, const char *reason)
{
  conn->server->cut++;
  g_message ("event=answer_cut server=%s unsent_bytes=%zu open=%u "
             "after_ms=%" G_GINT64_FORMAT " reason=\"%s\"",
             conn->server->ops->name, eel_conn_unsent_bytes (conn), conn->count,
             (eel_clock_us () - conn->phase_start_us) / EEL_US_PER_MS, reason);
}

void
eel_conn_cut (struct eel_conn *conn, const char *reason)
{
  if (eel_conn_unsent_bytes (conn) > 0)
    report_cut (conn, reason);
  eel_conn_close (conn);
}

void
eel_conn_lost (struct eel_conn *conn, int error)
{
  const char *reason = error == 0 ? "closed by the peer"
                                  : evutil_socket_error_to_string (error);

  /* A part of the answer may have been in the kernel. */
  if (error == ETIMEDOUT && eel_conn_unsent_bytes (conn) == 0)
    report_cut (conn, reason);
  eel_conn_cut (conn, reason);
}
