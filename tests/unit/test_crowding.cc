#include <gtest/gtest.h>
#include <memory>

extern "C"
{
#include "eelgrasslatch/crowding.h"
#include "eelgrasslatch/repeats.h"
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

// Guards against teams that are never reported as within their share again, and
// against one that is reported while gates tell of it.
TEST_F (crowding, EndsWithoutNews)
{
  struct eel_crowding_team ended;

  told (1, 900, 0);
  told (2, 900, 100 * MS);
  told (1, 700, 500 * MS);
  eel_crowding_count_refused (&state, 5, 1, 2);
  eel_crowding_count_refused (&state, 5, 1, 1);
  EXPECT_EQ (eel_crowding_next_ended (&state, &ended, 1000 * MS), 0);
  ASSERT_EQ (eel_crowding_next_ended (&state, &ended, 1200 * MS), 1);
  EXPECT_EQ (ended.team, 2u);
  EXPECT_EQ (eel_crowding_next_ended (&state, &ended, 1200 * MS), 0);
  ASSERT_EQ (eel_crowding_next_ended (&state, &ended, 1500 * MS), 1);
  EXPECT_EQ (ended.team, 1u);
  EXPECT_EQ (ended.refused, 1u);
  EXPECT_EQ (ended.excess.excess_milli, 700u);
  EXPECT_EQ (ended.told_us - ended.since_us, 500 * MS);
  EXPECT_EQ (state.count, 0u);
}

// Guards against a caller that gains by repeating at once, one that is held off
// although it came back as told, and one that its own repeats hold off.
TEST (repeats, EarlyUntilHalfOfWhatTheyWereTold)
{
  auto state = std::make_unique<struct eel_repeats> ();

  eel_repeats_init (state.get ());
  EXPECT_FALSE (eel_repeats_is_early (state.get (), 7, 0));
  eel_repeats_refused (state.get (), 7, 400 * MS, 1000 * MS);
  EXPECT_TRUE (eel_repeats_is_early (state.get (), 7, 1199 * MS));
  EXPECT_FALSE (eel_repeats_is_early (state.get (), 8, 1199 * MS));
  EXPECT_FALSE (eel_repeats_is_early (state.get (), 7 + EEL_REPEATS_MAX, 0));
  eel_repeats_refused (state.get (), 7, 400 * MS, 1199 * MS);
  EXPECT_FALSE (eel_repeats_is_early (state.get (), 7, 1200 * MS));
  eel_repeats_refused (state.get (), 7, 9000 * MS, 2000 * MS);
  EXPECT_TRUE (eel_repeats_is_early (state.get (), 7, 2299 * MS));
  EXPECT_FALSE (eel_repeats_is_early (state.get (), 7, 2300 * MS));
}
