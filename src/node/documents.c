#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A request for a document is repeated after this time without an answer. */
#define ASK_INTERVAL_US (300 * EEL_US_PER_MS)

/* Asks a peer for the document that it holds. */
void
node_documents_request (struct eel_node *node, uint32_t peer, int whole)
{
  struct eel_wire_message *wire = eel_wire_new (EEL_WIRE_DOCUMENT_REQUEST);

  if (wire == NULL)
    return;
  if (!whole)
    wire->document.revision = node->presets.current->revision;
  node->document_asked_us = node->now_us;
  node_peer_connect (node, peer);
  node_post_wire (node, peer, wire);
}

/* A peer holds this revision: asks for it when it is greater than ours. */
void
node_documents_compare (struct eel_node *node,
                        uint32_t peer,
                        const struct eel_revision *revision)
{
  if (eel_revision_compare (revision, &node->presets.current->revision) <= 0)
    return;
  if (eel_revision_compare (revision, &node->revision_seen) <= 0
      && node->now_us - node->document_asked_us < ASK_INTERVAL_US)
    return;
  node->revision_seen = *revision;
  node_documents_request (node, peer, 0);
}

static struct eel_document *
held (struct eel_node *node, const struct eel_revision *revision)
{
  struct eel_document *documents[]
      = { node->presets.current, node->presets.previous };

  for (size_t i = 0; i < 2; i++)
    if (documents[i] != NULL && documents[i]->byte_count > 0
        && eel_revision_compare (&documents[i]->revision, revision) == 0)
      return documents[i];
  return NULL;
}

/* A peer asks for our document: sends the difference to what it holds. */
void
node_documents_requested (struct eel_node *node,
                          const struct eel_wire_message *wire)
{
  const struct eel_document *current = node->presets.current;
  const struct eel_document *base = held (node, &wire->document.revision);
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

/* A peer sent a document; one against a base not held is asked for whole. */
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
      base = held (node, &wire->document.base);
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
