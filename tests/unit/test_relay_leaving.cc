#include "relay_cluster.h"

#include <gtest/gtest.h>

// A request that waits at the node beside an endpoint while another holds its
// only slot.
struct relay_leaving_test : public ::testing::Test
{
  relay_cluster cluster{ 2 };
  std::unique_ptr<raw_conn> first;
  std::unique_ptr<raw_conn> second;
  raw_conn *held = nullptr;
  std::string held_request;

  relay_leaving_test ()
  {
    raw_upstream &upstream = cluster.nodes[1]->upstream;

    cluster.list_upstream (1, 1);
    cluster.set_routes ();
    upstream.answer
        = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
            held = &conn;
            held_request = request;
          };
    first = cluster.connect ();
    raw_upstream::write (*first, request_text ("POST", "/once/1", "r1"));
    cluster.run_until ([&] { return held != nullptr; });
    second = cluster.connect ();
    raw_upstream::write (*second, request_text ("POST", "/once/2", "r2"));
    cluster.run_until (
        [&] { return cluster.nodes[1]->relay.gate.queued == 1; });
  }

  ~relay_leaving_test ()
  {
    bufferevent_free (first->bev);
    bufferevent_free (second->bev);
  }

  bool
  second_is_answered ()
  {
    return cluster.run_until ([&] { return !second->in.empty (); }, 1000);
  }
};

// Guards against a request that waits for a slot and reaches the endpoint after
// it has left.
TEST_F (relay_leaving_test, QueuedRequestGoesElsewhereWhenItsEndpointLeaves)
{
  ASSERT_EQ (cluster.nodes[1]->relay.gate.queued, 1u);
  cluster.list_upstream (0);
  cluster.list_upstream (1, 1, false);
  EXPECT_TRUE (second_is_answered ());
  EXPECT_EQ (status_of (second->in), "200");
  EXPECT_EQ (cluster.nodes[0]->upstream.requests.size (), 1u);
  raw_upstream::write (*held, answer_text (held_request, "late"));
  EXPECT_TRUE (cluster.run_until ([&] { return !first->in.empty (); }));
  EXPECT_EQ (status_of (first->in), "200");
  EXPECT_EQ (cluster.nodes[1]->upstream.requests.size (), 1u);
}

// Guards against a lapsed endpoint that expires while a request waits for it.
TEST_F (relay_leaving_test, QueuedRequestIsNotSentWhenItsEndpointExpires)
{
  struct eel_directory *directory = &cluster.nodes[1]->relay.directory;

  cluster.list_upstream (0);
  eel_directory_set_confirmed (directory, 0);
  eel_directory_remove (directory, "up-2", ++cluster.revision, eel_clock_us ());
  eel_directory_set_confirmed (directory, 1);
  EXPECT_TRUE (second_is_answered ());
  EXPECT_EQ (cluster.nodes[1]->upstream.requests.size (), 1u);
  EXPECT_EQ (cluster.nodes[0]->upstream.requests.size (), 1u);
}
