#include "relay/line_ends.h"

enum head_place
{
  /* Before the start line; empty lines may come first. */
  BEFORE_HEAD,
  IN_LINE,
  AT_LINE_START,
  BEHIND_HEAD
};

/* Checks one byte that is not of a body. */
static int
check_byte (struct eel_line_ends *ends, char byte)
{
  if ((ends->last_byte == '\r' && byte != '\n')
      || (ends->after_chunk_data && byte != '\r'))
    return 0;
  ends->last_byte = byte;
  ends->after_chunk_data = 0;
  return 1;
}

/* The head ends with an empty line. */
static void
follow_head (struct eel_line_ends *ends, char byte)
{
  if (byte == '\n' && ends->place != BEFORE_HEAD)
    ends->place = ends->place == AT_LINE_START ? BEHIND_HEAD : AT_LINE_START;
  else if (byte != '\n' && byte != '\r')
    ends->place = IN_LINE;
}

int
eel_line_ends_begin_piece (struct eel_line_ends *ends,
                           const char *data,
                           size_t bytes)
{
  for (ends->next = data;
       ends->next < data + bytes && ends->place != BEHIND_HEAD; ends->next++)
    {
      if (!check_byte (ends, *ends->next))
        return 0;
      follow_head (ends, *ends->next);
    }
  return 1;
}

int
eel_line_ends_check (struct eel_line_ends *ends, const char *end)
{
  for (; ends->next < end; ends->next++)
    if (!check_byte (ends, *ends->next))
      return 0;
  return 1;
}

int
eel_line_ends_skip_body (struct eel_line_ends *ends,
                         const char *body,
                         size_t bytes,
                         int is_chunked)
{
  if (!eel_line_ends_check (ends, body))
    return 0;
  ends->next = body + bytes;
  ends->after_chunk_data = (uint8_t)is_chunked;
  return 1;
}
