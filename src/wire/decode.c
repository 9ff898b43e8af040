#include "internal/wire.h"

#include <stdlib.h>
#include <string.h>

#include "wire/inner.pb-c.h"

/*
 * Messages with a deadline further than this from now, past or future, are
 * refused as implausible.
 */
#define REMAINING_MAX_US (INT64_C (3600) * EEL_US_PER_S)

/*
 * Each get function validates one part of a received message and returns 0 if a
 * value is out of range.  protobuf-c has checked the encoded lengths; text is
 * not assumed to be UTF-8.
 */

static int
get_text (char *to, size_t bytes, const char *from)
{
  size_t length = from == NULL ? 0 : strlen (from);

  if (length >= bytes)
    return 0;
  if (length > 0)
    memcpy (to, from, length);
  to[length] = 0;
  return 1;
}

static int
get_key (struct eel_key *to, const Eel__Pb__Key *from)
{
  if (from == NULL || from->mac.len != EEL_KEY_MAC_BYTES
      || (from->child.len != 0 && from->child.len != EEL_KEY_CHILD_BYTES)
      || from->spare > UINT8_MAX)
    return 0;
  memset (to, 0, sizeof *to);
  to->issuer = from->issuer;
  to->incarnation = from->incarnation;
  to->expiry_us = from->expiry_us;
  to->serial = from->serial;
  to->spare = (uint8_t)from->spare;
  if (from->child.len != 0)
    memcpy (to->child, from->child.data, EEL_KEY_CHILD_BYTES);
  memcpy (to->mac, from->mac.data, EEL_KEY_MAC_BYTES);
  return 1;
}

static int
get_load (struct eel_load *to, const Eel__Pb__Load *from)
{
  if (from == NULL)
    return 1;
  if (from->shed_class > EEL_CLASS_COUNT || from->draining > 1)
    return 0;
  to->in_flight = from->in_flight;
  to->queued = from->queued;
  to->limit = from->limit;
  to->shed_class = (uint8_t)from->shed_class;
  to->draining = (uint8_t)from->draining;
  return 1;
}

static int
get_revision (struct eel_revision *to, const Eel__Pb__Revision *from)
{
  if (from == NULL || from->hash.len != EEL_DOCUMENT_HASH_BYTES)
    return 0;
  to->number = from->number;
  memcpy (to->hash, from->hash.data, EEL_DOCUMENT_HASH_BYTES);
  return 1;
}

static int
get_headers (struct eel_headers *to, Eel__Pb__Header **from, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (eel_headers_add (to, from[i]->name, from[i]->value) != EEL_OK)
      return 0;
  return 1;
}

static int
get_call_names (struct eel_call *to, const Eel__Pb__Call *from)
{
  return get_text (to->service, sizeof to->service, from->service)
         && get_text (to->method, sizeof to->method, from->method)
         && get_text (to->target, sizeof to->target, from->target)
         && get_text (to->caller, sizeof to->caller, from->caller)
         && get_text (to->label, sizeof to->label, from->label);
}

static int
get_call_numbers (struct eel_call *to, const Eel__Pb__Call *from)
{
  if (from->klass >= EEL_CLASS_COUNT || from->idempotent > 1 || from->nested > 1
      || from->spare > UINT8_MAX || from->attempt > UINT8_MAX
      || from->remaining_us > REMAINING_MAX_US
      || from->remaining_us < -REMAINING_MAX_US)
    return 0;
  to->klass = (enum eel_class)from->klass;
  to->idempotent = (uint8_t)from->idempotent;
  to->nested = (uint8_t)from->nested;
  to->spare = (uint8_t)from->spare;
  to->attempt = (uint8_t)from->attempt;
  to->given = from->given;
  to->fingerprint = from->fingerprint;
  to->revision = from->revision;
  return 1;
}

static int
get_call_keys (struct eel_call *to, const Eel__Pb__Call *from)
{
  to->has_root = from->root != NULL;
  if (from->root != NULL && !get_key (&to->root, from->root))
    return 0;
  /* EEL_GIVEN_KEY must be set exactly when the message has a key. */
  if (((from->given & EEL_GIVEN_KEY) != 0) != (from->key != NULL))
    return 0;
  return from->key == NULL || get_key (&to->key, from->key);
}

static int
get_call (struct eel_wire_message *message,
          const Eel__Pb__Envelope *envelope,
          int64_t now_us)
{
  const Eel__Pb__Call *from = envelope->call;
  struct eel_call *to = eel_call_new ();

  message->call = to;
  if (to == NULL || from == NULL || from->role > EEL_WIRE_EXECUTE)
    return 0;
  message->role = (enum eel_wire_call_role)from->role;
  message->valid_until_us = from->valid_until_us;
  message->to_incarnation = from->to_incarnation;
  message->remaining_us = from->remaining_us;
  if (!get_call_names (to, from) || !get_call_numbers (to, from)
      || !get_call_keys (to, from))
    return 0;
  to->id = envelope->call_id;
  to->arrived_us = now_us;
  to->deadline_us = now_us + from->remaining_us;
  return get_headers (&to->headers, from->headers, from->n_headers)
         && eel_body_set (&to->body, envelope->payload.data,
                          envelope->payload.len)
                == EEL_OK;
}

static int
get_reply_numbers (struct eel_answer *to, const Eel__Pb__Reply *from)
{
  if (from->error >= EEL_ERROR_COUNT || from->outcome >= EEL_OUTCOME_COUNT
      || from->retry >= EEL_RETRY_ADVICE_COUNT || from->status < 100
      || from->status > 599 || from->spare > UINT8_MAX)
    return 0;
  to->error = (enum eel_error)from->error;
  to->outcome = (enum eel_outcome)from->outcome;
  to->retry = (enum eel_retry_advice)from->retry;
  to->retry_after_ms = from->retry_after_ms;
  to->status = (uint16_t)from->status;
  to->spare = (uint8_t)from->spare;
  to->revision = from->revision;
  return 1;
}

static int
get_reply (struct eel_wire_message *message, const Eel__Pb__Envelope *envelope)
{
  const Eel__Pb__Reply *from = envelope->reply;
  struct eel_answer *to = eel_answer_new (envelope->call_id);

  message->answer = to;
  return to != NULL && from != NULL && get_reply_numbers (to, from)
         && get_load (&to->load, from->load)
         && get_text (to->next_key, sizeof to->next_key, from->next_key)
         && get_headers (&to->headers, from->headers, from->n_headers)
         && eel_body_set (&to->body, envelope->payload.data,
                          envelope->payload.len)
                == EEL_OK;
}

static int
get_seal (struct eel_wire_seal *to, const Eel__Pb__Seal *from)
{
  if (from == NULL || from->attempt > UINT8_MAX
      || from->state > EEL_EXECUTOR_SEALED)
    return 0;
  to->attempt = (uint8_t)from->attempt;
  to->valid_until_us = from->valid_until_us;
  to->state = (uint8_t)from->state;
  return get_key (&to->key, from->key);
}

static int
get_member (struct eel_member_update *to, const Eel__Pb__Member *from)
{
  if (from->state > EEL_MEMBER_DEAD || from->domain > UINT16_MAX
      || from->service > UINT16_MAX)
    return 0;
  to->node = from->node;
  to->incarnation = from->incarnation;
  to->generation = from->generation;
  to->state = (uint8_t)from->state;
  to->domain = (uint16_t)from->domain;
  to->service = (uint16_t)from->service;
  return get_text (to->address, sizeof to->address, from->address);
}

static int
get_membership (struct eel_gossip *to, const Eel__Pb__Gossip *from)
{
  if (from->kind > EEL_GOSSIP_SYNC || from->n_updates > EEL_GOSSIP_UPDATES_MAX)
    return 0;
  to->kind = (uint8_t)from->kind;
  to->to = from->to;
  to->from = from->from;
  to->target = from->target;
  to->sequence = from->sequence;
  to->digest = from->digest;
  to->update_count = (uint32_t)from->n_updates;
  for (size_t i = 0; i < from->n_updates; i++)
    if (!get_member (&to->updates[i], from->updates[i]))
      return 0;
  return 1;
}

static int
get_gossip (struct eel_wire_gossip *to, const Eel__Pb__Gossip *from)
{
  if (from == NULL || from->n_quarantine > EEL_WIRE_QUARANTINE_MAX
      || !get_membership (&to->membership, from)
      || !get_revision (&to->revision, from->revision)
      || !get_load (&to->load, from->load))
    return 0;
  to->quarantine_count = (uint32_t)from->n_quarantine;
  for (size_t i = 0; i < from->n_quarantine; i++)
    {
      to->quarantine[i].fingerprint = from->quarantine[i]->fingerprint;
      to->quarantine[i].expires_us = from->quarantine[i]->remaining_us;
      to->quarantine[i].state = EEL_QUARANTINE_REFUSED;
    }
  return 1;
}

static int
get_document (struct eel_wire_document *to, const Eel__Pb__Envelope *envelope)
{
  const Eel__Pb__Document *from = envelope->document;

  if (from == NULL || !get_revision (&to->revision, from->revision)
      || !get_revision (&to->base, from->delta_base))
    return 0;
  to->packed = malloc (envelope->payload.len + 1);
  if (to->packed == NULL)
    return 0;
  if (envelope->payload.len > 0)
    memcpy (to->packed, envelope->payload.data, envelope->payload.len);
  to->packed_bytes = envelope->payload.len;
  return 1;
}

static int
get_body (struct eel_wire_message *message,
          const Eel__Pb__Envelope *envelope,
          int64_t now_us)
{
  switch (message->kind)
    {
    case EEL_WIRE_CALL:
      return get_call (message, envelope, now_us);
    case EEL_WIRE_REPLY:
      return get_reply (message, envelope);
    case EEL_WIRE_SEAL:
    case EEL_WIRE_SEALED:
      return get_seal (&message->seal, envelope->seal);
    case EEL_WIRE_GOSSIP:
      return get_gossip (message->gossip, envelope->gossip);
    case EEL_WIRE_DOCUMENT_REQUEST:
    case EEL_WIRE_DOCUMENT:
      return get_document (&message->document, envelope);
    case EEL_WIRE_CANCEL:
    case EEL_WIRE_LEAVING:
    case EEL_WIRE_VERSION_REFUSED:
      return 1;
    case EEL_WIRE_KIND_COUNT:
      break;
    }
  return 0;
}

static enum eel_error
decode_envelope (const Eel__Pb__Envelope *envelope,
                 int64_t now_us,
                 struct eel_wire_message **out)
{
  int known = envelope->version >= EEL_WIRE_VERSION_MIN
              && envelope->version <= EEL_WIRE_VERSION;
  struct eel_wire_message *message;

  if (known && envelope->kind >= EEL_WIRE_KIND_COUNT)
    return EEL_ERROR_MESSAGE_INVALID;
  /* Every version must be able to decode a version refusal. */
  known = known || envelope->kind == EEL_WIRE_VERSION_REFUSED;
  message = eel_wire_new (known ? (enum eel_wire_kind)envelope->kind
                                : EEL_WIRE_VERSION_REFUSED);
  if (message == NULL)
    return EEL_ERROR_INTERNAL;
  message->version = envelope->version;
  message->from = envelope->from;
  message->from_incarnation = envelope->from_incarnation;
  message->sent_us = envelope->sent_us;
  message->call_id = envelope->call_id;
  message->value = envelope->value;
  message->value_max = envelope->value_max;
  *out = message;
  if (!known)
    return EEL_ERROR_VERSION_REFUSED;
  if (get_body (message, envelope, now_us))
    return EEL_OK;
  eel_wire_free (message);
  *out = NULL;
  return EEL_ERROR_MESSAGE_INVALID;
}

/* Unpacks and validates a received buffer. */
enum eel_error
eel_wire_decode (const uint8_t *data,
                 size_t bytes,
                 int64_t now_us,
                 struct eel_wire_message **out)
{
  Eel__Pb__Envelope *envelope;
  enum eel_error error;

  *out = NULL;
  if (bytes > EEL_WIRE_BYTES_MAX)
    return EEL_ERROR_BODY_TOO_LARGE;
  envelope = eel__pb__envelope__unpack (NULL, bytes, data);
  if (envelope == NULL)
    return EEL_ERROR_MESSAGE_INVALID;
  error = decode_envelope (envelope, now_us, out);
  eel__pb__envelope__free_unpacked (envelope, NULL);
  return error;
}
