#include <glib.h>
#include <string.h>
#include <zmq.h>

#include "peer/peers.h"

/* Messages read per callback, so that one socket cannot starve the others. */
#define RECEIVE_BATCH_MAX 256
#define LOG_INTERVAL_US (10 * EEL_US_PER_S)

static uint32_t
inbound_slot (const struct eel_peers *peers, uint32_t node)
{
  uint32_t slot = node * UINT32_C (2654435761) % PEER_INBOUND_SLOTS;

  while (peers->inbound[slot].node != 0 && peers->inbound[slot].node != node)
    slot = (slot + 1) % PEER_INBOUND_SLOTS;
  return slot;
}

/* Records that a node is reachable through the ROUTER socket. */
void
peers_inbound_record (struct eel_peers *peers,
                      uint32_t node,
                      uint64_t incarnation)
{
  uint32_t slot = inbound_slot (peers, node);

  if (peers->inbound[slot].node == 0)
    {
      /* One slot stays free so that linear probing terminates. */
      if (node == 0 || peers->inbound_count + 1 >= PEER_INBOUND_SLOTS)
        return;
      peers->inbound_count++;
    }
  peers->inbound[slot].node = node;
  peers->inbound[slot].incarnation = incarnation;
}

/*
 * Returns 1 and sets incarnation when the node has connected to this one,
 * else returns 0.
 */
int
peers_inbound_find (const struct eel_peers *peers,
                    uint32_t node,
                    uint64_t *incarnation)
{
  uint32_t slot = inbound_slot (peers, node);

  if (node == 0 || peers->inbound[slot].node != node)
    return 0;
  *incarnation = peers->inbound[slot].incarnation;
  return 1;
}

static void
refuse_version (struct eel_peers *peers,
                const struct eel_wire_message *unsupported)
{
  struct eel_wire_message *refusal = eel_wire_new (EEL_WIRE_VERSION_REFUSED);
  uint8_t *data = NULL;
  size_t bytes = 0;

  if (refusal == NULL)
    return;
  refusal->from = peers->settings->node;
  refusal->from_incarnation = peers->incarnation;
  refusal->call_id = unsupported->call_id;
  refusal->value = EEL_WIRE_VERSION_MIN;
  refusal->value_max = EEL_WIRE_VERSION;
  if (eel_wire_encode (refusal, &data, &bytes) == EEL_OK)
    peers_send_bytes (peers, unsupported->from, data, bytes);
  g_free (data);
  eel_wire_free (refusal);
}

static void
count_invalid (struct eel_peers *peers, enum eel_error error)
{
  int64_t now_us = eel_clock_us ();

  eel_metric_add (peers->invalid, 1);
  if (peers->logged_invalid_us != 0
      && now_us - peers->logged_invalid_us < LOG_INTERVAL_US)
    return;
  peers->logged_invalid_us = now_us;
  g_warning ("peer message refused: %s", eel_error_info (error)->name);
}

/*
 * Decodes a message and posts it to the node task.  One of an unsupported
 * version is answered with the versions that this node accepts.
 */
void
peers_handle_message (struct eel_peers *peers, const void *data, size_t bytes)
{
  struct eel_msg msg = { .kind = EEL_MSG_PEER_RECEIVED };
  struct eel_wire_message *message = NULL;
  enum eel_error error
      = eel_wire_decode (data, bytes, eel_clock_us (), &message);

  eel_metric_add (peers->received, 1);
  eel_metric_add (peers->received_bytes, bytes);
  if (error != EEL_OK)
    {
      count_invalid (peers, error);
      if (message != NULL)
        refuse_version (peers, message);
      eel_wire_free (message);
      return;
    }
  msg.value = message->from;
  msg.call_id = message->call_id;
  msg.wire = message;
  eel_mailbox_post (peers->node, &msg);
}

/* The inverse of peers_routing_id; frames of another size are ignored. */
static void
record_sender (struct eel_peers *peers, zmq_msg_t *id)
{
  uint32_t node;
  uint64_t incarnation;

  if (zmq_msg_size (id) != PEER_ROUTING_ID_BYTES)
    return;
  memcpy (&node, zmq_msg_data (id), sizeof node);
  memcpy (&incarnation, (uint8_t *)zmq_msg_data (id) + sizeof node,
          sizeof incarnation);
  peers_inbound_record (peers, node, incarnation);
}

/*
 * Reads one message of any number of frames; 0 when there is none.  routed is 1
 * on a ROUTER socket, whose first frame is the routing id.
 */
static int
receive_one (struct eel_peers *peers, void *socket, int routed)
{
  zmq_msg_t frame;
  int more = 1;
  int index = 0;

  for (; more; index++)
    {
      zmq_msg_init (&frame);
      if (peers_receive_frame (socket, &frame) < 0)
        {
          zmq_msg_close (&frame);
          return 0;
        }
      more = zmq_msg_more (&frame);
      if (routed && index == 0)
        record_sender (peers, &frame);
      else if (index == routed)
        peers_handle_message (peers, zmq_msg_data (&frame),
                              zmq_msg_size (&frame));
      zmq_msg_close (&frame);
    }
  return 1;
}

/*
 * Reads pending messages of the ROUTER socket; beyond the batch limit the rest
 * is left to another callback.
 */
void
peers_router_drain (struct eel_peers *peers)
{
  int remaining = RECEIVE_BATCH_MAX;

  while (peers_readable (peers->router) && remaining-- > 0)
    if (!receive_one (peers, peers->router, 1))
      return;
  if (remaining < 0)
    event_active (peers->router_readable, EV_READ, 0);
}

/* Like peers_router_drain, for the socket of a link. */
void
peers_link_drain (struct peer_link *link)
{
  int remaining = RECEIVE_BATCH_MAX;

  while (peers_readable (link->socket) && remaining-- > 0)
    {
      if (!receive_one (link->peers, link->socket, 0))
        return;
      link->has_received = 1;
    }
  if (remaining < 0)
    event_active (link->readable, EV_READ, 0);
}
