#include <ctype.h>
#include <stdio.h>
#include <string.h>

#include "internal/toml.h"
#include "preset/fields.h"

#define INVALID EEL_ERROR_DOCUMENT_INVALID

static const char *const class_names[] = { "critical", "lookup", "background" };

/* Reads a class name. */
int
eel_class_parse (const struct eel_toml *value,
                 const char *key,
                 int none_allowed,
                 enum eel_class *klass,
                 struct eel_document_error *error)
{
  if (value->kind == EEL_TOML_STRING)
    for (int i = 0; i < EEL_CLASS_COUNT; i++)
      if (strcmp (value->string, class_names[i]) == 0)
        {
          *klass = (enum eel_class)i;
          return 1;
        }
  if (none_allowed && value->kind == EEL_TOML_STRING
      && strcmp (value->string, "none") == 0)
    {
      *klass = EEL_CLASS_COUNT;
      return 1;
    }
  return eel_document_fail (
      error, INVALID, value->line, "%s must be \"critical\", \"lookup\"%s", key,
      none_allowed ? ", \"background\" or \"none\"" : " or \"background\"");
}

static int
number_parse (const struct eel_toml *value,
              const struct eel_preset_field *field,
              struct eel_preset *preset,
              struct eel_document_error *error)
{
  if (value->kind != EEL_TOML_INTEGER)
    return eel_document_fail (error, INVALID, value->line,
                              "preset.%s.%s must be an integer from %lld to "
                              "%lld",
                              preset->name, field->key, (long long)field->min,
                              (long long)field->max);
  if (value->integer < field->min || value->integer > field->max)
    return eel_document_fail (error, INVALID, value->line,
                              "preset.%s.%s is %lld; allowed is %lld to %lld",
                              preset->name, field->key,
                              (long long)value->integer, (long long)field->min,
                              (long long)field->max);
  eel_preset_field_set (preset, field, value->integer);
  return 1;
}

static int
preset_key_parse (const struct eel_toml *value,
                  struct eel_preset *preset,
                  struct eel_document_error *error)
{
  char key[EEL_PRESET_NAME_MAX + 32];

  if (strcmp (value->key, "refuse_from_class") == 0)
    {
      snprintf (key, sizeof key, "preset.%s.refuse_from_class", preset->name);
      return eel_class_parse (value, key, 1, &preset->refuse_from_class, error);
    }
  for (size_t i = 0; i < eel_preset_field_count; i++)
    if (strcmp (value->key, eel_preset_fields[i].key) == 0)
      return number_parse (value, &eel_preset_fields[i], preset, error);
  return eel_document_fail (error, INVALID, value->line,
                            "preset.%s.%.64s is not a known key", preset->name,
                            value->key);
}

static int
is_preset_name_valid (const char *name)
{
  size_t length = strlen (name);

  if (length == 0 || length >= EEL_PRESET_NAME_MAX)
    return 0;
  return strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789_-") == length;
}

/* Reads one [preset.NAME] table over the defaults. */
int
eel_preset_parse (const struct eel_toml *table,
                  struct eel_preset *preset,
                  struct eel_document_error *error)
{
  if (table->kind != EEL_TOML_TABLE)
    return eel_document_fail (error, INVALID, table->line,
                              "preset.%.64s must be a table", table->key);
  if (!is_preset_name_valid (table->key))
    return eel_document_fail (error, INVALID, table->line,
                              "preset name \"%.64s\" must have 1 to %d of "
                              "a-z, 0-9, _ and -",
                              table->key, EEL_PRESET_NAME_MAX - 1);
  eel_preset_defaults (preset, table->key);
  for (size_t i = 0; i < table->child_count; i++)
    if (!preset_key_parse (&table->children[i], preset, error))
      return 0;
  if (preset->deadline_default_ms > preset->deadline_max_ms)
    return eel_document_fail (error, INVALID, table->line,
                              "preset.%s.deadline_default_ms is %lld; allowed "
                              "is 1 to deadline_max_ms, %lld",
                              preset->name,
                              (long long)preset->deadline_default_ms,
                              (long long)preset->deadline_max_ms);
  return 1;
}

static int
is_text_valid (const struct eel_toml *value, size_t max, const char *allowed)
{
  size_t length;

  if (value->kind != EEL_TOML_STRING)
    return 0;
  length = strlen (value->string);
  return length > 0 && length < max
         && strspn (value->string, allowed) == length;
}

static int
is_path_valid (const struct eel_toml *value)
{
  if (value->kind != EEL_TOML_STRING || value->string[0] != '/'
      || strlen (value->string) >= EEL_PATH_MAX)
    return 0;
  for (const char *c = value->string; *c != 0; c++)
    if (!isgraph ((unsigned char)*c) || *c == '?' || *c == '#')
      return 0;
  return 1;
}

#define UPPER "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
#define LOWER "abcdefghijklmnopqrstuvwxyz"

static int
rule_text_parse (const struct eel_toml *value,
                 struct eel_rule *rule,
                 struct eel_document_error *error)
{
  if (strcmp (value->key, "service") == 0)
    {
      if (!is_text_valid (value, sizeof rule->service,
                          UPPER LOWER "0123456789._-"))
        return eel_document_fail (error, INVALID, value->line,
                                  "rule.service must have 1 to %d letters, "
                                  "digits, '.', '_' and '-'",
                                  EEL_SERVICE_MAX - 1);
      snprintf (rule->service, sizeof rule->service, "%s", value->string);
      return 1;
    }
  if (strcmp (value->key, "method") == 0)
    {
      if (!is_text_valid (value, sizeof rule->method, UPPER))
        return eel_document_fail (error, INVALID, value->line,
                                  "rule.method must have 1 to 7 letters A-Z");
      snprintf (rule->method, sizeof rule->method, "%s", value->string);
      return 1;
    }
  if (!is_path_valid (value))
    return eel_document_fail (error, INVALID, value->line,
                              "rule.path_prefix must begin with '/' and have "
                              "1 to %d printable characters without space, "
                              "'?' and '#'",
                              EEL_PATH_MAX - 1);
  snprintf (rule->path_prefix, sizeof rule->path_prefix, "%s", value->string);
  return 1;
}

static int
rule_key_parse (const struct eel_toml *value,
                struct eel_rule *rule,
                struct eel_document_error *error)
{
  if (strcmp (value->key, "class") == 0)
    return eel_class_parse (value, "rule.class", 0, &rule->klass, error);
  if (strcmp (value->key, "idempotent") == 0)
    {
      if (value->kind != EEL_TOML_BOOLEAN)
        return eel_document_fail (error, INVALID, value->line,
                                  "rule.idempotent must be true or false");
      rule->idempotent = value->integer != 0;
      return 1;
    }
  if (strcmp (value->key, "service") == 0 || strcmp (value->key, "method") == 0
      || strcmp (value->key, "path_prefix") == 0)
    return rule_text_parse (value, rule, error);
  return eel_document_fail (error, INVALID, value->line,
                            "rule.%.64s is not a known key", value->key);
}

/*
 * Reads one [[rule]] table.  Class and idempotence have no default: a rule
 * that leaves one out could make a call run twice or be shed first.
 */
int
eel_rule_parse (const struct eel_toml *table,
                struct eel_rule *rule,
                struct eel_document_error *error)
{
  static const char *const required[] = { "service", "class", "idempotent" };

  if (table->kind != EEL_TOML_TABLE)
    return eel_document_fail (error, INVALID, table->line,
                              "each rule must be a table");
  memset (rule, 0, sizeof *rule);
  rule->path_prefix[0] = '/';
  for (size_t i = 0; i < table->child_count; i++)
    if (!rule_key_parse (&table->children[i], rule, error))
      return 0;
  for (size_t i = 0; i < sizeof required / sizeof required[0]; i++)
    if (eel_toml_get (table, required[i]) == NULL)
      return eel_document_fail (error, INVALID, table->line,
                                "rule.%s is missing", required[i]);
  return 1;
}
