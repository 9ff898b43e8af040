#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "tests/fuzz/drain_world.h"
#include "tests/fuzz/options.h"

/*
 * The users' rule on leaving endpoints, over the whole path in virtual time: no
 * request reaches an endpoint later than DRAIN_US after a registry that was
 * stable accepted its end, if the nodes where it entered and that sent it on
 * are in touch.  Endpoints leave while nodes restart, freeze, lose the
 * registry or their whole domain, and while the registry is down.
 */

/* A request's way from its entry to the endpoint. */
struct request
{
  uint32_t entry;
  uint32_t endpoint;
  /* Its node has sent it: it connects. */
  int sent;
  int64_t due_us;
};

#define REQUESTS_MAX 4096
/* The node beside an endpoint waits this long for a connection. */
#define CONNECT_MAX_US (300 * EEL_US_PER_MS)
#define HOP_US (10 * EEL_US_PER_MS)
/* Longest wait in the queue of the node beside the endpoint. */
#define QUEUE_MAX_US (3 * EEL_US_PER_S)

#define WORLDS 10

struct totals
{
  uint64_t leaves;
  uint64_t judged;
  int64_t latest_us;
};

struct run
{
  struct world world;
  struct request requests[REQUESTS_MAX];
  uint32_t count;
  /* When the faults of a kind end; 0: none is in force. */
  int64_t node_until_us[NODES_MAX];
  int64_t cut_until_us[NODES_MAX];
  int64_t domain_until_us[DOMAINS];
  int64_t registry_until_us;
  /* When a fault last ended, and a node that it concerned. */
  int64_t calm_since_us;
  uint32_t calmed;
  uint64_t judged;
  uint64_t leaves;
  int64_t latest_us;
  const char *failure;
};

static int64_t
random_us (struct run *run, int64_t max_us)
{
  return (int64_t)eel_rng_below (&run->world.rng, (uint32_t)max_us);
}

static int
one_in (struct run *run, uint32_t n)
{
  return eel_rng_below (&run->world.rng, n) == 0;
}

/* Faults last long enough for entries to lapse, or just not. */
static int64_t
random_end_us (struct run *run)
{
  return run->world.now_us + EEL_US_PER_S
         + random_us (run,
                      one_in (run, 2) ? 4 * EEL_US_PER_S : 9 * EEL_US_PER_S);
}

static void
record_calm (struct run *run, uint32_t index)
{
  run->calm_since_us = run->world.now_us;
  run->calmed = index;
}

/* Marks what is disturbed now. */
static void
mark_disturbed (struct run *run)
{
  struct world *world = &run->world;

  if (world->registry_down)
    world->registry_disturbed_us = world->now_us;
  for (uint32_t i = 0; i < world->count; i++)
    if (world->nodes[i].state != NODE_SOUND || world->nodes[i].cut
        || world->domain_cut[world_domain (world, i)])
      world->nodes[i].disturbed_us = world->now_us;
}

static void
end_faults (struct run *run)
{
  struct world *world = &run->world;

  if (world->registry_down && world->now_us >= run->registry_until_us)
    {
      world->registry_down = 0;
      record_calm (run, eel_rng_below (&world->rng, world->count));
    }
  for (uint32_t i = 0; i < DOMAINS; i++)
    if (world->domain_cut[i] && world->now_us >= run->domain_until_us[i])
      {
        world->domain_cut[i] = 0;
        record_calm (run,
                     i * world->domain_nodes
                         + eel_rng_below (&world->rng, world->domain_nodes));
      }
  for (uint32_t i = 0; i < world->count; i++)
    {
      struct node *node = &world->nodes[i];

      if (node->cut && world->now_us >= run->cut_until_us[i])
        {
          node->cut = 0;
          record_calm (run, i);
        }
      if (node->state == NODE_SOUND || world->now_us < run->node_until_us[i])
        continue;
      if (node->state == NODE_DOWN)
        node_start (world, i);
      record_calm (run, i);
      node->state = NODE_SOUND;
    }
}

/* The node that reads the registry for a random domain, as others see it. */
static uint32_t
some_reader (struct run *run)
{
  const struct world *world = &run->world;
  uint32_t first
      = eel_rng_below (&run->world.rng, DOMAINS) * world->domain_nodes;

  for (uint32_t i = first; i < first + world->domain_nodes; i++)
    if (world->nodes[i].calling == NODES_MAX)
      return i;
  return first;
}

static void
disturb_node (struct run *run)
{
  struct world *world = &run->world;
  uint32_t index = one_in (run, 2) ? some_reader (run)
                                   : eel_rng_below (&world->rng, world->count);
  int64_t until_us = random_end_us (run);

  if (one_in (run, 3))
    {
      world->nodes[index].cut = 1;
      run->cut_until_us[index] = until_us;
      return;
    }
  world->nodes[index].state = one_in (run, 2) ? NODE_DOWN : NODE_FROZEN;
  run->node_until_us[index] = until_us;
}

static void
begin_faults (struct run *run)
{
  struct world *world = &run->world;
  int64_t until_us = random_end_us (run);

  if (one_in (run, 300))
    disturb_node (run);
  if (one_in (run, 1500))
    {
      uint32_t domain = eel_rng_below (&world->rng, DOMAINS);

      world->domain_cut[domain] = 1;
      run->domain_until_us[domain] = until_us;
    }
  if (one_in (run, 4000))
    {
      world->registry_down = 1;
      run->registry_until_us = until_us;
    }
}

/* Ends an endpoint, most often soon after a fault has ended, and at times
   together with the reader of a domain. */
static void
move_endpoints (struct run *run)
{
  struct world *world = &run->world;
  int after_fault = world->now_us - run->calm_since_us < STABILITY_US;
  uint32_t index = after_fault && one_in (run, 2)
                       ? run->calmed
                       : eel_rng_below (&world->rng, world->count);
  const struct endpoint *endpoint = &world->endpoints[index];

  if (endpoint->left_us != 0
      && world->now_us - endpoint->left_us > 8 * EEL_US_PER_S)
    world_return (world, index);
  else if (one_in (run, after_fault ? 20 : 120)
           && world_leave (world, index, one_in (run, 2)))
    {
      run->leaves++;
      if (one_in (run, 3))
        disturb_node (run);
    }
}

static void
judge_arrival (struct run *run, const struct request *request)
{
  const struct world *world = &run->world;
  const struct endpoint *endpoint = &world->endpoints[request->endpoint];
  int64_t age_us = world->now_us - endpoint->left_us;

  if (endpoint->left_us == 0 || !endpoint->left_while_stable
      || !world_in_touch (world, request->entry)
      || !world_in_touch (world, request->endpoint))
    return;
  run->judged++;
  if (age_us > run->latest_us)
    run->latest_us = age_us;
  if (age_us > DRAIN_US)
    run->failure = "a request reaches an endpoint that has left";
}

static void
start_request (struct run *run, uint32_t endpoint)
{
  struct world *world = &run->world;
  uint32_t entry
      = one_in (run, 4) ? endpoint : eel_rng_below (&world->rng, world->count);

  if (run->count == REQUESTS_MAX || world->nodes[entry].state != NODE_SOUND
      || !world_reaches (world, entry, endpoint)
      || !node_uses (&world->nodes[entry], endpoint))
    return;
  run->requests[run->count++] = (struct request){
    .entry = entry,
    .endpoint = endpoint,
    .due_us = world->now_us + HOP_US
              + (one_in (run, 8) ? random_us (run, QUEUE_MAX_US) : 0)
  };
}

/* Most requests are for endpoints that are leaving. */
static void
start_requests (struct run *run)
{
  struct world *world = &run->world;

  start_request (run, eel_rng_below (&world->rng, world->count));
  for (uint32_t i = 0; i < world->count; i++)
    if (world->endpoints[i].left_us != 0
        && world->now_us - world->endpoints[i].left_us < 2 * DRAIN_US)
      for (uint32_t n = 0; n < 4; n++)
        start_request (run, i);
}

/* The node beside the endpoint sends a request when it has a slot, if the
   endpoint is usable then.  Returns 0 when the request has ended. */
static int
step_request (struct run *run, struct request *request)
{
  struct world *world = &run->world;
  struct node *node = &world->nodes[request->endpoint];

  if (world->now_us < request->due_us || node->state == NODE_FROZEN)
    return 1;
  if (node->state == NODE_DOWN)
    return 0;
  if (request->sent)
    {
      judge_arrival (run, request);
      return 0;
    }
  request->sent = 1;
  request->due_us += one_in (run, 4) ? random_us (run, CONNECT_MAX_US) : 0;
  return node_uses (node, request->endpoint);
}

static void
step_requests (struct run *run)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < run->count; i++)
    if (step_request (run, &run->requests[i]))
      run->requests[kept++] = run->requests[i];
  run->count = kept;
}

/* Plays one world; returns the step of the first violation, or steps. */
static uint64_t
play (struct run *run, uint64_t seed, uint64_t steps)
{
  uint64_t step;

  world_init (&run->world, seed);
  for (step = 0; step < steps && run->failure == NULL; step++)
    {
      run->world.now_us += STEP_US;
      end_faults (run);
      begin_faults (run);
      mark_disturbed (run);
      world_step_endpoints (&run->world);
      move_endpoints (run);
      for (uint32_t i = 0; i < run->world.count; i++)
        node_step (&run->world, &run->world.nodes[i]);
      start_requests (run);
      step_requests (run);
    }
  return step;
}

int
main (int argc, char **argv)
{
  static struct run run;
  uint64_t seed = fuzz_option (argc, argv, "--seed", 1);
  uint64_t steps = fuzz_option (argc, argv, "--steps", 50000);
  struct totals totals = { 0 };

  for (uint64_t world = 0; world < WORLDS && run.failure == NULL; world++)
    {
      uint64_t step;

      memset (&run, 0, sizeof run);
      step = play (&run, seed * WORLDS + world, steps);
      if (run.failure != NULL)
        printf ("VIOLATION at world %" PRIu64 " step %" PRIu64 ": %s\n", world,
                step, run.failure);
      totals.leaves += run.leaves;
      totals.judged += run.judged;
      if (run.latest_us > totals.latest_us)
        totals.latest_us = run.latest_us;
    }
  printf ("fuzz_drain seed %" PRIu64 ": %s, %d worlds, %" PRIu64
          " endpoints left, %" PRIu64 " arrivals after it, latest %" PRId64
          " ms\n",
          seed, run.failure == NULL ? "ok" : run.failure, WORLDS, totals.leaves,
          totals.judged, totals.latest_us / EEL_US_PER_MS);
  return run.failure != NULL;
}
