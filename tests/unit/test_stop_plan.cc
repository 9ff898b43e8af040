#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/stop_plan.h"
#include "eelgrasslatch/types.h"
}

// A timer may be late by its interval, and a signal by a turn of the processor.
#define LATE_US (150 * EEL_US_PER_MS)
// Requests sent later may not be cut off at the end of the grace period.
#define TAKEN_MAX_US (3 * EEL_US_PER_S)

// Guards against requests that are taken late in a grace period and cut off at
// its end, and against a process that is killed while it still takes some.
TEST (StopPlan, EachPhaseEndsInTime)
{
  for (int64_t grace_ms = 500; grace_ms <= 10000; grace_ms += 250)
    {
      int64_t grace_us = grace_ms * EEL_US_PER_MS;
      struct eel_stop_plan plan;
      enum eel_stop_phase last = EEL_STOP_SERVING;

      eel_stop_plan_init (&plan, grace_us);
      EXPECT_LE (plan.refuse_us + LATE_US, TAKEN_MAX_US) << grace_ms;
      EXPECT_LE (plan.refuse_us, grace_us / 2) << grace_ms;
      EXPECT_LT (plan.end_us, plan.exit_us) << grace_ms;
      EXPECT_LT (plan.exit_us, grace_us) << grace_ms;
      for (int64_t at_us = 0; at_us <= grace_us; at_us += EEL_US_PER_MS)
        {
          enum eel_stop_phase phase = eel_stop_plan_phase (&plan, at_us);

          EXPECT_GE (phase, last) << grace_ms << " " << at_us;
          EXPECT_LE (phase, last + 1) << grace_ms << " " << at_us;
          last = phase;
        }
      EXPECT_EQ (last, EEL_STOP_EXITING) << grace_ms;
    }
}

// Guards against a stop that refuses callers before the fleet knows of it.
TEST (StopPlan, ServesUntilTwoReadinessChecksHaveFailed)
{
  struct eel_stop_plan plan;

  for (int64_t grace_s : { 6, 8, 10 })
    {
      eel_stop_plan_init (&plan, grace_s * EEL_US_PER_S);
      EXPECT_EQ (eel_stop_plan_phase (&plan, 2400 * EEL_US_PER_MS),
                 EEL_STOP_SERVING);
    }
}
