#include "internal/audit.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[EEL_AUDIT_KIND_COUNT] = {
  [EEL_AUDIT_PRESET] = "preset",
  [EEL_AUDIT_DOCUMENT_REFUSED] = "document_refused",
  [EEL_AUDIT_DOCUMENT_CONFLICT] = "document_conflict",
  [EEL_AUDIT_SETTINGS] = "settings",
  [EEL_AUDIT_MEMBER] = "member",
  [EEL_AUDIT_EJECTION] = "ejection",
  [EEL_AUDIT_DRAIN] = "drain",
  [EEL_AUDIT_QUARANTINE] = "quarantine",
};

/* The caller keeps ownership of the array, which must outlive the trail. */
void
eel_audit_init (struct eel_audit *audit,
                uint32_t node,
                struct eel_audit_entry *entries,
                uint32_t capacity)
{
  memset (audit, 0, sizeof *audit);
  audit->node = node;
  audit->entries = entries;
  audit->capacity = capacity;
}

/* Returns the "kind" value of a rendered entry. */
const char *
eel_audit_kind_name (enum eel_audit_kind kind)
{
  return (unsigned)kind < EEL_AUDIT_KIND_COUNT ? kind_names[kind] : "unknown";
}

/*
 * Quotes, backslashes and control bytes become '?', so that an entry is
 * rendered as JSON without escapes.
 */
static void
copy_sanitized (char *to, size_t bytes, const char *from)
{
  size_t i = 0;

  for (; i + 1 < bytes && from[i] != 0; i++)
    {
      unsigned char c = (unsigned char)from[i];

      to[i] = c < ' ' || c == '"' || c == '\\' || c == 0x7f ? '?' : from[i];
    }
  to[i] = 0;
}

/* When the trail is full, overwrites the oldest entry and counts it. */
void
eel_audit_add (struct eel_audit *audit,
               enum eel_audit_kind kind,
               int64_t wall_ms,
               const char *before,
               const char *after,
               const char *source,
               const char *reason)
{
  struct eel_audit_entry *entry
      = &audit->entries[audit->next_sequence % audit->capacity];

  if (audit->next_sequence >= audit->capacity)
    audit->dropped++;
  entry->sequence = audit->next_sequence++;
  entry->wall_ms = wall_ms;
  entry->node = audit->node;
  entry->kind = (uint8_t)kind;
  copy_sanitized (entry->before, sizeof entry->before, before);
  copy_sanitized (entry->after, sizeof entry->after, after);
  copy_sanitized (entry->source, sizeof entry->source, source);
  copy_sanitized (entry->reason, sizeof entry->reason, reason);
}

static void
render_entry (FILE *out, const struct eel_audit_entry *entry)
{
  fprintf (out,
           "{\"node\":%" PRIu32 ",\"sequence\":%" PRIu64 ",\"wall_ms\":%" PRId64
           ",\"kind\":\"%s\",\"before\":\"%s\","
           "\"after\":\"%s\",\"source\":\"%s\",\"reason\":\"%s\"}\n",
           entry->node, entry->sequence, entry->wall_ms,
           eel_audit_kind_name ((enum eel_audit_kind)entry->kind),
           entry->before, entry->after, entry->source, entry->reason);
}

/* Returns text from malloc, or NULL if out of memory. */
char *
eel_audit_render (const struct eel_audit *audit, uint64_t from, size_t *bytes)
{
  uint64_t oldest = audit->next_sequence > audit->capacity
                        ? audit->next_sequence - audit->capacity
                        : 0;
  char *text = NULL;
  FILE *out = open_memstream (&text, bytes);

  if (out == NULL)
    return NULL;
  for (uint64_t i = from > oldest ? from : oldest; i < audit->next_sequence;
       i++)
    render_entry (out, &audit->entries[i % audit->capacity]);
  if (fclose (out) == 0)
    return text;
  free (text);
  return NULL;
}
