#include <string.h>

#include "internal/hash.h"
#include "membership/table.h"

/* Gossip rounds in one probe interval. */
#define GOSSIP_ROUNDS 5
/* Pings outside the probe set in one gossip round. */
#define CONTACTS_A_ROUND 1
/*
 * Dead members that are kept past dead_forget_us, up to RETAIN_FACTOR times
 * as long: after a partition of an hour one of them answers, and a sync
 * brings the rest back, even when the platform's list is out of reach.
 */
#define DEAD_KEPT 16
#define RETAIN_FACTOR 12

/*
 * A tick that comes late means that this process was paused or is slow:
 * acknowledgements may wait unread, so nobody is accused for that time.
 */
static void
late_tick (struct eel_membership *membership, int64_t now_us)
{
  int64_t gap = now_us - membership->last_tick_us;
  int64_t expected = membership->config.probe_timeout_us / 4;

  if (gap <= expected)
    return;
  for (uint32_t i = 0; i < EEL_MEMBERSHIP_PROBES_MAX; i++)
    membership->probes[i].sent_us += gap - expected;
  for (uint32_t i = 1; i < membership->count; i++)
    if (membership->members[i].state == EEL_MEMBER_SUSPECT)
      membership->members[i].changed_us += gap - expected;
  if (gap <= membership->config.probe_timeout_us)
    return;
  membership->late_ticks++;
  memset (membership->probes, 0, sizeof membership->probes);
  eel_local_health_worse (membership);
  eel_local_health_worse (membership);
}

static void
expire_suspects (struct eel_membership *membership, int64_t now_us)
{
  int64_t limit = membership->config.suspicion_us << membership->local_health;

  for (uint32_t i = 1;
       i < membership->count && membership->state_count[EEL_MEMBER_SUSPECT] > 0;
       i++)
    {
      struct eel_member *member = &membership->members[i];

      if (member->state != EEL_MEMBER_SUSPECT
          || now_us - member->changed_us < limit)
        continue;
      if (member->heard_us > member->changed_us)
        {
          /* It lives; it must hear the accusation to refute it. */
          member->changed_us = now_us;
          eel_table_contact (membership, member, 2);
          continue;
        }
      eel_table_set (membership, member, EEL_MEMBER_DEAD, member->generation,
                     member->incarnation, "probe", now_us);
      eel_table_news (membership, member, EEL_NEWS_SENDS);
    }
}

static int64_t
jittered (struct eel_membership *membership, int64_t interval_us)
{
  return interval_us * 9 / 10
         + eel_rng_below (&membership->rng, (uint32_t)(interval_us / 5) + 1);
}

static void
probe_next (struct eel_membership *membership,
            int64_t now_us,
            struct eel_outbox *outbox)
{
  if (now_us < membership->next_probe_us)
    return;
  membership->next_probe_us
      = now_us + jittered (membership, membership->config.probe_interval_us);
  eel_probe_set_refresh (membership);
  if (membership->probe_set_count == 0)
    return;
  membership->probe_cursor
      = (membership->probe_cursor + 1) % membership->probe_set_count;
  eel_probe_start (membership, membership->probe_set[membership->probe_cursor],
                   0, 0, now_us, outbox);
}

static void
contact_next (struct eel_membership *membership,
              int64_t now_us,
              struct eel_outbox *outbox)
{
  uint32_t left = CONTACTS_A_ROUND;

  for (uint32_t i = 0;
       i < membership->count && left > 0 && membership->contacts > 0; i++)
    {
      struct eel_member *member;

      membership->contact_cursor
          = (membership->contact_cursor + 1) % membership->count;
      member = &membership->members[membership->contact_cursor];
      if (member->contacts_left == 0)
        continue;
      eel_probe_start (membership, member->node, 0, 0, now_us, outbox);
      eel_table_contact (membership, member, member->contacts_left - 1);
      left--;
    }
}

static void
send_news (struct eel_membership *membership,
           uint32_t node,
           struct eel_outbox *outbox)
{
  struct eel_gossip *message
      = eel_message_new (membership, outbox, node, EEL_GOSSIP_SYNC, 0);

  if (message != NULL)
    eel_message_fill (membership, message, 0);
}

static void
gossip_next (struct eel_membership *membership,
             int64_t now_us,
             struct eel_outbox *outbox)
{
  uint32_t peers;

  if (now_us < membership->next_gossip_us)
    return;
  membership->next_gossip_us
      = now_us
        + jittered (membership,
                    membership->config.probe_interval_us / GOSSIP_ROUNDS);
  contact_next (membership, now_us, outbox);
  eel_probe_set_refresh (membership);
  peers = membership->probe_set_count;
  if (peers == 0)
    return;
  for (uint32_t i = 0; i < peers && membership->announce; i++)
    send_news (membership, membership->probe_set[i], outbox);
  membership->announce = 0;
  if (membership->news > 0)
    send_news (membership,
               membership->probe_set[eel_rng_below (&membership->rng, peers)],
               outbox);
}

/* Tries one member that does not answer, so that a partition heals. */
static void
retry_next (struct eel_membership *membership,
            int64_t now_us,
            struct eel_outbox *outbox)
{
  if (now_us < membership->next_dead_retry_us)
    return;
  membership->next_dead_retry_us
      = now_us + jittered (membership, membership->config.dead_retry_us);
  for (uint32_t i = 0; i < membership->count; i++)
    {
      const struct eel_member *member;

      membership->retry_cursor
          = (membership->retry_cursor + 1) % membership->count;
      member = &membership->members[membership->retry_cursor];
      if (member->contacts_left > 0
          || (member->state != EEL_MEMBER_DEAD
              && member->state != EEL_MEMBER_UNCONFIRMED))
        continue;
      eel_probe_start (membership, member->node, 0, 0, now_us, outbox);
      return;
    }
}

/* 1 when fewer than DEAD_KEPT dead members have a greater weight. */
static int
kept_dead (const struct eel_membership *membership,
           const struct eel_member *member)
{
  uint64_t weight = eel_rendezvous (membership->config.self, member->node);
  uint32_t greater = 0;

  for (uint32_t i = 1; i < membership->count; i++)
    if (membership->members[i].state == EEL_MEMBER_DEAD
        && eel_rendezvous (membership->config.self, membership->members[i].node)
               > weight)
      greater++;
  return greater < DEAD_KEPT;
}

static void
forget (struct eel_membership *membership, int64_t now_us)
{
  int64_t after = membership->config.dead_forget_us;

  if (now_us < membership->next_forget_us)
    return;
  membership->next_forget_us = now_us + membership->config.probe_interval_us;
  for (uint32_t i = membership->count; i-- > 1;)
    {
      const struct eel_member *member = &membership->members[i];
      int64_t silent = now_us - member->changed_us;

      if (silent < after
          || (member->state != EEL_MEMBER_DEAD
              && member->state != EEL_MEMBER_UNCONFIRMED))
        continue;
      if (member->state == EEL_MEMBER_DEAD && silent < RETAIN_FACTOR * after
          && kept_dead (membership, member))
        continue;
      eel_table_remove (membership, i);
    }
}

/*
 * Does what is due.  Call it at least four times in each probe timeout; a
 * longer gap counts as a pause of this process.
 */
size_t
eel_membership_tick (struct eel_membership *membership,
                     int64_t now_us,
                     struct eel_gossip *out,
                     size_t out_max)
{
  struct eel_outbox outbox = { .items = out, .count = 0, .max = out_max };

  late_tick (membership, now_us);
  membership->last_tick_us = now_us;
  eel_sync_refill (membership, now_us);
  eel_probe_expire (membership, now_us, &outbox);
  expire_suspects (membership, now_us);
  probe_next (membership, now_us, &outbox);
  gossip_next (membership, now_us, &outbox);
  retry_next (membership, now_us, &outbox);
  forget (membership, now_us);
  return outbox.count;
}
