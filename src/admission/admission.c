#include "internal/admission.h"

#include <string.h>

/* Time for which the other classes are refused after critical work was. */
#define CRITICAL_ONLY_US EEL_US_PER_S
/* Interval between scans of the whole queue for late work. */
#define SWEEP_INTERVAL_US (5 * EEL_US_PER_MS)
/* Work in a LIFO list that waited so many sojourn targets is shed. */
#define STALE_AGE_TARGETS 5

/* The caller keeps ownership of the queue array. */
void
eel_admission_init (struct eel_admission *admission,
                    const struct eel_admission_config *config,
                    struct eel_admission_queued *queue,
                    uint32_t queue_capacity,
                    int64_t now_us)
{
  memset (admission, 0, sizeof *admission);
  admission->config = *config;
  if (admission->config.slots == 0)
    admission->config.slots = 1;
  admission->queue = queue;
  admission->queue_capacity = queue_capacity;
  admission->demand_at_us = now_us;
  admission->caller_decayed_at_us = now_us;
  eel_queue_init (admission);
  eel_limit_init (admission, now_us);
}

/* Releases nothing: the queue array belongs to the caller. */
void
eel_admission_finish (struct eel_admission *admission)
{
  memset (admission, 0, sizeof *admission);
}

/*
 * Applies new settings to later decisions; queued and running work stays.  A
 * change of the slots scales the limit and aborts a probe.
 */
void
eel_admission_configure (struct eel_admission *admission,
                         const struct eel_admission_config *config)
{
  uint32_t slots_before = admission->config.slots;

  admission->config = *config;
  if (admission->config.slots == 0)
    admission->config.slots = 1;
  if (admission->config.slots == slots_before)
    return;
  admission->limit *= (double)admission->config.slots / slots_before;
  admission->probe.active = 0;
  if (admission->limit < 1)
    admission->limit = 1;
}

static struct eel_offer_result
refuse (struct eel_admission *admission,
        const struct eel_work_item *work,
        enum eel_error error,
        int64_t now_us)
{
  struct eel_offer_result result = { EEL_OFFER_REFUSED, error, 0 };

  if (error == EEL_ERROR_DEADLINE)
    admission->dropped_late[work->klass]++;
  else
    {
      admission->shed[work->klass]++;
      if (work->klass == EEL_CLASS_CRITICAL)
        admission->critical_only_until_us = now_us + CRITICAL_ONLY_US;
    }
  return result;
}

static void
start (struct eel_admission *admission,
       struct eel_work_item *work,
       int64_t now_us)
{
  work->started_us = now_us;
  work->is_long = (uint8_t)eel_route_is_long (admission, work->route_hash);
  eel_route_record_start (admission, work, now_us);
  eel_fair_charge (admission, work, now_us);
  admission->in_flight++;
  admission->long_in_flight += work->is_long;
  admission->started[work->klass]++;
  if (admission->in_flight > admission->window_in_flight_max)
    admission->window_in_flight_max = admission->in_flight;
}

static int
slot_free (const struct eel_admission *admission)
{
  return admission->in_flight < (uint32_t)admission->limit;
}

/* Returns 1 when a slot is free and no queued work goes before the arrival. */
static int
can_start_now (struct eel_admission *admission,
               const struct eel_work_item *work,
               int64_t now_us)
{
  uint32_t next;

  if (!slot_free (admission) || !eel_pick_may_start (admission, work, now_us))
    return 0;
  if (admission->queued == 0)
    return 1;
  next = eel_pick_next (admission, now_us);
  return next == EEL_ADMISSION_NONE
         || admission->queue[next].list > eel_queue_list (work);
}

/* Returns why the work may not be queued, apart from a full queue. */
static enum eel_error
queue_error (const struct eel_admission *admission,
             const struct eel_work_item *work)
{
  uint32_t max = eel_queue_max (admission);

  if (max == 0)
    return EEL_ERROR_OVERLOADED;
  if (work->klass == EEL_CLASS_CRITICAL)
    {
      if (eel_queue_count_below_class (admission, eel_queue_list (work)) == 0
          && eel_fair_over_queue_share (admission, work))
        return EEL_ERROR_CALLER_LIMIT;
      return EEL_OK;
    }
  if (work->klass == EEL_CLASS_BACKGROUND && admission->queued * 2 >= max)
    return EEL_ERROR_OVERLOADED;
  if (work->is_long && admission->long_queued * 2 >= max)
    return EEL_ERROR_OVERLOADED;
  if (eel_fair_over_queue_share (admission, work))
    return EEL_ERROR_CALLER_LIMIT;
  return EEL_OK;
}

/*
 * Returns 1 when the expected wait in the queue would make the work miss its
 * deadline.  Critical work that can evict work of a lower class is exempt.
 */
static int
queue_wait_too_long (struct eel_admission *admission,
                     const struct eel_work_item *work,
                     int64_t now_us)
{
  uint32_t list = eel_queue_list (work);
  struct eel_work_item adjusted = *work;

  if (work->is_long || eel_pick_is_lifo (admission, list, now_us)
      || (work->klass == EEL_CLASS_CRITICAL
          && eel_queue_count_below_class (admission, list) > 0))
    return 0;
  adjusted.deadline_us -= eel_queue_wait_us (admission, list);
  return eel_route_misses_deadline (admission, &adjusted, now_us);
}

static struct eel_offer_result
enqueue (struct eel_admission *admission,
         const struct eel_work_item *work,
         int64_t now_us)
{
  struct eel_offer_result result = { EEL_OFFER_QUEUED, EEL_OK, 0 };
  enum eel_error error = queue_error (admission, work);

  if (error == EEL_OK && queue_wait_too_long (admission, work, now_us))
    error = EEL_ERROR_OVERLOADED;
  if (error != EEL_OK && error != EEL_ERROR_CALLER_LIMIT)
    return refuse (admission, work, error, now_us);
  if (error != EEL_OK || admission->queued >= eel_queue_max (admission))
    {
      const struct eel_work_item *evicted;
      uint32_t victim;

      if (error == EEL_OK)
        {
          error = EEL_ERROR_OVERLOADED;
          victim = eel_pick_victim (admission, work, now_us);
        }
      else
        victim = eel_pick_caller_victim (admission, work, now_us);
      if (victim == EEL_ADMISSION_NONE)
        return refuse (admission, work, error, now_us);
      evicted = &admission->queue[victim].work;
      result.evicted_id = evicted->id;
      refuse (admission, evicted, EEL_ERROR_OVERLOADED, now_us);
      eel_queue_unlink (admission, victim);
    }
  eel_queue_push (admission, work);
  return result;
}

/*
 * Sets arrived_us and is_long of the work, and started_us when it starts at
 * once.  A class out of range counts as background.
 */
struct eel_offer_result
eel_admission_offer (struct eel_admission *admission,
                     struct eel_work_item *work,
                     int64_t now_us)
{
  struct eel_offer_result result = { EEL_OFFER_START, EEL_OK, 0 };

  if (work->klass >= EEL_CLASS_COUNT)
    work->klass = EEL_CLASS_BACKGROUND;
  work->arrived_us = now_us;
  work->is_long = (uint8_t)eel_route_is_long (admission, work->route_hash);
  if (eel_route_misses_deadline (admission, work, now_us))
    return refuse (admission, work, EEL_ERROR_DEADLINE, now_us);
  if (work->klass != EEL_CLASS_CRITICAL
      && now_us < admission->critical_only_until_us)
    return refuse (admission, work, EEL_ERROR_OVERLOADED, now_us);
  eel_pick_update_above_target (admission, now_us);
  if (can_start_now (admission, work, now_us))
    {
      start (admission, work, now_us);
      eel_share_record_accepted (admission, work, now_us);
      return result;
    }
  result = enqueue (admission, work, now_us);
  if (result.verdict == EEL_OFFER_QUEUED)
    eel_share_record_accepted (admission, work, now_us);
  return result;
}

/* Dequeues an entry that is late or stale. */
static int
drop_late (struct eel_admission *admission,
           uint32_t index,
           struct eel_work_item *work,
           enum eel_error *error,
           int64_t now_us)
{
  *work = admission->queue[index].work;
  eel_queue_unlink (admission, index);
  admission->dropped_late[work->klass]++;
  /* Critical work that waited beyond the sojourn target is late because of
     overload, not because of a short deadline. */
  if (work->klass == EEL_CLASS_CRITICAL
      && now_us - work->arrived_us > admission->config.queue_target_us)
    admission->critical_only_until_us = now_us + CRITICAL_ONLY_US;
  *error = EEL_ERROR_DEADLINE;
  return 1;
}

/*
 * Returns 1 for queued work below the critical class that is unlikely to be
 * served: while critical work is refused, or when it is old in a LIFO list.
 * Nested work left in the queue would occupy its parent's slot until its
 * deadline and then be dropped.
 */
static int
is_stale (const struct eel_admission *admission,
          const struct eel_admission_queued *entry,
          int64_t now_us)
{
  if (entry->work.klass == EEL_CLASS_CRITICAL)
    return 0;
  return now_us < admission->critical_only_until_us
         || (eel_pick_is_lifo (admission, entry->list, now_us)
             && now_us - entry->work.arrived_us
                    > admission->config.queue_target_us * STALE_AGE_TARGETS);
}

/* Returns a late or stale entry.  After a scan that finds none, the next one
 * follows SWEEP_INTERVAL_US later. */
static uint32_t
find_late (struct eel_admission *admission, int64_t now_us)
{
  if (now_us - admission->swept_at_us < SWEEP_INTERVAL_US)
    return EEL_ADMISSION_NONE;
  for (uint32_t list = 0; list < EEL_ADMISSION_LISTS; list++)
    for (uint32_t i = admission->heads[list]; i != EEL_ADMISSION_NONE;
         i = admission->queue[i].next)
      if (is_stale (admission, &admission->queue[i], now_us)
          || eel_route_misses_deadline (admission, &admission->queue[i].work,
                                        now_us))
        return i;
  admission->swept_at_us = now_us;
  return EEL_ADMISSION_NONE;
}

int
eel_admission_next (struct eel_admission *admission,
                    struct eel_work_item *work,
                    enum eel_error *error,
                    int64_t now_us)
{
  uint32_t index;

  *error = EEL_OK;
  if (admission->queued == 0)
    return 0;
  index = find_late (admission, now_us);
  if (index != EEL_ADMISSION_NONE)
    return drop_late (admission, index, work, error, now_us);
  if (!slot_free (admission))
    return 0;
  eel_pick_update_above_target (admission, now_us);
  index = eel_pick_next (admission, now_us);
  if (index == EEL_ADMISSION_NONE)
    return 0;
  if (eel_route_misses_deadline (admission, &admission->queue[index].work,
                                 now_us))
    return drop_late (admission, index, work, error, now_us);
  *work = admission->queue[index].work;
  eel_queue_unlink (admission, index);
  start (admission, work, now_us);
  return 1;
}

int
eel_admission_remove (struct eel_admission *admission, uint64_t id)
{
  uint32_t index = eel_queue_find (admission, id);

  if (index == EEL_ADMISSION_NONE)
    return 0;
  eel_queue_unlink (admission, index);
  return 1;
}

/* Frees the slot of started work and updates the estimates and the limit. */
void
eel_admission_done (struct eel_admission *admission,
                    const struct eel_work_item *work,
                    enum eel_work_result result,
                    int64_t now_us)
{
  if (admission->in_flight > 0)
    admission->in_flight--;
  if (work->is_long && admission->long_in_flight > 0)
    admission->long_in_flight--;
  eel_route_done (admission, work, result, now_us);
  eel_limit_done (admission, work, result, now_us);
}

/* Fills in the load sent with each answer; draining is left 0. */
void
eel_admission_load (const struct eel_admission *admission,
                    struct eel_load *load)
{
  uint32_t max = eel_queue_max (admission);
  int full = admission->queued >= max;

  memset (load, 0, sizeof *load);
  load->in_flight = admission->in_flight;
  load->queued = admission->queued;
  load->limit = (uint32_t)admission->limit;
  load->shed_class = EEL_CLASS_COUNT;
  if (admission->queued * 2 >= max && !slot_free (admission))
    load->shed_class = EEL_CLASS_BACKGROUND;
  if (full && !slot_free (admission))
    load->shed_class = eel_queue_count_below_class (admission, 0) > 0
                           ? EEL_CLASS_LOOKUP
                           : EEL_CLASS_CRITICAL;
}
