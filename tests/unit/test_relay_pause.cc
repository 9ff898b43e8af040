#include "relay_cluster.h"

#include <gtest/gtest.h>

// An upload to an endpoint that doesn't read it, so that reading from the
// caller pauses, and what ends the request while it is paused.
struct pause_test : public ::testing::Test
{
  const size_t body_bytes = 40 * 1024 * 1024;
  const int window_bytes = 16384;
  relay_cluster cluster{ 2 };
  std::unique_ptr<raw_conn> caller;

  pause_test ()
  {
    cluster.list_upstream (1);
    cluster.set_routes (1500, 64 * 1024 * 1024);
    cluster.nodes[1]->upstream.reads = false;
    setsockopt (evconnlistener_get_fd (cluster.nodes[1]->upstream.listener),
                SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof window_bytes);
  }

  // Sends the head and most of the body, which fills every buffer on the way.
  void
  upload (size_t node)
  {
    std::string request = request_text ("POST", "/once/x", "r1", "",
                                        std::string (body_bytes, 'b'));

    caller = cluster.connect (node);
    raw_upstream::write (*caller, request);
    cluster.run_ms (300);
    ASSERT_EQ (upstream ().conns.size (), 1u);
    ASSERT_GT (evbuffer_get_length (bufferevent_get_output (caller->bev)), 0u);
  }

  raw_upstream &
  upstream ()
  {
    return cluster.nodes[1]->upstream;
  }

  // True when the caller's connection is gone at every node after it closes.
  bool
  is_released ()
  {
    bufferevent_free (caller->bev);
    return cluster.run_until (
        [&] {
          for (auto &node : cluster.nodes)
            if (node->relay.callers.conn_count > 0
                || node->relay.callers.exchange_count > 0
                || node->relay.peers.exchange_count > 0)
              return false;
          return true;
        },
        4000);
  }
};

// Guards against connections that stay open for good, until no new one is
// taken: the endpoint answers before it has read the body (review/1).
TEST_F (pause_test, EarlyAnswer)
{
  for (size_t node : { 0, 1 })
    {
      upload (node);
      raw_upstream::write (*upstream ().conns[0],
                           "HTTP/1.1 413 Too Large\r\nReq-Id: r1\r\n"
                           "Content-Length: 0\r\n\r\n");
      EXPECT_TRUE (
          cluster.run_until ([&] { return !caller->in.empty (); }, 1000));
      EXPECT_EQ (status_of (caller->in), "413") << node;
      EXPECT_TRUE (is_released ()) << node;
      upstream ().close_all ();
    }
}

// Guards against the same when the endpoint breaks off.
TEST_F (pause_test, EndpointFails)
{
  for (size_t node : { 0, 1 })
    {
      upload (node);
      raw_upstream::end (*upstream ().conns[0], true);
      EXPECT_TRUE (
          cluster.run_until ([&] { return !caller->in.empty (); }, 1000));
      EXPECT_EQ (status_of (caller->in), "502") << node;
      EXPECT_TRUE (is_released ()) << node;
      upstream ().close_all ();
    }
}

// Guards against the same at the time limit.
TEST_F (pause_test, TimeLimit)
{
  for (size_t node : { 0, 1 })
    {
      upload (node);
      EXPECT_TRUE (
          cluster.run_until ([&] { return !caller->in.empty (); }, 3000));
      EXPECT_EQ (status_of (caller->in), "504") << node;
      EXPECT_TRUE (is_released ()) << node;
      upstream ().close_all ();
    }
}

// Guards against the same when the caller leaves.
TEST_F (pause_test, CallerLeaves)
{
  for (size_t node : { 0, 1 })
    {
      upload (node);
      EXPECT_TRUE (is_released ()) << node;
      upstream ().close_all ();
    }
}

// Guards against the same when the node ends its requests in a planned stop.
TEST_F (pause_test, PlannedStop)
{
  upload (0);
  eel_relay_stop (&cluster.nodes[0]->relay);
  eel_relay_end_open (&cluster.nodes[0]->relay);
  EXPECT_TRUE (cluster.run_until ([&] { return !caller->in.empty (); }, 1000));
  EXPECT_TRUE (is_released ());
}

// Guards against a connection that stays open because the caller never sends
// the rest of a request that has its answer.
TEST_F (pause_test, CallerNeverSendsTheRest)
{
  std::string request = request_text ("POST", "/once/x", "r1", "", "abcdef");

  caller = cluster.connect (0);
  raw_upstream::write (*caller, request.substr (0, request.size () - 3));
  EXPECT_TRUE (cluster.run_until ([&] { return caller->closed; }, 6000));
  EXPECT_EQ (status_of (caller->in), "504");
  EXPECT_EQ (cluster.nodes[0]->relay.callers.conn_count, 0u);
  bufferevent_free (caller->bev);
}

// Guards against a connection that is never read again when its request ends in
// the input that was read before the pause (review/8).
TEST (RelayPause, RequestBehindOneThatEndsInThePauseIsAnswered)
{
  // Reading pauses with the last byte of the body.
  const std::string body (262145, 'b');

  for (size_t node : { 0, 1 })
    {
      relay_cluster cluster (2);
      raw_upstream &upstream = cluster.nodes[1]->upstream;
      struct eel_relay &relay = cluster.nodes[1]->relay;
      raw_conn *held = nullptr;
      auto order = cluster.connect (1);
      auto caller = cluster.connect (node);

      SCOPED_TRACE (node);
      cluster.list_upstream (1, 1);
      cluster.set_routes (3000);
      upstream.answer
          = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
              if (held == nullptr)
                held = &conn;
              else
                raw_upstream::write (conn, answer_text (request, "ok"));
            };
      raw_upstream::write (*order, request_text ("POST", "/once/held", "h1"));
      ASSERT_TRUE (cluster.run_until ([&] { return held != nullptr; }));
      raw_upstream::write (*caller,
                           request_text ("POST", "/once/x", "r1", "", body));
      ASSERT_TRUE (cluster.run_until ([&] { return relay.gate.queued == 1; }));
      cluster.run_ms (100);
      raw_upstream::write (*held, answer_text (upstream.requests[0], "ran"));
      EXPECT_TRUE (cluster.run_until (
          [&] { return body_of (caller->in) == "ok"; }, 2000));
      caller->in.clear ();
      raw_upstream::write (*caller, request_text ("POST", "/once/y", "r2"));
      EXPECT_TRUE (cluster.run_until (
          [&] { return body_of (caller->in) == "ok"; }, 2000));
      // The end of the connection is seen, too.
      bufferevent_free (caller->bev);
      bufferevent_free (order->bev);
      EXPECT_TRUE (cluster.run_until (
          [&] {
            return cluster.nodes[0]->relay.callers.conn_count == 0
                   && relay.callers.conn_count == 0;
          },
          2000));
    }
}
