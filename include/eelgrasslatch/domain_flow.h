#ifndef EELGRASSLATCH_DOMAIN_FLOW_H
#define EELGRASSLATCH_DOMAIN_FLOW_H

#include <stdint.h>

#include "eelgrasslatch/place.h"
#include "eelgrasslatch/rng.h"

/*
 * Decides for a request whether it leaves its failure domain, and for which
 * one.
 *
 * A request stays at home while home can serve it in time, also after a short
 * wait.  When home can't, a share of the service's requests is sent to the
 * domains with measured room, which grows with the time that home takes, if
 * what it brings exceeds the cost of the way.  A domain without fresh reports
 * gets only a probe now and then.  Does no I/O; one owner, no locks.
 */

/* Services with a smoothed state of their own; the one that was unused for
   longest gives way. */
#define EEL_FLOW_SERVICES_MAX 256
/* Routes whose bytes and calls are learned; further ones count as small. */
#define EEL_FLOW_ROUTES_MAX 64
/* No domain has room for it. */
#define EEL_NO_DOMAIN EEL_DOMAINS_MAX

struct eel_domain_flow_config
{
  /* 0: the module is off and the place module chooses as it did. */
  uint8_t enabled;
  /* What a kilobyte between domains costs, as a share of what one request in
     time is worth. */
  double kilobyte_cost;
};

/* Wait at home of requests of one rank. */
struct eel_flow_rank
{
  uint8_t rank;
  /* EWMA of the expected wait. */
  double home_us;
  int64_t home_at_us;
};

/* Requests of one service at this node. */
struct eel_flow_service
{
  uint32_t service;
  uint8_t in_use;
  /* Some of its requests leave; told with each change. */
  uint8_t is_leaving;
  /* Expected wait at home of the last request, and those by rank. */
  double home_us;
  int64_t home_at_us;
  struct eel_flow_rank ranks[EEL_RANK_WAITS_MAX];
  uint32_t rank_count;
  /* When a domain without fresh reports was probed last. */
  int64_t probed_us;
  /* A domain that refused a request gets none until then. */
  int64_t full_until_us[EEL_DOMAINS_MAX];
  /* EWMA by domain of the share of requests that endpoints shed. */
  float shed_share[EEL_DOMAINS_MAX];
  /* Requests of the present interval, and those of them that left. */
  uint32_t requests;
  uint32_t left;
  uint32_t intervals_at_home;
  /* Since the last change of is_leaving, and the oldest report that was used.
   */
  uint64_t left_sum;
  int64_t age_us;
};

struct eel_flow_route
{
  uint64_t route;
  /* EWMA of the bytes of a request and its answer. */
  double bytes;
  /* EWMA by domain of the pressure at the services that its runs call, in
     thousandths of the target, and when it was reported. */
  float pressure_milli[EEL_DOMAINS_MAX];
  int64_t reported_us[EEL_DOMAINS_MAX];
};

struct eel_domain_flow
{
  struct eel_domain_flow_config config;
  struct eel_flow_service services[EEL_FLOW_SERVICES_MAX];
  uint32_t service_count;
  struct eel_flow_route routes[EEL_FLOW_ROUTES_MAX];
  uint32_t route_count;
  /* EWMA of the time until a node of that domain accepts a request. */
  double way_us[EEL_DOMAINS_MAX];
  int64_t interval_end_us;
  /* Services that gave way to others, and routes without a row. */
  uint64_t services_evicted;
  uint64_t routes_left_out;
};

/* A change that eel_domain_flow_tick reports. */
struct eel_flow_change
{
  uint32_t service;
  /* 1: begins to send requests to other domains; 0: has ended. */
  uint8_t is_leaving;
  /* Share of the last interval, or of 0 the number since the beginning. */
  uint32_t left_milli;
  uint64_t left_sum;
  /* Expected wait at home. */
  int64_t home_us;
  /* Of the oldest report that was used in the interval. */
  int64_t age_us;
};

void eel_domain_flow_init (struct eel_domain_flow *flow,
                           const struct eel_domain_flow_config *config);
/* A request as far as its domain depends on it. */
struct eel_flow_request
{
  uint64_t route;
  int64_t route_target_us;
  /* When it has to be answered to be in time. */
  int64_t target_us;
  /* Nodes beside endpoints of the own domain that had no slot in time. */
  uint8_t refusals;
  uint8_t rank;
};

/*
 * Returns the domain whose endpoints the request may go to: EEL_HOME_DOMAIN or
 * another one that has room for it.  When no sound endpoint of the own domain
 * is left, EEL_ANY_DOMAIN or, for a request that one of them refused,
 * EEL_NO_DOMAIN if the others are full too.
 */
uint8_t eel_domain_flow_choose (struct eel_domain_flow *flow,
                                const struct eel_directory *directory,
                                const struct eel_place_query *query,
                                const struct eel_flow_request *request,
                                int64_t now_us,
                                struct eel_rng *rng);
/* Picks an endpoint of that domain as eel_place_pick does.  is_guest is set
   when another domain was chosen for its room. */
struct eel_instance *
eel_domain_flow_pick (struct eel_domain_flow *flow,
                      struct eel_directory *directory,
                      const struct eel_place_query *query,
                      const struct eel_flow_request *request,
                      int64_t now_us,
                      struct eel_rng *rng,
                      uint8_t *is_guest);
/* Learns from an answer: bytes of the request and the answer between nodes. */
void eel_domain_flow_count_bytes (struct eel_domain_flow *flow,
                                  uint64_t route,
                                  uint64_t bytes);
/* Pressure at the services that runs of the route call in that domain. */
void eel_domain_flow_report_pressure (struct eel_domain_flow *flow,
                                      uint64_t route,
                                      uint8_t domain,
                                      uint32_t pressure_milli,
                                      int64_t now_us);
/* A node of the domain had no free slot for a request that was sent there. */
void eel_domain_flow_refused (struct eel_domain_flow *flow,
                              uint32_t service,
                              uint8_t domain,
                              int64_t now_us);
/* An endpoint of the domain ran a request, or shed it. */
void eel_domain_flow_outcome (struct eel_domain_flow *flow,
                              uint32_t service,
                              uint8_t domain,
                              int is_shed);
/* Time until a node of the domain accepted a request. */
void eel_domain_flow_report_way (struct eel_domain_flow *flow,
                                 uint8_t domain,
                                 int64_t way_us);
/* Call it at least once a second; returns the number of changes, at most max.
 */
uint32_t eel_domain_flow_tick (struct eel_domain_flow *flow,
                               int64_t now_us,
                               struct eel_flow_change *changes,
                               uint32_t max);

#endif
