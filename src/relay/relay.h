#ifndef EEL_RELAY_RELAY_H
#define EEL_RELAY_RELAY_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#include "eelgrasslatch/call_chain.h"
#include "eelgrasslatch/crash_watch.h"
#include "eelgrasslatch/crowding.h"
#include "eelgrasslatch/directory.h"
#include "eelgrasslatch/domain_flow.h"
#include "eelgrasslatch/entry_gate.h"
#include "eelgrasslatch/fault_rate.h"
#include "eelgrasslatch/gate.h"
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/route_table.h"
#include "eelgrasslatch/run_times.h"
#include "eelgrasslatch/team_table.h"
#include "eelgrasslatch/repeats.h"
#include "eelgrasslatch/team_use.h"
#include "eelgrasslatch/team_cap.h"
#include "internal/log.h"
#include "internal/metrics.h"
#include "relay/domain_traffic.h"
#include "relay/pool.h"
#include "relay/reach.h"
#include "relay/service_retries.h"
#include "relay/server.h"

/*
 * The data path of a node: accepts requests of callers at one address, forwards
 * each to the node on the VM of the endpoint that is to run it, and runs those
 * that other nodes forward to its own endpoint.  Bodies are relayed in pieces.
 */

/* Header names of the callers' and endpoints' protocol. */
struct eel_relay_header_names
{
  const char *request_id;
  const char *remaining_ms;
  const char *expected_instance;
  const char *caller_service;
  /* Set by an endpoint that didn't run the request. */
  const char *not_executed;
  /* The id of the endpoint that answers instead of the expected one. */
  const char *actual_instance;
  /* Requests a second that the endpoint takes from all nodes together. */
  const char *rate_limit;
  /* "1" in the answers of an endpoint that leaves. */
  const char *leaving;
  /* Carries the key of a caller's team; ends at the entry node. */
  const char *authorization;
  /* Names the team towards the endpoint. */
  const char *team;
};

/* Header fields between nodes. */
#define EEL_RELAY_CALL "Eel-Call"
#define EEL_RELAY_LOAD "Eel-Load"
#define EEL_RELAY_REFUSED "Eel-Refused"
/* A request that was in flight at crashes: fingerprint, state, remaining life
   in ms and ids of the crashes.  Repeated for each. */
#define EEL_RELAY_CRASHED "Eel-Crashed"
/* Id of a crash and the fingerprints of what was in flight at it. */
#define EEL_RELAY_CRASH "Eel-Crash"
/* Fingerprints of suspects that an endpoint has answered. */
#define EEL_RELAY_CLEARED "Eel-Cleared"
/* Marks a message that carries no request, only the three fields above. */
#define EEL_RELAY_NEWS "Eel-News"
/* Requests a second that the endpoint takes, as its node told the sender. */
#define EEL_RELAY_LIMIT "Eel-Limit"
/* Id of the endpoint that said in this answer that it leaves. */
#define EEL_RELAY_LEAVING "Eel-Leaving"
/* The request's team, where teams are in force; empty: none.  Read only where
   EEL_RELAY_CALL ends in 1, which no caller can set: nodes of a release without
   teams pass this field on as it came. */
#define EEL_RELAY_TEAM "Eel-Team"
/* A team above its share at the endpoint's gate: id, rank, excess, slot time
   asked for and got, in thousandths.  Repeated for each. */
#define EEL_RELAY_CROWDED "Eel-Crowded"

#define EEL_RELAY_QUARANTINE_MAX 1024
#define EEL_RELAY_CLEARED_MAX 64

struct eel_relay_config
{
  const struct eel_relay_header_names *header_names;
  const char *service;
  struct in_addr ip;
  struct sockaddr_in callers;
  struct sockaddr_in peers;
  struct sockaddr_in endpoint;
  /* Retry budget of all nodes together: arrivals at endpoints beyond the first
     of each request, as a share of requests, plus a fixed number in each
     window.
   */
  double retry_ratio;
  double retry_extra;
  int64_t retry_window_us;
  /* Age of the knowledge of teams beyond which no key is served; 0: any age
     will do. */
  int64_t teams_max_age_us;
  /* Order requests of one rank by the shares of their teams. */
  uint8_t fair_teams;
  /* Place requests by the expected end of their run. */
  uint8_t by_finish;
  /* Too few retries go to the calls of runs that need the fewest more. */
  uint8_t retries_by_finish;
  struct eel_domain_flow_config domain_flow;
  /* Names of EEL_DOMAINS_MAX failure domains by number, NULL where unknown;
     NULL: there are none. */
  char *const *domain_names;
  /* Where nodes exchange messages about caps, on every VM at the same port; 0:
     none. */
  struct sockaddr_in caps;
  /* What windows may exceed the caps of teams by. */
  struct eel_cap_tolerance cap_tolerance;
};

struct eel_relay_counters
{
  struct eel_metric *requests;
  struct eel_metric *served;
  struct eel_metric *refused;
  struct eel_metric *failed;
  struct eel_metric *retries;
  /* Refused for those that go first, with retries_by_finish. */
  struct eel_metric *retries_kept;
  struct eel_metric *disconnected;
  struct eel_metric *team_unknown;
  struct eel_metric *teams_outdated;
  struct eel_metric *runs;
  /* Connections that ended with a part of an answer unsent. */
  struct eel_metric *cut_callers;
  struct eel_metric *cut_peers;
  /* Connections of callers that were closed at the limit. */
  struct eel_metric *turned_away;
  /* Requests refused at the entry because their team is above its share. */
  struct eel_metric *above_share;
  /* Requests of teams that were refused at this node's gate. */
  struct eel_metric *gate_refused;
  struct eel_metric *latency;
  struct eel_metric *hold;
  /* Present speed of this node's endpoint. */
  struct eel_metric *speed;
  /* Endpoints that this node spares. */
  struct eel_metric *spared;
};

/* What a node has of the published items: the newest revision and its era
   (published.h), and the version of the configuration in force. */
struct eel_relay_items
{
  uint64_t era;
  uint64_t revision;
  uint64_t version;
};

/* Load of an endpoint, which its node reports with each answer. */
struct eel_relay_load
{
  struct eel_instance_report endpoint;
  /* Expected wait of a request of the lowest rank. */
  int64_t wait_us;
  /* Greatest pressure on routes called by requests of the answer's route. */
  uint32_t callee_pressure_milli;
  struct eel_relay_items items;
};

struct eel_sharing
{
  /* Table that mean_rate was computed of. */
  const struct eel_team_table *teams;
  uint64_t version;
  double mean_rate;
  /* Requests refused here a moment ago. */
  struct eel_repeats repeats;
  /* Lines on teams above their share in this interval. */
  int64_t lines_since_us;
  uint32_t lines;
};

struct eel_relay
{
  struct event_base *base;
  struct eel_relay_config config;
  uint32_t service;
  struct eel_rng rng;
  struct eel_service_names names;
  /* NULL until a configuration is known. */
  struct eel_route_table *routes;
  /* NULL: the configuration has none. */
  struct eel_team_table *teams;
  /* All changes up to this time are provably known; 0: none. */
  int64_t known_us;
  /* Since when requests are refused because that is too long ago, and how many
     were; 0: they are not. */
  int64_t outdated_since_us;
  uint64_t outdated_refused;
  struct eel_team_use team_use;
  /* NULL until a configuration has a team with a cap. */
  struct eel_caps *caps;
  struct eel_metrics *metrics;
  struct eel_directory directory;
  struct eel_gate gate;
  /* Of this node's endpoint. */
  struct eel_run_times run_times;
  struct eel_entry_gate entry_gate;
  /* Teams above their share elsewhere, and this node's part in it. */
  struct eel_crowding crowding;
  struct eel_sharing sharing;
  struct eel_call_costs call_costs;
  struct eel_call_lengths call_lengths;
  struct eel_crash_watch crash_watch;
  struct eel_quarantine quarantine;
  struct eel_quarantine_entry quarantine_entries[EEL_RELAY_QUARANTINE_MAX];
  /* Suspects that were answered here since the last news. */
  uint64_t cleared[EEL_RELAY_CLEARED_MAX];
  uint32_t cleared_count;
  /* Messages of news without an answer so far. */
  GPtrArray *news;
  uint8_t asked_for_news;
  /* struct eel_attempt at the endpoint, and those that it has interrupted and
     that wait for the result of a check whether it has crashed. */
  GPtrArray *running;
  GPtrArray *interrupted_runs;
  struct eel_service_retries retries;
  /* Names in use after the last collection. */
  uint32_t names_kept;
  struct eel_server callers;
  struct eel_server peers;
  struct eel_pool endpoint_pool;
  struct eel_reach endpoint_reach;
  /* Runs that were interrupted since the last check of the endpoint. */
  uint32_t interrupted;
  /* Of this node's endpoint. */
  struct eel_fault_rate fault_rate;
  /* When a request that entered here failed last: it may have been a call of
     this node's endpoint. */
  int64_t entry_failed_us;
  /* Endpoint that answered instead of the expected one; valid until the time
     below. */
  char actual_instance[EEL_INSTANCE_ID_MAX];
  int64_t actual_until_us;
  /* Endpoint that answered here last, and whether it has said since this node
     runs what limit it has. */
  char reported_id[EEL_INSTANCE_ID_MAX];
  uint8_t has_reported;
  double limit_logged_per_s;
  /* Starts or refuses requests in the gate's queue when no slot becomes free.
   */
  struct event *queue_timer;
  /* struct eel_pool by IPv4 address. */
  GHashTable *peer_pools;
  struct event *tick;
  uint8_t stopping;
  /* Late in a planned stop: new requests are refused with Retry-After. */
  uint8_t refusing;
  /* Known here, and the newest of each that peers have reported. */
  struct eel_relay_items items;
  struct eel_relay_items peer_items;
  int64_t load_logged_us;
  int64_t spared_reviewed_us;
  uint64_t load_logged_started;
  struct eel_relay_counters counters;
  struct eel_domain_traffic domain_traffic;
  struct eel_domain_flow domain_flow;
};

int eel_relay_init (struct eel_relay *relay,
                    struct event_base *base,
                    const struct eel_relay_config *config,
                    struct eel_metrics *metrics);
void eel_relay_finish (struct eel_relay *relay);
/* Records what a peer reports. */
void eel_relay_record_items (struct eel_relay *relay,
                             const struct eel_relay_items *items);
/* True when a peer has reported items that this node doesn't have, or also a
   later version. */
int eel_relay_lacks_items (const struct eel_relay *relay);
int eel_relay_is_behind (const struct eel_relay *relay);
/* Takes ownership of a sealed table; the previous one is finished and freed. */
void eel_relay_set_routes (struct eel_relay *relay,
                           struct eel_route_table *routes,
                           const struct eel_server_limits *limits);
/* Takes ownership of a sealed table, or of none when teams is NULL; the
   previous one is finished and freed. */
void eel_relay_set_teams (struct eel_relay *relay,
                          struct eel_team_table *teams);
/* All changes up to this time are provably known. */
void eel_relay_set_known (struct eel_relay *relay, int64_t known_us);
/* True when keys may have been withdrawn for longer than is allowed. */
int eel_relay_teams_outdated (const struct eel_relay *relay, int64_t now_us);
/* Call it after a change of routes or teams. */
void eel_relay_update_last_rank (struct eel_relay *relay);
/* Call it after a change of the directory: updates the slots of this node's
   endpoint. */
void eel_relay_endpoints_changed (struct eel_relay *relay);
/* Begins a planned stop: reports a load that makes peers prefer other nodes. */
void eel_relay_stop (struct eel_relay *relay);
/* Refuses new requests from now on, and those that no endpoint has yet when
   their body is complete. */
void eel_relay_refuse_new (struct eel_relay *relay);
/* Answers every open request of a caller whose answer has not begun:
   overloaded, or outcome unknown if it may have run.  Refuses requests of peers
   that wait for a slot. */
void eel_relay_end_open (struct eel_relay *relay);
/* True when no request is in flight. */
int eel_relay_is_idle (const struct eel_relay *relay);
struct eel_pool *eel_relay_pool (struct eel_relay *relay, uint32_t ip);
/* Returns the directory's entry of this node's endpoint, or NULL. */
struct eel_instance *eel_relay_own_instance (struct eel_relay *relay);
/* Gets the load of this node's endpoint for a request of that route. */
void eel_relay_own_load (struct eel_relay *relay,
                         uint64_t route,
                         struct eel_relay_load *load);
/* Records the load that an answer carried; target_us is that of the route. */
void eel_relay_record_load (struct eel_relay *relay,
                            uint64_t route,
                            int64_t target_us,
                            const struct eel_relay_load *load);
/* Logs which endpoints this node spares, at most once a second. */
void eel_relay_review_spared (struct eel_relay *relay, int64_t now_us);
/* Gives back the numbers of service names that are not in use, once there may
   be as many of these as of the others. */
void eel_relay_collect_names (struct eel_relay *relay);
/* Logs what the endpoint does, at most once a second. */
void eel_relay_log_load (struct eel_relay *relay, int64_t now_us);
/* Logs the services whose requests begin or cease to leave the domain. */
void eel_relay_log_flow (struct eel_relay *relay, int64_t now_us);
/* Starts queued requests while slots are free; refuses those that can't be
   served in time. */
void eel_relay_dispatch_queued (struct eel_relay *relay);

extern const struct eel_server_ops eel_entry_ops;
extern const struct eel_server_ops eel_executor_ops;
/* Refuses a peer's request that is not at the endpoint yet and returns 1. */
int eel_executor_end_waiting (struct eel_exchange *exchange);

#endif
