#ifndef EEL_INTERNAL_FAIR_ORDER_H
#define EEL_INTERNAL_FAIR_ORDER_H

#include "eelgrasslatch/fair_order.h"

/* Lets the sums of what a team asked for decay until now. */
void eel_fair_team_decay (struct eel_fair_team *team, int64_t now_us);

#endif
