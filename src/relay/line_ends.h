#ifndef EEL_RELAY_LINE_ENDS_H
#define EEL_RELAY_LINE_ENDS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Checks the line ends of one HTTP/1.1 message: CR has LF behind it, and the
 * data of a chunk ends with CR LF.  http_parser, as Debian builds it, takes any
 * byte in the place of most of them.  LF alone ends a line of a head (RFC 9112,
 * section 2.2).
 *
 * All zero at the start of a message.
 */
struct eel_line_ends
{
  /* First byte of the piece that is not checked yet. */
  const char *next;
  char last_byte;
  /* Where in the head, by enum head_place. */
  uint8_t place;
  uint8_t after_chunk_data;
};

/* Takes a piece of a message and checks what of the head is in it.  Comes
   before the piece is parsed, so that no one acts on a malformed head.  Returns
   0 for a malformed line. */
int eel_line_ends_begin_piece (struct eel_line_ends *ends,
                               const char *data,
                               size_t bytes);
/* Checks the bytes of the piece up to end, none of which are of a body. */
int eel_line_ends_check (struct eel_line_ends *ends, const char *end);
/* Checks the bytes before a part of the body and skips that. */
int eel_line_ends_skip_body (struct eel_line_ends *ends,
                             const char *body,
                             size_t bytes,
                             int is_chunked);

#endif
