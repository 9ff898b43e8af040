#include "http/front.h"

#include <stdlib.h>

/* Allocates the table of open requests; returns 0 without memory. */
int
front_slots_init (struct eel_front *front, uint32_t count)
{
  front->slots = calloc (count, sizeof *front->slots);
  if (front->slots == NULL)
    return 0;
  front->slot_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      front->slots[i].next_free = i + 1 < count ? i + 1 : FRONT_NO_SLOT;
      front->slots[i].generation = 1;
    }
  front->slot_free = count > 0 ? 0 : FRONT_NO_SLOT;
  return 1;
}

/* Returns the call id of the request that is open on a connection. */
uint64_t
front_slot_id (const struct front_conn *conn)
{
  const struct eel_front *front = conn->front;

  return front->slots[conn->slot].generation * front->slot_count + conn->slot;
}

/*
 * Gives a request a call id.  A connection has one open request at most, and
 * there are as many slots as connections.
 */
uint64_t
front_slot_take (struct front_conn *conn)
{
  struct eel_front *front = conn->front;
  struct front_slot *slot;

  conn->slot = front->slot_free;
  conn->has_slot = 1;
  slot = &front->slots[conn->slot];
  front->slot_free = slot->next_free;
  slot->conn = conn;
  front->open_count++;
  return front_slot_id (conn);
}

/* Returns the connection that waits for a call, or NULL when it has gone. */
struct front_conn *
front_slot_find (struct eel_front *front, uint64_t call_id)
{
  struct front_slot *slot = &front->slots[call_id % front->slot_count];

  if (slot->conn == NULL || slot->generation != call_id / front->slot_count)
    return NULL;
  return slot->conn;
}

/* Frees the slot; a late answer to its call id then finds nothing. */
void
front_slot_release (struct front_conn *conn)
{
  struct eel_front *front = conn->front;
  struct front_slot *slot;

  if (!conn->has_slot)
    return;
  slot = &front->slots[conn->slot];
  slot->conn = NULL;
  slot->generation++;
  slot->next_free = front->slot_free;
  front->slot_free = conn->slot;
  conn->has_slot = 0;
  front->open_count--;
}
