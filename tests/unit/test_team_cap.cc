#include <gtest/gtest.h>
#include <vector>

extern "C"
{
#include "eelgrasslatch/team_cap.h"
}

// One holder that any number of nodes ask; addresses 1 to count.
struct team_cap : public ::testing::Test
{
  struct eel_cap_view view = {};
  struct eel_cap_holder holder = {};
  struct eel_cap_limits limits = { 100, 50 };
  int64_t now_us = 100 * EEL_US_PER_S;
  uint32_t seq = 0;

  void
  start (uint32_t count)
  {
    const struct eel_cap_tolerance tolerance = { 0, 0 };
    std::vector<uint32_t> nodes;

    for (uint32_t i = 1; i <= count; i++)
      nodes.push_back (i);
    eel_cap_view_set (&view, nodes.data (), count, nullptr, 0);
    eel_cap_holder_init (&holder, &view, &tolerance);
  }

  ~team_cap () override
  {
    eel_cap_holder_finish (&holder);
  }

  static int
  find (const void *data, uint64_t team, struct eel_cap_limits *found)
  {
    *found = static_cast<const team_cap *> (data)->limits;
    return team < 100;
  }

  struct eel_cap_grant_message
  ask (uint32_t from, uint32_t tokens, uint64_t team = 1, bool active = true)
  {
    struct eel_cap_ask_message message = {};
    struct eel_cap_grant_message reply;

    message.seq = ++seq;
    message.nodes = view.count;
    message.group_count = 1;
    message.active = active;
    message.count = tokens > 0 ? 1 : 0;
    message.asks[0] = { team, tokens };
    eel_cap_holder_answer (&holder, from, &message, find, this, now_us, &reply);
    return reply;
  }

  // Nodes from 1 to count say that they live.
  void
  hear (uint32_t count, int64_t length_us)
  {
    for (int64_t end_us = now_us + length_us; now_us < end_us;
         now_us += 100 * EEL_US_PER_MS)
      for (uint32_t i = 1; i <= count; i++)
        ask (i, 0);
  }
};

TEST_F (team_cap, NewHolderFillsItsBucketsFromEmpty)
{
  start (4);
  EXPECT_EQ (ask (1, 10).grants[0].tokens, 0u);
  hear (4, EEL_US_PER_S / 2);
  // 100 a second, of which the first message saw none.
  EXPECT_NEAR (ask (1, 1000).grants[0].tokens, 40, 10);
}

TEST_F (team_cap, TeamThatWasNotSeenHasItsWholeBurst)
{
  start (4);
  hear (4, 3 * EEL_US_PER_S);
  EXPECT_EQ (ask (1, 1000, 2).grants[0].tokens, 50u);
  EXPECT_GT (ask (1, 10, 2).grants[0].wait_us, 0);
}

TEST_F (team_cap, SideOfACutGetsItsShare)
{
  start (4);
  hear (4, 3 * EEL_US_PER_S);
  ask (1, 1);
  hear (1, EEL_US_PER_S);
  EXPECT_LE (ask (1, 1000).grants[0].tokens, 13u);
  hear (1, EEL_US_PER_S);
  EXPECT_NEAR (ask (1, 1000).grants[0].tokens, 12, 1);
}

// Guards against bursts that a holder kept from before a cut.
TEST_F (team_cap, ShareThatFellAndRoseStartsFromTheSmallerBucket)
{
  start (4);
  hear (4, 3 * EEL_US_PER_S);
  ask (1, 1);
  hear (1, EEL_US_PER_S);
  hear (4, 200 * EEL_US_PER_MS);
  EXPECT_LE (ask (1, 1000).grants[0].tokens, 36u);
  // And for a team that was not seen meanwhile.
  EXPECT_LE (ask (1, 1000, 2).grants[0].tokens, 36u);
}

TEST_F (team_cap, HolderThatPausedStartsFromEmpty)
{
  start (4);
  hear (4, 3 * EEL_US_PER_S);
  ask (1, 1);
  now_us += 3 * EEL_US_PER_S;
  EXPECT_EQ (ask (1, 1000).grants[0].tokens, 0u);
  EXPECT_EQ (ask (1, 1000, 2).grants[0].tokens, 0u);
}

TEST_F (team_cap, ProbesAndUnlistedNodesDoNotCount)
{
  start (4);
  for (int i = 0; i < 20; i++, now_us += 100 * EEL_US_PER_MS)
    {
      ask (1, 0, 1, false);
      ask (99, 0);
    }
  EXPECT_EQ (holder.groups[0].share, 0);
}

// Guards against a holder whose list is short and that takes the few nodes it
// knows for all.
TEST_F (team_cap, NodesThatOthersKnowAreCounted)
{
  struct eel_cap_ask_message message = {};
  struct eel_cap_grant_message reply;

  start (4);
  message.nodes = 40;
  message.group_count = 1;
  message.active = 1;
  for (int i = 0; i < 20; i++, now_us += 100 * EEL_US_PER_MS)
    for (uint32_t from = 1; from <= 4; from++)
      eel_cap_holder_answer (&holder, from, &message, find, this, now_us,
                             &reply);
  EXPECT_NEAR (holder.groups[0].share, 0.1, 0.001);
}

TEST_F (team_cap, LoweredCapHoldsAtOnceAndALiftedOneToo)
{
  start (4);
  hear (4, 3 * EEL_US_PER_S);
  ask (1, 1);
  limits = { 10, 5 };
  EXPECT_LE (ask (1, 1000).grants[0].tokens, 5u);
  limits = { 0, 0 };
  EXPECT_EQ (ask (1, 1000).grants[0].tokens, 1000u);
  EXPECT_EQ (ask (1, 10, 200).grants[0].tokens, 0u);
}

TEST_F (team_cap, OtherNumberOfGroupsIsNotServed)
{
  struct eel_cap_ask_message message = {};
  struct eel_cap_grant_message reply;

  start (4);
  message.group_count = 2;
  eel_cap_holder_answer (&holder, 1, &message, find, this, now_us, &reply);
  EXPECT_FALSE (reply.ready);
}

// Guards against evicted buckets that come back full.
TEST_F (team_cap, MoreTeamsThanBucketsGetNoMore)
{
  uint64_t granted = 0;

  start (4);
  hear (4, 3 * EEL_US_PER_S);
  limits = { 1, 5 };
  for (int round = 0; round < 5; round++)
    // All in the set of one another.
    for (uint64_t team = 512; team < 512 * 40; team += 512)
      {
        struct eel_cap_ask_message message = {};
        struct eel_cap_grant_message reply;

        message.group_count = 1;
        message.count = 1;
        message.asks[0] = { team, 10 };
        eel_cap_holder_answer (
            &holder, 1, &message,
            [] (const void *data, uint64_t, struct eel_cap_limits *found) {
              *found = static_cast<const team_cap *> (data)->limits;
              return 1;
            },
            this, now_us, &reply);
        granted += reply.grants[0].tokens;
      }
  EXPECT_LE (granted, 39 * 5u);
  EXPECT_GT (holder.evicted, 0u);
}
