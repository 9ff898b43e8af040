#include <string.h>

#include "internal/hash.h"
#include "membership/table.h"

/* Members that receive a ping request for a target without answer. */
#define INDIRECT_PEERS 3

struct candidate
{
  uint32_t node;
  uint16_t domain;
  uint64_t weight;
};

struct candidates
{
  struct candidate items[EEL_PROBE_SET_MAX];
  uint32_t count;
};

static int
is_probed_state (uint8_t state)
{
  return state == EEL_MEMBER_ALIVE || state == EEL_MEMBER_SUSPECT
         || state == EEL_MEMBER_LEAVING;
}

/* 1 for a member whose failed probe changes its state. */
static int
is_responsive (const struct eel_member *member)
{
  return member->state == EEL_MEMBER_ALIVE
         || member->state == EEL_MEMBER_LEAVING;
}

/* Keeps the candidates of a domain with the greatest weights, up to quota. */
static void
add_candidate (struct candidates *candidates,
               const struct eel_member *member,
               uint64_t weight,
               uint32_t quota)
{
  struct candidate *lightest = NULL;
  uint32_t chosen = 0;

  for (uint32_t i = 0; i < candidates->count; i++)
    if (candidates->items[i].domain == member->domain)
      {
        chosen++;
        if (lightest == NULL || candidates->items[i].weight < lightest->weight)
          lightest = &candidates->items[i];
      }
  if (chosen < quota && candidates->count < EEL_PROBE_SET_MAX)
    lightest = &candidates->items[candidates->count++];
  else if (lightest == NULL || weight <= lightest->weight)
    return;
  lightest->node = member->node;
  lightest->domain = member->domain;
  lightest->weight = weight;
}

/*
 * Weight of a candidate.  The next higher node number of the own domain,
 * cyclic, precedes all others: rendezvous hashing alone leaves one member in
 * 3,000 without an observer in its domain.
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
domain_successor (const struct eel_membership *membership)
{
  uint32_t self = membership->config.self;
  uint32_t best = self;

  for (uint32_t i = 1; i < membership->count; i++)
    {
      const struct eel_member *member = &membership->members[i];

      if (member->domain == membership->config.domain
          && is_probed_state (member->state)
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
  uint32_t successor = domain_successor (membership);
  struct candidates candidates = { .count = 0 };
  size_t count = 0;

  for (uint32_t i = 1; i < membership->count; i++)
    {
      const struct eel_member *member = &membership->members[i];
      uint32_t quota = member->domain == membership->config.domain
                           ? membership->config.probes_own_domain
                           : membership->config.probes_other_domain;

      if (is_probed_state (member->state) && quota > 0)
        add_candidate (&candidates, member,
                       probe_weight (membership, member, successor), quota);
    }
  for (; count < candidates.count && count < out_max; count++)
    out[count] = candidates.items[count].node;
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
  /* An indirect probe takes twice as many network hops, and one more node
     handles it. */
  int64_t timeout = membership->config.probe_timeout_us
                    << membership->local_health;

  return probe->indirect ? 3 * timeout : timeout;
}

/*
 * Pings a node; requester is the node that requested the ping, or 0.  A probe
 * is tracked only when its failure matters: a suspect or dead member answers
 * by refuting.
 */
void
eel_probe_start (struct eel_membership *membership,
                 uint32_t node,
                 uint32_t requester,
                 uint64_t requester_sequence,
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
             && membership->probes[i].requester == requester
             && requester_sequence == 0)
      return;
  if (slot == NULL)
    return;
  message = eel_message_new (membership, outbox, node, EEL_GOSSIP_PING,
                             ++membership->sequence);
  if (message == NULL)
    return;
  eel_message_fill (membership, message, 0);
  if (requester == 0 && !is_responsive (member))
    return;
  memset (slot, 0, sizeof *slot);
  slot->node = node;
  slot->sequence = membership->sequence;
  slot->sent_us = now_us;
  slot->requester = requester;
  slot->requester_sequence = requester_sequence;
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
 * An unanswered probe accuses its target only when another probe was answered
 * meanwhile or the local health is at its worst.  Otherwise the fault may be
 * this node's, and only its local health degrades.
 */
static void
probe_failed (struct eel_membership *membership,
              const struct eel_probe *probe,
              int64_t now_us)
{
  struct eel_member *member = eel_table_find (membership, probe->node);
  int healthy = membership->last_ack_us >= probe->sent_us
                || membership->local_health == EEL_LOCAL_HEALTH_MAX;

  if (member == NULL || !is_responsive (member))
    return;
  eel_local_health_degrade (membership);
  if (!healthy)
    return;
  if (member->state == EEL_MEMBER_ALIVE)
    eel_table_set (membership, member, EEL_MEMBER_SUSPECT, member->generation,
                   member->incarnation, "probe", now_us);
  else
    eel_table_set (membership, member, EEL_MEMBER_DEAD, member->generation,
                   member->incarnation, "probe", now_us);
  eel_table_set_sends (membership, member, EEL_UPDATE_SENDS);
  if (member->state == EEL_MEMBER_SUSPECT)
    eel_table_set_pings (membership, member, 2);
}

/* Retries overdue probes indirectly; overdue indirect ones have failed. */
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
      if (probe->requester == 0 && !probe->indirect)
        probe_indirectly (membership, probe, now_us, outbox);
      else
        {
          if (probe->requester == 0)
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
  struct eel_gossip *message
      = eel_message_new (membership, outbox, probe->requester, EEL_GOSSIP_ACK,
                         probe->requester_sequence);
  struct eel_member_update update;

  if (message == NULL || member == NULL)
    return;
  message->target = probe->node;
  eel_table_copy_update (member, &update);
  eel_message_add (message, &update);
  eel_message_fill (membership, message, 0);
}

/* Ends the probe that an ack answers; the ack's target is the probed node. */
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
      if (probe.requester != 0)
        {
          relay_ack (membership, &probe, outbox);
          return;
        }
      membership->last_ack_us = now_us;
      if (membership->local_health > 0)
        membership->local_health--;
      return;
    }
}
