#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "peer/peers.h"

/* Node and incarnation in host byte order: the id of a link at a ROUTER. */
void
peers_routing_id (uint8_t id[PEER_ROUTING_ID_BYTES],
                  uint32_t node,
                  uint64_t incarnation)
{
  memcpy (id, &node, sizeof node);
  memcpy (id + sizeof node, &incarnation, sizeof incarnation);
}

static int
send_by_link (struct eel_peers *peers,
              struct peer_link *link,
              const uint8_t *data,
              size_t bytes)
{
  int sent
      = link->socket != NULL && peers_send_frame (link->socket, data, bytes, 0);

  (void)peers;
  /* A send can consume the descriptor's readiness edge of a pending message. */
  if (link->readable != NULL && peers_readable (link->socket))
    event_active (link->readable, EV_READ, 0);
  return sent;
}

static int
send_by_router (struct eel_peers *peers,
                uint32_t node,
                const uint8_t *data,
                size_t bytes)
{
  uint8_t id[PEER_ROUTING_ID_BYTES];
  uint64_t incarnation;
  int sent;

  if (!peers_inbound_find (peers, node, &incarnation))
    return 0;
  peers_routing_id (id, node, incarnation);
  sent = peers_send_frame (peers->router, id, sizeof id, ZMQ_SNDMORE)
         && peers_send_frame (peers->router, data, bytes, 0);
  if (peers_readable (peers->router))
    event_active (peers->router_readable, EV_READ, 0);
  return sent;
}

/*
 * Sends over the link to the node, else over the connection that the node
 * opened to the ROUTER socket.  Returns 0 when the message was certainly not
 * sent.
 */
int
peers_send_bytes (struct eel_peers *peers,
                  uint32_t node,
                  const uint8_t *data,
                  size_t bytes)
{
  struct peer_link *link = peers_link_find (peers, node);

  if (link != NULL && send_by_link (peers, link, data, bytes))
    return 1;
  return send_by_router (peers, node, data, bytes);
}

static int
encode_and_send (struct eel_peers *peers, struct eel_msg *msg)
{
  uint8_t *data = NULL;
  size_t bytes = 0;
  int sent;

  msg->wire->from = peers->settings->node;
  msg->wire->from_incarnation = peers->incarnation;
  msg->wire->sent_us = eel_clock_us ();
  if (eel_wire_encode (msg->wire, &data, &bytes) != EEL_OK)
    return 0;
  sent = peers_send_bytes (peers, (uint32_t)msg->value, data, bytes);
  free (data);
  if (!sent)
    return 0;
  eel_metric_add (peers->sent, 1);
  eel_metric_add (peers->sent_bytes, bytes);
  return 1;
}

/* On failure the wire message is posted back as EEL_MSG_PEER_UNSENT. */
void
peers_send (struct eel_peers *peers, struct eel_msg *msg)
{
  struct eel_msg unsent = { .kind = EEL_MSG_PEER_UNSENT };

  if (encode_and_send (peers, msg))
    return;
  eel_metric_add (peers->unsent, 1);
  unsent.value = msg->value;
  unsent.call_id = msg->wire->call_id;
  unsent.wire = msg->wire;
  msg->wire = NULL;
  eel_mailbox_post (peers->node, &unsent);
}
