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

// An endpoint that says in its answers that it leaves, before the registry
// does.
struct relay_said_leaving_test : public ::testing::Test
{
  relay_cluster cluster{ 2 };
  std::string lines = "Leaving: 1\r\n";

  relay_said_leaving_test ()
  {
    cluster.nodes[1]->upstream.answer = [&] (raw_upstream &, raw_conn &conn,
                                             const std::string &request) {
      raw_upstream::write (conn, answer_text (request, "a", "200 OK", lines));
    };
    cluster.list_upstream (1);
    cluster.set_routes ();
  }

  std::string
  send_status (const std::string &id, size_t node = 0)
  {
    return status_of (
        cluster.send_request (request_text ("POST", "/once/1", id), node));
  }

  size_t
  arrivals ()
  {
    return cluster.nodes[1]->upstream.requests.size ();
  }
};

// Guards against requests to an endpoint whose own answers say that it leaves.
TEST_F (relay_said_leaving_test, EndpointThatSaysItLeavesGetsNoMore)
{
  EXPECT_EQ (send_status ("r1"), "200");
  EXPECT_EQ (send_status ("r2"), "503");
  EXPECT_EQ (send_status ("r3", 1), "503");
  EXPECT_EQ (arrivals (), 1u);
  // The entry changes, but it is the same start of the endpoint.
  cluster.list_upstream (1, 20);
  EXPECT_EQ (send_status ("r4"), "503");
  EXPECT_EQ (arrivals (), 1u);
}

// Guards against a node beside a leaving endpoint that forgets it in a restart:
// senders that passed on the word keep to it.
TEST_F (relay_said_leaving_test, SenderKeepsToTheWordItPassedOn)
{
  struct eel_directory *beside = &cluster.nodes[1]->relay.directory;

  EXPECT_EQ (send_status ("r1"), "200");
  eel_directory_init (beside, beside->instances, beside->capacity);
  cluster.list_upstream_at (1, 1, "up-2");
  EXPECT_EQ (send_status ("r2"), "503");
  EXPECT_EQ (arrivals (), 1u);
}

// Guards against an endpoint that is avoided for ever under its id.
TEST_F (relay_said_leaving_test, NextStartOfTheEndpointIsUsed)
{
  EXPECT_EQ (send_status ("r1"), "200");
  lines = "";
  cluster.list_upstream (1, 10, false);
  cluster.list_upstream (1);
  EXPECT_EQ (send_status ("r2"), "200");
}

// Guards against words that are none, and against callers and endpoints who use
// the fields that nodes send each other.
TEST_F (relay_said_leaving_test, OnlyTheEndpointsOwnWordCounts)
{
  for (const char *each : { "Leaving: 0\r\n", "Leaving:\r\n",
                            "Leaving: yes\r\n", "Eel-Leaving: up-2\r\n" })
    {
      lines = each;
      EXPECT_EQ (send_status ("r1"), "200") << each;
    }
  cluster.send_request (
      request_text ("GET", "/safe/a", "r1", "Eel-Leaving: up-2\r\n"));
  EXPECT_EQ (send_status ("r2"), "200");
}
