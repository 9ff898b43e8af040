#ifndef EEL_INTERNAL_STATUS_LINE_H
#define EEL_INTERNAL_STATUS_LINE_H

#include <stddef.h>
#include <stdint.h>

/* Bytes of "HTTP/1.1 200" and of what ends the status. */
#define EEL_STATUS_LINE_BYTES 13

/*
 * Follows the status line of RFC 9112, section 4, as its bytes arrive: a
 * version 1.x, one space, a status of three digits from 100 to 599, then a
 * space or the end of the line.  Empty lines before it are skipped.
 *
 * matched holds the number of bytes that fit so far, 0 at the start of an
 * answer and EEL_STATUS_LINE_BYTES once the line is sound; what follows is
 * not looked at.  Returns 0 at the first byte that doesn't fit.
 */
int eel_status_line_feed (uint8_t *matched, const char *data, size_t bytes);

#endif
