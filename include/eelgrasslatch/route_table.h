#ifndef EELGRASSLATCH_ROUTE_TABLE_H
#define EELGRASSLATCH_ROUTE_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/service_names.h"

/*
 * Routes of one configuration version: host and longest prefix select a
 * route, weights select one of its services.  Services are numbers of an
 * eel_service_names table.
 */

/* One of the services that share the requests of a route, by weight. */
struct eel_route_part
{
  uint32_t service;
  /* In a sealed table a share of the largest weight of the route. */
  double weight;
  /* State of the smooth weighted round robin. */
  double current_weight;
};

struct eel_route
{
  char *host;
  char *prefix;
  uint32_t prefix_bytes;
  /* Hash of host and prefix, stable across versions, for counters. */
  uint64_t id;
  uint8_t idempotent;
  /* Requests need no key of a team. */
  uint8_t is_public;
  uint8_t attempts;
  /* 0 is the most important rank. */
  uint8_t rank;
  int64_t timeout_us;
  int64_t target_us;
  struct eel_route_part *parts;
  /* 0: requests match the route, and none can be served. */
  uint32_t part_count;
};

struct eel_route_table
{
  struct eel_route *routes;
  uint32_t count;
  uint32_t capacity;
  uint64_t version;
};

void eel_route_table_init (struct eel_route_table *table, uint64_t version);
void eel_route_table_finish (struct eel_route_table *table);
/* Copies host, prefix and parts of route; 0 when a field is out of range. */
int eel_route_table_add (struct eel_route_table *table,
                         const struct eel_route *route);
/* Adds a route whose requests match it and can't be served, so that no other
   route gets them; 0 when host or prefix is out of range. */
int eel_route_table_add_unserved (struct eel_route_table *table,
                                  const char *host,
                                  const char *prefix);
/* Call after the last add and before the first find. */
void eel_route_table_seal (struct eel_route_table *table, struct eel_rng *rng);
/* host may hold a port and target a query.  NULL: no route matches. */
struct eel_route *eel_route_table_find (struct eel_route_table *table,
                                        const char *host,
                                        const char *target);
/* Returns the service that the next request of the route goes to. */
uint32_t eel_route_pick_service (struct eel_route *route);

#endif
