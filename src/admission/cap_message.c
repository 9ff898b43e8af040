#include "eelgrasslatch/cap_message.h"

#include <string.h>

#define VERSION 1
#define KIND(kind) (VERSION << 4 | (kind))
#define FLAG_ACTIVE 1
#define FLAG_READY 1
/* The grants are those that were asked for. */
#define FLAG_FULL 2
#define ASK_HEAD_BYTES 8
#define GRANT_HEAD_BYTES 6
#define TOKENS_PER_BYTE 128
#define WAIT_MAX_MS 65535

/* Reads from a datagram; past its end it yields zeros and is not valid. */
struct reader
{
  const uint8_t *bytes;
  size_t left;
  int valid;
};

static size_t
put (uint8_t *bytes, uint64_t value, size_t length)
{
  for (size_t i = 0; i < length; i++)
    bytes[i] = (uint8_t)(value >> (8 * (length - 1 - i)));
  return length;
}

static size_t
put_tokens (uint8_t *bytes, uint32_t tokens)
{
  if (tokens < TOKENS_PER_BYTE)
    return put (bytes, tokens, 1);
  return put (bytes, tokens % TOKENS_PER_BYTE + TOKENS_PER_BYTE, 1)
         + put (bytes + 1, tokens / TOKENS_PER_BYTE, 1);
}

static uint64_t
get (struct reader *reader, size_t length)
{
  uint64_t value = 0;

  if (reader->left < length)
    {
      reader->valid = 0;
      reader->left = 0;
      return 0;
    }
  for (size_t i = 0; i < length; i++)
    value = value << 8 | reader->bytes[i];
  reader->bytes += length;
  reader->left -= length;
  return value;
}

static uint32_t
get_tokens (struct reader *reader)
{
  uint32_t tokens = (uint32_t)get (reader, 1);

  if (tokens >= TOKENS_PER_BYTE)
    tokens = tokens - TOKENS_PER_BYTE
             + (uint32_t)get (reader, 1) * TOKENS_PER_BYTE;
  if (tokens > EEL_CAP_TOKENS_MAX)
    reader->valid = 0;
  return tokens;
}

static uint32_t
get_count (struct reader *reader)
{
  uint32_t count = (uint32_t)get (reader, 1);

  if (count > EEL_CAP_ENTRIES_MAX)
    {
      reader->valid = 0;
      return 0;
    }
  return count;
}

size_t
eel_cap_ask_encode (const struct eel_cap_ask_message *message, uint8_t *bytes)
{
  uint32_t bits = 0;
  size_t at = 0;

  while ((UINT32_C (1) << bits) < message->group_count)
    bits++;
  at += put (bytes + at, KIND (EEL_CAP_MESSAGE_ASK), 1);
  at += put (bytes + at, bits << 4 | (message->active ? FLAG_ACTIVE : 0), 1);
  at += put (bytes + at, message->seq & EEL_CAP_SEQ_MASK, 2);
  at += put (bytes + at, message->nodes, 2);
  at += put (bytes + at, message->group, 1);
  at += put (bytes + at, message->count, 1);
  for (uint32_t i = 0; i < message->count; i++)
    {
      at += put (bytes + at, message->asks[i].team, 8);
      at += put_tokens (bytes + at, message->asks[i].tokens);
    }
  return at;
}

/* Full grants need no list: the receiver knows what it has asked for. */
size_t
eel_cap_grant_encode (const struct eel_cap_grant_message *message,
                      uint8_t *bytes)
{
  uint32_t flags = message->ready ? FLAG_READY : 0;
  size_t at = 0;

  if (message->full)
    flags |= FLAG_FULL;
  at += put (bytes + at, KIND (EEL_CAP_MESSAGE_GRANT), 1);
  at += put (bytes + at, flags, 1);
  at += put (bytes + at, message->seq & EEL_CAP_SEQ_MASK, 2);
  at += put (bytes + at, message->group, 1);
  at += put (bytes + at, message->full ? 0 : message->count, 1);
  for (uint32_t i = 0; i < message->count && !message->full; i++)
    {
      int64_t wait_ms
          = (message->grants[i].wait_us + EEL_US_PER_MS - 1) / EEL_US_PER_MS;

      at += put_tokens (bytes + at, message->grants[i].tokens);
      at += put (bytes + at,
                 wait_ms > WAIT_MAX_MS ? WAIT_MAX_MS : (uint64_t)wait_ms, 2);
    }
  return at;
}

enum eel_cap_message_kind
eel_cap_message_kind (const uint8_t *bytes, size_t length)
{
  if (length >= ASK_HEAD_BYTES && bytes[0] == KIND (EEL_CAP_MESSAGE_ASK))
    return EEL_CAP_MESSAGE_ASK;
  if (length >= GRANT_HEAD_BYTES && bytes[0] == KIND (EEL_CAP_MESSAGE_GRANT))
    return EEL_CAP_MESSAGE_GRANT;
  return EEL_CAP_MESSAGE_INVALID;
}

int
eel_cap_ask_decode (const uint8_t *bytes,
                    size_t length,
                    struct eel_cap_ask_message *message)
{
  struct reader reader = { .bytes = bytes, .left = length, .valid = 1 };
  uint32_t flags;

  if (eel_cap_message_kind (bytes, length) != EEL_CAP_MESSAGE_ASK)
    return 0;
  get (&reader, 1);
  flags = (uint32_t)get (&reader, 1);
  message->active = flags & FLAG_ACTIVE;
  message->group_count = UINT32_C (1) << (flags >> 4);
  message->seq = (uint32_t)get (&reader, 2);
  message->nodes = (uint32_t)get (&reader, 2);
  message->group = (uint32_t)get (&reader, 1);
  message->count = get_count (&reader);
  for (uint32_t i = 0; i < message->count; i++)
    {
      message->asks[i].team = get (&reader, 8);
      message->asks[i].tokens = get_tokens (&reader);
    }
  return reader.valid && reader.left == 0
         && message->group_count <= EEL_CAP_GROUPS_MAX
         && message->group < message->group_count;
}

int
eel_cap_grant_decode (const uint8_t *bytes,
                      size_t length,
                      struct eel_cap_grant_message *message)
{
  struct reader reader = { .bytes = bytes, .left = length, .valid = 1 };
  uint32_t flags;

  if (eel_cap_message_kind (bytes, length) != EEL_CAP_MESSAGE_GRANT)
    return 0;
  get (&reader, 1);
  flags = (uint32_t)get (&reader, 1);
  message->ready = flags & FLAG_READY;
  message->full = (flags & FLAG_FULL) != 0;
  message->seq = (uint32_t)get (&reader, 2);
  message->group = (uint32_t)get (&reader, 1);
  message->count = get_count (&reader);
  for (uint32_t i = 0; i < message->count; i++)
    {
      message->grants[i].tokens = get_tokens (&reader);
      message->grants[i].wait_us = (int64_t)get (&reader, 2) * EEL_US_PER_MS;
    }
  return reader.valid && reader.left == 0
         && message->group < EEL_CAP_GROUPS_MAX;
}
