#include "internal/status_line.h"

static const char protocol[] = "HTTP/1.";

enum
{
  MINOR = sizeof protocol - 1,
  SPACE,
  CLASS,
  TENS,
  UNITS,
  STATUS_END
};

_Static_assert(STATUS_END + 1 == EEL_STATUS_LINE_BYTES, "length of the line");

static int
is_digit (char byte)
{
  return byte >= '0' && byte <= '9';
}

static int
fits (uint8_t at, char byte)
{
  switch (at)
    {
    case SPACE:
      return byte == ' ';
    case CLASS:
      return byte >= '1' && byte <= '5';
    case MINOR:
    case TENS:
    case UNITS:
      return is_digit (byte);
    case STATUS_END:
      return byte == ' ' || byte == '\r' || byte == '\n';
    default:
      return byte == protocol[at];
    }
}

int
eel_status_line_feed (uint8_t *matched, const char *data, size_t bytes)
{
  for (; bytes > 0 && *matched < EEL_STATUS_LINE_BYTES; data++, bytes--)
    if (fits (*matched, *data))
      ++*matched;
    else if (*matched > 0 || (*data != '\r' && *data != '\n'))
      return 0;
  return 1;
}
