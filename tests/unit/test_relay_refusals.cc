#include "relay_cluster.h"

#include <gtest/gtest.h>

// A faulty endpoint that writes an earlier refusal once more on a connection
// that is kept, and runs the request that came there.
struct stale_refusal_test : public ::testing::Test
{
  relay_cluster cluster{ 2 };
  std::string refusal;
  raw_conn *refused_on = nullptr;
  size_t runs = 0;

  stale_refusal_test ()
  {
    cluster.list_upstream (1);
    cluster.set_routes ();
  }

  void
  refuse (raw_conn &conn, const std::string &bytes)
  {
    refusal = bytes;
    refused_on = &conn;
    raw_upstream::write (conn, bytes);
  }

  // The refusal comes again just before the answer, or alone on its connection.
  void
  run_after_stale_refusal (raw_conn &conn, const std::string &request)
  {
    runs++;
    if (refused_on->bev != nullptr)
      raw_upstream::write (*refused_on, refusal);
    raw_upstream::write (conn, answer_text (request, "ran"));
  }
};

// Guards against a caller who is told that a request was not run, when an
// endpoint that was asked again is running it.
TEST_F (stale_refusal_test, OfTheSameRequestIsNotTakenForItsAnswer)
{
  cluster.nodes[1]->upstream.answer = [&] (raw_upstream &, raw_conn &conn,
                                           const std::string &request) {
    if (refusal.empty ())
      refuse (conn, answer_text (request, "", "503 Full", "Not-Run: 1\r\n"));
    else
      run_after_stale_refusal (conn, request);
  };
  for (size_t entry : { 0, 1 })
    {
      std::string answer = cluster.send_request (
          request_text ("POST", "/once/x", "r" + std::to_string (entry)),
          entry);

      EXPECT_EQ (status_of (answer), "200") << entry;
      EXPECT_EQ (runs, 1u) << entry;
      refusal.clear ();
      runs = 0;
    }
}

// The same for a refusal that bears no id, of a request before.
TEST_F (stale_refusal_test, WithoutAnIdIsNotTakenForAnAnswer)
{
  cluster.nodes[1]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          refused_on = &conn;
          run_after_stale_refusal (conn, request);
        };
  for (const char *id : { "r1", "r2" })
    {
      EXPECT_EQ (status_of (cluster.send_request (
                     request_text ("POST", "/once/x", id))),
                 "200")
          << id;
      refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"
                "Content-Length: 0\r\n\r\n";
    }
  EXPECT_EQ (runs, 2u);
  EXPECT_EQ (cluster.nodes[1]->upstream.conns.size (), 1u);
}

// The same for one of another request: its id tells it.
TEST_F (stale_refusal_test, OfAnotherRequestIsNotTakenForAnAnswer)
{
  cluster.nodes[1]->upstream.answer = [&] (raw_upstream &, raw_conn &conn,
                                           const std::string &request) {
    if (field_of (request, "Req-Id") == "r1")
      refuse (conn, answer_text (request, "", "503 Full", "Not-Run: 1\r\n"));
    else
      run_after_stale_refusal (conn, request);
  };
  EXPECT_EQ (
      status_of (cluster.send_request (request_text ("POST", "/once/x", "r1"))),
      "503");
  EXPECT_EQ (
      status_of (cluster.send_request (request_text ("POST", "/once/x", "r2"))),
      "200");
  EXPECT_EQ (runs, 1u);
}
