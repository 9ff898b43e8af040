#ifndef TESTS_DRAIN_WORLD_H
#define TESTS_DRAIN_WORLD_H

#include <stdint.h>

#include "eelgrasslatch/directory.h"
#include "eelgrasslatch/read_source.h"
#include "eelgrasslatch/registry_view.h"
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/types.h"

/*
 * A registry, endpoints that register there, and the nodes beside them, in
 * virtual time.  Nodes read from the registry or from each other as the
 * platform's reader does; endpoints announce their end or withdraw their entry,
 * lapse when they don't reach the registry, and register again.
 */

#define DOMAINS 3
#define DOMAIN_NODES_MAX 8
#define NODES_MAX (DOMAINS * DOMAIN_NODES_MAX)
#define STEP_US (10 * EEL_US_PER_MS)
#define NEVER_US (-60 * EEL_US_PER_S)

/* The users' bounds. */
#define DRAIN_US (2 * EEL_US_PER_S)
#define STABILITY_US (3 * EEL_US_PER_S)
#define HEARTBEAT_US (1500 * EEL_US_PER_MS)
#define LEASE_US (3 * HEARTBEAT_US)

enum entry_state
{
  ENTRY_ABSENT,
  ENTRY_READY,
  ENTRY_DRAINING
};

/* An item of the registry, or a copy of it. */
struct entry
{
  uint64_t revision;
  enum entry_state state;
};

/* Node and endpoint i share a VM; the endpoint's entry has key i. */
struct endpoint
{
  struct entry entry;
  int64_t heartbeat_us;
  /* Accepted end: 0 while it serves. */
  int64_t left_us;
  int left_while_stable;
  /* It withdraws its entry without having announced its end. */
  int silent;
};

enum node_state
{
  NODE_SOUND,
  NODE_DOWN,
  NODE_FROZEN
};

struct node
{
  uint32_t index;
  enum node_state state;
  /* This VM does not reach the registry. */
  int cut;
  struct eel_instance instances[NODES_MAX];
  struct eel_directory directory;
  struct eel_registry_view view;
  struct eel_read_source source;
  struct eel_read_peer peers[DOMAIN_NODES_MAX];

  struct entry items[NODES_MAX];
  /* All changes up to this revision are known. */
  uint64_t after;
  uint64_t removals_since;
  /* -1: no call in flight; NODES_MAX: the registry. */
  int32_t calling;
  int verified;
  int64_t sent_us;
  int64_t call_until_us;
  int64_t timeout_us;
  int64_t next_call_us;
  /* The call to a peer has less than its whole time; how new its news were when
     the call came. */
  int shortened;
  int64_t held_as_of_us;
  int64_t check_sent_us;
  int64_t check_again_us;

  /* Last moment of a fault of this VM, or of its path to the registry. */
  int64_t disturbed_us;
};

struct world
{
  struct node nodes[NODES_MAX];
  struct endpoint endpoints[NODES_MAX];
  uint32_t domain_nodes;
  uint32_t count;
  struct eel_rng rng;
  int64_t now_us;
  uint64_t revision;
  int registry_down;
  /* The domain is cut off from the registry and the other domains. */
  int domain_cut[DOMAINS];
  int64_t registry_disturbed_us;
};

void world_init (struct world *world, uint64_t seed);
/* Applies heartbeats and leases; faults must be set before. */
void world_step_endpoints (struct world *world);
/* Ends an endpoint; 0 when it does not reach the registry. */
int world_leave (struct world *world, uint32_t index, int silent);
/* Takes an endpoint that has left back into service, under the same id. */
void world_return (struct world *world, uint32_t index);
uint32_t world_domain (const struct world *world, uint32_t index);
int world_reaches_registry (const struct world *world, uint32_t index);
int world_reaches (const struct world *world, uint32_t from, uint32_t to);
/* True when the rules with a time bound hold for the node. */
int world_in_touch (const struct world *world, uint32_t index);

void node_start (struct world *world, uint32_t index);
void node_step (struct world *world, struct node *node);
int node_uses (struct node *node, uint32_t endpoint);

#endif
