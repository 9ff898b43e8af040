#ifndef EEL_PEER_PEERS_H
#define EEL_PEER_PEERS_H

#include <event2/event.h>
#include <stdint.h>
#include <zmq.h>

#include "internal/tasks.h"
#include "internal/wire.h"

/* Private to src/peer. */

/* Subset links plus those opened on demand; design section 2. */
#define PEER_LINKS_MAX 512
/* Twice the member table, to keep linear probing short. */
#define PEER_INBOUND_SLOTS 8192
#define PEER_ROUTING_ID_BYTES 12
/* Time without a message after which a link tries the other server key. */
#define PEER_KEY_SWITCH_US (3 * EEL_US_PER_S)

/* A DEALER socket to one node. */
struct peer_link
{
  uint32_t node;
  void *socket;
  struct event *readable;
  struct eel_peers *peers;
  char address[EEL_ADDRESS_MAX];
  int64_t opened_us;
  /* A message has arrived since the socket was opened. */
  uint8_t has_received;
  uint8_t uses_next_key;
};

/* The incarnation of a node when it last connected to the ROUTER socket. */
struct peer_inbound
{
  uint32_t node;
  uint64_t incarnation;
};

struct eel_peers
{
  struct event_base *base;
  const struct eel_settings *settings;
  uint64_t incarnation;
  struct eel_mailbox inbox;
  struct eel_mailbox *node;
  void *context;
  void *router;
  void *auth;
  void *monitor;
  struct event *router_readable;
  struct event *auth_readable;
  struct event *monitor_readable;
  struct event *timer;
  uint16_t port;
  struct peer_link links[PEER_LINKS_MAX];
  uint32_t link_count;
  struct peer_inbound inbound[PEER_INBOUND_SLOTS];
  uint32_t inbound_count;
  struct eel_metric *sent;
  struct eel_metric *sent_bytes;
  struct eel_metric *received;
  struct eel_metric *received_bytes;
  struct eel_metric *unsent;
  struct eel_metric *invalid;
  struct eel_metric *unauthenticated;
  int64_t logged_invalid_us;
  int64_t logged_auth_us;
};

/* auth.c: ZAP handler (RFC 27) that accepts the keys of the settings. */
int peers_auth_open (struct eel_peers *peers);
void peers_auth_drain (struct eel_peers *peers);
int peers_monitor_open (struct eel_peers *peers);

/* link.c */
void
peers_link_open (struct eel_peers *peers, uint32_t node, const char *address);
void peers_link_close (struct eel_peers *peers, uint32_t node);
struct peer_link *peers_link_find (struct eel_peers *peers, uint32_t node);
void peers_links_check (struct eel_peers *peers, int64_t now_us);
void peers_link_release (struct peer_link *link);

/* receive.c */
void
peers_handle_message (struct eel_peers *peers, const void *data, size_t bytes);
void peers_inbound_record (struct eel_peers *peers,
                           uint32_t node,
                           uint64_t incarnation);
int peers_inbound_find (const struct eel_peers *peers,
                        uint32_t node,
                        uint64_t *incarnation);
void peers_router_drain (struct eel_peers *peers);
void peers_link_drain (struct peer_link *link);

/* send.c */
void peers_send (struct eel_peers *peers, struct eel_msg *msg);
int peers_send_bytes (struct eel_peers *peers,
                      uint32_t node,
                      const uint8_t *data,
                      size_t bytes);
void peers_routing_id (uint8_t id[PEER_ROUTING_ID_BYTES],
                       uint32_t node,
                       uint64_t incarnation);

/* calls.c */
int peers_send_frame (void *socket, const void *data, size_t bytes, int flags);
int peers_receive_frame (void *socket, zmq_msg_t *frame);
int peers_receive_bytes (void *socket, void *data, size_t bytes_max);
int peers_connect_socket (void *socket, const char *url);
/*
 * Returns 1 while a message can be read.  ZMQ's descriptors are edge-triggered,
 * so a caller that stops reading earlier has to activate the event itself.
 */
int peers_readable (void *socket);

#endif
