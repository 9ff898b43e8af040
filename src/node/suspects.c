#include "node.h"

#include <stdio.h>

/*
 * Keeps a suspect back while another one is queued or running here, so that a
 * crash has one suspect in flight.  Returns 0 when it may go on now.
 */
int
node_suspect_hold (struct eel_node *node, struct node_run *run)
{
  if (node->suspect == 0)
    {
      node->suspect = run->slot.id;
      return 0;
    }
  if (node->suspects_waiting >= NODE_SUSPECTS_MAX)
    {
      node_run_refuse (node, run, EEL_ERROR_OVERLOADED);
      return 1;
    }
  run->state = NODE_RUN_APART;
  node->suspects_waiting++;
  return 1;
}

static struct node_run *
oldest_waiting (const struct eel_node *node)
{
  struct node_run *oldest = NULL;

  for (uint32_t i = 0; i < node->runs.capacity; i++)
    {
      struct node_run *run = node_table_at (&node->runs, i);

      if (run != NULL && run->state == NODE_RUN_APART
          && (oldest == NULL || run->work.arrived_us < oldest->work.arrived_us))
        oldest = run;
    }
  return oldest;
}

static void
start_next (struct eel_node *node)
{
  struct node_run *run;

  if (node->suspect != 0 || node->suspects_waiting == 0)
    return;
  run = oldest_waiting (node);
  if (run == NULL)
    return;
  node->suspects_waiting--;
  node->suspect = run->slot.id;
  if (eel_quarantine_check (&node->quarantine, run->fingerprint, node->now_us)
      == EEL_QUARANTINE_REFUSED)
    {
      run->state = NODE_RUN_QUEUED;
      node_run_refuse (node, run, EEL_ERROR_QUARANTINED);
    }
  else
    node_execute_offer (node, run);
}

/* A suspect's run has been freed; the next one follows at the next tick. */
void
node_suspect_ended (struct eel_node *node, struct node_run *run)
{
  if (run->state == NODE_RUN_APART && node->suspects_waiting > 0)
    node->suspects_waiting--;
  if (node->suspect == run->slot.id)
    node->suspect = 0;
}

/*
 * Notes a run whose connection broke.  All that break within one tick belong
 * to one crash of the upstream.
 */
void
node_suspect_crashed (struct eel_node *node, const struct node_run *run)
{
  if (node->crashed_count < NODE_CRASHED_MAX)
    node->crashed[node->crashed_count++] = run->fingerprint;
}

static void
report_quarantined (struct eel_node *node, const uint64_t *crashed, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    {
      char text[32];

      if (eel_quarantine_check (&node->quarantine, crashed[i], node->now_us)
          != EEL_QUARANTINE_REFUSED)
        continue;
      snprintf (text, sizeof text, "%016llx", (unsigned long long)crashed[i]);
      node_audit (node, EEL_AUDIT_QUARANTINE, "", text, "self",
                  "in flight at two crashes of the upstream");
      node_gossip_spread (node);
    }
}

/* Reports a crash to the quarantine table and lets the next suspect go. */
void
node_suspect_tick (struct eel_node *node)
{
  if (node->crashed_count > 0)
    {
      eel_quarantine_crashed (&node->quarantine, node->crashed,
                              node->crashed_count, node->now_us);
      report_quarantined (node, node->crashed, node->crashed_count);
      node->crashed_count = 0;
    }
  for (uint32_t i = 0; node->suspects_waiting > 0 && i < node->runs.capacity;
       i++)
    {
      struct node_run *run = node_table_at (&node->runs, i);

      if (run != NULL && run->state == NODE_RUN_APART
          && run->deadline_us <= node->now_us)
        node_run_refuse (node, run, EEL_ERROR_DEADLINE);
    }
  start_next (node);
}
