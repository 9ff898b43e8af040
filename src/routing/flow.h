#ifndef EEL_ROUTING_FLOW_H
#define EEL_ROUTING_FLOW_H

#include "eelgrasslatch/domain_flow.h"

/* Parts of the domain flow. */

/* How long a domain that refused a request gets none. */
#define EEL_FLOW_FULL_US (200 * EEL_US_PER_MS)

/* What the reports tell of the sound endpoints of a service in one domain. */
struct eel_flow_domain
{
  /* VMs with an endpoint, counted exactly up to 2: an entry that another one
     on its VM has replaced is listed for a while. */
  uint32_t vms;
  uint32_t first_ip;
  /* Sound endpoints that were not tried. */
  uint32_t sound;
  uint32_t fresh;
  double use_milli_sum;
  double hold_us_sum;
  /* Fresh reports of the wait of the request's rank. */
  uint32_t told;
  double told_us_sum;
  /* Free slots that fresh reports tell of. */
  double room_slots;
  /* Of the endpoint with the least expected time to an answer: its wait, the
     time that a request holds a slot, the age of its report.  Wait below 0:
     there is none. */
  double wait_us;
  double hold_us;
  int64_t age_us;
};

struct eel_flow_view
{
  struct eel_flow_domain domains[EEL_DOMAINS_MAX];
  /* Of the request. */
  uint8_t rank;
  /* Set in the second pass, once the means are known. */
  uint8_t has_means;
  /* Endpoints of other domains that were tried. */
  uint32_t tried_abroad;
};

/* Describes the endpoints of a service to a request of the rank. */
void eel_flow_view_service (const struct eel_directory *directory,
                            const struct eel_place_query *query,
                            uint8_t rank,
                            int64_t now_us,
                            struct eel_flow_view *view);

/* Expected bytes of a request of the route and its answer. */
double eel_flow_bytes (struct eel_domain_flow *flow, uint64_t route);
/* Pressure that its runs meet in a domain; 0: none is known. */
double eel_flow_pressure_milli (struct eel_domain_flow *flow,
                                uint64_t route,
                                uint8_t domain,
                                int64_t now_us);
/* Row of a service; evicts the one that was unused for longest if need be. */
struct eel_flow_service *eel_flow_service (struct eel_domain_flow *flow,
                                           uint32_t service);
/* Adds the expected wait of a rank at home and returns the smoothed one. */
double eel_flow_smooth_home (struct eel_flow_service *row,
                             uint8_t rank,
                             double home_us,
                             int64_t now_us);

#endif
