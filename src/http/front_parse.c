#include "http/front_parse.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "eelgrasslatch/key.h"
#include "eelgrasslatch/types.h"
#include "http/fields.h"

/* Sets all fields of a refusal; a text that is too long is truncated. */
void
front_refusal_set (struct front_refusal *refusal,
                   enum eel_error error,
                   int close,
                   const char *format,
                   ...)
{
  va_list args;

  refusal->error = error;
  refusal->close = close;
  va_start (args, format);
  vsnprintf (refusal->text, sizeof refusal->text, format, args);
  va_end (args);
}

static int
refuse_value (struct front_refusal *refusal,
              const char *name,
              const char *allowed)
{
  front_refusal_set (refusal, EEL_ERROR_HEADER_INVALID, 0, "%s must be %s",
                     name, allowed);
  return 0;
}

/*
 * Refuses every form for which two parsers could find different body lengths,
 * which would allow request smuggling.
 */
int
front_check_framing (const struct eel_headers *headers,
                     struct front_refusal *refusal)
{
  const char *length = eel_headers_get (headers, "Content-Length");
  const char *coding = eel_headers_get (headers, "Transfer-Encoding");
  uint64_t bytes = 0;

  if (length != NULL && coding != NULL)
    front_refusal_set (
        refusal, EEL_ERROR_BAD_REQUEST, 1,
        "Content-Length and Transfer-Encoding exclude each other");
  else if (eel_http_field_count (headers, "Content-Length") > 1)
    front_refusal_set (refusal, EEL_ERROR_BAD_REQUEST, 1,
                       "Content-Length is given more than once");
  else if (eel_http_field_count (headers, "Transfer-Encoding") > 1
           || (coding != NULL && strcmp (coding, "chunked") != 0))
    front_refusal_set (refusal, EEL_ERROR_BAD_REQUEST, 1,
                       "Transfer-Encoding must be chunked, once");
  else if (length != NULL && !eel_http_parse_u64 (length, INT64_MAX, &bytes))
    front_refusal_set (refusal, EEL_ERROR_BAD_REQUEST, 1,
                       "Content-Length must be a decimal number");
  else if (bytes > EEL_BODY_BYTES_MAX)
    front_refusal_set (refusal, EEL_ERROR_BODY_TOO_LARGE, 1,
                       "Content-Length must be at most %d", EEL_BODY_BYTES_MAX);
  else if (eel_http_field_count (headers, "Host") > 1)
    front_refusal_set (refusal, EEL_ERROR_BAD_REQUEST, 1,
                       "Host is given more than once");
  else
    return 1;
  return 0;
}

/* Copies a name made of letters, digits and -_. or refuses it. */
static int
copy_name (char *out,
           size_t out_bytes,
           const char *value,
           const char *header,
           struct front_refusal *refusal)
{
  size_t length = strlen (value);
  char allowed[64];

  if (length == 0 || length >= out_bytes
      || strspn (value, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789-_.")
             != length)
    {
      snprintf (allowed, sizeof allowed,
                "1 to %zu letters, digits, '-', '_' or '.'", out_bytes - 1);
      return refuse_value (refusal, header, allowed);
    }
  memcpy (out, value, length + 1);
  return 1;
}

static int
parse_service (struct eel_call *call,
               const char *value,
               struct front_refusal *refusal)
{
  return copy_name (call->service, sizeof call->service, value, "Eel-Service",
                    refusal);
}

static int
parse_caller (struct eel_call *call,
              const char *value,
              struct front_refusal *refusal)
{
  return copy_name (call->caller, sizeof call->caller, value, "Eel-Caller",
                    refusal);
}

static int
parse_label (struct eel_call *call,
             const char *value,
             struct front_refusal *refusal)
{
  return copy_name (call->label, sizeof call->label, value, "Eel-Call-Label",
                    refusal);
}

static int
parse_class (struct eel_call *call,
             const char *value,
             struct front_refusal *refusal)
{
  static const char *const names[EEL_CLASS_COUNT]
      = { "critical", "lookup", "background" };

  for (int i = 0; i < EEL_CLASS_COUNT; i++)
    if (strcmp (value, names[i]) == 0)
      {
        call->klass = (enum eel_class)i;
        call->given |= EEL_GIVEN_CLASS;
        return 1;
      }
  return refuse_value (refusal, "Eel-Class", "critical, lookup or background");
}

static int
parse_idempotent (struct eel_call *call,
                  const char *value,
                  struct front_refusal *refusal)
{
  if (strcmp (value, "yes") != 0 && strcmp (value, "no") != 0)
    return refuse_value (refusal, "Eel-Idempotent", "yes or no");
  call->idempotent = value[0] == 'y';
  call->given |= EEL_GIVEN_IDEMPOTENT;
  return 1;
}

static int
parse_key (struct eel_call *call,
           const char *value,
           struct front_refusal *refusal)
{
  if (strlen (value) >= EEL_KEY_TEXT_MAX
      || eel_key_decode (&call->key, value) != EEL_OK)
    {
      /* Same text as the node's answer to a key with an invalid signature. */
      front_refusal_set (refusal, EEL_ERROR_KEY_INVALID, 0, "%s",
                         eel_error_info (EEL_ERROR_KEY_INVALID)->text);
      return 0;
    }
  call->given |= EEL_GIVEN_KEY;
  return 1;
}

static int
parse_attempts (struct eel_call *call,
                const char *value,
                struct front_refusal *refusal)
{
  uint64_t spare;

  if (!eel_http_parse_u64 (value, FRONT_SPARE_ATTEMPTS_MAX, &spare))
    return refuse_value (refusal, "Eel-Attempts", "a number from 0 to 255");
  call->spare = (uint8_t)spare;
  call->given |= EEL_GIVEN_SPARE;
  return 1;
}

static int
parse_parent (struct eel_call *call,
              const char *value,
              struct front_refusal *refusal)
{
  if (!eel_http_parse_u64 (value, UINT64_MAX, &call->parent)
      || call->parent == 0)
    return refuse_value (refusal, "Eel-Parent",
                         "the number that the request being run came with");
  call->nested = 1;
  return 1;
}

/* Sets the deadline unless an earlier one was already set. */
static void
lower_deadline (struct eel_call *call, int64_t deadline_us)
{
  if (!(call->given & EEL_GIVEN_DEADLINE) || deadline_us < call->deadline_us)
    call->deadline_us = deadline_us;
  call->given |= EEL_GIVEN_DEADLINE;
}

static int
parse_timeout (struct eel_call *call,
               const char *value,
               struct front_refusal *refusal)
{
  uint64_t ms;

  if (!eel_http_parse_u64 (value, FRONT_TIMEOUT_MS_MAX, &ms) || ms == 0)
    return refuse_value (refusal, "Eel-Timeout-Ms",
                         "a number from 1 to 600000");
  lower_deadline (call, call->arrived_us + (int64_t)ms * EEL_US_PER_MS);
  return 1;
}

/* A past deadline is accepted here; the node answers that it has passed. */
static int
parse_deadline (struct eel_call *call,
                const char *value,
                int64_t wall_ms,
                struct front_refusal *refusal)
{
  uint64_t ms;
  int64_t left_ms;

  if (!eel_http_parse_u64 (value, INT64_MAX / 2, &ms))
    return refuse_value (refusal, "Eel-Deadline", "Unix time in milliseconds");
  left_ms = (int64_t)ms - wall_ms;
  if (left_ms > FRONT_TIMEOUT_MS_MAX)
    return refuse_value (refusal, "Eel-Deadline",
                         "at most 600000 ms in the future");
  if (left_ms < 0)
    left_ms = 0;
  lower_deadline (call, call->arrived_us + left_ms * EEL_US_PER_MS);
  return 1;
}

static const struct
{
  const char *name;
  int (*parse) (struct eel_call *, const char *, struct front_refusal *);
} parsers[] = {
  { "Eel-Service", parse_service },       { "Eel-Class", parse_class },
  { "Eel-Idempotent", parse_idempotent }, { "Eel-Key", parse_key },
  { "Eel-Timeout-Ms", parse_timeout },    { "Eel-Attempts", parse_attempts },
  { "Eel-Parent", parse_parent },         { "Eel-Call-Label", parse_label },
  { "Eel-Caller", parse_caller },
};

static int
parse_eel_header (struct eel_call *call,
                  const struct eel_headers *headers,
                  const struct eel_header *header,
                  int64_t wall_ms,
                  struct front_refusal *refusal)
{
  if (eel_http_field_count (headers, header->name) > 1)
    {
      front_refusal_set (refusal, EEL_ERROR_HEADER_INVALID, 0,
                         "%.48s is given more than once", header->name);
      return 0;
    }
  if (strcasecmp (header->name, "Eel-Deadline") == 0)
    return parse_deadline (call, header->value, wall_ms, refusal);
  for (size_t i = 0; i < sizeof parsers / sizeof *parsers; i++)
    if (strcasecmp (header->name, parsers[i].name) == 0)
      return parsers[i].parse (call, header->value, refusal);
  front_refusal_set (refusal, EEL_ERROR_HEADER_INVALID, 0,
                     "%.48s is not a header of a request", header->name);
  return 0;
}

/* Takes the service from the first label of Host when Eel-Service is absent. */
static int
service_from_host (struct eel_call *call,
                   const struct eel_headers *headers,
                   struct front_refusal *refusal)
{
  const char *host = eel_headers_get (headers, "Host");
  char label[EEL_SERVICE_MAX + 1];
  size_t length;

  if (host == NULL)
    return refuse_value (refusal, "Eel-Service or Host", "given");
  length = strcspn (host, ".:");
  if (length >= sizeof label)
    length = sizeof label - 1;
  memcpy (label, host, length);
  label[length] = 0;
  return copy_name (call->service, sizeof call->service, label,
                    "the first label of Host", refusal);
}

/* Parses the Eel-* headers and copies the other end-to-end headers. */
int
front_parse_headers (struct eel_call *call,
                     const struct eel_headers *headers,
                     int64_t now_us,
                     int64_t wall_ms,
                     struct front_refusal *refusal)
{
  call->arrived_us = now_us;
  for (uint32_t i = 0; i < headers->count; i++)
    {
      const struct eel_header *header = &headers->items[i];
      enum eel_error error = EEL_OK;

      if (eel_http_has_prefix (header->name, "Eel-"))
        {
          if (!parse_eel_header (call, headers, header, wall_ms, refusal))
            return 0;
        }
      else if (!eel_http_is_hop_by_hop (headers, header->name)
               && strcasecmp (header->name, "Content-Length") != 0
               && strcasecmp (header->name, "Expect") != 0)
        error = eel_headers_add (&call->headers, header->name, header->value);
      if (error != EEL_OK)
        {
          front_refusal_set (refusal, error, 0, "the headers cannot be kept");
          return 0;
        }
    }
  if (call->service[0] == 0)
    return service_from_host (call, headers, refusal);
  return 1;
}
