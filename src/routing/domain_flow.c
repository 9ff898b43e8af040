#include "eelgrasslatch/domain_flow.h"

#include <stddef.h>

#include "routing/flow.h"

/* What leaving has to bring at least: estimates differ by as much. */
#define GAIN_MIN 0.05
/* Expected wait, as a share of the time left to the target beside the run: up
   to the first a request is in time, from the second on its endpoint's node
   refuses it or it is late. */
#define IN_TIME_SHARE 0.7
#define LATE_SHARE 1.0
/* A domain without fresh reports gets a request of a service so often, as long
   as some don't fit at home. */
#define PROBE_INTERVAL_US (500 * EEL_US_PER_MS)
/* Exchanges over the way before the answer: head and acceptance, body and
   answer. */
#define WAY_EXCHANGES 2
/* Refusals at home after which home counts as full, whatever the reports say:
   one may come from senders that all followed the same report. */
#define HOME_REFUSALS 2
/* With endpoints on fewer VMs at home there is no second one to ask there, and
 * one queue of a domain is longer than one of all: the service is shared. */
#define HOME_VMS_MIN 2
/* Endpoints of other domains that a request is offered to once home has refused
   it. */
#define TRIED_ABROAD_MAX 3

/* Returns the expected share of requests in time, of those that wait so long
   and then hold a slot. */
static double
in_time_share (double wait_us, double hold_us, int64_t left_us)
{
  double slack_us = (double)left_us - hold_us;
  double part = slack_us > 0 ? wait_us / slack_us : LATE_SHARE;

  if (part <= IN_TIME_SHARE)
    return 1;
  return part >= LATE_SHARE
             ? 0
             : (LATE_SHARE - part) / (LATE_SHARE - IN_TIME_SHARE);
}

/* Returns the time that runs in the domain wait for what they call. */
static double
calls_us (struct eel_domain_flow *flow,
          const struct eel_flow_request *request,
          uint8_t domain,
          int64_t now_us)
{
  return eel_flow_pressure_milli (flow, request->route, domain, now_us)
         * (double)request->route_target_us / 1000;
}

/* Draws a domain by its room, or returns EEL_HOME_DOMAIN; with or without those
   that have refused a request a moment ago. */
static uint8_t
draw_room (const struct eel_flow_service *row,
           const struct eel_flow_view *view,
           int with_full,
           int64_t now_us,
           struct eel_rng *rng)
{
  uint8_t found = EEL_HOME_DOMAIN;
  double sum = 0;

  for (uint8_t i = EEL_HOME_DOMAIN + 1; i < EEL_DOMAINS_MAX; i++)
    {
      const struct eel_flow_domain *domain = &view->domains[i];

      if (now_us < row->full_until_us[i] && !with_full)
        continue;
      sum += domain->room_slots;
      if (domain->room_slots > 0
          && eel_rng_unit (rng) * sum < domain->room_slots)
        found = i;
    }
  return found;
}

/* Picks one of the domains with room, in proportion to it, those that have
   refused a request a moment ago only once home has; sets wait_us to what a
   request loses on the way and there.  Returns EEL_HOME_DOMAIN when none has
   any. */
static uint8_t
pick_room (struct eel_domain_flow *flow,
           const struct eel_flow_service *row,
           const struct eel_flow_view *view,
           const struct eel_flow_request *request,
           int64_t now_us,
           struct eel_rng *rng,
           double *wait_us)
{
  uint8_t found = draw_room (row, view, 0, now_us, rng);

  if (found == EEL_HOME_DOMAIN && request->refusals >= HOME_REFUSALS)
    found = draw_room (row, view, 1, now_us, rng);
  if (found != EEL_HOME_DOMAIN)
    *wait_us = view->domains[found].wait_us
               + WAY_EXCHANGES * flow->way_us[found]
               + calls_us (flow, request, found, now_us);
  return found;
}

/* Returns a domain with sound endpoints that has refused nothing a moment ago,
   or EEL_HOME_DOMAIN; with unknown_only, one without a fresh report. */
static uint8_t
pick_untold (struct eel_flow_service *row,
             const struct eel_flow_view *view,
             int unknown_only,
             int64_t now_us,
             struct eel_rng *rng)
{
  uint8_t found = EEL_HOME_DOMAIN;
  uint32_t count = 0;

  for (uint8_t i = EEL_HOME_DOMAIN + 1; i < EEL_DOMAINS_MAX; i++)
    if (view->domains[i].sound > 0 && now_us >= row->full_until_us[i]
        && (!unknown_only || view->domains[i].fresh == 0)
        && eel_rng_below (rng, ++count) == 0)
      found = i;
  if (found != EEL_HOME_DOMAIN)
    row->probed_us = now_us;
  return found;
}

/* Draws a domain with sound endpoints, or returns EEL_HOME_DOMAIN. */
static uint8_t
draw_sound (const struct eel_flow_view *view, struct eel_rng *rng)
{
  uint8_t found = EEL_HOME_DOMAIN;
  uint32_t count = 0;

  for (uint8_t i = EEL_HOME_DOMAIN + 1; i < EEL_DOMAINS_MAX; i++)
    if (view->domains[i].sound > 0 && eel_rng_below (rng, ++count) == 0)
      found = i;
  return found;
}

static double
way_cost (struct eel_domain_flow *flow, const struct eel_flow_request *request)
{
  return flow->config.kilobyte_cost * eel_flow_bytes (flow, request->route)
         / 1024;
}

/* Home has refused the request and has no other endpoint for it. */
static uint8_t
choose_abroad (struct eel_domain_flow *flow,
               struct eel_flow_service *row,
               const struct eel_flow_view *view,
               const struct eel_flow_request *request,
               int64_t now_us,
               struct eel_rng *rng)
{
  uint8_t domain;

  if (view->tried_abroad >= TRIED_ABROAD_MAX || way_cost (flow, request) >= 1)
    return EEL_NO_DOMAIN;
  /* One that has refused a request a moment ago goes after one that is not
     known to have room. */
  domain = draw_room (row, view, 0, now_us, rng);
  if (domain == EEL_HOME_DOMAIN)
    domain = pick_untold (row, view, 0, now_us, rng);
  if (domain == EEL_HOME_DOMAIN)
    domain = draw_room (row, view, 1, now_us, rng);
  if (domain == EEL_HOME_DOMAIN)
    domain = draw_sound (view, rng);
  return domain == EEL_HOME_DOMAIN ? EEL_NO_DOMAIN : domain;
}

static uint8_t
choose (struct eel_domain_flow *flow,
        struct eel_flow_service *row,
        const struct eel_flow_view *view,
        const struct eel_flow_request *request,
        int64_t now_us,
        struct eel_rng *rng)
{
  const struct eel_flow_domain *home = &view->domains[EEL_HOME_DOMAIN];
  int64_t left_us = request->target_us - now_us;
  int is_refused = request->refusals >= HOME_REFUSALS;
  double home_us
      = eel_flow_smooth_home (row, request->rank, home->wait_us, now_us)
        + calls_us (flow, request, EEL_HOME_DOMAIN, now_us);
  double at_home = is_refused
                       ? 0
                       : in_time_share (home_us, home->hold_us, left_us)
                             * (1 - (double)row->shed_share[EEL_HOME_DOMAIN]);
  double gain;
  double wait_us = 0;
  uint8_t domain;

  if (at_home > 1 - GAIN_MIN || (view->tried_abroad > 0 && !is_refused))
    return EEL_HOME_DOMAIN;
  domain = pick_room (flow, row, view, request, now_us, rng, &wait_us);
  if (domain == EEL_HOME_DOMAIN)
    return now_us - row->probed_us < PROBE_INTERVAL_US
               ? EEL_HOME_DOMAIN
               : pick_untold (row, view, 1, now_us, rng);
  gain = in_time_share (wait_us, view->domains[domain].hold_us, left_us)
             * (1 - (double)row->shed_share[domain])
         - at_home - way_cost (flow, request);
  /* The part that leaves grows with what leaving brings. */
  if (gain < GAIN_MIN || eel_rng_unit (rng) >= gain)
    return EEL_HOME_DOMAIN;
  if (view->domains[domain].age_us > row->age_us)
    row->age_us = view->domains[domain].age_us;
  return domain;
}

uint8_t
eel_domain_flow_choose (struct eel_domain_flow *flow,
                        const struct eel_directory *directory,
                        const struct eel_place_query *query,
                        const struct eel_flow_request *request,
                        int64_t now_us,
                        struct eel_rng *rng)
{
  struct eel_flow_service *row;
  struct eel_flow_view view;
  uint8_t domain;

  eel_flow_view_service (directory, query, request->rank, now_us, &view);
  if (view.domains[EEL_HOME_DOMAIN].vms < HOME_VMS_MIN
      || (view.domains[EEL_HOME_DOMAIN].sound == 0 && request->refusals == 0))
    return EEL_ANY_DOMAIN;
  row = eel_flow_service (flow, query->service);
  if (view.domains[EEL_HOME_DOMAIN].sound == 0)
    domain = choose_abroad (flow, row, &view, request, now_us, rng);
  else
    domain = choose (flow, row, &view, request, now_us, rng);
  row->requests++;
  row->left += domain != EEL_HOME_DOMAIN && domain != EEL_NO_DOMAIN;
  return domain;
}

struct eel_instance *
eel_domain_flow_pick (struct eel_domain_flow *flow,
                      struct eel_directory *directory,
                      const struct eel_place_query *query,
                      const struct eel_flow_request *request,
                      int64_t now_us,
                      struct eel_rng *rng,
                      uint8_t *is_guest)
{
  struct eel_place_query in_domain = *query;
  uint8_t domain
      = eel_domain_flow_choose (flow, directory, query, request, now_us, rng);

  /* What is placed in all domains is placed as without the flow. */
  if (domain == EEL_ANY_DOMAIN)
    in_domain.by_finish = 0;
  *is_guest = domain != EEL_HOME_DOMAIN && domain < EEL_DOMAINS_MAX;
  return domain == EEL_NO_DOMAIN
             ? NULL
             : eel_place_pick_in (directory, &in_domain, domain, now_us, rng);
}
