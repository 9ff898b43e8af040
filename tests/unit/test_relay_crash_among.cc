#include "relay_cluster.h"

#include <gtest/gtest.h>
#include <set>

namespace
{
const size_t endpoints = 4;

// Upstreams that take a while for each request, crash when they get one that
// contains "/bad" and are back a moment later.
struct busy_world
{
  relay_cluster cluster{ endpoints + 1 };
  std::vector<std::unique_ptr<raw_conn>> callers;
  size_t crashes = 0;
  // Requests that were at the upstream at its last crash.
  size_t in_flight = 0;

  explicit busy_world (size_t listed = endpoints)
  {
    for (size_t node = 1; node <= listed; node++)
      {
        set_answer (node);
        cluster.list_upstream (node, 400);
      }
    cluster.set_routes (4000);
  }

  void
  set_answer (size_t node)
  {
    cluster.nodes[node]->upstream.answer
        = [this] (raw_upstream &upstream, raw_conn &,
                  const std::string &request) {
            if (request.find ("/bad") != std::string::npos)
              crash (upstream);
          };
  }

  void
  crash (raw_upstream &upstream)
  {
    crashes++;
    in_flight = upstream.requests.size ();
    evconnlistener_free (upstream.listener);
    upstream.listener = nullptr;
    for (auto &conn : upstream.conns)
      if (conn->bev != nullptr)
        raw_upstream::end (*conn, true);
  }

  // Starts the endpoints that have crashed again, at the same address.
  void
  restart ()
  {
    for (size_t node = 1; node <= endpoints; node++)
      {
        raw_upstream &upstream = cluster.nodes[node]->upstream;

        if (upstream.listener != nullptr)
          continue;
        upstream.open (cluster.base,
                       ("127.0.0." + std::to_string (node + 1)).c_str (),
                       ntohs (upstream.address.sin_port));
        set_answer (node);
      }
  }

  // Sends lookups with targets of their own, a share at each node.
  void
  add_lookups (size_t count)
  {
    static size_t number;

    for (size_t i = 0; i < count; i++)
      {
        std::string id = std::to_string (number++);

        callers.push_back (cluster.connect (i % (endpoints + 1)));
        raw_upstream::write (*callers.back (),
                             request_text ("GET", "/safe/l" + id, "l" + id));
      }
    cluster.run_ms (60);
  }

  size_t
  arrivals ()
  {
    size_t sum = 0;

    for (auto &node : cluster.nodes)
      sum += node->upstream.requests.size ();
    return sum;
  }

  // The callers leave.
  void
  end_lookups ()
  {
    for (auto &caller : callers)
      bufferevent_free (caller->bev);
    callers.clear ();
    cluster.run_ms (30);
  }
};
}

// Guards against a request that goes on crashing endpoints because many others
// are at work at each crash (incident crashing-request-among-others).
TEST (Relay, RequestThatCrashesAmongManyOthersReachesNoFourthEndpoint)
{
  busy_world world;

  world.add_lookups (40 * endpoints);
  for (int n = 0; n < 10; n++)
    {
      std::string id = "bad" + std::to_string (n);

      world.cluster.send_request (request_text ("DELETE", "/once/bad", id),
                                  (size_t)n % (endpoints + 1));
      world.cluster.run_ms (150);
      world.restart ();
      world.add_lookups (40);
    }
  EXPECT_LE (world.crashes, 3u);
  EXPECT_EQ (status_of (world.cluster.send_request (
                 request_text ("DELETE", "/once/bad", "last"))),
             "503");
  world.end_lookups ();
}

// Guards against crashes that are not noticed since the endpoint was checked a
// moment before and is back before the next check.
TEST (Relay, CrashSoonAfterAnotherIsNoticed)
{
  busy_world world (1);
  std::set<uint32_t> noticed;

  for (int n = 0; n < 3; n++)
    {
      std::string id = "bad" + std::to_string (n);

      world.cluster.send_request (request_text ("DELETE", "/once/" + id, id));
      world.cluster.run_ms (50);
      world.restart ();
      for (auto &node : world.cluster.nodes)
        if (node->relay.crash_watch.crash_id != 0)
          noticed.insert (node->relay.crash_watch.crash_id);
    }
  EXPECT_EQ (world.crashes, 3u);
  EXPECT_EQ (noticed.size (), 3u);
}

// Guards against nodes of a service that learn of some suspects only, or not
// before they have started the next request.  How many there are depends on how
// the lookups fall on the endpoints.
TEST (Relay, NodesOfTheServiceLearnAllSuspectsOfACrash)
{
  busy_world world;
  size_t most = 0;

  // In parts, so that the nodes of a busy machine take them in time.
  for (size_t sent = 40; sent <= 60 * endpoints; sent += 40)
    {
      world.add_lookups (40);
      ASSERT_TRUE (world.cluster.run_until (
          [&world, sent] { return world.arrivals () == sent; }));
    }
  world.cluster.send_request (request_text ("DELETE", "/once/bad", "bad"));
  EXPECT_TRUE (world.cluster.run_until (
      [&world, &most] {
        size_t least = SIZE_MAX;

        most = 0;
        for (size_t node = 1; node <= endpoints; node++)
          {
            size_t known = world.cluster.nodes[node]->relay.quarantine.count;

            least = std::min (least, known);
            most = std::max (most, known);
          }
        return least == most && least > 0;
      },
      1000));
  EXPECT_EQ (most, world.in_flight);
  EXPECT_GE (most, 30u);
  world.end_lookups ();
}

// Guards against an entry node that sends the request on because it hears of a
// crash with later messages only: the failed answer itself tells it.
TEST (Relay, FailedAnswerTellsTheEntryNodeOfTheCrash)
{
  busy_world world (1);
  struct eel_quarantine &known = world.cluster.nodes[0]->relay.quarantine;

  EXPECT_EQ (status_of (world.cluster.send_request (
                 request_text ("DELETE", "/once/bad", "bad"))),
             "502");
  ASSERT_EQ (known.count, 1u);
  EXPECT_EQ (known.entries[0].crashes, 1);
}

// Guards against a request of two crashes that is refused for good, or runs
// again and again, once its hold has ended: its third crash decides.
TEST (Relay, RequestOfThreeCrashesIsRefusedForGood)
{
  busy_world world;

  for (auto &node : world.cluster.nodes)
    eel_quarantine_set_hold (&node->relay.quarantine, 100 * EEL_US_PER_MS);
  for (int n = 0; n < 10; n++)
    {
      std::string id = "bad" + std::to_string (n);

      world.cluster.send_request (request_text ("DELETE", "/once/bad", id),
                                  (size_t)n % (endpoints + 1));
      world.cluster.run_ms (150);
      world.restart ();
    }
  EXPECT_EQ (world.crashes, 3u);
}

// Guards against a node that runs a request because its sender has heard of no
// crash: a body is known at the node beside the endpoint only.
TEST (Relay, NodeBesideTheEndpointRefusesWhatItsSenderDoesNotKnow)
{
  busy_world world (1);
  const std::string body (2000, 'x');

  for (int n = 0; n < 6; n++)
    {
      struct eel_quarantine &sender = world.cluster.nodes[0]->relay.quarantine;

      while (sender.count > 0)
        eel_quarantine_cleared (&sender, sender.entries[0].fingerprint);
      world.cluster.send_request (request_text (
          "POST", "/once/bad", "bad" + std::to_string (n), "", body));
      world.cluster.run_ms (20);
      world.restart ();
      // The node is avoided for a while after failures.
      world.cluster.run_ms (300);
    }
  EXPECT_EQ (world.crashes, 2u);
}

// Guards against callers that pass for a node: their fields are no news.
TEST (Relay, NewsOfCallersAreNotRead)
{
  busy_world world (1);

  world.cluster.nodes[1]->upstream.answer = [] (raw_upstream &, raw_conn &conn,
                                                const std::string &request) {
    raw_upstream::write (conn, answer_text (request, "ok", "200 OK",
                                            "Eel-Crash: 9 4a\r\n"
                                            "Eel-Crashed: 4c 2 1000 1\r\n"));
  };
  EXPECT_EQ (status_of (world.cluster.send_request (request_text (
                 "GET", "/safe/x", "a",
                 "Eel-News: 1\r\nEel-Crash: 7 40 42\r\n"
                 "Eel-Crashed: 44 2 1000 1\r\nEel-Cleared: 46\r\n"))),
             "200");
  for (auto &node : world.cluster.nodes)
    EXPECT_EQ (node->relay.quarantine.count, 0u);
}
