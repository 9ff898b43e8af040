#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "eelgrasslatch/read_source.h"
#include "eelgrasslatch/registry_view.h"
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/types.h"
#include "tests/fuzz/options.h"

/*
 * Nodes of one failure domain that read a registry over each other, in virtual
 * time.  Rounds of random faults are followed by rounds in which only one node
 * is at fault, most often the one that reads the registry, and by rounds
 * without any: then all sound nodes must know each change within a bound, and
 * the calls to the registry must be as few as those of one or two nodes.
 */

#define NODES_MAX 40
#define STEP_US (10 * EEL_US_PER_MS)
#define REGISTRY_WAIT_US (EEL_READ_REGISTRY_WAIT_MS * EEL_US_PER_MS)
#define PEER_WAIT_US (EEL_READ_PEER_WAIT_MS * EEL_US_PER_MS)
#define FIRST_WAIT_US (EEL_READ_FIRST_WAIT_MS * EEL_US_PER_MS)
#define REGISTRY_MARGIN_US (EEL_READ_REGISTRY_MARGIN_MS * EEL_US_PER_MS)
#define PEER_MARGIN_US (EEL_READ_PEER_MARGIN_MS * EEL_US_PER_MS)
/* Shortest time for a call to a peer. */
#define SHORTENED_MIN_US (50 * EEL_US_PER_MS)
#define BATCH_US (EEL_READ_REGISTRY_BATCH_MS * EEL_US_PER_MS)
/* A configuration has to be in force within this time. */
#define CHANGE_BOUND_US (2 * EEL_US_PER_S)
/* After many faults at once a round passes before bounds hold. */
#define ROUND_US (24 * EEL_US_PER_S)
#define SETTLE_US (4 * EEL_US_PER_S)

enum node_state
{
  NODE_SOUND,
  /* Its peers get resets. */
  NODE_DOWN,
  /* It answers nobody and does nothing. */
  NODE_FROZEN,
  /* Its calls to the registry get no answer. */
  NODE_CUT,
  /* The registry refuses its calls. */
  NODE_REFUSED
};

enum phase
{
  PHASE_MANY_FAULTS,
  PHASE_ONE_FAULT,
  PHASE_CALM
};

struct node
{
  struct eel_read_source source;
  struct eel_read_peer peers[NODES_MAX];
  enum node_state state;
  uint64_t position;
  uint8_t registry_failing;
  /* How new its news are; 0: it has none. */
  int64_t as_of_us;
  /* The call in flight: its source (-1: none, NODES_MAX: the registry). */
  int32_t calling;
  uint8_t verified;
  int64_t call_until_us;
  int64_t timeout_us;
  /* The call to a peer ends early, when the news are too old; how new the
     peer's were when the call came. */
  uint8_t shortened;
  int64_t held_as_of_us;
  int64_t next_call_us;
};

struct run
{
  struct node nodes[NODES_MAX];
  uint32_t count;
  struct eel_rng rng;
  int64_t now_us;
  uint64_t revision;
  int64_t revision_us;
  int registry_down;
  enum phase phase;
  int64_t phase_since_us;
  uint64_t calls;
  uint64_t calls_at_phase;
  int64_t spread_max_us;
  const char *failure;
};

static uint32_t
ip_of (uint32_t index)
{
  return 0x0200010a + (index << 24);
}

static int32_t
index_of (uint32_t ip)
{
  return (int32_t)((ip - 0x0200010a) >> 24);
}

static void
start_node (struct run *run, uint32_t index)
{
  struct node *node = &run->nodes[index];
  uint32_t ips[NODES_MAX];

  memset (node, 0, sizeof *node);
  node->calling = -1;
  node->next_call_us = run->now_us;
  eel_read_source_init (&node->source, ip_of (index), node->peers, NODES_MAX);
  for (uint32_t i = 0; i < run->count; i++)
    ips[i] = ip_of (i);
  eel_read_source_set_members (&node->source, ips, run->count, 1);
}

static int
is_current (const struct run *run, const struct node *node)
{
  return node->position > 0 && !node->registry_failing
         && run->now_us - node->as_of_us < EEL_NEWS_MAX_AGE_US;
}

static struct eel_read_choice
next_source (const struct run *run, const struct node *node)
{
  int stale = node->as_of_us != 0
              && run->now_us - node->as_of_us >= EEL_NEWS_MAX_AGE_US;

  return eel_read_source_next (&node->source, stale, run->now_us);
}

static void
finish_call (struct run *run, struct node *node, int failed, int no_news)
{
  uint32_t ip
      = node->calling == NODES_MAX ? 0 : ip_of ((uint32_t)node->calling);

  if (failed)
    {
      eel_read_source_failed (&node->source, ip,
                              no_news || (ip != 0 && node->shortened)
                                  ? EEL_READ_NO_NEWS
                                  : EEL_READ_UNREACHABLE,
                              run->now_us, eel_rng_unit (&run->rng));
      node->registry_failing |= ip == 0;
      node->next_call_us = run->now_us + next_source (run, node).wait_us;
    }
  else
    {
      eel_read_source_succeeded (&node->source, ip);
      node->registry_failing = 0;
      if (ip == 0)
        node->as_of_us = run->now_us;
      node->next_call_us = run->now_us + (ip == 0 ? BATCH_US : 2 * STEP_US);
    }
  node->verified = (uint8_t)!failed;
  node->calling = -1;
}

static void
bound_peer_call (const struct run *run, struct node *node)
{
  int64_t due_us = node->as_of_us + EEL_NEWS_MAX_AGE_US;

  node->held_as_of_us = run->nodes[node->calling].as_of_us;
  node->shortened = node->as_of_us != 0 && due_us < node->timeout_us;
  if (node->shortened)
    node->timeout_us = due_us > run->now_us + SHORTENED_MIN_US
                           ? due_us
                           : run->now_us + SHORTENED_MIN_US;
}

static void
start_call (struct run *run, struct node *node)
{
  struct eel_read_choice choice = next_source (run, node);
  int32_t target = choice.peer == NULL ? NODES_MAX : index_of (choice.peer->ip);
  int64_t wait_us = target == NODES_MAX ? REGISTRY_WAIT_US : PEER_WAIT_US;

  if (choice.wait_us > 0)
    {
      node->next_call_us = run->now_us + choice.wait_us;
      return;
    }
  if (!node->verified)
    wait_us = FIRST_WAIT_US;
  node->calling = target;
  node->call_until_us = run->now_us + wait_us;
  node->timeout_us
      = node->call_until_us
        + (target == NODES_MAX ? REGISTRY_MARGIN_US : PEER_MARGIN_US);
  node->shortened = 0;
  if (target != NODES_MAX)
    bound_peer_call (run, node);
  run->calls += target == NODES_MAX;
}

static void
poll_registry (struct run *run, struct node *node)
{
  if (node->state == NODE_REFUSED || run->registry_down == 1)
    finish_call (run, node, 1, 0);
  else if (node->state == NODE_CUT || run->registry_down == 2)
    {
      if (run->now_us >= node->timeout_us)
        finish_call (run, node, 1, 0);
    }
  else if (run->revision > node->position || run->now_us >= node->call_until_us)
    {
      node->position = run->revision;
      finish_call (run, node, 0, 0);
    }
}

static void
poll_peer (struct run *run, struct node *node)
{
  const struct node *peer = &run->nodes[node->calling];

  if (peer->state == NODE_DOWN)
    finish_call (run, node, 1, 0);
  else if (peer->state == NODE_FROZEN)
    {
      if (run->now_us >= node->timeout_us)
        finish_call (run, node, 1, 0);
    }
  else if (!is_current (run, peer))
    finish_call (run, node, 1, 1);
  else if (run->now_us >= node->timeout_us)
    finish_call (run, node, 1, 0);
  else if (peer->position > node->position
           || peer->as_of_us > node->held_as_of_us
           || run->now_us >= node->call_until_us)
    {
      if (peer->position > node->position)
        node->position = peer->position;
      if (peer->as_of_us > node->as_of_us)
        node->as_of_us = peer->as_of_us;
      finish_call (run, node, 0, 0);
    }
}

static void
step_node (struct run *run, struct node *node)
{
  if (node->state == NODE_DOWN || node->state == NODE_FROZEN)
    return;
  if (node->calling < 0 && run->now_us >= node->next_call_us)
    start_call (run, node);
  if (node->calling == NODES_MAX)
    poll_registry (run, node);
  else if (node->calling >= 0)
    poll_peer (run, node);
}

/* The node that reads the registry in a domain without faults. */
static uint32_t
first_reader (const struct run *run)
{
  for (uint32_t i = 0; i < run->count; i++)
    if (run->nodes[i].source.own_index == 0)
      return i;
  return 0;
}

static void
set_state (struct run *run, uint32_t index, enum node_state state)
{
  struct node *node = &run->nodes[index];

  if (node->state == NODE_DOWN && state != NODE_DOWN)
    start_node (run, index);
  node->state = state;
}

static void
heal (struct run *run)
{
  run->registry_down = 0;
  for (uint32_t i = 0; i < run->count; i++)
    set_state (run, i, NODE_SOUND);
}

static void
next_phase (struct run *run)
{
  run->phase = (enum phase) ((run->phase + 1) % 3);
  run->phase_since_us = run->now_us;
  heal (run);
  run->calls_at_phase = run->calls;
}

static void
publish (struct run *run)
{
  run->revision++;
  run->revision_us = run->now_us;
}

/* One node at fault, at the moment of a change or before it. */
static void
inject_one_fault (struct run *run)
{
  uint32_t index = first_reader (run);

  heal (run);
  if (eel_rng_below (&run->rng, 4) == 0)
    index = eel_rng_below (&run->rng, run->count);
  set_state (run, index, (enum node_state) (1 + eel_rng_below (&run->rng, 4)));
}

static void
inject (struct run *run)
{
  int64_t into_us = run->now_us - run->phase_since_us;

  if (into_us >= ROUND_US)
    next_phase (run);
  if (eel_rng_below (&run->rng, 300) == 0)
    publish (run);
  if (run->phase == PHASE_MANY_FAULTS && eel_rng_below (&run->rng, 40) == 0)
    {
      set_state (run, eel_rng_below (&run->rng, run->count),
                 (enum node_state)eel_rng_below (&run->rng, 5));
      if (eel_rng_below (&run->rng, 10) == 0)
        run->registry_down = (int)eel_rng_below (&run->rng, 3);
    }
  /* A fault each six seconds, so that the one before is over for others. */
  if (run->phase == PHASE_ONE_FAULT && into_us > 18 * EEL_US_PER_S
      && into_us <= 18 * EEL_US_PER_S + STEP_US)
    {
      inject_one_fault (run);
      publish (run);
    }
}

/* Sound nodes know the newest revision within the bound. */
static void
check (struct run *run)
{
  int64_t into_us = run->now_us - run->phase_since_us;
  int64_t age_us = run->now_us - run->revision_us;

  if (run->phase == PHASE_MANY_FAULTS || into_us < SETTLE_US)
    return;
  for (uint32_t i = 0; i < run->count; i++)
    {
      const struct node *node = &run->nodes[i];

      if (node->position == run->revision || node->state != NODE_SOUND)
        continue;
      if (age_us > run->spread_max_us)
        run->spread_max_us = age_us;
      if (age_us > CHANGE_BOUND_US)
        run->failure = "a sound node does not know a change after 2 s";
    }
  /* After the longest backoff one node reads; one more may just give up. */
  if (run->phase == PHASE_CALM && into_us == ROUND_US - STEP_US
      && run->calls - run->calls_at_phase > (uint64_t)(2 * ROUND_US / BATCH_US))
    run->failure = "too many calls to the registry without faults";
}

int
main (int argc, char **argv)
{
  static struct run run;
  uint64_t seed = fuzz_option (argc, argv, "--seed", 1);
  uint64_t steps = fuzz_option (argc, argv, "--steps", 50000);

  eel_rng_init (&run.rng, seed);
  run.count = 2 + eel_rng_below (&run.rng, NODES_MAX - 1);
  run.revision = 1;
  for (uint32_t i = 0; i < run.count; i++)
    start_node (&run, i);
  for (uint64_t step = 0; step < steps && run.failure == NULL; step++)
    {
      run.now_us += STEP_US;
      inject (&run);
      for (uint32_t i = 0; i < run.count; i++)
        step_node (&run, &run.nodes[i]);
      check (&run);
    }
  printf ("fuzz_read_source seed %" PRIu64 ": %s, %u nodes, %" PRIu64
          " calls, longest spread %" PRId64 " ms\n",
          seed, run.failure == NULL ? "ok" : run.failure, run.count, run.calls,
          run.spread_max_us / EEL_US_PER_MS);
  return run.failure != NULL;
}
