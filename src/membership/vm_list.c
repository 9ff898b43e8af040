#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/membership.h"

#define FIELDS 5
#define LINE_MAX_BYTES 256

static int
number (const char *text, uint32_t max, uint32_t *value)
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
word (const char *text, char *out, size_t max)
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
address_valid (const char *address)
{
  const char *colon = strrchr (address, ':');
  uint32_t port;

  return colon != NULL && colon != address
         && number (colon + 1, UINT16_MAX, &port) && port != 0;
}

static int
state_parse (const char *text, uint8_t *state)
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
line_parse (char *line, struct eel_vm_entry *entry)
{
  char *fields[FIELDS];
  size_t count = 0;
  char *next = NULL;
  uint32_t domain;

  for (char *field = strtok_r (line, " ", &next); field != NULL;
       field = strtok_r (NULL, " ", &next))
    {
      if (count == FIELDS)
        return 0;
      fields[count++] = field;
    }
  memset (entry, 0, sizeof *entry);
  if (count != FIELDS || !number (fields[0], UINT32_MAX, &entry->update.node)
      || !number (fields[1], UINT16_MAX, &domain)
      || !word (fields[2], entry->service, sizeof entry->service)
      || !state_parse (fields[3], &entry->update.state)
      || !word (fields[4], entry->update.address, sizeof entry->update.address)
      || !address_valid (entry->update.address))
    return 0;
  entry->update.domain = (uint16_t)domain;
  return 1;
}

/* Reads a VM list; empty lines are neither entries nor errors. */
size_t
eel_vm_list_parse (const char *text,
                   size_t bytes,
                   struct eel_vm_entry *out,
                   size_t out_max,
                   size_t *ignored)
{
  char line[LINE_MAX_BYTES];
  size_t count = 0;
  size_t at = 0;

  *ignored = 0;
  while (at < bytes)
    {
      const char *end = memchr (text + at, '\n', bytes - at);
      size_t length = end == NULL ? bytes - at : (size_t)(end - (text + at));

      if (length > 0)
        {
          int fits = length < sizeof line && count < out_max
                     && memchr (text + at, 0, length) == NULL;

          if (fits)
            {
              memcpy (line, text + at, length);
              line[length] = 0;
            }
          if (fits && line_parse (line, &out[count]))
            count++;
          else
            (*ignored)++;
        }
      at += length + 1;
    }
  return count;
}
