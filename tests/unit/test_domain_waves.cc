#include <gtest/gtest.h>

#include "domain_load.h"

namespace
{
constexpr int64_t MS = EEL_US_PER_MS;

struct wave
{
  double load;
  int64_t way_us;
  int64_t report_delay_us;
  double report_loss;
};

// Three domains whose demand moves by more than half of its mean within 4 s,
// one after the other.
domain_load::plan
plan_of (const wave &wave)
{
  return { "waves",          wave.load, 0.55, wave.way_us, wave.report_delay_us,
           wave.report_loss, 0,         45,   3,           0 };
}

class DomainWaves : public ::testing::TestWithParam<wave>
{
};
}

// Issue 44, point 4: refused while an endpoint of any domain had a free slot,
// of all requests under 1 in 200.
TEST_P (DomainWaves, NothingIsRefusedWhileThereIsRoom)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      domain_load load (plan_of (GetParam ()), rule::FLOW, seed);

      load.run ();
      const auto &counts = load.counts;
      printf ("load %.2f way %.1f ms reports %.1f s late, %.1f lost: "
              "%u requests, refused %u, with room %u, in time %u\n",
              GetParam ().load, (double)GetParam ().way_us / 1000,
              (double)GetParam ().report_delay_us / 1e6,
              GetParam ().report_loss, counts.requests, counts.refused,
              counts.refused_with_room, counts.in_time);
      EXPECT_LT (counts.refused_with_room, 0.005 * counts.requests) << seed;
      // Nor does most of what is served come too late.
      EXPECT_GE (counts.in_time, 0.97 * counts.served) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P (
    Waves,
    DomainWaves,
    ::testing::Values (wave{ 0.7, MS / 2, 0, 0 },
                       wave{ 0.85, MS / 2, 0, 0 },
                       wave{ 0.95, MS / 2, 0, 0 },
                       wave{ 0.85, 20 * MS, 0, 0 },
                       wave{ 0.95, 20 * MS, 200 * MS, 0.2 },
                       wave{ 0.85, 5 * MS, 1000 * MS, 0.2 },
                       wave{ 0.95, 5 * MS, 1000 * MS, 0.2 },
                       wave{ 0.85, 5 * MS, 2000 * MS, 0.2 },
                       wave{ 0.95, 5 * MS, 2000 * MS, 0.2 }));
