#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"
#include "internal/toml.h"
#include "preset/fields.h"

#define INVALID EEL_ERROR_DOCUMENT_INVALID

static int
integer_parse (const struct eel_toml *root,
               const char *key,
               int64_t max,
               int64_t *value,
               struct eel_document_error *error)
{
  const struct eel_toml *node = eel_toml_get (root, key);

  if (node == NULL)
    return eel_document_fail (error, INVALID, root->line, "%s is missing", key);
  if (node->kind != EEL_TOML_INTEGER)
    return eel_document_fail (error, INVALID, node->line,
                              "%s must be an integer from 1 to %lld", key,
                              (long long)max);
  if (node->integer < 1 || node->integer > max)
    return eel_document_fail (error, INVALID, node->line,
                              "%s is %lld; allowed is 1 to %lld", key,
                              (long long)node->integer, (long long)max);
  *value = node->integer;
  return 1;
}

static int
check_root_keys (const struct eel_toml *root, struct eel_document_error *error)
{
  static const char *const known[]
      = { "format", "revision", "in_force", "preset", "rule" };

  for (size_t i = 0; i < root->child_count; i++)
    {
      size_t k = 0;

      while (k < sizeof known / sizeof known[0]
             && strcmp (known[k], root->children[i].key) != 0)
        k++;
      if (k == sizeof known / sizeof known[0])
        return eel_document_fail (error, INVALID, root->children[i].line,
                                  "%.64s is not a known key",
                                  root->children[i].key);
    }
  return 1;
}

static int
presets_parse (const struct eel_toml *root,
               struct eel_document *document,
               struct eel_document_error *error)
{
  const struct eel_toml *presets = eel_toml_get (root, "preset");

  if (presets == NULL || presets->kind != EEL_TOML_TABLE
      || presets->child_count == 0 || presets->child_count > EEL_PRESETS_MAX)
    return eel_document_fail (
        error, INVALID, presets == NULL ? root->line : presets->line,
        "preset must be 1 to %d tables [preset.NAME]", EEL_PRESETS_MAX);
  for (size_t i = 0; i < presets->child_count; i++)
    if (!eel_preset_parse (&presets->children[i],
                           &document->presets[document->preset_count++], error))
      return 0;
  return 1;
}

static int
in_force_parse (const struct eel_toml *root,
                struct eel_document *document,
                struct eel_document_error *error)
{
  const struct eel_toml *name = eel_toml_get (root, "in_force");

  if (name == NULL)
    return eel_document_fail (error, INVALID, root->line,
                              "in_force is missing");
  if (name->kind == EEL_TOML_STRING)
    for (uint32_t i = 0; i < document->preset_count; i++)
      if (strcmp (document->presets[i].name, name->string) == 0)
        {
          document->in_force = i;
          return 1;
        }
  return eel_document_fail (error, INVALID, name->line,
                            "in_force must name one of the presets");
}

/* Chains the rules of each service in the order of the document. */
static void
rules_index (struct eel_document *document)
{
  for (uint32_t i = document->rule_count; i-- > 0;)
    {
      const char *service = document->rules[i].service;
      uint64_t hash = eel_hash64 (service, strlen (service), 0);
      uint32_t *head = &document->rule_heads[hash % EEL_RULE_HEADS];

      document->rule_next[i] = *head;
      *head = i + 1;
    }
}

static int
rules_parse (const struct eel_toml *root,
             struct eel_document *document,
             struct eel_document_error *error)
{
  const struct eel_toml *rules = eel_toml_get (root, "rule");

  if (rules == NULL)
    return 1;
  if (rules->kind != EEL_TOML_ARRAY || rules->child_count > EEL_RULES_MAX)
    return eel_document_fail (error, INVALID, rules->line,
                              "rule must be 0 to %d tables [[rule]]",
                              EEL_RULES_MAX);
  document->rules = calloc (rules->child_count + 1, sizeof *document->rules);
  document->rule_next
      = calloc (rules->child_count + 1, sizeof *document->rule_next);
  if (document->rules == NULL || document->rule_next == NULL)
    return eel_document_fail (error, EEL_ERROR_INTERNAL, 1, "out of memory");
  for (size_t i = 0; i < rules->child_count; i++)
    if (!eel_rule_parse (&rules->children[i],
                         &document->rules[document->rule_count++], error))
      return 0;
  rules_index (document);
  return 1;
}

static int
document_fill (struct eel_document *document,
               const struct eel_toml *root,
               const uint8_t *bytes,
               size_t byte_count,
               struct eel_document_error *error)
{
  int64_t format = 0;
  int64_t revision = 0;

  /* The format is checked first: another format may have other keys. */
  if (!integer_parse (root, "format", EEL_DOCUMENT_FORMAT, &format, error)
      || !check_root_keys (root, error)
      || !integer_parse (root, "revision", INT64_MAX, &revision, error)
      || !presets_parse (root, document, error)
      || !in_force_parse (root, document, error)
      || !rules_parse (root, document, error))
    return 0;
  document->bytes = malloc (byte_count);
  if (document->bytes == NULL)
    return eel_document_fail (error, EEL_ERROR_INTERNAL, 1, "out of memory");
  memcpy (document->bytes, bytes, byte_count);
  document->byte_count = byte_count;
  document->revision.number = (uint64_t)revision;
  crypto_generichash (document->revision.hash, EEL_DOCUMENT_HASH_BYTES, bytes,
                      byte_count, NULL, 0);
  return 1;
}

/* Parses untrusted bytes; the result depends on nothing but the bytes. */
struct eel_document *
eel_document_parse (const uint8_t *bytes,
                    size_t byte_count,
                    struct eel_document_error *error)
{
  struct eel_document *document;
  struct eel_toml *root;
  uint32_t line = 0;
  char text[192];
  int filled;

  memset (error, 0, sizeof *error);
  if (byte_count > EEL_DOCUMENT_BYTES_MAX)
    {
      eel_document_fail (error, EEL_ERROR_DOCUMENT_TOO_LARGE, 1,
                         "the document has %zu bytes; allowed is 1 to %d",
                         byte_count, EEL_DOCUMENT_BYTES_MAX);
      return NULL;
    }
  root = eel_toml_parse ((const char *)bytes, byte_count, &line, text,
                         sizeof text);
  if (root == NULL)
    {
      eel_document_fail (error, INVALID, line, "%s", text);
      return NULL;
    }
  document = calloc (1, sizeof *document);
  if (document == NULL)
    {
      eel_document_fail (error, EEL_ERROR_INTERNAL, 1, "out of memory");
      eel_toml_free (root);
      return NULL;
    }
  document->references = 1;
  filled = document_fill (document, root, bytes, byte_count, error);
  eel_toml_free (root);
  if (filled)
    return document;
  eel_document_unref (document);
  return NULL;
}

/* Returns the built-in document with the default preset and no rules. */
struct eel_document *
eel_document_builtin (void)
{
  struct eel_document *document = calloc (1, sizeof *document);

  if (document == NULL)
    return NULL;
  document->references = 1;
  document->preset_count = 1;
  eel_preset_defaults (&document->presets[0], "builtin");
  return document;
}

/* Adds a reference; all holders are on one thread. */
struct eel_document *
eel_document_ref (struct eel_document *document)
{
  document->references++;
  return document;
}

/* Drops a reference and frees the document with the last one. */
void
eel_document_unref (struct eel_document *document)
{
  if (document == NULL || --document->references > 0)
    return;
  free (document->rules);
  free (document->rule_next);
  free (document->bytes);
  free (document);
}

/* Returns the preset in force. */
const struct eel_preset *
eel_document_preset (const struct eel_document *document)
{
  return &document->presets[document->in_force];
}

/*
 * Finds the first rule of the service whose method and path prefix match.
 * The prefix is compared byte by byte with the path as it was sent.
 */
const struct eel_rule *
eel_document_rule (const struct eel_document *document,
                   const char *service,
                   const char *method,
                   const char *path)
{
  uint64_t hash = eel_hash64 (service, strlen (service), 0);
  uint32_t next = document->rule_heads[hash % EEL_RULE_HEADS];

  for (; next != 0; next = document->rule_next[next - 1])
    {
      const struct eel_rule *rule = &document->rules[next - 1];

      if (strcmp (rule->service, service) == 0
          && (rule->method[0] == 0 || strcmp (rule->method, method) == 0)
          && strncmp (path, rule->path_prefix, strlen (rule->path_prefix)) == 0)
        return rule;
    }
  return NULL;
}
