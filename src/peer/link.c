#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "peer/peers.h"

/* Queue limit for each peer; messages beyond it are reported as unsent. */
#define LINK_HWM_MESSAGES 1000
#define HANDSHAKE_TIMEOUT_MS 3000
#define RECONNECT_INTERVAL_MS 100
#define RECONNECT_INTERVAL_MAX_MS 5000

struct peer_link *
peers_link_find (struct eel_peers *peers, uint32_t node)
{
  for (uint32_t i = 0; i < peers->link_count; i++)
    if (peers->links[i].node == node)
      return &peers->links[i];
  return NULL;
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_link_options (struct peer_link *link)
{
  const struct eel_settings *settings = link->peers->settings;
  const struct eel_curve_pair *server
      = link->uses_next_key ? &settings->curve_next : &settings->curve;
  uint8_t id[PEER_ROUTING_ID_BYTES];

  peers_routing_id (id, settings->node, link->peers->incarnation);
  zmq_setsockopt (link->socket, ZMQ_ROUTING_ID, id, sizeof id);
  zmq_setsockopt (link->socket, ZMQ_CURVE_SERVERKEY, server->public_key,
                  EEL_CURVE_TEXT_BYTES);
  zmq_setsockopt (link->socket, ZMQ_CURVE_PUBLICKEY, settings->curve.public_key,
                  EEL_CURVE_TEXT_BYTES);
  zmq_setsockopt (link->socket, ZMQ_CURVE_SECRETKEY, settings->curve.secret_key,
                  EEL_CURVE_TEXT_BYTES);
  set_int (link->socket, ZMQ_LINGER, 0);
  /* Without a connection a send fails at once; a queued message would arrive
     late. */
  set_int (link->socket, ZMQ_IMMEDIATE, 1);
  set_int (link->socket, ZMQ_SNDHWM, LINK_HWM_MESSAGES);
  set_int (link->socket, ZMQ_RCVHWM, LINK_HWM_MESSAGES);
  set_int (link->socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  set_int (link->socket, ZMQ_RECONNECT_IVL, RECONNECT_INTERVAL_MS);
  set_int (link->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS);
}

static void
on_link_readable (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  peers_link_drain (data);
}

static int
link_start (struct peer_link *link)
{
  char url[EEL_ADDRESS_MAX + 8];
  int fd = -1;
  size_t fd_bytes = sizeof fd;

  link->socket = zmq_socket (link->peers->context, ZMQ_DEALER);
  if (link->socket == NULL)
    return 0;
  set_link_options (link);
  snprintf (url, sizeof url, "tcp://%s", link->address);
  if (peers_connect_socket (link->socket, url) != 0
      || zmq_getsockopt (link->socket, ZMQ_FD, &fd, &fd_bytes) != 0)
    return 0;
  link->readable = event_new (link->peers->base, fd, EV_READ | EV_PERSIST,
                              on_link_readable, link);
  link->opened_us = eel_clock_us ();
  link->has_received = 0;
  return link->readable != NULL && event_add (link->readable, NULL) == 0;
}

/* Closes the socket and frees its event; the link keeps its slot. */
void
peers_link_release (struct peer_link *link)
{
  if (link->readable != NULL)
    event_free (link->readable);
  if (link->socket != NULL)
    zmq_close (link->socket);
  link->readable = NULL;
  link->socket = NULL;
}

/* Moves the last link into the freed slot and re-registers its event. */
static void
link_remove (struct eel_peers *peers, struct peer_link *link)
{
  struct peer_link *last = &peers->links[--peers->link_count];

  peers_link_release (link);
  if (link == last)
    return;
  event_free (last->readable);
  *link = *last;
  memset (last, 0, sizeof *last);
  {
    int fd = -1;
    size_t fd_bytes = sizeof fd;

    zmq_getsockopt (link->socket, ZMQ_FD, &fd, &fd_bytes);
    link->readable = event_new (peers->base, fd, EV_READ | EV_PERSIST,
                                on_link_readable, link);
  }
  if (link->readable != NULL)
    event_add (link->readable, NULL);
  /* A readiness edge between the old and the new event would be lost. */
  peers_link_drain (link);
}

/*
 * Opens a link to a node; an existing link to another address is replaced.
 * Without a free slot the failure is counted as an unsent message.
 */
void
peers_link_open (struct eel_peers *peers, uint32_t node, const char *address)
{
  struct peer_link *link = peers_link_find (peers, node);

  if (link != NULL && strcmp (link->address, address) == 0)
    return;
  if (link != NULL)
    link_remove (peers, link);
  if (peers->link_count == PEER_LINKS_MAX)
    {
      eel_metric_add (peers->unsent, 1);
      return;
    }
  link = &peers->links[peers->link_count];
  memset (link, 0, sizeof *link);
  link->node = node;
  link->peers = peers;
  snprintf (link->address, sizeof link->address, "%s", address);
  if (link_start (link))
    peers->link_count++;
  else
    {
      g_warning ("link to node %u at %s failed: %s", node, address,
                 zmq_strerror (zmq_errno ()));
      peers_link_release (link);
    }
}

void
peers_link_close (struct eel_peers *peers, uint32_t node)
{
  struct peer_link *link = peers_link_find (peers, node);

  if (link != NULL)
    link_remove (peers, link);
}

/*
 * During a key rotation a peer may already use the other server key, so a link
 * that has received nothing for PEER_KEY_SWITCH_US is reopened with that key.
 */
void
peers_links_check (struct eel_peers *peers, int64_t now_us)
{
  if (!peers->settings->has_curve_next)
    return;
  for (uint32_t i = 0; i < peers->link_count; i++)
    {
      struct peer_link *link = &peers->links[i];

      if (link->has_received || now_us - link->opened_us < PEER_KEY_SWITCH_US)
        continue;
      peers_link_release (link);
      link->uses_next_key = !link->uses_next_key;
      if (!link_start (link))
        peers_link_release (link);
    }
}
