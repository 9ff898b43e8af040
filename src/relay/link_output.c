#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "relay/link.h"

/* What a link sends: the body of its request. */

/* A peer takes as much of a body at once, also one that has stopped reading. */
#define BODY_TAKEN_BYTES 32768

void
eel_link_begin (struct eel_link *link, int64_t now_us)
{
  link->sent_us = now_us;
  link->requests++;
  link->request_done = 0;
  link->answer_started = 0;
  link->discarded = 0;
  link->discarded_heads = 0;
  link->discarded_bytes = 0;
  link->discard = 0;
  link->body_bytes = 0;
  link->written_bytes = 0;
  link->read_bytes = 0;
  link->watch = (struct eel_socket_watch){ 0 };
  if (link->may_stall)
    eel_socket_set_user_timeout (bufferevent_getfd (link->bev),
                                 link->pool->peer_timeout_ms);
  link->may_stall = 0;
}

/* While a peer reads slowly its window is closed, which TCP_USER_TIMEOUT takes
   for a lost peer.  The time limit of the request applies instead. */
static void
count_body (struct eel_link *link, size_t bytes)
{
  link->body_bytes += bytes;
  if (link->may_stall || link->pool->peer_timeout_ms == 0
      || link->body_bytes <= BODY_TAKEN_BYTES)
    return;
  link->may_stall = 1;
  eel_socket_set_user_timeout (bufferevent_getfd (link->bev), 0);
}

void
eel_link_write_body (struct eel_link *link,
                     enum eel_framing framing,
                     const void *data,
                     size_t bytes)
{
  count_body (link, bytes);
  eel_body_write (framing, bufferevent_get_output (link->bev), data, bytes);
}

void
eel_link_write_pending (struct eel_link *link, struct evbuffer *pending)
{
  count_body (link, evbuffer_get_length (pending));
  evbuffer_add_buffer (bufferevent_get_output (link->bev), pending);
}

/* Only now can the link be kept. */
void
eel_link_write_end (struct eel_link *link, enum eel_framing framing)
{
  eel_body_write_end (framing, bufferevent_get_output (link->bev));
  link->request_done = 1;
}

size_t
eel_link_unsent_bytes (const struct eel_link *link)
{
  return evbuffer_get_length (bufferevent_get_output (link->bev));
}
