#include "http/fields.h"

#include <ctype.h>
#include <signal.h>
#include <string.h>
#include <strings.h>

static const char *const hop_by_hop[]
    = { "Connection",          "Keep-Alive", "Proxy-Connection",
        "Proxy-Authenticate",  "TE",         "Trailer",
        "Proxy-Authorization", "Upgrade",    "Transfer-Encoding" };

/* Returns 1 when text is a token of RFC 9110, such as a field name. */
int
eel_http_is_token (const char *text)
{
  if (*text == 0)
    return 0;
  for (; *text != 0; text++)
    if (!isalnum ((unsigned char)*text)
        && strchr ("!#$%&'*+-.^_`|~", *text) == NULL)
      return 0;
  return 1;
}

/* Returns 1 when text has no control characters other than tab. */
int
eel_http_is_field_value (const char *text)
{
  for (; *text != 0; text++)
    if (((unsigned char)*text < 0x20 && *text != '\t') || *text == 0x7f)
      return 0;
  return 1;
}

/* Returns 1 when text begins with prefix, ignoring case. */
int
eel_http_has_prefix (const char *text, const char *prefix)
{
  return strncasecmp (text, prefix, strlen (prefix)) == 0;
}

/* Parses a decimal number of at most max; returns 0 for any other text. */
int
eel_http_parse_u64 (const char *text, uint64_t max, uint64_t *out)
{
  uint64_t value = 0;

  if (*text == 0)
    return 0;
  for (; *text != 0; text++)
    {
      uint64_t digit;

      if (*text < '0' || *text > '9')
        return 0;
      digit = (uint64_t)(*text - '0');
      if (value > max / 10 || value * 10 > max - digit)
        return 0;
      value = value * 10 + digit;
    }
  *out = value;
  return 1;
}

/* Returns 1 when a comma-separated list contains a token, ignoring case. */
int
eel_http_list_contains (const char *list, const char *token)
{
  size_t length = strlen (token);

  while (*list != 0)
    {
      size_t item;

      list += strspn (list, ", \t");
      item = strcspn (list, ", \t");
      if (item == length && strncasecmp (list, token, length) == 0)
        return 1;
      list += item;
    }
  return 0;
}

/*
 * Returns 1 for a hop-by-hop field: one listed in hop_by_hop or named by a
 * Connection field of the same message (RFC 9110).
 */
int
eel_http_is_hop_by_hop (const struct eel_headers *headers, const char *name)
{
  for (size_t i = 0; i < sizeof hop_by_hop / sizeof *hop_by_hop; i++)
    if (strcasecmp (name, hop_by_hop[i]) == 0)
      return 1;
  for (uint32_t i = 0; i < headers->count; i++)
    if (strcasecmp (headers->items[i].name, "Connection") == 0
        && eel_http_list_contains (headers->items[i].value, name))
      return 1;
  return 0;
}

/* Returns the number of fields with this name, ignoring case. */
uint32_t
eel_http_field_count (const struct eel_headers *headers, const char *name)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < headers->count; i++)
    if (strcasecmp (headers->items[i].name, name) == 0)
      count++;
  return count;
}

/* Returns 1 when an answer of this status to this method has a body. */
int
eel_http_status_has_body (unsigned status, const char *method)
{
  return status >= 200 && status != 204 && status != 304
         && strcmp (method, "HEAD") != 0;
}

/*
 * Ignores SIGPIPE, so that a write to a closed socket fails with EPIPE instead
 * of terminating the process.
 */
void
eel_http_ignore_sigpipe (void)
{
  signal (SIGPIPE, SIG_IGN);
}
