#include "relay/reader.h"

#include <string.h>
#include <strings.h>

#include "internal/status_line.h"

static int
fail (struct eel_reader *reader, enum eel_error error)
{
  if (reader->error == EEL_OK)
    reader->error = error;
  return -1;
}

/* Appends to the head and bounds the total of request target and fields. */
static int
append (struct eel_reader *reader, const char *data, size_t bytes)
{
  reader->head_bytes += (uint32_t)bytes;
  if (reader->head_bytes > reader->max_head_bytes)
    return fail (reader, EEL_ERROR_HEADER_TOO_LARGE);
  if (!eel_head_append (&reader->head, data, bytes))
    return fail (reader, EEL_ERROR_INTERNAL);
  return 0;
}

static int
on_begin (http_parser *parser)
{
  struct eel_reader *reader = parser->data;

  reader->started = 1;
  return 0;
}

static int
on_url (http_parser *parser, const char *data, size_t bytes)
{
  struct eel_reader *reader = parser->data;

  /* With any other byte the upstream might parse another path. */
  for (size_t i = 0; i < bytes; i++)
    if (data[i] <= ' ' || data[i] > '~' || data[i] == '#')
      return fail (reader, EEL_ERROR_BAD_REQUEST);
  reader->url_bytes += (uint32_t)bytes;
  return append (reader, data, bytes);
}

static int
on_field (http_parser *parser, const char *data, size_t bytes)
{
  struct eel_reader *reader = parser->data;
  struct eel_head *head = &reader->head;

  /* The parser refuses all that is no token (RFC 9110, section 5.6.2), except
     blanks. */
  if (memchr (data, ' ', bytes) != NULL)
    return fail (reader, EEL_ERROR_HEADER_INVALID);
  /* Trailers are read and discarded. */
  if (reader->head_done)
    return 0;
  if (head->count == 0 || reader->in_value)
    {
      if (append (reader, "", 1) != 0)
        return -1;
      if (head->count == EEL_HEAD_FIELDS_MAX)
        return fail (reader, EEL_ERROR_HEADER_TOO_LARGE);
      head->fields[head->count].name = head->bytes;
      head->fields[head->count].value = head->bytes;
      head->fields[head->count].hop_by_hop = 0;
      head->count++;
      reader->in_value = 0;
    }
  return append (reader, data, bytes);
}

static int
on_value (http_parser *parser, const char *data, size_t bytes)
{
  struct eel_reader *reader = parser->data;
  struct eel_head *head = &reader->head;

  if (reader->head_done)
    return 0;
  if (!reader->in_value)
    {
      if (append (reader, "", 1) != 0)
        return -1;
      head->fields[head->count - 1].value = head->bytes;
      reader->in_value = 1;
    }
  if (memchr (data, 0, bytes) != NULL)
    return fail (reader, EEL_ERROR_HEADER_INVALID);
  return append (reader, data, bytes);
}

/* True for no transfer coding, or for chunked alone: any other would have to be
   decoded, and the parser takes some for chunked or for none. */
static int
coding_is_known (const struct eel_reader *reader)
{
  const struct eel_head *head = &reader->head;
  const char *coding = eel_head_get (head, "transfer-encoding");
  size_t bytes = strlen ("chunked");

  if (coding == NULL)
    return 1;
  return (reader->parser.flags & F_CHUNKED) != 0
         && strncasecmp (coding, "chunked", bytes) == 0
         && coding[bytes + strspn (coding + bytes, " \t")] == 0
         && eel_head_get_nth (head, "transfer-encoding", 1) == NULL;
}

/* Such an answer ends with its head, whatever length that states (RFC 9112,
   section 6.3); the parser goes by the length. */
static int
ends_with_head (const http_parser *parser)
{
  return parser->type == HTTP_RESPONSE
         && (parser->status_code < 200 || parser->status_code == 204
             || parser->status_code == 304);
}

/* Takes the framing from the parser, which has checked it. */
static void
read_framing (struct eel_reader *reader)
{
  http_parser *parser = &reader->parser;
  struct eel_head *head = &reader->head;

  if (ends_with_head (parser))
    head->framing = EEL_FRAMING_NONE;
  else if ((parser->flags & F_CHUNKED) != 0)
    head->framing = EEL_FRAMING_CHUNKED;
  else if ((parser->flags & F_CONTENTLENGTH) != 0)
    {
      head->framing = EEL_FRAMING_LENGTH;
      head->length_bytes = parser->content_length;
    }
  else if (parser->type == HTTP_RESPONSE)
    head->framing = EEL_FRAMING_CLOSE;
  head->keep_alive = (uint8_t)(http_should_keep_alive (parser) != 0);
}

static int
on_head (http_parser *parser)
{
  struct eel_reader *reader = parser->data;
  struct eel_head *head = &reader->head;
  int skip;

  if (append (reader, "", 1) != 0)
    return -1;
  if (parser->type == HTTP_REQUEST
      && (parser->method == HTTP_CONNECT || reader->url_bytes == 0))
    return fail (reader, EEL_ERROR_BAD_REQUEST);
  if (!coding_is_known (reader))
    return fail (reader, EEL_ERROR_BAD_REQUEST);
  reader->head_done = 1;
  head->status = (uint16_t)parser->status_code;
  head->method = parser->type == HTTP_REQUEST
                     ? http_method_str ((enum http_method)parser->method)
                     : "";
  read_framing (reader);
  /* Upgrades are not supported: the message is read as an ordinary one. */
  parser->upgrade = 0;
  eel_head_mark_hop_by_hop (head);
  skip = reader->ops->head (reader->owner, head);
  if (reader->stopped)
    return -1;
  return skip || ends_with_head (parser) ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t bytes)
{
  struct eel_reader *reader = parser->data;

  if (!eel_line_ends_skip_body (&reader->line_ends, data, bytes,
                                (parser->flags & F_CHUNKED) != 0))
    return fail (reader, EEL_ERROR_BAD_REQUEST);
  reader->ops->body (reader->owner, data, bytes);
  return reader->stopped ? -1 : 0;
}

static int
on_end (http_parser *parser)
{
  struct eel_reader *reader = parser->data;

  reader->ended = 1;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings settings = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_end,
};

void
eel_reader_init (struct eel_reader *reader,
                 enum http_parser_type type,
                 const struct eel_reader_ops *ops,
                 void *owner,
                 uint32_t max_head_bytes)
{
  memset (reader, 0, sizeof *reader);
  http_parser_init (&reader->parser, type);
  reader->parser.data = reader;
  reader->ops = ops;
  reader->owner = owner;
  reader->max_head_bytes = max_head_bytes;
  eel_head_init (&reader->head);
}

void
eel_reader_finish (struct eel_reader *reader)
{
  eel_head_finish (&reader->head);
}

/* Resets the state of the message that has ended. */
void
eel_reader_next (struct eel_reader *reader)
{
  eel_head_reset (&reader->head);
  reader->head_bytes = 0;
  reader->url_bytes = 0;
  reader->status_line_bytes = 0;
  memset (&reader->line_ends, 0, sizeof reader->line_ends);
  reader->in_value = 0;
  reader->started = 0;
  reader->head_done = 0;
  reader->ended = 0;
  reader->error = EEL_OK;
}

/* Calls end after http_parser_execute has returned, so that the callback may
   start the next message. */
static void
finish_message (struct eel_reader *reader)
{
  http_parser_pause (&reader->parser, 0);
  reader->ops->end (reader->owner);
}

long
eel_reader_feed (struct eel_reader *reader, const char *data, size_t bytes)
{
  http_parser *parser = &reader->parser;
  size_t consumed;

  /* The parser takes any number for a status, and any version. */
  if ((parser->type == HTTP_RESPONSE
       && !eel_status_line_feed (&reader->status_line_bytes, data, bytes))
      || !eel_line_ends_begin_piece (&reader->line_ends, data, bytes))
    return fail (reader, EEL_ERROR_BAD_REQUEST);
  consumed = http_parser_execute (parser, &settings, data, bytes);
  if (reader->stopped)
    return -1;
  if (!eel_line_ends_check (&reader->line_ends, data + consumed))
    return fail (reader, EEL_ERROR_BAD_REQUEST);
  if (reader->ended)
    {
      finish_message (reader);
      return (long)consumed;
    }
  if (HTTP_PARSER_ERRNO (parser) != HPE_OK)
    {
      fail (reader, HTTP_PARSER_ERRNO (parser) == HPE_HEADER_OVERFLOW
                        ? EEL_ERROR_HEADER_TOO_LARGE
                        : EEL_ERROR_BAD_REQUEST);
      return -1;
    }
  return (long)consumed;
}

/* Completes a message whose body is delimited by the end of the connection. */
int
eel_reader_eof (struct eel_reader *reader)
{
  if (!reader->started)
    return 1;
  http_parser_execute (&reader->parser, &settings, "", 0);
  if (!reader->ended)
    return 0;
  finish_message (reader);
  return 1;
}
