#include "eelgrasslatch/fault_rate.h"

#include <math.h>
#include <string.h>

/* Time constant of the sums. */
#define WINDOW_US (2.0 * 1000.0 * 1000.0)
/* Sound runs that are assumed, so that one fault of a few runs counts little.
 */
#define ASSUMED_SOUND_RUNS 4.0

void
eel_fault_rate_init (struct eel_fault_rate *rate)
{
  memset (rate, 0, sizeof *rate);
}

static double
decay (const struct eel_fault_rate *rate, int64_t now_us)
{
  return now_us > rate->at_us ? exp ((double)(rate->at_us - now_us) / WINDOW_US)
                              : 1;
}

void
eel_fault_rate_record (struct eel_fault_rate *rate, int faulty, int64_t now_us)
{
  double kept = decay (rate, now_us);

  rate->runs = rate->runs * kept + 1;
  rate->faults = rate->faults * kept + (faulty ? 1 : 0);
  rate->at_us = now_us;
}

uint32_t
eel_fault_rate_milli (const struct eel_fault_rate *rate, int64_t now_us)
{
  double kept = decay (rate, now_us);

  return (uint32_t)(1000 * rate->faults * kept
                    / (rate->runs * kept + ASSUMED_SOUND_RUNS));
}
