#ifndef EEL_ROUTING_FLOW_H
#define EEL_ROUTING_FLOW_H

#include "eelgrasslatch/domain_flow.h"

/* Parts of the domain flow. */

/* How long a domain that refused a request gets none. */
#define EEL_FLOW_FULL_US (200 * EEL_US_PER_MS)

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
