#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"

/* Hash of a service name for member records; 0 means an unknown service. */
uint16_t
node_service_number (const char *name)
{
  uint64_t hash = eel_hash64 (name, strlen (name), 0);
  uint16_t number = (uint16_t)(hash ^ hash >> 16 ^ hash >> 32 ^ hash >> 48);

  return number != 0 ? number : 1;
}

/* Records a service name, so that queries can show it for its number. */
void
node_service_record_name (struct eel_node *node, const char *name)
{
  if (name[0] == 0 || node->service_name_count == NODE_SERVICES_MAX
      || node_service_name (node, node_service_number (name)) != NULL)
    return;
  node->service_names[node->service_name_count] = strdup (name);
  if (node->service_names[node->service_name_count] != NULL)
    node->service_name_count++;
}

const char *
node_service_name (const struct eel_node *node, uint16_t number)
{
  for (uint32_t i = 0; i < node->service_name_count; i++)
    if (node_service_number (node->service_names[i]) == number)
      return node->service_names[i];
  return NULL;
}

/* Requests a connection to a node, if its address is known. */
void
node_peer_connect (struct eel_node *node, uint32_t id)
{
  const struct eel_member *member = eel_membership_find (&node->membership, id);
  struct eel_msg msg = { .kind = EEL_MSG_PEER_CONNECT };

  if (member == NULL || id == node->settings.node || member->address[0] == '\0')
    return;
  node_peer_get (node, id)->connect_requested_us = node->now_us;
  msg.value = id;
  snprintf (msg.text, sizeof msg.text, "%s", member->address);
  node_post (node, node->out.peers, &msg);
}

/* Requests that the connection to a node be closed. */
void
node_peer_disconnect (struct eel_node *node, struct node_peer *peer)
{
  struct eel_msg msg = { .kind = EEL_MSG_PEER_DISCONNECT };

  if (peer->connect_requested_us == 0)
    return;
  peer->connect_requested_us = 0;
  msg.value = peer->node;
  node_post (node, node->out.peers, &msg);
}

static void
update_endpoint (struct eel_node *node,
                 struct node_service *service,
                 struct eel_endpoint *endpoint)
{
  uint32_t id = endpoint->node;
  const struct node_peer *peer = node_peer_find (node, id);

  if (peer != NULL && peer->fresh && peer->incarnation != endpoint->incarnation)
    endpoint = eel_routing_add (&service->routing, id, peer->incarnation,
                                endpoint->same_domain, node->now_us);
  if (endpoint == NULL)
    return;
  if (!node_peer_is_usable (node, id))
    eel_routing_set_state (&service->routing, id, EEL_ENDPOINT_DOWN,
                           node->now_us);
  else if (endpoint->state == EEL_ENDPOINT_DOWN)
    eel_routing_set_state (&service->routing, id, EEL_ENDPOINT_UP,
                           node->now_us);
}

/* Updates the endpoints of a peer that became usable or stale. */
void
node_members_update_endpoints (struct eel_node *node, uint32_t id)
{
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      struct node_service *service = node->services[i];
      struct eel_endpoint *endpoint = eel_routing_find (&service->routing, id);

      if (endpoint != NULL)
        update_endpoint (node, service, endpoint);
    }
}

static size_t
list_candidates (const struct eel_node *node,
                 uint16_t number,
                 struct eel_subset_node *out,
                 size_t out_max)
{
  const struct eel_membership *membership = &node->membership;
  size_t count = 0;

  if (node_service_number (node->settings.service) == number && !node->draining
      && !node->upstream_leaving)
    {
      out[count].node = node->settings.node;
      out[count++].same_domain = 1;
    }
  for (uint32_t i = 0; i < membership->count && count < out_max; i++)
    {
      const struct eel_member *member = &membership->members[i];

      if (member->service != number || member->node == node->settings.node
          || member->state == EEL_MEMBER_DEAD
          || member->state == EEL_MEMBER_LEAVING)
        continue;
      out[count].node = member->node;
      out[count++].same_domain = member->domain == node->settings.domain_id;
    }
  return count;
}

static void
remove_absent (struct node_service *service,
               const struct eel_subset_node *nodes,
               const uint32_t *chosen,
               size_t count)
{
  for (uint32_t i = service->routing.count; i > 0; i--)
    {
      uint32_t id = service->routing.endpoints[i - 1].node;
      size_t at = 0;

      while (at < count && nodes[chosen[at]].node != id)
        at++;
      if (at == count)
        eel_routing_remove (&service->routing, id);
    }
}

static void
add_endpoint (struct eel_node *node,
              struct node_service *service,
              const struct eel_subset_node *chosen)
{
  const struct eel_member *member
      = eel_membership_find (&node->membership, chosen->node);
  struct eel_endpoint *endpoint
      = eel_routing_find (&service->routing, chosen->node);
  uint64_t incarnation = node->incarnation;

  if (chosen->node != node->settings.node)
    incarnation = member != NULL ? member->incarnation : 0;
  if (endpoint == NULL)
    endpoint = eel_routing_add (&service->routing, chosen->node, incarnation,
                                chosen->same_domain, node->now_us);
  if (endpoint != NULL)
    update_endpoint (node, service, endpoint);
}

static void
refresh_service (struct eel_node *node, struct node_service *service)
{
  static struct eel_subset_node nodes[NODE_MEMBERS_MAX];
  uint32_t chosen[NODE_ENDPOINTS_MAX];
  size_t count
      = list_candidates (node, service->number, nodes, NODE_MEMBERS_MAX);

  count = eel_subset_choose (
      node->settings.node, nodes, count, NODE_SUBSET_OWN_DOMAIN_MAX,
      NODE_SUBSET_OTHER_DOMAINS_MAX, chosen, NODE_ENDPOINTS_MAX);
  remove_absent (service, nodes, chosen, count);
  for (size_t i = 0; i < count; i++)
    add_endpoint (node, service, &nodes[chosen[i]]);
}

static int
service_has_members (const struct eel_node *node, uint16_t number)
{
  struct eel_subset_node one;

  return list_candidates (node, number, &one, 1) > 0;
}

/*
 * Returns the service of a name, or NULL when no member offers it or the table
 * is full.  A name without members gets no entry, so that callers cannot fill
 * the table.
 */
struct node_service *
node_service_get (struct eel_node *node, const char *name)
{
  uint16_t number = node_service_number (name);
  struct node_service *service;

  for (uint32_t i = 0; i < node->service_count; i++)
    if (strcmp (node->services[i]->name, name) == 0)
      return node->services[i];
  if (!service_has_members (node, number))
    return NULL;
  if (node->service_count == NODE_SERVICES_MAX)
    {
      node->services_refused++;
      return NULL;
    }
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  snprintf (service->name, sizeof service->name, "%s", name);
  service->number = number;
  node->services[node->service_count++] = service;
  node_config_service (node, service);
  node->members_version = 0;
  node_members_refresh (node);
  return service;
}

/* Sets subset to 2; refresh_peers disconnects those still at 1. */
static void
mark_subset (struct eel_node *node, uint32_t id)
{
  struct node_peer *peer;

  if (id == node->settings.node)
    return;
  peer = node_peer_get (node, id);
  if (peer->subset == 0)
    node_peer_connect (node, id);
  peer->subset = 2;
}

static void
refresh_peers (struct eel_node *node)
{
  uint32_t probed[EEL_MEMBERSHIP_PROBES_MAX];
  size_t count = eel_membership_probe_set (&node->membership, probed,
                                           EEL_MEMBERSHIP_PROBES_MAX);

  for (uint32_t i = 0; i < node->service_count; i++)
    for (uint32_t j = 0; j < node->services[i]->routing.count; j++)
      mark_subset (node, node->services[i]->endpoints[j].node);
  for (size_t i = 0; i < count; i++)
    mark_subset (node, probed[i]);
  for (uint32_t i = 0; i < NODE_PEERS_MAX; i++)
    {
      struct node_peer *peer = &node->peers[i];

      if (peer->subset == 1)
        node_peer_disconnect (node, peer);
      peer->subset = peer->subset == 2;
    }
}

/*
 * Recomputes the routing subsets and the connections to them if the member
 * table has changed.
 */
void
node_members_refresh (struct eel_node *node)
{
  if (node->members_version == node->membership.version + 1)
    return;
  node->members_version = node->membership.version + 1;
  for (uint32_t i = 0; i < node->service_count; i++)
    refresh_service (node, node->services[i]);
  refresh_peers (node);
  eel_metric_set (node->metrics.members, node->membership.count);
}

/* Callback of membership for a change of a member's state. */
void
node_member_changed (void *data,
                     const struct eel_member *member,
                     uint8_t state_before,
                     const char *source)
{
  static const char *const names[]
      = { "unconfirmed", "alive", "suspect", "leaving", "dead" };
  struct eel_node *node = data;
  char reason[EEL_AUDIT_REASON_MAX];

  snprintf (reason, sizeof reason, "member %u at %s", member->node,
            member->address);
  if (state_before <= EEL_MEMBER_DEAD && member->state <= EEL_MEMBER_DEAD)
    node_audit (node, EEL_AUDIT_MEMBER, names[state_before],
                names[member->state], source, reason);
  if (member->state == EEL_MEMBER_LEAVING)
    for (uint32_t i = 0; i < node->service_count; i++)
      eel_routing_set_state (&node->services[i]->routing, member->node,
                             EEL_ENDPOINT_LEAVING, node->now_us);
  if (member->state == EEL_MEMBER_DEAD && node->sends.used > 0)
    node_send_peer_lost (node, member->node);
}
