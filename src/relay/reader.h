#ifndef EEL_RELAY_READER_H
#define EEL_RELAY_READER_H

#include <http_parser.h>

#include "eelgrasslatch/error.h"
#include "relay/line_ends.h"
#include "relay/message.h"

/*
 * Splits a byte stream into HTTP/1.1 messages, one at a time, and delivers
 * each body in pieces as they arrive.
 */

struct eel_reader;

struct eel_reader_ops
{
  /* The head is complete.  Returns nonzero for an answer to HEAD, which has no
     body. */
  int (*head) (void *owner, struct eel_head *head);
  void (*body) (void *owner, const char *data, size_t bytes);
  void (*end) (void *owner);
};

struct eel_reader
{
  http_parser parser;
  struct eel_head head;
  const struct eel_reader_ops *ops;
  void *owner;
  uint32_t max_head_bytes;
  uint32_t head_bytes;
  uint32_t url_bytes;
  uint8_t status_line_bytes;
  struct eel_line_ends line_ends;
  uint8_t in_value;
  /* Between the first byte of a message and its end. */
  uint8_t started;
  uint8_t head_done;
  uint8_t ended;
  /* Set by the owner to stop reading this stream. */
  uint8_t stopped;
  enum eel_error error;
};

void eel_reader_init (struct eel_reader *reader,
                      enum http_parser_type type,
                      const struct eel_reader_ops *ops,
                      void *owner,
                      uint32_t max_head_bytes);
void eel_reader_finish (struct eel_reader *reader);
/*
 * Reads up to the end of one message.  Returns the number of bytes consumed, or
 * -1 when the reader was stopped or the bytes are not an HTTP message; error
 * holds the kind.  Callbacks must not free the reader.
 */
long
eel_reader_feed (struct eel_reader *reader, const char *data, size_t bytes);
/* The peer closed its side; returns 0 when that truncated a message. */
int eel_reader_eof (struct eel_reader *reader);
/* Prepares for the next message; head may have been moved out before. */
void eel_reader_next (struct eel_reader *reader);

#endif
