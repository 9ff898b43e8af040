#include <string.h>

#include "internal/hash.h"
#include "membership/table.h"

/* Members that are asked to ping a target which did not answer. */
#define INDIRECT_PEERS 3

struct choice
{
  uint32_t node;
  uint16_t domain;
  uint64_t weight;
};

struct choices
{
  struct choice items[EEL_PROBE_SET_MAX];
  uint32_t count;
};

static int
probed_state (uint8_t state)
{
  return state == EEL_MEMBER_ALIVE || state == EEL_MEMBER_SUSPECT
         || state == EEL_MEMBER_LEAVING;
}

/* 1 for a member whose silence would be news. */
static int
responsive (const struct eel_member *member)
{
  return member->state == EEL_MEMBER_ALIVE
         || member->state == EEL_MEMBER_LEAVING;
}

/* Keeps the heaviest candidates of each domain, up to the domain's share. */
static void
choose (struct choices *choices,
        const struct eel_member *member,
        uint64_t weight,
        uint32_t share)
{
  struct choice *lightest = NULL;
  uint32_t held = 0;

  for (uint32_t i = 0; i < choices->count; i++)
    if (choices->items[i].domain == member->domain)
      {
        held++;
        if (lightest == NULL || choices->items[i].weight < lightest->weight)
          lightest = &choices->items[i];
      }
  if (held < share && choices->count < EEL_PROBE_SET_MAX)
    lightest = &choices->items[choices->count++];
  else if (lightest == NULL || weight <= lightest->weight)
    return;
  lightest->node = member->node;
  lightest->domain = member->domain;
  lightest->weight = weight;
}

/*
 * Weight of a candidate.  The next higher node number of the own domain,
 * cyclic, goes before all others: rendezvous alone leaves one member in 3,000
 * without an observer in its domain.
 */
static uint64_t
probe_weight (const struct eel_membership *membership,
              const struct eel_member *member,
              uint32_t successor)
{
  if (member->node == successor)
    return UINT64_MAX;
  return eel_rendezvous (membership->config.self, member->node);
}

static uint32_t
own_successor (const struct eel_membership *membership)
{
  uint32_t self = membership->config.self;
  uint32_t best = self;

  for (uint32_t i = 1; i < membership->count; i++)
    {
      const struct eel_member *member = &membership->members[i];

      if (member->domain == membership->config.domain
          && probed_state (member->state)
          && (best == self || member->node - self < best - self))
        best = member->node;
    }
  return best;
}

/* Writes the node numbers that this node probes. */
size_t
eel_membership_probe_set (const struct eel_membership *membership,
                          uint32_t *out,
                          size_t out_max)
{
  uint32_t successor = own_successor (membership);
  struct choices choices = { .count = 0 };
  size_t count = 0;

  for (uint32_t i = 1; i < membership->count; i++)
    {
      const struct eel_member *member = &membership->members[i];
      uint32_t share = member->domain == membership->config.domain
                           ? membership->config.probes_own_domain
                           : membership->config.probes_other_domain;

      if (probed_state (member->state) && share > 0)
        choose (&choices, member, probe_weight (membership, member, successor),
                share);
    }
  for (; count < choices.count && count < out_max; count++)
    out[count] = choices.items[count].node;
  return count;
}

/* Recomputes the cached probe set after a change of the table. */
void
eel_probe_set_refresh (struct eel_membership *membership)
{
  if (!membership->probe_set_stale)
    return;
  membership->probe_set_stale = 0;
  membership->probe_set_count = (uint32_t)eel_membership_probe_set (
      membership, membership->probe_set, EEL_PROBE_SET_MAX);
}

static int64_t
probe_timeout (const struct eel_membership *membership,
               const struct eel_probe *probe)
{
  /* An indirect probe crosses the network twice as often. */
  int64_t timeout = membership->config.probe_timeout_us
                    << membership->local_health;

  return probe->indirect ? 3 * timeout : timeout;
}

/*
 * Pings a node; for_node is who asked for it, or 0.  The probe is noted when
 * its failure matters: a suspect or dead member answers by refuting.
 */
void
eel_probe_start (struct eel_membership *membership,
                 uint32_t node,
                 uint32_t for_node,
                 uint64_t for_sequence,
                 int64_t now_us,
                 struct eel_outbox *outbox)
{
  const struct eel_member *member = eel_table_find (membership, node);
  struct eel_probe *slot = NULL;
  struct eel_gossip *message;

  if (member == NULL)
    return;
  for (uint32_t i = 0; i < EEL_MEMBERSHIP_PROBES_MAX; i++)
    if (membership->probes[i].sequence == 0)
      slot = &membership->probes[i];
    else if (membership->probes[i].node == node
             && membership->probes[i].for_node == for_node && for_sequence == 0)
      return;
  if (slot == NULL)
    return;
  message = eel_message_new (membership, outbox, node, EEL_GOSSIP_PING,
                             ++membership->sequence);
  if (message == NULL)
    return;
  eel_message_fill (membership, message, 0);
  if (for_node == 0 && !responsive (member))
    return;
  memset (slot, 0, sizeof *slot);
  slot->node = node;
  slot->sequence = membership->sequence;
  slot->sent_us = now_us;
  slot->for_node = for_node;
  slot->for_sequence = for_sequence;
}

static void
probe_indirectly (struct eel_membership *membership,
                  struct eel_probe *probe,
                  int64_t now_us,
                  struct eel_outbox *outbox)
{
  uint32_t asked = 0;
  uint32_t first;

  eel_probe_set_refresh (membership);
  first = eel_rng_below (&membership->rng, membership->probe_set_count);
  for (uint32_t i = 0; i < membership->probe_set_count; i++)
    {
      uint32_t node
          = membership->probe_set[(first + i) % membership->probe_set_count];
      struct eel_gossip *message;

      if (node == probe->node || asked == INDIRECT_PEERS)
        continue;
      message = eel_message_new (membership, outbox, node,
                                 EEL_GOSSIP_PING_REQUEST, probe->sequence);
      if (message == NULL)
        return;
      message->target = probe->node;
      eel_message_fill (membership, message, 0);
      asked++;
    }
  probe->indirect = 1;
  probe->sent_us = now_us;
}

/*
 * A probe without answer accuses its target only when another probe was
 * answered meanwhile; else the fault may be this node's, and its local health
 * is lowered first.
 */
static void
probe_failed (struct eel_membership *membership,
              const struct eel_probe *probe,
              int64_t now_us)
{
  struct eel_member *member = eel_table_find (membership, probe->node);
  int healthy = membership->acked_us >= probe->sent_us
                || membership->local_health == EEL_LOCAL_HEALTH_MAX;

  if (member == NULL || !responsive (member))
    return;
  eel_local_health_worse (membership);
  if (!healthy)
    return;
  if (member->state == EEL_MEMBER_ALIVE)
    eel_table_set (membership, member, EEL_MEMBER_SUSPECT, member->generation,
                   member->incarnation, "probe", now_us);
  else
    eel_table_set (membership, member, EEL_MEMBER_DEAD, member->generation,
                   member->incarnation, "probe", now_us);
  eel_table_news (membership, member, EEL_NEWS_SENDS);
  if (member->state == EEL_MEMBER_SUSPECT)
    eel_table_contact (membership, member, 2);
}

/* Turns overdue probes into indirect ones, and those into suspicion. */
void
eel_probe_expire (struct eel_membership *membership,
                  int64_t now_us,
                  struct eel_outbox *outbox)
{
  for (uint32_t i = 0; i < EEL_MEMBERSHIP_PROBES_MAX; i++)
    {
      struct eel_probe *probe = &membership->probes[i];

      if (probe->sequence == 0
          || now_us - probe->sent_us < probe_timeout (membership, probe))
        continue;
      if (probe->for_node == 0 && !probe->indirect)
        probe_indirectly (membership, probe, now_us, outbox);
      else
        {
          if (probe->for_node == 0)
            probe_failed (membership, probe, now_us);
          memset (probe, 0, sizeof *probe);
        }
    }
}

static void
relay_ack (struct eel_membership *membership,
           const struct eel_probe *probe,
           struct eel_outbox *outbox)
{
  const struct eel_member *member = eel_table_find (membership, probe->node);
  struct eel_gossip *message = eel_message_new (
      membership, outbox, probe->for_node, EEL_GOSSIP_ACK, probe->for_sequence);
  struct eel_member_update update;

  if (message == NULL || member == NULL)
    return;
  message->target = probe->node;
  eel_table_update (member, &update);
  eel_message_add (message, &update);
  eel_message_fill (membership, message, 0);
}

/* Ends the probe that an ack answers; the target of the ack is who lives. */
void
eel_probe_acked (struct eel_membership *membership,
                 const struct eel_gossip *message,
                 int64_t now_us,
                 struct eel_outbox *outbox)
{
  for (uint32_t i = 0; i < EEL_MEMBERSHIP_PROBES_MAX; i++)
    {
      struct eel_probe probe = membership->probes[i];

      if (probe.sequence == 0 || probe.sequence != message->sequence
          || probe.node != message->target)
        continue;
      memset (&membership->probes[i], 0, sizeof probe);
      if (probe.for_node != 0)
        {
          relay_ack (membership, &probe, outbox);
          return;
        }
      membership->acked_us = now_us;
      if (membership->local_health > 0)
        membership->local_health--;
      return;
    }
}
