#include "eelgrasslatch/published.h"

#include <stdlib.h>
#include <string.h>

/* Prepares an empty table over the caller's array. */
void
eel_published_init (struct eel_published *published,
                    struct eel_published_item *items,
                    uint32_t capacity)
{
  *published = (struct eel_published){ .items = items, .capacity = capacity };
}

/* Frees the copies. */
void
eel_published_finish (struct eel_published *published)
{
  for (uint32_t i = 0; i < published->count; i++)
    free (published->items[i].data);
  published->count = 0;
}

/* Any revision of the new era is greater than those of the items held. */
void
eel_published_begin_era (struct eel_published *published, uint64_t era)
{
  published->era = era;
  published->newest = 0;
  published->removals_since = 0;
  for (uint32_t i = 0; i < published->count; i++)
    published->items[i].revision = 0;
}

/* Returns the item of a key, also a removed one, or NULL. */
struct eel_published_item *
eel_published_find (const struct eel_published *published, const char *key)
{
  for (uint32_t i = 0; i < published->count; i++)
    if (strcmp (published->items[i].key, key) == 0)
      return &published->items[i];
  return NULL;
}

/* Returns 1 when the revision is greater than all that were recorded. */
int
eel_published_record_revision (struct eel_published *published,
                               uint64_t revision)
{
  if (revision <= published->newest)
    return 0;
  published->newest = revision;
  return 1;
}

/* Records a complete listing: an item that it lacks leaves no trace here. */
void
eel_published_record_listing (struct eel_published *published,
                              uint64_t revision)
{
  if (revision > published->removals_since)
    published->removals_since = revision;
}

/* Returns 0 when a peer that knows the items of that revision has to list all
   of them to learn what was removed. */
int
eel_published_has_changes_since (const struct eel_published *published,
                                 uint64_t revision)
{
  return revision > 0 && revision >= published->removals_since;
}

/* Returns a free slot, or that of the removed or empty item with the least
   revision. */
static struct eel_published_item *
acquire_slot (struct eel_published *published)
{
  struct eel_published_item *oldest = NULL;

  if (published->count < published->capacity)
    {
      oldest = &published->items[published->count++];
      memset (oldest, 0, sizeof *oldest);
      return oldest;
    }
  for (uint32_t i = 0; i < published->count; i++)
    if ((published->items[i].data == NULL || published->items[i].bytes == 0)
        && (oldest == NULL || published->items[i].revision < oldest->revision))
      oldest = &published->items[i];
  if (oldest == NULL)
    published->dropped_full++;
  else
    eel_published_record_listing (published, oldest->revision);
  return oldest;
}

/* Copies a value into the item, or a slot when it is NULL; returns that, or
   NULL when there is no room. */
static struct eel_published_item *
set_item (struct eel_published *published,
          struct eel_published_item *item,
          const char *key,
          const void *data,
          size_t bytes)
{
  uint8_t *copy = NULL;

  if (strlen (key) >= EEL_PUBLISHED_KEY_MAX)
    return NULL;
  if (data != NULL)
    {
      copy = malloc (bytes + 1);
      if (copy == NULL)
        return NULL;
      memcpy (copy, data, bytes);
      copy[bytes] = 0;
    }
  if (item == NULL)
    item = acquire_slot (published);
  if (item == NULL)
    {
      free (copy);
      return NULL;
    }
  free (item->data);
  memcpy (item->key, key, strlen (key) + 1);
  item->data = copy;
  item->bytes = bytes;
  item->listed = 1;
  return item;
}

/* Stores an item whose revision is greater than that of the known one. */
struct eel_published_item *
eel_published_put (struct eel_published *published,
                   const char *key,
                   uint64_t revision,
                   const void *data,
                   size_t bytes)
{
  struct eel_published_item *item = eel_published_find (published, key);

  if (item != NULL)
    item->listed = 1;
  if (item != NULL && item->revision >= revision)
    return NULL;
  item = set_item (published, item, key, data, bytes);
  if (item == NULL)
    return NULL;
  item->revision = revision;
  eel_published_record_revision (published, revision);
  return item;
}

struct eel_published_item *
eel_published_keep (struct eel_published *published,
                    const char *key,
                    const void *data,
                    size_t bytes)
{
  struct eel_published_item *item = set_item (
      published, eel_published_find (published, key), key, data, bytes);

  if (item != NULL)
    item->revision = 0;
  return item;
}

static int
has_prefix (const struct eel_published_item *item, const char *prefix)
{
  return strncmp (item->key, prefix, strlen (prefix)) == 0;
}

/* Unmarks the items of a prefix. */
void
eel_published_begin_listing (struct eel_published *published,
                             const char *prefix)
{
  for (uint32_t i = 0; i < published->count; i++)
    if (has_prefix (&published->items[i], prefix))
      published->items[i].listed = 0;
}

/* Keeps eel_published_next_missing from returning the item. */
void
eel_published_mark_listed (struct eel_published *published, const char *key)
{
  struct eel_published_item *item = eel_published_find (published, key);

  if (item != NULL)
    item->listed = 1;
}

/* Returns each item that is missing from the listing once, then NULL. */
struct eel_published_item *
eel_published_next_missing (struct eel_published *published,
                            const char *prefix,
                            uint64_t revision)
{
  for (uint32_t i = 0; i < published->count; i++)
    {
      struct eel_published_item *item = &published->items[i];

      if (!item->listed && item->data != NULL && item->revision < revision
          && has_prefix (item, prefix))
        {
          item->listed = 1;
          return item;
        }
    }
  return NULL;
}
