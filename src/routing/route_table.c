#include "eelgrasslatch/route_table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "internal/hash.h"

void
eel_route_table_init (struct eel_route_table *table, uint64_t version)
{
  *table = (struct eel_route_table){ .version = version };
}

static void
route_free (struct eel_route *route)
{
  free (route->host);
  free (route->prefix);
  free (route->parts);
}

void
eel_route_table_finish (struct eel_route_table *table)
{
  for (uint32_t i = 0; i < table->count; i++)
    route_free (&table->routes[i]);
  free (table->routes);
  *table = (struct eel_route_table){ 0 };
}

static double
largest_weight (const struct eel_route *route)
{
  double largest = 0;

  for (uint32_t i = 0; i < route->part_count; i++)
    if (route->parts[i].weight > largest)
      largest = route->parts[i].weight;
  return largest;
}

static int
route_is_valid (const struct eel_route *route)
{
  double largest = largest_weight (route);

  for (uint32_t i = 0; i < route->part_count; i++)
    {
      const struct eel_route_part *part = &route->parts[i];

      if (part->service == EEL_NO_SERVICE || !(part->weight >= 0))
        return 0;
    }
  return largest > 0 && isfinite (largest) && route->attempts > 0
         && route->timeout_us > 0;
}

/* Returns a cleared route at the end of the table, or NULL. */
static struct eel_route *
next_route (struct eel_route_table *table)
{
  if (table->count == table->capacity)
    {
      uint32_t capacity = table->capacity == 0 ? 64 : table->capacity * 2;
      struct eel_route *routes
          = realloc (table->routes, capacity * sizeof *routes);

      if (routes == NULL)
        return NULL;
      table->routes = routes;
      table->capacity = capacity;
    }
  memset (&table->routes[table->count], 0, sizeof *table->routes);
  return &table->routes[table->count];
}

/* Copies a route whose parts are valid or absent. */
static int
add_copy (struct eel_route_table *table, const struct eel_route *route)
{
  struct eel_route *copy = NULL;

  if (route->host[0] != 0 && route->prefix[0] == '/')
    copy = next_route (table);
  if (copy == NULL)
    return 0;
  *copy = *route;
  copy->host = strdup (route->host);
  copy->prefix = strdup (route->prefix);
  copy->parts = calloc (route->part_count + 1, sizeof *copy->parts);
  if (copy->host == NULL || copy->prefix == NULL || copy->parts == NULL)
    {
      route_free (copy);
      return 0;
    }
  if (route->part_count > 0)
    memcpy (copy->parts, route->parts, route->part_count * sizeof *copy->parts);
  copy->prefix_bytes = (uint32_t)strlen (copy->prefix);
  copy->id = eel_hash64 (copy->prefix, copy->prefix_bytes,
                         eel_hash64 (copy->host, strlen (copy->host), 0));
  table->count++;
  return 1;
}

/* Returns 0 when the route is invalid or memory is exhausted. */
int
eel_route_table_add (struct eel_route_table *table,
                     const struct eel_route *route)
{
  return route_is_valid (route) && add_copy (table, route);
}

int
eel_route_table_add_unserved (struct eel_route_table *table,
                              const char *host,
                              const char *prefix)
{
  const struct eel_route route
      = { .host = (char *)host, .prefix = (char *)prefix };

  return add_copy (table, &route);
}

/* Orders by host, then by falling length of the prefix. */
static int
compare_routes (const void *a, const void *b)
{
  const struct eel_route *left = a;
  const struct eel_route *right = b;
  int order = strcasecmp (left->host, right->host);

  if (order != 0)
    return order;
  return (left->prefix_bytes < right->prefix_bytes)
         - (left->prefix_bytes > right->prefix_bytes);
}

/* Scales the weights, so that their sum is exact enough and finite, and starts
   the round robin at random. */
static void
seal_split (struct eel_route *route, struct eel_rng *rng)
{
  double largest = largest_weight (route);

  for (uint32_t i = 0; i < route->part_count; i++)
    {
      struct eel_route_part *part = &route->parts[i];

      part->weight /= largest;
      part->current_weight = eel_rng_unit (rng) * part->weight;
    }
}

/* Sorts the routes and prepares their splits. */
void
eel_route_table_seal (struct eel_route_table *table, struct eel_rng *rng)
{
  if (table->count > 0)
    qsort (table->routes, table->count, sizeof *table->routes, compare_routes);
  for (uint32_t i = 0; i < table->count; i++)
    seal_split (&table->routes[i], rng);
}

/* Compares a route's host with the first bytes of a Host field. */
static int
compare_host (const struct eel_route *route, const char *host, size_t bytes)
{
  int order = strncasecmp (route->host, host, bytes);

  if (order != 0)
    return order;
  return route->host[bytes] == 0 ? 0 : 1;
}

static uint32_t
first_of_host (const struct eel_route_table *table,
               const char *host,
               size_t bytes)
{
  uint32_t low = 0;
  uint32_t high = table->count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (compare_host (&table->routes[middle], host, bytes) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns the route of the host with the longest prefix of the path. */
struct eel_route *
eel_route_table_find (struct eel_route_table *table,
                      const char *host,
                      const char *target)
{
  size_t host_bytes = strcspn (host, ":");
  size_t path_bytes = strcspn (target, "?");

  for (uint32_t i = first_of_host (table, host, host_bytes);
       i < table->count
       && compare_host (&table->routes[i], host, host_bytes) == 0;
       i++)
    {
      struct eel_route *route = &table->routes[i];

      if (route->prefix_bytes <= path_bytes
          && memcmp (route->prefix, target, route->prefix_bytes) == 0)
        return route;
    }
  return NULL;
}

/* Smooth weighted round robin keeps the shares over short runs as well. */
uint32_t
eel_route_pick_service (struct eel_route *route)
{
  struct eel_route_part *best = &route->parts[0];
  double total = 0;

  for (uint32_t i = 0; i < route->part_count; i++)
    {
      struct eel_route_part *part = &route->parts[i];

      part->current_weight += part->weight;
      total += part->weight;
      if (part->current_weight > best->current_weight)
        best = part;
    }
  best->current_weight -= total;
  return best->service;
}
