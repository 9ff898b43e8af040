#include "node.h"

#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"

#define NO_SLOT UINT32_MAX
/* Low bits of an id: the index of its slot. */
#define INDEX_BITS 20
#define INDEX_MASK ((UINT64_C (1) << INDEX_BITS) - 1)
#define GENERATION_MASK ((UINT64_C (1) << (63 - INDEX_BITS)) - 1)

static struct node_slot *
slot_at (const struct node_table *table, uint32_t index)
{
  return (struct node_slot *)(void *)(table->items
                                      + (size_t)index * table->item_bytes);
}

static uint32_t *
bucket_of (const struct node_table *table, uint32_t origin, uint64_t origin_id)
{
  uint64_t hash = eel_hash64 (&origin_id, sizeof origin_id, origin);

  return &table->buckets[hash & (table->bucket_count - 1)];
}

/*
 * Allocates a table.  A random generation keeps ids of an earlier process from
 * matching.  Returns 0 when out of memory.
 */
int
node_table_init (struct node_table *table,
                 size_t item_bytes,
                 uint32_t capacity,
                 uint64_t generation)
{
  memset (table, 0, sizeof *table);
  table->item_bytes = (item_bytes + 15) & ~(size_t)15;
  table->capacity = capacity < INDEX_MASK ? capacity : (uint32_t)INDEX_MASK;
  table->generation = generation & GENERATION_MASK;
  table->bucket_count = 16;
  while (table->bucket_count < table->capacity)
    table->bucket_count *= 2;
  table->items = calloc (table->capacity, table->item_bytes);
  table->buckets = malloc (table->bucket_count * sizeof *table->buckets);
  if (table->items == NULL || table->buckets == NULL)
    return 0;
  memset (table->buckets, 0xff, table->bucket_count * sizeof *table->buckets);
  for (uint32_t i = 0; i < table->capacity; i++)
    slot_at (table, i)->next = i + 1 < table->capacity ? i + 1 : NO_SLOT;
  table->free_head = table->capacity > 0 ? 0 : NO_SLOT;
  return 1;
}

/* Frees the memory of the table, but nothing that its items own. */
void
node_table_finish (struct node_table *table)
{
  free (table->items);
  free (table->buckets);
  memset (table, 0, sizeof *table);
}

/*
 * Returns a zeroed item with a new id.  When the table is full, counts the
 * refusal and returns NULL.
 */
void *
node_table_add (struct node_table *table, uint32_t origin, uint64_t origin_id)
{
  uint32_t index = table->free_head;
  struct node_slot *slot;
  uint32_t *bucket;

  if (index == NO_SLOT || table->items == NULL)
    {
      table->refused++;
      return NULL;
    }
  slot = slot_at (table, index);
  table->free_head = slot->next;
  memset (slot, 0, table->item_bytes);
  table->generation = (table->generation + 1) & GENERATION_MASK;
  if (table->generation == 0)
    table->generation = 1;
  slot->id = table->generation << INDEX_BITS | index;
  slot->origin = origin;
  slot->origin_id = origin_id;
  bucket = bucket_of (table, origin, origin_id);
  slot->next = *bucket;
  *bucket = index;
  table->used++;
  return slot;
}

/* Frees an item's slot and invalidates its id. */
void
node_table_remove (struct node_table *table, void *item)
{
  struct node_slot *slot = item;
  uint32_t index = (uint32_t)(slot->id & INDEX_MASK);
  uint32_t *link = bucket_of (table, slot->origin, slot->origin_id);

  while (*link != index && *link != NO_SLOT)
    link = &slot_at (table, *link)->next;
  if (*link == index)
    *link = slot->next;
  slot->id = 0;
  slot->next = table->free_head;
  table->free_head = index;
  table->used--;
}

/* Returns the item with an id, or NULL. */
void *
node_table_get (const struct node_table *table, uint64_t id)
{
  uint64_t index = id & INDEX_MASK;
  struct node_slot *slot;

  if (id == 0 || index >= table->capacity)
    return NULL;
  slot = slot_at (table, (uint32_t)index);
  return slot->id == id ? slot : NULL;
}

static void *
find_in_chain (const struct node_table *table,
               uint32_t index,
               uint32_t origin,
               uint64_t origin_id)
{
  while (index != NO_SLOT)
    {
      struct node_slot *slot = slot_at (table, index);

      if (slot->origin == origin && slot->origin_id == origin_id)
        return slot;
      index = slot->next;
    }
  return NULL;
}

/* Returns the newest item of an origin, or NULL. */
void *
node_table_find (const struct node_table *table,
                 uint32_t origin,
                 uint64_t origin_id)
{
  return find_in_chain (table, *bucket_of (table, origin, origin_id), origin,
                        origin_id);
}

/* Returns the next item of the same origin, or NULL. */
void *
node_table_find_next (const struct node_table *table, const void *item)
{
  const struct node_slot *slot = item;

  return find_in_chain (table, slot->next, slot->origin, slot->origin_id);
}

/* Returns the item in a slot, or NULL when it is free. */
void *
node_table_at (const struct node_table *table, uint32_t index)
{
  struct node_slot *slot;

  if (index >= table->capacity)
    return NULL;
  slot = slot_at (table, index);
  return slot->id != 0 ? slot : NULL;
}
