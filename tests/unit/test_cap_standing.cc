#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/cap_standing.h"
#include "eelgrasslatch/team_cap.h"
}

#include <cstdio>
#include <string>
#include <vector>

static const char *const standing_names[] = { "gone", "listed", "lapsed" };

// A directory of one endpoint and what its node counts as.
class CapStanding : public testing::Test
{
protected:
  struct eel_instance slots[4] = {};
  struct eel_directory directory;
  uint64_t revision = 0;
  int64_t now_us = 100 * EEL_US_PER_S;

  CapStanding ()
  {
    eel_directory_init (&directory, slots, 4);
  }

  void
  put (enum eel_instance_state state)
  {
    struct eel_instance instance = {};

    snprintf (instance.id, sizeof instance.id, "a");
    instance.state = state;
    instance.revision = ++revision;
    eel_directory_put (&directory, &instance, now_us);
  }

  void
  remove ()
  {
    eel_directory_remove (&directory, "a", ++revision, now_us);
  }

  std::string
  after (int64_t delay_us)
  {
    now_us += delay_us;
    return standing_names[eel_cap_standing_of (
        eel_directory_find (&directory, "a"), now_us)];
  }
};

// Guards against counting a node no more that serves callers behind a
// partition: its entry lapses without having been withdrawn.
TEST_F (CapStanding, LapsedNodeCountsForTenMinutes)
{
  put (EEL_INSTANCE_READY);
  EXPECT_EQ (after (0), "listed");
  remove ();
  EXPECT_EQ (after (0), "lapsed");
  EXPECT_EQ (after (599 * EEL_US_PER_S), "lapsed");
  EXPECT_EQ (after (1 * EEL_US_PER_S), "gone");
  put (EEL_INSTANCE_READY);
  EXPECT_EQ (after (0), "listed");
}

TEST_F (CapStanding, WithdrawnNodeCountsNoMore)
{
  put (EEL_INSTANCE_READY);
  put (EEL_INSTANCE_DRAINING);
  EXPECT_EQ (after (0), "listed");
  remove ();
  EXPECT_EQ (after (0), "gone");
}

TEST_F (CapStanding, LeavingNodeCountsNoMoreOnceRemoved)
{
  put (EEL_INSTANCE_READY);
  eel_directory_set_leaving (&directory, "a");
  remove ();
  EXPECT_EQ (after (0), "gone");
}

// Guards against a partitioned node that counts itself for longer than others
// count it.
TEST_F (CapStanding, EntryKeptInAnOutageIsListedForAMarginLess)
{
  put (EEL_INSTANCE_READY);
  eel_directory_set_unstable (&directory);
  remove ();
  EXPECT_EQ (after (539 * EEL_US_PER_S), "listed");
  EXPECT_EQ (after (1 * EEL_US_PER_S), "gone");
}

// Guards against asking nodes that are probably lost before those that are
// listed.
TEST (CapView, LapsedNodesCountAndAreAskedLast)
{
  struct eel_cap_view view = {};
  uint32_t candidates[EEL_CAP_CANDIDATES_MAX];
  std::vector<uint32_t> listed;
  std::vector<uint32_t> lapsed;

  for (uint32_t i = 1; i <= 20; i++)
    (i % 2 != 0 ? listed : lapsed).push_back (i);
  lapsed.push_back (1);
  eel_cap_view_set (&view, listed.data (), 10, lapsed.data (), 11);
  EXPECT_EQ (view.count, 20u);
  EXPECT_EQ (view.witness_count, 20u);
  ASSERT_EQ (eel_cap_view_candidates (&view, 0, 99, candidates), 7u);
  for (uint32_t i = 0; i < 6; i++)
    EXPECT_EQ (candidates[i] % 2, i < 4 ? 1u : 0u) << i;
  EXPECT_EQ (candidates[6], 99u);

  // With few that are listed more of the lapsed ones.
  eel_cap_view_set (&view, listed.data (), 1, lapsed.data (), 10);
  EXPECT_EQ (eel_cap_view_candidates (&view, 0, 99, candidates), 7u);
  EXPECT_EQ (candidates[0], 1u);
}
