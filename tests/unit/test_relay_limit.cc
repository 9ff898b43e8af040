#include "relay_cluster.h"

#include <gtest/gtest.h>

// Node 1 is beside an endpoint that names a limit, node 2 beside one that
// doesn't; requests enter at node 0.
struct relay_limit_test : public ::testing::Test
{
  relay_cluster cluster{ 3 };
  std::vector<std::unique_ptr<raw_conn>> conns;
  std::string lines;

  relay_limit_test ()
  {
    cluster.set_routes ();
    cluster.nodes[1]->upstream.answer = [&] (raw_upstream &, raw_conn &conn,
                                             const std::string &request) {
      raw_upstream::write (conn, answer_text (request, "a", "200 OK", lines));
    };
  }

  ~relay_limit_test ()
  {
    for (auto &conn : conns)
      bufferevent_free (conn->bev);
  }

  // Sends requests at once and waits until each has an answer.
  bool
  burst (size_t count, const std::string &target, size_t node = 0)
  {
    size_t first = conns.size ();

    for (size_t i = 0; i < count; i++)
      {
        conns.push_back (cluster.connect (node));
        raw_upstream::write (
            *conns.back (),
            request_text ("POST", target, "r" + std::to_string (first + i)));
      }
    return cluster.run_until ([&] {
      for (size_t i = first; i < conns.size (); i++)
        if (conns[i]->in.empty ())
          return false;
      return true;
    });
  }

  size_t
  arrivals (size_t node)
  {
    return cluster.nodes[node]->upstream.requests.size ();
  }

  size_t
  answered (const std::string &status)
  {
    size_t count = 0;

    for (auto &conn : conns)
      count += status_of (conn->in) == status;
    return count;
  }
};

// Guards against an endpoint that gets more requests than the limit it names.
TEST_F (relay_limit_test, EndpointGetsNoMoreThanTheLimitItNames)
{
  lines = "Limit: 1\r\n";
  cluster.list_upstream (1, 50);
  ASSERT_TRUE (burst (1, "/once/first"));
  ASSERT_EQ (arrivals (1), 1u);
  cluster.list_upstream (2, 50);
  ASSERT_TRUE (burst (30, "/once/x"));
  EXPECT_LE (arrivals (1), 6u);
  // What goes beyond the limit is served elsewhere.
  EXPECT_EQ (answered ("200"), conns.size ());
}

// Guards against a caller who is told that a request failed, or nothing, when
// there is no other endpoint.
TEST_F (relay_limit_test, RequestsBeyondTheLimitAreRefusedTruthfully)
{
  lines = "Limit: 1\r\n";
  cluster.list_upstream (1, 50);
  ASSERT_TRUE (burst (1, "/once/first"));
  ASSERT_TRUE (burst (30, "/once/x"));
  EXPECT_LE (arrivals (1), 6u);
  EXPECT_EQ (answered ("200"), arrivals (1));
  EXPECT_EQ (answered ("200") + answered ("503"), conns.size ());
}
