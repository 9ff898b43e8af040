#ifndef EEL_RELAY_MESSAGE_H
#define EEL_RELAY_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

/*
 * The head of an HTTP/1.1 message: start line and fields, in one text buffer.
 * Offsets, not pointers, since the buffer moves when it grows.
 */

struct evbuffer;

#define EEL_HEAD_FIELDS_MAX 100

enum eel_framing
{
  EEL_FRAMING_NONE,
  EEL_FRAMING_LENGTH,
  EEL_FRAMING_CHUNKED,
  /* An answer that is delimited by the end of its connection. */
  EEL_FRAMING_CLOSE
};

struct eel_head_field
{
  uint32_t name;
  uint32_t value;
  /* Applies to one connection only and is not forwarded. */
  uint8_t hop_by_hop;
};

struct eel_head
{
  char *text;
  uint32_t bytes;
  uint32_t capacity;
  struct eel_head_field fields[EEL_HEAD_FIELDS_MAX];
  uint32_t count;
  /* Requests only. */
  uint32_t target;
  const char *method;
  /* Answers only. */
  uint16_t status;
  enum eel_framing framing;
  uint64_t length_bytes;
  uint8_t keep_alive;
};

void eel_head_init (struct eel_head *head);
void eel_head_reset (struct eel_head *head);
void eel_head_finish (struct eel_head *head);
int eel_head_append (struct eel_head *head, const char *data, size_t bytes);
/* Transfers the contents of head to target, whose own are freed first. */
void eel_head_move (struct eel_head *target, struct eel_head *head);
const char *eel_head_get (const struct eel_head *head, const char *name);
/* Returns the value of the field's nth occurrence, counted from 0, or NULL. */
const char *
eel_head_get_nth (const struct eel_head *head, const char *name, uint32_t n);
const char *eel_head_target (const struct eel_head *head);
/* Marks the hop-by-hop fields. */
void eel_head_mark_hop_by_hop (struct eel_head *head);
/* Writes the fields that are neither hop-by-hop nor named in skip (a list that
   ends with NULL). */
void eel_head_write_fields (const struct eel_head *head,
                            struct evbuffer *out,
                            const char *const *skip);
void eel_head_write_framing (enum eel_framing framing,
                             uint64_t length_bytes,
                             struct evbuffer *out);
/* Writes one piece of a body; eel_body_write_end writes the last chunk. */
void eel_body_write (enum eel_framing framing,
                     struct evbuffer *out,
                     const void *data,
                     size_t bytes);
void eel_body_write_end (enum eel_framing framing, struct evbuffer *out);

#endif
