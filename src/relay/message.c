#include "relay/message.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define INITIAL_CAPACITY_BYTES 1024

/* Allocates nothing. */
void
eel_head_init (struct eel_head *head)
{
  head->text = NULL;
  head->capacity = 0;
  eel_head_reset (head);
}

/* Empties the head but keeps its buffer. */
void
eel_head_reset (struct eel_head *head)
{
  head->bytes = 0;
  head->count = 0;
  head->target = 0;
  head->method = "";
  head->status = 0;
  head->framing = EEL_FRAMING_NONE;
  head->length_bytes = 0;
  head->keep_alive = 0;
}

/* The head is empty afterwards and may be used again. */
void
eel_head_finish (struct eel_head *head)
{
  free (head->text);
  eel_head_init (head);
}

/* Returns 0 when out of memory. */
int
eel_head_append (struct eel_head *head, const char *data, size_t bytes)
{
  size_t need = head->bytes + bytes;

  if (need > head->capacity)
    {
      size_t capacity
          = head->capacity == 0 ? INITIAL_CAPACITY_BYTES : head->capacity;
      char *text;

      while (capacity < need)
        capacity *= 2;
      text = realloc (head->text, capacity);
      if (text == NULL)
        return 0;
      head->text = text;
      head->capacity = (uint32_t)capacity;
    }
  memcpy (head->text + head->bytes, data, bytes);
  head->bytes = (uint32_t)need;
  return 1;
}

/* head is empty afterwards. */
void
eel_head_move (struct eel_head *target, struct eel_head *head)
{
  free (target->text);
  *target = *head;
  eel_head_init (head);
}

/* Returns the value of the first field of that name (case-insensitive), or
   NULL.  The pointer is valid until the head changes. */
const char *
eel_head_get_nth (const struct eel_head *head, const char *name, uint32_t n)
{
  for (uint32_t i = 0; i < head->count; i++)
    if (strcasecmp (head->text + head->fields[i].name, name) == 0 && n-- == 0)
      return head->text + head->fields[i].value;
  return NULL;
}

const char *
eel_head_get (const struct eel_head *head, const char *name)
{
  return eel_head_get_nth (head, name, 0);
}

const char *
eel_head_target (const struct eel_head *head)
{
  return head->text + head->target;
}

/* True when the comma-separated list contains the name. */
static int
list_contains (const char *list, const char *name)
{
  size_t bytes = strlen (name);

  while (*list != 0)
    {
      size_t span;

      list += strspn (list, " \t,");
      span = strcspn (list, " \t,");
      if (span == bytes && strncasecmp (list, name, bytes) == 0)
        return 1;
      list += span;
    }
  return 0;
}

static int
is_hop_by_hop (const char *name)
{
  static const char *const names[]
      = { "connection",        "keep-alive",     "proxy-connection",
          "transfer-encoding", "content-length", "te",
          "trailer",           "upgrade",        "expect" };

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (strcasecmp (name, names[i]) == 0)
      return 1;
  return 0;
}

/* Marks the fields of RFC 9110 section 7.6.1, Content-Length, Expect, Trailer
   and those that Connection lists. */
void
eel_head_mark_hop_by_hop (struct eel_head *head)
{
  const char *listed = eel_head_get (head, "connection");

  for (uint32_t i = 0; i < head->count; i++)
    {
      const char *name = head->text + head->fields[i].name;

      head->fields[i].hop_by_hop
          = is_hop_by_hop (name)
            || (listed != NULL && list_contains (listed, name));
    }
}

static int
is_skipped (const char *name, const char *const *skip)
{
  for (; *skip != NULL; skip++)
    if (strcasecmp (name, *skip) == 0)
      return 1;
  return 0;
}

/* Writes the end-to-end fields, one line each. */
void
eel_head_write_fields (const struct eel_head *head,
                       struct evbuffer *out,
                       const char *const *skip)
{
  for (uint32_t i = 0; i < head->count; i++)
    {
      const char *name = head->text + head->fields[i].name;
      const char *value = head->text + head->fields[i].value;

      if (head->fields[i].hop_by_hop || is_skipped (name, skip))
        continue;
      evbuffer_add (out, name, strlen (name));
      evbuffer_add (out, ": ", 2);
      evbuffer_add (out, value, strlen (value));
      evbuffer_add (out, "\r\n", 2);
    }
}

/* Writes Content-Length or Transfer-Encoding, as the framing needs. */
void
eel_head_write_framing (enum eel_framing framing,
                        uint64_t length_bytes,
                        struct evbuffer *out)
{
  if (framing == EEL_FRAMING_LENGTH)
    evbuffer_add_printf (out, "Content-Length: %" PRIu64 "\r\n", length_bytes);
  if (framing == EEL_FRAMING_CHUNKED || framing == EEL_FRAMING_CLOSE)
    evbuffer_add_printf (out, "Transfer-Encoding: chunked\r\n");
}

/* A body that was delimited by the end of its connection is sent in chunks. */
void
eel_body_write (enum eel_framing framing,
                struct evbuffer *out,
                const void *data,
                size_t bytes)
{
  if (bytes == 0 || framing == EEL_FRAMING_NONE)
    return;
  if (framing == EEL_FRAMING_LENGTH)
    {
      evbuffer_add (out, data, bytes);
      return;
    }
  evbuffer_add_printf (out, "%zx\r\n", bytes);
  evbuffer_add (out, data, bytes);
  evbuffer_add (out, "\r\n", 2);
}

/* Writes the last chunk of a body that is sent in chunks. */
void
eel_body_write_end (enum eel_framing framing, struct evbuffer *out)
{
  if (framing == EEL_FRAMING_CHUNKED || framing == EEL_FRAMING_CLOSE)
    evbuffer_add (out, "0\r\n\r\n", 5);
}
