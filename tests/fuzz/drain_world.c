#include "tests/fuzz/drain_world.h"

#include <string.h>

uint32_t
world_domain (const struct world *world, uint32_t index)
{
  return index / world->domain_nodes;
}

int
world_reaches_registry (const struct world *world, uint32_t index)
{
  return !world->registry_down && !world->nodes[index].cut
         && !world->domain_cut[world_domain (world, index)];
}

int
world_reaches (const struct world *world, uint32_t from, uint32_t to)
{
  uint32_t a = world_domain (world, from);
  uint32_t b = world_domain (world, to);

  return a == b || (!world->domain_cut[a] && !world->domain_cut[b]);
}

static void
write_entry (struct world *world, uint32_t index, enum entry_state state)
{
  world->endpoints[index].entry
      = (struct entry){ .revision = ++world->revision, .state = state };
}

void
world_init (struct world *world, uint64_t seed)
{
  memset (world, 0, sizeof *world);
  eel_rng_init (&world->rng, seed);
  world->domain_nodes = 2 + eel_rng_below (&world->rng, DOMAIN_NODES_MAX - 1);
  world->count = DOMAINS * world->domain_nodes;
  world->registry_disturbed_us = NEVER_US;
  for (uint32_t i = 0; i < world->count; i++)
    {
      world->endpoints[i].heartbeat_us
          = -(int64_t)eel_rng_below (&world->rng, (uint32_t)HEARTBEAT_US);
      write_entry (world, i, ENTRY_READY);
    }
  for (uint32_t i = 0; i < world->count; i++)
    {
      node_start (world, i);
      world->nodes[i].disturbed_us = NEVER_US;
    }
}

static void
step_endpoint (struct world *world, uint32_t index)
{
  struct endpoint *endpoint = &world->endpoints[index];
  int64_t age_us = world->now_us - endpoint->heartbeat_us;

  if (endpoint->left_us != 0)
    {
      if (endpoint->entry.state == ENTRY_DRAINING
          && world->now_us - endpoint->left_us > DRAIN_US + EEL_US_PER_S)
        write_entry (world, index, ENTRY_ABSENT);
      return;
    }
  if (age_us >= HEARTBEAT_US && world_reaches_registry (world, index))
    {
      if (endpoint->entry.state == ENTRY_ABSENT)
        write_entry (world, index, ENTRY_READY);
      endpoint->heartbeat_us = world->now_us;
    }
  else if (age_us >= LEASE_US && endpoint->entry.state != ENTRY_ABSENT)
    write_entry (world, index, ENTRY_ABSENT);
}

void
world_step_endpoints (struct world *world)
{
  for (uint32_t i = 0; i < world->count; i++)
    step_endpoint (world, i);
}

int
world_leave (struct world *world, uint32_t index, int silent)
{
  struct endpoint *endpoint = &world->endpoints[index];

  if (endpoint->left_us != 0 || endpoint->entry.state != ENTRY_READY
      || !world_reaches_registry (world, index))
    return 0;
  write_entry (world, index, silent ? ENTRY_ABSENT : ENTRY_DRAINING);
  endpoint->left_us = world->now_us;
  endpoint->silent = silent;
  endpoint->left_while_stable
      = world->now_us - world->registry_disturbed_us >= STABILITY_US;
  return 1;
}

void
world_return (struct world *world, uint32_t index)
{
  world->endpoints[index].left_us = 0;
  world->endpoints[index].heartbeat_us = world->now_us - HEARTBEAT_US;
}

int
world_in_touch (const struct world *world, uint32_t index)
{
  return world->now_us - world->registry_disturbed_us >= STABILITY_US
         && world->now_us - world->nodes[index].disturbed_us >= STABILITY_US;
}
