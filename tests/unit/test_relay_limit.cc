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
// there is no other endpoint.  The lowest limit frees nothing in the time of a
// request, however slow the machine is.
TEST_F (relay_limit_test, RequestsBeyondTheLimitAreRefusedTruthfully)
{
  lines = "Limit: 0\r\n";
  cluster.list_upstream (1, 50);
  ASSERT_TRUE (burst (1, "/once/first"));
  ASSERT_TRUE (burst (30, "/once/x"));
  // The limit begins with one request.
  EXPECT_LE (arrivals (1), 2u);
  EXPECT_EQ (answered ("200"), arrivals (1));
  EXPECT_EQ (answered ("503"), conns.size () - arrivals (1));
}

// Guards against a request that waits in the gate's queue and is looked at
// there only after its caller has given up.
TEST_F (relay_limit_test, QueuedRequestIsRefusedBeforeItsDeadline)
{
  struct eel_relay &beside = cluster.nodes[1]->relay;
  struct timeval due = {};
  struct timeval now = {};

  lines = "Limit: 1\r\n";
  cluster.list_upstream (1, 50);
  ASSERT_TRUE (burst (1, "/once/first"));
  // No token is earned until the request is queued.
  beside.gate.rate.tokens = 0;
  beside.gate.rate.updated_us = eel_clock_us () + 3600 * EEL_US_PER_S;
  conns.push_back (cluster.connect ());
  raw_upstream::write (*conns.back (), request_text ("POST", "/once/x", "r1"));
  ASSERT_TRUE (cluster.run_until ([&] { return beside.gate.queued == 1; }));
  EXPECT_NE (event_pending (beside.queue_timer, EV_TIMEOUT, nullptr), 0);
  // Others go before it, or the endpoint names a lower limit.
  eel_rate_limit_set (&beside.gate.rate, 0, eel_clock_us ());
  eel_relay_dispatch_queued (&beside);
  ASSERT_EQ (beside.gate.queued, 1u);
  ASSERT_NE (event_pending (beside.queue_timer, EV_TIMEOUT, &due), 0);
  int64_t left_us = beside.gate.queue[0].deadline_us - eel_clock_us ();
  evutil_gettimeofday (&now, nullptr);
  int64_t wait_us
      = (due.tv_sec - now.tv_sec) * EEL_US_PER_S + due.tv_usec - now.tv_usec;
  EXPECT_LE (wait_us, left_us - 15 * EEL_US_PER_MS);
}

// Guards against a limit that is kept when the endpoint no longer names one.
TEST_F (relay_limit_test, LimitEndsWithTheEndpointsWord)
{
  lines = "Limit: 1\r\n";
  cluster.list_upstream (1, 50);
  ASSERT_TRUE (burst (1, "/once/first"));
  EXPECT_EQ (cluster.nodes[1]->relay.gate.rate.per_s, 1);
  lines = "";
  ASSERT_TRUE (burst (1, "/once/second"));
  ASSERT_TRUE (burst (20, "/once/x"));
  EXPECT_EQ (arrivals (1), 22u);
}

// Guards against a node that forgets the limit of its endpoint when it
// restarts: the senders still know it.
TEST_F (relay_limit_test, NodeThatRestartedIsToldTheLimit)
{
  struct eel_relay &beside = cluster.nodes[1]->relay;

  lines = "Limit: 1\r\n";
  cluster.list_upstream (1, 50);
  ASSERT_TRUE (burst (1, "/once/first"));
  eel_rate_limit_init (&beside.gate.rate);
  beside.has_reported = 0;
  beside.reported_id[0] = 0;
  ASSERT_TRUE (burst (20, "/once/x"));
  EXPECT_LE (arrivals (1), 6u);
}

// Guards against the limit of an endpoint that is kept for its successor at the
// same address.
TEST_F (relay_limit_test, SuccessorHasNoLimit)
{
  lines = "Limit: 1\r\n";
  cluster.list_upstream (1, 50);
  ASSERT_TRUE (burst (1, "/once/first"));
  lines = "";
  cluster.list_upstream (1, 50, false);
  cluster.revision++;
  for (size_t at = 0; at < 3; at++)
    cluster.list_upstream_at (at, 1, "up-2b", 50);
  ASSERT_TRUE (burst (20, "/once/x"));
  EXPECT_GE (arrivals (1), 19u);
}

// Guards against values that are no limit, and against the greater one of two.
TEST_F (relay_limit_test, OddLimitsOfAnEndpoint)
{
  const struct
  {
    const char *name;
    const char *lines;
    double per_s;
  } cases[] = {
    { "known", "Limit: 7\r\n", 7 },
    { "no number", "Limit: many\r\n", 7 },
    { "negative", "Limit: -3\r\n", 7 },
    { "empty", "Limit:\r\n", 7 },
    { "huge", "Limit: 100000000000000000000\r\n", EEL_RATE_MAX },
    { "twice", "Limit: 9\r\nLimit: 8\r\n", 8 },
    { "one of two is none", "Limit: x\r\nLimit: 8.5\r\n", 8.5 },
    { "none", "", EEL_RATE_UNLIMITED },
  };

  cluster.list_upstream (1, 50);
  for (const auto &each : cases)
    {
      lines = each.lines;
      ASSERT_TRUE (burst (1, "/once/x")) << each.name;
      EXPECT_DOUBLE_EQ (cluster.nodes[1]->relay.gate.rate.per_s, each.per_s)
          << each.name;
    }
}

// Guards against a caller who sets the field that nodes send each other.
TEST_F (relay_limit_test, CallersCannotNameALimit)
{
  cluster.list_upstream (1, 50);
  cluster.send_request (
      request_text ("GET", "/safe/a", "r1", "Eel-Limit: 0\r\n"));
  EXPECT_EQ (cluster.nodes[1]->relay.gate.rate.per_s, EEL_RATE_UNLIMITED);
  EXPECT_EQ (cluster.nodes[1]->upstream.requests[0].find ("Eel-Limit"),
             std::string::npos);
}
