#ifndef EELGRASSLATCH_TEAM_CAP_H
#define EELGRASSLATCH_TEAM_CAP_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * Keeps the requests of each team within its cap over all nodes together.
 *
 * For each team one node, found by rendezvous hashing over the nodes that are
 * listed, holds the bucket and grants tokens to the nodes at which requests
 * enter.  A node admits a request only with a token; it asks for more before it
 * runs out, and tokens that are not used expire.  Two modules, one for each
 * side; neither does I/O: messages are passed in and out as structs.
 *
 * A holder fills its buckets at the share of the rate that the nodes have which
 * it has heard from a moment ago, so that two sides of a partition, each with
 * its own holder, stay within the cap together.  A new holder starts with empty
 * buckets.  docs/design/caps.md holds the bound as a sum of its parts.
 */

/* Nodes that are told apart; the rest of a longer list is not used. */
#define EEL_CAP_NODES_MAX 4096
/* Nodes whose messages tell a holder its share of all nodes. */
#define EEL_CAP_WITNESSES_MAX 64
/* Groups of teams; each has a holder of its own. */
#define EEL_CAP_GROUPS_MAX 16
/* Nodes that may be asked for a group, the first before the others; the node
   itself is the last. */
#define EEL_CAP_CANDIDATES_MAX 7
/* Of these, lapsed ones. */
#define EEL_CAP_CANDIDATES_LAPSED_MAX 2
/* Teams in one message. */
#define EEL_CAP_ENTRIES_MAX 64
/* Tokens asked for in one message for one team. */
#define EEL_CAP_TOKENS_MAX 4096
/* Life of a token, from when it was asked for. */
#define EEL_CAP_TOKEN_LIFE_US (300 * EEL_US_PER_MS)
/* A node counts for a holder that has heard from it within this time. */
#define EEL_CAP_HEARD_US (400 * EEL_US_PER_MS)
/* Messages that wait for an answer, of one group. */
#define EEL_CAP_SENT_MAX 4

enum eel_cap_verdict
{
  /* A token was taken. */
  EEL_CAP_ADMIT,
  /* No token: the request waits for a grant that has been asked for. */
  EEL_CAP_WAIT,
  /* The team is above its cap. */
  EEL_CAP_REFUSE
};

struct eel_cap_limits
{
  /* Requests a second; 0: no cap. */
  double rate_per_s;
  double burst;
};

/* How far windows may exceed the cap: by a share of it and by a number. */
struct eel_cap_tolerance
{
  double overshoot;
  double slack;
};

/* Nodes that may admit requests, as one node knows them. */
struct eel_cap_view
{
  /* IPv4 in network order, each once, ascending; and those that are listed. */
  uint32_t nodes[EEL_CAP_NODES_MAX];
  uint32_t count;
  uint32_t listed[EEL_CAP_NODES_MAX];
  uint32_t listed_count;
  uint32_t group_count;
  uint32_t witnesses[EEL_CAP_WITNESSES_MAX];
  uint32_t witness_count;
};

/* What a node asks of a holder. */
struct eel_cap_ask
{
  uint64_t team;
  uint32_t tokens;
};

struct eel_cap_ask_message
{
  uint32_t seq;
  /* Nodes that the sender knows. */
  uint32_t nodes;
  uint32_t group;
  uint32_t group_count;
  /* The sender asks no other holder of this group. */
  uint8_t active;
  uint32_t count;
  struct eel_cap_ask asks[EEL_CAP_ENTRIES_MAX];
};

/* What a holder grants, in the order of the asks. */
struct eel_cap_grant
{
  uint32_t tokens;
  /* When these are not all: time until a request can expect one. */
  int64_t wait_us;
};

struct eel_cap_grant_message
{
  uint32_t seq;
  uint32_t group;
  /* 0: the node grants nothing at present; another has to be asked. */
  uint8_t ready;
  /* All that was asked for is granted; the grants need not be read. */
  uint8_t full;
  uint32_t count;
  struct eel_cap_grant grants[EEL_CAP_ENTRIES_MAX];
};

/* Takes copies of the nodes that are listed and of those that have lapsed, in
   any order and with repetitions.  Lapsed ones count as nodes, and are asked
   after the listed ones. */
void eel_cap_view_set (struct eel_cap_view *view,
                       const uint32_t *listed,
                       uint32_t listed_count,
                       const uint32_t *lapsed,
                       uint32_t lapsed_count);
/* Number of groups for so many nodes: 1 up to 256, a power of two. */
uint32_t eel_cap_group_count (uint32_t nodes);
uint32_t eel_cap_group_of (uint64_t team, uint32_t group_count);
int eel_cap_view_is_witness (const struct eel_cap_view *view, uint32_t node);
/* Fills in the nodes to ask for a group, best first, and returns their number;
   the node itself is among them. */
uint32_t eel_cap_view_candidates (const struct eel_cap_view *view,
                                  uint32_t group,
                                  uint32_t self,
                                  uint32_t *candidates);

/* One bucket of a holder. */
struct eel_cap_bucket
{
  uint64_t team;
  uint32_t group;
  double tokens;
  /* Tokens that it gets a second, and holds at most, with all nodes heard. */
  double rate_per_s;
  double capacity;
  /* Value of the group's filled_s when it was filled last. */
  double filled_s;
  /* Tokens that were asked for in vain, decaying. */
  double unmet;
  int64_t used_us;
};

/* What a holder knows of the nodes that ask it for one group. */
struct eel_cap_group
{
  int64_t heard_us[EEL_CAP_WITNESSES_MAX];
  uint32_t reported_nodes[EEL_CAP_WITNESSES_MAX];
  /* Share of all nodes heard from. */
  double share;
  /* Integral of the share over time, in seconds. */
  double filled_s;
  /* Both when teams without a bucket began to fill. */
  double since_share;
  double since_s;
  int64_t updated_us;
};

struct eel_cap_holder
{
  struct eel_cap_tolerance tolerance;
  const struct eel_cap_view *view;
  uint32_t group_count;
  /* Those of the view that heard_us belongs to. */
  uint32_t witnesses[EEL_CAP_WITNESSES_MAX];
  uint32_t witness_count;
  struct eel_cap_group groups[EEL_CAP_GROUPS_MAX];
  struct eel_cap_bucket *buckets;
  /* Indices of the buckets that are in use. */
  uint16_t *used;
  uint32_t used_count;
  uint64_t granted;
  /* Buckets that gave way to others. */
  uint64_t evicted;
};

/* Limits of a team; 0 when it is not known. */
typedef int (*eel_cap_find_limits) (const void *teams,
                                    uint64_t team,
                                    struct eel_cap_limits *limits);

/* Returns 0 when out of memory.  The view must outlive the holder. */
int eel_cap_holder_init (struct eel_cap_holder *holder,
                         const struct eel_cap_view *view,
                         const struct eel_cap_tolerance *tolerance);
void eel_cap_holder_finish (struct eel_cap_holder *holder);
/* Call it after each change of the view. */
void eel_cap_holder_view_changed (struct eel_cap_holder *holder,
                                  int64_t now_us);
/* Empties all buckets and forgets which nodes were heard. */
void eel_cap_holder_reset (struct eel_cap_holder *holder, int64_t now_us);
/* Call it several times a second. */
void eel_cap_holder_tick (struct eel_cap_holder *holder, int64_t now_us);
void eel_cap_holder_answer (struct eel_cap_holder *holder,
                            uint32_t from,
                            const struct eel_cap_ask_message *message,
                            eel_cap_find_limits find,
                            const void *teams,
                            int64_t now_us,
                            struct eel_cap_grant_message *reply);

/* Tokens of one grant. */
struct eel_cap_lot
{
  int64_t expires_us;
  uint32_t tokens;
};

#define EEL_CAP_LOTS_MAX 4
/* Teams whose tokens a node keeps; the least recently used gives way. */
#define EEL_CAP_TEAMS_MAX 1024

/* A team at a node where its requests enter. */
struct eel_cap_team
{
  uint64_t team;
  struct eel_cap_lot lots[EEL_CAP_LOTS_MAX];
  /* Requests that wait for a token. */
  uint32_t waiting;
  /* Tokens asked for in messages without an answer so far. */
  uint32_t asked;
  /* Requests lately, decaying over a second. */
  double recent;
  int64_t recent_us;
  /* The holder had no token; nothing is asked before this time. */
  int64_t limited_until_us;
  /* When a request can expect a token. */
  int64_t retry_at_us;
  int64_t used_us;
  uint64_t admitted;
  uint64_t refused;
  /* Listed among those that are looked at with the next message. */
  uint8_t pending;
};

struct eel_cap_sent
{
  uint32_t seq;
  uint32_t candidate;
  int64_t sent_us;
  uint8_t open;
  uint8_t probe;
  uint32_t count;
  struct eel_cap_ask asks[EEL_CAP_ENTRIES_MAX];
};

/* A group of teams, as a node asks for it. */
struct eel_cap_asker
{
  uint32_t candidates[EEL_CAP_CANDIDATES_MAX];
  uint32_t candidate_count;
  /* The one that is asked at present. */
  uint32_t current;
  /* Messages without an answer since the last one, and when the first of them
     was sent. */
  uint32_t misses;
  int64_t missed_us;
  uint32_t probed;
  int64_t current_since_us;
  /* It has not heard from this node yet. */
  uint8_t is_new;
  int64_t sent_us;
  int64_t probed_us;
  struct eel_cap_sent sent[EEL_CAP_SENT_MAX];
  uint32_t sent_next;
};

struct eel_team_cap
{
  const struct eel_cap_view *view;
  uint32_t self;
  uint32_t group_count;
  uint8_t is_witness;
  struct eel_cap_asker askers[EEL_CAP_GROUPS_MAX];
  struct eel_cap_team *teams;
  uint16_t pending[EEL_CAP_TEAMS_MAX];
  uint32_t pending_count;
  uint32_t seq;
  /* Teams that gave way to others; holders that didn't answer. */
  uint64_t evicted;
  uint64_t holders_lost;
  uint64_t admitted;
  uint64_t refused;
  /* When the token that was taken last expires. */
  int64_t taken_expires_us;
};

/* Returns 0 when out of memory.  The view must outlive it; self is the node's
   own address. */
int eel_team_cap_init (struct eel_team_cap *cap,
                       const struct eel_cap_view *view,
                       uint32_t self,
                       uint32_t first_seq,
                       int64_t now_us);
void eel_team_cap_finish (struct eel_team_cap *cap);
void eel_team_cap_view_changed (struct eel_team_cap *cap, int64_t now_us);
/* A request of a team with a cap arrives.  After EEL_CAP_WAIT call
   eel_team_cap_again or eel_team_cap_leave for it. */
enum eel_cap_verdict
eel_team_cap_request (struct eel_team_cap *cap, uint64_t team, int64_t now_us);
/* Decides again about a request that waits. */
enum eel_cap_verdict
eel_team_cap_again (struct eel_team_cap *cap, uint64_t team, int64_t now_us);
/* A request that waits has ended. */
void eel_team_cap_leave (struct eel_team_cap *cap, uint64_t team);
/* Takes back a token whose request has not run. */
void eel_team_cap_return (struct eel_team_cap *cap,
                          uint64_t team,
                          int64_t expires_us,
                          int64_t now_us);
/* Time until a request of the team can expect a token; 0: unknown. */
int64_t eel_team_cap_wait_us (const struct eel_team_cap *cap,
                              uint64_t team,
                              int64_t now_us);
/* Fills in the next message that is due and its receiver, and returns 1; 0 when
   none is due. */
int eel_team_cap_next_message (struct eel_team_cap *cap,
                               int64_t now_us,
                               uint32_t *to,
                               struct eel_cap_ask_message *message);
/* Returns 1 when tokens were added or the state of some team has changed. */
int eel_team_cap_receive (struct eel_team_cap *cap,
                          uint32_t from,
                          const struct eel_cap_grant_message *message,
                          int64_t now_us);
/* Time until eel_team_cap_next_message may have one. */
int64_t eel_team_cap_due_us (const struct eel_team_cap *cap, int64_t now_us);

#endif
