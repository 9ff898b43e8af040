#include "node.h"

#include <stdlib.h>
#include <string.h>

/* Bytes before the headers: status and header count, 16 bits each. */
#define PREFIX_BYTES 4

struct reader
{
  const uint8_t *data;
  size_t left;
};

static uint8_t *
put16 (uint8_t *at, size_t value)
{
  at[0] = (uint8_t)(value & 0xff);
  at[1] = (uint8_t)(value >> 8);
  return at + 2;
}

static uint8_t *
put_text (uint8_t *at, const char *text)
{
  at = put16 (at, strlen (text));
  while (*text != '\0')
    *at++ = (uint8_t)*text++;
  return at;
}

static int
get16 (struct reader *reader, uint16_t *value)
{
  if (reader->left < 2)
    return 0;
  *value = (uint16_t)(reader->data[0] | reader->data[1] << 8);
  reader->data += 2;
  reader->left -= 2;
  return 1;
}

static char *
get_text (struct reader *reader)
{
  uint16_t bytes;
  char *text;

  if (!get16 (reader, &bytes) || reader->left < bytes)
    return NULL;
  text = strndup ((const char *)reader->data, bytes);
  reader->data += bytes;
  reader->left -= bytes;
  return text;
}

/*
 * Packs status, headers and body for the decider's stored answers.  Returns
 * memory from malloc, or NULL when out of memory.
 */
uint8_t *
node_answer_encode (const struct eel_answer *answer, uint32_t *bytes)
{
  const struct eel_headers *headers = &answer->headers;
  size_t size = PREFIX_BYTES + answer->body.bytes;
  uint8_t *data, *at;

  for (uint32_t i = 0; i < headers->count; i++)
    size += 4 + strlen (headers->items[i].name)
            + strlen (headers->items[i].value);
  data = malloc (size);
  if (data == NULL)
    return NULL;
  at = put16 (data, answer->status);
  at = put16 (at, headers->count);
  for (uint32_t i = 0; i < headers->count; i++)
    {
      at = put_text (at, headers->items[i].name);
      at = put_text (at, headers->items[i].value);
    }
  if (answer->body.bytes > 0)
    memcpy (at, answer->body.data, answer->body.bytes);
  *bytes = (uint32_t)size;
  return data;
}

static int
decode_headers (struct reader *reader, struct eel_headers *headers)
{
  uint16_t count;
  int valid = get16 (reader, &count);

  for (uint16_t i = 0; valid && i < count; i++)
    {
      char *name = get_text (reader);
      char *value = get_text (reader);

      valid = name != NULL && value != NULL
              && eel_headers_add (headers, name, value) == EEL_OK;
      free (name);
      free (value);
    }
  return valid;
}

/* Returns NULL when the bytes are truncated or exceed a limit. */
struct eel_answer *
node_answer_decode (uint64_t call_id, const uint8_t *data, uint32_t bytes)
{
  struct reader reader = { data, bytes };
  struct eel_answer *answer = eel_answer_new (call_id);

  if (answer == NULL)
    return NULL;
  answer->outcome = EEL_OUTCOME_RAN;
  if (get16 (&reader, &answer->status)
      && decode_headers (&reader, &answer->headers)
      && eel_body_set (&answer->body, reader.data, reader.left) == EEL_OK)
    return answer;
  eel_answer_free (answer);
  return NULL;
}

/* Returns a deep copy, or NULL when out of memory. */
struct eel_call *
node_call_copy (const struct eel_call *call)
{
  struct eel_call *copy = eel_call_new ();
  enum eel_error error = EEL_OK;

  if (copy == NULL)
    return NULL;
  *copy = *call;
  memset (&copy->headers, 0, sizeof copy->headers);
  memset (&copy->body, 0, sizeof copy->body);
  for (uint32_t i = 0; i < call->headers.count && error == EEL_OK; i++)
    error = eel_headers_add (&copy->headers, call->headers.items[i].name,
                             call->headers.items[i].value);
  if (error == EEL_OK && call->body.data != NULL)
    error = eel_body_set (&copy->body, call->body.data, call->body.bytes);
  if (error == EEL_OK)
    return copy;
  eel_call_free (copy);
  return NULL;
}
