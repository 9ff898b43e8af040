#ifndef EELGRASSLATCH_DOMAIN_FLOW_H
#define EELGRASSLATCH_DOMAIN_FLOW_H

#include <stdint.h>

#include "eelgrasslatch/directory.h"
#include "eelgrasslatch/rng.h"

/*
 * Decides for a request whether it leaves its failure domain, and for which one.
 *
 * A request stays at home while home can serve it in time.  When home can't, a
 * share of the service's requests is sent to the domains that have measured room
 * to spare, as much as does not fit at home and as the others can take, if what
 * it brings exceeds the cost of the way.  What is known of the other domains
 * ages, and counts for less as it does.
 */

/* Domains beyond this many are never chosen. */
#define EEL_DOMAINS_MAX 16
#define EEL_FLOW_SERVICES_MAX 256
/* The request may go to any domain. */
#define EEL_ANY_DOMAIN UINT8_MAX

struct eel_domain_flow_config
{
  /* 0: the module is off and the place module chooses as it did. */
  uint8_t enabled;
  /* What a kilobyte between domains costs, as a share of what one request in
     time is worth. */
  double kilobyte_cost;
};

#endif
