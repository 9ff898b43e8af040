#include <cmath>
#include <gtest/gtest.h>
#include <queue>
#include <vector>

extern "C"
{
#include "eelgrasslatch/gate.h"
#include "eelgrasslatch/knee.h"
#include "eelgrasslatch/rng.h"
}

namespace
{
constexpr int64_t MS = EEL_US_PER_MS;
constexpr uint32_t FULL = 32;
constexpr uint32_t KNEE = 27;

// Requests that arrive at random at one endpoint and wait for its limit.
struct endpoint
{
  struct run
  {
    int64_t end_us;
    int64_t started_us;
    uint32_t running;
    double ratio;
    bool
    operator<(const run &other) const
    {
      return end_us > other.end_us;
    }
  };

  struct eel_knee knee;
  struct eel_rng rng;
  std::priority_queue<run> runs;
  int64_t now_us = EEL_US_PER_S;
  int64_t next_us = now_us;
  uint32_t waiting = 0;
  uint32_t ended = 0;
  // Of all runs, and of those that begin above the knee.
  double factor = 1;
  double knee_factor = 1;
  // Times of runs without a knee, in the mean.
  double work_ms = 100;
  // Arrivals, as a share of what the full limit can do.
  double use = 0.8;
  bool learns = true;

  explicit endpoint (uint64_t seed)
  {
    eel_rng_init (&rng, seed);
    eel_knee_init (&knee, FULL);
  }

  uint32_t
  limit ()
  {
    return learns ? eel_knee_start_limit (&knee, now_us) : FULL;
  }

  void
  start ()
  {
    while (waiting > 0 && runs.size () < limit ())
      {
        uint32_t running = (uint32_t)runs.size () + 1;
        double ratio = factor * (0.5 + eel_rng_unit (&rng))
                       * (running > KNEE ? knee_factor : 1);

        waiting--;
        runs.push ({ now_us + (int64_t)(ratio * work_ms * MS), now_us, running,
                     ratio });
      }
  }

  void
  play (double seconds)
  {
    const int64_t until_us = now_us + (int64_t)(seconds * 1e6);

    while (now_us < until_us)
      {
        if (runs.empty () || next_us <= runs.top ().end_us)
          {
            now_us = next_us;
            next_us += (int64_t)(-log (1 - eel_rng_unit (&rng)) * work_ms * MS
                                 / (use * FULL));
            waiting += waiting < 100;
          }
        else
          {
            const run run = runs.top ();

            runs.pop ();
            now_us = run.end_us;
            ended++;
            if (learns)
              eel_knee_record (&knee, run.running, run.started_us, run.ratio,
                               now_us);
          }
        start ();
      }
  }
};
}

// From 28 of 32 runs on each takes 1.3 times as long: learned within seconds,
// and forgotten when that ends.
TEST (Knee, LimitIsLoweredToTheKneeAndRaisedAgain)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      endpoint endpoint (seed);

      endpoint.knee_factor = 1.3;
      endpoint.play (20);
      EXPECT_NEAR (eel_knee_limit (&endpoint.knee), KNEE, 1) << seed;
      endpoint.knee_factor = 1;
      endpoint.play (90);
      EXPECT_EQ (eel_knee_limit (&endpoint.knee), FULL) << seed;
    }
}

// More is done with it: at most 1.097 of what the full limit does.
TEST (Knee, OverloadedEndpointGetsMoreDone)
{
  uint32_t learned = 0;
  uint32_t full = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      endpoint endpoint (seed);
      struct endpoint other (seed);

      endpoint.knee_factor = other.knee_factor = 1.3;
      endpoint.use = other.use = 0.9;
      endpoint.play (60);
      learned += endpoint.ended;
      other.learns = false;
      other.play (60);
      full += other.ended;
    }
  printf ("ended %u, with the full limit %u\n", learned, full);
  EXPECT_GE (learned, 1.04 * full);
}

TEST (Knee, EndpointWithoutAKneeKeepsItsLimit)
{
  uint32_t lowered = 0;

  for (double use : { 0.5, 0.8, 0.95, 1.2 })
    for (uint64_t seed = 1; seed <= 20; seed++)
      {
        endpoint endpoint (seed);

        endpoint.use = use;
        for (int i = 0; i < 40; i++)
          {
            endpoint.play (1);
            lowered += eel_knee_limit (&endpoint.knee) < FULL;
            EXPECT_GE (eel_knee_limit (&endpoint.knee), FULL * 7 / 8)
                << use << " " << seed;
          }
      }
  // Of 3,200 seconds.
  printf ("lowered by less than an eighth in %u of 3200 s\n", lowered);
  EXPECT_LE (lowered, 64u);
}

// Times of all runs change for another cause, and the number of runs follows:
// moments in which runs take 2.5 times as long, and calls that wait elsewhere.
TEST (Knee, SlownessOfOtherCausesIsNoKnee)
{
  for (double share : { 0.15, 0.5 })
    for (double use : { 0.5, 0.7 })
      {
        uint32_t lowered = 0;

        for (uint64_t seed = 1; seed <= 20; seed++)
          {
            endpoint endpoint (seed);

            endpoint.use = use;
            for (int i = 0; i < 40; i++)
              {
                endpoint.factor = 2.5;
                endpoint.play (0.6);
                endpoint.factor = 1;
                endpoint.play (0.6 / share - 0.6);
                lowered += eel_knee_limit (&endpoint.knee) < FULL * 7 / 8;
              }
          }
        printf ("slow for %.2f, use %.2f: lowered at the end of %u of 800\n",
                share, use, lowered);
        EXPECT_LE (lowered, share < 0.2 ? 8u : 80u) << share << " " << use;
      }
}

TEST (Knee, AnotherNumberOfSlotsIsLearnedAnew)
{
  endpoint endpoint (1);

  endpoint.knee_factor = 1.3;
  endpoint.play (30);
  ASSERT_LT (eel_knee_limit (&endpoint.knee), FULL);
  eel_knee_set_full (&endpoint.knee, FULL);
  EXPECT_LT (eel_knee_limit (&endpoint.knee), FULL);
  eel_knee_set_full (&endpoint.knee, 2 * FULL);
  EXPECT_EQ (eel_knee_limit (&endpoint.knee), 2 * FULL);
}

TEST (Knee, EndpointOfFewSlotsKeepsOne)
{
  for (uint32_t full = 0; full < 6; full++)
    {
      struct eel_knee knee;
      struct eel_rng rng;

      eel_rng_init (&rng, full + 1);
      eel_knee_init (&knee, full);
      for (int64_t now_us = 0; now_us < 60 * EEL_US_PER_S; now_us += 10 * MS)
        {
          uint32_t running = 1 + (uint32_t)eel_rng_below (&rng, full + 2);

          eel_knee_record (&knee, running, now_us - 5 * MS, running, now_us);
          EXPECT_GE (eel_knee_limit (&knee), 1u);
          EXPECT_GE (eel_knee_start_limit (&knee, now_us), 1u);
          EXPECT_LE (eel_knee_limit (&knee), full > 0 ? full : 1);
        }
    }
}

// A request that waits since a lower limit is tried starts soon after that.
TEST (Knee, GateKeepsToALoweredLimitAndLooksAgain)
{
  struct eel_gate gate;
  struct eel_gate_item next;
  const struct eel_gate_item item
      = { 0, 0, 9 * EEL_US_PER_S, 9 * EEL_US_PER_S, nullptr };

  eel_gate_init (&gate, 10);
  ASSERT_EQ (gate.limit, 9u);
  eel_gate_set_limit (&gate, 8, 7);
  for (int i = 0; i < 7; i++)
    ASSERT_EQ (eel_gate_offer (&gate, &item, 0), EEL_GATE_START);
  ASSERT_EQ (eel_gate_offer (&gate, &item, 0), EEL_GATE_QUEUE);
  EXPECT_LE (eel_gate_next_change_us (&gate, 0), 100 * MS);
  EXPECT_EQ (eel_gate_next (&gate, &next, 0), EEL_GATE_QUEUE);
  eel_gate_set_limit (&gate, 8, 8);
  EXPECT_EQ (eel_gate_next (&gate, &next, 0), EEL_GATE_START);
  EXPECT_EQ (eel_gate_offer (&gate, &item, 0), EEL_GATE_QUEUE);
  // Only the full limit bounds what may be set; new slots end it.
  eel_gate_set_limit (&gate, 99, 0);
  EXPECT_EQ (gate.limit, 9u);
  EXPECT_EQ (gate.start_limit, 1u);
  eel_gate_set_slots (&gate, 20);
  EXPECT_EQ (gate.limit, 19u);
  EXPECT_EQ (gate.start_limit, 19u);
}
