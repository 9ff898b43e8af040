#include "relay/pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "eelgrasslatch/types.h"
#include "internal/task.h"
#include "relay/link.h"

/* Below the 10 s after which peers of this kind close idle connections. */
#define MAX_IDLE_US (8 * EEL_US_PER_S)
/* Lower bound of learned_idle_max_us; below the shortest idle time after which
   peers drop connections. */
#define LEARNED_IDLE_MIN_US (100 * EEL_US_PER_MS)
/* Time without stale connections after which learned_idle_max_us is doubled. */
#define LEARNED_IDLE_HOLD_US (5 * EEL_US_PER_S)
/* Connecting takes milliseconds; a lost SYN is retransmitted after 1 s. */
#define CONNECT_TIMEOUT_US (300 * EEL_US_PER_MS)

void
eel_pool_init (struct eel_pool *pool,
               struct event_base *base,
               const struct sockaddr_in *address)
{
  memset (pool, 0, sizeof *pool);
  pool->base = base;
  pool->address = *address;
  pool->max_idle_us = MAX_IDLE_US;
  pool->learned_idle_max_us = MAX_IDLE_US;
  pool->connect_timeout_us = CONNECT_TIMEOUT_US;
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

/* Closes every link; owners of active links get no callback. */
void
eel_pool_finish (struct eel_pool *pool)
{
  while (pool->idle != NULL)
    eel_link_cancel (pool->idle);
  while (pool->active != NULL)
    eel_link_cancel (pool->active);
  free_closed (pool);
}

static uint64_t
hash_of (const char *id)
{
  return id == NULL ? 0 : XXH64 (id, strlen (id), 0);
}

void
eel_link_record_refusal (struct eel_link *link, const char *id)
{
  link->refused[link->refused_count++ % EEL_LINK_REFUSED_MAX] = hash_of (id);
}

static int
has_refused (const struct eel_link *link, uint64_t hash)
{
  for (uint32_t i = 0; i < link->refused_count && i < EEL_LINK_REFUSED_MAX; i++)
    if (link->refused[i] == hash)
      return 1;
  return 0;
}

/* Returns the most recently used idle link that may be reused, or NULL; closes
   links past the idle time that the peer announced. */
static struct eel_link *
find_reusable (struct eel_pool *pool, int64_t idle_max_us, uint64_t hash)
{
  int64_t now_us = eel_clock_us ();
  struct eel_link *next;

  for (struct eel_link *link = pool->idle; link != NULL; link = next)
    {
      int64_t idle_us = now_us - link->idle_since_us;

      next = link->next;
      if (idle_us > idle_max_us || idle_us > pool->learned_idle_max_us)
        return NULL;
      if (idle_us > link->idle_limit_us)
        eel_link_cancel (link);
      else if (!has_refused (link, hash))
        return link;
    }
  return NULL;
}

struct eel_link *
eel_pool_send (struct eel_pool *pool,
               const struct eel_link_ops *ops,
               void *owner,
               struct evbuffer *head,
               int is_head,
               int64_t idle_max_us,
               const char *id)
{
  struct eel_link *link = find_reusable (pool, idle_max_us, hash_of (id));
  int64_t now_us = eel_clock_us ();

  if (link != NULL)
    {
      eel_link_list_remove (link);
      link->reused_idle_us = now_us - link->idle_since_us;
      pool->reused++;
    }
  else
    {
      link = eel_link_open (pool);
      if (link == NULL)
        return NULL;
      pool->opened++;
    }
  eel_link_begin (link, now_us);
  eel_link_list_add (link, 0);
  link->ops = ops;
  link->owner = owner;
  link->is_head = (uint8_t)is_head;
  evbuffer_add_buffer (bufferevent_get_output (link->bev), head);
  return link;
}

/* Limits the idle time before reuse to half of that time. */
void
eel_pool_report_stale (struct eel_pool *pool, int64_t reused_idle_us)
{
  int64_t limit_us = reused_idle_us / 2;

  pool->learned_at_us = eel_clock_us ();
  if (limit_us < LEARNED_IDLE_MIN_US)
    limit_us = LEARNED_IDLE_MIN_US;
  if (limit_us < pool->learned_idle_max_us)
    pool->learned_idle_max_us = limit_us;
}

/* Doubles the limit after a time without stale connections. */
static void
relax_learned_idle_max (struct eel_pool *pool, int64_t now_us)
{
  if (pool->learned_idle_max_us >= pool->max_idle_us
      || now_us - pool->learned_at_us < LEARNED_IDLE_HOLD_US)
    return;
  pool->learned_idle_max_us *= 2;
  pool->learned_at_us = now_us;
}

/* A failure may close any link, so that the search begins again. */
static void
check_peers (struct eel_pool *pool, int64_t now_us)
{
  struct eel_link *link = pool->active;

  while (link != NULL)
    {
      struct eel_link *next = link->next;

      eel_link_check_peer (link, now_us);
      link = link->closed ? pool->active : next;
    }
}

void
eel_pool_sweep (struct eel_pool *pool, int64_t now_us)
{
  struct eel_link *link;

  check_peers (pool, now_us);
  link = pool->idle;
  relax_learned_idle_max (pool, now_us);
  free_closed (pool);
  while (link != NULL)
    {
      struct eel_link *next = link->next;

      if (now_us - link->idle_since_us > link->idle_limit_us)
        eel_link_cancel (link);
      link = next;
    }
}
