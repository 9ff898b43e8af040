#include "internal/admission.h"

/* How long the queue must be over its target to serve newest first. */
#define ABOVE_TARGET_INTERVAL_US (100 * EEL_US_PER_MS)

/* Lists of fresh and nested lookups. */
#define LOOKUP_FIRST (EEL_CLASS_LOOKUP * 2)
#define LOOKUP_LAST (EEL_CLASS_LOOKUP * 2 + 1)

/* Returns 1 when the oldest short lookup of a list is above the target. */
static int
above_target (const struct eel_admission *admission,
              uint32_t list,
              int64_t now_us)
{
  uint32_t i = admission->heads[list];

  while (i != EEL_ADMISSION_NONE && admission->queue[i].work.is_long)
    i = admission->queue[i].next;
  return i != EEL_ADMISSION_NONE
         && now_us - admission->queue[i].work.arrived_us
                > admission->config.queue_target_us;
}

/*
 * Notes since when the oldest queued lookup is older than the target.  Long
 * work does not count: it waits for its share while short work flows.
 */
void
eel_pick_observe (struct eel_admission *admission, int64_t now_us)
{
  if (!above_target (admission, LOOKUP_FIRST, now_us)
      && !above_target (admission, LOOKUP_LAST, now_us))
    admission->above_target_since_us = 0;
  else if (admission->above_target_since_us == 0)
    admission->above_target_since_us = now_us;
}

/* Returns 1 when a list is served newest first now. */
int
eel_pick_newest_first (const struct eel_admission *admission,
                       uint32_t list,
                       int64_t now_us)
{
  if (list < LOOKUP_FIRST || admission->above_target_since_us == 0)
    return 0;
  return now_us - admission->above_target_since_us >= ABOVE_TARGET_INTERVAL_US;
}

/*
 * Returns 1 when the work may take a slot under the share of long work.  A
 * long order that has used half of its slack, or while orders are refused,
 * starts anyway: its class goes before the wait of short work.
 */
int
eel_pick_long_ok (struct eel_admission *admission,
                  const struct eel_work_item *work,
                  int64_t now_us)
{
  int64_t slack_us;

  if (!eel_route_is_long (admission, work->route_hash)
      || admission->long_in_flight < eel_share_long_allowed (admission))
    return 1;
  if (work->klass != EEL_CLASS_CRITICAL)
    return 0;
  slack_us = work->deadline_us - work->arrived_us
             - eel_route_mean_us (admission, work->route_hash);
  return now_us < admission->held_until_us
         || now_us - work->arrived_us > slack_us / 2;
}

/* Picks from one list, callers within their share first. */
static uint32_t
pick_in_list (struct eel_admission *admission, uint32_t list, int64_t now_us)
{
  int newest = eel_pick_newest_first (admission, list, now_us);
  uint32_t other = EEL_ADMISSION_NONE;
  uint32_t i = newest ? admission->tails[list] : admission->heads[list];

  while (i != EEL_ADMISSION_NONE)
    {
      const struct eel_admission_queued *entry = &admission->queue[i];

      if (eel_pick_long_ok (admission, &entry->work, now_us))
        {
          if (!eel_fair_over (admission, &entry->work))
            return i;
          if (other == EEL_ADMISSION_NONE)
            other = i;
        }
      i = newest ? entry->previous : entry->next;
    }
  return other;
}

/* Returns the queued work that starts next if a slot is free. */
uint32_t
eel_pick (struct eel_admission *admission, int64_t now_us)
{
  for (uint32_t list = 0; list < EEL_ADMISSION_LISTS; list++)
    {
      uint32_t index;

      if (admission->list_queued[list] == 0
          || (list >= LOOKUP_FIRST && now_us < admission->held_until_us))
        continue;
      index = pick_in_list (admission, list, now_us);
      if (index != EEL_ADMISSION_NONE)
        return index;
    }
  return EEL_ADMISSION_NONE;
}

/*
 * Returns the entry that gives its place in a full queue: of a lower class, or
 * fresh work of the same class for a nested call, or, newest first, the oldest
 * of the same list.
 */
uint32_t
eel_pick_victim (struct eel_admission *admission,
                 const struct eel_work_item *work,
                 int64_t now_us)
{
  uint32_t own = eel_queue_list (work);

  for (uint32_t list = EEL_ADMISSION_LISTS - 1; list > own; list--)
    if (admission->list_queued[list] > 0)
      return eel_pick_newest_first (admission, list, now_us)
                 ? admission->heads[list]
                 : admission->tails[list];
  if (eel_pick_newest_first (admission, own, now_us))
    return admission->heads[own];
  return EEL_ADMISSION_NONE;
}

/* Returns the oldest lookup of the same caller when newest go first. */
uint32_t
eel_pick_own_victim (const struct eel_admission *admission,
                     const struct eel_work_item *work,
                     int64_t now_us)
{
  uint32_t list = eel_queue_list (work);
  uint32_t bucket = eel_fair_bucket (work);

  if (!eel_pick_newest_first (admission, list, now_us))
    return EEL_ADMISSION_NONE;
  for (uint32_t i = admission->heads[list]; i != EEL_ADMISSION_NONE;
       i = admission->queue[i].next)
    if (eel_fair_bucket (&admission->queue[i].work) == bucket)
      return i;
  return EEL_ADMISSION_NONE;
}
