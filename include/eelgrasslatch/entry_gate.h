#ifndef EELGRASSLATCH_ENTRY_GATE_H
#define EELGRASSLATCH_ENTRY_GATE_H

#include <stdint.h>

#include "eelgrasslatch/call_costs.h"
#include "eelgrasslatch/rng.h"

/*
 * Refuses requests where they enter, before anything is spent on them.
 *
 * Answers the load in which a service that requests reach only through calls
 * of calls has too few slots: each answer carries the pressure at the service
 * and below it, and each entry node admits a smaller share of a route as long
 * as its pressure is above what its rank may cause.  Less important routes
 * reach their bound first, so the more important ones find room.
 */

#define EEL_ENTRY_GATE_ROUTES_MAX 64

struct eel_entry_gate_route
{
  uint64_t route;
  /* Expected wait of a request in thousandths of its route's target. */
  double pressure_milli;
  int64_t reported_us;
  /* Share of admitted requests that failed or were late; all, until some have
     ended well. */
  double bad_share;
  int64_t outcome_us;
  /* Share of requests that is refused. */
  double refuse;
  int64_t updated_us;
};

struct eel_entry_gate
{
  struct eel_entry_gate_route routes[EEL_ENTRY_GATE_ROUTES_MAX];
  uint32_t count;
  /* Rank of the least important route in force. */
  uint8_t last_rank;
};

void eel_entry_gate_init (struct eel_entry_gate *gate);
/* An answer on the route told of pressure. */
void eel_entry_gate_report_pressure (struct eel_entry_gate *gate,
                                     uint64_t route,
                                     double pressure_milli,
                                     int64_t now_us);
/*
 * An admitted request has ended.  Pressure counts only for a route that suffers
 * from it: what runs of a route call is an estimate and may be wrong.
 */
void eel_entry_gate_report_outcome (struct eel_entry_gate *gate,
                                    uint64_t route,
                                    int bad,
                                    int64_t now_us);
/* Returns 0 when the request is to be refused. */
int eel_entry_gate_admit (struct eel_entry_gate *gate,
                          uint64_t route,
                          uint8_t rank,
                          int64_t now_us,
                          struct eel_rng *rng);
/* Pressure that answers on the route told of; 0 when that is long ago. */
double eel_entry_gate_pressure (const struct eel_entry_gate *gate,
                                uint64_t route,
                                int64_t now_us);
/* Share of the route's requests that is refused at this moment. */
double eel_entry_gate_refused_share (const struct eel_entry_gate *gate,
                                     uint64_t route);
/* The greatest pressure on routes that runs of a route are known to call. */
double eel_entry_gate_downstream_pressure (const struct eel_entry_gate *gate,
                                           const struct eel_call_costs *costs,
                                           uint64_t run_route,
                                           int64_t now_us);

#endif
