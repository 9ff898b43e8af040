#ifndef EELGRASSLATCH_ROUTING_H
#define EELGRASSLATCH_ROUTING_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/types.h"

/* Picks an endpoint of one service by what this sender has observed. */

enum eel_endpoint_state
{
  EEL_ENDPOINT_UP,
  EEL_ENDPOINT_EJECTED,
  EEL_ENDPOINT_LEAVING,
  EEL_ENDPOINT_DOWN
};

struct eel_endpoint
{
  uint32_t node;
  uint64_t incarnation;
  uint8_t same_domain;
  uint8_t state;
  /* Calls that this sender has in flight there. */
  uint32_t in_flight;
  struct eel_load load;
  int64_t load_at_us;
  double latency_us;
  double failure_rate;
  int64_t added_us;
  int64_t state_since_us;
  int64_t last_trial_us;
  uint32_t ejections;
  /* Bad replies, that is failed or slow ones, less good ones, but at least 0;
     good trials less bad ones. */
  uint32_t bad_score;
  uint32_t trial_score;
  /* Replies since the endpoint became suspected, and the totals of all
     endpoints at that time. */
  uint8_t suspected;
  uint32_t good_since_suspect;
  uint32_t bad_since_suspect;
  uint64_t total_good_at_suspect;
  uint64_t total_bad_at_suspect;
  /* Last reply, or the first send after a time without calls in flight. */
  int64_t progress_at_us;
};

struct eel_routing_config
{
  uint32_t ejected_max_percent;
  uint32_t straggler_factor;
  int64_t ramp_us;
  int64_t ejection_us;
  /* One call in this many tries an ejected endpoint. */
  uint32_t trial_interval;
  uint32_t hedge_share_permille;
  /* Utilization above which calls leave the own failure domain. */
  uint32_t spill_percent;
};

/* Endpoints of one service that this sender may use. */
struct eel_routing
{
  struct eel_routing_config config;
  struct eel_endpoint *endpoints;
  uint32_t capacity;
  uint32_t count;
  uint64_t picks;
  uint64_t hedges;
  uint64_t ejections;
  double latency_us;
  double latency_p95_us;
  double hedge_tokens;
  uint64_t good_replies;
  uint64_t bad_replies;
};

enum eel_reply_kind
{
  EEL_REPLY_OK,
  EEL_REPLY_SHED,
  EEL_REPLY_FAILED,
  EEL_REPLY_TIMED_OUT,
  EEL_REPLY_LOST
};

void eel_routing_init (struct eel_routing *routing,
                       const struct eel_routing_config *config,
                       struct eel_endpoint *endpoints,
                       uint32_t capacity);
void eel_routing_finish (struct eel_routing *routing);
void eel_routing_configure (struct eel_routing *routing,
                            const struct eel_routing_config *config);
/* Adds or updates a member of the subset; a new incarnation ramps up.  NULL:
 * the table is full. */
struct eel_endpoint *eel_routing_add (struct eel_routing *routing,
                                      uint32_t node,
                                      uint64_t incarnation,
                                      int same_domain,
                                      int64_t now_us);
void eel_routing_remove (struct eel_routing *routing, uint32_t node);
struct eel_endpoint *eel_routing_find (struct eel_routing *routing,
                                       uint32_t node);
void eel_routing_set_state (struct eel_routing *routing,
                            uint32_t node,
                            enum eel_endpoint_state state,
                            int64_t now_us);
/*
 * Picks an endpoint for a call of a class, never one of the excluded nodes;
 * NULL when no endpoint may be used.
 */
struct eel_endpoint *eel_routing_pick (struct eel_routing *routing,
                                       enum eel_class klass,
                                       const uint32_t *excluded,
                                       size_t excluded_count,
                                       int64_t now_us,
                                       struct eel_rng *rng);
void
eel_routing_sent (struct eel_routing *routing, uint32_t node, int64_t now_us);
void eel_routing_replied (struct eel_routing *routing,
                          uint32_t node,
                          enum eel_reply_kind kind,
                          const struct eel_load *load,
                          int64_t latency_us,
                          int64_t now_us);
/* Delay after which a lookup may be hedged; negative when it may not. */
int64_t eel_routing_hedge_delay_us (const struct eel_routing *routing);
void eel_routing_hedged (struct eel_routing *routing);

/*
 * Subset of a service's nodes by rendezvous hashing: all of the own failure
 * domain up to own_max, then other_max of the others.  Writes chosen indexes
 * into out and returns their number.
 */
struct eel_subset_node
{
  uint32_t node;
  uint8_t same_domain;
};

size_t eel_subset_choose (uint32_t self,
                          const struct eel_subset_node *nodes,
                          size_t count,
                          size_t own_max,
                          size_t other_max,
                          uint32_t *out,
                          size_t out_max);

#endif
