#include <string.h>

#include "internal/hash.h"
#include "membership/table.h"

/* Pings outside the probe set to a member that the platform lists. */
#define LISTED_PINGS 2

/* Sets the intervals; the caller sets the identity of the node. */
void
eel_membership_config_defaults (struct eel_membership_config *config)
{
  memset (config, 0, sizeof *config);
  config->probe_interval_us = EEL_US_PER_S;
  config->probe_timeout_us = 500 * EEL_US_PER_MS;
  config->suspicion_us = 3 * EEL_US_PER_S;
  config->dead_retry_us = 30 * EEL_US_PER_S;
  config->dead_forget_us = 600 * EEL_US_PER_S;
  config->probes_own_domain = 8;
  config->probes_other_domain = 1;
}

static void
add_self (struct eel_membership *membership, int64_t now_us)
{
  const struct eel_membership_config *config = &membership->config;
  struct eel_member_update update = { .node = config->self,
                                      .incarnation = config->incarnation,
                                      .generation = config->generation,
                                      .state = EEL_MEMBER_ALIVE,
                                      .domain = config->domain,
                                      .service = config->service };

  memcpy (update.address, config->address, sizeof update.address);
  eel_table_set_sends (membership, eel_table_add (membership, &update, now_us),
                       EEL_UPDATE_SENDS);
}

/* Starts with this node alone; capacity is 1 to EEL_MEMBERSHIP_MAX. */
void
eel_membership_init (struct eel_membership *membership,
                     const struct eel_membership_config *config,
                     struct eel_member *members,
                     uint32_t capacity,
                     uint64_t seed,
                     int64_t now_us)
{
  memset (membership, 0, sizeof *membership);
  membership->config = *config;
  membership->members = members;
  membership->capacity
      = capacity > EEL_MEMBERSHIP_MAX ? EEL_MEMBERSHIP_MAX : capacity;
  eel_rng_init (&membership->rng, seed);
  /* Acks of probes that an earlier process sent must not match. */
  membership->sequence = eel_rng_next (&membership->rng) >> 8;
  membership->started_us = now_us;
  /* The first refill grants the whole burst. */
  membership->sync_refilled_us = now_us - 3600 * EEL_US_PER_S;
  membership->last_tick_us = now_us;
  membership->last_ack_us = now_us - 1;
  membership->next_probe_us
      = now_us
        + eel_rng_below (&membership->rng, (uint32_t)config->probe_interval_us);
  membership->next_dead_retry_us
      = now_us
        + eel_rng_below (&membership->rng, (uint32_t)config->dead_retry_us);
  membership->probe_cursor = eel_rng_below (&membership->rng, 64);
  membership->retry_cursor
      = eel_rng_below (&membership->rng, EEL_MEMBERSHIP_MAX);
  add_self (membership, now_us);
}

/* Nothing is owned; the members' array stays the caller's. */
void
eel_membership_finish (struct eel_membership *membership)
{
  membership->count = 0;
}

/* Sets the callback for state changes; NULL disables it. */
void
eel_membership_on_change (struct eel_membership *membership,
                          eel_member_changed_func changed,
                          void *data)
{
  membership->changed = changed;
  membership->changed_data = data;
}

/*
 * Adds an unknown member as unconfirmed and schedules pings to it.  The list
 * lags, so it does not change the state of a known member; an unknown one that
 * it lists as leaving is ignored.  A new address replaces that of a dead or
 * unconfirmed member.
 */
void
eel_membership_merge_listed (struct eel_membership *membership,
                             const struct eel_member_update *entry,
                             int64_t now_us)
{
  struct eel_member *member = eel_table_find (membership, entry->node);
  struct eel_member_update update = *entry;

  if (entry->node == membership->config.self
      || entry->state == EEL_MEMBER_LEAVING || entry->state == EEL_MEMBER_DEAD)
    return;
  if (member == NULL)
    {
      update.state = EEL_MEMBER_UNCONFIRMED;
      update.generation = 0;
      update.incarnation = 0;
      member = eel_table_add (membership, &update, now_us);
      if (member != NULL)
        eel_table_set_pings (membership, member, LISTED_PINGS);
      return;
    }
  if (member->state == EEL_MEMBER_UNCONFIRMED)
    member->changed_us = now_us;
  else if (member->state != EEL_MEMBER_DEAD)
    return;
  if (strncmp (member->address, entry->address, sizeof member->address) == 0)
    return;
  memcpy (member->address, entry->address, sizeof member->address);
  member->address[sizeof member->address - 1] = 0;
  eel_table_set_pings (membership, member, LISTED_PINGS);
}

/*
 * Records that a message of the node was received.  Only a refutation by the
 * node itself changes its state at other members, so a node whose record is
 * not alive or has another incarnation is pinged with that record.
 */
void
eel_membership_record_contact (struct eel_membership *membership,
                               uint32_t node,
                               uint64_t incarnation,
                               int64_t now_us)
{
  struct eel_member *member = eel_table_find (membership, node);

  if (member == NULL || node == membership->config.self)
    return;
  member->last_received_us = now_us;
  if (member->pings_left == 0
      && (member->incarnation != incarnation
          || member->state == EEL_MEMBER_SUSPECT
          || member->state == EEL_MEMBER_DEAD
          || member->state == EEL_MEMBER_UNCONFIRMED))
    eel_table_set_pings (membership, member, 1);
}

/* The next tick sends the new state to the whole probe set. */
void
eel_membership_leave (struct eel_membership *membership, int64_t now_us)
{
  struct eel_member *self = &membership->members[0];

  if (membership->leaving)
    return;
  membership->leaving = 1;
  membership->announce_pending = 1;
  membership->next_gossip_us = now_us;
  eel_table_set (membership, self, EEL_MEMBER_LEAVING, self->generation + 1,
                 self->incarnation, "self", now_us);
  eel_table_set_sends (membership, self, EEL_UPDATE_SENDS);
}

/* Finds a member, also this node itself; valid until the next change. */
const struct eel_member *
eel_membership_find (const struct eel_membership *membership, uint32_t node)
{
  return eel_table_find (membership, node);
}

/*
 * Rendezvous hashing over the members of the domain lets all nodes select the
 * same readers without coordination.  A leaving node is no reader.
 */
int
eel_membership_is_reader (const struct eel_membership *membership,
                          uint32_t readers_per_domain)
{
  uint64_t domain = membership->config.domain;
  uint64_t weight = eel_rendezvous (domain, membership->config.self);
  uint32_t greater = 0;

  if (membership->leaving)
    return 0;
  for (uint32_t i = 1; i < membership->count; i++)
    {
      const struct eel_member *member = &membership->members[i];

      if (member->domain == domain
          && (member->state == EEL_MEMBER_ALIVE
              || member->state == EEL_MEMBER_SUSPECT)
          && eel_rendezvous (domain, member->node) > weight)
        greater++;
    }
  return greater < readers_per_domain;
}
