#include "relay/service_retries.h"

#include <stdlib.h>
#include <string.h>

void
eel_service_retries_init (struct eel_service_retries *retries,
                          double ratio,
                          int64_t window_us)
{
  *retries
      = (struct eel_service_retries){ .ratio = ratio, .window_us = window_us };
}

void
eel_service_retries_finish (struct eel_service_retries *retries)
{
  for (uint32_t i = 0; i < retries->count; i++)
    {
      free (retries->slots[i].share);
      free (retries->slots[i].order);
    }
  free (retries->slots);
  retries->slots = NULL;
  retries->count = 0;
}

void
eel_service_retries_set_extra (struct eel_service_retries *retries,
                               double extra)
{
  retries->extra = extra;
  for (uint32_t i = 0; i < retries->count; i++)
    if (retries->slots[i].share != NULL)
      retries->slots[i].share->extra = extra;
}

/* Makes room for the number of a service; 0 when out of memory. */
static int
reserve (struct eel_service_retries *retries, uint32_t service)
{
  uint32_t count = 2 * (service + 1);
  struct eel_service_retries_slot *slots;

  if (service < retries->count)
    return 1;
  slots = realloc (retries->slots, count * sizeof *slots);
  if (slots == NULL)
    return 0;
  memset (slots + retries->count, 0, (count - retries->count) * sizeof *slots);
  retries->slots = slots;
  retries->count = count;
  return 1;
}

/* Without memory for its share a service has no retries. */
void
eel_service_retries_request (struct eel_service_retries *retries,
                             uint32_t service,
                             int64_t now_us)
{
  struct eel_retry_share *share;

  if (!reserve (retries, service))
    return;
  if (retries->slots[service].share == NULL)
    {
      share = malloc (sizeof *share);
      if (share == NULL)
        return;
      eel_retry_share_init (share, retries->ratio, retries->extra,
                            retries->window_us, now_us);
      retries->slots[service].share = share;
    }
  eel_retry_share_request (retries->slots[service].share, now_us);
}

int
eel_service_retries_take (struct eel_service_retries *retries,
                          uint32_t service,
                          uint32_t cost_milli,
                          int64_t now_us)
{
  return service < retries->count && retries->slots[service].share != NULL
         && eel_retry_share_take (retries->slots[service].share, cost_milli,
                                  now_us);
}

/* Without memory for the order the first come get them. */
int
eel_service_retries_in_order (struct eel_service_retries *retries,
                              uint32_t service,
                              uint8_t rank,
                              uint32_t needed,
                              uint32_t cost_milli,
                              int64_t now_us)
{
  struct eel_service_retries_slot *slot;
  double room_milli;
  int64_t left_us;

  if (service >= retries->count || retries->slots[service].share == NULL)
    return 1;
  slot = &retries->slots[service];
  if (slot->order == NULL)
    {
      slot->order = malloc (sizeof *slot->order);
      if (slot->order == NULL)
        return 1;
      eel_retry_order_init (slot->order, now_us);
    }
  room_milli = eel_retry_share_room_milli (slot->share, &left_us, now_us);
  return eel_retry_order_allows (slot->order, rank, needed, cost_milli,
                                 room_milli, left_us, now_us);
}

void
eel_service_retries_forget (struct eel_service_retries *retries,
                            uint32_t service)
{
  if (service >= retries->count)
    return;
  free (retries->slots[service].share);
  free (retries->slots[service].order);
  retries->slots[service] = (struct eel_service_retries_slot){ 0 };
}
