#ifndef EELGRASSLATCH_STOP_PLAN_H
#define EELGRASSLATCH_STOP_PLAN_H

#include <stdint.h>

/*
 * When a process that is stopped as planned does what.  It is killed at the end
 * of its grace period, so that it must neither take a request that it can't
 * finish nor keep one that others could serve.
 *
 * Made for fleets that ask each second whether a node is ready and send nothing
 * more after two answers that it is not.
 */

enum eel_stop_phase
{
  /* Requests are served as before. */
  EEL_STOP_SERVING,
  /* New requests are refused unless a request still runs beside this node: its
     endpoint may call other services. */
  EEL_STOP_DRAINING,
  /* No request that is not at an endpoint yet is sent to one. */
  EEL_STOP_REFUSING,
  /* Requests without an answer are answered by this node. */
  EEL_STOP_ENDING,
  EEL_STOP_EXITING
};

/* Times are since the request to stop. */
struct eel_stop_plan
{
  int64_t drain_us;
  int64_t refuse_us;
  int64_t end_us;
  int64_t exit_us;
};

void eel_stop_plan_init (struct eel_stop_plan *plan, int64_t grace_us);
enum eel_stop_phase eel_stop_plan_phase (const struct eel_stop_plan *plan,
                                         int64_t elapsed_us);

#endif
