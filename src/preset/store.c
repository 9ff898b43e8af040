#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "eelgrasslatch/preset.h"

/* Compares by number, then by hash; negative, 0 or positive. */
int
eel_revision_compare (const struct eel_revision *a,
                      const struct eel_revision *b)
{
  if (a->number != b->number)
    return a->number < b->number ? -1 : 1;
  return memcmp (a->hash, b->hash, EEL_DOCUMENT_HASH_BYTES);
}

/* Writes the number and the first 4 bytes of the hash, as "12-9af03b11". */
void
eel_revision_text (const struct eel_revision *revision, char text[32])
{
  snprintf (text, 32, "%" PRIu64 "-%02x%02x%02x%02x", revision->number,
            revision->hash[0], revision->hash[1], revision->hash[2],
            revision->hash[3]);
}

/* The current document is the built-in one, or NULL when out of memory. */
void
eel_preset_store_init (struct eel_preset_store *store)
{
  memset (store, 0, sizeof *store);
  store->current = eel_document_builtin ();
}

/* Releases the store's references. */
void
eel_preset_store_finish (struct eel_preset_store *store)
{
  eel_document_unref (store->current);
  eel_document_unref (store->previous);
  memset (store, 0, sizeof *store);
}

static enum eel_store_result
store_adopt (struct eel_preset_store *store, struct eel_document *document)
{
  int conflict = document->revision.number == store->current->revision.number;

  eel_document_unref (store->previous);
  store->previous = store->current;
  store->current = document;
  store->accepted++;
  if (!conflict)
    return EEL_STORE_ACCEPTED;
  store->conflicts++;
  return EEL_STORE_CONFLICT_ACCEPTED;
}

static enum eel_store_result
store_discard (struct eel_preset_store *store, struct eel_document *document)
{
  int conflict = document->revision.number == store->current->revision.number;

  eel_document_unref (document);
  if (!conflict)
    {
      store->older++;
      return EEL_STORE_OLDER;
    }
  store->conflicts++;
  return EEL_STORE_CONFLICT_KEPT;
}

/* Adopts a valid document with a greater revision; copies the bytes. */
enum eel_store_result
eel_preset_store_offer (struct eel_preset_store *store,
                        const uint8_t *bytes,
                        size_t byte_count,
                        struct eel_document_error *error)
{
  uint8_t hash[EEL_DOCUMENT_HASH_BYTES];
  struct eel_document *document;

  memset (error, 0, sizeof *error);
  if (byte_count > 0 && byte_count == store->current->byte_count)
    {
      crypto_generichash (hash, sizeof hash, bytes, byte_count, NULL, 0);
      if (memcmp (hash, store->current->revision.hash, sizeof hash) == 0)
        return EEL_STORE_SAME;
    }
  document = eel_document_parse (bytes, byte_count, error);
  if (document == NULL)
    {
      store->refused++;
      return EEL_STORE_REFUSED;
    }
  if (eel_revision_compare (&document->revision, &store->current->revision) > 0)
    return store_adopt (store, document);
  return store_discard (store, document);
}
