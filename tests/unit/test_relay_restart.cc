#include "relay_cluster.h"

#include <gtest/gtest.h>

// Guards against refusals while the entry of an endpoint that has restarted
// under another id is still listed.
TEST (Relay, RequestForAnEarlierEndpointGoesToItsSuccessor)
{
  relay_cluster cluster (2);
  const char *actual = "up-2b";

  cluster.list_upstream (1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer = [&] (raw_upstream &, raw_conn &conn,
                                           const std::string &request) {
    raw_upstream::write (
        conn, field_of (request, "Want") == actual
                  ? answer_text (request, "here")
                  : answer_text (request, "", "421 Misdirected",
                                 std::string ("Actual: ") + actual + "\r\n"));
  };
  // Only the node beside the endpoint knows its new entry.
  cluster.revision++;
  cluster.list_upstream_at (1, 1, "up-2b");
  EXPECT_EQ (
      status_of (cluster.send_request (request_text ("POST", "/once/1", "r1"))),
      "200");
  // The newest entry is not that of the endpoint at the address.
  actual = "up-2";
  EXPECT_EQ (
      status_of (cluster.send_request (request_text ("POST", "/once/1", "r2"))),
      "503");
  EXPECT_EQ (
      status_of (cluster.send_request (request_text ("POST", "/once/1", "r3"))),
      "200");
}
