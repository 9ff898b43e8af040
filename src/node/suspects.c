#include "node.h"

#include <stdio.h>

/*
 * Holds a suspect while another one is queued or running here, so that at most
 * one suspect is in flight at a crash.  Returns 0 when the run may proceed, 1
 * when it is held or refused.
 */
int
node_suspect_hold (struct eel_node *node, struct node_run *run)
{
  if (node->active_suspect == 0)
    {
      node->active_suspect = run->slot.id;
      return 0;
    }
  if (node->suspects_held >= NODE_SUSPECTS_HELD_MAX)
    {
      node_run_refuse (node, run, EEL_ERROR_OVERLOADED);
      return 1;
    }
  run->state = NODE_RUN_HELD;
  node->suspects_held++;
  return 1;
}

static struct node_run *
oldest_held (const struct eel_node *node)
{
  struct node_run *oldest = NULL;

  for (uint32_t i = 0; i < node->runs.capacity; i++)
    {
      struct node_run *run = node_table_at (&node->runs, i);

      if (run != NULL && run->state == NODE_RUN_HELD
          && (oldest == NULL || run->work.arrived_us < oldest->work.arrived_us))
        oldest = run;
    }
  return oldest;
}

static void
start_next_suspect (struct eel_node *node)
{
  struct node_run *run;

  if (node->active_suspect != 0 || node->suspects_held == 0)
    return;
  run = oldest_held (node);
  if (run == NULL)
    return;
  node->suspects_held--;
  node->active_suspect = run->slot.id;
  if (eel_quarantine_check (&node->quarantine, run->fingerprint, node->now_us)
      == EEL_QUARANTINE_REFUSED)
    {
      run->state = NODE_RUN_QUEUED;
      node_run_refuse (node, run, EEL_ERROR_QUARANTINED);
    }
  else
    node_execute_offer (node, run);
}

/* Called after a suspect's run is freed; the next tick starts another. */
void
node_suspect_release (struct eel_node *node, struct node_run *run)
{
  if (run->state == NODE_RUN_HELD && node->suspects_held > 0)
    node->suspects_held--;
  if (node->active_suspect == run->slot.id)
    node->active_suspect = 0;
}

/*
 * Records a run whose upstream connection failed.  All failures within one tick
 * count as one crash of the upstream.
 */
void
node_suspect_record_crash (struct eel_node *node, const struct node_run *run)
{
  if (node->crashed_count < NODE_CRASHED_MAX)
    node->crashed_fingerprints[node->crashed_count++] = run->fingerprint;
}

static void
report_quarantined (struct eel_node *node,
                    const uint64_t *fingerprints,
                    uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char text[32];

      if (eel_quarantine_check (&node->quarantine, fingerprints[i],
                                node->now_us)
          != EEL_QUARANTINE_REFUSED)
        continue;
      snprintf (text, sizeof text, "%016llx",
                (unsigned long long)fingerprints[i]);
      node_audit (node, EEL_AUDIT_QUARANTINE, "", text, "self",
                  "in flight at two crashes of the upstream");
      node_gossip_disseminate (node);
    }
}

/*
 * Reports crashes to the quarantine table, refuses held suspects after their
 * deadline and starts the next one.
 */
void
node_suspect_tick (struct eel_node *node)
{
  if (node->crashed_count > 0)
    {
      eel_quarantine_crashed (&node->quarantine, node->crashed_fingerprints,
                              node->crashed_count, node->now_us);
      report_quarantined (node, node->crashed_fingerprints,
                          node->crashed_count);
      node->crashed_count = 0;
    }
  for (uint32_t i = 0; node->suspects_held > 0 && i < node->runs.capacity; i++)
    {
      struct node_run *run = node_table_at (&node->runs, i);

      if (run != NULL && run->state == NODE_RUN_HELD
          && run->deadline_us <= node->now_us)
        node_run_refuse (node, run, EEL_ERROR_DEADLINE);
    }
  start_next_suspect (node);
}
