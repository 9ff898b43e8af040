#ifndef EEL_RELAY_RELAY_H
#define EEL_RELAY_RELAY_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#include "eelgrasslatch/crash_watch.h"
#include "eelgrasslatch/directory.h"
#include "eelgrasslatch/entry_gate.h"
#include "eelgrasslatch/gate.h"
#include "eelgrasslatch/retry_share.h"
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/route_table.h"
#include "internal/metrics.h"
#include "relay/pool.h"
#include "relay/server.h"

/*
 * The data path of a node: takes requests of callers at one address, passes
 * each to the node beside the endpoint that is to run it, and runs what other
 * nodes pass to the own endpoint.  Bodies are relayed in pieces.
 */

/* Header names of the callers' and endpoints' protocol. */
struct eel_relay_header_names
{
  const char *request_id;
  const char *remaining_ms;
  const char *expected_instance;
  const char *caller_service;
  /* The endpoint says that it didn't run the request. */
  const char *not_executed;
  /* Names the endpoint that answers instead of the expected one. */
  const char *actual_instance;
};

/* Fields between nodes. */
#define EEL_RELAY_CALL "Eel-Call"
#define EEL_RELAY_LOAD "Eel-Load"
#define EEL_RELAY_REFUSED "Eel-Refused"
/* Fingerprint, state and life in ms of a request that crashes endpoints. */
#define EEL_RELAY_CRASHED "Eel-Crashed"

#define EEL_RELAY_QUARANTINE_MAX 64

struct eel_relay_config
{
  const struct eel_relay_header_names *header_names;
  const char *service;
  struct in_addr ip;
  struct sockaddr_in callers;
  struct sockaddr_in peers;
  struct sockaddr_in endpoint;
  /* Arrivals at endpoints beyond the first of each request, as a share, and
     those of a window that this node may add whatever the traffic is. */
  double retry_ratio;
  double retry_extra;
  int64_t retry_window_us;
};

struct eel_relay_counters
{
  struct eel_metric *requests;
  struct eel_metric *served;
  struct eel_metric *refused;
  struct eel_metric *failed;
  struct eel_metric *retries;
  struct eel_metric *gone;
  struct eel_metric *runs;
  struct eel_metric *latency;
  struct eel_metric *hold;
};

/* What the node beside an endpoint says of its load with each answer. */
struct eel_relay_load
{
  uint32_t use_milli;
  int64_t wait_us;
  /* Pressure at services below, for requests of the same route. */
  uint32_t below_milli;
  uint64_t revision;
};

struct eel_relay
{
  struct event_base *base;
  struct eel_relay_config config;
  uint16_t service;
  struct eel_rng rng;
  struct eel_service_names names;
  /* NULL until a configuration is known. */
  struct eel_route_table *routes;
  struct eel_directory directory;
  struct eel_gate gate;
  struct eel_entry_gate entry_gate;
  struct eel_call_costs call_costs;
  struct eel_crash_watch crash_watch;
  struct eel_quarantine quarantine;
  struct eel_quarantine_entry quarantined[EEL_RELAY_QUARANTINE_MAX];
  struct eel_retry_share retries[EEL_SERVICE_NAMES_MAX];
  struct eel_server callers;
  struct eel_server peers;
  struct eel_pool endpoint;
  /* Who answered instead of the expected endpoint, for a while. */
  char actual_instance[EEL_INSTANCE_ID_MAX];
  int64_t actual_until_us;
  /* By IPv4 address. */
  GHashTable *links;
  struct event *tick;
  uint8_t stopping;
  /* Late in a planned stop: callers are told to come back elsewhere. */
  uint8_t refusing;
  /* The newest published revision here and at the peers that were met. */
  uint64_t revision;
  uint64_t peer_revision;
  int64_t load_logged_us;
  uint64_t load_logged_started;
  struct eel_relay_counters counters;
};

int eel_relay_init (struct eel_relay *relay,
                    struct event_base *base,
                    const struct eel_relay_config *config,
                    struct eel_metrics *metrics);
void eel_relay_finish (struct eel_relay *relay);
/* Takes over a sealed table; the last one is finished and freed. */
void eel_relay_set_routes (struct eel_relay *relay,
                           struct eel_route_table *routes,
                           const struct eel_server_limits *limits);
/* Slots of the own endpoint may have changed. */
void eel_relay_endpoints_changed (struct eel_relay *relay);
/* Planned stop: peers send their requests elsewhere. */
void eel_relay_stop (struct eel_relay *relay);
/* Takes no more requests. */
void eel_relay_refuse_new (struct eel_relay *relay);
/* Answers every open request of a caller: come back, or outcome unknown. */
void eel_relay_end_open (struct eel_relay *relay);
/* Nothing is in flight any more. */
int eel_relay_is_idle (const struct eel_relay *relay);
struct eel_pool *eel_relay_pool (struct eel_relay *relay, uint32_t ip);
/* The own endpoint, as the directory lists it; NULL when it doesn't. */
struct eel_instance *eel_relay_own_instance (struct eel_relay *relay);
/* The own load, as a request of that route meets it. */
void eel_relay_own_load (struct eel_relay *relay,
                         uint64_t route,
                         struct eel_relay_load *load);
/* Takes what an answer said; target_us is that of the route. */
void eel_relay_note_load (struct eel_relay *relay,
                          uint64_t route,
                          int64_t target_us,
                          const struct eel_relay_load *load);
/* Starts queued requests as far as slots are free. */
void eel_relay_pump (struct eel_relay *relay);

extern const struct eel_server_ops eel_entry_ops;
extern const struct eel_server_ops eel_executor_ops;

#endif
