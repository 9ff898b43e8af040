#include "internal/call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Returns a zeroed call, or NULL if out of memory. */
struct eel_call *
eel_call_new (void)
{
  return calloc (1, sizeof (struct eel_call));
}

/* Frees a call and what it owns; NULL is allowed. */
void
eel_call_free (struct eel_call *call)
{
  if (call == NULL)
    return;
  eel_headers_finish (&call->headers);
  free (call->body.data);
  free (call);
}

/* Returns an empty answer to a call, or NULL if out of memory. */
struct eel_answer *
eel_answer_new (uint64_t call_id)
{
  struct eel_answer *answer = calloc (1, sizeof *answer);

  if (answer != NULL)
    answer->call_id = call_id;
  return answer;
}

/*
 * Returns NULL if out of memory; only the body is missing when just that cannot
 * be allocated.
 */
struct eel_answer *
eel_answer_error (uint64_t call_id, enum eel_error kind)
{
  const struct eel_error_info *info = eel_error_info (kind);
  struct eel_answer *answer = eel_answer_new (call_id);
  char text[256];
  int length;

  if (answer == NULL)
    return NULL;
  answer->error = kind;
  answer->status = info->http_status;
  answer->outcome = info->outcome;
  answer->retry = info->retry;
  answer->retry_after_ms = info->retry_after_ms;
  length = snprintf (text, sizeof text, "%s: %s\n", info->name, info->text);
  if (length > 0 && (size_t)length < sizeof text)
    eel_body_set (&answer->body, text, (size_t)length);
  return answer;
}

/* Frees an answer and what it owns; NULL is allowed. */
void
eel_answer_free (struct eel_answer *answer)
{
  if (answer == NULL)
    return;
  eel_headers_finish (&answer->headers);
  free (answer->body.data);
  free (answer);
}

/* Adds a copy of a header within the bounds on count and total bytes. */
enum eel_error
eel_headers_add (struct eel_headers *headers,
                 const char *name,
                 const char *value)
{
  size_t bytes = strlen (name) + strlen (value);
  struct eel_header *item = &headers->items[headers->count];

  if (headers->count == EEL_HEADERS_MAX
      || headers->bytes + bytes > EEL_HEADER_BYTES_MAX)
    return EEL_ERROR_HEADER_TOO_LARGE;
  item->name = strdup (name);
  item->value = strdup (value);
  if (item->name == NULL || item->value == NULL)
    {
      free (item->name);
      free (item->value);
      return EEL_ERROR_INTERNAL;
    }
  headers->count++;
  headers->bytes += (uint32_t)bytes;
  return EEL_OK;
}

/* Returns the value of the first header of that name, or NULL. */
const char *
eel_headers_get (const struct eel_headers *headers, const char *name)
{
  for (uint32_t i = 0; i < headers->count; i++)
    if (strcasecmp (headers->items[i].name, name) == 0)
      return headers->items[i].value;
  return NULL;
}

/* Frees all names and values and leaves the list empty. */
void
eel_headers_finish (struct eel_headers *headers)
{
  for (uint32_t i = 0; i < headers->count; i++)
    {
      free (headers->items[i].name);
      free (headers->items[i].value);
    }
  headers->count = 0;
  headers->bytes = 0;
}

/* Replaces the body by a copy of data, with a zero byte after its end. */
enum eel_error
eel_body_set (struct eel_body *body, const void *data, size_t bytes)
{
  uint8_t *copy;

  if (bytes > EEL_BODY_BYTES_MAX)
    return EEL_ERROR_BODY_TOO_LARGE;
  copy = malloc (bytes + 1);
  if (copy == NULL)
    return EEL_ERROR_INTERNAL;
  if (bytes > 0)
    memcpy (copy, data, bytes);
  copy[bytes] = 0;
  free (body->data);
  body->data = copy;
  body->bytes = bytes;
  return EEL_OK;
}
