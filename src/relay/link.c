#include "relay/link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/types.h"
#include "internal/task.h"
#include "relay/socket.h"

/* Answers come from the users' upstreams; their heads are small. */
#define ANSWER_HEAD_BYTES_MAX 65536
#define READ_BYTES_MAX 65536
/* A peer that no longer has a connection resets it within a round trip, so a
   failure within this time on a reused link indicates a stale connection. */
#define STALE_RESET_MAX_US (20 * EEL_US_PER_MS)
/* A faulty upstream may send answers of other requests, or interim ones,
   without end: more than a few can't precede the answer that is waited for. */
#define DISCARDED_HEADS_MAX 32
#define DISCARDED_BYTES_MAX (1024 * 1024)

/* Inserts the link at the head of its pool's active or idle list. */
void
eel_link_list_add (struct eel_link *link, int idle)
{
  struct eel_link **first = idle ? &link->pool->idle : &link->pool->active;

  link->is_idle = (uint8_t)idle;
  link->previous = NULL;
  link->next = *first;
  if (*first != NULL)
    (*first)->previous = link;
  *first = link;
}

void
eel_link_list_remove (struct eel_link *link)
{
  struct eel_link **first
      = link->is_idle ? &link->pool->idle : &link->pool->active;

  if (link->previous != NULL)
    link->previous->next = link->next;
  else
    *first = link->next;
  if (link->next != NULL)
    link->next->previous = link->previous;
}

/* The link must be closed. */
void
eel_link_free (struct eel_link *link)
{
  eel_reader_finish (&link->reader);
  free (link);
}

/* Closes the connection; the struct is freed by the next sweep, since its
   reader may be on the stack. */
static void
link_close (struct eel_link *link)
{
  if (link->closed)
    return;
  link->closed = 1;
  link->reader.stopped = 1;
  link->ops = NULL;
  eel_link_list_remove (link);
  link->pool->open_count--;
  bufferevent_free (link->bev);
  link->bev = NULL;
  link->next = link->pool->closed;
  link->pool->closed = link;
}

/* Returns the link to its pool, or closes it when it can't be reused. */
static void
link_release (struct eel_link *link)
{
  struct evbuffer *input = bufferevent_get_input (link->bev);
  struct evbuffer *output = bufferevent_get_output (link->bev);

  link->ops = NULL;
  if (!link->answer_keep_alive || !link->request_done || link->discarded
      || evbuffer_get_length (output) > 0 || evbuffer_get_length (input) > 0)
    {
      link_close (link);
      return;
    }
  eel_link_list_remove (link);
  link->idle_since_us = eel_clock_us ();
  bufferevent_enable (link->bev, EV_READ);
  eel_link_list_add (link, 1);
}

static void
link_fail (struct eel_link *link, const char *reason)
{
  const struct eel_link_ops *ops = link->ops;
  void *owner = link->owner;
  int sent = link->connected;

  if (ops != NULL && link->reused_idle_us > 0 && !link->answer_started
      && eel_clock_us () - link->sent_us < STALE_RESET_MAX_US)
    eel_pool_report_stale (link->pool, link->reused_idle_us);
  link_close (link);
  if (ops != NULL)
    ops->fail (owner, sent, reason);
}

/* Reads "timeout=N" of a Keep-Alive field; without a number it says nothing. */
static void
read_idle_limit (struct eel_link *link, const struct eel_head *head)
{
  const char *value = eel_head_get (head, "keep-alive");
  const char *timeout = value == NULL ? NULL : strstr (value, "timeout=");
  unsigned long long timeout_s;
  int64_t limit_us;

  link->idle_limit_us = link->pool->max_idle_us;
  if (timeout == NULL)
    return;
  timeout += strlen ("timeout=");
  if (*timeout < '0' || *timeout > '9')
    return;
  timeout_s = strtoull (timeout, NULL, 10);
  if (timeout_s > INT32_MAX)
    timeout_s = INT32_MAX;
  /* One second less, so that a request arrives in time. */
  limit_us = ((int64_t)timeout_s - 1) * EEL_US_PER_S;
  if (limit_us < link->idle_limit_us)
    link->idle_limit_us = limit_us;
}

static int
discards_too_much (const struct eel_link *link)
{
  return link->discarded_heads > DISCARDED_HEADS_MAX
         || link->discarded_bytes > DISCARDED_BYTES_MAX;
}

/* Counts what is discarded; stops reading beyond the limits. */
static void
count_discarded (struct eel_link *link, uint32_t heads, size_t bytes)
{
  link->discarded_heads += heads;
  link->discarded_bytes += bytes;
  if (discards_too_much (link))
    link->reader.stopped = 1;
}

static int
answer_head (void *owner, struct eel_head *head)
{
  struct eel_link *link = owner;
  int interim = head->status >= 100 && head->status < 200;

  link->answer_started = 1;
  if (head->status == 100 && link->ops != NULL && link->ops->accepted != NULL)
    link->ops->accepted (link->owner);
  read_idle_limit (link, head);
  link->answer_keep_alive
      = (uint8_t)(head->keep_alive && head->framing != EEL_FRAMING_CLOSE);
  link->discard = (uint8_t)(interim || link->ops == NULL);
  if (!link->discard && !link->ops->head (link->owner, head))
    {
      link->discard = 1;
      link->discarded = 1;
    }
  if (link->discard)
    count_discarded (link, 1, head->bytes);
  return link->is_head;
}

static void
answer_body (void *owner, const char *data, size_t bytes)
{
  struct eel_link *link = owner;

  if (link->discard)
    count_discarded (link, 0, bytes);
  else if (link->ops != NULL)
    link->ops->body (link->owner, data, bytes);
}

static void
answer_end (void *owner)
{
  struct eel_link *link = owner;

  eel_reader_next (&link->reader);
  if (!link->discard || link->ops == NULL)
    link->answer_complete = 1;
}

static const struct eel_reader_ops reader_ops
    = { .head = answer_head, .body = answer_body, .end = answer_end };

/* Releases the link, then reports the end of the answer to its owner. */
static void
link_finish_answer (struct eel_link *link)
{
  const struct eel_link_ops *ops = link->ops;
  void *owner = link->owner;

  link->answer_complete = 0;
  link_release (link);
  if (ops != NULL)
    ops->end (owner);
}

/* Parses one piece of input; returns NULL, or the reason why the connection is
   unusable. */
static const char *
feed_piece (struct eel_link *link, struct evbuffer *input)
{
  struct evbuffer_iovec chunk;
  long consumed;

  if (link->is_idle)
    return "bytes after a complete answer";
  evbuffer_peek (input, -1, NULL, &chunk, 1);
  consumed = eel_reader_feed (&link->reader, chunk.iov_base, chunk.iov_len);
  if (link->closed)
    return NULL;
  if (consumed < 0)
    return discards_too_much (link) ? "too much that is no answer"
                                    : "answer is not HTTP";
  link->read_bytes += (uint64_t)consumed;
  evbuffer_drain (input, (size_t)consumed);
  return NULL;
}

static void
link_feed (struct eel_link *link)
{
  struct evbuffer *input = bufferevent_get_input (link->bev);

  while (evbuffer_get_length (input) > 0)
    {
      const char *reason = feed_piece (link, input);

      if (link->closed)
        return;
      if (reason != NULL)
        {
          link_fail (link, reason);
          return;
        }
      if (link->answer_complete)
        {
          /* Releases the link: stop here, its owner may already reuse it. */
          link_finish_answer (link);
          return;
        }
    }
}

static void
on_read (struct bufferevent *bev, void *data)
{
  struct eel_link *link = data;

  (void)bev;
  link->pool->last_read_us = eel_clock_us ();
  link_feed (link);
}

static void
on_write (struct bufferevent *bev, void *data)
{
  struct eel_link *link = data;

  (void)bev;
  if (link->ops != NULL)
    link->ops->drained (link->owner);
}

/* An orderly close completes an answer that has no length. */
static void
link_eof (struct eel_link *link)
{
  int complete;

  link->answer_keep_alive = 0;
  complete = eel_reader_eof (&link->reader);
  if (link->closed)
    return;
  if (link->answer_complete)
    link_finish_answer (link);
  else
    link_fail (link, complete ? "connection closed" : "answer cut short");
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  struct eel_link *link = data;

  if ((what & BEV_EVENT_CONNECTED) != 0)
    {
      link->connected = 1;
      bufferevent_set_timeouts (bev, NULL, NULL);
      eel_socket_set_nodelay (bufferevent_getfd (bev));
      if (link->pool->peer_timeout_ms > 0)
        {
          eel_socket_set_keepalive (bufferevent_getfd (bev));
          eel_socket_set_user_timeout (bufferevent_getfd (bev),
                                       link->pool->peer_timeout_ms);
        }
      return;
    }
  if ((what & BEV_EVENT_EOF) != 0)
    link_eof (link);
  else if ((what & BEV_EVENT_TIMEOUT) != 0 && !link->connected
           && eel_socket_connect_has_ended (bufferevent_getfd (bev)))
    bufferevent_enable (bev, EV_WRITE);
  else if ((what & BEV_EVENT_TIMEOUT) != 0)
    link_fail (link, "connect timed out");
  else
    link_fail (link, link->connected ? evutil_socket_error_to_string (
                         EVUTIL_SOCKET_ERROR ())
                                     : "connect failed");
}

static void
on_written (struct evbuffer *output,
            const struct evbuffer_cb_info *info,
            void *data)
{
  struct eel_link *link = data;

  (void)output;
  link->written_bytes += info->n_added;
}

/* Starts to connect; returns NULL when that fails at once. */
struct eel_link *
eel_link_open (struct eel_pool *pool)
{
  struct eel_link *link = calloc (1, sizeof *link);
  struct timeval limit = { .tv_sec = pool->connect_timeout_us / EEL_US_PER_S,
                           .tv_usec = pool->connect_timeout_us % EEL_US_PER_S };

  if (link == NULL)
    return NULL;
  link->pool = pool;
  link->idle_limit_us = pool->max_idle_us;
  link->bev = bufferevent_socket_new (pool->base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (link->bev == NULL)
    {
      free (link);
      return NULL;
    }
  eel_reader_init (&link->reader, HTTP_RESPONSE, &reader_ops, link,
                   ANSWER_HEAD_BYTES_MAX);
  bufferevent_setcb (link->bev, on_read, on_write, on_event, link);
  bufferevent_setwatermark (link->bev, EV_READ, 0, READ_BYTES_MAX);
  bufferevent_set_timeouts (link->bev, NULL, &limit);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
  evbuffer_add_cb (bufferevent_get_output (link->bev), on_written, link);
  if (bufferevent_socket_connect (link->bev, (struct sockaddr *)&pool->address,
                                  sizeof pool->address)
      != 0)
    {
      bufferevent_free (link->bev);
      eel_link_free (link);
      return NULL;
    }
  pool->open_count++;
  return link;
}

void
eel_link_check_peer (struct eel_link *link, int64_t now_us)
{
  if (link->may_stall && eel_link_unsent_bytes (link) > 0
      && eel_socket_is_unreachable (&link->watch, bufferevent_getfd (link->bev),
                                    link->pool->peer_timeout_ms * EEL_US_PER_MS,
                                    now_us))
    link_fail (link, "peer is unreachable");
}

void
eel_link_pause (struct eel_link *link, int pause)
{
  if (pause)
    bufferevent_disable (link->bev, EV_READ);
  else
    bufferevent_enable (link->bev, EV_READ);
}

void
eel_link_cancel (struct eel_link *link)
{
  link_close (link);
}
