#include <gtest/gtest.h>
#include <algorithm>
#include <vector>

extern "C"
{
#include "eelgrasslatch/team_cap.h"
}

// The side of a node at which requests enter.
struct team_cap_entry : public ::testing::Test
{
  struct eel_cap_view view = {};
  struct eel_team_cap cap = {};
  int64_t now_us = 100 * EEL_US_PER_S;
  uint32_t to = 0;
  struct eel_cap_ask_message message = {};

  team_cap_entry ()
  {
    const uint32_t nodes[] = { 1, 2, 3, 4, 5 };

    eel_cap_view_set (&view, nodes, 5, nullptr, 0);
    eel_team_cap_init (&cap, &view, 9, 7, now_us);
    now_us += EEL_US_PER_S;
  }
  ~team_cap_entry () override
  {
    eel_team_cap_finish (&cap);
  }

  bool
  next ()
  {
    return eel_team_cap_next_message (&cap, now_us, &to, &message) != 0;
  }

  int
  grant (uint32_t tokens, int64_t wait_us = 0, bool ready = true)
  {
    struct eel_cap_grant_message reply = {};

    reply.seq = message.seq;
    reply.ready = ready;
    reply.count = message.count;
    for (uint32_t i = 0; i < message.count; i++)
      reply.grants[i] = { tokens, wait_us };
    return eel_team_cap_receive (&cap, to, &reply, now_us);
  }

  enum eel_cap_verdict
  request (uint64_t team = 1)
  {
    return eel_team_cap_request (&cap, team, now_us);
  }
};

TEST_F (team_cap_entry, RequestWaitsForItsGrant)
{
  EXPECT_EQ (request (), EEL_CAP_WAIT);
  ASSERT_TRUE (next ());
  ASSERT_EQ (message.count, 1u);
  EXPECT_EQ (message.asks[0].tokens, 1u);
  EXPECT_FALSE (next ());
  EXPECT_EQ (eel_team_cap_again (&cap, 1, now_us), EEL_CAP_WAIT);
  EXPECT_TRUE (grant (1));
  EXPECT_EQ (eel_team_cap_again (&cap, 1, now_us), EEL_CAP_ADMIT);
  EXPECT_EQ (request (), EEL_CAP_WAIT);
}

TEST_F (team_cap_entry, MoreThanWasAskedForIsNotTaken)
{
  request ();
  ASSERT_TRUE (next ());
  grant (1000);
  EXPECT_EQ (eel_team_cap_again (&cap, 1, now_us), EEL_CAP_ADMIT);
  EXPECT_EQ (request (), EEL_CAP_WAIT);
}

TEST_F (team_cap_entry, TokensExpireALifeAfterTheyWereAskedFor)
{
  request ();
  ASSERT_TRUE (next ());
  now_us += 50 * EEL_US_PER_MS;
  grant (1);
  now_us += EEL_CAP_TOKEN_LIFE_US - 50 * EEL_US_PER_MS;
  EXPECT_EQ (eel_team_cap_again (&cap, 1, now_us), EEL_CAP_WAIT);
}

TEST_F (team_cap_entry, TokenThatIsGivenBackKeepsItsEnd)
{
  int64_t start_us = now_us;

  request ();
  ASSERT_TRUE (next ());
  grant (1);
  ASSERT_EQ (eel_team_cap_again (&cap, 1, now_us), EEL_CAP_ADMIT);
  EXPECT_EQ (cap.taken_expires_us, start_us + EEL_CAP_TOKEN_LIFE_US);
  eel_team_cap_return (&cap, 1, cap.taken_expires_us, now_us);
  EXPECT_EQ (request (), EEL_CAP_ADMIT);
  eel_team_cap_return (&cap, 1, cap.taken_expires_us, now_us);
  now_us += EEL_CAP_TOKEN_LIFE_US;
  EXPECT_EQ (request (), EEL_CAP_WAIT);
}

TEST_F (team_cap_entry, AnswerCountsOnce)
{
  request ();
  ASSERT_TRUE (next ());
  EXPECT_TRUE (grant (1));
  EXPECT_FALSE (grant (1));
  EXPECT_EQ (eel_team_cap_again (&cap, 1, now_us), EEL_CAP_ADMIT);
  EXPECT_EQ (request (), EEL_CAP_WAIT);
  // And not from another node.
  now_us += 50 * EEL_US_PER_MS;
  ASSERT_TRUE (next ());
  to = to % 5 + 1;
  EXPECT_FALSE (grant (1));
}

TEST_F (team_cap_entry, TeamOverItsCapIsRefusedForAMoment)
{
  request ();
  ASSERT_TRUE (next ());
  grant (0, 2 * EEL_US_PER_S);
  EXPECT_EQ (eel_team_cap_again (&cap, 1, now_us), EEL_CAP_REFUSE);
  EXPECT_EQ (request (), EEL_CAP_REFUSE);
  EXPECT_EQ (eel_team_cap_wait_us (&cap, 1, now_us), 2 * EEL_US_PER_S);
  EXPECT_EQ (request (2), EEL_CAP_WAIT);
  now_us += 100 * EEL_US_PER_MS;
  EXPECT_EQ (request (), EEL_CAP_WAIT);
}

TEST_F (team_cap_entry, StockIsKeptForAFrequentTeamOnly)
{
  uint32_t most = 0;

  for (int i = 0; i < 100; i++, now_us += 20 * EEL_US_PER_MS)
    {
      if (request () == EEL_CAP_WAIT)
        eel_team_cap_leave (&cap, 1);
      if (i % 25 == 0 && request (2) == EEL_CAP_WAIT)
        eel_team_cap_leave (&cap, 2);
      while (next ())
        for (uint32_t j = 0; j < message.count; j++)
          {
            EXPECT_EQ (message.asks[j].team, 1u);
            most = std::max (most, message.asks[j].tokens);
          }
    }
  // 50 requests a second for 0.2 s, from two thirds to a tenth above.
  EXPECT_GE (most, 7u);
  EXPECT_LE (most, 11u);
}

TEST_F (team_cap_entry, SilentHolderIsLeftAndTriedAgain)
{
  uint32_t first;
  uint32_t second = 0;
  bool probed = false;

  request ();
  ASSERT_TRUE (next ());
  first = to;
  for (int i = 0; i < 60; i++, now_us += 5 * EEL_US_PER_MS)
    if (next () && to != first)
      {
        second = to;
        grant (1);
        break;
      }
  EXPECT_NE (second, 0u);
  EXPECT_EQ (cap.holders_lost, 1u);
  // The second one answers, and the first after a while.
  for (int i = 0; i < 800 && cap.askers[0].current != 0; i++)
    {
      while (next ())
        if (to == second)
          grant (1);
        else
          {
            EXPECT_EQ (to, first);
            EXPECT_FALSE (message.active);
            probed = true;
            if (i > 500)
              grant (0);
          }
      now_us += 5 * EEL_US_PER_MS;
    }
  EXPECT_TRUE (probed);
  EXPECT_EQ (cap.askers[0].current, 0u);
}

TEST_F (team_cap_entry, HolderThatIsNotReadyIsLeft)
{
  uint32_t first;

  request ();
  ASSERT_TRUE (next ());
  first = to;
  grant (0, 0, false);
  EXPECT_FALSE (next ());
  now_us += 40 * EEL_US_PER_MS;
  for (int i = 0; i < 10 && !next (); i++)
    now_us += 30 * EEL_US_PER_MS;
  EXPECT_NE (to, first);
  EXPECT_EQ (message.count, 1u);
}

// Guards against nodes that ask each other without end when all leave.
TEST_F (team_cap_entry, CandidatesThatAreNotReadyAreAskedSlowly)
{
  const uint32_t alone[] = { 9 };
  int messages = 0;

  eel_cap_view_set (&view, alone, 1, nullptr, 0);
  eel_team_cap_view_changed (&cap, now_us);
  request ();
  for (int64_t end_us = now_us + EEL_US_PER_S; now_us < end_us;
       now_us += EEL_US_PER_MS)
    while (messages < 1000 && next ())
      {
        messages++;
        grant (0, 0, false);
      }
  EXPECT_GE (messages, 10);
  EXPECT_LE (messages, 26);
}

TEST_F (team_cap_entry, NewListKeepsTheHolderUnlessItsFirstIsAnother)
{
  const uint32_t grown[] = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 };

  request ();
  ASSERT_TRUE (next ());
  eel_cap_view_set (&view, grown, 12, nullptr, 0);
  eel_team_cap_view_changed (&cap, now_us);
  EXPECT_EQ (cap.askers[0].current, 0u);
  EXPECT_TRUE (cap.is_witness);
  // What was asked for before is asked for again.
  now_us += 50 * EEL_US_PER_MS;
  ASSERT_TRUE (next ());
  EXPECT_EQ (message.count, 1u);
}

TEST_F (team_cap_entry, TeamsAreBounded)
{
  for (uint64_t team = 1; team <= 3000; team++)
    if (eel_team_cap_request (&cap, team, now_us) == EEL_CAP_WAIT
        && team % 2 == 0)
      eel_team_cap_leave (&cap, team);
  EXPECT_LE (cap.pending_count, (uint32_t)EEL_CAP_TEAMS_MAX);
  for (int i = 0; i < 40; i++, now_us += 50 * EEL_US_PER_MS)
    while (next ())
      EXPECT_LE (message.count, (uint32_t)EEL_CAP_ENTRIES_MAX);
}
