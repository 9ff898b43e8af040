#include <cstring>
#include <gtest/gtest.h>

#include "node_cluster.h"

// Guards against an idempotent call that gets lost between entry and executor.
TEST (node_calls, lookup_reaches_an_upstream_and_returns)
{
  Cluster cluster (3);

  for (uint64_t i = 1; i <= 30; i++)
    {
      cluster.call (1, i);
      ASSERT_TRUE (cluster.wait_for_answer (1, i));
      EXPECT_EQ (cluster.vm (1).answers[i].status, 200);
      EXPECT_EQ (cluster.vm (1).answers[i].body, "fine");
    }
  EXPECT_EQ (cluster.runs (), 30u);
  EXPECT_LT (cluster.vm (1).runs.size (), 30u);
}

// Guards against copies of an order with another node's key running twice or
// getting different answers.
TEST (node_calls, copies_of_an_order_run_once)
{
  Cluster cluster (3);
  std::string key = cluster.issue_key (2);

  for (uint64_t i = 1; i <= 3; i++)
    {
      uint32_t entry = static_cast<uint32_t> (i);

      cluster.call (entry, i,
                    [&] (struct eel_call &c) { make_order (c, key); });
    }
  for (uint64_t i = 1; i <= 3; i++)
    {
      uint32_t entry = static_cast<uint32_t> (i);

      ASSERT_TRUE (cluster.wait_for_answer (entry, i));
      EXPECT_EQ (cluster.vm (entry).answers[i].outcome, EEL_OUTCOME_RAN);
      EXPECT_EQ (cluster.vm (entry).answers[i].body, "fine");
    }
  EXPECT_EQ (cluster.runs (), 1u);
}
