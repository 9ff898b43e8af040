#include "http/front.h"

#include <stdlib.h>

/* Allocates the table of open requests; returns 0 if out of memory. */
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
  front->free_slot_head = count > 0 ? 0 : FRONT_NO_SLOT;
  return 1;
}

/* Returns the call id of the open request of a connection. */
uint64_t
front_slot_call_id (const struct front_conn *conn)
{
  const struct eel_front *front = conn->front;

  return front->slots[conn->slot].generation * front->slot_count + conn->slot;
}

/*
 * Acquires a slot and returns the call id of its request.  A slot is always
 * free: a connection has at most one open request, and there are as many slots
 * as connections.
 */
uint64_t
front_slot_acquire (struct front_conn *conn)
{
  struct eel_front *front = conn->front;
  struct front_slot *slot;

  conn->slot = front->free_slot_head;
  conn->has_slot = 1;
  slot = &front->slots[conn->slot];
  front->free_slot_head = slot->next_free;
  slot->conn = conn;
  front->open_count++;
  return front_slot_call_id (conn);
}

/* Returns the connection that awaits the answer to a call, or NULL. */
struct front_conn *
front_slot_find (struct eel_front *front, uint64_t call_id)
{
  struct front_slot *slot = &front->slots[call_id % front->slot_count];

  if (slot->conn == NULL || slot->generation != call_id / front->slot_count)
    return NULL;
  return slot->conn;
}

/*
 * Frees the slot.  Its generation changes, so that a late answer to the old
 * call id finds no connection.
 */
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
  slot->next_free = front->free_slot_head;
  front->free_slot_head = conn->slot;
  conn->has_slot = 0;
  front->open_count--;
}
