#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/crowding.h"
#include "eelgrasslatch/retry_after.h"
}

namespace
{
constexpr int64_t MS = EEL_US_PER_MS;

class crowding : public testing::Test
{
protected:
  struct eel_crowding state;

  void
  SetUp () override
  {
    eel_crowding_init (&state);
  }

  int
  told (uint64_t team, uint32_t excess_milli, int64_t now_us)
  {
    const struct eel_fair_excess excess = { team, 2, excess_milli, 0, 0 };

    return eel_crowding_told (&state, 5, &excess, now_us);
  }

  double
  share (uint64_t team, int64_t now_us)
  {
    return eel_crowding_refused_share (&state, 5, team, 2, now_us);
  }
};
}

// Guards against refusing requests of other teams, services or ranks.
TEST_F (crowding, ConcernsOneTeamOfOneServiceAndRank)
{
  for (int i = 0; i < 60; i++)
    told (1, 900, i * 100 * MS);
  int64_t now_us = 5900 * MS;

  EXPECT_GE (share (1, now_us), 0.7);
  EXPECT_EQ (share (2, now_us), 0);
  EXPECT_EQ (eel_crowding_refused_share (&state, 6, 1, 2, now_us), 0);
  EXPECT_EQ (eel_crowding_refused_share (&state, 5, 1, 1, now_us), 0);
}

// Guards against refusals that outlast the news, and against one report, or
// many of the same moment, that shut a team out.
TEST_F (crowding, ExpiresAndRisesWithTime)
{
  for (int i = 0; i < 1000; i++)
    told (1, 1000, 0);
  EXPECT_LE (share (1, 0), 0.3);
  for (int i = 1; i <= 1000; i++)
    told (1, 1000, i * 10 * MS);
  EXPECT_LE (share (1, 10000 * MS), 0.95);
  EXPECT_LT (share (1, 10500 * MS), share (1, 10000 * MS));
  EXPECT_EQ (share (1, 10000 * MS + EEL_CROWDING_EXPIRY_US + 1), 0);
  EXPECT_EQ (told (1, 1000, 12000 * MS), 1);
  EXPECT_EQ (told (1, 1000, 12001 * MS), 0);
}

TEST_F (crowding, TableIsBounded)
{
  for (uint64_t team = 1; team <= 2 * EEL_CROWDING_TEAMS_MAX; team++)
    told (team, 900, (int64_t)team);
  EXPECT_EQ (state.count, (uint32_t)EEL_CROWDING_TEAMS_MAX);
  EXPECT_EQ (state.evicted, (uint64_t)EEL_CROWDING_TEAMS_MAX);
  EXPECT_EQ (share (1, 1000), 0);
  EXPECT_GT (share (2 * EEL_CROWDING_TEAMS_MAX, 1000), 0);
}

// Guards against a time to come back that is beyond what callers honour, or
// that is longer for those who are nearer to their share.
TEST (RetryAfter, LongerAboveTheShareAndWithinAThirdOfTheTimeLeft)
{
  const struct
  {
    int64_t target_ms, left_ms;
    double refused_share;
    int64_t least_ms, most_ms;
  } cases[] = {
    { 1500, 5000, 0, 225, 675 },      { 1500, 5000, 0.25, 450, 1350 },
    { 1500, 5000, 0.95, 1080, 1667 }, { 1500, 900, 0, 225, 300 },
    { 100, 5000, 0, 100, 100 },       { 1500, 60, 0.5, 20, 20 },
  };

  struct eel_rng rng;

  eel_rng_init (&rng, 1);
  for (const auto &each : cases)
    for (int i = 0; i < 1000; i++)
      {
        int64_t after_us = eel_retry_after_us (
            each.target_ms * MS, each.left_ms * MS, each.refused_share, &rng);

        ASSERT_GE (after_us, each.least_ms * MS) << each.refused_share;
        ASSERT_LE (after_us, each.most_ms * MS) << each.refused_share;
      }
}
