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
