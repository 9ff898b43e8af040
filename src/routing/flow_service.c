#include <math.h>
#include <string.h>

#include "eelgrasslatch/domain_flow.h"
#include "routing/flow.h"

/* State of the domain flow by service, and when it changes. */

#define INTERVAL_US EEL_US_PER_S
/* Time constant of the wait at home: longer than a report's way, shorter than
   the wave of a domain's demand. */
#define HOME_WINDOW_US 300000.0
/* Share of an interval's requests from which on the service counts as one that
   leaves, and the intervals without any after which it has ended. */
#define BEGIN_MILLI 20
#define END_INTERVALS 2
/* EWMA weight of one request in the share that endpoints shed. */
#define SHED_WEIGHT 0.05F

struct eel_flow_service *
eel_flow_service (struct eel_domain_flow *flow, uint32_t service)
{
  struct eel_flow_service *oldest = &flow->services[0];

  for (uint32_t i = 0; i < flow->service_count; i++)
    {
      struct eel_flow_service *row = &flow->services[i];

      if (row->service == service)
        return row;
      if (row->home_at_us < oldest->home_at_us)
        oldest = row;
    }
  if (flow->service_count < EEL_FLOW_SERVICES_MAX)
    oldest = &flow->services[flow->service_count++];
  else
    flow->services_evicted++;
  memset (oldest, 0, sizeof *oldest);
  oldest->service = service;
  oldest->in_use = 1;
  return oldest;
}

/* Returns the row of a rank; a new one evicts the least recently used. */
static struct eel_flow_rank *
rank_row (struct eel_flow_service *service, uint8_t rank)
{
  struct eel_flow_rank *oldest = &service->ranks[0];

  for (uint32_t i = 0; i < service->rank_count; i++)
    {
      if (service->ranks[i].rank == rank)
        return &service->ranks[i];
      if (service->ranks[i].home_at_us < oldest->home_at_us)
        oldest = &service->ranks[i];
    }
  if (service->rank_count < EEL_RANK_WAITS_MAX)
    oldest = &service->ranks[service->rank_count++];
  *oldest = (struct eel_flow_rank){ .rank = rank };
  return oldest;
}

double
eel_flow_smooth_home (struct eel_flow_service *row,
                      uint8_t rank,
                      double home_us,
                      int64_t now_us)
{
  struct eel_flow_rank *of_rank = rank_row (row, rank);
  double passed_us = (double)(now_us - of_rank->home_at_us);
  double weight = of_rank->home_at_us == 0 || passed_us < 0
                      ? 1
                      : 1 - exp (-passed_us / HOME_WINDOW_US);

  of_rank->home_us += weight * (home_us - of_rank->home_us);
  of_rank->home_at_us = now_us;
  row->home_us = of_rank->home_us;
  row->home_at_us = now_us;
  return of_rank->home_us;
}

void
eel_domain_flow_refused (struct eel_domain_flow *flow,
                         uint32_t service,
                         uint8_t domain,
                         int64_t now_us)
{
  if (domain < EEL_DOMAINS_MAX)
    eel_flow_service (flow, service)->full_until_us[domain]
        = now_us + EEL_FLOW_FULL_US;
}

void
eel_domain_flow_outcome (struct eel_domain_flow *flow,
                         uint32_t service,
                         uint8_t domain,
                         int is_shed)
{
  float *share;

  if (domain >= EEL_DOMAINS_MAX)
    return;
  share = &eel_flow_service (flow, service)->shed_share[domain];
  *share += SHED_WEIGHT * ((float)(is_shed != 0) - *share);
}

/* Ends an interval of the row; returns 1 when is_leaving has changed. */
static int
end_interval (struct eel_flow_service *row, struct eel_flow_change *change)
{
  uint32_t left_milli
      = row->requests > 0
            ? (uint32_t)((uint64_t)row->left * 1000 / row->requests)
            : 0;
  int before = row->is_leaving;

  row->left_sum += row->left;
  row->intervals_at_home = row->left > 0 ? 0 : row->intervals_at_home + 1;
  if (!before && left_milli >= BEGIN_MILLI)
    row->is_leaving = 1;
  if (before && row->intervals_at_home >= END_INTERVALS)
    row->is_leaving = 0;
  *change = (struct eel_flow_change){ .service = row->service,
                                      .is_leaving = row->is_leaving,
                                      .left_milli = left_milli,
                                      .left_sum = row->left_sum,
                                      .home_us = (int64_t)row->home_us,
                                      .age_us = row->age_us };
  row->requests = 0;
  row->left = 0;
  row->age_us = 0;
  if (before == row->is_leaving)
    return 0;
  row->left_sum = 0;
  return 1;
}

uint32_t
eel_domain_flow_tick (struct eel_domain_flow *flow,
                      int64_t now_us,
                      struct eel_flow_change *changes,
                      uint32_t max)
{
  uint32_t count = 0;

  if (now_us < flow->interval_end_us)
    return 0;
  flow->interval_end_us = now_us + INTERVAL_US;
  for (uint32_t i = 0; i < flow->service_count; i++)
    {
      struct eel_flow_change change;

      if (end_interval (&flow->services[i], &change) && count < max)
        changes[count++] = change;
    }
  return count;
}
