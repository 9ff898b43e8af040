#ifndef EEL_INTERNAL_AUDIT_H
#define EEL_INTERNAL_AUDIT_H

#include <stddef.h>
#include <stdint.h>

/* A bounded trail of changes to the state in force at this node. */

#define EEL_AUDIT_CAPACITY 4096
#define EEL_AUDIT_REASON_MAX 96
#define EEL_AUDIT_FIELD_MAX 32

enum eel_audit_kind
{
  EEL_AUDIT_PRESET,
  EEL_AUDIT_DOCUMENT_REFUSED,
  EEL_AUDIT_DOCUMENT_CONFLICT,
  EEL_AUDIT_SETTINGS,
  EEL_AUDIT_MEMBER,
  EEL_AUDIT_EJECTION,
  EEL_AUDIT_DRAIN,
  EEL_AUDIT_QUARANTINE,
  EEL_AUDIT_KIND_COUNT
};

struct eel_audit_entry
{
  uint64_t sequence;
  int64_t wall_ms;
  uint32_t node;
  uint8_t kind;
  char before[EEL_AUDIT_FIELD_MAX];
  char after[EEL_AUDIT_FIELD_MAX];
  /* Origin of the change: "platform", "peer 12", "self", "operator". */
  char source[EEL_AUDIT_FIELD_MAX];
  char reason[EEL_AUDIT_REASON_MAX];
};

struct eel_audit
{
  uint32_t node;
  struct eel_audit_entry *entries;
  uint32_t capacity;
  uint64_t next_sequence;
  uint64_t dropped;
};

void eel_audit_init (struct eel_audit *audit,
                     uint32_t node,
                     struct eel_audit_entry *entries,
                     uint32_t capacity);
void eel_audit_add (struct eel_audit *audit,
                    enum eel_audit_kind kind,
                    int64_t wall_ms,
                    const char *before,
                    const char *after,
                    const char *source,
                    const char *reason);
const char *eel_audit_kind_name (enum eel_audit_kind kind);
/*
 * Renders the entries that are still held, from a sequence number on, as JSON
 * lines, oldest first.
 */
char *
eel_audit_render (const struct eel_audit *audit, uint64_t from, size_t *bytes);

#endif
