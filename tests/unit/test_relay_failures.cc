#include "relay_cluster.h"

#include <gtest/gtest.h>

// Guards against a non-idempotent request that is sent again, or reported as
// not run, after its answer was lost.
TEST (Relay, NonIdempotentRequestIsNotSentAgainAfterALostAnswer)
{
  relay_cluster cluster (3);

  cluster.list_upstream (1);
  cluster.list_upstream (2);
  cluster.set_routes ();
  for (size_t i = 1; i < 3; i++)
    cluster.nodes[i]->upstream.answer
        = [] (raw_upstream &, raw_conn &conn, const std::string &) {
            raw_upstream::end (conn, true);
          };
  std::string answer
      = cluster.send_request (request_text ("POST", "/once/1", "r1"));

  EXPECT_EQ (status_of (answer), "502");
  EXPECT_EQ (cluster.nodes[1]->upstream.requests.size ()
                 + cluster.nodes[2]->upstream.requests.size (),
             1u);
}

// Guards against an idempotent request that fails because its first endpoint
// fails.
TEST (Relay, IdempotentRequestGoesToAnotherEndpointAfterALostAnswer)
{
  relay_cluster cluster (3);
  int reset_count = 0;

  cluster.list_upstream (1);
  cluster.list_upstream (2);
  cluster.set_routes ();
  for (size_t i = 1; i < 3; i++)
    cluster.nodes[i]->upstream.answer
        = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
            if (reset_count++ == 0)
              raw_upstream::end (conn, true);
            else
              raw_upstream::write (conn, answer_text (request, "ok"));
          };
  EXPECT_EQ (
      status_of (cluster.send_request (request_text ("GET", "/safe/1", "r1"))),
      "200");
  EXPECT_EQ (cluster.nodes[1]->upstream.requests.size (), 1u);
  EXPECT_EQ (cluster.nodes[2]->upstream.requests.size (), 1u);
}

// Guards against a refusal without Retry-After, and against a request reported
// as failed although each endpoint answered that it did not run it.
TEST (Relay, RequestThatNoEndpointRanIsRefusedWithRetryAfter)
{
  relay_cluster cluster (2);

  cluster.list_upstream (1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (
              conn, answer_text (request, "", "503 Full", "Not-Run: 1\r\n"));
        };
  std::string answer
      = cluster.send_request (request_text ("POST", "/once/1", "r1"));

  EXPECT_EQ (status_of (answer), "503");
  EXPECT_GT (std::stod (field_of (answer, "Retry-After")), 0.0);
  EXPECT_LE (std::stod (field_of (answer, "Retry-After")), 2.0 / 3);
}

// Guards against relaying a 503, which callers take as "not run", from an
// endpoint that did not confirm it in the not_executed field.
TEST (Relay, UnconfirmedRefusalOfTheEndpointIsNotRelayed)
{
  relay_cluster cluster (1);

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, answer_text (request, "", "503 Oops"));
        };
  std::string answer
      = cluster.send_request (request_text ("POST", "/once/1", "r1"));

  EXPECT_EQ (status_of (answer), "502");
  EXPECT_EQ (field_of (answer, "Proof"), "");
}

// Guards against a late or duplicate answer of another request.
TEST (Relay, AnswerOfAnotherRequestIsDiscarded)
{
  relay_cluster cluster (1);

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer = [] (raw_upstream &, raw_conn &conn,
                                          const std::string &request) {
    raw_upstream::write (conn, answer_text ("\r\nReq-Id: other\r\n", "wrong")
                                   + answer_text (request, "right"));
  };
  EXPECT_EQ (
      body_of (cluster.send_request (request_text ("GET", "/safe/1", "r1"))),
      "right");
}

// Guards against extra bytes after an answer reaching the next caller.
TEST (Relay, BytesAfterAnAnswerAreDiscarded)
{
  relay_cluster cluster (1);

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, answer_text (request, "ok") + "garbage");
        };
  for (int i = 0; i < 3; i++)
    {
      std::string id = "r" + std::to_string (i);

      EXPECT_EQ (
          body_of (cluster.send_request (request_text ("GET", "/safe/1", id))),
          "ok");
    }
}

struct ending
{
  bool reset;
  const char *status;
};

class RelayEndings : public ::testing::TestWithParam<ending>
{
};

// Guards against taking an answer without a length for complete when its
// connection was reset.
TEST_P (RelayEndings, OfAnAnswerWithoutALength)
{
  relay_cluster cluster (2);

  cluster.list_upstream (1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::end (conn, GetParam ().reset,
                             "HTTP/1.1 200 OK\r\nReq-Id: "
                                 + field_of (request, "Req-Id")
                                 + "\r\nProof: p\r\n\r\npart");
        };
  std::string answer
      = cluster.send_request (request_text ("POST", "/once/1", "r1"));

  EXPECT_EQ (status_of (answer), GetParam ().status);
}

INSTANTIATE_TEST_SUITE_P (Both,
                          RelayEndings,
                          ::testing::Values (ending{ false, "200" },
                                             ending{ true, "502" }));

// Guards against a run that continues after its caller has disconnected.
TEST (Relay, CallerDisconnectCancelsTheRun)
{
  relay_cluster cluster (2);

  cluster.list_upstream (1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer = nullptr;
  auto conn = cluster.connect ();
  raw_upstream::write (*conn, request_text ("GET", "/safe/1", "r1"));
  ASSERT_TRUE (cluster.run_until (
      [&] { return !cluster.nodes[1]->upstream.requests.empty (); }));
  bufferevent_free (conn->bev);
  EXPECT_TRUE (cluster.run_until (
      [&] { return cluster.nodes[1]->upstream.closed_by_peer == 1; }));
  EXPECT_EQ (cluster.nodes[1]->relay.gate.running, 0u);
}

// Guards against a refusal for a request that was still running at its
// deadline.
TEST (Relay, RunningRequestIsNotRefusedAtItsDeadline)
{
  relay_cluster cluster (2);

  cluster.list_upstream (1);
  cluster.set_routes (300);
  cluster.nodes[1]->upstream.answer = nullptr;
  EXPECT_EQ (
      status_of (cluster.send_request (request_text ("POST", "/once/1", "r1"))),
      "504");
  EXPECT_TRUE (cluster.run_until (
      [&] { return cluster.nodes[1]->upstream.closed_by_peer == 1; }));
}
