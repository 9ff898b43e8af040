#include "relay/pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/types.h"
#include "internal/task.h"
#include "relay/link.h"

/* Below the 10 s after which peers of this kind close idle connections. */
#define MAX_IDLE_US (8 * EEL_US_PER_S)
/* Below the shortest rest after which a connection may be forgotten, and the
   time after which twice the rest is tried. */
#define REST_LEAST_US (100 * EEL_US_PER_MS)
#define REST_LIMIT_LIFE_US (5 * EEL_US_PER_S)
/* Connecting takes milliseconds; a lost opening packet is sent after 1 s. */
#define CONNECT_US (400 * EEL_US_PER_MS)

/* Prepares an empty pool. */
void
eel_pool_init (struct eel_pool *pool,
               struct event_base *base,
               const struct sockaddr_in *address)
{
  memset (pool, 0, sizeof *pool);
  pool->base = base;
  pool->address = *address;
  pool->max_idle_us = MAX_IDLE_US;
  pool->rest_limit_us = MAX_IDLE_US;
  pool->connect_us = CONNECT_US;
}

static void
free_closed (struct eel_pool *pool)
{
  while (pool->closed != NULL)
    {
      struct eel_link *link = pool->closed;

      pool->closed = link->next;
      eel_link_free (link);
    }
}

/* Closes every link; the owners of active ones get no callback. */
void
eel_pool_finish (struct eel_pool *pool)
{
  while (pool->idle != NULL)
    eel_link_cancel (pool->idle);
  while (pool->active != NULL)
    eel_link_cancel (pool->active);
  free_closed (pool);
}

/* Returns the link that was used last, if it is fresh enough. */
static struct eel_link *
take_idle (struct eel_pool *pool, int64_t fresh_us)
{
  int64_t now_us = eel_clock_us ();

  while (pool->idle != NULL)
    {
      struct eel_link *link = pool->idle;
      int64_t idle_us = now_us - link->idle_since_us;

      if (idle_us > fresh_us || idle_us > pool->rest_limit_us)
        return NULL;
      if (idle_us <= link->idle_limit_us)
        return link;
      eel_link_cancel (link);
    }
  return NULL;
}

/* Sends a request on a kept or a new link. */
struct eel_link *
eel_pool_send (struct eel_pool *pool,
               const struct eel_link_ops *ops,
               void *owner,
               struct evbuffer *head,
               int head_request,
               int64_t fresh_us)
{
  struct eel_link *link = take_idle (pool, fresh_us);

  int64_t now_us = eel_clock_us ();

  if (link != NULL)
    {
      eel_link_unlist (link);
      link->rested_us = now_us - link->idle_since_us;
      pool->reused++;
    }
  else
    {
      link = eel_link_open (pool);
      if (link == NULL)
        return NULL;
      pool->opened++;
    }
  link->sent_us = now_us;
  eel_link_list (link, 0);
  link->ops = ops;
  link->owner = owner;
  link->head_request = (uint8_t)head_request;
  link->request_done = 0;
  link->answering = 0;
  link->had_stray = 0;
  link->stray = 0;
  evbuffer_add_buffer (bufferevent_get_output (link->bev), head);
  return link;
}

/* Lets connections rest for half of that time from now on. */
void
eel_pool_forgotten (struct eel_pool *pool, int64_t rested_us)
{
  int64_t limit_us = rested_us / 2;

  pool->rest_limited_us = eel_clock_us ();
  if (limit_us < REST_LEAST_US)
    limit_us = REST_LEAST_US;
  if (limit_us < pool->rest_limit_us)
    pool->rest_limit_us = limit_us;
}

/* After a while without forgotten connections they may rest longer again. */
static void
relax_rest_limit (struct eel_pool *pool, int64_t now_us)
{
  if (pool->rest_limit_us >= pool->max_idle_us
      || now_us - pool->rest_limited_us < REST_LIMIT_LIFE_US)
    return;
  pool->rest_limit_us *= 2;
  pool->rest_limited_us = now_us;
}

/* Closes links that were idle for too long. */
void
eel_pool_sweep (struct eel_pool *pool, int64_t now_us)
{
  struct eel_link *link = pool->idle;

  relax_rest_limit (pool, now_us);
  free_closed (pool);
  while (link != NULL)
    {
      struct eel_link *next = link->next;

      if (now_us - link->idle_since_us > link->idle_limit_us)
        eel_link_cancel (link);
      link = next;
    }
}
