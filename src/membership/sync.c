#include "membership/table.h"

/* A range with more members is split instead of sent whole. */
#define RANGE_SENT_WHOLE_MAX 14

/*
 * Token bucket for the sync requests of a node: when a partition of many nodes
 * heals, all tables differ in all ranges and each request would cause two
 * more.  Ranges that are left out are found again by the next sync.  The burst
 * lets one new node fetch the table of 2,100 members at once.
 */
#define SYNC_BURST_MAX 512
#define SYNC_RATE_PER_S 50

static int
consume_credit (struct eel_membership *membership)
{
  if (membership->sync_credit_milli < 1000)
    return 0;
  membership->sync_credit_milli -= 1000;
  return 1;
}

/* Adds the credit for the time since the last call. */
void
eel_sync_refill (struct eel_membership *membership, int64_t now_us)
{
  int64_t gap_us = now_us - membership->sync_refilled_us;

  if (gap_us < EEL_US_PER_MS)
    return;
  membership->sync_refilled_us = now_us;
  membership->sync_credit_milli += gap_us / EEL_US_PER_MS * SYNC_RATE_PER_S;
  if (membership->sync_credit_milli > SYNC_BURST_MAX * 1000)
    membership->sync_credit_milli = SYNC_BURST_MAX * 1000;
}

/*
 * Anti-entropy: two nodes whose digests differ descend together through a
 * binary tree of ranges of hashed node numbers and exchange only the ranges
 * that differ.  Neither side keeps state about it.
 */
static void
send_request (struct eel_membership *membership,
              uint32_t to,
              uint32_t range,
              struct eel_outbox *outbox)
{
  struct eel_gossip *message;
  uint32_t count;

  if (!consume_credit (membership))
    return;
  message
      = eel_message_new (membership, outbox, to, EEL_GOSSIP_SYNC_REQUEST, 0);
  if (message == NULL)
    return;
  message->target = range;
  message->digest = eel_table_digest (membership, range, &count);
  /* The request for range 1 already carried the own record. */
  if (range != 1)
    message->update_count = 0;
}

/* Starts a sync when the digest of the sender's whole table differs. */
void
eel_sync_compare (struct eel_membership *membership,
                  const struct eel_gossip *message,
                  int64_t now_us,
                  struct eel_outbox *outbox)
{
  int64_t interval = membership->config.probe_interval_us;
  uint32_t count;

  if (now_us < membership->next_sync_us
      || eel_table_digest (membership, 1, &count) == message->digest)
    return;
  /* Rate limit: digests also differ while updates are in transit. */
  membership->next_sync_us
      = now_us + 2 * interval
        + eel_rng_below (&membership->rng, (uint32_t)interval);
  send_request (membership, message->from, 1, outbox);
}

static int
in_range (uint32_t node, uint32_t range)
{
  uint32_t leaf = eel_table_leaf (node) + EEL_MEMBERSHIP_LEAVES;

  while (leaf > range)
    leaf /= 2;
  return leaf == range;
}

static struct eel_gossip *
new_range_message (struct eel_membership *membership,
                   uint32_t to,
                   uint32_t range,
                   uint64_t wants_answer,
                   struct eel_outbox *outbox)
{
  struct eel_gossip *message
      = eel_message_new (membership, outbox, to, EEL_GOSSIP_SYNC, wants_answer);
  uint32_t count;

  if (message == NULL)
    return NULL;
  message->update_count = 0;
  message->target = range;
  message->digest = eel_table_digest (membership, range, &count);
  return message;
}

/* Dead members are sent too, as the receiver may have them as alive. */
static void
send_range (struct eel_membership *membership,
            uint32_t to,
            uint32_t range,
            uint64_t wants_answer,
            struct eel_outbox *outbox)
{
  struct eel_gossip *message
      = new_range_message (membership, to, range, wants_answer, outbox);

  for (uint32_t i = 0; i < membership->count && message != NULL; i++)
    {
      const struct eel_member *member = &membership->members[i];
      struct eel_member_update update;

      if (member->state == EEL_MEMBER_UNCONFIRMED
          || !in_range (member->node, range))
        continue;
      if (message->update_count == EEL_GOSSIP_UPDATES_MAX)
        message = new_range_message (membership, to, range, 0, outbox);
      eel_table_copy_update (member, &update);
      if (message != NULL)
        eel_message_add (message, &update);
    }
}

static void
send_halves (struct eel_membership *membership,
             uint32_t to,
             uint32_t range,
             struct eel_outbox *outbox)
{
  send_request (membership, to, 2 * range, outbox);
  send_request (membership, to, 2 * range + 1, outbox);
}

/* Answers a digest that differs with the members, or splits the range. */
void
eel_sync_request (struct eel_membership *membership,
                  const struct eel_gossip *message,
                  struct eel_outbox *outbox)
{
  uint32_t range = message->target;
  uint32_t count;

  if (range == 0 || range >= 2 * EEL_MEMBERSHIP_LEAVES
      || eel_table_digest (membership, range, &count) == message->digest)
    return;
  if (range >= EEL_MEMBERSHIP_LEAVES || count <= RANGE_SENT_WHOLE_MAX)
    send_range (membership, message->from, range, 1, outbox);
  else
    send_halves (membership, message->from, range, outbox);
}

/* Sends the own members of the range back when the digests still differ. */
void
eel_sync_received (struct eel_membership *membership,
                   const struct eel_gossip *message,
                   struct eel_outbox *outbox)
{
  uint32_t range = message->target;
  uint32_t count;

  if (range == 0 || range >= 2 * EEL_MEMBERSHIP_LEAVES || message->sequence != 1
      || eel_table_digest (membership, range, &count) == message->digest)
    return;
  if (range >= EEL_MEMBERSHIP_LEAVES || count <= RANGE_SENT_WHOLE_MAX)
    send_range (membership, message->from, range, 0, outbox);
  else
    send_halves (membership, message->from, range, outbox);
}
