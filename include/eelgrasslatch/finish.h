#ifndef EELGRASSLATCH_FINISH_H
#define EELGRASSLATCH_FINISH_H

#include <stdint.h>

#include "eelgrasslatch/directory.h"

/*
 * Compares the endpoints of one service by when a run of a route that is sent
 * there now would end: by the use of their slots, and by the time of the run at
 * the endpoint's present speed.  Among equally fast endpoints the order is that
 * of their use, and so it is while all of them have queues.
 *
 * What a report says of the use and of a moment's speed counts for less as it
 * ages; what it says of the usual time of a route holds for seconds.  An
 * endpoint of which the latter isn't known counts as fast as the fastest until
 * this sender has a request there, then as the mean.
 */

struct eel_finish_view
{
  uint64_t route;
  int64_t now_us;
  /* Assumed use of an endpoint without a fresh report, in thousandths. */
  uint32_t assumed_use_milli;
  /* Least and mean usual time of the route; 0: unknown. */
  int64_t least_run_us;
  int64_t mean_run_us;
  uint32_t known;
  /* Sum of the fresh reports of use. */
  uint64_t use_sum_milli;
  uint32_t reports;
};

void eel_finish_view_init (struct eel_finish_view *view,
                           uint64_t route,
                           uint32_t assumed_use_milli,
                           int64_t now_us);
/* Adds what is known of an endpoint of the service. */
void eel_finish_view_add (struct eel_finish_view *view,
                          const struct eel_instance *instance);
/* Use of the limit, in thousandths, with what this sender has sent since the
   report. */
uint32_t eel_finish_use_milli (const struct eel_finish_view *view,
                               const struct eel_instance *instance);
/* Part of the reported use that has been replaced by an assumption, in
   thousandths. */
uint32_t eel_finish_doubt_milli (const struct eel_finish_view *view,
                                 const struct eel_instance *instance);
/* Present speed relative to the endpoint's usual one, in thousandths. */
uint32_t eel_finish_speed_milli (const struct eel_finish_view *view,
                                 const struct eel_instance *instance);
/* Cost of sending a request there; 1000 is that of a full endpoint as fast as
   the fastest, or of an idle one that takes twice as long. */
uint64_t eel_finish_cost_milli (const struct eel_finish_view *view,
                                const struct eel_instance *instance);
/* Records the time of a route that a report has told. */
void eel_finish_record (struct eel_instance *instance,
                        const struct eel_instance_report *report,
                        int64_t now_us);

#endif
