#include <gtest/gtest.h>

#include "fake_upstream.h"

static const int64_t MS = EEL_US_PER_MS;

// Guards against lookups that start before queued orders, and other work before
// nested calls of its class.
TEST (admission_queue, starts_in_class_order_with_nested_first)
{
  fake_upstream fake (fake_config (1));
  fake.service_us[1] = 10 * MS;
  fake.offer (EEL_CLASS_LOOKUP, 1, 1000 * MS);
  struct
  {
    enum eel_class klass;
    bool nested;
  } offered[] = { { EEL_CLASS_BACKGROUND, false },
                  { EEL_CLASS_LOOKUP, false },
                  { EEL_CLASS_CRITICAL, false },
                  { EEL_CLASS_LOOKUP, true },
                  { EEL_CLASS_CRITICAL, true } };
  for (const auto &o : offered)
    EXPECT_EQ (fake.offer (o.klass, 1, 1000 * MS, 1, o.nested).verdict,
               EEL_OFFER_QUEUED);
  fake.run_to (200 * MS);
  std::vector<uint64_t> ids;
  for (const auto &work : fake.completed)
    ids.push_back (work.id);
  EXPECT_EQ (ids, (std::vector<uint64_t>{ 1, 6, 4, 5, 3, 2 }));
}

// Guards against refusing an order while a lookup is queued or admitted.
TEST (admission_queue, order_is_never_refused_before_a_lookup)
{
  fake_upstream fake (fake_config (2, 10));
  fake.service_us[1] = 50 * MS;
  struct eel_rng rng;
  eel_rng_init (&rng, 3);
  int64_t order_refused_us = -EEL_US_PER_S;

  for (int step = 0; step < 20000; step++)
    {
      fake.run_to (fake.now_us + eel_rng_below (&rng, 10) * MS);
      auto klass = static_cast<enum eel_class> (eel_rng_below (&rng, 3));
      uint32_t below
          = fake.admission.list_queued[2] + fake.admission.list_queued[3]
            + fake.admission.list_queued[4] + fake.admission.list_queued[5];
      auto result = fake.offer (klass, 1, 2000 * MS, eel_rng_below (&rng, 9),
                                eel_rng_below (&rng, 4) == 0);
      if (klass == EEL_CLASS_CRITICAL && result.verdict == EEL_OFFER_REFUSED)
        {
          ASSERT_EQ (below, 0u) << step;
          order_refused_us = fake.now_us;
        }
      if (klass != EEL_CLASS_CRITICAL && result.verdict != EEL_OFFER_REFUSED)
        {
          ASSERT_GE (fake.now_us - order_refused_us, EEL_US_PER_S) << step;
        }
    }
  EXPECT_GT (fake.admission.shed[EEL_CLASS_CRITICAL], 0u);
  EXPECT_GT (fake.admission.started[EEL_CLASS_LOOKUP], 0u);
}

// Guards against running work whose caller has already timed out.
TEST (admission_queue, late_work_is_dropped_before_it_starts)
{
  fake_upstream fake (fake_config (1));
  fake.service_us[1] = 100 * MS;
  for (int i = 0; i < 5; i++)
    {
      fake.offer (EEL_CLASS_LOOKUP, 1, 1000 * MS);
      fake.run_to (fake.now_us + 200 * MS);
    }
  fake.offer (EEL_CLASS_LOOKUP, 1, 1000 * MS);
  fake.offer (EEL_CLASS_LOOKUP, 1, 120 * MS);
  auto too_late = fake.offer (EEL_CLASS_LOOKUP, 1, 10 * MS);
  EXPECT_EQ (too_late.verdict, EEL_OFFER_REFUSED);
  EXPECT_EQ (too_late.error, EEL_ERROR_DEADLINE);
  fake.run_to (fake.now_us + 1000 * MS);
  ASSERT_EQ (fake.dropped.size (), 1u);
  EXPECT_EQ (fake.dropped[0].id, 7u);
  EXPECT_EQ (fake.completed.size (), 6u);
}

// Guards against an estimate that stays high after the upstream has recovered.
TEST (admission_queue, trials_relearn_a_route_that_was_too_slow)
{
  fake_upstream fake (fake_config (10));
  fake.service_us[1] = 20 * MS;
  fake.slowdown = 50;
  for (int i = 0; i < 400; i++)
    {
      fake.offer (EEL_CLASS_LOOKUP, 1, 300 * MS);
      fake.run_to (fake.now_us + 10 * MS);
    }
  EXPECT_LT (fake.admission.started[EEL_CLASS_LOOKUP], 100u);
  fake.slowdown = 1;
  fake.run_to (fake.now_us + 1000 * MS);
  uint64_t before = fake.admission.started[EEL_CLASS_LOOKUP];
  for (int i = 0; i < 200; i++)
    {
      fake.offer (EEL_CLASS_LOOKUP, 1, 300 * MS);
      fake.run_to (fake.now_us + 10 * MS);
    }
  EXPECT_GT (fake.admission.started[EEL_CLASS_LOOKUP] - before, 100u);
}

// Guards against serving old lookups first, which makes all new ones late.
TEST (admission_queue, lookups_are_served_newest_first_above_the_target)
{
  fake_upstream fake (fake_config (1, 20));
  fake.service_us[1] = 20 * MS;
  for (int i = 0; i < 100; i++)
    {
      fake.offer (EEL_CLASS_LOOKUP, 1, 2000 * MS);
      fake.run_to (fake.now_us + 10 * MS);
    }
  const struct eel_work_item &last = fake.completed.back ();
  EXPECT_LT (last.started_us - last.arrived_us, 30 * MS);
  // Old lookups are refused while their callers still have time to retry.
  ASSERT_FALSE (fake.dropped.empty ());
  EXPECT_GT (fake.dropped[0].deadline_us, fake.now_us);
}

// Guards against one caller that occupies the queue and slots of the others.
TEST (admission_queue, a_flooding_caller_leaves_room_for_others)
{
  struct eel_admission_config config = fake_config (4, 40);
  config.caller_share_percent = 25;
  fake_upstream fake (config);
  fake.service_us[1] = 10 * MS;
  std::map<uint32_t, uint32_t> completed;

  for (int i = 0; i < 4000; i++)
    {
      for (int k = 0; k < 8; k++)
        fake.offer (EEL_CLASS_LOOKUP, 1, 200 * MS, 1);
      fake.offer (EEL_CLASS_LOOKUP, 1, 200 * MS, 2 + i % 4);
      fake.run_to (fake.now_us + 5 * MS);
    }
  for (const auto &work : fake.completed)
    completed[work.caller_hash]++;
  for (uint32_t caller = 2; caller < 6; caller++)
    EXPECT_GT (completed[caller], 900u) << caller;
  EXPECT_GT (fake.completed.size (), 7000u);
}

// Guards against queue entries that leak on cancellation.
TEST (admission_queue, removed_work_frees_its_entry)
{
  fake_upstream fake (fake_config (1, 4));
  fake.service_us[1] = 10 * MS;
  fake.offer (EEL_CLASS_LOOKUP, 1, 1000 * MS);
  for (int i = 0; i < 1000; i++)
    {
      uint64_t id = fake.next_id;
      ASSERT_EQ (fake.offer (EEL_CLASS_CRITICAL, 1, 1000 * MS).verdict,
                 EEL_OFFER_QUEUED);
      ASSERT_EQ (eel_admission_remove (&fake.admission, id), 1);
      ASSERT_EQ (eel_admission_remove (&fake.admission, id), 0);
    }
  EXPECT_EQ (fake.admission.queued, 0u);
}
