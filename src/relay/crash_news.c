#include "relay/crash_news.h"

#include <event2/buffer.h>
#include <glib.h>
#include <inttypes.h>

#include "internal/task.h"
#include "relay/crash.h"
#include "relay/relay.h"

/* Nodes that one message goes to. */
#define NEWS_PEERS_MAX 128
#define NEWS_IDLE_MAX_US (8 * EEL_US_PER_S)
/* Nodes that a node asks after its start. */
#define ASKED_PEERS_MAX 3
/* Messages to one node that wait for its answer. */
#define WAITING_MAX 4

/* A message on its way to one node. */
struct news
{
  struct eel_relay *relay;
  struct eel_pool *pool;
  struct eel_link *link;
  /* It goes to another failure domain. */
  uint8_t crosses;
};

static int
on_head (void *owner, struct eel_head *head)
{
  struct news *news = owner;

  eel_crash_read (news->relay, head);
  return 1;
}

static void
on_body (void *owner, const char *data, size_t bytes)
{
  (void)owner;
  (void)data;
  (void)bytes;
}

static void
on_end (void *owner)
{
  struct news *news = owner;

  if (news->crosses)
    eel_metric_add (news->relay->domain_traffic.news_bytes,
                    news->link->written_bytes + news->link->read_bytes);
  g_ptr_array_remove_fast (news->relay->news, news);
}

static void
on_fail (void *owner, int sent, const char *reason)
{
  struct news *news = owner;

  (void)sent;
  g_message ("event=crash_news_lost reason=\"%s\"", reason);
  g_ptr_array_remove_fast (news->relay->news, news);
}

static void
on_drained (void *owner)
{
  (void)owner;
}

static const struct eel_link_ops link_ops = { .head = on_head,
                                              .body = on_body,
                                              .end = on_end,
                                              .fail = on_fail,
                                              .drained = on_drained };

/* A node that answers none of these gets no more. */
static int
is_waiting (const struct eel_relay *relay, const struct eel_pool *pool)
{
  uint32_t waiting = 0;

  for (uint32_t i = 0; i < relay->news->len; i++)
    waiting += ((const struct news *)g_ptr_array_index (relay->news, i))->pool
               == pool;
  return waiting >= WAITING_MAX;
}

static void
send_to (struct eel_relay *relay,
         const struct eel_instance *instance,
         struct evbuffer *lines)
{
  struct eel_pool *pool = eel_relay_pool (relay, instance->ip);
  struct evbuffer *head = evbuffer_new ();
  struct news *news;

  if (head == NULL || is_waiting (relay, pool))
    {
      g_message ("event=crash_news_lost reason=\"node does not answer\"");
      if (head != NULL)
        evbuffer_free (head);
      return;
    }
  news = g_new0 (struct news, 1);
  news->relay = relay;
  news->pool = pool;
  news->crosses = !instance->same_domain;
  evbuffer_add_printf (head, "POST /crash HTTP/1.1\r\nHost: node\r\n%s: 1\r\n",
                       EEL_RELAY_NEWS);
  evbuffer_add (head, evbuffer_pullup (lines, -1), evbuffer_get_length (lines));
  evbuffer_add_printf (head, "Content-Length: 0\r\n\r\n");
  news->link
      = eel_pool_send (pool, &link_ops, news, head, 0, NEWS_IDLE_MAX_US, NULL);
  evbuffer_free (head);
  if (news->link == NULL)
    {
      g_message ("event=crash_news_lost reason=\"no socket\"");
      g_free (news);
      return;
    }
  g_ptr_array_add (relay->news, news);
  eel_link_write_end (news->link, EEL_FRAMING_LENGTH);
}

/* Sends to at most max other nodes of the service; returns their number. */
static uint32_t
send_to_service (struct eel_relay *relay, struct evbuffer *lines, uint32_t max)
{
  uint32_t sent = 0;

  for (uint32_t i = 0; i < relay->directory.count && sent < max; i++)
    {
      const struct eel_instance *instance = &relay->directory.instances[i];

      if (instance->service != relay->service
          || instance->ip == relay->config.ip.s_addr
          || !eel_instance_listed (instance))
        continue;
      send_to (relay, instance, lines);
      sent++;
    }
  return sent;
}

static void
tell_suspects (struct eel_relay *relay, uint32_t first, uint32_t count)
{
  struct evbuffer *lines = evbuffer_new ();

  if (lines == NULL)
    return;
  evbuffer_add_printf (lines, "%s: %" PRIx32, EEL_RELAY_CRASH,
                       relay->crash_watch.crash_id);
  for (uint32_t i = first; i < first + count; i++)
    evbuffer_add_printf (lines, " %" PRIx64, relay->crash_watch.suspects[i]);
  evbuffer_add (lines, "\r\n", 2);
  send_to_service (relay, lines, NEWS_PEERS_MAX);
  evbuffer_free (lines);
}

void
eel_crash_news_tell (struct eel_relay *relay)
{
  uint32_t total = relay->crash_watch.suspect_count;

  for (uint32_t first = 0; first < total; first += EEL_CRASH_NEWS_SUSPECTS_MAX)
    {
      uint32_t left = total - first;

      tell_suspects (relay, first,
                     left < EEL_CRASH_NEWS_SUSPECTS_MAX
                         ? left
                         : EEL_CRASH_NEWS_SUSPECTS_MAX);
    }
}

void
eel_crash_news_cleared (struct eel_relay *relay, uint64_t fingerprint)
{
  if (relay->cleared_count == EEL_RELAY_CLEARED_MAX)
    eel_crash_news_tick (relay);
  relay->cleared[relay->cleared_count++] = fingerprint;
}

void
eel_crash_news_tick (struct eel_relay *relay)
{
  struct evbuffer *lines;

  if (relay->cleared_count == 0)
    return;
  lines = evbuffer_new ();
  if (lines != NULL)
    {
      evbuffer_add_printf (lines, "%s:", EEL_RELAY_CLEARED);
      for (uint32_t i = 0; i < relay->cleared_count; i++)
        evbuffer_add_printf (lines, " %" PRIx64, relay->cleared[i]);
      evbuffer_add (lines, "\r\n", 2);
      send_to_service (relay, lines, NEWS_PEERS_MAX);
      evbuffer_free (lines);
    }
  relay->cleared_count = 0;
}

void
eel_crash_news_ask (struct eel_relay *relay)
{
  struct evbuffer *lines;

  if (relay->asked_for_news)
    return;
  lines = evbuffer_new ();
  if (lines == NULL)
    return;
  relay->asked_for_news = send_to_service (relay, lines, ASKED_PEERS_MAX) > 0;
  evbuffer_free (lines);
}

int
eel_crash_news_answer (struct eel_relay *relay, struct eel_exchange *exchange)
{
  struct evbuffer *lines;

  if (eel_head_get (&exchange->request, EEL_RELAY_NEWS) == NULL)
    return 0;
  eel_crash_read (relay, &exchange->request);
  lines = evbuffer_new ();
  if (lines != NULL)
    eel_crash_write_since (relay, 0, EEL_CRASH_NEWS_ENTRIES_MAX, lines);
  eel_exchange_answer (exchange, 200, lines, EEL_FRAMING_LENGTH, 0);
  if (lines != NULL)
    evbuffer_free (lines);
  eel_exchange_end (exchange);
  return 1;
}
