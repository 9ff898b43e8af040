#include "relay_cluster.h"

#include <gtest/gtest.h>
#include <map>

// The endpoint drops connections that were idle for 150 ms and resets them at
// the next request.  Guards against losing more than the first such request.
TEST (Relay, LearnsHowLongTheEndpointKeepsIdleConnections)
{
  relay_cluster cluster (1);
  std::map<raw_conn *, int64_t> last_us;
  int lost = 0;

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer =
      [&last_us] (raw_upstream &, raw_conn &conn, const std::string &request) {
        int64_t now_us = eel_clock_us ();
        bool expired = last_us.count (&conn) > 0
                       && now_us - last_us[&conn] > 150 * EEL_US_PER_MS;

        last_us[&conn] = now_us;
        if (expired)
          raw_upstream::end (conn, true);
        else
          raw_upstream::write (conn, answer_text (request, "ok"));
      };
  for (int n = 0; n < 6; n++)
    {
      std::string id = std::to_string (n);

      lost += cluster.send_request (request_text ("GET", "/safe/a", "r" + id))
                  .substr (9, 3)
              != "200";
      cluster.run_ms (250);
    }
  EXPECT_EQ (lost, 1);
}

// Guards against a node that turns new callers away because of connections on
// which nothing happens, and does so without a trace.
TEST (RelayIdle, NewCallersDisplaceIdleOnesAtTheLimit)
{
  relay_cluster cluster{ 1 };
  struct eel_relay &relay = cluster.nodes[0]->relay;
  std::vector<std::unique_ptr<raw_conn>> callers;
  std::vector<raw_conn *> held;

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &) {
          held.push_back (&conn);
        };
  relay.callers.max_conns = 3;
  for (int i = 0; i < 3; i++)
    {
      callers.push_back (cluster.connect ());
      cluster.run_ms (20);
    }
  EXPECT_EQ (relay.callers.displaced, 0u);
  for (int i = 0; i < 4; i++)
    {
      callers.push_back (cluster.connect ());
      raw_upstream::write (
          *callers.back (),
          request_text ("GET", "/safe/x", "r" + std::to_string (i)));
      cluster.run_ms (50);
    }
  // One request more than connections that are idle.
  EXPECT_TRUE (callers[0]->closed && callers[1]->closed && callers[2]->closed);
  EXPECT_TRUE (callers[6]->closed);
  EXPECT_FALSE (callers[3]->closed || callers[4]->closed || callers[5]->closed);
  EXPECT_EQ (relay.callers.displaced, 3u);
  EXPECT_EQ (relay.callers.refused, 1u);
  cluster.run_ms (150);
  EXPECT_EQ (relay.counters.turned_away->value, 1u);
  for (auto &caller : callers)
    bufferevent_free (caller->bev);
}
