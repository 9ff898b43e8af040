#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/membership.h"

#define FIELD_COUNT 5
#define LINE_BYTES_MAX 256

static int
parse_number (const char *text, uint32_t max, uint32_t *value)
{
  unsigned long long parsed;
  size_t length = strlen (text);

  if (length == 0 || length > 10 || strspn (text, "0123456789") != length)
    return 0;
  parsed = strtoull (text, NULL, 10);
  if (parsed > max)
    return 0;
  *value = (uint32_t)parsed;
  return 1;
}

/* Copies printable text that fits with its terminating zero. */
static int
copy_field (const char *text, char *out, size_t max)
{
  size_t length = strlen (text);

  if (length == 0 || length >= max)
    return 0;
  for (size_t i = 0; i < length; i++)
    if (text[i] <= ' ' || text[i] > '~')
      return 0;
  memcpy (out, text, length + 1);
  return 1;
}

static int
is_address_valid (const char *address)
{
  const char *colon = strrchr (address, ':');
  uint32_t port;

  return colon != NULL && colon != address
         && parse_number (colon + 1, UINT16_MAX, &port) && port != 0;
}

static int
parse_state (const char *text, uint8_t *state)
{
  if (strcmp (text, "live") == 0)
    *state = EEL_MEMBER_UNCONFIRMED;
  else if (strcmp (text, "leaving") == 0)
    *state = EEL_MEMBER_LEAVING;
  else
    return 0;
  return 1;
}

static int
parse_line (char *line, struct eel_vm_entry *entry)
{
  char *fields[FIELD_COUNT];
  size_t count = 0;
  char *next = NULL;
  uint32_t domain;

  for (char *field = strtok_r (line, " ", &next); field != NULL;
       field = strtok_r (NULL, " ", &next))
    {
      if (count == FIELD_COUNT)
        return 0;
      fields[count++] = field;
    }
  memset (entry, 0, sizeof *entry);
  if (count != FIELD_COUNT
      || !parse_number (fields[0], UINT32_MAX, &entry->update.node)
      || !parse_number (fields[1], UINT16_MAX, &domain)
      || !copy_field (fields[2], entry->service, sizeof entry->service)
      || !parse_state (fields[3], &entry->update.state)
      || !copy_field (fields[4], entry->update.address,
                      sizeof entry->update.address)
      || !is_address_valid (entry->update.address))
    return 0;
  entry->update.domain = (uint16_t)domain;
  return 1;
}

/* Reads a VM list; empty lines are skipped and not counted. */
size_t
eel_vm_list_parse (const char *text,
                   size_t bytes,
                   struct eel_vm_entry *out,
                   size_t out_max,
                   size_t *ignored)
{
  char line[LINE_BYTES_MAX];
  size_t count = 0;
  size_t offset = 0;

  *ignored = 0;
  while (offset < bytes)
    {
      const char *end = memchr (text + offset, '\n', bytes - offset);
      size_t length
          = end == NULL ? bytes - offset : (size_t)(end - (text + offset));

      if (length > 0)
        {
          int fits = length < sizeof line && count < out_max
                     && memchr (text + offset, 0, length) == NULL;

          if (fits)
            {
              memcpy (line, text + offset, length);
              line[length] = 0;
            }
          if (fits && parse_line (line, &out[count]))
            count++;
          else
            (*ignored)++;
        }
      offset += length + 1;
    }
  return count;
}
