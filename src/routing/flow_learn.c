#include <string.h>

#include "eelgrasslatch/domain_flow.h"
#include "routing/flow.h"

/* What the domain flow learns from answers. */

/* EWMA weight of one answer. */
#define BYTES_WEIGHT 0.05
#define PRESSURE_WEIGHT 0.2F
#define WAY_WEIGHT 0.05
/* Until an answer has come, a route counts as one of small answers. */
#define INITIAL_BYTES 2048.0
/* Age from which on a pressure is forgotten. */
#define PRESSURE_LIFE_US (2 * EEL_US_PER_S)

void
eel_domain_flow_init (struct eel_domain_flow *flow,
                      const struct eel_domain_flow_config *config)
{
  memset (flow, 0, sizeof *flow);
  flow->config = *config;
}

static struct eel_flow_route *
find_route (struct eel_domain_flow *flow, uint64_t route)
{
  for (uint32_t i = 0; i < flow->route_count; i++)
    if (flow->routes[i].route == route)
      return &flow->routes[i];
  return NULL;
}

/* Returns NULL once the table is full. */
static struct eel_flow_route *
add_route (struct eel_domain_flow *flow, uint64_t route)
{
  struct eel_flow_route *row = find_route (flow, route);

  if (row != NULL)
    return row;
  if (flow->route_count == EEL_FLOW_ROUTES_MAX)
    {
      flow->routes_left_out++;
      return NULL;
    }
  row = &flow->routes[flow->route_count++];
  memset (row, 0, sizeof *row);
  row->route = route;
  row->bytes = INITIAL_BYTES;
  return row;
}

void
eel_domain_flow_count_bytes (struct eel_domain_flow *flow,
                             uint64_t route,
                             uint64_t bytes)
{
  struct eel_flow_route *row = add_route (flow, route);

  if (row != NULL)
    row->bytes += BYTES_WEIGHT * ((double)bytes - row->bytes);
}

void
eel_domain_flow_report_pressure (struct eel_domain_flow *flow,
                                 uint64_t route,
                                 uint8_t domain,
                                 uint32_t pressure_milli,
                                 int64_t now_us)
{
  struct eel_flow_route *row = add_route (flow, route);
  float *pressure;

  if (row == NULL || domain >= EEL_DOMAINS_MAX)
    return;
  pressure = &row->pressure_milli[domain];
  if (now_us - row->reported_us[domain] > PRESSURE_LIFE_US)
    *pressure = 0;
  *pressure += PRESSURE_WEIGHT * ((float)pressure_milli - *pressure);
  row->reported_us[domain] = now_us;
}

void
eel_domain_flow_report_way (struct eel_domain_flow *flow,
                            uint8_t domain,
                            int64_t way_us)
{
  if (domain >= EEL_DOMAINS_MAX)
    return;
  if (flow->way_us[domain] <= 0)
    flow->way_us[domain] = (double)way_us;
  flow->way_us[domain] += WAY_WEIGHT * ((double)way_us - flow->way_us[domain]);
}

double
eel_flow_bytes (struct eel_domain_flow *flow, uint64_t route)
{
  const struct eel_flow_route *row = find_route (flow, route);

  return row != NULL ? row->bytes : INITIAL_BYTES;
}

double
eel_flow_pressure_milli (struct eel_domain_flow *flow,
                         uint64_t route,
                         uint8_t domain,
                         int64_t now_us)
{
  const struct eel_flow_route *row = find_route (flow, route);

  if (row == NULL || now_us - row->reported_us[domain] > PRESSURE_LIFE_US)
    return 0;
  return (double)row->pressure_milli[domain];
}
