#include "relay/attempt.h"
#include "relay/caps.h"
#include "relay/crash_news.h"
#include "relay/crash_trial.h"
#include "relay/entry.h"
#include "relay/relay.h"
#include "relay/sharing.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "internal/task.h"

#define INSTANCES_MAX 4096
/* Slots of this node's endpoint until the directory lists it. */
#define INITIAL_SLOTS 16
#define TICK_US (100 * EEL_US_PER_MS)
/* Added to the limit on heads for the fields that nodes add. */
#define PEER_HEAD_EXTRA_BYTES 4096
/* Longer than peers keep an idle link. */
#define PEER_IDLE_TIMEOUT_US (30 * EEL_US_PER_S)
/* Long enough for callers to stop sending a request that crashes endpoints,
   short enough not to block it for long after the service is fixed. */
#define QUARANTINE_LIFE_US (3600 * EEL_US_PER_S)
/* A sound request that was in flight at two crashes is not refused for 5 s. */
#define SUSPECT_HOLD_US (4 * EEL_US_PER_S)
/* Log lines for the lapsed entries that expire together. */
#define EXPIRED_LINES_MAX 8
/* TCP user time-out for connections to peers on other VMs. */
#define PEER_TIMEOUT_MS 1500

static void
pool_free (void *data)
{
  eel_pool_finish (data);
  g_free (data);
}

static void
sweep_pool (void *key, void *value, void *data)
{
  (void)key;
  eel_pool_sweep (value, *(int64_t *)data);
}

static void
remove_expired (struct eel_relay *relay, int64_t now_us)
{
  const struct eel_instance *instance;
  uint32_t count = 0;

  while ((instance = eel_directory_next_expired (&relay->directory, now_us))
         != NULL)
    if (++count <= EXPIRED_LINES_MAX)
      g_message (
          "event=endpoint_expired id=%s service=%s lapsed_ms=%" PRId64,
          EEL_LOG_TEXT (instance->id),
          EEL_LOG_TEXT (eel_service_name (&relay->names, instance->service)),
          (now_us - instance->lapsed_us) / EEL_US_PER_MS);
  if (count > EXPIRED_LINES_MAX)
    g_message ("event=endpoints_expired count=%u", count);
  if (count > 0)
    eel_relay_endpoints_changed (relay);
}

static void
on_endpoint_checked (void *owner, int accepts)
{
  eel_crash_trial_checked (owner, accepts);
}

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  struct eel_relay *relay = data;
  int64_t now_us = eel_clock_us ();

  (void)fd;
  (void)what;
  remove_expired (relay, now_us);
  eel_relay_collect_names (relay);
  eel_call_costs_tick (&relay->call_costs, now_us);
  eel_reach_tick (&relay->endpoint_reach);
  eel_crash_news_ask (relay);
  eel_crash_news_tick (relay);
  eel_server_sweep (&relay->callers, now_us);
  eel_server_sweep (&relay->peers, now_us);
  eel_pool_sweep (&relay->endpoint_pool, now_us);
  g_hash_table_foreach (relay->peer_pools, sweep_pool, &now_us);
  eel_relay_dispatch_queued (relay);
  eel_metric_set (relay->counters.cut_callers, relay->callers.cut);
  eel_metric_set (relay->counters.cut_peers, relay->peers.cut);
  eel_metric_set (relay->counters.turned_away, relay->callers.refused);
  eel_metric_set (relay->counters.speed,
                  eel_run_times_speed_milli (&relay->run_times, now_us));
  eel_relay_review_spared (relay, now_us);
  eel_domain_traffic_tick (&relay->domain_traffic, now_us);
  eel_relay_log_flow (relay, now_us);
  eel_caps_report (relay->caps, now_us);
  eel_sharing_report_ended (relay, now_us);
  eel_relay_log_load (relay, now_us);
}

static void
on_queue_timer (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  eel_relay_dispatch_queued (data);
}

static void
init_counters (struct eel_relay_counters *counters, struct eel_metrics *metrics)
{
#define COUNTER(field, name, help)                                             \
  counters->field                                                              \
      = eel_metrics_get (metrics, EEL_METRIC_COUNTER, name, "", help)
  COUNTER (requests, "eel_relay_requests_total", "Requests of callers.");
  COUNTER (served, "eel_relay_served_total", "Requests with an answer.");
  COUNTER (refused, "eel_relay_refused_total", "Requests told to come back.");
  COUNTER (failed, "eel_relay_failed_total", "Requests that failed.");
  COUNTER (retries, "eel_relay_retries_total", "Further arrivals.");
  COUNTER (retries_kept, "eel_relay_retries_kept_total",
           "Retries refused for those that go first.");
  COUNTER (disconnected, "eel_relay_gone_total", "Requests whose caller left.");
  COUNTER (team_unknown, "eel_relay_team_unknown_total",
           "Requests without a key in force that needed one.");
  COUNTER (teams_outdated, "eel_relay_teams_outdated_total",
           "Requests refused because the keys in force were not known.");
  COUNTER (runs, "eel_relay_runs_total", "Requests sent to the endpoint.");
  COUNTER (cut_callers, "eel_relay_cut_callers_total",
           "Callers' connections that ended with an answer unsent.");
  COUNTER (cut_peers, "eel_relay_cut_peers_total",
           "Peers' connections that ended with an answer unsent.");
  COUNTER (turned_away, "eel_relay_turned_away_total",
           "Callers' new connections that were closed at the limit.");
  COUNTER (above_share, "eel_relay_above_share_total",
           "Requests refused at the entry: team above its share.");
  COUNTER (gate_refused, "eel_relay_team_refused_total",
           "Requests of teams that got no slot in time.");
#undef COUNTER
  counters->latency = eel_metrics_get (metrics, EEL_METRIC_HISTOGRAM,
                                       "eel_relay_latency_seconds", "",
                                       "Time to the end of an answer.");
  counters->hold = eel_metrics_get (metrics, EEL_METRIC_HISTOGRAM,
                                    "eel_relay_slot_seconds", "",
                                    "Time that a request holds a slot.");
  counters->speed = eel_metrics_get (
      metrics, EEL_METRIC_GAUGE, "eel_endpoint_speed_milli", "",
      "Speed of this node's endpoint in thousandths of its usual one.");
  counters->spared = eel_metrics_get (
      metrics, EEL_METRIC_GAUGE, "eel_endpoints_spared", "",
      "Endpoints that take twice as long as the fastest of a route.");
}

/* Each endpoint has a node: they share the fixed retries of a window. */
static void
share_fixed_retries (struct eel_relay *relay)
{
  uint32_t nodes = 0;

  for (uint32_t i = 0; i < relay->directory.count; i++)
    nodes += (uint32_t)eel_instance_listed (&relay->directory.instances[i]);
  if (nodes > 0)
    eel_service_retries_set_extra (&relay->retries,
                                   relay->config.retry_extra / nodes);
}

/* Returns 0 when a listener can't be opened or memory runs out. */
int
eel_relay_init (struct eel_relay *relay,
                struct event_base *base,
                const struct eel_relay_config *config,
                struct eel_metrics *metrics)
{
  const struct timeval tick = { .tv_usec = TICK_US };
  struct eel_instance *instances
      = calloc (INSTANCES_MAX, sizeof (struct eel_instance));

  memset (relay, 0, sizeof *relay);
  relay->base = base;
  relay->config = *config;
  relay->metrics = metrics;
  relay->limit_logged_per_s = EEL_RATE_UNLIMITED;
  eel_rng_init (&relay->rng, (uint64_t)eel_clock_us ()
                                 ^ ((uint64_t)config->ip.s_addr << 32));
  eel_service_names_init (&relay->names);
  relay->service = eel_service_names_intern (&relay->names, config->service);
  eel_gate_init (&relay->gate, INITIAL_SLOTS);
  eel_team_use_init (&relay->team_use);
  eel_entry_gate_init (&relay->entry_gate);
  eel_sharing_init (relay);
  eel_call_costs_init (&relay->call_costs);
  eel_call_lengths_init (&relay->call_lengths);
  eel_fault_rate_init (&relay->fault_rate);
  eel_run_times_init (&relay->run_times);
  eel_crash_watch_init (&relay->crash_watch, eel_rng_next (&relay->rng));
  eel_quarantine_init (&relay->quarantine, relay->quarantine_entries,
                       EEL_RELAY_QUARANTINE_MAX, QUARANTINE_LIFE_US);
  eel_quarantine_set_hold (&relay->quarantine, SUSPECT_HOLD_US);
  eel_crash_trial_init (relay);
  eel_service_retries_init (&relay->retries, config->retry_ratio,
                            config->retry_window_us);
  init_counters (&relay->counters, metrics);
  eel_domain_traffic_init (&relay->domain_traffic, metrics,
                           config->domain_names);
  eel_domain_flow_init (&relay->domain_flow, &config->domain_flow);
  relay->gate.counts_later = config->domain_flow.enabled;
  eel_pool_init (&relay->endpoint_pool, base, &config->endpoint);
  eel_reach_init (&relay->endpoint_reach, base, &config->endpoint,
                  on_endpoint_checked, relay);
  relay->peer_pools
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, pool_free);
  if (instances == NULL)
    return 0;
  eel_directory_init (&relay->directory, instances, INSTANCES_MAX);
  relay->tick = event_new (base, -1, EV_PERSIST, on_tick, relay);
  relay->queue_timer = event_new (base, -1, 0, on_queue_timer, relay);
  return relay->tick != NULL && relay->queue_timer != NULL
         && event_add (relay->tick, &tick) == 0
         && eel_server_init (&relay->callers, base, &config->callers,
                             &eel_entry_ops, relay)
         && eel_server_init (&relay->peers, base, &config->peers,
                             &eel_executor_ops, relay);
}

void
eel_relay_finish (struct eel_relay *relay)
{
  eel_server_finish (&relay->callers);
  eel_server_finish (&relay->peers);
  eel_pool_finish (&relay->endpoint_pool);
  eel_reach_finish (&relay->endpoint_reach);
  g_hash_table_destroy (relay->peer_pools);
  eel_crash_trial_finish (relay);
  if (relay->tick != NULL)
    event_free (relay->tick);
  if (relay->queue_timer != NULL)
    event_free (relay->queue_timer);
  if (relay->routes != NULL)
    {
      eel_route_table_finish (relay->routes);
      free (relay->routes);
      relay->routes = NULL;
    }
  eel_relay_set_teams (relay, NULL);
  eel_caps_free (relay->caps);
  free (relay->directory.instances);
  eel_service_retries_finish (&relay->retries);
  eel_service_names_finish (&relay->names);
}

void
eel_relay_record_items (struct eel_relay *relay,
                        const struct eel_relay_items *items)
{
  struct eel_relay_items *newest = &relay->peer_items;

  if (items->era > newest->era
      || (items->era == newest->era && items->revision > newest->revision))
    {
      newest->era = items->era;
      newest->revision = items->revision;
    }
  if (items->version > newest->version)
    newest->version = items->version;
}

int
eel_relay_lacks_items (const struct eel_relay *relay)
{
  const struct eel_relay_items *own = &relay->items;
  const struct eel_relay_items *newest = &relay->peer_items;

  return newest->era > own->era
         || (newest->era == own->era && newest->revision > own->revision);
}

int
eel_relay_is_behind (const struct eel_relay *relay)
{
  return relay->peer_items.version > relay->items.version
         || eel_relay_lacks_items (relay);
}

/* The limits are those for callers; peers get a larger head, for the fields
   that nodes add, and a fixed idle time-out. */
void
eel_relay_set_routes (struct eel_relay *relay,
                      struct eel_route_table *routes,
                      const struct eel_server_limits *limits)
{
  if (relay->routes != NULL)
    {
      eel_route_table_finish (relay->routes);
      free (relay->routes);
    }
  relay->routes = routes;
  relay->items.version = routes->version;
  eel_relay_update_last_rank (relay);
  relay->callers.limits = *limits;
  relay->peers.limits = *limits;
  relay->peers.limits.max_head_bytes += PEER_HEAD_EXTRA_BYTES;
  relay->peers.limits.idle_timeout_us = PEER_IDLE_TIMEOUT_US;
}

struct eel_instance *
eel_relay_own_instance (struct eel_relay *relay)
{
  return eel_directory_find_by_address (
      &relay->directory, relay->config.ip.s_addr, relay->service);
}

/* Requests that wait for an endpoint that has left go elsewhere at once.  The
   queue changes with each. */
static void
refuse_leaving (struct eel_relay *relay)
{
  uint32_t i = 0;

  while (i < relay->gate.queued)
    if (eel_attempt_refuse_leaving (relay->gate.queue[i].owner))
      i = 0;
    else
      i++;
}

void
eel_relay_endpoints_changed (struct eel_relay *relay)
{
  struct eel_instance *own = eel_relay_own_instance (relay);

  if (own != NULL && own->slots > 0)
    eel_gate_set_slots (&relay->gate, own->slots);
  share_fixed_retries (relay);
  eel_caps_nodes_changed (relay);
  refuse_leaving (relay);
  eel_relay_dispatch_queued (relay);
}

/* Returns the pool of links to the node at an IPv4 address in network order;
   creates it when there is none. */
struct eel_pool *
eel_relay_pool (struct eel_relay *relay, uint32_t ip)
{
  struct eel_pool *pool
      = g_hash_table_lookup (relay->peer_pools, GUINT_TO_POINTER (ip));
  struct sockaddr_in address = relay->config.peers;

  if (pool != NULL)
    return pool;
  /* All nodes use the same port. */
  address.sin_addr.s_addr = ip;
  pool = g_new0 (struct eel_pool, 1);
  eel_pool_init (pool, relay->base, &address);
  pool->peer_timeout_ms = PEER_TIMEOUT_MS;
  g_hash_table_insert (relay->peer_pools, GUINT_TO_POINTER (ip), pool);
  return pool;
}

static void
schedule_dispatch (struct eel_relay *relay, int64_t now_us)
{
  int64_t wait_us = eel_gate_next_change_us (&relay->gate, now_us);
  const struct timeval wait
      = { .tv_sec = wait_us / EEL_US_PER_S, .tv_usec = wait_us % EEL_US_PER_S };

  if (wait_us > 0)
    event_add (relay->queue_timer, &wait);
}

void
eel_relay_dispatch_queued (struct eel_relay *relay)
{
  struct eel_gate_item item;

  for (;;)
    {
      int64_t now_us = eel_clock_us ();

      switch (eel_gate_next (&relay->gate, &item, now_us))
        {
        case EEL_GATE_START:
          eel_attempt_admitted (item.owner);
          break;
        case EEL_GATE_REFUSE:
          eel_attempt_refused (item.owner);
          break;
        case EEL_GATE_QUEUE:
          schedule_dispatch (relay, now_us);
          return;
        }
    }
}
