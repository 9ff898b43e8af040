#ifndef EELGRASSLATCH_READ_SOURCE_H
#define EELGRASSLATCH_READ_SOURCE_H

#include <stdint.h>

/*
 * Chooses where a node reads published items: from the registry, or from a peer
 * of its failure domain that has read them.
 *
 * Made for hundreds of nodes and a registry whose calls are few and expensive:
 * in each failure domain one node reads the registry and the others read from
 * it, over a tree.  There is no election and nothing is written: all nodes of a
 * domain order its members alike, by a hash of their addresses.  A node reads
 * from the members before it in that order, and from the registry itself when
 * none of them can tell it anything.  Since sources always come earlier in the
 * order, nodes can't read from each other in a circle.
 */

/* A node that reads the registry tells its whole failure domain, which has to
   know a change within 2 s: a lost long poll has to be noticed and repeated by
   another node before. */
#define EEL_READ_REGISTRY_WAIT_MS 700
#define EEL_READ_PEER_WAIT_MS 1000
/* The first long poll of a connection is short, to check the network path. */
#define EEL_READ_FIRST_WAIT_MS 100
/* Time for an answer beyond the wait of a long poll.  A slow registry takes
   some hundred milliseconds; a process can be throttled for 100 ms. */
#define EEL_READ_REGISTRY_MARGIN_MS 400
#define EEL_READ_PEER_MARGIN_MS 300
/* Pause before the next long poll, in which changes collect: each call to the
   registry has a cost. */
#define EEL_READ_REGISTRY_BATCH_MS 300
#define EEL_READ_PEER_BATCH_MS 20

/* Nodes that read from one other. */
#define EEL_READ_SOURCE_FANOUT 16

struct eel_read_peer
{
  /* IPv4 in network order. */
  uint32_t ip;
  uint32_t order;
  uint32_t failures;
  /* Not read from until this time. */
  int64_t avoid_until_us;
};

enum eel_read_failure
{
  /* It answered that it has lost its own source. */
  EEL_READ_NO_NEWS,
  /* It did not answer, or not in time. */
  EEL_READ_UNREACHABLE
};

struct eel_read_source
{
  uint32_t own_ip;
  /* Other members of the failure domain, in order; the caller's array. */
  struct eel_read_peer *peers;
  uint32_t capacity;
  uint32_t count;
  /* Number of peers that come before this node. */
  uint32_t own_index;
  uint32_t registry_failures;
  int64_t registry_avoid_until_us;
  /* One of the first members that has read the registry in the place of its
     source: from now on another one may do that for it. */
  uint8_t has_replaced;
};

struct eel_read_choice
{
  /* NULL: the registry. */
  const struct eel_read_peer *peer;
  /* Time until the source may be read; 0: now. */
  int64_t wait_us;
};

void eel_read_source_init (struct eel_read_source *source,
                           uint32_t own_ip,
                           struct eel_read_peer *peers,
                           uint32_t capacity);
/*
 * Sets the members of the failure domain, without duplicates; those that no
 * longer fit are left out.  own_listed: this node is one of them.  One that is
 * not reads from all others, since they can't know about it yet.
 */
void eel_read_source_set_members (struct eel_read_source *source,
                                  const uint32_t *ips,
                                  uint32_t count,
                                  int own_listed);
/* Returns the source to read next; stale: what the peers told last is too old,
   so the registry goes before them. */
struct eel_read_choice eel_read_source_next (
    const struct eel_read_source *source, int stale, int64_t now_us);
/* Records the end of a read; ip 0 stands for the registry.  unit_random is in
   [0, 1) and spreads the times at which nodes repeat failed reads. */
void eel_read_source_succeeded (struct eel_read_source *source, uint32_t ip);
void eel_read_source_failed (struct eel_read_source *source,
                             uint32_t ip,
                             enum eel_read_failure failure,
                             int64_t now_us,
                             double unit_random);

#endif
