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

// Guards against a request that is passed on late in the grace period, and cut
// off at its end, because its body came late (to the entry node).
TEST (RelayStop, HeldBackUploadThatEndsLateIsRefusedUnsent)
{
  stopping_node node;
  struct eel_relay &relay = node.cluster.nodes[0]->relay;
  auto caller = node.cluster.connect ();
  std::string request = request_text ("POST", "/once/a", "r1", "", "abcdef");
  const uint64_t suspect = 7;

  // While requests of one content are suspected, others wait for their body.
  eel_quarantine_crashed (&relay.quarantine, &suspect, 1, eel_clock_us ());
  raw_upstream::write (*caller, request.substr (0, request.size () - 3));
  node.cluster.run_ms (20);
  node.stop ();
  raw_upstream::write (*caller, request.substr (request.size () - 3));
  node.run_and_close_idle (40);
  EXPECT_EQ (caller->in.substr (0, 12), "HTTP/1.1 503");
  EXPECT_NE (field_of (caller->in, "Retry-After"), "");
  EXPECT_TRUE (node.cluster.nodes[0]->upstream.requests.empty ());
  bufferevent_free (caller->bev);
}

// A node that stops beside the only endpoint, and a caller of another node.
struct stopping_peer
{
  relay_cluster cluster{ 2 };
  std::unique_ptr<raw_conn> caller;
  std::vector<raw_conn *> held;

  stopping_peer ()
  {
    cluster.list_upstream (1, 1);
    cluster.set_routes ();
    cluster.nodes[1]->upstream.answer
        = [&] (raw_upstream &, raw_conn &conn, const std::string &) {
            held.push_back (&conn);
          };
    caller = cluster.connect ();
  }

  ~stopping_peer ()
  {
    bufferevent_free (caller->bev);
  }

  bool
  is_refused ()
  {
    return cluster.run_until ([&] { return !caller->in.empty (); }, 1000)
           && caller->in.substr (0, 12) == "HTTP/1.1 503";
  }
};

// Guards against the same at the node beside the endpoint, which has accepted
// the head and waits for the body.
TEST (RelayStop, RequestWhoseBodyComesLateIsNotStarted)
{
  stopping_peer peer;
  struct eel_relay &stopping = peer.cluster.nodes[1]->relay;
  std::string request = request_text ("POST", "/once/a", "r1", "", "abcdef");

  raw_upstream::write (*peer.caller, request.substr (0, request.size () - 6));
  EXPECT_TRUE (peer.cluster.run_until (
      [&] { return stopping.peers.exchange_count == 1; }));
  peer.cluster.run_ms (20);
  eel_relay_stop (&stopping);
  eel_relay_refuse_new (&stopping);
  raw_upstream::write (*peer.caller, "abcdef");
  EXPECT_TRUE (peer.is_refused ()) << peer.caller->in;
  EXPECT_TRUE (peer.cluster.nodes[1]->upstream.requests.empty ());
}

// Guards against a request of another node that waits here for a slot and is
// cut off at the end of the grace period, though it could run elsewhere.
TEST (RelayStop, WaitingRequestsOfPeersGoElsewhereAtTheEnd)
{
  stopping_peer peer;
  struct eel_relay &stopping = peer.cluster.nodes[1]->relay;
  auto first = peer.cluster.connect ();

  raw_upstream::write (*first, request_text ("POST", "/once/a", "r1"));
  EXPECT_TRUE (peer.cluster.run_until ([&] { return peer.held.size () == 1; }));
  raw_upstream::write (*peer.caller, request_text ("POST", "/once/b", "r2"));
  EXPECT_TRUE (
      peer.cluster.run_until ([&] { return stopping.gate.queued == 1; }));
  eel_relay_end_open (&stopping);
  EXPECT_TRUE (peer.is_refused ()) << peer.caller->in;
  // The one at the endpoint still gets its answer.
  raw_upstream::write (
      *peer.held[0],
      answer_text (peer.cluster.nodes[1]->upstream.requests[0], "ran"));
  EXPECT_TRUE (
      peer.cluster.run_until ([&] { return body_of (first->in) == "ran"; }));
  bufferevent_free (first->bev);
}

// Guards against an answer that has begun and is cut off well before the end of
// the grace period, while its caller reads it.
TEST (RelayStop, AnswerThatIsBeingReadIsNotGivenUp)
{
  stopping_node node;
  raw_upstream &upstream = node.cluster.nodes[0]->upstream;
  const size_t bytes = 16 * 1024 * 1024;
  auto caller = node.cluster.connect ();

  upstream.answer = [&] (raw_upstream &, raw_conn &conn,
                         const std::string &request) {
    raw_upstream::write (conn, answer_text (request, std::string (bytes, 'a')));
  };
  bufferevent_disable (caller->bev, EV_READ);
  raw_upstream::write (*caller, request_text ("GET", "/safe/a", "r1"));
  node.cluster.run_ms (100);
  node.stop ();
  eel_relay_end_open (&node.cluster.nodes[0]->relay);
  node.run_and_close_idle (50);
  EXPECT_FALSE (node.is_idle ());
  bufferevent_enable (caller->bev, EV_READ);
  EXPECT_TRUE (node.cluster.run_until (
      [&] { return body_of (caller->in).size () == bytes; }));
  bufferevent_free (caller->bev);
}

// Guards against memory that is freed twice when a stopping node closes a
// pipelined connection: the end of one request refuses another one there.
TEST (RelayStop, RequestRefusedWhileItsConnectionClosesIsFreedOnce)
{
  stopping_node node;
  struct eel_relay &relay = node.cluster.nodes[0]->relay;
  raw_upstream &upstream = node.cluster.nodes[0]->upstream;
  std::vector<raw_conn *> held;
  auto caller = node.cluster.connect ();

  upstream.answer = [&] (raw_upstream &, raw_conn &conn, const std::string &) {
    held.push_back (&conn);
  };
  eel_gate_set_slots (&relay.gate, 4);
  for (int i = 0; i < 12; i++)
    raw_upstream::write (
        *caller, request_text ("GET", "/safe/a", "r" + std::to_string (i)));
  EXPECT_TRUE (node.cluster.run_until (
      [&] { return relay.gate.queued > 0 && held.size () >= 2; }));
  // A request that starts from now on is refused.
  strcpy (relay.actual_instance, "other");
  relay.actual_until_us = eel_clock_us () + 10 * EEL_US_PER_S;
  eel_relay_stop (&relay);
  raw_upstream::write (*held[0], answer_text (upstream.requests[0], "ran"));
  EXPECT_TRUE (node.cluster.run_until ([&] { return caller->closed; }));
  EXPECT_EQ (body_of (caller->in), "ran");
  EXPECT_EQ (relay.callers.exchange_count, 0u);
  bufferevent_free (caller->bev);
}

// Guards against a request that is ended twice: its end frees a slot, for the
// request before it on the connection, which is then refused with Connection:
// close.
TEST (RelayStop, RequestWhoseEndClosesItsConnectionIsFreedOnce)
{
  stopping_node node;
  struct eel_relay &relay = node.cluster.nodes[0]->relay;
  raw_upstream &upstream = node.cluster.nodes[0]->upstream;
  auto other = node.cluster.connect ();
  auto caller = node.cluster.connect ();

  upstream.answer = [] (raw_upstream &, raw_conn &, const std::string &) {};
  eel_gate_set_slots (&relay.gate, 1);
  raw_upstream::write (*other, request_text ("GET", "/safe/a", "held"));
  ASSERT_TRUE (
      node.cluster.run_until ([&] { return relay.gate.running == 1; }));
  raw_upstream::write (*caller, request_text ("GET", "/safe/a", "waits"));
  ASSERT_TRUE (node.cluster.run_until ([&] { return relay.gate.queued == 1; }));
  // Of a higher rank than the one before it.
  raw_upstream::write (*caller, "GET /once/a HTTP/1.1\r\nHost: shop.example\r\n"
                                "Req-Id: runs\r\nLeft-Ms: 300\r\n\r\n");
  ASSERT_TRUE (node.cluster.run_until ([&] { return relay.gate.queued == 2; }));
  bufferevent_free (other->bev);
  ASSERT_TRUE (
      node.cluster.run_until ([&] { return upstream.requests.size () == 2; }));
  // A request that starts from now on is refused.
  strcpy (relay.actual_instance, "other");
  relay.actual_until_us = eel_clock_us () + 10 * EEL_US_PER_S;
  eel_relay_stop (&relay);
  EXPECT_TRUE (node.cluster.run_until ([&] { return caller->closed; }));
  EXPECT_EQ (status_of (caller->in), "503");
  EXPECT_EQ (relay.callers.exchange_count, 0u);
  bufferevent_free (caller->bev);
}
