#include <cstring>
#include <gtest/gtest.h>

#include "node_world.h"

// Guards against an idempotent call that gets lost between entry and executor.
TEST (node_calls, lookup_reaches_an_upstream_and_returns)
{
  World world (3);

  for (uint64_t i = 1; i <= 30; i++)
    {
      world.call (1, i);
      ASSERT_TRUE (world.answered (1, i));
      EXPECT_EQ (world.vm (1).answers[i].status, 200);
      EXPECT_EQ (world.vm (1).answers[i].body, "fine");
    }
  EXPECT_EQ (world.runs (), 30u);
  EXPECT_LT (world.vm (1).runs.size (), 30u);
}

// Guards against an order whose key names another node being run twice, or
// its second copy getting another answer.
TEST (node_calls, copies_of_an_order_run_once)
{
  World world (3);
  std::string key = world.key (2);

  for (uint64_t i = 1; i <= 3; i++)
    {
      uint32_t entry = static_cast<uint32_t> (i);

      world.call (entry, i, [&] (struct eel_call &c) { make_order (c, key); });
    }
  for (uint64_t i = 1; i <= 3; i++)
    {
      uint32_t entry = static_cast<uint32_t> (i);

      ASSERT_TRUE (world.answered (entry, i));
      EXPECT_EQ (world.vm (entry).answers[i].outcome, EEL_OUTCOME_RAN);
      EXPECT_EQ (world.vm (entry).answers[i].body, "fine");
    }
  EXPECT_EQ (world.runs (), 1u);
}
