#include <algorithm>
#include <gtest/gtest.h>

#include "fake_upstream.h"

static const int64_t MS = EEL_US_PER_MS;

// Offers short lookups (route 1) and, if with_long, 5% long ones (route 2) at
// 80% of the slots; returns the p99 of the queue wait of the short ones.
static int64_t
short_p99_wait (fake_upstream &fake, uint32_t slots, bool with_long)
{
  double mean_us = 20.0 * MS * (with_long ? 0.95 + 0.05 * 50 : 1);
  double gap_us = mean_us / (slots * 0.8);
  double next_us = 0;
  std::vector<int64_t> waits;

  fake.service_us[1] = 20 * MS;
  fake.service_us[2] = 1000 * MS;
  while (next_us < 30e6)
    {
      fake.run_to (static_cast<int64_t> (next_us));
      bool is_long = with_long && eel_rng_below (&fake.rng, 20) == 0;
      fake.offer (EEL_CLASS_LOOKUP, is_long ? 2 : 1, 20000 * MS,
                  fake.next_id % 64);
      next_us += gap_us * 2 * eel_rng_unit (&fake.rng);
    }
  for (const auto &work : fake.completed)
    if (work.route_hash == 1 && work.arrived_us > 10 * EEL_US_PER_S)
      waits.push_back (work.started_us - work.arrived_us);
  std::sort (waits.begin (), waits.end ());
  return waits[waits.size () * 99 / 100];
}

// Guards against short work that is delayed by work 50 times as long.
TEST (admission_long, short_work_does_not_wait_behind_long_work)
{
  for (uint32_t slots : { 75u, 10u })
    {
      fake_upstream without (fake_config (slots, slots * 2));
      fake_upstream with (fake_config (slots, slots * 2));
      int64_t base_us = short_p99_wait (without, slots, false);

      EXPECT_LE (short_p99_wait (with, slots, true), 2 * std::max (base_us, MS))
          << slots;
      EXPECT_GT (with.admission.long_share, 0.4) << slots;
    }
}

// Guards against slots that stay idle while only long work is offered.
TEST (admission_long, long_work_alone_may_use_all_slots)
{
  fake_upstream fake (fake_config (10));

  short_p99_wait (fake, 10, true);
  fake.run_to (fake.now_us + 20 * EEL_US_PER_S);
  for (int i = 0; i < 20; i++)
    {
      fake.offer (EEL_CLASS_LOOKUP, 2, 60000 * MS);
      fake.run_to (fake.now_us + 10 * MS);
    }
  EXPECT_EQ (fake.admission.in_flight, 10u);
}

// Guards against a long order that is refused or late while short lookups run.
TEST (admission_long, long_orders_start_before_half_their_slack_is_used)
{
  fake_upstream fake (fake_config (10, 40));

  short_p99_wait (fake, 10, true);
  uint64_t dropped = fake.admission.dropped_late[EEL_CLASS_CRITICAL];
  for (int i = 0; i < 300; i++)
    {
      if (i % 10 == 0)
        {
          ASSERT_NE (fake.offer (EEL_CLASS_CRITICAL, 2, 4000 * MS).verdict,
                     EEL_OFFER_REFUSED)
              << i;
        }
      fake.offer (EEL_CLASS_LOOKUP, 1, 500 * MS);
      fake.run_to (fake.now_us + 10 * MS);
    }
  fake.run_to (fake.now_us + 10 * EEL_US_PER_S);
  EXPECT_EQ (fake.admission.dropped_late[EEL_CLASS_CRITICAL], dropped);
  EXPECT_EQ (fake.admission.shed[EEL_CLASS_CRITICAL], 0u);
}
