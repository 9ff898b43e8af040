#include "node.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Records checked for expiry per tick. */
#define EXPIRE_SCAN_MAX 128
#define ROLE_UPDATE_TICKS 100

static void
platform_message (struct eel_node *node, const struct eel_msg *msg)
{
  if (msg->kind == EEL_MSG_PLATFORM_STATE)
    {
      node->platform_up = msg->value != 0;
      node->platform_answered |= node->platform_up;
      return;
    }
  node->platform_answered = 1;
  if (msg->body.data == NULL)
    return;
  if (msg->kind == EEL_MSG_DOCUMENT)
    node_config_offer (node, msg->body.data, msg->body.bytes, "platform");
  else
    node_vms_merge (node, msg->body.data, msg->body.bytes);
}

/*
 * Updates now_us.  A gap of over NODE_PAUSE_MIN_US since the last iteration of
 * the loop means that the process was paused and its state of peers is stale.
 */
static void
update_clock (struct eel_node *node)
{
  node->now_us = eel_clock_us ();
  if (node->now_us - node->last_iteration_us > NODE_PAUSE_MIN_US)
    node_peers_mark_stale (node);
  node->last_iteration_us = node->now_us;
}

static void
peer_message (struct eel_node *node, struct eel_msg *msg)
{
  struct eel_wire_message *wire = msg->wire;

  msg->wire = NULL;
  if (wire == NULL)
    return;
  node_peer_received (node, wire);
  eel_wire_free (wire);
}

static void
handle_inbox_message (void *task, struct eel_msg *msg)
{
  struct eel_node *node = task;

  update_clock (node);
  switch (msg->kind)
    {
    case EEL_MSG_CALL:
      node_entry_call (node, msg);
      break;
    case EEL_MSG_CANCEL:
      node_entry_cancel (node, msg->call_id);
      break;
    case EEL_MSG_KEYS:
      node_entry_keys (node, msg);
      break;
    case EEL_MSG_RUN_DONE:
      node_run_done (node, msg);
      break;
    case EEL_MSG_UPSTREAM_STATE:
      node_upstream_set_state (node, (enum eel_upstream_state)msg->value);
      break;
    case EEL_MSG_PEER_RECEIVED:
      peer_message (node, msg);
      break;
    case EEL_MSG_PEER_UNSENT:
      if (msg->wire != NULL)
        node_send_unsent (node, msg->wire, (uint32_t)msg->value);
      break;
    case EEL_MSG_DOCUMENT:
    case EEL_MSG_VM_LIST:
    case EEL_MSG_PLATFORM_STATE:
      platform_message (node, msg);
      break;
    case EEL_MSG_QUERY:
      node_query (node, msg);
      break;
    case EEL_MSG_DRAIN:
      node_drain_start (node);
      break;
    case EEL_MSG_DRAINED:
      node->front_drained = 1;
      break;
    default:
      break;
    }
}

static void
update_role (struct eel_node *node)
{
  struct eel_msg msg = { .kind = EEL_MSG_PLATFORM_ROLE };
  int reader;

  /* Ranking every member is costly, so it is done once per second. */
  if (node->ticks % ROLE_UPDATE_TICKS != 0 || node->out.platform == NULL)
    return;
  reader = eel_membership_is_reader (&node->membership,
                                     node->settings.readers_per_domain);
  if (reader == node->reader)
    return;
  msg.value = (uint64_t)reader;
  if (node_post (node, node->out.platform, &msg))
    node->reader = (uint8_t)reader;
}

static void
update_gauges (struct eel_node *node)
{
  struct eel_load load;

  eel_admission_load (&node->admission, &load);
  eel_metric_set (node->metrics.in_flight, load.in_flight);
  eel_metric_set (node->metrics.queued, load.queued);
  eel_metric_set (node->metrics.limit, load.limit);
}

static void
tick (evutil_socket_t fd, short what, void *data)
{
  struct eel_node *node = data;

  (void)fd;
  (void)what;
  update_clock (node);
  node_run_start_queued (node);
  node_suspect_tick (node);
  node_order_tick (node);
  node_gossip_tick (node);
  node_send_sweep (node);
  eel_decider_expire (&node->coordinator.decider, node->now_us,
                      EXPIRE_SCAN_MAX);
  eel_executor_expire (&node->executor, node->now_us, EXPIRE_SCAN_MAX);
  update_role (node);
  node->ticks++;
  update_gauges (node);
  node_drain_check (node);
}

static int
start_tick (struct eel_node *node)
{
  struct timeval every = { 0, NODE_TICK_US };

  node->tick = event_new (node->base, -1, EV_PERSIST, tick, node);
  return node->tick != NULL && event_add (node->tick, &every) == 0;
}

/* Returns the node task, or NULL when out of memory. */
struct eel_node *
eel_node_new (struct event_base *base,
              const struct eel_settings *settings,
              uint64_t incarnation,
              struct eel_metrics *metrics,
              struct eel_audit *audit)
{
  struct eel_node *node = calloc (1, sizeof *node);

  if (node == NULL)
    return NULL;
  node->base = base;
  node->settings = *settings;
  node->incarnation = incarnation;
  node->audit = audit;
  node->now_us = eel_clock_us ();
  node->last_iteration_us = node->now_us;
  node->started_us = node->now_us;
  if (eel_mailbox_init (&node->inbox, base, EEL_MAILBOX_CAPACITY,
                        handle_inbox_message, node)
      && node_setup (node, metrics) && start_tick (node))
    return node;
  g_warning ("no memory for the node's tables");
  eel_node_free (node);
  return NULL;
}

/* Returns the mailbox that other tasks post to. */
struct eel_mailbox *
eel_node_inbox (struct eel_node *node)
{
  return &node->inbox;
}

/* Sets the other tasks' inboxes, NULL for an absent one, and joins. */
void
eel_node_connect (struct eel_node *node, const struct eel_node_outputs *outputs)
{
  node->out = *outputs;
  node->now_us = eel_clock_us ();
  node_gossip_join (node);
}

/* Frees the task; open calls get no answer. */
void
eel_node_free (struct eel_node *node)
{
  if (node == NULL)
    return;
  if (node->tick != NULL)
    event_free (node->tick);
  if (node->exit_timer != NULL)
    event_free (node->exit_timer);
  node_teardown (node);
  eel_mailbox_finish (&node->inbox);
  free (node);
}
