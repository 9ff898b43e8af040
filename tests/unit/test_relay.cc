#include "relay_cluster.h"

#include <gtest/gtest.h>

// Guards against a request that does not reach an upstream on another VM, or
// reaches it with system fields that the caller has forged.
TEST (Relay, ForwardsThroughThePeerOfTheUpstream)
{
  relay_cluster cluster (2);

  cluster.list_upstream (1);
  cluster.set_routes ();
  std::string answer = cluster.send_request (request_text (
      "POST", "/once/a?b=c", "r1",
      "From-Service: forged\r\nEel-Call: forged\r\nWant: forged\r\n"
      "Connection: Private\r\nPrivate: 1\r\nKept: yes\r\n",
      "body"));

  ASSERT_EQ (cluster.nodes[1]->upstream.requests.size (), 1u);
  const std::string &received = cluster.nodes[1]->upstream.requests[0];
  EXPECT_EQ (received.substr (0, 26), "POST /once/a?b=c HTTP/1.1\r");
  EXPECT_EQ (field_of (received, "From-Service"), "shop");
  EXPECT_EQ (field_of (received, "Want"), "up-2");
  EXPECT_EQ (field_of (received, "Kept"), "yes");
  EXPECT_EQ (field_of (received, "Private"), "");
  EXPECT_EQ (field_of (received, "Eel-Call"), "");
  EXPECT_EQ (received.find ("forged"), std::string::npos);
  EXPECT_LE (std::stoi (field_of (received, "Left-Ms")), 2000);
  EXPECT_GT (std::stoi (field_of (received, "Left-Ms")), 1500);
  EXPECT_EQ (body_of (received), "body");
  EXPECT_EQ (status_of (answer), "200");
  EXPECT_EQ (body_of (answer), "ok");
  EXPECT_EQ (field_of (answer, "Proof"), "p");
  EXPECT_EQ (field_of (answer, "Eel-Load"), "");
}

// Guards against pipelined answers in another order than the requests.
TEST (Relay, AnswersPipelinedRequestsInOrder)
{
  relay_cluster cluster (1);
  std::vector<raw_conn *> waiting;
  std::vector<std::string> held;

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          waiting.push_back (&conn);
          held.push_back (request);
        };
  auto conn = cluster.connect ();
  raw_upstream::write (*conn, request_text ("GET", "/safe/1", "p1")
                                  + request_text ("GET", "/safe/2", "p2"));
  ASSERT_TRUE (cluster.run_until ([&] { return held.size () == 2; }));
  raw_upstream::write (*waiting[1], answer_text (held[1], "second"));
  cluster.run_ms (50);
  EXPECT_EQ (conn->in, "");
  raw_upstream::write (*waiting[0], answer_text (held[0], "first"));
  ASSERT_TRUE (cluster.run_until (
      [&] { return conn->in.find ("second") != std::string::npos; }));
  EXPECT_LT (conn->in.find ("first"), conn->in.find ("second"));
  bufferevent_free (conn->bev);
}

struct refused_request
{
  const char *name;
  std::string bytes;
  const char *status;
};

class RelayRefusedRequests : public ::testing::TestWithParam<refused_request>
{
};

// Guards against malformed requests for which the upstream could run another
// method, path, query or body than the caller sent.
TEST_P (RelayRefusedRequests, GetAnErrorAndDoNotRun)
{
  relay_cluster cluster (1);

  cluster.list_upstream (0);
  cluster.set_routes ();
  std::string answer = cluster.send_request (GetParam ().bytes);
  EXPECT_EQ (status_of (answer), GetParam ().status);
  EXPECT_TRUE (cluster.nodes[0]->upstream.requests.empty ());
}

static const std::string host = "Host: shop.example\r\n";

INSTANTIATE_TEST_SUITE_P (
    All,
    RelayRefusedRequests,
    ::testing::Values (
        refused_request{ "NulInTarget",
                         "GET /safe/a" + std::string (1, '\0')
                             + "b HTTP/1.1\r\n" + host + "\r\n",
                         "400" },
        refused_request{ "LengthAndChunked",
                         "POST /safe/a HTTP/1.1\r\n" + host
                             + "Content-Length: 4\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n0\r\n\r\n",
                         "400" },
        refused_request{ "AnotherCoding",
                         "POST /safe/a HTTP/1.1\r\n" + host
                             + "Transfer-Encoding: gzip, chunked\r\n\r\n"
                               "0\r\n\r\n",
                         "400" },
        refused_request{ "CrWithoutLf",
                         "POST /safe/a HTTP/1.1\r\n" + host
                             + "Content-Length: 2\r\n\rXab",
                         "400" },
        refused_request{ "TwoLengths",
                         "POST /safe/a HTTP/1.1\r\n" + host
                             + "Content-Length: 1\r\nContent-Length: "
                               "2\r\n\r\nab",
                         "400" },
        refused_request{ "BlankInAName",
                         "POST /safe/a HTTP/1.1\r\n" + host
                             + "Content-Length : 2\r\n\r\nab",
                         "400" },
        refused_request{ "TwoHosts",
                         "GET /safe/a HTTP/1.1\r\n" + host + host + "\r\n",
                         "400" },
        refused_request{ "NoHost", "GET /safe/a HTTP/1.1\r\n\r\n", "400" },
        refused_request{ "UnknownMethod",
                         "FETCH /safe/a HTTP/1.1\r\n" + host + "\r\n", "400" },
        refused_request{ "Fragment",
                         "GET /safe/a#b HTTP/1.1\r\n" + host + "\r\n", "400" },
        refused_request{ "BadChunk",
                         "POST /none/a HTTP/1.1\r\n" + host
                             + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                         "404" },
        refused_request{ "LongHead",
                         "GET /safe/a HTTP/1.1\r\n" + host
                             + "A: " + std::string (20000, 'a') + "\r\n\r\n",
                         "431" },
        refused_request{ "LongBody",
                         "POST /safe/a HTTP/1.1\r\n" + host
                             + "Content-Length: 2000000\r\n\r\n",
                         "413" },
        refused_request{ "NoRoute", "GET /none/a HTTP/1.1\r\n" + host + "\r\n",
                         "404" }),
    [] (const auto &info) { return info.param.name; });

// Guards against 404 for a route before the first configuration has arrived.
TEST (Relay, RefusesWithRetryAfterBeforeTheFirstConfiguration)
{
  relay_cluster cluster (1);
  std::string answer
      = cluster.send_request (request_text ("GET", "/safe/1", "r1"));

  EXPECT_EQ (status_of (answer), "503");
  EXPECT_NE (field_of (answer, "Retry-After"), "");
}

// Guards against further requests to an address that now belongs to another
// endpoint.
TEST (Relay, AddressOfAnotherEndpointIsNotTriedAgain)
{
  relay_cluster cluster (2);

  cluster.list_upstream (1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer = [] (raw_upstream &, raw_conn &conn,
                                          const std::string &request) {
    raw_upstream::write (conn, answer_text (request, "", "421 Misdirected",
                                            "Actual: other\r\n"));
  };
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (status_of (cluster.send_request (
                   request_text ("GET", "/safe/1", "r" + std::to_string (i)))),
               "503");
  EXPECT_EQ (cluster.nodes[1]->upstream.requests.size (), 1u);
}

// Guards against sending a request to an endpoint that is listed as draining.
TEST (Relay, DrainingEndpointGetsNoRequests)
{
  relay_cluster cluster (2);

  cluster.list_upstream (1);
  cluster.set_routes ();
  cluster.list_upstream (1, 10, false);
  EXPECT_EQ (
      status_of (cluster.send_request (request_text ("GET", "/safe/1", "r1"))),
      "503");
  EXPECT_TRUE (cluster.nodes[1]->upstream.requests.empty ());
}

// Guards against more concurrent requests at an endpoint than it has slots, and
// against queued requests that are lost when slots become free.
TEST (Relay, EndpointNeverGetsMoreThanItsSlots)
{
  relay_cluster cluster (1);
  size_t running = 0;
  size_t running_max = 0;
  std::vector<std::pair<raw_conn *, std::string>> open;
  std::vector<std::unique_ptr<raw_conn>> callers;

  cluster.list_upstream (0, 4);
  cluster.set_routes (8000);
  cluster.nodes[0]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          running++;
          running_max = std::max (running_max, running);
          open.push_back ({ &conn, request });
        };
  for (int i = 0; i < 12; i++)
    {
      callers.push_back (cluster.connect ());
      raw_upstream::write (
          *callers.back (),
          request_text ("POST", "/once/1", "r" + std::to_string (i)));
    }
  size_t answered = 0;
  ASSERT_TRUE (cluster.run_until ([&] {
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
  EXPECT_LE (running_max, 4u);
  for (auto &caller : callers)
    bufferevent_free (caller->bev);
}

// Guards against a node that counts as idle before the last answer is sent, and
// against closing a kept connection that carries a request.
TEST (Relay, PlannedStopCompletesOpenRequests)
{
  relay_cluster cluster (1);
  raw_conn *waiting = nullptr;
  std::string held;

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          waiting = &conn;
          held = request;
        };
  auto conn = cluster.connect ();
  raw_upstream::write (*conn, request_text ("POST", "/once/1", "r1"));
  ASSERT_TRUE (cluster.run_until ([&] { return waiting != nullptr; }));
  eel_relay_stop (&cluster.nodes[0]->relay);
  eel_server_close_idle (&cluster.nodes[0]->relay.callers);
  EXPECT_FALSE (eel_relay_is_idle (&cluster.nodes[0]->relay));
  raw_upstream::write (*waiting, answer_text (held, "done"));
  ASSERT_TRUE (cluster.run_until ([&] { return conn->closed; }));
  EXPECT_EQ (body_of (conn->in), "done");
  EXPECT_EQ (field_of (conn->in, "Connection"), "close");
  EXPECT_FALSE (conn->reset);
  EXPECT_TRUE (eel_relay_is_idle (&cluster.nodes[0]->relay));
  bufferevent_free (conn->bev);
}

// Guards against the remainder of a body reaching the endpoint as another
// request after an early answer.
TEST (Relay, EarlyAnswerEndsTheConnectionToTheEndpoint)
{
  relay_cluster cluster (1);
  std::string whole (40000, 'x');

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer = nullptr;
  auto conn = cluster.connect ();
  raw_upstream::write (*conn, "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\n"
                              "Req-Id: r1\r\nLeft-Ms: 4000\r\n"
                              "Content-Length: 40000\r\n\r\nstart");
  auto &upstream = cluster.nodes[0]->upstream;
  ASSERT_TRUE (cluster.run_until ([&] {
    return !upstream.conns.empty () && !upstream.conns[0]->in.empty ();
  }));
  raw_upstream::write (*upstream.conns[0],
                       "HTTP/1.1 413 Long\r\nReq-Id: r1\r\nProof: p\r\n"
                       "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE (cluster.run_until (
      [&] { return conn->in.find (" 413 ") != std::string::npos; }));
  EXPECT_TRUE (
      cluster.run_until ([&] { return upstream.closed_by_peer == 1; }));
  // The caller's connection stays usable after the remainder of the body.
  raw_upstream::write (*conn, whole.substr (5));
  upstream.answer
      = [] (raw_upstream &, raw_conn &to, const std::string &request) {
          raw_upstream::write (to, answer_text (request, "next"));
        };
  raw_upstream::write (*conn, request_text ("GET", "/safe/1", "r2"));
  EXPECT_TRUE (cluster.run_until (
      [&] { return conn->in.find ("next") != std::string::npos; }));
  bufferevent_free (conn->bev);
}

// Guards against request bodies that are buffered whole instead of relayed in
// chunks, and against a chunked body that is lost in either direction.
TEST (Relay, ChunkedBodiesAreRelayed)
{
  relay_cluster cluster (2);

  cluster.list_upstream (1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, "HTTP/1.1 200 OK\r\nReq-Id: "
                                         + field_of (request, "Req-Id")
                                         + "\r\nProof: p\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n"
                                           "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        };
  std::string answer = cluster.send_request (
      "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nReq-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n");

  ASSERT_EQ (cluster.nodes[1]->upstream.requests.size (), 1u);
  EXPECT_EQ (body_of (cluster.nodes[1]->upstream.requests[0]),
             "4\r\nwxyz\r\n0\r\n\r\n");
  EXPECT_EQ (body_of (answer), "abcde");
}

// Guards against requests that wait for an unresponsive node, and against a
// request that runs there when it resumes, after it has run elsewhere.
TEST (Relay, RequestsMoveAwayFromAnUnresponsiveNode)
{
  relay_cluster cluster (3);
  std::vector<std::unique_ptr<raw_conn>> callers;
  struct eel_server &unresponsive = cluster.nodes[2]->relay.peers;

  cluster.list_upstream (1, 100);
  cluster.list_upstream (2, 100);
  cluster.set_routes ();
  evconnlistener_disable (unresponsive.listener);
  for (int i = 0; i < 20; i++)
    {
      callers.push_back (cluster.connect ());
      raw_upstream::write (*callers.back (),
                           request_text (i % 2 == 0 ? "POST" : "GET",
                                         i % 2 == 0 ? "/once/1" : "/safe/1",
                                         "r" + std::to_string (i)));
    }
  EXPECT_TRUE (cluster.run_until (
      [&] {
        for (auto &caller : callers)
          if (caller->in.find (" 200 ") == std::string::npos)
            return false;
        return true;
      },
      1900));
  EXPECT_EQ (cluster.nodes[1]->upstream.requests.size (), 20u);
  evconnlistener_enable (unresponsive.listener);
  cluster.run_ms (100);
  EXPECT_TRUE (cluster.nodes[2]->upstream.requests.empty ());
  for (auto &caller : callers)
    bufferevent_free (caller->bev);
}

// Guards against a request without a body that runs at a peer before the peer
// has accepted it with 100 Continue.
TEST (Relay, RequestWithoutABodyWaitsUntilItIsAccepted)
{
  relay_cluster cluster (2);
  raw_upstream peer;
  struct eel_relay &relay = cluster.nodes[0]->relay;

  // Takes the place of the second node, whose listener is closed.
  eel_server_stop (&cluster.nodes[1]->relay.peers);
  peer.open (cluster.base, "127.0.0.2", ntohs (relay.config.peers.sin_port));
  peer.answer = nullptr;
  cluster.list_upstream (1);
  cluster.set_routes (300);
  auto caller = cluster.connect ();
  raw_upstream::write (*caller, request_text ("DELETE", "/once/1", "r1"));
  ASSERT_TRUE (cluster.run_until (
      [&] { return !peer.conns.empty () && !peer.conns[0]->in.empty (); }));
  cluster.run_ms (50);
  EXPECT_NE (peer.conns[0]->in.find ("Transfer-Encoding: chunked"),
             std::string::npos);
  EXPECT_TRUE (peer.requests.empty ());
  raw_upstream::write (*peer.conns[0], "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_TRUE (cluster.run_until ([&] { return peer.requests.size () == 1; }));
  // Accepted and unanswered, it may have run.
  EXPECT_TRUE (cluster.run_until (
      [&] { return caller->in.find (" 504 ") != std::string::npos; }));
  bufferevent_free (caller->bev);
}
