#include <string.h>

#include "internal/hash.h"
#include "membership/table.h"

#define GOSSIP_ROUNDS_PER_PROBE 5
/* Pings outside the probe set in one gossip round. */
#define PINGS_PER_ROUND 1
/*
 * Dead members that are retained past dead_forget_us, for up to
 * DEAD_RETENTION_FACTOR times that long.  After a partition of an hour one of
 * them answers, and a sync restores the rest even when the platform's list
 * cannot be read.
 */
#define DEAD_RETAINED_MAX 16
#define DEAD_RETENTION_FACTOR 12

/*
 * A late tick means that this process was paused or is slow: acks may be
 * queued unread, so that time does not count against other members.
 */
static void
compensate_late_tick (struct eel_membership *membership, int64_t now_us)
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
  eel_local_health_degrade (membership);
  eel_local_health_degrade (membership);
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
      if (member->last_received_us > member->changed_us)
        {
          /* The member is alive; it needs the accusation to refute it. */
          member->changed_us = now_us;
          eel_table_set_pings (membership, member, 2);
          continue;
        }
      eel_table_set (membership, member, EEL_MEMBER_DEAD, member->generation,
                     member->incarnation, "probe", now_us);
      eel_table_set_sends (membership, member, EEL_UPDATE_SENDS);
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
ping_next (struct eel_membership *membership,
           int64_t now_us,
           struct eel_outbox *outbox)
{
  uint32_t left = PINGS_PER_ROUND;

  for (uint32_t i = 0;
       i < membership->count && left > 0 && membership->pending_pings > 0; i++)
    {
      struct eel_member *member;

      membership->ping_cursor
          = (membership->ping_cursor + 1) % membership->count;
      member = &membership->members[membership->ping_cursor];
      if (member->pings_left == 0)
        continue;
      eel_probe_start (membership, member->node, 0, 0, now_us, outbox);
      eel_table_set_pings (membership, member, member->pings_left - 1);
      left--;
    }
}

static void
send_updates (struct eel_membership *membership,
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
        + jittered (membership, membership->config.probe_interval_us
                                    / GOSSIP_ROUNDS_PER_PROBE);
  ping_next (membership, now_us, outbox);
  eel_probe_set_refresh (membership);
  peers = membership->probe_set_count;
  if (peers == 0)
    return;
  for (uint32_t i = 0; i < peers && membership->announce_pending; i++)
    send_updates (membership, membership->probe_set[i], outbox);
  membership->announce_pending = 0;
  if (membership->pending_updates > 0)
    send_updates (
        membership,
        membership->probe_set[eel_rng_below (&membership->rng, peers)], outbox);
}

/* Pings one dead or unconfirmed member, so that a partition heals. */
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
      if (member->pings_left > 0
          || (member->state != EEL_MEMBER_DEAD
              && member->state != EEL_MEMBER_UNCONFIRMED))
        continue;
      eel_probe_start (membership, member->node, 0, 0, now_us, outbox);
      return;
    }
}

/* 1 when fewer than DEAD_RETAINED_MAX dead members have a greater weight. */
static int
is_retained_dead (const struct eel_membership *membership,
                  const struct eel_member *member)
{
  uint64_t weight = eel_rendezvous (membership->config.self, member->node);
  uint32_t greater = 0;

  for (uint32_t i = 1; i < membership->count; i++)
    if (membership->members[i].state == EEL_MEMBER_DEAD
        && eel_rendezvous (membership->config.self, membership->members[i].node)
               > weight)
      greater++;
  return greater < DEAD_RETAINED_MAX;
}

static void
remove_expired (struct eel_membership *membership, int64_t now_us)
{
  int64_t retention_us = membership->config.dead_forget_us;

  if (now_us < membership->next_forget_us)
    return;
  membership->next_forget_us = now_us + membership->config.probe_interval_us;
  for (uint32_t i = membership->count; i-- > 1;)
    {
      const struct eel_member *member = &membership->members[i];
      int64_t age_us = now_us - member->changed_us;

      if (age_us < retention_us
          || (member->state != EEL_MEMBER_DEAD
              && member->state != EEL_MEMBER_UNCONFIRMED))
        continue;
      if (member->state == EEL_MEMBER_DEAD
          && age_us < DEAD_RETENTION_FACTOR * retention_us
          && is_retained_dead (membership, member))
        continue;
      eel_table_remove (membership, i);
    }
}

/*
 * Runs the timers.  Call it at least four times in each probe timeout; a
 * longer gap counts as a pause of this process.
 */
size_t
eel_membership_tick (struct eel_membership *membership,
                     int64_t now_us,
                     struct eel_gossip *out,
                     size_t out_max)
{
  struct eel_outbox outbox = { .items = out, .count = 0, .max = out_max };

  compensate_late_tick (membership, now_us);
  membership->last_tick_us = now_us;
  eel_sync_refill (membership, now_us);
  eel_probe_expire (membership, now_us, &outbox);
  expire_suspects (membership, now_us);
  probe_next (membership, now_us, &outbox);
  gossip_next (membership, now_us, &outbox);
  retry_next (membership, now_us, &outbox);
  remove_expired (membership, now_us);
  return outbox.count;
}
