#include "eelgrasslatch/service_names.h"

#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"

#define FIRST_CAPACITY 64

void
eel_service_names_init (struct eel_service_names *names)
{
  *names = (struct eel_service_names){ 0 };
}

void
eel_service_names_finish (struct eel_service_names *names)
{
  for (uint32_t i = 0; i < names->end; i++)
    free (names->names[i]);
  free (names->names);
  free (names->marked);
  free (names->slots);
  eel_service_names_init (names);
}

/* Returns the slot of a name, or the empty one where it belongs. */
static uint32_t
find_slot (const struct eel_service_names *names, const char *name)
{
  uint32_t mask = names->slot_count - 1;
  uint32_t slot = (uint32_t)eel_hash64 (name, strlen (name), 0) & mask;

  while (names->slots[slot] != EEL_NO_SERVICE
         && strcmp (names->names[names->slots[slot]], name) != 0)
    slot = (slot + 1) & mask;
  return slot;
}

uint32_t
eel_service_names_find (const struct eel_service_names *names, const char *name)
{
  return names->slot_count == 0 ? EEL_NO_SERVICE
                                : names->slots[find_slot (names, name)];
}

/* Enters all names into an empty index. */
static void
rebuild_index (struct eel_service_names *names)
{
  memset (names->slots, 0xff, names->slot_count * sizeof *names->slots);
  for (uint32_t i = 0; i < names->end; i++)
    if (names->names[i] != NULL)
      names->slots[find_slot (names, names->names[i])] = i;
}

/* Doubles the room; the index stays at most half full.  Returns 0 and changes
   nothing that is in use when out of memory. */
static int
grow (struct eel_service_names *names)
{
  uint32_t capacity
      = names->capacity == 0 ? FIRST_CAPACITY : 2 * names->capacity;
  char **grown = realloc (names->names, capacity * sizeof *grown);
  uint8_t *marked;
  uint32_t *slots;

  if (grown == NULL)
    return 0;
  names->names = grown;
  marked = realloc (names->marked, capacity);
  if (marked == NULL)
    return 0;
  names->marked = marked;
  slots = realloc (names->slots, 2 * capacity * sizeof *slots);
  if (slots == NULL)
    return 0;
  names->slots = slots;
  names->slot_count = 2 * capacity;
  names->capacity = capacity;
  rebuild_index (names);
  return 1;
}

/* Returns a free number with room for its name. */
static uint32_t
free_number (struct eel_service_names *names)
{
  for (; names->first_free < names->end; names->first_free++)
    if (names->names[names->first_free] == NULL)
      return names->first_free;
  if (names->end == names->capacity && !grow (names))
    return EEL_NO_SERVICE;
  names->names[names->end] = NULL;
  return names->end++;
}

uint32_t
eel_service_names_intern (struct eel_service_names *names, const char *name)
{
  uint32_t number = eel_service_names_find (names, name);
  char *copy;

  if (number != EEL_NO_SERVICE)
    return number;
  copy = strdup (name);
  number = copy == NULL ? EEL_NO_SERVICE : free_number (names);
  if (number == EEL_NO_SERVICE)
    {
      free (copy);
      return EEL_NO_SERVICE;
    }
  names->names[number] = copy;
  names->slots[find_slot (names, copy)] = number;
  names->count++;
  return number;
}

const char *
eel_service_name (const struct eel_service_names *names, uint32_t number)
{
  return number < names->end && names->names[number] != NULL
             ? names->names[number]
             : "-";
}

void
eel_service_names_begin_collection (struct eel_service_names *names)
{
  if (names->end > 0)
    memset (names->marked, 0, names->end);
}

void
eel_service_names_mark (struct eel_service_names *names, uint32_t number)
{
  if (number < names->end)
    names->marked[number] = 1;
}

void
eel_service_names_end_collection (struct eel_service_names *names,
                                  void (*freed) (void *data, uint32_t number),
                                  void *data)
{
  for (uint32_t i = 0; i < names->end; i++)
    {
      if (names->marked[i] || names->names[i] == NULL)
        continue;
      free (names->names[i]);
      names->names[i] = NULL;
      names->count--;
      if (freed != NULL)
        freed (data, i);
    }
  names->first_free = 0;
  while (names->end > 0 && names->names[names->end - 1] == NULL)
    names->end--;
  if (names->slot_count > 0)
    rebuild_index (names);
}
