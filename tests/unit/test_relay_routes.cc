#include "relay_cluster.h"

#include <gtest/gtest.h>

// Guards against a caller who is told that a route is not there, or served by
// another route, when the operator's route is invalid.
TEST (RelayRoutes, InvalidRouteIsRefusedUntilItIsMended)
{
  relay_cluster cluster{ 1 };
  std::string answer;

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, answer_text (request, "served"));
        };
  answer = cluster.send_request (request_text ("GET", "/safe/x", "r1"));
  EXPECT_EQ (status_of (answer), "200");
  answer
      = cluster.send_request (request_text ("GET", "/safe/unserved/x", "r2"));
  EXPECT_EQ (status_of (answer), "503");
  EXPECT_NE (field_of (answer, "Retry-After"), "");
  EXPECT_EQ (cluster.nodes[0]->upstream.requests.size (), 1u);
}

// Guards against an endpoint that is never used because its id is long.
TEST (RelayRoutes, EndpointWithTheLongestIdServes)
{
  relay_cluster cluster{ 2 };

  cluster.nodes[1]->id = std::string (192, 'i');
  cluster.list_upstream (1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (
              conn, answer_text (request, field_of (request, "Want")));
        };
  EXPECT_EQ (body_of (cluster.send_request (
                 request_text ("POST", "/once/x", "r1"), 0)),
             std::string (192, 'i'));
}
