#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <vector>

extern "C"
{
#include "eelgrasslatch/types.h"
#include "preset/read_schedule.h"
}

namespace
{

constexpr int nodes = 2100;
constexpr int64_t step_us = 50000;
constexpr int steps_per_s = EEL_US_PER_S / step_us;

// Delay and success of a call to the platform.
struct answer
{
  int64_t delay_us;
  bool succeeds;
};
using platform = std::function<answer (enum eel_read, int64_t)>;

struct pending_call
{
  int64_t at_us;
  bool succeeds;
};

// Runs the whole fleet and returns the calls of each step.
std::vector<int>
run (int seconds,
     const std::function<bool (int, int64_t)> &reader,
     const platform &answers,
     uint64_t seed)
{
  std::vector<struct eel_read_schedule> schedules (nodes);
  std::vector<pending_call> pending_calls (nodes * EEL_READ_COUNT,
                                           { -1, false });
  std::vector<int> calls;
  struct eel_rng rng;

  eel_rng_init (&rng, seed);
  for (auto &s : schedules)
    eel_read_schedule_init (&s, 0, &rng);
  for (int64_t now = 0; now < seconds * EEL_US_PER_S; now += step_us)
    {
      calls.push_back (0);
      for (int i = 0; i < nodes; i++)
        {
          enum eel_read read;

          for (int k = 1; k < EEL_READ_COUNT; k++)
            {
              pending_call &p = pending_calls[i * EEL_READ_COUNT + k];

              if (p.at_us < 0 || p.at_us > now)
                continue;
              p.at_us = -1;
              if (p.succeeds)
                eel_read_schedule_record_version (&schedules[i], 1);
              eel_read_schedule_done (&schedules[i],
                                      static_cast<enum eel_read> (k),
                                      p.succeeds, now, &rng);
            }
          eel_read_schedule_set_reader (&schedules[i], reader (i, now), now,
                                        &rng);
          while ((read = eel_read_schedule_next (&schedules[i], now))
                 != EEL_READ_NONE)
            {
              answer a = answers (read, now);

              calls.back ()++;
              pending_calls[i * EEL_READ_COUNT + read]
                  = { now + a.delay_us, a.succeeds };
            }
        }
    }
  return calls;
}

// Highest rate over any window of that many seconds from a time on.
double
peak (const std::vector<int> &calls, int window_s, int from_s)
{
  int sum = 0;
  int max_sum = 0;
  size_t window = static_cast<size_t> (window_s) * steps_per_s;

  for (size_t i = static_cast<size_t> (from_s) * steps_per_s; i < calls.size ();
       i++)
    {
      sum += calls[i];
      if (i >= window + static_cast<size_t> (from_s) * steps_per_s)
        sum -= calls[i - window];
      max_sum = std::max (max_sum, sum);
    }
  return static_cast<double> (max_sum) / window_s;
}

answer
answering (enum eel_read read, int64_t)
{
  return { read == EEL_READ_WATCH ? 10 * EEL_US_PER_S : 5000, true };
}

answer
changing (enum eel_read read, int64_t now)
{
  return { read == EEL_READ_WATCH ? 5 * EEL_US_PER_S - now % (5 * EEL_US_PER_S)
                                  : 5000,
           true };
}

answer refusing (enum eel_read, int64_t)
{
  return { 1000, false };
}

answer
hanging (enum eel_read read, int64_t)
{
  return { read == EEL_READ_WATCH ? 12 * EEL_US_PER_S : 2 * EEL_US_PER_S,
           false };
}

// Fails from 40 s on, together with all watches that are pending then.
answer
failing_after_40_s (enum eel_read read, int64_t now)
{
  int64_t left_us = 40 * EEL_US_PER_S - now;
  int64_t delay_us = read == EEL_READ_WATCH ? 10 * EEL_US_PER_S : 5000;

  if (left_us <= 0)
    return { 1000, false };
  return delay_us > left_us ? answer{ left_us, false }
                            : answer{ delay_us, true };
}

answer instant (enum eel_read, int64_t)
{
  return { 1000, true };
}

} // namespace

// Guards against a fleet that calls the platform more than 100 times a second
// in the steady state; 14 readers, windows of 10 s.
TEST (read_schedule, steady_rate)
{
  auto calls = run (
      400, [] (int i, int64_t) { return i < 14; }, answering, 1);

  RecordProperty ("peak_1s", static_cast<int> (peak (calls, 1, 120)));
  EXPECT_LT (peak (calls, 10, 120), 100);
}

// Guards against more than 500 calls in any second when all nodes start at
// once and each is a reader, whatever the platform answers.
TEST (read_schedule, all_start_at_once)
{
  const struct
  {
    const char *name;
    platform answers;
  } cases[] = { { "answering", answering },
                { "changing every 5 s", changing },
                { "refusing", refusing },
                { "hanging", hanging },
                { "failing after 40 s", failing_after_40_s },
                { "watch returns at once", instant } };

  for (const auto &c : cases)
    for (uint64_t seed = 1; seed <= 3; seed++)
      {
        auto alone = run (
            90, [] (int, int64_t) { return true; }, c.answers, seed);
        auto joined = run (
            90,
            [] (int i, int64_t now) {
              return i < 14 || now < 3 * EEL_US_PER_S;
            },
            c.answers, seed);

        EXPECT_LT (peak (alone, 1, 0), 500) << c.name << " seed " << seed;
        EXPECT_LT (peak (joined, 1, 0), 500) << c.name << " seed " << seed;
      }
}

// Guards against a node that exceeds one read in 5 s while reads fail, and a
// watch that is restarted in a loop.
TEST (read_schedule, one_node_is_bounded)
{
  const platform cases[] = { answering, changing, refusing, hanging, instant };

  for (const auto &answers : cases)
    {
      struct eel_read_schedule s;
      struct eel_rng rng;
      int reads = 0;
      int watches = 0;

      eel_rng_init (&rng, 9);
      eel_read_schedule_init (&s, 0, &rng);
      eel_read_schedule_set_reader (&s, 1, 0, &rng);
      for (int64_t now = 0; now < 600 * EEL_US_PER_S; now += step_us)
        {
          enum eel_read read = eel_read_schedule_next (&s, now);

          reads += read == EEL_READ_PRESET || read == EEL_READ_VMS;
          watches += read == EEL_READ_WATCH;
          if (read != EEL_READ_NONE && answers (read, now).succeeds)
            eel_read_schedule_record_version (&s, 1);
          if (read != EEL_READ_NONE)
            eel_read_schedule_done (&s, read, answers (read, now).succeeds, now,
                                    &rng);
        }
      EXPECT_LE (reads, 120);
      EXPECT_LE (watches, 100);
      EXPECT_GE (reads + watches, 10);
    }
}

// Guards against an accepted answer whose version is lower than before.
TEST (read_schedule, lower_version_is_refused)
{
  struct eel_read_schedule s;
  struct eel_rng rng;

  eel_rng_init (&rng, 1);
  eel_read_schedule_init (&s, 0, &rng);
  EXPECT_EQ (eel_read_schedule_record_version (&s, 5), 1);
  EXPECT_EQ (eel_read_schedule_record_version (&s, 5), 1);
  EXPECT_EQ (eel_read_schedule_record_version (&s, 4), 0);
  EXPECT_EQ (eel_read_schedule_record_version (&s, 6), 1);
}
