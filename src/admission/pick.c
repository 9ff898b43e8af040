#include "internal/admission.h"

/* Time above the sojourn target after which the order changes to LIFO. */
#define LIFO_DELAY_US (100 * EEL_US_PER_MS)

/* Lists of nested lookups and of the other lookups. */
#define LOOKUP_FIRST (EEL_CLASS_LOOKUP * 2)
#define LOOKUP_LAST (EEL_CLASS_LOOKUP * 2 + 1)

/* Returns 1 when the oldest short work of a list is above the target. */
static int
oldest_above_target (const struct eel_admission *admission,
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
 * Records since when the oldest queued lookup has waited longer than the
 * sojourn target.  Long work does not count: it may wait for its share of the
 * slots while short work is served without delay.
 */
void
eel_pick_update_above_target (struct eel_admission *admission, int64_t now_us)
{
  if (!oldest_above_target (admission, LOOKUP_FIRST, now_us)
      && !oldest_above_target (admission, LOOKUP_LAST, now_us))
    admission->above_target_since_us = 0;
  else if (admission->above_target_since_us == 0)
    admission->above_target_since_us = now_us;
}

/* Returns 1 when a list is served in LIFO order; critical lists never are. */
int
eel_pick_is_lifo (const struct eel_admission *admission,
                  uint32_t list,
                  int64_t now_us)
{
  if (list < LOOKUP_FIRST || admission->above_target_since_us == 0)
    return 0;
  return now_us - admission->above_target_since_us >= LIFO_DELAY_US;
}

/*
 * Returns 1 when the work may take a slot under the share of long work.  Long
 * critical work is exempt when half of its slack is used up or while critical
 * work is refused, because its class takes precedence over the wait of short
 * work.
 */
int
eel_pick_may_start (struct eel_admission *admission,
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
  return now_us < admission->critical_only_until_us
         || now_us - work->arrived_us > slack_us / 2;
}

/* Prefers callers within their share of the service time. */
static uint32_t
pick_in_list (struct eel_admission *admission, uint32_t list, int64_t now_us)
{
  int lifo = eel_pick_is_lifo (admission, list, now_us);
  uint32_t over_share = EEL_ADMISSION_NONE;
  uint32_t i = lifo ? admission->tails[list] : admission->heads[list];

  while (i != EEL_ADMISSION_NONE)
    {
      const struct eel_admission_queued *entry = &admission->queue[i];

      if (eel_pick_may_start (admission, &entry->work, now_us))
        {
          if (!eel_fair_over_share (admission, &entry->work))
            return i;
          if (over_share == EEL_ADMISSION_NONE)
            over_share = i;
        }
      i = lifo ? entry->previous : entry->next;
    }
  return over_share;
}

/* Returns the index of the work that starts next when a slot is free, or
 * EEL_ADMISSION_NONE. */
uint32_t
eel_pick_next (struct eel_admission *admission, int64_t now_us)
{
  for (uint32_t list = 0; list < EEL_ADMISSION_LISTS; list++)
    {
      uint32_t index;

      if (admission->list_queued[list] == 0
          || (list >= LOOKUP_FIRST
              && now_us < admission->critical_only_until_us))
        continue;
      index = pick_in_list (admission, list, now_us);
      if (index != EEL_ADMISSION_NONE)
        return index;
    }
  return EEL_ADMISSION_NONE;
}

/*
 * Returns the entry to evict from a full queue: one of a lower class, or, for a
 * nested call, one of the same class that is not nested, or, in a LIFO list,
 * the oldest of the same list.
 */
uint32_t
eel_pick_victim (struct eel_admission *admission,
                 const struct eel_work_item *work,
                 int64_t now_us)
{
  uint32_t own = eel_queue_list (work);

  for (uint32_t list = EEL_ADMISSION_LISTS - 1; list > own; list--)
    if (admission->list_queued[list] > 0)
      return eel_pick_is_lifo (admission, list, now_us)
                 ? admission->heads[list]
                 : admission->tails[list];
  if (eel_pick_is_lifo (admission, own, now_us))
    return admission->heads[own];
  return EEL_ADMISSION_NONE;
}

/* Returns the oldest entry of the same caller when the list is LIFO. */
uint32_t
eel_pick_caller_victim (const struct eel_admission *admission,
                        const struct eel_work_item *work,
                        int64_t now_us)
{
  uint32_t list = eel_queue_list (work);
  uint32_t bucket = eel_fair_bucket (work);

  if (!eel_pick_is_lifo (admission, list, now_us))
    return EEL_ADMISSION_NONE;
  for (uint32_t i = admission->heads[list]; i != EEL_ADMISSION_NONE;
       i = admission->queue[i].next)
    if (eel_fair_bucket (&admission->queue[i].work) == bucket)
      return i;
  return EEL_ADMISSION_NONE;
}
