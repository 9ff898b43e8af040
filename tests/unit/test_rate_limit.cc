#include <cmath>
#include <gtest/gtest.h>
#include <vector>

extern "C"
{
#include "eelgrasslatch/gate.h"
#include "eelgrasslatch/rng.h"
}

static const int64_t window_us = 4 * EEL_US_PER_S;

// The greatest number of requests within any window.
static size_t
most_in_window (const std::vector<int64_t> &taken_us)
{
  size_t most = 0;
  size_t first = 0;

  for (size_t last = 0; last < taken_us.size (); last++)
    {
      while (taken_us[last] - taken_us[first] > window_us)
        first++;
      most = std::max (most, last - first + 1);
    }
  return most;
}

// Guards against more requests in some 4 s than an endpoint said it takes; the
// users' bound is one and a half times that and 5 more.
TEST (RateLimit, AnyFourSecondsKeepToTheRate)
{
  for (double per_s : { 0.0, 0.2, 0.7, 1.0, 3.3, 24.2, 400.0 })
    for (uint64_t seed = 1; seed <= 5; seed++)
      {
        struct eel_rate_limit limit;
        struct eel_rng rng;
        std::vector<int64_t> taken_us;
        int64_t now_us = 0;

        eel_rng_init (&rng, seed);
        eel_rate_limit_init (&limit);
        eel_rate_limit_set (&limit, per_s, 0);
        while (now_us < 60 * EEL_US_PER_S)
          {
            // Bursts and pauses.
            now_us += eel_rng_below (&rng, 50) == 0
                          ? eel_rng_below (&rng, 3000000)
                          : eel_rng_below (&rng, 4000);
            if (eel_rate_limit_take (&limit, now_us))
              taken_us.push_back (now_us);
          }
        EXPECT_LE (most_in_window (taken_us), 1.5 * 4 * per_s + 5) << per_s;
        EXPECT_GE (taken_us.size (), 10u) << per_s;
      }
}

// Guards against a limit that outlives the words of the endpoint, and against
// tokens of a greater rate that are spent after it has fallen.
TEST (RateLimit, FollowsARateThatFallsRisesAndEnds)
{
  struct eel_rate_limit limit;
  size_t taken = 0;

  eel_rate_limit_init (&limit);
  for (int i = 0; i < 1000; i++)
    EXPECT_TRUE (eel_rate_limit_take (&limit, i));
  EXPECT_EQ (eel_rate_limit_wait_us (&limit, 100, 1000), 0);
  eel_rate_limit_set (&limit, 400, 1000);
  eel_rate_limit_set (&limit, 2, 2 * EEL_US_PER_S);
  for (int64_t ms = 2000; ms < 6000; ms++)
    taken += (size_t)eel_rate_limit_take (&limit, ms * EEL_US_PER_MS);
  EXPECT_LE (taken, 9u);
  EXPECT_GE (eel_rate_limit_wait_us (&limit, 3, 6 * EEL_US_PER_S),
             1500 * EEL_US_PER_MS);
  eel_rate_limit_set (&limit, EEL_RATE_UNLIMITED, 6 * EEL_US_PER_S);
  for (int i = 0; i < 1000; i++)
    EXPECT_TRUE (eel_rate_limit_take (&limit, 6 * EEL_US_PER_S));
}

// Guards against limits made from bytes that are none.
TEST (RateLimit, OnlyDecimalNumbersAreLimits)
{
  const struct
  {
    const char *text;
    double per_s;
  } cases[] = {
    { "24.2", 24.2 },
    { "0", 0 },
    { "0.5", 0.5 },
    { ".5", 0.5 },
    { "7.", 7 },
    { "12 ", 12 },
    { "1e9", -1 },
    { "", -1 },
    { " ", -1 },
    { ".", -1 },
    { "..", -1 },
    { "1.2.3", -1 },
    { "-1", -1 },
    { "+1", -1 },
    { "nan", -1 },
    { "inf", -1 },
    { "0x10", -1 },
    { "1 2", -1 },
    { "1,5", -1 },
    { "5;x", -1 },
    { "99999999999999999999999999999999", EEL_RATE_MAX },
  };

  for (const auto &each : cases)
    {
      double per_s = -1;

      EXPECT_EQ (eel_rate_limit_parse (each.text, &per_s), each.per_s >= 0)
          << each.text;
      EXPECT_DOUBLE_EQ (per_s, each.per_s) << each.text;
    }
}

static struct eel_gate_item
item (uint8_t rank, int64_t deadline_ms, intptr_t owner)
{
  return { rank, 0, deadline_ms * EEL_US_PER_MS, deadline_ms * EEL_US_PER_MS,
           reinterpret_cast<void *> (owner) };
}

// Guards against lookups that use up a limit before orders, against requests
// that are held although the limit leaves no time for them, and against a gate
// that does not say when it has to be asked again.
TEST (RateLimit, GateStartsByRankAsTheLimitAllows)
{
  struct eel_gate gate;
  struct eel_gate_item next;
  struct eel_gate_item items[] = { item (2, 2000, 1), item (2, 2000, 2),
                                   item (0, 2000, 3), item (2, 300, 4) };
  int64_t now_us = 0;

  eel_gate_init (&gate, 100);
  gate.last_rank = 2;
  eel_rate_limit_set (&gate.rate, 2, 0);
  EXPECT_EQ (eel_gate_offer (&gate, &items[0], 0), EEL_GATE_START);
  EXPECT_EQ (eel_gate_offer (&gate, &items[1], 0), EEL_GATE_QUEUE);
  EXPECT_EQ (eel_gate_offer (&gate, &items[2], 0), EEL_GATE_QUEUE);
  EXPECT_EQ (eel_gate_offer (&gate, &items[3], 0), EEL_GATE_REFUSE);
  EXPECT_EQ (eel_gate_next (&gate, &next, 0), EEL_GATE_QUEUE);
  for (intptr_t owner : { 3, 2 })
    {
      EXPECT_EQ (eel_gate_next_change_us (&gate, now_us), 500 * EEL_US_PER_MS);
      now_us += 500 * EEL_US_PER_MS;
      ASSERT_EQ (eel_gate_next (&gate, &next, now_us), EEL_GATE_START);
      EXPECT_EQ (reinterpret_cast<intptr_t> (next.owner), owner);
    }
  EXPECT_EQ (eel_gate_next_change_us (&gate, now_us), 0);
  // A used up limit counts as full.
  EXPECT_GE (eel_rate_limit_use_milli (&gate.rate, 0, now_us), 900u);
}
