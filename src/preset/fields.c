#include "preset/fields.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define FIELD_32(name, min, max, default_value)                                \
  {                                                                            \
#name, offsetof(struct eel_preset, name), 0, min, max, default_value       \
  }
#define FIELD_64(name, min, max, default_value)                                \
  {                                                                            \
#name, offsetof(struct eel_preset, name), 1, min, max, default_value       \
  }

/*
 * Keys of a preset.  The defaults are those of the design page; they also form
 * the built-in preset, which is in force until a document is accepted.
 */
const struct eel_preset_field eel_preset_fields[] = {
  FIELD_32 (spare_attempts_max, 0, 15, 3),
  FIELD_64 (deadline_default_ms, 1, 600000, 5000),
  FIELD_64 (deadline_max_ms, 1, 600000, 60000),
  FIELD_64 (key_life_ms, 1000, 3600000, 120000),
  FIELD_32 (queue_max, 1, 65536, 256),
  FIELD_64 (queue_target_ms, 1, 10000, 20),
  FIELD_32 (long_factor, 2, 1000, 8),
  FIELD_32 (long_share_max_percent, 1, 100, 50),
  FIELD_32 (caller_share_percent, 1, 100, 50),
  FIELD_32 (retry_budget_permille, 0, 1000, 100),
  FIELD_32 (hedge_share_permille, 0, 200, 20),
  FIELD_32 (ejected_max_percent, 0, 100, 33),
  FIELD_32 (straggler_factor, 2, 100, 3),
  FIELD_64 (ramp_ms, 0, 600000, 10000),
  FIELD_32 (spill_percent, 1, 100, 80),
};

const size_t eel_preset_field_count
    = sizeof eel_preset_fields / sizeof eel_preset_fields[0];

/* Stores a value in the member that the field describes. */
void
eel_preset_field_set (struct eel_preset *preset,
                      const struct eel_preset_field *field,
                      int64_t value)
{
  char *member = (char *)preset + field->offset;
  uint32_t narrow = (uint32_t)value;

  if (field->is_64_bit)
    memcpy (member, &value, sizeof value);
  else
    memcpy (member, &narrow, sizeof narrow);
}

/* Sets all fields to their defaults; no class is refused. */
void
eel_preset_defaults (struct eel_preset *preset, const char *name)
{
  memset (preset, 0, sizeof *preset);
  snprintf (preset->name, sizeof preset->name, "%s", name);
  for (size_t i = 0; i < eel_preset_field_count; i++)
    eel_preset_field_set (preset, &eel_preset_fields[i],
                          eel_preset_fields[i].default_value);
  preset->refuse_from_class = EEL_CLASS_COUNT;
}

/* Sets the error and returns 0. */
int
eel_document_fail (struct eel_document_error *error,
                   enum eel_error kind,
                   uint32_t line,
                   const char *format,
                   ...)
{
  va_list arguments;
  int length;

  /* A table that only [TABLE.KEY] headers define has no line. */
  error->line = line == 0 ? 1 : line;
  error->kind = kind;
  length = snprintf (error->text, sizeof error->text, "line %u: ", error->line);
  va_start (arguments, format);
  /* clang-analyzer 14 misses va_start when it reads several files. */
  /* NOLINTNEXTLINE(clang-analyzer-valist.Uninitialized) */
  vsnprintf (error->text + length, sizeof error->text - (size_t)length, format,
             arguments);
  va_end (arguments);
  return 0;
}
