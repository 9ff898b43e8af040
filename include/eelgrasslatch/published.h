#ifndef EELGRASSLATCH_PUBLISHED_H
#define EELGRASSLATCH_PUBLISHED_H

#include <stddef.h>
#include <stdint.h>

/*
 * Copies of published items by key, each with the revision of its last
 * change.  The greater revision wins whatever its source, so nodes that cannot
 * read the registry can copy items from each other.
 *
 * A registry that comes back from a copy gives revisions out again.  It names
 * an era, which is greater then; revisions are compared within one era only.
 */

#define EEL_PUBLISHED_KEY_MAX 201

struct eel_published_item
{
  char key[EEL_PUBLISHED_KEY_MAX];
  /* 0: of an earlier era, and not known of in the present one. */
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
  /* Of all revisions here; 0: the registry names none. */
  uint64_t era;
  /* The greatest revision that was recorded. */
  uint64_t newest;
  /* Removals up to this revision may be unknown here. */
  uint64_t removals_since;
  uint64_t dropped_full;
};

void eel_published_init (struct eel_published *published,
                         struct eel_published_item *items,
                         uint32_t capacity);
void eel_published_finish (struct eel_published *published);
/* Begins a later era, in which the next listing tells what is left of the items
   that are held. */
void eel_published_begin_era (struct eel_published *published, uint64_t era);
/* Copies data (NULL: removal).  Returns the item if it is newer, else NULL. */
struct eel_published_item *eel_published_put (struct eel_published *published,
                                              const char *key,
                                              uint64_t revision,
                                              const void *data,
                                              size_t bytes);
/* Holds a value of an earlier era in the place of what is held of a key.
   Returns the item, or NULL when there is no room. */
struct eel_published_item *eel_published_keep (struct eel_published *published,
                                               const char *key,
                                               const void *data,
                                               size_t bytes);
/* Records the revision of an item that is not stored; 0 if not the newest. */
int eel_published_record_revision (struct eel_published *published,
                                   uint64_t revision);
struct eel_published_item *
eel_published_find (const struct eel_published *published, const char *key);
/* Marks a key of a listing whose value does not replace the item. */
void eel_published_mark_listed (struct eel_published *published,
                                const char *key);
/* Records a complete listing at a revision, which does not tell what was
   removed before it. */
void eel_published_record_listing (struct eel_published *published,
                                   uint64_t revision);
/* True when all changes after a revision are held, also removals. */
int eel_published_has_changes_since (const struct eel_published *published,
                                     uint64_t revision);
/*
 * Starts a listing of a prefix, in which each put marks its item.  Items that
 * are unmarked at its end were removed; eel_published_next_missing returns one
 * of them per call.
 */
void eel_published_begin_listing (struct eel_published *published,
                                  const char *prefix);
struct eel_published_item *eel_published_next_missing (
    struct eel_published *published, const char *prefix, uint64_t revision);
#endif
