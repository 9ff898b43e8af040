#include "node.h"

#include <string.h>

/* Peers pinged for each new document or quarantine entry. */
#define GOSSIP_FANOUT 4
/* Ticks between checks of all peers for silent ones. */
#define PEER_CHECK_TICKS 5
#define JOIN_INTERVAL_US (500 * EEL_US_PER_MS)

static void
fill_local_state (struct eel_node *node, struct eel_wire_gossip *gossip)
{
  gossip->revision = node->presets.current->revision;
  node_current_load (node, &gossip->load);
  gossip->quarantine_count = (uint32_t)eel_quarantine_list_refused (
      &node->quarantine, gossip->quarantine, EEL_WIRE_QUARANTINE_MAX,
      node->now_us);
  for (uint32_t i = 0; i < gossip->quarantine_count; i++)
    gossip->quarantine[i].expires_us -= node->now_us;
}

/* Sends membership messages, adding revision, load and quarantine to each. */
void
node_gossip_send (struct eel_node *node,
                  const struct eel_gossip *gossip,
                  size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct eel_wire_message *wire = eel_wire_new (EEL_WIRE_GOSSIP);

      if (wire == NULL)
        return;
      node->digest = gossip[i].digest;
      wire->gossip->membership = gossip[i];
      fill_local_state (node, wire->gossip);
      /* ACK and SYNC go back over the connection that the request came by. */
      if (gossip[i].kind != EEL_GOSSIP_ACK && gossip[i].kind != EEL_GOSSIP_SYNC)
        node_peer_connect (node, gossip[i].to);
      node_post_wire (node, gossip[i].to, wire);
    }
}

static void
add_own_record (const struct eel_member *self, struct eel_gossip *gossip)
{
  struct eel_member_update *update = &gossip->updates[0];

  update->node = self->node;
  update->incarnation = self->incarnation;
  update->generation = self->generation;
  update->state = self->state;
  update->domain = self->domain;
  update->service = self->service;
  memcpy (update->address, self->address, sizeof update->address);
  gossip->update_count = 1;
}

/* Sends a ping or sync request that membership itself has not scheduled. */
void
node_gossip_ping (struct eel_node *node, uint32_t to, uint8_t kind)
{
  struct eel_gossip gossip;

  memset (&gossip, 0, sizeof gossip);
  gossip.to = to;
  gossip.from = node->settings.node;
  gossip.kind = kind;
  gossip.digest = node->digest;
  /* A sync request names the range of all members; see membership.h. */
  gossip.target = kind == EEL_GOSSIP_SYNC_REQUEST ? 1 : to;
  if (node->membership.count > 0)
    add_own_record (&node->membership.members[0], &gossip);
  node_gossip_send (node, &gossip, 1);
}

/*
 * Pings GOSSIP_FANOUT subset peers at once with the revision in force and the
 * quarantine.  Each peer for which a document or entry is new does the same.
 */
void
node_gossip_disseminate (struct eel_node *node)
{
  uint32_t start = eel_rng_below (&node->rng, NODE_PEERS_MAX);
  uint32_t sent_count = 0;

  for (uint32_t i = 0; i < NODE_PEERS_MAX && sent_count < GOSSIP_FANOUT; i++)
    {
      const struct node_peer *peer = &node->peers[(start + i) % NODE_PEERS_MAX];

      if (!peer->used || !peer->subset || !peer->fresh)
        continue;
      node_gossip_ping (node, peer->node, EEL_GOSSIP_PING);
      sent_count++;
    }
}

/* Requests the member list from the seeds until a node has answered. */
void
node_gossip_join (struct eel_node *node)
{
  if (node->gossip_received || node->now_us < node->next_join_us)
    return;
  node->next_join_us = node->now_us + JOIN_INTERVAL_US;
  for (uint32_t i = 0; i < node->settings.seed_count; i++)
    if (node->settings.seeds[i].node != node->settings.node)
      node_gossip_ping (node, node->settings.seeds[i].node,
                        EEL_GOSSIP_SYNC_REQUEST);
}

/* Sends due probes and applies changes of the member table. */
void
node_gossip_tick (struct eel_node *node)
{
  struct eel_gossip out[NODE_GOSSIP_MESSAGES_MAX];
  size_t count = eel_membership_tick (&node->membership, node->now_us, out,
                                      NODE_GOSSIP_MESSAGES_MAX);

  node_gossip_send (node, out, count);
  node_gossip_join (node);
  node_members_refresh (node);
  if (node->ticks % PEER_CHECK_TICKS == 0)
    node_peers_tick (node);
}

static void
record_load (struct eel_node *node, uint32_t from, const struct eel_load *load)
{
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      struct eel_endpoint *endpoint
          = eel_routing_find (&node->services[i]->routing, from);

      if (endpoint == NULL)
        continue;
      endpoint->load = *load;
      endpoint->load_at_us = node->now_us;
    }
}

static void
merge_quarantine (struct eel_node *node, const struct eel_wire_gossip *gossip)
{
  int new_entries = 0;

  for (uint32_t i = 0; i < gossip->quarantine_count; i++)
    new_entries += eel_quarantine_merge_refused (
        &node->quarantine, gossip->quarantine[i].fingerprint,
        gossip->quarantine[i].expires_us, node->now_us);
  if (new_entries > 0)
    node_gossip_disseminate (node);
}

/* Handles a gossip message: members, revision, load and quarantine. */
void
node_gossip_received (struct eel_node *node,
                      const struct eel_wire_message *wire)
{
  struct eel_gossip out[NODE_GOSSIP_MESSAGES_MAX];
  size_t count;

  if (wire->gossip == NULL || wire->from == node->settings.node)
    return;
  node->gossip_received = 1;
  count = eel_membership_receive (&node->membership, &wire->gossip->membership,
                                  node->now_us, out, NODE_GOSSIP_MESSAGES_MAX);
  node_gossip_send (node, out, count);
  record_load (node, wire->from, &wire->gossip->load);
  merge_quarantine (node, wire->gossip);
  node_documents_compare (node, wire->from, &wire->gossip->revision);
}

/*
 * Sends the drain state to each node that may call this one: peers with a
 * message in the last NODE_PEER_CLOCK_AGE_MAX_US.  A planned stop of the node
 * itself is announced through membership as well.
 */
void
node_gossip_announce_leaving (struct eel_node *node, int leaving)
{
  if (node->draining)
    eel_membership_leave (&node->membership, node->now_us);
  for (uint32_t i = 0; i < NODE_PEERS_MAX; i++)
    {
      const struct node_peer *peer = &node->peers[i];
      struct eel_wire_message *wire;

      if (!peer->used || peer->node == node->settings.node
          || node->now_us - peer->received_us >= NODE_PEER_CLOCK_AGE_MAX_US)
        continue;
      wire = eel_wire_new (EEL_WIRE_LEAVING);
      if (wire == NULL)
        return;
      wire->value = (uint32_t)leaving;
      node_post_wire (node, peer->node, wire);
    }
}
