#include <gtest/gtest.h>

#include "fake_upstream.h"

static const int64_t MS = EEL_US_PER_MS;

// Offers lookups at a constant rate for for_us.
static void
drive (fake_upstream &fake, double per_s, int64_t for_us)
{
  int64_t end_us = fake.now_us + for_us;
  double next_us = static_cast<double> (fake.now_us);

  while (next_us < static_cast<double> (end_us))
    {
      fake.run_to (static_cast<int64_t> (next_us));
      fake.offer (EEL_CLASS_LOOKUP, 1, 1000 * MS);
      next_us += 1e6 / per_s;
    }
  fake.run_to (end_us);
}

// Guards against a limit that collapses, exceeds the slots, or stays low when
// only the service time has changed.
TEST (admission_limit, follows_true_slots_not_service_time)
{
  struct
  {
    const char *name;
    uint32_t slots;
    uint32_t true_slots;
    bool refuses;
    double slowdown;
    double least;
    double most;
  } cases[] = {
    { "same speed", 75, 1000, true, 1, 75, 75 },
    { "10x slower", 75, 1000, true, 10, 60, 75 },
    { "3x slower", 10, 1000, true, 3, 8, 10 },
    { "fewer slots, refuses", 75, 40, true, 1, 25, 50 },
    { "fewer slots, queues", 75, 40, false, 1, 30, 72 },
  };

  for (const auto &c : cases)
    {
      fake_upstream fake (fake_config (c.slots));
      double lowest = c.slots;

      fake.service_us[1] = 20 * MS;
      drive (fake, c.slots * 50 * 0.4, 5 * EEL_US_PER_S);
      fake.slowdown = c.slowdown;
      fake.true_slots = c.true_slots;
      fake.refuses = c.refuses;
      for (int i = 0; i < 200; i++)
        {
          drive (fake, c.slots * 50 * 1.5, 100 * MS);
          ASSERT_LE (fake.admission.limit, c.slots) << c.name;
          ASSERT_LE (fake.admission.in_flight, c.slots) << c.name;
          if (fake.admission.limit < lowest)
            lowest = fake.admission.limit;
        }
      EXPECT_GE (lowest, c.least * 0.99) << c.name;
      EXPECT_LE (fake.admission.limit, c.most) << c.name;
      fake.slowdown = 1;
      fake.true_slots = 1000;
      drive (fake, c.slots * 50 * 1.5, 5 * EEL_US_PER_S);
      EXPECT_EQ (fake.admission.limit, c.slots) << c.name;
    }
}

// Guards against slots that stay occupied after a failure or time-out.
TEST (admission_limit, slots_return_after_failures_and_timeouts)
{
  enum eel_work_result results[]
      = { EEL_WORK_OK, EEL_WORK_REFUSED, EEL_WORK_FAILED, EEL_WORK_TIMED_OUT,
          EEL_WORK_CANCELLED };

  for (enum eel_work_result result : results)
    {
      fake_upstream fake (fake_config (4));

      for (int i = 0; i < 1000; i++)
        {
          struct eel_work_item work = {};
          work.deadline_us = fake.now_us + 100 * MS;
          if (eel_admission_offer (&fake.admission, &work, fake.now_us).verdict
              != EEL_OFFER_START)
            continue;
          fake.now_us += MS;
          eel_admission_done (&fake.admission, &work, result, fake.now_us);
        }
      EXPECT_EQ (fake.admission.in_flight, 0u) << result;
      EXPECT_GE (fake.admission.limit, 1) << result;
      EXPECT_GT (fake.admission.started[EEL_CLASS_CRITICAL], 900u) << result;
    }
}
