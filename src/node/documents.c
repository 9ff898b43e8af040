#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A request for a document is repeated when unanswered for this time. */
#define DOCUMENT_REQUEST_INTERVAL_US (300 * EEL_US_PER_MS)

/*
 * Requests a peer's document: the full one, or the difference to the one in
 * force.
 */
void
node_documents_request (struct eel_node *node, uint32_t peer, int full)
{
  struct eel_wire_message *wire = eel_wire_new (EEL_WIRE_DOCUMENT_REQUEST);

  if (wire == NULL)
    return;
  if (!full)
    wire->document.revision = node->presets.current->revision;
  node->document_requested_us = node->now_us;
  node_peer_connect (node, peer);
  node_post_wire (node, peer, wire);
}

/* Requests a peer's document if its revision is greater than the local one. */
void
node_documents_compare (struct eel_node *node,
                        uint32_t peer,
                        const struct eel_revision *revision)
{
  if (eel_revision_compare (revision, &node->presets.current->revision) <= 0)
    return;
  if (eel_revision_compare (revision, &node->revision_seen) <= 0
      && node->now_us - node->document_requested_us
             < DOCUMENT_REQUEST_INTERVAL_US)
    return;
  node->revision_seen = *revision;
  node_documents_request (node, peer, 0);
}

static struct eel_document *
find_document (struct eel_node *node, const struct eel_revision *revision)
{
  struct eel_document *documents[]
      = { node->presets.current, node->presets.previous };

  for (size_t i = 0; i < 2; i++)
    if (documents[i] != NULL && documents[i]->byte_count > 0
        && eel_revision_compare (&documents[i]->revision, revision) == 0)
      return documents[i];
  return NULL;
}

/*
 * Answers a peer's request with the document in force: the difference to the
 * revision that the peer holds, or all of it if that revision is not held here.
 */
void
node_documents_requested (struct eel_node *node,
                          const struct eel_wire_message *wire)
{
  const struct eel_document *current = node->presets.current;
  const struct eel_document *base
      = find_document (node, &wire->document.revision);
  struct eel_wire_message *reply;

  if (current->byte_count == 0
      || eel_revision_compare (&current->revision, &wire->document.revision)
             <= 0)
    return;
  reply = eel_wire_new (EEL_WIRE_DOCUMENT);
  if (reply == NULL)
    return;
  reply->document.revision = current->revision;
  if (base != NULL)
    reply->document.base = base->revision;
  if (eel_document_pack (current, base, &reply->document.packed,
                         &reply->document.packed_bytes)
      == EEL_OK)
    node_post_wire (node, wire->from, reply);
  else
    eel_wire_free (reply);
}

/*
 * Handles a document from a peer.  If it is a difference to a revision that is
 * not held here, the full document is requested.
 */
void
node_documents_received (struct eel_node *node,
                         const struct eel_wire_message *wire)
{
  static const struct eel_revision none;
  struct eel_document *base = NULL;
  char source[EEL_AUDIT_FIELD_MAX];
  uint8_t *bytes = NULL;
  size_t byte_count = 0;

  if (eel_revision_compare (&wire->document.base, &none) != 0)
    {
      base = find_document (node, &wire->document.base);
      if (base == NULL)
        {
          node_documents_request (node, wire->from, 1);
          return;
        }
    }
  if (eel_document_unpack (wire->document.packed, wire->document.packed_bytes,
                           base, &bytes, &byte_count)
      != EEL_OK)
    return;
  snprintf (source, sizeof source, "peer %u", wire->from);
  node_config_offer (node, bytes, byte_count, source);
  free (bytes);
}
