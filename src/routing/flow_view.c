#include <string.h>

#include "routing/flow.h"

/* Age at which a report of an endpoint counts no more; it counts for less the
   older it is, the mean of its domain for more. */
#define REPORT_LIFE_US (1500 * EEL_US_PER_MS)
/* Use above which an endpoint has no room for requests of other domains. */
#define FULL_MILLI 950

static double
mean_of (double sum, uint32_t count)
{
  return count > 0 ? sum / count : 0;
}

/* Returns the wait that the endpoint has told of the rank, negative if none. */
static int64_t
told_us (const struct eel_place_seen *seen, uint8_t rank)
{
  return seen->is_fresh ? eel_place_rank_wait_us (&seen->instance->report, rank)
                        : -1;
}

/* Adds the endpoint's expected time to an answer.  A report that ages tells
   less than the mean of its domain. */
static void
add_finish (struct eel_flow_domain *domain,
            const struct eel_place_seen *seen,
            uint8_t rank)
{
  double told = (double)told_us (seen, rank);
  double told_mean = mean_of (domain->told_us_sum, domain->told);
  double mean = mean_of (domain->use_milli_sum, domain->fresh);
  double age = seen->is_fresh ? (double)seen->age_us / REPORT_LIFE_US : 1;
  double use = domain->fresh > 0 ? mean : seen->use_milli;
  double hold_us = seen->hold_us > 0
                       ? (double)seen->hold_us
                       : mean_of (domain->hold_us_sum, domain->fresh);
  double wait_us;

  if (age < 1)
    use = seen->use_milli + age * (mean - seen->use_milli);
  wait_us = use > 1000 ? hold_us * (use - 1000) / 1000 : 0;
  if (told >= 0)
    wait_us = told + age * (told_mean - told);
  else if (!seen->is_fresh && domain->told > 0)
    wait_us = told_mean;
  if (seen->is_fresh && use < FULL_MILLI)
    domain->room_slots += seen->instance->slots * (FULL_MILLI - use) / 1000;
  if (domain->wait_us < 0
      || wait_us + hold_us < domain->wait_us + domain->hold_us)
    {
      domain->wait_us = wait_us;
      domain->hold_us = hold_us;
      domain->age_us = seen->is_fresh ? seen->age_us : 0;
    }
}

static void
add_vm (struct eel_flow_domain *domain, const struct eel_instance *instance)
{
  if (domain->vms > 0 && instance->ip == domain->first_ip)
    return;
  if (domain->vms == 0)
    domain->first_ip = instance->ip;
  domain->vms++;
}

static void
add_seen (void *data, const struct eel_place_seen *seen)
{
  struct eel_flow_view *view = data;
  struct eel_flow_domain *domain;

  if (seen->instance->domain >= EEL_DOMAINS_MAX)
    return;
  domain = &view->domains[seen->instance->domain];
  if (!view->has_means)
    add_vm (domain, seen->instance);
  if (seen->tried && seen->instance->domain != EEL_HOME_DOMAIN)
    view->tried_abroad++;
  if (seen->tried || seen->obstacle < EEL_LEAVE_SHED)
    return;
  if (view->has_means)
    {
      add_finish (domain, seen, view->rank);
      return;
    }
  domain->sound++;
  if (seen->is_fresh)
    {
      domain->fresh++;
      domain->use_milli_sum += seen->use_milli;
      domain->hold_us_sum += (double)seen->hold_us;
    }
  if (told_us (seen, view->rank) >= 0)
    {
      domain->told++;
      domain->told_us_sum += (double)told_us (seen, view->rank);
    }
}

void
eel_flow_view_service (const struct eel_directory *directory,
                       const struct eel_place_query *query,
                       uint8_t rank,
                       int64_t now_us,
                       struct eel_flow_view *view)
{
  memset (view, 0, sizeof *view);
  view->rank = rank;
  for (uint32_t i = 0; i < EEL_DOMAINS_MAX; i++)
    view->domains[i].wait_us = -1;
  eel_place_describe (directory, query, now_us, add_seen, view);
  view->has_means = 1;
  eel_place_describe (directory, query, now_us, add_seen, view);
}
