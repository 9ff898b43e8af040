#include "node.h"

#include <glib.h>
#include <string.h>

/* Lets the sockets flush the last answers before the loop exits. */
#define EXIT_DELAY_US (100 * EEL_US_PER_MS)

/* Refuses runs not yet sent to the upstream, so that they are rerouted. */
static void
refuse_queued_runs (struct eel_node *node, enum eel_error kind)
{
  for (uint32_t i = 0; i < node->runs.capacity && node->runs.used > 0; i++)
    {
      struct node_run *run = node_table_at (&node->runs, i);

      if (run != NULL && run->state != NODE_RUN_RUNNING)
        node_run_refuse (node, run, kind);
    }
}

static void
announce_drain_state (struct eel_node *node, int leaving, const char *reason)
{
  node_audit (node, EEL_AUDIT_DRAIN, leaving ? "serving" : "leaving",
              leaving ? "leaving" : "serving", "self", reason);
  if (leaving)
    refuse_queued_runs (node, EEL_ERROR_LEAVING);
  node_gossip_announce_leaving (node, leaving);
  node->members_version = 0;
  node_members_refresh (node);
}

/*
 * Starts a planned stop: new runs are not accepted, queued ones are refused so
 * that they are rerouted, and running ones complete.
 */
void
node_drain_start (struct eel_node *node)
{
  struct eel_msg msg = { .kind = EEL_MSG_DRAIN };

  if (node->draining)
    return;
  node->draining = 1;
  node->drain_started_us = node->now_us;
  announce_drain_state (node, 1, "planned stop");
  if (!node_post (node, node->out.front, &msg))
    node->front_drained = 1;
}

static void
exit_timer_fired (evutil_socket_t fd, short what, void *data)
{
  struct eel_node *node = data;

  (void)fd;
  (void)what;
  event_base_loopexit (node->base, NULL);
}

static void
schedule_exit (struct eel_node *node)
{
  struct eel_msg msg = { .kind = EEL_MSG_DRAINED };
  struct timeval delay = { 0, EXIT_DELAY_US };

  node->exiting = 1;
  g_message ("event=drained drain_ms=%" G_GINT64_FORMAT,
             (node->now_us - node->drain_started_us) / EEL_US_PER_MS);
  node_post (node, node->out.front, &msg);
  node->exit_timer = evtimer_new (node->base, exit_timer_fired, node);
  if (node->exit_timer == NULL || evtimer_add (node->exit_timer, &delay) != 0)
    event_base_loopexit (node->base, NULL);
}

/* Exits the loop when the drain is complete or drain_ms has elapsed. */
void
node_drain_check (struct eel_node *node)
{
  int64_t drain_us = node->settings.drain_ms * EEL_US_PER_MS;
  int open = node->requests.used > 0 || node->runs.used > 0
             || node->orders.used > 0 || !node->front_drained;

  if (!node->draining || node->exiting)
    return;
  if (open && node->now_us - node->drain_started_us >= drain_us)
    {
      g_warning ("drain_ms elapsed with %u requests and %u runs open",
                 node->requests.used, node->runs.used);
      open = 0;
    }
  if (!open)
    schedule_exit (node);
}

/*
 * Handles a change of the upstream's state.  While the upstream drains, this
 * node leaves as an executor but remains entry and decider; it executes again
 * when a restarted upstream is up.
 */
void
node_upstream_set_state (struct eel_node *node, enum eel_upstream_state state)
{
  enum eel_upstream_state before = node->upstream_state;

  node->upstream_state = state;
  if (state == EEL_UPSTREAM_DRAINING && !node->upstream_leaving)
    {
      node->upstream_leaving = 1;
      if (!node->draining)
        announce_drain_state (node, 1, "the upstream is draining");
    }
  if (state == EEL_UPSTREAM_UP && node->upstream_leaving)
    {
      node->upstream_leaving = 0;
      if (!node->draining)
        announce_drain_state (node, 0, "the upstream is up again");
    }
  if (state == EEL_UPSTREAM_DOWN && before != EEL_UPSTREAM_DOWN)
    refuse_queued_runs (node, EEL_ERROR_NO_ENDPOINT);
}
