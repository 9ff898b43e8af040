#include <errno.h>
#include <zmq.h>

#include "peer/peers.h"

/*
 * Calls of ZeroMQ that a signal can interrupt.  An interrupted call has done
 * nothing and is repeated: otherwise a message that a peer waits for would
 * count as not sent, and the second frame of another be taken for its first.
 */

static int
was_interrupted (int result)
{
  return result < 0 && zmq_errno () == EINTR;
}

/* Like zmq_send with ZMQ_DONTWAIT; returns 1 if the frame was sent. */
int
peers_send_frame (void *socket, const void *data, size_t bytes, int flags)
{
  int sent;

  do
    sent = zmq_send (socket, data, bytes, flags | ZMQ_DONTWAIT);
  while (was_interrupted (sent));
  return sent == (int)bytes;
}

/* Like zmq_msg_recv with ZMQ_DONTWAIT. */
int
peers_receive_frame (void *socket, zmq_msg_t *frame)
{
  int received;

  do
    received = zmq_msg_recv (frame, socket, ZMQ_DONTWAIT);
  while (was_interrupted (received));
  return received;
}

/* Like zmq_recv with ZMQ_DONTWAIT. */
int
peers_receive_bytes (void *socket, void *data, size_t bytes_max)
{
  int received;

  do
    received = zmq_recv (socket, data, bytes_max, ZMQ_DONTWAIT);
  while (was_interrupted (received));
  return received;
}

int
peers_readable (void *socket)
{
  int events = 0;
  size_t events_bytes = sizeof events;
  int result;

  if (socket == NULL)
    return 0;
  do
    result = zmq_getsockopt (socket, ZMQ_EVENTS, &events, &events_bytes);
  while (was_interrupted (result));
  return result == 0 && (events & ZMQ_POLLIN) != 0;
}

int
peers_connect_socket (void *socket, const char *url)
{
  int result;

  do
    result = zmq_connect (socket, url);
  while (was_interrupted (result));
  return result;
}
