#include <string.h>

#include "membership/table.h"

/*
 * Generations above this are refused: they could not be raised any more, so
 * a corrupt one would make a member irrefutably dead.
 */
#define GENERATION_MAX (UINT64_MAX / 2)

/* Raises the local health score; each step doubles timeouts. */
void
eel_local_health_degrade (struct eel_membership *membership)
{
  if (membership->local_health < EEL_LOCAL_HEALTH_MAX)
    membership->local_health++;
}

/*
 * Refutes an update about this node that differs from its own record: raises
 * the generation above it.  A node that restarted with empty memory supersedes
 * the record of its earlier incarnation in the same way.
 */
static void
refute (struct eel_membership *membership,
        const struct eel_member_update *update,
        int64_t now_us)
{
  struct eel_member *self = &membership->members[0];

  if (update->generation < self->generation
      || (update->generation == self->generation
          && update->incarnation == self->incarnation
          && update->state <= self->state))
    return;
  /* Other members could not reach this node; the cause may be local. */
  if (update->state == EEL_MEMBER_SUSPECT
      && update->incarnation == self->incarnation)
    eel_local_health_degrade (membership);
  membership->refutations++;
  eel_table_set (membership, self, self->state, update->generation + 1,
                 self->incarnation, "self", now_us);
  eel_table_set_sends (membership, self, EEL_UPDATE_SENDS);
}

/* Order of updates about one node; merging is a join, so tables converge. */
static int
supersedes (const struct eel_member_update *update,
            const struct eel_member *member)
{
  if (member->state == EEL_MEMBER_UNCONFIRMED)
    return 1;
  if (update->generation != member->generation)
    return update->generation > member->generation;
  if (update->state != member->state)
    return update->state > member->state;
  return update->incarnation > member->incarnation;
}

static void
add_member (struct eel_membership *membership,
            const struct eel_member_update *update,
            enum eel_update_source source,
            int64_t now_us)
{
  struct eel_member *member;
  int joining = now_us - membership->started_us
                < 10 * membership->config.probe_interval_us;

  /* An unknown dead member may have been removed from this table already. */
  if (update->state == EEL_MEMBER_DEAD)
    return;
  member = eel_table_add (membership, update, now_us);
  if (member == NULL)
    return;
  /* Other members already have what a joining node receives by a sync. */
  if (source != EEL_SOURCE_SYNC || !joining)
    eel_table_set_sends (membership, member, EEL_UPDATE_SENDS);
  if (membership->changed != NULL)
    membership->changed (membership->changed_data, member,
                         EEL_MEMBER_UNCONFIRMED, "gossip");
}

/*
 * Another node's report that a member is dead only causes a ping while the
 * member is alive or leaving in this table.  After a partition each side
 * reports the other's members dead, and members that reach them must not adopt
 * that state.
 */
static void
verify_death_report (struct eel_membership *membership,
                     struct eel_member *member,
                     const struct eel_member_update *update,
                     int64_t now_us)
{
  if (update->generation > member->generation)
    eel_table_set (membership, member, member->state, update->generation,
                   member->incarnation, "gossip", now_us);
  if (member->pings_left == 0)
    eel_table_set_pings (membership, member, 1);
}

/* Merges an update about a member, whichever node sent it. */
void
eel_merge_update (struct eel_membership *membership,
                  const struct eel_member_update *update,
                  enum eel_update_source source,
                  int64_t now_us)
{
  struct eel_member *member;

  if (update->state > EEL_MEMBER_DEAD || update->state == EEL_MEMBER_UNCONFIRMED
      || update->generation > GENERATION_MAX)
    return;
  if (update->node == membership->config.self)
    {
      refute (membership, update, now_us);
      return;
    }
  member = eel_table_find (membership, update->node);
  if (member == NULL)
    {
      add_member (membership, update, source, now_us);
      return;
    }
  if (!supersedes (update, member))
    return;
  if (update->state == EEL_MEMBER_DEAD
      && (member->state == EEL_MEMBER_ALIVE
          || member->state == EEL_MEMBER_LEAVING))
    {
      verify_death_report (membership, member, update, now_us);
      return;
    }
  member->domain = update->domain;
  member->service = update->service;
  memcpy (member->address, update->address, sizeof member->address);
  member->address[sizeof member->address - 1] = 0;
  eel_table_set_pings (membership, member, 0);
  eel_table_set_sends (membership, member, EEL_UPDATE_SENDS);
  eel_table_set (membership, member, update->state, update->generation,
                 update->incarnation, "gossip", now_us);
}
