#include "relay_caps.h"

extern "C"
{
#include "eelgrasslatch/cap_message.h"
}

// Guards against caps that hold at each node by itself.
TEST_F (relay_caps, CapHoldsOverAllNodes)
{
  size_t served = 0;
  size_t over = 0;

  cluster.run_ms (1500);
  for (size_t i = 0; i < 60; i++)
    {
      std::string answer = send (i % 3);

      if (status_of (answer) == "200")
        served++;
      else
        {
          over++;
          EXPECT_EQ (status_of (answer), "429");
          EXPECT_GE (std::stod (field_of (answer, "Retry-After")), 0.1);
        }
    }
  EXPECT_EQ (arrivals (), served);
  // A burst of 10 and the tolerance that buckets use.
  EXPECT_GE (served, 10u);
  EXPECT_GT (over, 0u);
  EXPECT_NE (holder (), 3u);
  EXPECT_GT (cluster.nodes[0]->relay.caps->counters.refused->value
                 + cluster.nodes[1]->relay.caps->counters.refused->value
                 + cluster.nodes[2]->relay.caps->counters.refused->value,
             0u);
}

TEST_F (relay_caps, TeamsWithoutACapAreNotLimited)
{
  for (size_t i = 0; i < 60; i++)
    EXPECT_EQ (status_of (send (i % 3, "kb")), "200");
  EXPECT_EQ (holder (), 3u);
}

TEST_F (relay_caps, LostHolderIsReplaced)
{
  size_t lost;
  bool served = false;

  cluster.run_ms (1000);
  for (size_t at = 0; at < 3; at++)
    EXPECT_EQ (status_of (send (at)), "200");
  lost = holder ();
  ASSERT_NE (lost, 3u);
  event_del (caps (lost)->readable);
  event_del (caps (lost)->timer);
  caps (lost)->in_force = 0;
  cluster.run_ms (1000);
  for (size_t i = 0; i < 30 && !served; i++)
    {
      served = status_of (send ((lost + 1) % 3)) == "200";
      cluster.run_ms (50);
    }
  EXPECT_TRUE (served);
  EXPECT_GT (caps ((lost + 1) % 3)->cap.holders_lost, 0u);
}

// Guards against requests that run because nobody could say that they may not.
TEST_F (relay_caps, WithoutAHolderRequestsAreRefusedUnrun)
{
  std::string answer;

  for (size_t at = 0; at < 3; at++)
    caps (at)->relay->stopping = 1;
  answer = send (0);
  EXPECT_EQ (status_of (answer), "503");
  EXPECT_NE (field_of (answer, "Retry-After"), "");
  EXPECT_EQ (arrivals (), 0u);
  EXPECT_EQ (caps (0)->waiting.length, 0u);
  EXPECT_EQ (caps (0)->cap.teams != nullptr, true);
}

TEST_F (relay_caps, CallerThatLeavesWhileItWaitsIsForgotten)
{
  for (size_t at = 0; at < 3; at++)
    caps (at)->relay->stopping = 1;
  {
    auto conn = cluster.connect (0);

    raw_upstream::write (*conn, request_text ("GET", "/safe/x", "r1",
                                              "Authorization: Bearer ka\r\n"));
    ASSERT_TRUE (
        cluster.run_until ([this] { return caps (0)->waiting.length == 1; }));
    bufferevent_free (conn->bev);
    conn->bev = nullptr;
  }
  EXPECT_TRUE (
      cluster.run_until ([this] { return caps (0)->waiting.length == 0; }));
  EXPECT_EQ (caps (0)->cap.pending_count, 1u);
  EXPECT_EQ (arrivals (), 0u);
}

TEST_F (relay_caps, StopWhileRequestsWaitAnswersThem)
{
  std::string request
      = request_text ("GET", "/safe/x", "r1", "Authorization: Bearer ka\r\n");

  for (size_t at = 0; at < 3; at++)
    caps (at)->relay->stopping = 1;
  auto conn = cluster.connect (0);

  raw_upstream::write (*conn, request + request);
  ASSERT_TRUE (
      cluster.run_until ([this] { return caps (0)->waiting.length > 0; }));
  eel_relay_end_open (&cluster.nodes[0]->relay);
  EXPECT_EQ (caps (0)->waiting.length, 0u);
  EXPECT_TRUE (
      cluster.run_until ([&conn] { return status_of (conn->in) == "503"; }));
  bufferevent_free (conn->bev);
  conn->bev = nullptr;
}

// A body is read while its request waits, and passed on whole.
TEST_F (relay_caps, BodyOfARequestThatWaitsArrivesWhole)
{
  std::string body (60000, 'x');
  std::string answer;

  cluster.run_ms (1000);
  answer = cluster.send_request (request_text (
      "POST", "/once/x", "r1", "Authorization: Bearer ka\r\n", body));
  EXPECT_EQ (status_of (answer), "200");
  ASSERT_EQ (arrivals (), 1u);
  for (auto &node : cluster.nodes)
    for (const std::string &request : node->upstream.requests)
      EXPECT_EQ (body_of (request), body);
}

TEST_F (relay_caps, PipelinedRequestsOfTwoTeamsAreToldApart)
{
  std::string requests;

  cluster.run_ms (1000);
  auto conn = cluster.connect (0);

  for (int i = 0; i < 40; i++)
    requests += request_text ("GET", "/safe/x", "r" + std::to_string (i),
                              i % 2 == 0 ? "Authorization: Bearer ka\r\n"
                                         : "Authorization: Bearer kb\r\n");
  raw_upstream::write (*conn, requests);
  auto count = [&conn] (const std::string &text) {
    size_t found = 0;

    for (size_t at = 0; (at = conn->in.find (text, at)) != std::string::npos;
         at++)
      found++;
    return found;
  };

  EXPECT_TRUE (cluster.run_until ([&count] {
    return count ("HTTP/1.1 200") + count ("HTTP/1.1 429") == 40;
  }));
  EXPECT_GE (count ("HTTP/1.1 200"), 30u);
  bufferevent_free (conn->bev);
  conn->bev = nullptr;
}

TEST_F (relay_caps, LiftedCapLetsWaitingRequestsPass)
{
  for (size_t at = 0; at < 3; at++)
    caps (at)->relay->stopping = 1;
  auto conn = cluster.connect (0);

  raw_upstream::write (*conn, request_text ("GET", "/safe/x", "r1",
                                            "Authorization: Bearer ka\r\n"));
  ASSERT_TRUE (
      cluster.run_until ([this] { return caps (0)->waiting.length == 1; }));
  set_cap (0, 0, 0);
  EXPECT_TRUE (
      cluster.run_until ([&conn] { return status_of (conn->in) == "200"; }));
  bufferevent_free (conn->bev);
  conn->bev = nullptr;
}

// Guards against datagrams of others and of wrong form.
TEST_F (relay_caps, StrangeDatagramsAreDropped)
{
  struct sockaddr_in to = cluster.nodes[0]->relay.config.caps;
  struct sockaddr_in from = to;
  struct eel_cap_ask_message ask = {};
  uint8_t bytes[EEL_CAP_MESSAGE_BYTES_MAX * 2] = {};
  size_t length;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  ask.group_count = 1;
  ask.active = 1;
  length = eel_cap_ask_encode (&ask, bytes);
  inet_pton (AF_INET, "127.0.0.77", &from.sin_addr);
  ASSERT_EQ (
      bind (fd, reinterpret_cast<struct sockaddr *> (&from), sizeof from), 0);
  for (size_t bytes_sent : { length, length - 1, sizeof bytes, (size_t)0 })
    sendto (fd, bytes, bytes_sent, 0, reinterpret_cast<struct sockaddr *> (&to),
            sizeof to);
  close (fd);
  EXPECT_TRUE (cluster.run_until (
      [this] { return caps (0)->counters.dropped->value == 4; }));
}

// The endpoint that is asked first doesn't run the request.
TEST_F (relay_caps, SecondSendTakesNoToken)
{
  cluster.run_ms (1500);
  for (auto &node : cluster.nodes)
    node->upstream.answer
        = [this] (raw_upstream &, raw_conn &conn, const std::string &request) {
            bool first = arrivals () == 1;

            raw_upstream::write (
                conn, answer_text (request, "",
                                   first ? "503 Service Unavailable" : "200 OK",
                                   first ? "Not-Run: 1\r\n" : ""));
          };
  EXPECT_EQ (status_of (send (0)), "200");
  EXPECT_EQ (arrivals (), 2u);
  // What is asked for goes out within 40 ms.
  cluster.run_ms (200);
  EXPECT_EQ (granted (), 1u);
}

// Calls of a run enter at its node, without a key and on public routes.
TEST_F (relay_caps, CallsOfARunTakeNoToken)
{
  raw_conn *run = nullptr;
  std::string held;
  auto conn = cluster.connect (0);

  cluster.run_ms (1500);
  make_public ("/once/");
  for (auto &node : cluster.nodes)
    node->upstream.answer = [&run, &held] (raw_upstream &, raw_conn &at,
                                           const std::string &text) {
      if (text.find ("/safe/") == std::string::npos)
        {
          raw_upstream::write (at, answer_text (text, "ok"));
          return;
        }
      run = &at;
      held = text;
    };
  raw_upstream::write (*conn, request_text ("GET", "/safe/x", "r1",
                                            "Authorization: Bearer ka\r\n"));
  ASSERT_TRUE (cluster.run_until ([&run] { return run != nullptr; }));
  // More than the team's cap allows at once.
  for (int i = 0; i < 40; i++)
    EXPECT_EQ (status_of (cluster.send_request (
                   request_text ("POST", "/once/x", "c" + std::to_string (i)),
                   (size_t)i % 3)),
               "200");
  raw_upstream::write (*run, answer_text (held, "ok"));
  EXPECT_TRUE (
      cluster.run_until ([&conn] { return status_of (conn->in) == "200"; }));
  // What is asked for goes out within 40 ms.
  cluster.run_ms (200);
  EXPECT_EQ (granted (), 1u);
  bufferevent_free (conn->bev);
}
