#include "relay_cluster.h"

#include <gtest/gtest.h>

namespace
{
void
serve (relay_cluster &cluster)
{
  for (size_t i = 0; i < cluster.nodes.size (); i++)
    {
      cluster.list_upstream (i);
      cluster.nodes[i]->upstream.answer
          = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
              raw_upstream::write (conn, answer_text (request, "served"));
            };
    }
  cluster.set_routes ();
}

void
send_some (relay_cluster &cluster, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    EXPECT_EQ (status_of (cluster.send_request (
                   request_text ("GET", "/safe/x", "r" + std::to_string (i)))),
               "200");
}

// Gives the node the measured times of a slow or fast endpoint.
void
set_run_time (relay_node &node, double mean_us)
{
  ASSERT_EQ (node.relay.run_times.count, 1u);
  node.relay.run_times.routes[0].mean_us = mean_us;
  node.relay.run_times.routes[0].samples = 1000;
}
}

// The entry node learns from the answers which endpoint is slow, sends its
// requests to the other one, and shows it in its metrics.
TEST (RelayFinish, SlowEndpointIsSpared)
{
  relay_cluster cluster{ 2 };
  struct eel_relay *relay = &cluster.nodes[0]->relay;

  relay->config.by_finish = 1;
  serve (cluster);
  send_some (cluster, 20);
  set_run_time (*cluster.nodes[0], 50000);
  set_run_time (*cluster.nodes[1], 900000);
  // Both are learned anew.
  send_some (cluster, 10);
  cluster.nodes[1]->upstream.requests.clear ();
  send_some (cluster, 30);
  EXPECT_LE (cluster.nodes[1]->upstream.requests.size (), 1u);
  relay->spared_reviewed_us = 0;
  eel_relay_review_spared (relay, eel_clock_us ());
  EXPECT_EQ (relay->counters.spared->value, 1u);
  EXPECT_EQ (eel_directory_find (&relay->directory, "up-2")->spared, 1);
}

// A deployment that doesn't ask for it is served by use.
TEST (RelayFinish, SlowEndpointIsUsedByDefault)
{
  relay_cluster cluster{ 2 };

  serve (cluster);
  send_some (cluster, 20);
  set_run_time (*cluster.nodes[0], 50000);
  set_run_time (*cluster.nodes[1], 900000);
  cluster.nodes[1]->upstream.requests.clear ();
  send_some (cluster, 40);
  EXPECT_GE (cluster.nodes[1]->upstream.requests.size (), 8u);
  EXPECT_EQ (cluster.nodes[0]->relay.counters.spared->value, 0u);
}

// Runs that fail at once don't make an endpoint look fast; time-outs tell its
// speed.
TEST (RelayFinish, FailedRunsTellNoTime)
{
  const struct
  {
    const char *status;
    uint32_t samples;
  } cases[] = { { "200 OK", 1 },
                { "404 Not Found", 1 },
                { "500 Internal Server Error", 0 },
                { "502 Bad Gateway", 0 },
                { "504 Gateway Timeout", 1 } };

  for (const auto &each : cases)
    {
      relay_cluster cluster{ 1 };
      const struct eel_run_times &times = cluster.nodes[0]->relay.run_times;

      serve (cluster);
      cluster.nodes[0]->upstream.answer = [&each] (raw_upstream &,
                                                   raw_conn &conn,
                                                   const std::string &request) {
        raw_upstream::write (conn, answer_text (request, "body", each.status));
      };
      EXPECT_EQ (status_of (cluster.send_request (
                     request_text ("GET", "/safe/x", "r1"))),
                 std::string (each.status, 3));
      EXPECT_EQ (times.count == 0 ? 0 : times.routes[0].samples, each.samples)
          << each.status;
    }
}
