#include "relay_world.h"

#include <gtest/gtest.h>
#include <map>

// An endpoint forgets connections that have rested for 150 ms and resets what
// comes next on them.  Guards against one lookup after the other being lost.
TEST (Relay, LearnsHowLongTheEndpointLetsConnectionsRest)
{
  relay_world world (1);
  std::map<raw_conn *, int64_t> last_us;
  int lost = 0;

  world.list (0);
  world.publish ();
  world.nodes[0]->upstream.answer = [&last_us] (raw_upstream &, raw_conn &conn,
                                                const std::string &request) {
    int64_t now_us = eel_clock_us ();
    bool forgotten = last_us.count (&conn) > 0
                     && now_us - last_us[&conn] > 150 * EEL_US_PER_MS;

    last_us[&conn] = now_us;
    if (forgotten)
      raw_upstream::end (conn, true);
    else
      raw_upstream::write (conn, answer_text (request, "ok"));
  };
  for (int n = 0; n < 6; n++)
    {
      std::string id = std::to_string (n);

      lost
          += world.ask (request_text ("GET", "/safe/a", "r" + id)).substr (9, 3)
             != "200";
      world.run_ms (250);
    }
  EXPECT_EQ (lost, 1);
}
