#include "internal/wire.h"

#include <stdlib.h>
#include <string.h>

#include "wire/inner.pb-c.h"

/* Storage for the protobuf structs that an envelope points to. */
struct envelope_parts
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
put_headers (struct envelope_parts *parts, const struct eel_headers *headers)
{
  for (uint32_t i = 0; i < headers->count; i++)
    {
      eel__pb__header__init (&parts->headers[i]);
      parts->headers[i].name = headers->items[i].name;
      parts->headers[i].value = headers->items[i].value;
      parts->header_list[i] = &parts->headers[i];
    }
  return parts->header_list;
}

static void
put_payload (struct envelope_parts *parts, const uint8_t *data, size_t bytes)
{
  parts->envelope.payload.data = (uint8_t *)data;
  parts->envelope.payload.len = bytes;
}

static void
put_call (struct envelope_parts *parts, const struct eel_wire_message *message)
{
  struct eel_call *from = message->call;
  Eel__Pb__Call *to = &parts->call;

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
    to->key = put_key (&parts->key, &from->key);
  if (from->has_root)
    to->root = put_key (&parts->root, &from->root);
  to->headers = put_headers (parts, &from->headers);
  to->n_headers = from->headers.count;
  put_payload (parts, from->body.data, from->body.bytes);
  parts->envelope.call = to;
}

static void
put_reply (struct envelope_parts *parts, struct eel_answer *from)
{
  Eel__Pb__Reply *to = &parts->reply;

  eel__pb__reply__init (to);
  to->error = from->error;
  to->outcome = from->outcome;
  to->retry = from->retry;
  to->retry_after_ms = from->retry_after_ms;
  to->status = from->status;
  to->spare = from->spare;
  to->revision = from->revision;
  to->load = put_load (&parts->load, &from->load);
  to->next_key = from->next_key;
  to->headers = put_headers (parts, &from->headers);
  to->n_headers = from->headers.count;
  put_payload (parts, from->body.data, from->body.bytes);
  parts->envelope.reply = to;
}

static void
put_seal (struct envelope_parts *parts, const struct eel_wire_seal *from)
{
  Eel__Pb__Seal *to = &parts->seal;

  eel__pb__seal__init (to);
  to->key = put_key (&parts->key, &from->key);
  to->attempt = from->attempt;
  to->valid_until_us = from->valid_until_us;
  to->state = from->state;
  parts->envelope.seal = to;
}

static void
put_members (struct envelope_parts *parts, const struct eel_gossip *from)
{
  for (uint32_t i = 0; i < from->update_count; i++)
    {
      const struct eel_member_update *update = &from->updates[i];
      Eel__Pb__Member *to = &parts->members[i];

      eel__pb__member__init (to);
      to->node = update->node;
      to->incarnation = update->incarnation;
      to->generation = update->generation;
      to->state = update->state;
      to->domain = update->domain;
      to->service = update->service;
      to->address = (char *)update->address;
      parts->member_list[i] = to;
    }
  parts->gossip.updates = parts->member_list;
  parts->gossip.n_updates = from->update_count;
}

static void
put_gossip (struct envelope_parts *parts, const struct eel_wire_gossip *from)
{
  Eel__Pb__Gossip *to = &parts->gossip;

  eel__pb__gossip__init (to);
  to->kind = from->membership.kind;
  to->to = from->membership.to;
  to->from = from->membership.from;
  to->target = from->membership.target;
  to->sequence = from->membership.sequence;
  to->digest = from->membership.digest;
  to->revision = put_revision (&parts->revision, &from->revision);
  to->load = put_load (&parts->load, &from->load);
  put_members (parts, &from->membership);
  for (uint32_t i = 0; i < from->quarantine_count; i++)
    {
      eel__pb__suspect__init (&parts->suspects[i]);
      parts->suspects[i].fingerprint = from->quarantine[i].fingerprint;
      parts->suspects[i].remaining_us = from->quarantine[i].expires_us;
      parts->suspect_list[i] = &parts->suspects[i];
    }
  to->quarantine = parts->suspect_list;
  to->n_quarantine = from->quarantine_count;
  parts->envelope.gossip = to;
}

static void
put_document (struct envelope_parts *parts,
              const struct eel_wire_document *from)
{
  Eel__Pb__Document *to = &parts->document;

  eel__pb__document__init (to);
  to->revision = put_revision (&parts->revision, &from->revision);
  to->delta_base = put_revision (&parts->base, &from->base);
  put_payload (parts, from->packed, from->packed_bytes);
  parts->envelope.document = to;
}

static enum eel_error
put_body (struct envelope_parts *parts, const struct eel_wire_message *message)
{
  switch (message->kind)
    {
    case EEL_WIRE_CALL:
      if (message->call == NULL)
        return EEL_ERROR_MESSAGE_INVALID;
      put_call (parts, message);
      return EEL_OK;
    case EEL_WIRE_REPLY:
      if (message->answer == NULL)
        return EEL_ERROR_MESSAGE_INVALID;
      put_reply (parts, message->answer);
      return EEL_OK;
    case EEL_WIRE_SEAL:
    case EEL_WIRE_SEALED:
      put_seal (parts, &message->seal);
      return EEL_OK;
    case EEL_WIRE_GOSSIP:
      if (message->gossip == NULL
          || message->gossip->membership.update_count > EEL_GOSSIP_UPDATES_MAX
          || message->gossip->quarantine_count > EEL_WIRE_QUARANTINE_MAX)
        return EEL_ERROR_MESSAGE_INVALID;
      put_gossip (parts, message->gossip);
      return EEL_OK;
    case EEL_WIRE_DOCUMENT_REQUEST:
    case EEL_WIRE_DOCUMENT:
      put_document (parts, &message->document);
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

/* Packs a message into a buffer allocated with malloc. */
enum eel_error
eel_wire_encode (const struct eel_wire_message *message,
                 uint8_t **out,
                 size_t *out_bytes)
{
  struct envelope_parts parts;
  enum eel_error error;

  eel__pb__envelope__init (&parts.envelope);
  parts.envelope.version = message->version;
  parts.envelope.from = message->from;
  parts.envelope.from_incarnation = message->from_incarnation;
  parts.envelope.sent_us = message->sent_us;
  parts.envelope.call_id = message->call_id;
  parts.envelope.kind = message->kind;
  parts.envelope.value = message->value;
  parts.envelope.value_max = message->value_max;
  error = put_body (&parts, message);
  if (error != EEL_OK)
    return error;
  *out_bytes = eel__pb__envelope__get_packed_size (&parts.envelope);
  if (*out_bytes > EEL_WIRE_BYTES_MAX)
    return EEL_ERROR_BODY_TOO_LARGE;
  *out = malloc (*out_bytes + 1);
  if (*out == NULL)
    return EEL_ERROR_INTERNAL;
  eel__pb__envelope__pack (&parts.envelope, *out);
  return EEL_OK;
}
