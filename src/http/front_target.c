#include "http/front_parse.h"

#include <stdio.h>
#include <string.h>

#include "http/fields.h"

static int
is_printable (const char *text)
{
  for (; *text != 0; text++)
    if (*text <= 0x20 || *text == 0x7f)
      return 0;
  return 1;
}

/*
 * Accepts a path with an optional query; the absolute form is for proxies only.
 */
int
front_parse_target (struct eel_call *call,
                    const char *target,
                    struct front_refusal *refusal)
{
  if (target[0] != '/' || !is_printable (target)
      || strchr (target, '#') != NULL)
    {
      front_refusal_set (refusal, EEL_ERROR_BAD_REQUEST, 1,
                         "the target must be a path of printable ASCII");
      return 0;
    }
  snprintf (call->target, sizeof call->target, "%s", target);
  return 1;
}

/* Accepts the methods that upstream_request_method supports. */
int
front_parse_method (struct eel_call *call,
                    const char *method,
                    struct front_refusal *refusal)
{
  static const char *const allowed[]
      = { "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH" };

  for (size_t i = 0; i < sizeof allowed / sizeof *allowed; i++)
    if (strcmp (method, allowed[i]) == 0)
      {
        snprintf (call->method, sizeof call->method, "%s", method);
        return 1;
      }
  front_refusal_set (refusal, EEL_ERROR_BAD_REQUEST, 1,
                     "the method must be GET, HEAD, POST, PUT, DELETE, "
                     "OPTIONS or PATCH");
  return 0;
}

/* Without a query the count is 1. */
int
front_parse_key_count (const char *target,
                       uint64_t *count,
                       struct front_refusal *refusal)
{
  const char *query = strchr (target, '?');

  *count = 1;
  if (query == NULL)
    return 1;
  if (strncmp (query, "?count=", 7) == 0
      && eel_http_parse_u64 (query + 7, FRONT_KEYS_PER_REQUEST_MAX, count)
      && *count > 0)
    return 1;
  front_refusal_set (refusal, EEL_ERROR_BAD_REQUEST, 0,
                     "count must be a number from 1 to %d",
                     FRONT_KEYS_PER_REQUEST_MAX);
  return 0;
}
