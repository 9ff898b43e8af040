#include "membership_fleet.h"

static void
list_received (struct fleet *fleet, uint32_t index)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      struct eel_member_update entry
          = { .node = i + 1, .domain = (uint16_t)(i % DOMAINS) };

      if (fleet->listed[i])
        eel_membership_merge_listed (&fleet->nodes[index].membership, &entry,
                                     fleet->now_us);
    }
}

static void
call_answered (struct fleet *fleet, uint32_t index, enum eel_read read)
{
  struct fleet_node *node = &fleet->nodes[index];
  struct replica *replica = &fleet->replicas[index % DOMAINS];
  uint32_t version = replica->version;
  int succeeded = node->answer_succeeds[read] && !replica->down;

  if (replica->flapping && version > 0)
    version -= eel_rng_below (&fleet->rng, version);
  if (succeeded && read == EEL_READ_VMS)
    list_received (fleet, index);
  else if (succeeded && version > 0)
    {
      succeeded = eel_read_schedule_record_version (&node->schedule, version);
      if (succeeded)
        fleet_offer (fleet, index,
                     (const uint8_t *)fleet->history[version - 1].text,
                     fleet->history[version - 1].bytes);
    }
  eel_read_schedule_done (&node->schedule, read, succeeded, fleet->now_us,
                          &fleet->rng);
  node->answer_us[read] = 0;
}

static void
call_platform (struct fleet *fleet, uint32_t index, enum eel_read read)
{
  struct fleet_node *node = &fleet->nodes[index];
  const struct replica *replica = &fleet->replicas[index % DOMAINS];
  /* Reads of both kinds share one limit; watches have their own. */
  enum eel_read limit = read == EEL_READ_WATCH ? read : EEL_READ_PRESET;

  if (node->called_us[limit] != 0
      && fleet->now_us - node->called_us[limit] < 5 * EEL_US_PER_S)
    fleet->failure = "a node called the platform twice within 5 s";
  node->called_us[limit] = fleet->now_us;
  node->answer_succeeds[read] = !replica->down;
  node->answer_us[read] = fleet->now_us + STEP_US;
  if (read == EEL_READ_WATCH && replica->version <= node->schedule.version)
    node->answer_us[read] = fleet->now_us + EEL_WATCH_MS * EEL_US_PER_MS;
}

/* Answers the due calls of a node and starts new ones. */
void
fleet_platform_step (struct fleet *fleet, uint32_t index)
{
  struct fleet_node *node = &fleet->nodes[index];
  const struct replica *replica = &fleet->replicas[index % DOMAINS];
  enum eel_read read;

  for (int i = 1; i < EEL_READ_COUNT; i++)
    if (node->answer_us[i] != 0
        && (fleet->now_us >= node->answer_us[i]
            || (i == EEL_READ_WATCH
                && replica->version > node->schedule.version)))
      call_answered (fleet, index, (enum eel_read)i);
  eel_read_schedule_set_reader (&node->schedule,
                                eel_membership_is_reader (&node->membership, 2),
                                fleet->now_us, &fleet->rng);
  while ((read = eel_read_schedule_next (&node->schedule, fleet->now_us))
         != EEL_READ_NONE)
    call_platform (fleet, index, read);
}
