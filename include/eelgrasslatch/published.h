#ifndef EELGRASSLATCH_PUBLISHED_H
#define EELGRASSLATCH_PUBLISHED_H

#include <stddef.h>
#include <stdint.h>

/*
 * Copies of published items by key, each with the revision of its last
 * change.  Whoever tells of an item, the greater revision wins, so nodes that
 * cannot read the registry can learn from each other.
 */

#define EEL_PUBLISHED_KEY_MAX 201

struct eel_published_item
{
  char key[EEL_PUBLISHED_KEY_MAX];
  uint64_t revision;
  /* NULL: the item was removed. */
  uint8_t *data;
  size_t bytes;
  /* Seen in the listing that is being read. */
  uint8_t listed;
};

struct eel_published
{
  struct eel_published_item *items;
  uint32_t capacity;
  uint32_t count;
  /* The greatest revision of an item. */
  uint64_t newest;
  uint64_t refused;
};

void eel_published_init (struct eel_published *published,
                         struct eel_published_item *items,
                         uint32_t capacity);
void eel_published_finish (struct eel_published *published);
/* Copies data (NULL: removal).  Returns the item when it is news, else NULL. */
struct eel_published_item *eel_published_put (struct eel_published *published,
                                              const char *key,
                                              uint64_t revision,
                                              const void *data,
                                              size_t bytes);
/* Notes a revision whose item isn't kept; 0 when a later one was seen. */
int eel_published_record_revision (struct eel_published *published,
                                   uint64_t revision);
struct eel_published_item *
eel_published_find (const struct eel_published *published, const char *key);
/* A listing holds the key, but nothing that may take the item's place. */
void eel_published_mark_listed (struct eel_published *published,
                                const char *key);
/*
 * A listing of a prefix begins; each put of it marks its item.  What is not
 * marked at its end was removed: next_missing returns one such item a call.
 */
void eel_published_begin_listing (struct eel_published *published,
                                  const char *prefix);
struct eel_published_item *eel_published_next_missing (
    struct eel_published *published, const char *prefix, uint64_t revision);
#endif
