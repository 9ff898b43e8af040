#include "node.h"

#include <string.h>

/*
 * Posts a message.  When the mailbox is absent or full, frees what the message
 * holds, counts it and returns 0.
 */
int
node_post (struct eel_node *node, struct eel_mailbox *to, struct eel_msg *msg)
{
  if (to != NULL && eel_mailbox_post (to, msg))
    return 1;
  eel_msg_clear (msg);
  eel_wire_free (msg->wire);
  msg->wire = NULL;
  eel_metric_add (node->metrics.post_refused, 1);
  return 0;
}

/*
 * Sends a message to a node and takes ownership of it.  Messages to this node
 * go through its own inbox, so that local and remote ones share one code path.
 * Returns 0 when it was certainly not sent.
 */
int
node_post_wire (struct eel_node *node,
                uint32_t to,
                struct eel_wire_message *wire)
{
  struct eel_msg msg = { 0 };

  wire->version = EEL_WIRE_VERSION;
  wire->from = node->settings.node;
  wire->from_incarnation = node->incarnation;
  wire->sent_us = node->now_us;
  msg.wire = wire;
  msg.value = to;
  if (to == node->settings.node)
    {
      msg.kind = EEL_MSG_PEER_RECEIVED;
      return node_post (node, &node->inbox, &msg);
    }
  msg.kind = EEL_MSG_PEER_SEND;
  return node_post (node, node->out.peers, &msg);
}

/* Posts an answer and takes ownership of it. */
void
node_post_answer (struct eel_node *node,
                  struct eel_mailbox *to,
                  struct eel_answer *answer)
{
  struct eel_msg msg = { .kind = EEL_MSG_ANSWER };

  if (answer == NULL)
    return;
  msg.call_id = answer->call_id;
  msg.answer = answer;
  node_post (node, to, &msg);
}

void
node_audit (struct eel_node *node,
            enum eel_audit_kind kind,
            const char *before,
            const char *after,
            const char *source,
            const char *reason)
{
  if (node->audit != NULL)
    eel_audit_add (node->audit, kind, eel_wall_ms (), before, after, source,
                   reason);
}

/*
 * Writes the load to report to peers: admission's, with the drain state, and
 * with every class shed while the upstream is down.
 */
void
node_current_load (const struct eel_node *node, struct eel_load *load)
{
  memset (load, 0, sizeof *load);
  eel_admission_load (&node->admission, load);
  if (node->upstream_state == EEL_UPSTREAM_DOWN)
    load->shed_class = EEL_CLASS_CRITICAL;
  load->draining = node->draining || node->upstream_leaving;
}
