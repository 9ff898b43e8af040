#include <string.h>

#include "internal/hash.h"
#include "membership/table.h"

/* Fast tries of a member that the platform's list names. */
#define LISTED_TRIES 2

/* Fills in intervals; the caller sets who the node is. */
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
  eel_table_news (membership, eel_table_add (membership, &update, now_us),
                  EEL_NEWS_SENDS);
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
  /* Answers to probes of an earlier process must not match. */
  membership->sequence = eel_rng_next (&membership->rng) >> 8;
  membership->started_us = now_us;
  /* The first refill fills the whole burst. */
  membership->sync_credit_us = now_us - 3600 * EEL_US_PER_S;
  membership->last_tick_us = now_us;
  membership->acked_us = now_us - 1;
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

/* Sets who hears of changes. */
void
eel_membership_on_change (struct eel_membership *membership,
                          eel_member_changed_func changed,
                          void *data)
{
  membership->changed = changed;
  membership->changed_data = data;
}

/*
 * Adds an unknown member as unconfirmed, to be tried.  The list lags: it says
 * nothing about a member that has been heard, and "leaving" of an unknown one
 * is not worth a try.  A new address replaces that of a silent member.
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
        eel_table_contact (membership, member, LISTED_TRIES);
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
  eel_table_contact (membership, member, LISTED_TRIES);
}

/*
 * Notes that a node lives.  What others believe of it changes only by its own
 * refutation, so a doubtful one is pinged and told.
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
  member->heard_us = now_us;
  if (member->contacts_left == 0
      && (member->incarnation != incarnation
          || member->state == EEL_MEMBER_SUSPECT
          || member->state == EEL_MEMBER_DEAD
          || member->state == EEL_MEMBER_UNCONFIRMED))
    eel_table_contact (membership, member, 1);
}

/* Says so to the whole probe set with the next tick. */
void
eel_membership_leave (struct eel_membership *membership, int64_t now_us)
{
  struct eel_member *self = &membership->members[0];

  if (membership->leaving)
    return;
  membership->leaving = 1;
  membership->announce = 1;
  membership->next_gossip_us = now_us;
  eel_table_set (membership, self, EEL_MEMBER_LEAVING, self->generation + 1,
                 self->incarnation, "self", now_us);
  eel_table_news (membership, self, EEL_NEWS_SENDS);
}

/* Finds a member, also this node itself; valid until the next change. */
const struct eel_member *
eel_membership_find (const struct eel_membership *membership, uint32_t node)
{
  return eel_table_find (membership, node);
}

/*
 * Each node ranks its domain by a hash of domain and node, so that all agree
 * without messages; a leaving node hands over at once.
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
