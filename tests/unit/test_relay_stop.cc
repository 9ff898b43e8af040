#include "relay_cluster.h"

#include <gtest/gtest.h>

// A node late in its planned stop, which refuses requests and closes idle
// connections again and again, as the daemon does.
struct stopping_node
{
  relay_cluster cluster{ 1 };

  stopping_node ()
  {
    cluster.list_upstream (0);
    cluster.set_routes ();
  }

  void
  stop ()
  {
    eel_relay_stop (&cluster.nodes[0]->relay);
    eel_relay_refuse_new (&cluster.nodes[0]->relay);
  }

  void
  run_and_close_idle (int64_t ms)
  {
    for (int64_t i = 0; i < ms; i += 5)
      {
        cluster.run_ms (5);
        eel_server_close_idle (&cluster.nodes[0]->relay.callers);
      }
  }

  bool
  is_idle ()
  {
    return eel_relay_is_idle (&cluster.nodes[0]->relay);
  }
};

// Guards against a connection that is closed, or a process that ends, between
// accepting a caller and reading its request.
TEST (RelayStop, CallerThatHasJustConnectedIsAnswered)
{
  stopping_node node;
  auto caller = node.cluster.connect ();

  node.cluster.run_ms (20);
  node.stop ();
  EXPECT_FALSE (node.is_idle ());
  node.run_and_close_idle (40);
  raw_upstream::write (*caller, request_text ("POST", "/once/a", "r1"));
  node.run_and_close_idle (40);
  EXPECT_EQ (caller->in.substr (0, 12), "HTTP/1.1 503");
  EXPECT_NE (field_of (caller->in, "Retry-After"), "");
  bufferevent_free (caller->bev);
}

// Guards against a stop in the middle of a head.
TEST (RelayStop, RequestWhoseHeadHasBegunIsAnswered)
{
  stopping_node node;
  auto caller = node.cluster.connect ();
  std::string request = request_text ("GET", "/safe/a", "r1");

  raw_upstream::write (*caller, request.substr (0, 20));
  node.cluster.run_ms (20);
  node.stop ();
  node.run_and_close_idle (300);
  EXPECT_FALSE (node.is_idle ());
  raw_upstream::write (*caller, request.substr (20));
  node.run_and_close_idle (40);
  EXPECT_EQ (caller->in.substr (0, 12), "HTTP/1.1 503");
  bufferevent_free (caller->bev);
}

// Guards against requests that were sent behind others and are cut off.
TEST (RelayStop, PipelinedRequestsAreAnsweredOrNotRead)
{
  stopping_node node;
  auto caller = node.cluster.connect ();
  size_t answers = 0;

  node.cluster.nodes[0]->upstream.answer = nullptr;
  raw_upstream::write (*caller, request_text ("GET", "/safe/a", "r1")
                                    + request_text ("GET", "/safe/b", "r2"));
  node.cluster.run_until (
      [&] { return node.cluster.nodes[0]->upstream.requests.size () == 2; });
  node.stop ();
  node.run_and_close_idle (40);
  EXPECT_FALSE (node.is_idle ());
  for (auto &conn : node.cluster.nodes[0]->upstream.conns)
    raw_upstream::write (
        *conn, answer_text (node.cluster.nodes[0]->upstream.requests[answers++],
                            "ok"));
  node.run_and_close_idle (40);
  // The first answer closes the connection: the second counts as not read.
  EXPECT_EQ (caller->in.substr (0, 12), "HTTP/1.1 200");
  EXPECT_EQ (field_of (caller->in, "Connection"), "close");
  bufferevent_free (caller->bev);
}

// Guards against a stop that waits for callers that send nothing.
TEST (RelayStop, IdleConnectionsAreClosed)
{
  stopping_node node;
  auto caller = node.cluster.connect ();

  node.cluster.run_ms (300);
  node.stop ();
  EXPECT_TRUE (node.is_idle ());
  node.run_and_close_idle (40);
  EXPECT_TRUE (caller->closed);
  bufferevent_free (caller->bev);
}
