#include "membership/table.h"

/*
 * 1 when the sender's record of itself differs from the one in the table, as
 * after its restart or an accusation; the answer then carries the latter, so
 * that the sender can refute it.
 */
static int
sender_is_stale (const struct eel_membership *membership,
                 const struct eel_gossip *message)
{
  const struct eel_member *member = eel_table_find (membership, message->from);
  const struct eel_member_update *record = &message->updates[0];

  if (member == NULL || message->update_count == 0
      || record->node != message->from)
    return 0;
  return member->generation != record->generation
         || member->incarnation != record->incarnation
         || member->state != record->state;
}

static void
answer_ping (struct eel_membership *membership,
             const struct eel_gossip *message,
             struct eel_outbox *outbox)
{
  struct eel_gossip *ack = eel_message_new (membership, outbox, message->from,
                                            EEL_GOSSIP_ACK, message->sequence);

  if (ack == NULL)
    return;
  ack->target = membership->config.self;
  eel_message_fill (membership, ack, sender_is_stale (membership, message));
}

static void
handle_gossip (struct eel_membership *membership,
               const struct eel_gossip *message,
               int64_t now_us,
               struct eel_outbox *outbox)
{
  switch (message->kind)
    {
    case EEL_GOSSIP_PING:
      answer_ping (membership, message, outbox);
      eel_sync_compare (membership, message, now_us, outbox);
      break;
    case EEL_GOSSIP_ACK:
      eel_probe_acked (membership, message, now_us, outbox);
      eel_sync_compare (membership, message, now_us, outbox);
      break;
    case EEL_GOSSIP_PING_REQUEST:
      eel_probe_start (membership, message->target, message->from,
                       message->sequence, now_us, outbox);
      break;
    case EEL_GOSSIP_SYNC_REQUEST:
      eel_sync_request (membership, message, outbox);
      break;
    case EEL_GOSSIP_SYNC:
      eel_sync_received (membership, message, outbox);
      break;
    default:
      break;
    }
}

/* Merges the updates first, so that an answer already reflects them. */
size_t
eel_membership_receive (struct eel_membership *membership,
                        const struct eel_gossip *message,
                        int64_t now_us,
                        struct eel_gossip *out,
                        size_t out_max)
{
  struct eel_outbox outbox = { .items = out, .count = 0, .max = out_max };
  enum eel_update_source source
      = message->kind == EEL_GOSSIP_SYNC && message->target != 0
            ? EEL_SOURCE_SYNC
            : EEL_SOURCE_GOSSIP;
  struct eel_member *member;

  if (message->to != membership->config.self
      || message->from == membership->config.self
      || message->update_count > EEL_GOSSIP_UPDATES_MAX)
    return 0;
  for (uint32_t i = 0; i < message->update_count; i++)
    eel_merge_update (membership, &message->updates[i], source, now_us);
  member = eel_table_find (membership, message->from);
  if (member != NULL)
    member->last_received_us = now_us;
  handle_gossip (membership, message, now_us, &outbox);
  return outbox.count;
}
