#include "node.h"

#include <glib.h>
#include <inttypes.h>

/* Lines written in one second; the others are left out. */
#define LINES_PER_S_MAX 20

static int
may_log (struct eel_node *node)
{
  if (node->now_us - node->order_log_since_us >= EEL_US_PER_S)
    {
      node->order_log_since_us = node->now_us;
      node->order_log_lines = 0;
    }
  return node->order_log_lines++ < LINES_PER_S_MAX;
}

/* Logs an order that its decider answers with "unknown". */
void
node_order_log_unknown (struct eel_node *node, const struct eel_action *action)
{
  const struct eel_decider_record *record
      = eel_decider_find (&node->coordinator.decider, &action->key);
  const struct node_send *send;
  char key[EEL_KEY_TEXT_MAX];
  int64_t sent_ms = -1;

  if (record == NULL || !may_log (node))
    return;
  send = node_send_find_order (node, record->executor, &action->key,
                               record->attempt);
  if (send != NULL)
    sent_ms = (node->now_us - send->sent_us) / EEL_US_PER_MS;
  eel_key_encode (&action->key, key);
  g_message ("event=order_unknown key=%s attempt=%u executor=%u "
             "incarnation=%016" PRIx64 " error=%s sent_ms=%" PRId64,
             key, record->attempt, record->executor,
             record->executor_incarnation, eel_error_info (action->error)->name,
             sent_ms);
}

/* Logs the end of an attempt at an executor that leaves. */
void
node_order_log_leaving (struct eel_node *node,
                        const struct node_run *run,
                        const struct eel_answer *answer)
{
  char key[EEL_KEY_TEXT_MAX];

  if (!node->draining || run->idempotent || !may_log (node))
    return;
  eel_key_encode (&run->key, key);
  g_message (
      "event=order_ended_leaving key=%s attempt=%u decider=%u error=%s "
      "drain_ms=%" PRId64 " exiting=%u",
      key, run->attempt, run->slot.origin, eel_error_info (answer->error)->name,
      (node->now_us - node->drain_started_us) / EEL_US_PER_MS, node->exiting);
}
