#include <gtest/gtest.h>

#include <memory>

extern "C"
{
#include "eelgrasslatch/call_chain.h"
}

namespace
{

const uint64_t ROUTE = 7;

class chains : public testing::Test
{
protected:
  chains ()
  {
    eel_call_lengths_init (&m_lengths);
  }

  // Returns what is needed at the chain's next request, which is answered.
  uint32_t
  call (struct eel_call_chain &chain,
        bool is_success = true,
        uint64_t route = ROUTE)
  {
    uint32_t needed
        = eel_call_chain_request (&chain, &m_lengths, route, m_now_us);

    m_now_us += 50 * EEL_US_PER_MS;
    eel_call_chain_answered (&chain, is_success, m_now_us);
    m_now_us += 200;
    return needed;
  }

  // Plays a run that makes so many calls.
  void
  run (struct eel_call_chain &chain, int calls)
  {
    m_now_us += EEL_US_PER_S;
    for (int i = 0; i < calls; i++)
      call (chain);
  }

  struct eel_call_lengths m_lengths;
  struct eel_call_chain m_chain = {};
  int64_t m_now_us = EEL_US_PER_S;
};

}

TEST_F (chains, CountsWhatARunStillNeeds)
{
  EXPECT_EQ (call (m_chain), 1u);
  for (int i = 0; i < 5; i++)
    run (m_chain, 4);
  m_now_us += EEL_US_PER_S;
  for (uint32_t needed = 4; needed > 0; needed--)
    EXPECT_EQ (call (m_chain), needed);
  // The next run, without a pause.
  EXPECT_EQ (call (m_chain), 4u);
}

TEST_F (chains, LearnsFromClosedConnections)
{
  struct eel_call_chain other = {};

  run (m_chain, 3);
  eel_call_chain_closed (&m_chain, &m_lengths, m_now_us);
  EXPECT_EQ (call (other), 3u);
}

TEST_F (chains, FailureEndsAChainAndTellsNothing)
{
  run (m_chain, 4);
  run (m_chain, 4);
  for (int i = 0; i < 50; i++)
    {
      m_now_us += EEL_US_PER_S;
      EXPECT_EQ (call (m_chain), 4u);
      EXPECT_EQ (call (m_chain, false), 3u);
    }
}

TEST_F (chains, RequestsAtTheSameTimeAreOfOne)
{
  for (int i = 0; i < 5; i++)
    {
      for (int j = 0; j < 4; j++)
        EXPECT_EQ (
            eel_call_chain_request (&m_chain, &m_lengths, ROUTE, m_now_us), 1u);
      for (int j = 0; j < 4; j++)
        eel_call_chain_answered (&m_chain, 1, m_now_us);
      m_now_us += EEL_US_PER_S;
      eel_call_chain_closed (&m_chain, &m_lengths, m_now_us);
    }
}

TEST_F (chains, LeastRecentRouteGivesWay)
{
  for (int i = 0; i < 4; i++)
    call (m_chain);
  eel_call_chain_closed (&m_chain, &m_lengths, m_now_us);
  for (uint64_t i = 0; i < EEL_CALL_CHAIN_ROUTES_MAX; i++)
    {
      m_now_us += EEL_US_PER_S;
      call (m_chain, true, 100 + i);
      call (m_chain, true, 100 + i);
      eel_call_chain_closed (&m_chain, &m_lengths, m_now_us);
    }
  EXPECT_EQ (call (m_chain), 1u);
  eel_call_chain_closed (&m_chain, &m_lengths, m_now_us);
  EXPECT_EQ (call (m_chain, true, 100 + EEL_CALL_CHAIN_ROUTES_MAX - 1), 2u);
}
