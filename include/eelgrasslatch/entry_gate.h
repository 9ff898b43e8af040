#ifndef EELGRASSLATCH_ENTRY_GATE_H
#define EELGRASSLATCH_ENTRY_GATE_H

#include <stdint.h>

#include "eelgrasslatch/call_costs.h"
#include "eelgrasslatch/rng.h"

/*
 * Sheds load at the node where a request enters the system, before anything is
 * spent on it.
 *
 * Handles overload of a service that requests reach only through nested calls.
 * Each answer carries the pressure at the service and at those downstream of
 * it, and each entry node admits a smaller share of a route as long as the
 * route's pressure exceeds the bound of its rank.  Less important ranks have
 * lower bounds and are shed first, which leaves slots to the more important
 * ones.
 */

#define EEL_ENTRY_GATE_ROUTES_MAX 64

struct eel_entry_gate_route
{
  uint64_t route;
  /* EWMA of the expected wait in thousandths of the route's target. */
  double pressure_milli;
  int64_t reported_us;
  /* EWMA of the share of admitted requests that failed or missed their target;
     starts at 1. */
  double miss_share;
  int64_t outcome_us;
  /* Share of requests to refuse. */
  double refused_share;
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
/* Adds the pressure carried by an answer on the route. */
void eel_entry_gate_report_pressure (struct eel_entry_gate *gate,
                                     uint64_t route,
                                     double pressure_milli,
                                     int64_t now_us);
/*
 * Counts the outcome of an admitted request; missed is set when it failed or
 * missed its target.  Pressure leads to refusals only on a route whose requests
 * do so, because the services downstream of a route are an estimate and may be
 * wrong.
 */
void eel_entry_gate_report_outcome (struct eel_entry_gate *gate,
                                    uint64_t route,
                                    int missed,
                                    int64_t now_us);
/* Returns 0 when the request is to be refused. */
int eel_entry_gate_admit (struct eel_entry_gate *gate,
                          uint64_t route,
                          uint8_t rank,
                          int64_t now_us,
                          struct eel_rng *rng);
/* Smoothed pressure on the route; 0 when the last report has expired. */
double eel_entry_gate_pressure (const struct eel_entry_gate *gate,
                                uint64_t route,
                                int64_t now_us);
/* Share of the route's requests that is refused at present. */
double eel_entry_gate_refused_share (const struct eel_entry_gate *gate,
                                     uint64_t route);
/* Greatest pressure on the routes that requests of run_route call, by the
 * estimate in costs. */
double eel_entry_gate_downstream_pressure (const struct eel_entry_gate *gate,
                                           const struct eel_call_costs *costs,
                                           uint64_t run_route,
                                           int64_t now_us);

#endif
