#include "relay_cluster.h"

#include <gtest/gtest.h>

static double
pressure_of_orders (relay_cluster &cluster)
{
  struct eel_relay *relay = &cluster.nodes[0]->relay;
  const struct eel_route *route
      = eel_route_table_find (relay->routes, "shop.example", "/once/x");

  return eel_entry_gate_pressure (&relay->entry_gate, route->id,
                                  eel_clock_us ());
}

// Guards against orders that run although a service that they call can't be
// reached: the node beside their endpoint tells the entries by this pressure,
// which has to be above what any rank may cause, and to end by itself.
TEST (Relay, RouteWithoutAnEndpointReportsPressureUntilThereIsOne)
{
  relay_cluster cluster (1);
  std::string last;

  cluster.set_routes ();
  for (int n = 0; n < 60; n++)
    {
      std::string answer = cluster.send_request (
          request_text ("POST", "/once/x", "a" + std::to_string (n)));

      EXPECT_EQ (answer.substr (9, 3), "503");
      EXPECT_NE (field_of (answer, "Retry-After"), "");
    }
  EXPECT_GT (pressure_of_orders (cluster), 5000);
  cluster.nodes[0]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, answer_text (request, "ok"));
        };
  cluster.list_upstream (0);
  EXPECT_TRUE (cluster.run_until ([&cluster, &last] {
    last = cluster.send_request (request_text ("POST", "/once/x", "b"));
    return last.substr (9, 3) == "200" && pressure_of_orders (cluster) < 300;
  }));
}
