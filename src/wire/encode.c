#include "internal/wire.h"

#include <stdlib.h>
#include <string.h>

#include "wire/inner.pb-c.h"

/* Parts of an envelope that the packed message points into. */
struct frame
{
  Eel__Pb__Envelope envelope;
  Eel__Pb__Call call;
  Eel__Pb__Reply reply;
  Eel__Pb__Seal seal;
  Eel__Pb__Gossip gossip;
  Eel__Pb__Document document;
  Eel__Pb__Key key;
  Eel__Pb__Key root;
  Eel__Pb__Load load;
  Eel__Pb__Revision revision;
  Eel__Pb__Revision base;
  Eel__Pb__Header headers[EEL_HEADERS_MAX];
  Eel__Pb__Header *header_list[EEL_HEADERS_MAX];
  Eel__Pb__Member members[EEL_GOSSIP_UPDATES_MAX];
  Eel__Pb__Member *member_list[EEL_GOSSIP_UPDATES_MAX];
  Eel__Pb__Suspect suspects[EEL_WIRE_QUARANTINE_MAX];
  Eel__Pb__Suspect *suspect_list[EEL_WIRE_QUARANTINE_MAX];
};

static Eel__Pb__Key *
put_key (Eel__Pb__Key *to, const struct eel_key *key)
{
  eel__pb__key__init (to);
  to->issuer = key->issuer;
  to->incarnation = key->incarnation;
  to->expiry_us = key->expiry_us;
  to->serial = key->serial;
  to->spare = key->spare;
  if (!eel_key_is_root (key))
    {
      to->child.data = (uint8_t *)key->child;
      to->child.len = sizeof key->child;
    }
  to->mac.data = (uint8_t *)key->mac;
  to->mac.len = sizeof key->mac;
  return to;
}

static Eel__Pb__Load *
put_load (Eel__Pb__Load *to, const struct eel_load *load)
{
  eel__pb__load__init (to);
  to->in_flight = load->in_flight;
  to->queued = load->queued;
  to->limit = load->limit;
  to->shed_class = load->shed_class;
  to->draining = load->draining;
  return to;
}

static Eel__Pb__Revision *
put_revision (Eel__Pb__Revision *to, const struct eel_revision *revision)
{
  eel__pb__revision__init (to);
  to->number = revision->number;
  to->hash.data = (uint8_t *)revision->hash;
  to->hash.len = sizeof revision->hash;
  return to;
}

static Eel__Pb__Header **
put_headers (struct frame *frame, const struct eel_headers *headers)
{
  for (uint32_t i = 0; i < headers->count; i++)
    {
      eel__pb__header__init (&frame->headers[i]);
      frame->headers[i].name = headers->items[i].name;
      frame->headers[i].value = headers->items[i].value;
      frame->header_list[i] = &frame->headers[i];
    }
  return frame->header_list;
}

static void
put_payload (struct frame *frame, const uint8_t *data, size_t bytes)
{
  frame->envelope.payload.data = (uint8_t *)data;
  frame->envelope.payload.len = bytes;
}

static void
put_call (struct frame *frame, const struct eel_wire_message *message)
{
  struct eel_call *from = message->call;
  Eel__Pb__Call *to = &frame->call;

  eel__pb__call__init (to);
  to->role = message->role;
  to->valid_until_us = message->valid_until_us;
  to->to_incarnation = message->to_incarnation;
  to->remaining_us = message->remaining_us;
  to->service = from->service;
  to->method = from->method;
  to->target = from->target;
  to->caller = from->caller;
  to->label = from->label;
  to->klass = from->klass;
  to->idempotent = from->idempotent;
  to->nested = from->nested;
  to->spare = from->spare;
  to->attempt = from->attempt;
  to->given = from->given;
  to->fingerprint = from->fingerprint;
  to->revision = from->revision;
  if (from->given & EEL_GIVEN_KEY)
    to->key = put_key (&frame->key, &from->key);
  if (from->has_root)
    to->root = put_key (&frame->root, &from->root);
  to->headers = put_headers (frame, &from->headers);
  to->n_headers = from->headers.count;
  put_payload (frame, from->body.data, from->body.bytes);
  frame->envelope.call = to;
}

static void
put_reply (struct frame *frame, struct eel_answer *from)
{
  Eel__Pb__Reply *to = &frame->reply;

  eel__pb__reply__init (to);
  to->error = from->error;
  to->outcome = from->outcome;
  to->retry = from->retry;
  to->retry_after_ms = from->retry_after_ms;
  to->status = from->status;
  to->spare = from->spare;
  to->revision = from->revision;
  to->load = put_load (&frame->load, &from->load);
  to->next_key = from->next_key;
  to->headers = put_headers (frame, &from->headers);
  to->n_headers = from->headers.count;
  put_payload (frame, from->body.data, from->body.bytes);
  frame->envelope.reply = to;
}

static void
put_seal (struct frame *frame, const struct eel_wire_seal *from)
{
  Eel__Pb__Seal *to = &frame->seal;

  eel__pb__seal__init (to);
  to->key = put_key (&frame->key, &from->key);
  to->attempt = from->attempt;
  to->valid_until_us = from->valid_until_us;
  to->state = from->state;
  frame->envelope.seal = to;
}

static void
put_members (struct frame *frame, const struct eel_gossip *from)
{
  for (uint32_t i = 0; i < from->update_count; i++)
    {
      const struct eel_member_update *update = &from->updates[i];
      Eel__Pb__Member *to = &frame->members[i];

      eel__pb__member__init (to);
      to->node = update->node;
      to->incarnation = update->incarnation;
      to->generation = update->generation;
      to->state = update->state;
      to->domain = update->domain;
      to->service = update->service;
      to->address = (char *)update->address;
      frame->member_list[i] = to;
    }
  frame->gossip.updates = frame->member_list;
  frame->gossip.n_updates = from->update_count;
}

static void
put_gossip (struct frame *frame, const struct eel_wire_gossip *from)
{
  Eel__Pb__Gossip *to = &frame->gossip;

  eel__pb__gossip__init (to);
  to->kind = from->membership.kind;
  to->to = from->membership.to;
  to->from = from->membership.from;
  to->target = from->membership.target;
  to->sequence = from->membership.sequence;
  to->digest = from->membership.digest;
  to->revision = put_revision (&frame->revision, &from->revision);
  to->load = put_load (&frame->load, &from->load);
  put_members (frame, &from->membership);
  for (uint32_t i = 0; i < from->quarantine_count; i++)
    {
      eel__pb__suspect__init (&frame->suspects[i]);
      frame->suspects[i].fingerprint = from->quarantine[i].fingerprint;
      frame->suspects[i].remaining_us = from->quarantine[i].expires_us;
      frame->suspect_list[i] = &frame->suspects[i];
    }
  to->quarantine = frame->suspect_list;
  to->n_quarantine = from->quarantine_count;
  frame->envelope.gossip = to;
}

static void
put_document (struct frame *frame, const struct eel_wire_document *from)
{
  Eel__Pb__Document *to = &frame->document;

  eel__pb__document__init (to);
  to->revision = put_revision (&frame->revision, &from->revision);
  to->delta_base = put_revision (&frame->base, &from->base);
  put_payload (frame, from->packed, from->packed_bytes);
  frame->envelope.document = to;
}

static enum eel_error
put_body (struct frame *frame, const struct eel_wire_message *message)
{
  switch (message->kind)
    {
    case EEL_WIRE_CALL:
      if (message->call == NULL)
        return EEL_ERROR_MESSAGE_INVALID;
      put_call (frame, message);
      return EEL_OK;
    case EEL_WIRE_REPLY:
      if (message->answer == NULL)
        return EEL_ERROR_MESSAGE_INVALID;
      put_reply (frame, message->answer);
      return EEL_OK;
    case EEL_WIRE_SEAL:
    case EEL_WIRE_SEALED:
      put_seal (frame, &message->seal);
      return EEL_OK;
    case EEL_WIRE_GOSSIP:
      if (message->gossip == NULL
          || message->gossip->membership.update_count > EEL_GOSSIP_UPDATES_MAX
          || message->gossip->quarantine_count > EEL_WIRE_QUARANTINE_MAX)
        return EEL_ERROR_MESSAGE_INVALID;
      put_gossip (frame, message->gossip);
      return EEL_OK;
    case EEL_WIRE_DOCUMENT_REQUEST:
    case EEL_WIRE_DOCUMENT:
      put_document (frame, &message->document);
      return EEL_OK;
    case EEL_WIRE_CANCEL:
    case EEL_WIRE_LEAVING:
    case EEL_WIRE_VERSION_REFUSED:
      return EEL_OK;
    case EEL_WIRE_KIND_COUNT:
      break;
    }
  return EEL_ERROR_MESSAGE_INVALID;
}

/* Packs a message into one buffer from malloc. */
enum eel_error
eel_wire_encode (const struct eel_wire_message *message,
                 uint8_t **out,
                 size_t *out_bytes)
{
  struct frame frame;
  enum eel_error error;

  eel__pb__envelope__init (&frame.envelope);
  frame.envelope.version = message->version;
  frame.envelope.from = message->from;
  frame.envelope.from_incarnation = message->from_incarnation;
  frame.envelope.sent_us = message->sent_us;
  frame.envelope.call_id = message->call_id;
  frame.envelope.kind = message->kind;
  frame.envelope.value = message->value;
  frame.envelope.value_max = message->value_max;
  error = put_body (&frame, message);
  if (error != EEL_OK)
    return error;
  *out_bytes = eel__pb__envelope__get_packed_size (&frame.envelope);
  if (*out_bytes > EEL_WIRE_BYTES_MAX)
    return EEL_ERROR_BODY_TOO_LARGE;
  *out = malloc (*out_bytes + 1);
  if (*out == NULL)
    return EEL_ERROR_INTERNAL;
  eel__pb__envelope__pack (&frame.envelope, *out);
  return EEL_OK;
}
