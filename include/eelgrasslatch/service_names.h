#ifndef EELGRASSLATCH_SERVICE_NAMES_H
#define EELGRASSLATCH_SERVICE_NAMES_H

#include <stddef.h>
#include <stdint.h>

/*
 * Small numbers for the names of services.  Memory is the only bound on the
 * names that are in use at the same time; a collection gives back the numbers
 * of those that are not.
 */

#define EEL_NO_SERVICE UINT32_MAX

struct eel_service_names
{
  /* Name by number; NULL: a free number. */
  char **names;
  /* Marks of the collection that is under way. */
  uint8_t *marked;
  uint32_t capacity;
  /* Numbers that were given out so far, and those of them in use. */
  uint32_t end;
  uint32_t count;
  /* No lower number is free. */
  uint32_t first_free;
  /* Hash index of numbers, EEL_NO_SERVICE: empty.  A power of two. */
  uint32_t *slots;
  uint32_t slot_count;
};

void eel_service_names_init (struct eel_service_names *names);
void eel_service_names_finish (struct eel_service_names *names);
/* Returns the number of a name, EEL_NO_SERVICE when it has none. */
uint32_t eel_service_names_find (const struct eel_service_names *names,
                                 const char *name);
/* Returns the number of a name, adding it; EEL_NO_SERVICE when out of
   memory. */
uint32_t eel_service_names_intern (struct eel_service_names *names,
                                   const char *name);
/* Returns "-" for a number that no name has. */
const char *eel_service_name (const struct eel_service_names *names,
                              uint32_t number);
/* A collection: begin, mark each number that is in use, end. */
void eel_service_names_begin_collection (struct eel_service_names *names);
void eel_service_names_mark (struct eel_service_names *names, uint32_t number);
/* Frees the unmarked names; calls freed, which may be NULL, for each. */
void eel_service_names_end_collection (struct eel_service_names *names,
                                       void (*freed) (void *data,
                                                      uint32_t number),
                                       void *data);

#endif
