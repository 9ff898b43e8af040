#include "node.h"

#include <string.h>

#include "internal/hash.h"

/* Slots searched for a node before one of them is replaced. */
#define LOOKUP_WINDOW_SLOTS 16

static uint32_t
first_index (uint32_t id)
{
  return (uint32_t)eel_hash64 (&id, sizeof id, 0) % NODE_PEERS_MAX;
}

/* Returns the entry of a node, or NULL. */
struct node_peer *
node_peer_find (struct eel_node *node, uint32_t id)
{
  uint32_t at = first_index (id);

  for (uint32_t i = 0; i < LOOKUP_WINDOW_SLOTS; i++)
    {
      struct node_peer *peer = &node->peers[(at + i) % NODE_PEERS_MAX];

      if (peer->used && peer->node == id)
        return peer;
    }
  return NULL;
}

static int
replace_before (const struct node_peer *a, const struct node_peer *b)
{
  if (a->used != b->used)
    return !a->used;
  if (a->subset != b->subset)
    return !a->subset;
  return a->received_us < b->received_us;
}

/*
 * Returns the entry of a node, a new one if needed.  When its window is full,
 * the entry with the oldest message is replaced and counted, one outside the
 * subsets first.  The next message of the replaced node adds it again.
 */
struct node_peer *
node_peer_get (struct eel_node *node, uint32_t id)
{
  struct node_peer *peer = node_peer_find (node, id);
  uint32_t at = first_index (id);

  if (peer != NULL)
    return peer;
  peer = &node->peers[at];
  for (uint32_t i = 1; i < LOOKUP_WINDOW_SLOTS; i++)
    {
      struct node_peer *other = &node->peers[(at + i) % NODE_PEERS_MAX];

      if (replace_before (other, peer))
        peer = other;
    }
  node->peers_replaced += peer->used;
  node_peer_disconnect (node, peer);
  memset (peer, 0, sizeof *peer);
  peer->node = id;
  peer->used = 1;
  return peer;
}

static void
handle_executor_restart (struct eel_node *node, const struct node_peer *peer)
{
  struct eel_action actions[EEL_ACTIONS_MAX];
  size_t count;

  do
    {
      count = eel_coordinator_executor_restarted (&node->coordinator,
                                                  peer->node, peer->incarnation,
                                                  node->now_us, actions);
      node_order_apply_actions (node, actions, count, NULL);
    }
  while (count == EEL_ACTIONS_MAX);
  node_send_peer_lost (node, peer->node);
}

/* Records the sender's clock, incarnation and liveness from a message. */
void
node_peer_update (struct eel_node *node, const struct eel_wire_message *wire)
{
  struct node_peer *peer = node_peer_get (node, wire->from);
  int restarted
      = peer->incarnation != 0 && peer->incarnation != wire->from_incarnation;
  int was_fresh = peer->fresh && !restarted;

  peer->incarnation = wire->from_incarnation;
  peer->sent_us = wire->sent_us;
  peer->received_us = node->now_us;
  peer->fresh = 1;
  if (wire->from == node->settings.node)
    return;
  eel_membership_record_contact (&node->membership, wire->from,
                                 wire->from_incarnation, node->now_us);
  if (!was_fresh)
    node_members_update_endpoints (node, wire->from);
  if (restarted)
    handle_executor_restart (node, peer);
}

/* Returns 1 when the node's last message is recent enough for its clock. */
int
node_peer_is_usable (struct eel_node *node, uint32_t id)
{
  const struct node_peer *peer = node_peer_find (node, id);

  if (id == node->settings.node)
    return 1;
  return peer != NULL && peer->fresh
         && node->now_us - peer->received_us < NODE_PEER_CLOCK_AGE_MAX_US;
}

/*
 * Converts a local time to a node's clock.  The result is early by the transit
 * time of the node's last message, and late only by the drift of the clocks.
 */
int64_t
node_peer_to_remote_clock (struct eel_node *node, uint32_t id, int64_t local_us)
{
  const struct node_peer *peer = node_peer_find (node, id);

  if (id == node->settings.node || peer == NULL)
    return local_us;
  return peer->sent_us + (local_us - peer->received_us);
}

/*
 * Marks all peers as stale after a pause of this process.  Their endpoints are
 * down until a new message from them arrives.
 */
void
node_peers_mark_stale (struct eel_node *node)
{
  eel_metric_add (node->metrics.pauses, 1);
  for (uint32_t i = 0; i < NODE_PEERS_MAX; i++)
    {
      node->peers[i].fresh = 0;
      node->peers[i].pinged_us = 0;
    }
  for (uint32_t i = 0; i < NODE_PEERS_MAX; i++)
    if (node->peers[i].used && node->peers[i].subset)
      node_members_update_endpoints (node, node->peers[i].node);
}

static void
check_peer (struct eel_node *node, struct node_peer *peer)
{
  int64_t silence_us = node->now_us - peer->received_us;

  if (peer->fresh && silence_us >= NODE_PEER_CLOCK_AGE_MAX_US)
    {
      peer->fresh = 0;
      node_members_update_endpoints (node, peer->node);
    }
  if (peer->fresh && silence_us < NODE_PEER_SILENCE_MAX_US)
    return;
  if (peer->pinged_us != 0
      && node->now_us - peer->pinged_us < NODE_PING_INTERVAL_US)
    return;
  peer->pinged_us = node->now_us;
  node_gossip_ping (node, peer->node, EEL_GOSSIP_PING);
}

/* Pings silent subset peers and closes idle connections to other nodes. */
void
node_peers_tick (struct eel_node *node)
{
  for (uint32_t i = 0; i < NODE_PEERS_MAX; i++)
    {
      struct node_peer *peer = &node->peers[i];

      if (!peer->used || peer->node == node->settings.node)
        continue;
      if (peer->subset)
        check_peer (node, peer);
      else if (peer->connect_requested_us != 0
               && node->now_us - peer->connect_requested_us
                      >= NODE_CONNECTION_IDLE_MAX_US)
        node_peer_disconnect (node, peer);
    }
}

static void
leaving_received (struct eel_node *node, const struct eel_wire_message *wire)
{
  const struct node_peer *peer = node_peer_find (node, wire->from);

  if (peer == NULL || peer->incarnation != wire->from_incarnation)
    return;
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      struct eel_endpoint *endpoint
          = eel_routing_find (&node->services[i]->routing, wire->from);

      if (endpoint != NULL)
        endpoint->load.draining = wire->value != 0;
    }
}

static void
call_received (struct eel_node *node, struct eel_wire_message *wire)
{
  if (wire->call == NULL)
    return;
  if (wire->role == EEL_WIRE_DECIDE)
    node_order_decide (node, wire);
  else
    node_execute_call (node, wire);
}

/* Handles a message from another node or from this node itself. */
void
node_peer_received (struct eel_node *node, struct eel_wire_message *wire)
{
  node_peer_update (node, wire);
  switch (wire->kind)
    {
    case EEL_WIRE_CALL:
      call_received (node, wire);
      break;
    case EEL_WIRE_REPLY:
      node_send_replied (node, wire);
      break;
    case EEL_WIRE_SEAL:
      node_execute_seal (node, wire);
      break;
    case EEL_WIRE_SEALED:
      node_order_sealed (node, wire);
      break;
    case EEL_WIRE_CANCEL:
      node_execute_cancel (node, wire->from, wire->call_id);
      break;
    case EEL_WIRE_GOSSIP:
      node_gossip_received (node, wire);
      break;
    case EEL_WIRE_DOCUMENT_REQUEST:
      node_documents_requested (node, wire);
      break;
    case EEL_WIRE_DOCUMENT:
      node_documents_received (node, wire);
      break;
    case EEL_WIRE_LEAVING:
      leaving_received (node, wire);
      break;
    case EEL_WIRE_VERSION_REFUSED:
    case EEL_WIRE_KIND_COUNT:
      break;
    }
}
