#include "eelgrasslatch/stop_plan.h"

#include "eelgrasslatch/types.h"

/* Two readiness checks, a second apart, have failed by then. */
#define DRAIN_US (2500 * EEL_US_PER_MS)
/* Requests sent up to 3 s after the request to stop may take longer than the
   rest of the grace period; later ones must not be taken.  The difference is
   for a late signal and a late timer. */
#define REFUSE_US (2750 * EEL_US_PER_MS)
/* For the answers that are written last, and for the exit. */
#define EXIT_MARGIN_US (200 * EEL_US_PER_MS)

static int64_t
least (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* A grace period under 6 s shortens every phase alike. */
void
eel_stop_plan_init (struct eel_stop_plan *plan, int64_t grace_us)
{
  *plan = (struct eel_stop_plan){
    .drain_us = least (DRAIN_US, grace_us * 5 / 12),
    .refuse_us = least (REFUSE_US, grace_us * 11 / 24),
    .end_us = grace_us * 5 / 6,
    .exit_us = grace_us - least (EXIT_MARGIN_US, grace_us / 20),
  };
}

enum eel_stop_phase
eel_stop_plan_phase (const struct eel_stop_plan *plan, int64_t elapsed_us)
{
  if (elapsed_us >= plan->exit_us)
    return EEL_STOP_EXITING;
  if (elapsed_us >= plan->end_us)
    return EEL_STOP_ENDING;
  if (elapsed_us >= plan->refuse_us)
    return EEL_STOP_REFUSING;
  return elapsed_us >= plan->drain_us ? EEL_STOP_DRAINING : EEL_STOP_SERVING;
}
