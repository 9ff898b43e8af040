#include "eelgrasslatch/read_source.h"

#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/types.h"

/* Members first in the order that are also tried by nodes that read from
   others, when these fail. */
#define FALLBACK_PEERS 4
/* Pause before a peer without news is asked again. */
#define NO_NEWS_AVOID_US (500 * EEL_US_PER_MS)
/* An unreachable peer costs a time-out each time it is tried. */
#define UNREACHABLE_AVOID_MIN_US (2 * EEL_US_PER_S)
#define UNREACHABLE_AVOID_MAX_US (16 * EEL_US_PER_S)
#define REGISTRY_AVOID_MIN_US (100 * EEL_US_PER_MS)
/* The first members repeat failed reads of the registry often enough for
   entries that lapsed during an outage to be back within two seconds of its
   end.  The others learn from them. */
#define REGISTRY_AVOID_MAX_US (1 * EEL_US_PER_S)
#define REGISTRY_AVOID_FOLLOWER_US (4 * EEL_US_PER_S)

void
eel_read_source_init (struct eel_read_source *source,
                      uint32_t own_ip,
                      struct eel_read_peer *peers,
                      uint32_t capacity)
{
  *source = (struct eel_read_source){ .own_ip = own_ip,
                                      .peers = peers,
                                      .capacity = capacity };
}

/* Mixes all bits of an address, so that neighbours are not adjacent in the
   order (finaliser of MurmurHash3). */
static uint32_t
order_of (uint32_t ip)
{
  ip ^= ip >> 16;
  ip *= UINT32_C (0x85ebca6b);
  ip ^= ip >> 13;
  ip *= UINT32_C (0xc2b2ae35);
  return ip ^ (ip >> 16);
}

static int
compare_peers (const void *left, const void *right)
{
  const struct eel_read_peer *a = left;
  const struct eel_read_peer *b = right;

  return a->order < b->order ? -1 : a->order > b->order;
}

static struct eel_read_peer *
find_peer (const struct eel_read_source *source, uint32_t ip)
{
  const struct eel_read_peer key = { .order = order_of (ip) };

  if (source->count == 0)
    return NULL;
  return bsearch (&key, source->peers, source->count, sizeof key,
                  compare_peers);
}

/* Removes peers that are not among the addresses. */
static void
keep_members (struct eel_read_source *source,
              const uint32_t *ips,
              uint32_t count)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < source->count; i++)
    for (uint32_t j = 0; j < count; j++)
      if (source->peers[i].ip == ips[j])
        {
          source->peers[kept++] = source->peers[i];
          break;
        }
  source->count = kept;
}

/* Keeps what is known about members that stay. */
void
eel_read_source_set_members (struct eel_read_source *source,
                             const uint32_t *ips,
                             uint32_t count,
                             int own_listed)
{
  uint32_t known;

  keep_members (source, ips, count);
  known = source->count;
  for (uint32_t i = 0; i < count && source->count < source->capacity; i++)
    {
      uint32_t j = 0;

      while (j < known && source->peers[j].ip != ips[i])
        j++;
      if (j == known && ips[i] != source->own_ip)
        source->peers[source->count++]
            = (struct eel_read_peer){ .ip = ips[i],
                                      .order = order_of (ips[i]) };
    }
  qsort (source->peers, source->count, sizeof source->peers[0], compare_peers);
  source->own_index = source->count;
  for (uint32_t i = 0; own_listed && i < source->count; i++)
    if (source->peers[i].order > order_of (source->own_ip))
      {
        source->own_index = i;
        break;
      }
}

/*
 * Returns the sources of a node one after the other: its parent in the tree,
 * the parent's parent and so on, then the first members in the order.  Returns
 * NULL after the last one.  When the source of the first members is lost they
 * all read the registry once, so that several lost ones in a row cost no more
 * time than one.
 */
static const struct eel_read_peer *
nth_candidate (const struct eel_read_source *source, uint32_t n)
{
  uint32_t index = source->own_index;

  while (index > 0)
    {
      index = (index - 1) / EEL_READ_SOURCE_FANOUT;
      if (n-- == 0)
        return &source->peers[index];
    }
  /* The last ancestor, if any, was the first member: fallbacks follow it. */
  n++;
  if (source->own_index < FALLBACK_PEERS && !source->has_replaced)
    return NULL;
  if (n < FALLBACK_PEERS && n < source->own_index)
    return &source->peers[n];
  return NULL;
}

/* Prefers peers over the registry; when all have to be waited for, the one that
   can be read first. */
struct eel_read_choice
eel_read_source_next (const struct eel_read_source *source,
                      int stale,
                      int64_t now_us)
{
  struct eel_read_choice choice
      = { .wait_us = source->registry_avoid_until_us - now_us };
  const struct eel_read_peer *peer;
  int64_t peer_wait_us = INT64_MAX;
  const struct eel_read_peer *first = NULL;

  if (stale && choice.wait_us <= 0)
    return (struct eel_read_choice){ 0 };
  for (uint32_t n = 0; (peer = nth_candidate (source, n)) != NULL; n++)
    if (peer->avoid_until_us - now_us < peer_wait_us)
      {
        peer_wait_us = peer->avoid_until_us - now_us;
        first = peer;
        if (peer_wait_us <= 0)
          break;
      }
  if (first != NULL && (peer_wait_us <= 0 || peer_wait_us < choice.wait_us))
    choice = (struct eel_read_choice){ .peer = first, .wait_us = peer_wait_us };
  if (choice.wait_us < 0)
    choice.wait_us = 0;
  return choice;
}

void
eel_read_source_succeeded (struct eel_read_source *source, uint32_t ip)
{
  struct eel_read_peer *peer = find_peer (source, ip);

  if (ip == 0)
    {
      source->registry_failures = 0;
      source->registry_avoid_until_us = 0;
      source->has_replaced = 1;
    }
  else if (peer != NULL)
    {
      if (peer == &source->peers[0])
        source->has_replaced = 0;
      peer->failures = 0;
      peer->avoid_until_us = 0;
    }
}

static int64_t
backoff_us (int64_t min_us, int64_t max_us, uint32_t failures)
{
  int64_t wait_us = min_us << (failures < 8 ? failures : 8);

  return wait_us < max_us ? wait_us : max_us;
}

static void
registry_failed (struct eel_read_source *source,
                 int64_t now_us,
                 double unit_random)
{
  uint32_t failures = source->registry_failures++;
  int64_t wait_us = source->own_index < FALLBACK_PEERS
                        ? backoff_us (REGISTRY_AVOID_MIN_US,
                                      REGISTRY_AVOID_MAX_US, failures)
                        : REGISTRY_AVOID_FOLLOWER_US;

  source->registry_avoid_until_us
      = now_us + wait_us / 2 + (int64_t)(unit_random * (double)wait_us / 2);
}

void
eel_read_source_failed (struct eel_read_source *source,
                        uint32_t ip,
                        enum eel_read_failure failure,
                        int64_t now_us,
                        double unit_random)
{
  struct eel_read_peer *peer = find_peer (source, ip);

  if (ip == 0)
    registry_failed (source, now_us, unit_random);
  else if (peer != NULL && failure == EEL_READ_NO_NEWS)
    peer->avoid_until_us = now_us + NO_NEWS_AVOID_US;
  else if (peer != NULL)
    peer->avoid_until_us
        = now_us
          + backoff_us (UNREACHABLE_AVOID_MIN_US, UNREACHABLE_AVOID_MAX_US,
                        peer->failures++);
}
