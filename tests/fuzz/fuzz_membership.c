#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "membership_fleet.h"

/*
 * Random faults, then a network without faults, on which all live nodes must
 * converge: on the greatest revision within 5 s, on the live members within a
 * bound that follows from the configuration.  Then a node is paused while it
 * suspects a live node; it must not accuse any live node when it resumes.
 */

#define REVISION_BOUND_US (5 * EEL_US_PER_S)

enum phase
{
  PHASE_FAULTS,
  PHASE_HEALED,
  PHASE_SUSPECT,
  PHASE_PAUSE
};

struct run
{
  struct fleet fleet;
  enum phase phase;
  int64_t phase_ends_us;
  int64_t healed_since_us;
  struct eel_revision greatest;
  int64_t greatest_since_us;
  int64_t convergence_max_us;
  int64_t last_mismatch_us;
  /* Node that is paused until another one suspects it. */
  uint32_t suspect;
  uint64_t rounds;
};

/*
 * Detection of a dead node takes a round of the probe set, a direct and an
 * indirect probe and the suspicion at the worst local health.  Detection of a
 * live one takes two retries of dead members, the same suspicion again while
 * the node refutes, and five syncs.
 */
static int64_t
membership_bound_us (const struct eel_membership_config *config)
{
  int64_t set = config->probes_own_domain
                + (DOMAINS - 1) * (int64_t)config->probes_other_domain;

  return set * config->probe_interval_us * 11 / 10
         + 8 * 4 * config->probe_timeout_us + 8 * config->suspicion_us
         + 2 * config->dead_retry_us + 5 * 3 * config->probe_interval_us;
}

static uint32_t
below (struct run *run, uint32_t bound)
{
  return eel_rng_below (&run->fleet.rng, bound);
}

static void
inject_platform_fault (struct run *run)
{
  struct replica *replica = &run->fleet.replicas[below (run, DOMAINS)];

  replica->down = below (run, 3) == 0;
  replica->flapping = below (run, 4) == 0;
  /* The replica lags, or returns to an earlier version. */
  replica->version = run->fleet.published - below (run, 3);
  if (replica->version > run->fleet.published)
    replica->version = run->fleet.published;
  fleet_trace_event (&run->fleet, "platform", replica->version, replica->down);
}

static void
inject_node_fault (struct run *run)
{
  uint32_t index = below (run, NODES);
  struct fleet_node *node = &run->fleet.nodes[index];
  uint32_t kind = below (run, 8);

  if (!node->up)
    {
      if (kind < 5)
        fleet_start (&run->fleet, index);
    }
  else if (kind < 3)
    {
      node->resume_us
          = run->fleet.now_us + STEP_US + below (run, 20000) * EEL_US_PER_MS;
      node->resume_us -= node->resume_us % STEP_US;
      fleet_trace_event (&run->fleet, "pause", index,
                         (uint64_t)node->resume_us);
    }
  else if (kind < 5)
    fleet_kill (&run->fleet, index);
  else if (kind == 5)
    {
      fleet_kill (&run->fleet, index);
      fleet_start (&run->fleet, index);
    }
  else if (kind == 6 && node->resume_us <= run->fleet.now_us)
    {
      eel_membership_leave (&node->membership, run->fleet.now_us);
      node->leaving = 1;
      fleet_trace_event (&run->fleet, "leave", index, 0);
    }
  else
    run->fleet.listed[index] ^= 1;
}

/* Publishes two documents of one revision, each in some domains. */
static void
publish_conflict (struct run *run)
{
  fleet_publish (&run->fleet, 0, 1);
  fleet_publish (&run->fleet, 1, 1);
  for (uint32_t i = 0; i < DOMAINS; i++)
    {
      run->fleet.replicas[i].version = run->fleet.published - i % 2;
      run->fleet.replicas[i].down = 0;
    }
}

static void
inject_fault (struct run *run)
{
  switch (below (run, 7))
    {
    case 0:
      fleet_cut (&run->fleet);
      break;
    case 1:
      run->fleet.loss_percent = below (run, 40);
      run->fleet.duplicate_percent = below (run, 20);
      run->fleet.delay_max_us = 1000 + below (run, 600000);
      fleet_trace_event (&run->fleet, "network", run->fleet.loss_percent,
                         (uint64_t)run->fleet.delay_max_us);
      break;
    case 2:
      fleet_publish (&run->fleet, below (run, 3) == 0, below (run, 8) != 0);
      inject_platform_fault (run);
      break;
    case 3:
      inject_platform_fault (run);
      break;
    case 4:
      publish_conflict (run);
      break;
    default:
      inject_node_fault (run);
    }
}

/* Ends all faults but those of the platform and of nodes that are down. */
static void
heal_network (struct run *run)
{
  struct fleet *fleet = &run->fleet;

  memset (fleet->cut, 0, sizeof fleet->cut);
  fleet->loss_percent = 0;
  fleet->duplicate_percent = 0;
  fleet->delay_max_us = 5000;
  for (uint32_t i = 0; i < NODES; i++)
    {
      if (fleet->nodes[i].resume_us > fleet->now_us)
        fleet->nodes[i].resume_us = fleet->now_us + STEP_US;
      /* The first four are seeds; a fleet without any cannot be joined. */
      if (!fleet->nodes[i].up && i < 4)
        fleet_start (fleet, i);
    }
  /* Envelopes from before the healing arrive within a step. */
  for (size_t i = 0; i < fleet->envelope_count; i++)
    if (fleet->envelopes[i].due_us > fleet->now_us + STEP_US)
      fleet->envelopes[i].due_us = fleet->now_us + STEP_US;
  run->healed_since_us = fleet->now_us + STEP_US;
  run->last_mismatch_us = run->healed_since_us;
  fleet_trace_event (fleet, "whole", 0, 0);
}

static void
check_revisions (struct run *run)
{
  struct fleet *fleet = &run->fleet;
  struct eel_revision greatest = { 0 };
  int64_t since_us;
  int all = 1;

  for (uint32_t i = 0; i < NODES; i++)
    if (fleet->nodes[i].up
        && revision_order (&fleet->nodes[i].store.current->revision, &greatest)
               > 0)
      greatest = fleet->nodes[i].store.current->revision;
  if (revision_order (&greatest, &run->greatest) != 0)
    run->greatest_since_us = fleet->now_us;
  run->greatest = greatest;
  for (uint32_t i = 0; i < NODES; i++)
    all &= !fleet->nodes[i].up
           || revision_order (&fleet->nodes[i].store.current->revision,
                              &greatest)
                  == 0;
  since_us = run->greatest_since_us > run->healed_since_us
                 ? run->greatest_since_us
                 : run->healed_since_us;
  if (!all && run->phase == PHASE_HEALED
      && fleet->now_us - since_us > REVISION_BOUND_US)
    fleet->failure = "connected nodes differ in revision for over 5 s";
}

/* 1 when a node's record of another has the actual state. */
static int
is_view_correct (const struct fleet *fleet, uint32_t i, uint32_t j)
{
  const struct eel_member *member
      = eel_membership_find (&fleet->nodes[i].membership, j + 1);
  int state = member == NULL ? EEL_MEMBER_DEAD : member->state;

  if (!fleet->nodes[j].up)
    return state == EEL_MEMBER_DEAD || state == EEL_MEMBER_UNCONFIRMED;
  return state
             == (fleet->nodes[j].leaving ? EEL_MEMBER_LEAVING
                                         : EEL_MEMBER_ALIVE)
         && member->incarnation
                == fleet->nodes[j].membership.config.incarnation;
}

static void
check_members (struct run *run)
{
  struct fleet *fleet = &run->fleet;
  uint32_t mismatches = 0;
  int64_t convergence_us;

  for (uint32_t i = 0; i < NODES; i++)
    for (uint32_t j = 0; j < NODES && fleet->nodes[i].up; j++)
      if (!is_view_correct (fleet, i, j))
        {
          mismatches++;
          if (fleet->now_us >= run->phase_ends_us)
            fleet_trace_event (fleet, "wrong view", i, j);
        }
  if (mismatches > 0)
    run->last_mismatch_us = fleet->now_us;
  convergence_us = run->last_mismatch_us - run->healed_since_us;
  if (convergence_us > run->convergence_max_us)
    run->convergence_max_us = convergence_us;
  if (mismatches > 0 && fleet->now_us >= run->phase_ends_us)
    fleet->failure = "connected nodes do not agree on the live members";
}

/* Pauses a node for long enough that others suspect it. */
static void
pause_suspect (struct run *run)
{
  struct fleet *fleet = &run->fleet;

  do
    run->suspect = below (run, NODES);
  while (!fleet->nodes[run->suspect].up || fleet->nodes[run->suspect].leaving);
  run->phase_ends_us = fleet->now_us + 8 * EEL_US_PER_S;
  fleet->nodes[run->suspect].resume_us = run->phase_ends_us;
  fleet_trace_event (fleet, "pause suspect", run->suspect, 0);
}

/* Pauses a node that has the suspect in its table; resumes the suspect. */
static void
pause_observer (struct run *run)
{
  struct fleet *fleet = &run->fleet;

  for (uint32_t i = 0; i < NODES; i++)
    {
      const struct eel_member *member;

      if (!fleet->nodes[i].up || i == run->suspect)
        continue;
      member
          = eel_membership_find (&fleet->nodes[i].membership, run->suspect + 1);
      if (member == NULL || member->state != EEL_MEMBER_SUSPECT)
        continue;
      run->phase = PHASE_PAUSE;
      fleet->watched = (int)i;
      fleet->nodes[i].resume_us
          = fleet->now_us + (70 + below (run, 60)) * STEP_US;
      run->phase_ends_us = fleet->nodes[i].resume_us + 3 * EEL_US_PER_S;
      fleet->nodes[run->suspect].resume_us = fleet->now_us + 2 * STEP_US;
      fleet_trace_event (fleet, "pause observer", i, run->suspect);
      return;
    }
}

static void
next_phase (struct run *run)
{
  struct fleet *fleet = &run->fleet;

  if (run->phase == PHASE_FAULTS)
    {
      run->phase = PHASE_HEALED;
      heal_network (run);
      run->phase_ends_us
          = run->healed_since_us
            + membership_bound_us (&fleet->nodes[0].membership.config);
    }
  else if (run->phase == PHASE_HEALED)
    {
      run->phase = PHASE_SUSPECT;
      pause_suspect (run);
    }
  else
    {
      run->phase = PHASE_FAULTS;
      run->rounds++;
      fleet->watched = -1;
      for (uint32_t i = 0; i < NODES; i++)
        if (!fleet->nodes[i].up && below (run, 2) == 0)
          fleet_start (fleet, i);
        else if (fleet->nodes[i].up && fleet->nodes[i].leaving)
          fleet_kill (fleet, i);
      run->phase_ends_us = fleet->now_us + (20 + below (run, 400)) * STEP_US;
    }
}

static void
step (struct run *run)
{
  if (run->phase == PHASE_FAULTS && below (run, 12) == 0)
    inject_fault (run);
  fleet_step (&run->fleet);
  check_revisions (run);
  if (run->phase == PHASE_HEALED)
    check_members (run);
  if (run->phase == PHASE_SUSPECT)
    pause_observer (run);
  if (run->fleet.now_us >= run->phase_ends_us)
    next_phase (run);
}

int
main (int argc, char **argv)
{
  uint64_t seed = 1;
  uint64_t steps = 50000;
  uint64_t steps_done = 0;
  int trace = 0;
  struct run *run = calloc (1, sizeof *run);
  clock_t started = clock ();
  double seconds;

  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--seed") == 0 && i + 1 < argc)
      seed = strtoull (argv[++i], NULL, 10);
    else if (strcmp (argv[i], "--steps") == 0 && i + 1 < argc)
      steps = strtoull (argv[++i], NULL, 10);
    else if (strcmp (argv[i], "--trace") == 0)
      trace = 1;
    else
      {
        fprintf (stderr, "usage: %s --seed N --steps N [--trace]\n", argv[0]);
        return 2;
      }
  if (run == NULL)
    return 2;
  fleet_init (&run->fleet, seed, trace);
  run->phase_ends_us = run->fleet.now_us + 20 * EEL_US_PER_S;
  while (steps_done < steps && run->fleet.failure == NULL)
    {
      step (run);
      steps_done++;
    }
  seconds = (double)(clock () - started) / CLOCKS_PER_SEC;
  printf ("fuzz_membership seed %" PRIu64 " steps %" PRIu64
          " steps/s %.0f digest %016" PRIx64 " rounds %" PRIu64
          " worst convergence %.1f s of %.1f s\n",
          seed, steps_done, (double)steps_done / (seconds > 0 ? seconds : 1),
          run->fleet.digest, run->rounds,
          (double)run->convergence_max_us / EEL_US_PER_S,
          (double)membership_bound_us (&run->fleet.nodes[0].membership.config)
              / EEL_US_PER_S);
  if (run->fleet.failure != NULL)
    printf ("FAILED at step %" PRIu64 ": %s\n", steps_done, run->fleet.failure);
  trace = run->fleet.failure != NULL;
  fleet_finish (&run->fleet);
  free (run);
  return trace;
}
