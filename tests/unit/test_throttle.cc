#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/admission.h"
#include "eelgrasslatch/rng.h"
}

static const int64_t WINDOW_US = 250 * EEL_US_PER_MS;

// An entry node whose endpoints serve a number of requests per 10 ms, in class
// order.
struct fake_entry
{
  struct eel_throttle throttle;
  struct eel_throttle_route routes[8];
  struct eel_rng rng;
  int64_t now_us = EEL_US_PER_S;
  uint32_t offered[EEL_CLASS_COUNT] = {};
  uint32_t entered[EEL_CLASS_COUNT] = {};

  fake_entry ()
  {
    eel_rng_init (&rng, 11);
    eel_throttle_init (&throttle, routes, 8, WINDOW_US);
  }

  // Offers demand[klass] requests of each class per 10 ms, of which the first
  // fit that are admitted succeed.
  void
  run (int64_t for_us, const uint32_t (&demand)[EEL_CLASS_COUNT], uint32_t fit)
  {
    for (int k = 0; k < EEL_CLASS_COUNT; k++)
      offered[k] = entered[k] = 0;
    for (int64_t end_us = now_us + for_us; now_us < end_us;
         now_us += 10 * EEL_US_PER_MS)
      {
        uint32_t left = fit;

        for (int k = 0; k < EEL_CLASS_COUNT; k++)
          for (uint32_t i = 0; i < demand[k]; i++)
            {
              auto klass = static_cast<enum eel_class> (k);

              offered[k]++;
              if (!eel_throttle_admit (&throttle, 1, klass, now_us, &rng))
                continue;
              entered[k]++;
              eel_throttle_report_outcome (&throttle, 1, klass, left == 0,
                                           now_us);
              left -= left > 0;
            }
      }
  }
};

// Guards against admitting requests that will fail downstream, and against
// refusing a class before less important ones.
TEST (throttle, refuses_background_then_lookups_then_orders)
{
  struct
  {
    const char *name;
    uint32_t fit;
    // Bounds of the admitted share of each class.
    double least[EEL_CLASS_COUNT];
    double most[EEL_CLASS_COUNT];
  } cases[] = {
    { "all fit", 60, { 1, 1, 1 }, { 1, 1, 1 } },
    { "background does not fit", 40, { 1, 0.99, 0 }, { 1, 1, 0.5 } },
    { "half of the lookups fit", 25, { 0.99, 0.45, 0 }, { 1, 0.8, 0.1 } },
    { "half of the orders fit", 5, { 0.45, 0, 0 }, { 0.8, 0.1, 0.1 } },
  };

  for (const auto &c : cases)
    {
      fake_entry entry;

      entry.run (4 * EEL_US_PER_S, { 10, 30, 10 }, c.fit);
      entry.run (4 * EEL_US_PER_S, { 10, 30, 10 }, c.fit);
      for (int k = 0; k < EEL_CLASS_COUNT; k++)
        {
          double share = double (entry.entered[k]) / entry.offered[k];

          EXPECT_GE (share, c.least[k]) << c.name << " class " << k;
          EXPECT_LE (share, c.most[k]) << c.name << " class " << k;
        }
    }
}

// Guards against refusals that continue after the overload has ended.
TEST (throttle, opens_within_two_seconds_after_total_failure)
{
  fake_entry entry;

  entry.run (10 * EEL_US_PER_S, { 10, 30, 10 }, 0);
  EXPECT_LT (entry.entered[EEL_CLASS_LOOKUP],
             entry.offered[EEL_CLASS_LOOKUP] / 50);
  entry.run (2 * EEL_US_PER_S, { 10, 30, 10 }, 60);
  entry.run (EEL_US_PER_S, { 10, 30, 10 }, 60);
  for (int k = 0; k < EEL_CLASS_COUNT; k++)
    EXPECT_GE (entry.entered[k], entry.offered[k] * 0.95) << k;
}

// Guards against refusals on a route because of failures on another one.
TEST (throttle, routes_are_independent)
{
  fake_entry entry;

  entry.run (4 * EEL_US_PER_S, { 10, 30, 10 }, 0);
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (eel_throttle_admit (&entry.throttle, 2, EEL_CLASS_BACKGROUND,
                                   entry.now_us, &entry.rng),
               1);
}
