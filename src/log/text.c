#include <stdio.h>

#include "internal/log.h"

/* An octal escape. */
#define ESCAPE_BYTES 4

static int
is_plain (char c)
{
  return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

/*
 * Returns a text for use between quotes: quotes and backslashes are escaped,
 * and in octal what is not printable ASCII.  What doesn't fit into the buffer
 * is left out, at its end.
 */
const char *
eel_log_escape (struct eel_log_text *buffer, const char *text)
{
  char *out = buffer->bytes;
  const char *end = buffer->bytes + sizeof buffer->bytes - ESCAPE_BYTES;

  for (; *text != 0 && out < end; text++)
    if (*text == '"' || *text == '\\')
      {
        *out++ = '\\';
        *out++ = *text;
      }
    else if (*text == ' ' || *text == '=' || is_plain (*text))
      *out++ = *text;
    else
      out += snprintf (out, ESCAPE_BYTES + 1, "\\%03o", (unsigned char)*text);
  *out = 0;
  return buffer->bytes;
}

/* Returns a text as the value of a field: as it is when it reads as one word,
   else escaped and in quotes; "-" for NULL. */
const char *
eel_log_text (struct eel_log_text *buffer, const char *text)
{
  struct eel_log_text escaped;
  const char *at = text;

  if (text == NULL)
    return "-";
  while (is_plain (*at))
    at++;
  if (*at == 0 && at != text)
    return text;
  snprintf (buffer->bytes, sizeof buffer->bytes, "\"%s\"",
            eel_log_escape (&escaped, text));
  return buffer->bytes;
}
