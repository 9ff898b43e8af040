#include "relay_cluster.h"

#include <gtest/gtest.h>

// Guards against a fixed number of retries that each of hundreds of nodes takes
// for its own: the bound is for all nodes together.
TEST (RelayRetries, NodesShareTheFixedRetriesOfAWindow)
{
  relay_cluster cluster (4);
  struct eel_relay &relay = cluster.nodes[0]->relay;
  double before;

  for (size_t node = 1; node < 3; node++)
    cluster.list_upstream (node);
  before = relay.retries.extra;
  EXPECT_DOUBLE_EQ (2 * before, relay.config.retry_extra);
  cluster.list_upstream (3);
  EXPECT_DOUBLE_EQ (3 * relay.retries.extra, relay.config.retry_extra);
}
