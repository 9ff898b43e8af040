#include <cmath>
#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/call_costs.h"
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/types.h"
}

static int
poisson (struct eel_rng *rng, double mean)
{
  double limit = exp (-mean);
  double product = eel_rng_unit (rng);
  int n = 0;

  while (product > limit)
    {
      product *= eel_rng_unit (rng);
      n++;
    }
  return n;
}

// An endpoint runs two routes; only route 2 makes calls, four per run, and
// callers on the VM send requests of route 3 at a rate that varies in phase.
// Guards against attributing the calls of one route to another.
TEST (CallCosts, SeparatesRoutesByTheirVariation)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct eel_call_costs costs;
      struct eel_rng rng;

      eel_rng_init (&rng, seed);
      eel_call_costs_init (&costs);
      for (int64_t step = 0; step < 50; step++)
        {
          double wave = 1 + 0.55 * sin (step / 12.0);
          int checks = poisson (&rng, 3 * wave);
          int lookups = poisson (&rng, 9 * wave);
          int others = poisson (&rng, 4 * wave);

          for (int i = 0; i < checks; i++)
            eel_call_costs_count_run (&costs, 1);
          for (int i = 0; i < lookups; i++)
            eel_call_costs_count_run (&costs, 2);
          for (int i = 0; i < 4 * lookups; i++)
            eel_call_costs_count_call (&costs, 5);
          for (int i = 0; i < others; i++)
            eel_call_costs_count_call (&costs, 3);
          eel_call_costs_tick (&costs, step * 200 * EEL_US_PER_MS);
        }
      EXPECT_LT (eel_call_costs_per_run (&costs, 1, 5), 0.3) << seed;
      EXPECT_NEAR (eel_call_costs_per_run (&costs, 2, 5), 4, 0.5) << seed;
      EXPECT_LT (eel_call_costs_per_run (&costs, 2, 3), 0.3) << seed;
    }
}
