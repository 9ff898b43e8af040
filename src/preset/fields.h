#ifndef EEL_PRESET_FIELDS_H
#define EEL_PRESET_FIELDS_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/preset.h"

struct eel_toml;

/* An integer member of struct eel_preset with its range and default. */
struct eel_preset_field
{
  const char *key;
  size_t offset;
  uint8_t is_64_bit;
  int64_t min;
  int64_t max;
  int64_t default_value;
};

extern const struct eel_preset_field eel_preset_fields[];
extern const size_t eel_preset_field_count;

void eel_preset_defaults (struct eel_preset *preset, const char *name);
void eel_preset_field_set (struct eel_preset *preset,
                           const struct eel_preset_field *field,
                           int64_t value);

/* Writes "line N: ..." into the error and returns 0, for use in returns. */
int eel_document_fail (struct eel_document_error *error,
                       enum eel_error kind,
                       uint32_t line,
                       const char *format,
                       ...) __attribute__ ((format (printf, 4, 5)));

int eel_preset_parse (const struct eel_toml *table,
                      struct eel_preset *preset,
                      struct eel_document_error *error);
int eel_rule_parse (const struct eel_toml *table,
                    struct eel_rule *rule,
                    struct eel_document_error *error);
/* Parses a class name; with none_allowed also "none" as EEL_CLASS_COUNT. */
int eel_class_parse (const struct eel_toml *value,
                     const char *key,
                     int none_allowed,
                     enum eel_class *klass,
                     struct eel_document_error *error);

#endif
