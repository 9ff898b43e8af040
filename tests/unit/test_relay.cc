#include "relay_world.h"

#include <gtest/gtest.h>

static std::string
status_of (const std::string &answer)
{
  return answer.size () > 12 ? answer.substr (9, 3) : answer;
}

static std::string
body_of (const std::string &answer)
{
  size_t at = answer.find ("\r\n\r\n");

  return at == std::string::npos ? "" : answer.substr (at + 4);
}

// Guards against a request that does not reach the upstream beside a peer, or
// reaches it with fields that the caller set in the system's place.
TEST (Relay, PassesThroughThePeerBesideTheUpstream)
{
  relay_world world (2);

  world.list (1);
  world.publish ();
  std::string answer = world.ask (request_text (
      "POST", "/once/a?b=c", "r1",
      "From-Service: forged\r\nEel-Call: forged\r\nWant: forged\r\n"
      "Connection: Private\r\nPrivate: 1\r\nKept: yes\r\n",
      "body"));

  ASSERT_EQ (world.nodes[1]->upstream.requests.size (), 1u);
  const std::string &seen = world.nodes[1]->upstream.requests[0];
  EXPECT_EQ (seen.substr (0, 26), "POST /once/a?b=c HTTP/1.1\r");
  EXPECT_EQ (field_of (seen, "From-Service"), "shop");
  EXPECT_EQ (field_of (seen, "Want"), "up-2");
  EXPECT_EQ (field_of (seen, "Kept"), "yes");
  EXPECT_EQ (field_of (seen, "Private"), "");
  EXPECT_EQ (field_of (seen, "Eel-Call"), "");
  EXPECT_EQ (seen.find ("forged"), std::string::npos);
  EXPECT_LE (std::stoi (field_of (seen, "Left-Ms")), 2000);
  EXPECT_GT (std::stoi (field_of (seen, "Left-Ms")), 1500);
  EXPECT_EQ (body_of (seen), "body");
  EXPECT_EQ (status_of (answer), "200");
  EXPECT_EQ (body_of (answer), "ok");
  EXPECT_EQ (field_of (answer, "Proof"), "p");
  EXPECT_EQ (field_of (answer, "Eel-Load"), "");
}

// Guards against answers on one connection in another order than the requests.
TEST (Relay, AnswersPipelinedRequestsInOrder)
{
  relay_world world (1);
  std::vector<raw_conn *> waiting;
  std::vector<std::string> held;

  world.list (0);
  world.publish ();
  world.nodes[0]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          waiting.push_back (&conn);
          held.push_back (request);
        };
  auto conn = world.connect ();
  raw_upstream::write (*conn, request_text ("GET", "/safe/1", "p1")
                                  + request_text ("GET", "/safe/2", "p2"));
  ASSERT_TRUE (world.run_until ([&] { return held.size () == 2; }));
  raw_upstream::write (*waiting[1], answer_text (held[1], "second"));
  world.run_ms (50);
  EXPECT_EQ (conn->in, "");
  raw_upstream::write (*waiting[0], answer_text (held[0], "first"));
  ASSERT_TRUE (world.run_until (
      [&] { return conn->in.find ("second") != std::string::npos; }));
  EXPECT_LT (conn->in.find ("first"), conn->in.find ("second"));
  bufferevent_free (conn->bev);
}

struct refused_form
{
  const char *name;
  std::string bytes;
  const char *status;
};

class RelayForms : public ::testing::TestWithParam<refused_form>
{
};

// Guards against forms in which the upstream would run another method, path,
// query or body than the caller sent.
TEST_P (RelayForms, AreRefusedAndNothingRuns)
{
  relay_world world (1);

  world.list (0);
  world.publish ();
  std::string answer = world.ask (GetParam ().bytes);
  EXPECT_EQ (status_of (answer), GetParam ().status);
  EXPECT_TRUE (world.nodes[0]->upstream.requests.empty ());
}

static const std::string host = "Host: shop.example\r\n";

INSTANTIATE_TEST_SUITE_P (
    All,
    RelayForms,
    ::testing::Values (
        refused_form{ "NulInTarget",
                      "GET /safe/a" + std::string (1, '\0') + "b HTTP/1.1\r\n"
                          + host + "\r\n",
                      "400" },
        refused_form{ "LengthAndChunked",
                      "POST /safe/a HTTP/1.1\r\n" + host
                          + "Content-Length: 4\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n0\r\n\r\n",
                      "400" },
        refused_form{ "TwoLengths",
                      "POST /safe/a HTTP/1.1\r\n" + host
                          + "Content-Length: 1\r\nContent-Length: "
                            "2\r\n\r\nab",
                      "400" },
        refused_form{ "TwoHosts",
                      "GET /safe/a HTTP/1.1\r\n" + host + host + "\r\n",
                      "400" },
        refused_form{ "NoHost", "GET /safe/a HTTP/1.1\r\n\r\n", "400" },
        refused_form{ "UnknownMethod",
                      "FETCH /safe/a HTTP/1.1\r\n" + host + "\r\n", "400" },
        refused_form{ "Fragment", "GET /safe/a#b HTTP/1.1\r\n" + host + "\r\n",
                      "400" },
        refused_form{ "BadChunk",
                      "POST /none/a HTTP/1.1\r\n" + host
                          + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                      "404" },
        refused_form{ "LongHead",
                      "GET /safe/a HTTP/1.1\r\n" + host
                          + "A: " + std::string (20000, 'a') + "\r\n\r\n",
                      "431" },
        refused_form{ "LongBody",
                      "POST /safe/a HTTP/1.1\r\n" + host
                          + "Content-Length: 2000000\r\n\r\n",
                      "413" },
        refused_form{ "NoRoute", "GET /none/a HTTP/1.1\r\n" + host + "\r\n",
                      "404" }),
    [] (const auto &info) { return info.param.name; });

// Guards against 404 for a route that is only not known yet.
TEST (Relay, AsksCallersToComeBackWhileNoConfigurationIsKnown)
{
  relay_world world (1);
  std::string answer = world.ask (request_text ("GET", "/safe/1", "r1"));

  EXPECT_EQ (status_of (answer), "503");
  EXPECT_NE (field_of (answer, "Retry-After"), "");
}

// Guards against an order that is sent again, or said not to have run, after
// its answer was lost on the way.
TEST (Relay, OrderWithALostAnswerIsNotSentAgain)
{
  relay_world world (3);

  world.list (1);
  world.list (2);
  world.publish ();
  for (size_t i = 1; i < 3; i++)
    world.nodes[i]->upstream.answer
        = [] (raw_upstream &, raw_conn &conn, const std::string &) {
            raw_upstream::end (conn, true);
          };
  std::string answer = world.ask (request_text ("POST", "/once/1", "r1"));

  EXPECT_EQ (status_of (answer), "502");
  EXPECT_EQ (world.nodes[1]->upstream.requests.size ()
                 + world.nodes[2]->upstream.requests.size (),
             1u);
}

// Guards against a lookup that fails with its first endpoint.
TEST (Relay, LookupWithALostAnswerGoesToAnotherEndpoint)
{
  relay_world world (3);
  int broken = 0;

  world.list (1);
  world.list (2);
  world.publish ();
  for (size_t i = 1; i < 3; i++)
    world.nodes[i]->upstream.answer
        = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
            if (broken++ == 0)
              raw_upstream::end (conn, true);
            else
              raw_upstream::write (conn, answer_text (request, "ok"));
          };
  EXPECT_EQ (status_of (world.ask (request_text ("GET", "/safe/1", "r1"))),
             "200");
  EXPECT_EQ (world.nodes[1]->upstream.requests.size (), 1u);
  EXPECT_EQ (world.nodes[2]->upstream.requests.size (), 1u);
}

// Guards against a refusal without Retry-After, and against an order that is
// lost although every endpoint said that it did not run it.
TEST (Relay, OrderThatNoEndpointRanIsRefusedWithRetryAfter)
{
  relay_world world (2);

  world.list (1);
  world.publish ();
  world.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (
              conn, answer_text (request, "", "503 Full", "Not-Run: 1\r\n"));
        };
  std::string answer = world.ask (request_text ("POST", "/once/1", "r1"));

  EXPECT_EQ (status_of (answer), "503");
  EXPECT_GT (std::stod (field_of (answer, "Retry-After")), 0.0);
  EXPECT_LE (std::stod (field_of (answer, "Retry-After")), 2.0 / 3);
}

// Guards against a status that promises that an order has not run, passed on
// from an endpoint that did not say so.
TEST (Relay, PromiseWithoutTheEndpointsWordIsNotPassedOn)
{
  relay_world world (1);

  world.list (0);
  world.publish ();
  world.nodes[0]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, answer_text (request, "", "503 Oops"));
        };
  std::string answer = world.ask (request_text ("POST", "/once/1", "r1"));

  EXPECT_EQ (status_of (answer), "502");
  EXPECT_EQ (field_of (answer, "Proof"), "");
}

// Guards against an answer of another request, late or doubled.
TEST (Relay, AnswerOfAnotherRequestIsDropped)
{
  relay_world world (1);

  world.list (0);
  world.publish ();
  world.nodes[0]->upstream.answer = [] (raw_upstream &, raw_conn &conn,
                                        const std::string &request) {
    raw_upstream::write (conn, answer_text ("\r\nReq-Id: other\r\n", "wrong")
                                   + answer_text (request, "right"));
  };
  EXPECT_EQ (body_of (world.ask (request_text ("GET", "/safe/1", "r1"))),
             "right");
}

// Guards against extra bytes after an answer that reach the next caller.
TEST (Relay, BytesAfterAnAnswerReachNobody)
{
  relay_world world (1);

  world.list (0);
  world.publish ();
  world.nodes[0]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, answer_text (request, "ok") + "garbage");
        };
  for (int i = 0; i < 3; i++)
    {
      std::string id = "r" + std::to_string (i);

      EXPECT_EQ (body_of (world.ask (request_text ("GET", "/safe/1", id))),
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

// Guards against an answer without a length that was reset on the way and
// passes for a whole one.
TEST_P (RelayEndings, OfAnAnswerWithoutALength)
{
  relay_world world (2);

  world.list (1);
  world.publish ();
  world.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::end (conn, GetParam ().reset,
                             "HTTP/1.1 200 OK\r\nReq-Id: "
                                 + field_of (request, "Req-Id")
                                 + "\r\nProof: p\r\n\r\npart");
        };
  std::string answer = world.ask (request_text ("POST", "/once/1", "r1"));

  EXPECT_EQ (status_of (answer), GetParam ().status);
}

INSTANTIATE_TEST_SUITE_P (Both,
                          RelayEndings,
                          ::testing::Values (ending{ false, "200" },
                                             ending{ true, "502" }));

// Guards against work that goes on after its caller has left.
TEST (Relay, CallerThatLeavesEndsTheRun)
{
  relay_world world (2);

  world.list (1);
  world.publish ();
  world.nodes[1]->upstream.answer = nullptr;
  auto conn = world.connect ();
  raw_upstream::write (*conn, request_text ("GET", "/safe/1", "r1"));
  ASSERT_TRUE (world.run_until (
      [&] { return !world.nodes[1]->upstream.requests.empty (); }));
  bufferevent_free (conn->bev);
  EXPECT_TRUE (world.run_until (
      [&] { return world.nodes[1]->upstream.closed_by_peer == 1; }));
  EXPECT_EQ (world.nodes[1]->relay.gate.running, 0u);
}

// Guards against a refusal for an order that was still running when its time
// ran out.
TEST (Relay, TimeLimitOfARunningOrderIsNoRefusal)
{
  relay_world world (2);

  world.list (1);
  world.publish (300);
  world.nodes[1]->upstream.answer = nullptr;
  EXPECT_EQ (status_of (world.ask (request_text ("POST", "/once/1", "r1"))),
             "504");
  EXPECT_TRUE (world.run_until (
      [&] { return world.nodes[1]->upstream.closed_by_peer == 1; }));
}

// Guards against requests that go on reaching an address that has passed to
// another endpoint.
TEST (Relay, AddressOfAnotherEndpointIsNotTriedAgain)
{
  relay_world world (2);

  world.list (1);
  world.publish ();
  world.nodes[1]->upstream.answer = [] (raw_upstream &, raw_conn &conn,
                                        const std::string &request) {
    raw_upstream::write (conn, answer_text (request, "", "421 Misdirected",
                                            "Actual: other\r\n"));
  };
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (status_of (world.ask (
                   request_text ("GET", "/safe/1", "r" + std::to_string (i)))),
               "503");
  EXPECT_EQ (world.nodes[1]->upstream.requests.size (), 1u);
}

// Guards against a request for an endpoint that its own node knows to leave.
TEST (Relay, LeavingEndpointGetsNothing)
{
  relay_world world (2);

  world.list (1);
  world.publish ();
  world.list (1, 10, false);
  EXPECT_EQ (status_of (world.ask (request_text ("GET", "/safe/1", "r1"))),
             "503");
  EXPECT_TRUE (world.nodes[1]->upstream.requests.empty ());
}

// Guards against more requests at an endpoint than it has slots, and against
// waiting requests that are lost when slots get free.
TEST (Relay, EndpointNeverGetsMoreThanItsSlots)
{
  relay_world world (1);
  size_t running = 0;
  size_t most = 0;
  std::vector<std::pair<raw_conn *, std::string>> open;
  std::vector<std::unique_ptr<raw_conn>> callers;

  world.list (0, 4);
  world.publish (8000);
  world.nodes[0]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          running++;
          most = std::max (most, running);
          open.push_back ({ &conn, request });
        };
  for (int i = 0; i < 12; i++)
    {
      callers.push_back (world.connect ());
      raw_upstream::write (
          *callers.back (),
          request_text ("POST", "/once/1", "r" + std::to_string (i)));
    }
  size_t answered = 0;
  ASSERT_TRUE (world.run_until ([&] {
    if (!open.empty ())
      {
        raw_upstream::write (*open[0].first, answer_text (open[0].second, ""));
        open.erase (open.begin ());
        running--;
      }
    answered = 0;
    for (auto &caller : callers)
      answered += caller->in.find (" 200 ") != std::string::npos;
    return answered == 12;
  }));
  EXPECT_LE (most, 4u);
  for (auto &caller : callers)
    bufferevent_free (caller->bev);
}

// Guards against the end of the process before the last answer has left, and
// against a kept connection that is closed with a request on it.
TEST (Relay, PlannedStopDeliversWhatIsOpen)
{
  relay_world world (1);
  raw_conn *waiting = nullptr;
  std::string held;

  world.list (0);
  world.publish ();
  world.nodes[0]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          waiting = &conn;
          held = request;
        };
  auto conn = world.connect ();
  raw_upstream::write (*conn, request_text ("POST", "/once/1", "r1"));
  ASSERT_TRUE (world.run_until ([&] { return waiting != nullptr; }));
  eel_relay_stop (&world.nodes[0]->relay);
  eel_server_close_idle (&world.nodes[0]->relay.callers);
  EXPECT_FALSE (eel_relay_is_idle (&world.nodes[0]->relay));
  raw_upstream::write (*waiting, answer_text (held, "done"));
  ASSERT_TRUE (world.run_until ([&] { return conn->closed; }));
  EXPECT_EQ (body_of (conn->in), "done");
  EXPECT_EQ (field_of (conn->in, "Connection"), "close");
  EXPECT_FALSE (conn->reset);
  EXPECT_TRUE (eel_relay_is_idle (&world.nodes[0]->relay));
  bufferevent_free (conn->bev);
}

// Guards against the rest of a body that reaches the endpoint as another
// request after an early answer.
TEST (Relay, EarlyAnswerEndsTheConnectionToTheEndpoint)
{
  relay_world world (1);
  std::string whole (40000, 'x');

  world.list (0);
  world.publish ();
  world.nodes[0]->upstream.answer = nullptr;
  auto conn = world.connect ();
  raw_upstream::write (*conn, "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\n"
                              "Req-Id: r1\r\nLeft-Ms: 4000\r\n"
                              "Content-Length: 40000\r\n\r\nstart");
  auto &upstream = world.nodes[0]->upstream;
  ASSERT_TRUE (world.run_until ([&] {
    return !upstream.conns.empty () && !upstream.conns[0]->in.empty ();
  }));
  raw_upstream::write (*upstream.conns[0],
                       "HTTP/1.1 413 Long\r\nReq-Id: r1\r\nProof: p\r\n"
                       "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE (world.run_until (
      [&] { return conn->in.find (" 413 ") != std::string::npos; }));
  EXPECT_TRUE (world.run_until ([&] { return upstream.closed_by_peer == 1; }));
  // The caller's connection goes on after the rest of the body.
  raw_upstream::write (*conn, whole.substr (5));
  upstream.answer
      = [] (raw_upstream &, raw_conn &to, const std::string &request) {
          raw_upstream::write (to, answer_text (request, "next"));
        };
  raw_upstream::write (*conn, request_text ("GET", "/safe/1", "r2"));
  EXPECT_TRUE (world.run_until (
      [&] { return conn->in.find ("next") != std::string::npos; }));
  bufferevent_free (conn->bev);
}

// Guards against bodies that are held whole: chunks pass in both directions.
TEST (Relay, ChunkedBodiesPass)
{
  relay_world world (2);

  world.list (1);
  world.publish ();
  world.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, "HTTP/1.1 200 OK\r\nReq-Id: "
                                         + field_of (request, "Req-Id")
                                         + "\r\nProof: p\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n"
                                           "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        };
  std::string answer = world.ask (
      "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nReq-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n");

  ASSERT_EQ (world.nodes[1]->upstream.requests.size (), 1u);
  EXPECT_EQ (body_of (world.nodes[1]->upstream.requests[0]),
             "4\r\nwxyz\r\n0\r\n\r\n");
  EXPECT_EQ (body_of (answer), "abcde");
}

// Guards against requests that wait for a node that stands still, and against
// an order that runs there when it wakes, after it has run elsewhere.
TEST (Relay, RequestsLeaveANodeThatStandsStill)
{
  relay_world world (3);
  std::vector<std::unique_ptr<raw_conn>> callers;
  struct eel_server &still = world.nodes[2]->relay.peers;

  world.list (1, 100);
  world.list (2, 100);
  world.publish ();
  evconnlistener_disable (still.listener);
  for (int i = 0; i < 20; i++)
    {
      callers.push_back (world.connect ());
      raw_upstream::write (*callers.back (),
                           request_text (i % 2 == 0 ? "POST" : "GET",
                                         i % 2 == 0 ? "/once/1" : "/safe/1",
                                         "r" + std::to_string (i)));
    }
  EXPECT_TRUE (world.run_until (
      [&] {
        for (auto &caller : callers)
          if (caller->in.find (" 200 ") == std::string::npos)
            return false;
        return true;
      },
      1900));
  EXPECT_EQ (world.nodes[1]->upstream.requests.size (), 20u);
  evconnlistener_enable (still.listener);
  world.run_ms (100);
  EXPECT_TRUE (world.nodes[2]->upstream.requests.empty ());
  for (auto &caller : callers)
    bufferevent_free (caller->bev);
}

// Guards against a request without a body that runs at a peer before its
// entry node has heard that the peer has taken it.
TEST (Relay, RequestWithoutABodyWaitsUntilItIsTaken)
{
  relay_world world (2);
  raw_upstream peer;
  struct eel_relay &relay = world.nodes[0]->relay;

  // Stands in for the node at the second VM, which then has no listener.
  eel_server_stop (&world.nodes[1]->relay.peers);
  peer.open (world.base, "127.0.0.2", ntohs (relay.config.peers.sin_port));
  peer.answer = nullptr;
  world.list (1);
  world.publish (300);
  auto caller = world.connect ();
  raw_upstream::write (*caller, request_text ("DELETE", "/once/1", "r1"));
  ASSERT_TRUE (world.run_until (
      [&] { return !peer.conns.empty () && !peer.conns[0]->in.empty (); }));
  world.run_ms (50);
  EXPECT_NE (peer.conns[0]->in.find ("Transfer-Encoding: chunked"),
             std::string::npos);
  EXPECT_TRUE (peer.requests.empty ());
  raw_upstream::write (*peer.conns[0], "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_TRUE (world.run_until ([&] { return peer.requests.size () == 1; }));
  // Taken and without an answer, it may have run.
  EXPECT_TRUE (world.run_until (
      [&] { return caller->in.find (" 504 ") != std::string::npos; }));
  bufferevent_free (caller->bev);
}
