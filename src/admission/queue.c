#include "internal/admission.h"

void
eel_queue_init (struct eel_admission *admission)
{
  for (uint32_t i = 0; i < EEL_ADMISSION_LISTS; i++)
    {
      admission->heads[i] = EEL_ADMISSION_NONE;
      admission->tails[i] = EEL_ADMISSION_NONE;
    }
  admission->free_list = EEL_ADMISSION_NONE;
  for (uint32_t i = admission->queue_capacity; i > 0; i--)
    {
      admission->queue[i - 1].next = admission->free_list;
      admission->free_list = i - 1;
    }
}

/* Returns the index of the work's list; the lowest is served first. */
uint32_t
eel_queue_list (const struct eel_work_item *work)
{
  return (uint32_t)work->klass * 2 + (work->nested ? 0 : 1);
}

uint32_t
eel_queue_max (const struct eel_admission *admission)
{
  uint32_t max = admission->config.queue_max;

  return max < admission->queue_capacity ? max : admission->queue_capacity;
}

/* Appends a copy of the work; the caller has checked that there is room. */
void
eel_queue_push (struct eel_admission *admission,
                const struct eel_work_item *work)
{
  uint32_t list = eel_queue_list (work);
  uint32_t index = admission->free_list;
  struct eel_admission_queued *entry = &admission->queue[index];

  admission->free_list = entry->next;
  entry->work = *work;
  entry->list = (uint8_t)list;
  entry->next = EEL_ADMISSION_NONE;
  entry->previous = admission->tails[list];
  if (entry->previous == EEL_ADMISSION_NONE)
    admission->heads[list] = index;
  else
    admission->queue[entry->previous].next = index;
  admission->tails[list] = index;
  admission->queued++;
  admission->list_queued[list]++;
  admission->long_queued += entry->work.is_long;
  admission->caller_queued[eel_fair_bucket (work)]++;
}

/* Returns the entry to the free list. */
void
eel_queue_unlink (struct eel_admission *admission, uint32_t index)
{
  struct eel_admission_queued *entry = &admission->queue[index];
  uint32_t list = entry->list;

  if (entry->previous == EEL_ADMISSION_NONE)
    admission->heads[list] = entry->next;
  else
    admission->queue[entry->previous].next = entry->next;
  if (entry->next == EEL_ADMISSION_NONE)
    admission->tails[list] = entry->previous;
  else
    admission->queue[entry->next].previous = entry->previous;
  admission->queued--;
  admission->list_queued[list]--;
  admission->long_queued -= entry->work.is_long;
  admission->caller_queued[eel_fair_bucket (&entry->work)]--;
  entry->next = admission->free_list;
  admission->free_list = index;
}

/* Returns the index of the entry with that id, or EEL_ADMISSION_NONE. */
uint32_t
eel_queue_find (const struct eel_admission *admission, uint64_t id)
{
  for (uint32_t list = 0; list < EEL_ADMISSION_LISTS; list++)
    for (uint32_t i = admission->heads[list]; i != EEL_ADMISSION_NONE;
         i = admission->queue[i].next)
      if (admission->queue[i].work.id == id)
        return i;
  return EEL_ADMISSION_NONE;
}

/* Returns the expected wait of short work appended to a list. */
int64_t
eel_queue_wait_us (const struct eel_admission *admission, uint32_t list)
{
  uint32_t slots = (uint32_t)admission->limit;
  uint32_t ahead = 0;

  for (uint32_t i = 0; i <= list; i++)
    ahead += admission->list_queued[i];
  ahead = ahead > admission->long_queued ? ahead - admission->long_queued : 0;
  slots = slots > admission->long_in_flight ? slots - admission->long_in_flight
                                            : 1;
  return (int64_t)(ahead * admission->mean_us / slots);
}

/* Returns the number of queued entries of classes below that of the list. */
uint32_t
eel_queue_count_below_class (const struct eel_admission *admission,
                             uint32_t list)
{
  uint32_t count = 0;

  for (uint32_t i = (list / 2 + 1) * 2; i < EEL_ADMISSION_LISTS; i++)
    count += admission->list_queued[i];
  return count;
}
