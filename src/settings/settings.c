#include "internal/settings.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "internal/toml.h"

/* Errors of one parse; those beyond max are counted but not stored. */
struct report
{
  struct eel_settings_error *errors;
  size_t max;
  size_t count;
};

enum field_kind
{
  FIELD_U16,
  FIELD_U32,
  FIELD_MS,
  FIELD_TEXT,
  FIELD_ADDRESS,
  FIELD_CURVE,
  FIELD_HEX32
};

/* min and max bound a number, or the length of a text in bytes. */
struct field
{
  const char *key;
  enum field_kind kind;
  size_t offset;
  int64_t min;
  int64_t max;
  uint8_t required;
};

struct section
{
  const char *name;
  const struct field *fields;
  size_t field_count;
  uint8_t required;
};

static void report_add (struct report *report,
                        uint32_t line,
                        const char *key,
                        const char *format,
                        ...) __attribute__ ((format (printf, 4, 5)));

static void
report_add (struct report *report,
            uint32_t line,
            const char *key,
            const char *format,
            ...)
{
  struct eel_settings_error *error;
  va_list arguments;

  if (report->count++ >= report->max)
    return;
  error = &report->errors[report->count - 1];
  error->line = line;
  snprintf (error->key, sizeof error->key, "%s", key);
  va_start (arguments, format);
  vsnprintf (error->text, sizeof error->text, format, arguments);
  va_end (arguments);
}

#define OFFSET(member) offsetof (struct eel_settings, member)

static const struct field node_fields[] = {
  { "id", FIELD_U32, OFFSET (node), 1, INT32_MAX, 1 },
  { "domain", FIELD_TEXT, OFFSET (domain), 1, EEL_DOMAIN_MAX - 1, 1 },
  { "domain_id", FIELD_U16, OFFSET (domain_id), 0, UINT16_MAX, 1 },
  { "region", FIELD_TEXT, OFFSET (region), 1, EEL_DOMAIN_MAX - 1, 1 },
  { "service", FIELD_TEXT, OFFSET (service), 1, EEL_SERVICE_MAX - 1, 1 },
  { "keys_max", FIELD_U32, OFFSET (keys_max), 64, 1048576, 0 },
  { "calls_max", FIELD_U32, OFFSET (calls_max), 64, 65536, 0 },
  { "readers_per_domain", FIELD_U32, OFFSET (readers_per_domain), 1, 8, 0 },
  { "probe_interval_ms", FIELD_MS, OFFSET (probe_interval_ms), 50, 60000, 0 },
  { "drain_ms", FIELD_MS, OFFSET (drain_ms), 100, 600000, 0 },
};

static const struct field listen_fields[] = {
  { "front", FIELD_ADDRESS, OFFSET (front), 0, 0, 1 },
  { "peer", FIELD_ADDRESS, OFFSET (peer), 0, 0, 1 },
  { "admin", FIELD_ADDRESS, OFFSET (admin), 0, 0, 1 },
};

static const struct field admin_fields[] = {
  { "token", FIELD_TEXT, OFFSET (admin_token), 16, EEL_TOKEN_MAX - 1, 1 },
};

static const struct field upstream_fields[] = {
  { "address", FIELD_ADDRESS, OFFSET (upstream), 0, 0, 1 },
  { "slots", FIELD_U32, OFFSET (upstream_slots), 1, 100000, 1 },
  { "connections", FIELD_U32, OFFSET (upstream_connections), 1, 100000, 1 },
  { "health_path", FIELD_TEXT, OFFSET (upstream_health_path), 1,
    EEL_PATH_BYTES - 1, 0 },
};

static const struct field platform_fields[] = {
  { "address", FIELD_ADDRESS, OFFSET (platform), 0, 0, 1 },
};

static const struct field key_fields[] = {
  { "curve_public", FIELD_CURVE, OFFSET (curve.public_key), 0, 0, 1 },
  { "curve_secret", FIELD_CURVE, OFFSET (curve.secret_key), 0, 0, 1 },
  { "curve_next_public", FIELD_CURVE, OFFSET (curve_next.public_key), 0, 0, 0 },
  { "curve_next_secret", FIELD_CURVE, OFFSET (curve_next.secret_key), 0, 0, 0 },
  { "request_key_secret", FIELD_HEX32, OFFSET (key_secret), 0, 0, 1 },
};

#define FIELDS(list) (list), sizeof (list) / sizeof ((list)[0])

static const struct section sections[] = {
  { "node", FIELDS (node_fields), 1 },
  { "listen", FIELDS (listen_fields), 1 },
  { "admin", FIELDS (admin_fields), 1 },
  { "upstream", FIELDS (upstream_fields), 1 },
  { "platform", FIELDS (platform_fields), 0 },
  { "keys", FIELDS (key_fields), 1 },
};

#define SECTION_COUNT (sizeof sections / sizeof sections[0])

static int
parse_address (const char *text, struct eel_endpoint_address *address)
{
  const char *colon = strrchr (text, ':');
  struct in_addr parsed;
  unsigned port;
  int end = 0;

  if (colon == NULL || (size_t)(colon - text) >= sizeof address->host)
    return 0;
  memcpy (address->host, text, (size_t)(colon - text));
  address->host[colon - text] = 0;
  if (inet_pton (AF_INET, address->host, &parsed) != 1)
    return 0;
  if (sscanf (colon + 1, "%5u%n", &port, &end) != 1 || colon[1 + end] != 0
      || port > UINT16_MAX)
    return 0;
  address->port = (uint16_t)port;
  return 1;
}

static int
parse_hex32 (const char *text, uint8_t *out)
{
  size_t written = 0;
  const char *end = NULL;

  return strlen (text) == 64
         && sodium_hex2bin (out, 32, text, 64, NULL, &written, &end) == 0
         && written == 32;
}

static void
read_number (const struct field *field,
             const struct eel_toml *value,
             void *target,
             struct report *report)
{
  if (value->kind != EEL_TOML_INTEGER || value->integer < field->min
      || value->integer > field->max)
    {
      report_add (report, value->line, field->key,
                  "must be a whole number from %lld to %lld",
                  (long long)field->min, (long long)field->max);
      return;
    }
  if (field->kind == FIELD_U16)
    *(uint16_t *)target = (uint16_t)value->integer;
  else if (field->kind == FIELD_U32)
    *(uint32_t *)target = (uint32_t)value->integer;
  else
    *(int64_t *)target = value->integer;
}

static void
read_text (const struct field *field,
           const struct eel_toml *value,
           char *target,
           struct report *report)
{
  size_t length = value->kind == EEL_TOML_STRING ? strlen (value->string) : 0;

  if ((int64_t)length < field->min || (int64_t)length > field->max)
    report_add (report, value->line, field->key,
                "must be a string of %lld to %lld bytes", (long long)field->min,
                (long long)field->max);
  else
    memcpy (target, value->string, length + 1);
}

static void
read_field (void *base,
            const struct field *field,
            const struct eel_toml *value,
            struct report *report)
{
  void *target = (char *)base + field->offset;
  const char *text = value->kind == EEL_TOML_STRING ? value->string : "";

  switch (field->kind)
    {
    case FIELD_U16:
    case FIELD_U32:
    case FIELD_MS:
      read_number (field, value, target, report);
      break;
    case FIELD_TEXT:
      read_text (field, value, target, report);
      break;
    case FIELD_ADDRESS:
      if (!parse_address (text, target))
        report_add (report, value->line, field->key,
                    "must be \"IPv4:port\" with a port from 0 to 65535");
      break;
    case FIELD_CURVE:
      if (strlen (text) != EEL_CURVE_TEXT_BYTES - 1)
        report_add (report, value->line, field->key,
                    "must be a CURVE key of 40 Z85 characters");
      else
        memcpy (target, text, EEL_CURVE_TEXT_BYTES);
      break;
    case FIELD_HEX32:
      if (!parse_hex32 (text, target))
        report_add (report, value->line, field->key,
                    "must be 64 hexadecimal digits");
      break;
    }
}

static const struct field *
find_field (const struct section *section, const char *key)
{
  for (size_t i = 0; i < section->field_count; i++)
    if (strcmp (section->fields[i].key, key) == 0)
      return &section->fields[i];
  return NULL;
}

static void
read_section (void *base,
              const struct section *section,
              const struct eel_toml *table,
              struct report *report)
{
  if (table->kind != EEL_TOML_TABLE)
    {
      report_add (report, table->line, section->name, "must be a table");
      return;
    }
  for (size_t i = 0; i < table->child_count; i++)
    {
      const struct eel_toml *value = &table->children[i];
      const struct field *field = find_field (section, value->key);

      if (field == NULL)
        report_add (report, value->line, value->key,
                    "unknown key in table [%s]", section->name);
      else
        read_field (base, field, value, report);
    }
  for (size_t i = 0; i < section->field_count; i++)
    if (section->fields[i].required
        && eel_toml_get (table, section->fields[i].key) == NULL)
      report_add (report, table->line, section->fields[i].key,
                  "missing in table [%s]", section->name);
}

static void
read_seed (struct eel_settings *settings,
           const struct eel_toml *table,
           struct report *report)
{
  static const struct field seed_fields[] = {
    { "node", FIELD_U32, offsetof (struct eel_seed, node), 1, INT32_MAX, 1 },
    { "address", FIELD_ADDRESS, offsetof (struct eel_seed, address), 0, 0, 1 },
  };
  static const struct section seed_table = { "seed", FIELDS (seed_fields), 0 };
  struct eel_seed *seed = &settings->seeds[settings->seed_count];

  read_section (seed, &seed_table, table, report);
  settings->seed_count++;
}

static void
read_seeds (struct eel_settings *settings,
            const struct eel_toml *array,
            struct report *report)
{
  if (array->kind != EEL_TOML_ARRAY || array->child_count > EEL_SEEDS_MAX)
    {
      report_add (report, array->line, "seed",
                  "must be at most %d tables [[seed]]", EEL_SEEDS_MAX);
      return;
    }
  for (size_t i = 0; i < array->child_count; i++)
    read_seed (settings, &array->children[i], report);
}

static const struct section *
find_section (const char *name)
{
  for (size_t i = 0; i < SECTION_COUNT; i++)
    if (strcmp (sections[i].name, name) == 0)
      return &sections[i];
  return NULL;
}

static void
check_consistency (struct eel_settings *settings,
                   const struct eel_toml *root,
                   struct report *report)
{
  const struct eel_toml *keys = eel_toml_get (root, "keys");
  int next_public = settings->curve_next.public_key[0] != 0;
  int next_secret = settings->curve_next.secret_key[0] != 0;

  settings->has_platform = eel_toml_get (root, "platform") != NULL;
  settings->has_curve_next = next_public && next_secret;
  if (next_public != next_secret)
    report_add (report, keys->line, "curve_next_public",
                "curve_next_public and curve_next_secret must be set together");
  if (settings->upstream_connections < settings->upstream_slots)
    report_add (report, eel_toml_get (root, "upstream")->line, "connections",
                "must be at least slots (%u)", settings->upstream_slots);
}

static void
set_defaults (struct eel_settings *settings)
{
  memset (settings, 0, sizeof *settings);
  settings->keys_max = 16384;
  settings->calls_max = 4096;
  settings->readers_per_domain = 2;
  settings->probe_interval_ms = 1000;
  settings->drain_ms = 30000;
  memcpy (settings->upstream_health_path, "/health", sizeof "/health");
}

static void
read_root (struct eel_settings *settings,
           const struct eel_toml *root,
           struct report *report)
{
  for (size_t i = 0; i < root->child_count; i++)
    {
      const struct eel_toml *child = &root->children[i];
      const struct section *section = find_section (child->key);

      if (section != NULL)
        read_section (settings, section, child, report);
      else if (strcmp (child->key, "seed") == 0)
        read_seeds (settings, child, report);
      else
        report_add (report, child->line, child->key, "unknown table or key");
    }
  for (size_t i = 0; i < SECTION_COUNT; i++)
    if (sections[i].required && eel_toml_get (root, sections[i].name) == NULL)
      report_add (report, 1, sections[i].name, "missing table [%s]",
                  sections[i].name);
  if (report->count == 0)
    check_consistency (settings, root, report);
}

/* Omitted keys get defaults. Checks across keys run only if each is valid. */
size_t
eel_settings_parse (struct eel_settings *settings,
                    const char *text,
                    size_t bytes,
                    struct eel_settings_error *errors,
                    size_t errors_max)
{
  struct report report = { errors, errors_max, 0 };
  struct eel_toml *root;
  char message[160];
  uint32_t line = 0;

  set_defaults (settings);
  root = eel_toml_parse (text, bytes, &line, message, sizeof message);
  if (root == NULL)
    {
      report_add (&report, line, "", "not valid TOML: %s", message);
      return report.count;
    }
  read_root (settings, root, &report);
  eel_toml_free (root);
  return report.count;
}
