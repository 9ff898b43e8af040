#include <string.h>

#include "membership/table.h"

/*
 * Starts a message with the sender's digest and its own record; returns NULL
 * when the caller's array is full.
 */
struct eel_gossip *
eel_message_new (struct eel_membership *membership,
                 struct eel_outbox *outbox,
                 uint32_t to,
                 enum eel_gossip_kind kind,
                 uint64_t sequence)
{
  struct eel_gossip *message;
  uint32_t count;

  if (outbox->count == outbox->max)
    return NULL;
  message = &outbox->items[outbox->count++];
  memset (message, 0, sizeof *message);
  message->to = to;
  message->from = membership->config.self;
  message->kind = (uint8_t)kind;
  message->sequence = sequence;
  message->digest = eel_table_digest (membership, 1, &count);
  eel_table_copy_update (&membership->members[0], &message->updates[0]);
  message->update_count = 1;
  return message;
}

/* Appends an update while there is room. */
void
eel_message_add (struct eel_gossip *message,
                 const struct eel_member_update *update)
{
  if (message->update_count < EEL_GOSSIP_UPDATES_MAX)
    message->updates[message->update_count++] = *update;
}

static void
add_receiver (struct eel_membership *membership,
              struct eel_gossip *message,
              int receiver_stale)
{
  const struct eel_member *member = eel_table_find (membership, message->to);
  int verifying;
  struct eel_member_update update;

  if (member == NULL || member->state == EEL_MEMBER_UNCONFIRMED)
    return;
  verifying = member->pings_left > 0 && member->state == EEL_MEMBER_ALIVE;
  if (!verifying && !receiver_stale && member->state == EEL_MEMBER_ALIVE)
    return;
  eel_table_copy_update (member, &update);
  /* A receiver that is alive refutes this and thereby the death report. */
  if (verifying)
    update.state = EEL_MEMBER_SUSPECT;
  eel_message_add (message, &update);
}

/*
 * Adds the receiver's record when the receiver is accused or must supersede
 * that record, so that it can refute it, and then pending updates.
 */
void
eel_message_fill (struct eel_membership *membership,
                  struct eel_gossip *message,
                  int receiver_stale)
{
  uint32_t position = membership->update_cursor;

  add_receiver (membership, message, receiver_stale);
  for (uint32_t i = 0; i < membership->count && membership->pending_updates > 0
                       && message->update_count < EEL_GOSSIP_UPDATES_MAX;
       i++)
    {
      struct eel_member *member;
      struct eel_member_update update;

      position = (position + 1) % membership->count;
      member = &membership->members[position];
      if (member->sends_left == 0)
        continue;
      eel_table_set_sends (membership, member, member->sends_left - 1);
      if (position == 0 || member->node == message->to)
        continue;
      eel_table_copy_update (member, &update);
      eel_message_add (message, &update);
    }
  membership->update_cursor = position;
}
