#include <stdio.h>
#include <string.h>

#include "tests/fuzz/drain_world.h"

/* A node that reads items as platform/item_reader.c does, and tells them as
   platform/item_share.c does. */

/* Shortest time for a call to a peer. */
#define SHORTENED_MIN_US (50 * EEL_US_PER_MS)

static uint32_t
ip_of (uint32_t index)
{
  return 0x0200010a + (index << 24);
}

static uint32_t
index_of (uint32_t ip)
{
  return (ip - 0x0200010a) >> 24;
}

static void
name_of (uint32_t endpoint, char *id)
{
  snprintf (id, EEL_INSTANCE_ID_MAX, "%u", endpoint);
}

void
node_start (struct world *world, uint32_t index)
{
  struct node *node = &world->nodes[index];
  int cut = node->cut;
  uint32_t first = world_domain (world, index) * world->domain_nodes;
  uint32_t ips[DOMAIN_NODES_MAX];

  memset (node, 0, sizeof *node);
  node->index = index;
  node->cut = cut;
  node->calling = -1;
  node->next_call_us = world->now_us;
  node->disturbed_us = world->now_us;
  eel_directory_init (&node->directory, node->instances, NODES_MAX);
  eel_registry_view_init (&node->view, &node->directory);
  eel_read_source_init (&node->source, ip_of (index), node->peers,
                        DOMAIN_NODES_MAX);
  for (uint32_t i = 0; i < world->domain_nodes; i++)
    ips[i] = ip_of (first + i);
  eel_read_source_set_members (&node->source, ips, world->domain_nodes, 1);
}

int
node_uses (struct node *node, uint32_t endpoint)
{
  struct eel_instance *instance;
  char id[EEL_INSTANCE_ID_MAX];

  name_of (endpoint, id);
  instance = eel_directory_find (&node->directory, id);
  return instance != NULL && eel_instance_usable (instance);
}

static void
apply (struct world *world, struct node *node, uint32_t key, struct entry entry)
{
  struct eel_instance instance
      = { .revision = entry.revision, .ip = ip_of (key), .slots = 8 };
  char id[EEL_INSTANCE_ID_MAX];

  if (node->items[key].revision >= entry.revision)
    return;
  node->items[key] = entry;
  name_of (key, id);
  memcpy (instance.id, id, sizeof id);
  instance.state = entry.state == ENTRY_DRAINING ? EEL_INSTANCE_DRAINING
                                                 : EEL_INSTANCE_READY;
  if (entry.state == ENTRY_ABSENT)
    eel_directory_remove (&node->directory, id, entry.revision, world->now_us);
  else
    eel_directory_put (&node->directory, &instance, world->now_us);
}

/* Applies a listing at a revision: what it lacks was removed. */
static void
apply_listing (struct world *world,
               struct node *node,
               const struct entry *items,
               uint64_t revision)
{
  for (uint32_t i = 0; i < world->count; i++)
    if (items[i].state != ENTRY_ABSENT && items[i].revision != 0)
      apply (world, node, i, items[i]);
    else if (node->items[i].state != ENTRY_ABSENT
             && node->items[i].revision < revision)
      apply (world, node, i, (struct entry){ .revision = revision });
  if (revision > node->removals_since)
    node->removals_since = revision;
}

static struct eel_read_choice
next_source (const struct world *world, const struct node *node)
{
  int stale
      = node->view.as_of_us != 0
        && eel_registry_view_fresh_for_us (&node->view, world->now_us) <= 0;

  return eel_read_source_next (&node->source, stale, world->now_us);
}

static void
call_failed (struct world *world, struct node *node, int unanswered)
{
  int registry = node->calling == NODES_MAX;

  if (registry)
    eel_registry_view_read_failed (&node->view, node->sent_us, unanswered,
                                   world->now_us);
  eel_read_source_failed (
      &node->source, registry ? 0 : ip_of ((uint32_t)node->calling),
      (unanswered && !node->shortened) || registry ? EEL_READ_UNREACHABLE
                                                   : EEL_READ_NO_NEWS,
      world->now_us, eel_rng_unit (&world->rng));
  node->verified = 0;
  node->calling = -1;
  node->next_call_us = world->now_us + next_source (world, node).wait_us;
}

static void
call_succeeded (struct world *world, struct node *node, uint64_t revision)
{
  int registry = node->calling == NODES_MAX;

  eel_read_source_succeeded (&node->source,
                             registry ? 0 : ip_of ((uint32_t)node->calling));
  node->after = revision;
  node->verified = 1;
  node->calling = -1;
  node->next_call_us
      = world->now_us
        + (registry ? EEL_READ_REGISTRY_BATCH_MS : EEL_READ_PEER_BATCH_MS)
              * EEL_US_PER_MS;
}

static void
read_registry (struct world *world, struct node *node)
{
  struct entry items[NODES_MAX];

  if (!world_reaches_registry (world, node->index))
    {
      if (world->now_us >= node->timeout_us)
        call_failed (world, node, 1);
      return;
    }
  if (world->revision == node->after && world->now_us < node->call_until_us)
    return;
  eel_registry_view_read_registry (&node->view, world->now_us);
  for (uint32_t i = 0; i < world->count; i++)
    items[i] = world->endpoints[i].entry;
  if (node->after == 0)
    apply_listing (world, node, items, world->revision);
  else
    for (uint32_t i = 0; i < world->count; i++)
      if (items[i].revision > node->after)
        apply (world, node, i, items[i]);
  call_succeeded (world, node, world->revision);
}

static int
has_news (const struct world *world, const struct node *node)
{
  return node->after > 0 && node->view.failing_since_us == 0
         && eel_registry_view_fresh_for_us (&node->view, world->now_us) > 0;
}

static void
read_peer (struct world *world, struct node *node)
{
  struct node *peer = &world->nodes[node->calling];

  if (peer->state == NODE_FROZEN)
    {
      if (world->now_us >= node->timeout_us)
        call_failed (world, node, 1);
      return;
    }
  if (peer->state == NODE_DOWN || !has_news (world, peer))
    {
      call_failed (world, node, peer->state == NODE_DOWN);
      return;
    }
  if (world->now_us >= node->timeout_us)
    {
      call_failed (world, node, 1);
      return;
    }
  if (peer->after <= node->after && peer->view.as_of_us <= node->held_as_of_us
      && world->now_us < node->call_until_us)
    return;
  eel_registry_view_read_peer (
      &node->view, world->now_us - peer->view.stable_since_us,
      world->now_us - peer->view.as_of_us, world->now_us);
  if (node->after == 0 || node->after < peer->removals_since)
    apply_listing (world, node, peer->items, peer->after);
  else
    for (uint32_t i = 0; i < world->count; i++)
      if (peer->items[i].revision > node->after)
        apply (world, node, i, peer->items[i]);
  call_succeeded (world, node, peer->after);
  if (eel_registry_view_applied (&node->view, world->now_us))
    node->check_sent_us = world->now_us;
}

/* A call to a peer ends when the news are too old to wait for it. */
static void
bound_peer_call (struct world *world, struct node *node)
{
  int64_t fresh_us
      = eel_registry_view_fresh_for_us (&node->view, world->now_us);

  node->held_as_of_us = world->nodes[node->calling].view.as_of_us;
  node->shortened
      = node->view.as_of_us != 0 && world->now_us + fresh_us < node->timeout_us;
  if (fresh_us < SHORTENED_MIN_US)
    fresh_us = SHORTENED_MIN_US;
  if (node->shortened)
    node->timeout_us = world->now_us + fresh_us;
}

static void
start_call (struct world *world, struct node *node)
{
  struct eel_read_choice choice = next_source (world, node);
  int64_t wait_ms = EEL_READ_FIRST_WAIT_MS;

  if (choice.wait_us > 0)
    {
      node->next_call_us = world->now_us + choice.wait_us;
      return;
    }
  node->calling
      = choice.peer == NULL ? NODES_MAX : (int32_t)index_of (choice.peer->ip);
  if (node->verified)
    wait_ms = choice.peer == NULL ? EEL_READ_REGISTRY_WAIT_MS
                                  : EEL_READ_PEER_WAIT_MS;
  node->sent_us = world->now_us;
  node->call_until_us = world->now_us + wait_ms * EEL_US_PER_MS;
  node->timeout_us = node->call_until_us
                     + (choice.peer == NULL ? EEL_READ_REGISTRY_MARGIN_MS
                                            : EEL_READ_PEER_MARGIN_MS)
                           * EEL_US_PER_MS;
  if (choice.peer != NULL)
    bound_peer_call (world, node);
}

static void
step_check (struct world *world, struct node *node)
{
  struct eel_registry_view *view = &node->view;

  if (!view->check_pending && view->path_lost
      && world->now_us >= node->check_again_us
      && eel_registry_view_begin_check (view))
    node->check_sent_us = world->now_us;
  if (!view->check_pending || world->now_us - node->check_sent_us < STEP_US)
    return;
  if (world_reaches_registry (world, node->index))
    eel_registry_view_check_answered (view, world->now_us);
  else if (world->now_us - node->check_sent_us
           >= EEL_PATH_CHECK_TIMEOUT_MS * EEL_US_PER_MS)
    {
      eel_registry_view_check_failed (view, node->check_sent_us, world->now_us);
      node->check_again_us
          = world->now_us + EEL_PATH_CHECK_RETRY_MS * EEL_US_PER_MS;
    }
}

void
node_step (struct world *world, struct node *node)
{
  if (node->state != NODE_SOUND)
    return;
  eel_registry_view_tick (&node->view, world->now_us);
  /* The daemon's tick. */
  if (world->now_us / STEP_US % 10 == node->index % 10)
    while (eel_directory_next_expired (&node->directory, world->now_us) != NULL)
      continue;
  if (node->calling < 0 && world->now_us >= node->next_call_us)
    start_call (world, node);
  if (node->calling == NODES_MAX)
    read_registry (world, node);
  else if (node->calling >= 0)
    read_peer (world, node);
  step_check (world, node);
}
