#include <gtest/gtest.h>

#include "relay_cluster.h"

// Requests enter at node 0 and run at the upstream of node 1, unless a test
// says else.  Team a holds ka and ka2, team b with a rank of its own holds kb.
struct relay_teams : public ::testing::Test
{
  relay_cluster cluster{ 3 };

  relay_teams ()
  {
    cluster.set_routes ();
    cluster.list_upstream (1, 50);
  }

  static void
  add (struct eel_team_table *table,
       const char *name,
       const std::vector<std::string> &keys,
       int rank = -1)
  {
    struct eel_team team = {};
    int32_t index;

    team.name = const_cast<char *> (name);
    team.has_rank = rank >= 0;
    team.rank = (uint8_t)(rank >= 0 ? rank : 0);
    index = eel_team_table_add (table, &team);
    for (const std::string &key : keys)
      eel_team_table_add_key (table, (uint32_t)index, key.data (), key.size ());
  }

  void
  set_teams (size_t at, const std::vector<std::string> &keys_of_a)
  {
    const uint8_t secret[EEL_TEAM_SECRET_BYTES] = { (uint8_t)(at + 1) };
    auto *table = static_cast<struct eel_team_table *> (
        calloc (1, sizeof (struct eel_team_table)));

    eel_team_table_init (table, 1, secret);
    add (table, "a", keys_of_a);
    add (table, "b", { "kb" }, 1);
    eel_team_table_seal (table);
    eel_relay_set_teams (&cluster.nodes[at]->relay, table);
  }

  // Teams of other names, so that nothing of the table before is left.
  void
  set_other_teams (size_t at)
  {
    const uint8_t secret[EEL_TEAM_SECRET_BYTES] = { 9 };
    auto *table = static_cast<struct eel_team_table *> (
        calloc (1, sizeof (struct eel_team_table)));

    eel_team_table_init (table, 2, secret);
    for (int i = 0; i < 100; i++)
      add (table, ("q" + std::to_string (i)).c_str (), { std::to_string (i) });
    eel_team_table_seal (table);
    eel_relay_set_teams (&cluster.nodes[at]->relay, table);
  }

  void
  set_teams ()
  {
    for (size_t at = 0; at < cluster.nodes.size (); at++)
      set_teams (at, { "ka", "ka2" });
  }

  void
  make_public (const std::string &prefix)
  {
    for (auto &node : cluster.nodes)
      for (uint32_t i = 0; i < node->relay.routes->count; i++)
        if (node->relay.routes->routes[i].prefix == prefix)
          node->relay.routes->routes[i].is_public = 1;
  }

  std::string
  send (const std::string &lines,
        const std::string &target = "/safe/x",
        size_t node = 0)
  {
    return status_of (
        cluster.send_request (request_text ("GET", target, "r1", lines), node));
  }

  std::string
  last_request (size_t node = 1)
  {
    auto &requests = cluster.nodes[node]->upstream.requests;

    return requests.empty () ? "" : requests.back ();
  }

  size_t
  arrivals (size_t node = 1)
  {
    return cluster.nodes[node]->upstream.requests.size ();
  }
};

const std::string key_of_a = "Authorization: Bearer ka\r\n";

// Guards against deployments without teams that are served in another way.
TEST_F (relay_teams, WithoutTeamsHeadersPassUnchanged)
{
  EXPECT_EQ (send (key_of_a + "Team: z\r\n"), "200");
  EXPECT_EQ (field_of (last_request (), "Authorization"), "Bearer ka");
  EXPECT_EQ (field_of (last_request (), "Team"), "z");
  EXPECT_EQ (last_request ().find ("Eel-Team"), std::string::npos);
}

// Guards against a key that an endpoint gets, and against a team that the
// caller has made up, at the entry's own endpoint and at a peer's.
TEST_F (relay_teams, EndpointGetsTheTrueTeamAndNoKey)
{
  set_teams ();
  cluster.list_upstream (0, 50);
  for (size_t entry : { 0, 1, 2 })
    for (const char *forged :
         { "", "Team: b\r\n", "team: b\r\nTEAM: c\r\n",
           "Connection: Team, Authorization\r\nTeam: b\r\n",
           "Eel-Team: b\r\n" })
      {
        size_t before = arrivals (0) + arrivals (1);

        ASSERT_EQ (send (std::string (forged) + key_of_a, "/safe/x", entry),
                   "200")
            << forged;
        ASSERT_EQ (arrivals (0) + arrivals (1), before + 1);
        for (size_t at : { 0, 1 })
          for (const std::string &request :
               cluster.nodes[at]->upstream.requests)
            {
              EXPECT_EQ (field_of (request, "Team"), "a") << forged;
              EXPECT_EQ (request.find ("ka"), std::string::npos) << forged;
              EXPECT_EQ (request.find ("Eel-Team"), std::string::npos)
                  << forged;
              EXPECT_EQ (request.find (": b"), std::string::npos) << forged;
            }
      }
}

// Guards against a key or a forged team on the second endpoint of a request.
TEST_F (relay_teams, RetryCarriesTheTrueTeam)
{
  set_teams ();
  cluster.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          raw_upstream::write (conn, answer_text (request, "",
                                                  "503 Service Unavailable",
                                                  "Not-Run: 1\r\n"));
        };
  cluster.list_upstream (2, 50);
  // Which endpoint is asked first is drawn anew in each run.
  for (int i = 0; i < 64 && arrivals (1) == 0; i++)
    EXPECT_EQ (send ("Team: b\r\n" + key_of_a), "200");
  EXPECT_GE (arrivals (1), 1u);
  for (size_t at : { 1, 2 })
    for (const std::string &request : cluster.nodes[at]->upstream.requests)
      {
        EXPECT_EQ (field_of (request, "Team"), "a");
        EXPECT_EQ (request.find ("ka"), std::string::npos);
      }
}

TEST_F (relay_teams, KnowsOnlyKeysInOneFormAndOnce)
{
  const struct
  {
    const char *name;
    std::string lines;
    const char *status;
  } cases[] = {
    { "known", key_of_a, "200" },
    { "second key", "Authorization: Bearer ka2\r\n", "200" },
    { "case of the field", "aUTHORIZATION: Bearer ka\r\n", "200" },
    { "case of the scheme", "Authorization: bEARER ka\r\n", "200" },
    { "spaces around", "Authorization:   Bearer   ka  \r\n", "200" },
    { "none", "", "401" },
    { "empty", "Authorization:\r\n", "401" },
    { "scheme alone", "Authorization: Bearer\r\n", "401" },
    { "scheme and space", "Authorization: Bearer \r\n", "401" },
    { "unknown", "Authorization: Bearer kz\r\n", "401" },
    { "case of the key", "Authorization: Bearer KA\r\n", "401" },
    { "part of a key", "Authorization: Bearer k\r\n", "401" },
    { "longer than a key", "Authorization: Bearer kaa\r\n", "401" },
    { "two keys", "Authorization: Bearer ka kb\r\n", "401" },
    { "list of keys", "Authorization: Bearer ka, Bearer kb\r\n", "401" },
    { "twice", key_of_a + key_of_a, "401" },
    { "known and unknown", key_of_a + "authorization: Bearer z\r\n", "401" },
    { "no scheme", "Authorization: ka\r\n", "401" },
    { "other scheme", "Authorization: Basic ka\r\n", "401" },
    { "longer scheme", "Authorization: Bearers ka\r\n", "401" },
    { "other field", "Proxy-Authorization: Bearer ka\r\n", "401" },
    { "long", "Authorization: Bearer " + std::string (12000, 'k') + "\r\n",
      "401" },
    { "16 KB", "Authorization: Bearer " + std::string (16384, 'k') + "\r\n",
      "431" },
  };

  set_teams ();
  for (const auto &each : cases)
    {
      size_t before = arrivals ();

      EXPECT_EQ (send (each.lines), each.status) << each.name;
      EXPECT_EQ (arrivals () - before, std::string (each.status) == "200")
          << each.name;
    }
  EXPECT_EQ (send (key_of_a), "200");
}

TEST_F (relay_teams, PublicRouteNeedsNoKey)
{
  set_teams ();
  make_public ("/safe/");
  EXPECT_EQ (send ("Team: b\r\n"), "200");
  EXPECT_EQ (last_request ().find ("Team:"), std::string::npos);
  EXPECT_EQ (send (key_of_a), "200");
  EXPECT_EQ (field_of (last_request (), "Team"), "a");
  EXPECT_EQ (send ("Authorization: Bearer kz\r\n"), "200");
  EXPECT_EQ (last_request ().find ("Team:"), std::string::npos);
  EXPECT_EQ (last_request ().find ("kz"), std::string::npos);
  EXPECT_EQ (send ("", "/once/x"), "401");
}

// Guards against a refusal that tells a caller to drop a key that is in force.
TEST_F (relay_teams, WithoutAConfigurationNoKeyIsCalledUnknown)
{
  struct eel_relay &relay = cluster.nodes[0]->relay;
  struct eel_route_table *routes = relay.routes;

  relay.routes = nullptr;
  EXPECT_EQ (send (key_of_a), "503");
  EXPECT_EQ (send (""), "503");
  relay.routes = routes;
  set_teams ();
  EXPECT_EQ (send (key_of_a), "200");
}

// Guards against a team that a peer's request loses when the peer's node knows
// another version, or none with teams.
TEST_F (relay_teams, TeamIsThatOfTheEntryNode)
{
  set_teams (0, { "ka" });
  EXPECT_EQ (send ("Team: b\r\n" + key_of_a), "200");
  EXPECT_EQ (field_of (last_request (), "Team"), "a");
  EXPECT_EQ (last_request ().find ("ka"), std::string::npos);
}

// Guards against a table that is freed under a request in flight, which is sent
// again after its key was withdrawn: it was sent before.
TEST_F (relay_teams, RequestInFlightOutlivesItsTable)
{
  auto conn = cluster.connect ();
  raw_conn *held = nullptr;
  std::string request;

  set_teams ();
  cluster.nodes[1]->upstream.answer
      = [&] (raw_upstream &, raw_conn &at, const std::string &text) {
          held = &at;
          request = text;
        };
  raw_upstream::write (*conn, request_text ("POST", "/once/x", "r1", key_of_a));
  ASSERT_TRUE (cluster.run_until ([&] { return held != nullptr; }));
  set_other_teams (0);
  cluster.list_upstream (2, 50);
  raw_upstream::write (
      *held,
      answer_text (request, "", "503 Service Unavailable", "Not-Run: 1\r\n"));
  ASSERT_TRUE (cluster.run_until ([&] { return !conn->in.empty (); }));
  EXPECT_EQ (status_of (conn->in), "200");
  EXPECT_EQ (arrivals (2), 1u);
  EXPECT_EQ (field_of (last_request (2), "Team"), "a");
  EXPECT_EQ (send (key_of_a), "401");
  bufferevent_free (conn->bev);
}

// Guards against a key that is tied to its connection.
TEST_F (relay_teams, PipelinedRequestsHaveEachItsTeam)
{
  auto conn = cluster.connect ();

  set_teams ();
  raw_upstream::write (*conn,
                       request_text ("GET", "/safe/1", "r1", key_of_a)
                           + request_text ("GET", "/safe/2", "r2",
                                           "Authorization: Bearer kb\r\n")
                           + request_text ("GET", "/safe/3", "r3", "")
                           + request_text ("GET", "/safe/4", "r4", key_of_a));
  ASSERT_TRUE (cluster.run_until ([&] { return arrivals () == 3; }));
  cluster.run_ms (50);
  EXPECT_NE (conn->in.find ("401 Unauthorized"), std::string::npos);
  for (const std::string &request : cluster.nodes[1]->upstream.requests)
    EXPECT_EQ (field_of (request, "Team"),
               field_of (request, "Req-Id") == "r2" ? "b" : "a");
  bufferevent_free (conn->bev);
}

// Guards against a decision by the rank of the route where the team has one.
TEST_F (relay_teams, RankOfTheTeamGoesBeforeThatOfTheRoute)
{
  struct eel_relay &beside = cluster.nodes[1]->relay;

  set_teams ();
  EXPECT_EQ (beside.gate.last_rank, 2);
  cluster.list_upstream (1, 1);
  cluster.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &, const std::string &) {};
  std::vector<std::unique_ptr<raw_conn>> conns;
  for (const char *key : { "ka", "kb", "ka" })
    {
      conns.push_back (cluster.connect ());
      raw_upstream::write (
          *conns.back (),
          request_text ("GET", "/safe/x", "q" + std::to_string (conns.size ()),
                        std::string ("Authorization: Bearer ") + key + "\r\n"));
      cluster.run_ms (30);
    }
  ASSERT_EQ (beside.gate.queued, 2u);
  // Of the route 2, of team b 1.
  EXPECT_EQ (beside.gate.queue[0].rank + beside.gate.queue[1].rank, 3);
  for (auto &conn : conns)
    bufferevent_free (conn->bev);
}

// Guards against a key that may have been withdrawn longer ago than is allowed,
// and against a refusal that calls it unknown.
TEST_F (relay_teams, OutdatedKnowledgeServesNoKey)
{
  struct eel_relay &relay = cluster.nodes[0]->relay;
  const int64_t limit_us = 4500 * EEL_US_PER_MS;
  std::string answer;

  set_teams ();
  make_public ("/once/");
  // Any age will do where revocation isn't strict.
  EXPECT_EQ (send (key_of_a), "200");
  relay.config.teams_max_age_us = limit_us;
  EXPECT_EQ (send (key_of_a), "503");
  eel_relay_set_known (&relay,
                       eel_clock_us () - limit_us + 500 * EEL_US_PER_MS);
  EXPECT_EQ (send (key_of_a), "200");
  EXPECT_EQ (send (""), "401");
  // A process that was stopped sees the same when it goes on.
  eel_relay_set_known (&relay, eel_clock_us () - limit_us - 1);
  size_t before = arrivals ();
  for (const std::string &lines :
       { key_of_a, std::string (),
         std::string ("Authorization: Bearer z\r\n") })
    {
      answer
          = cluster.send_request (request_text ("GET", "/safe/x", "r1", lines));
      EXPECT_EQ (status_of (answer), "503") << lines;
      EXPECT_GT (std::stod (field_of (answer, "Retry-After")), 0);
    }
  EXPECT_EQ (arrivals (), before);
  EXPECT_EQ (relay.outdated_refused, 3u);
  // Public routes go on; whose key it is can't be told.
  EXPECT_EQ (send (key_of_a, "/once/x"), "200");
  EXPECT_EQ (last_request ().find ("Team:"), std::string::npos);
  EXPECT_EQ (last_request ().find ("ka"), std::string::npos);
  // It ends at once when the knowledge is new again.
  eel_relay_set_known (&relay, eel_clock_us ());
  EXPECT_EQ (relay.outdated_since_us, 0);
  EXPECT_EQ (send (key_of_a), "200");
}

// Guards against a configuration that serves all keys because it names none.
TEST_F (relay_teams, KeyThatIsWithdrawnIsRefusedAndMayReturn)
{
  set_teams ();
  EXPECT_EQ (send (key_of_a), "200");
  set_teams (0, { "ka2" });
  EXPECT_EQ (send (key_of_a), "401");
  EXPECT_EQ (send ("Authorization: Bearer ka2\r\n"), "200");
  set_teams (0, {});
  EXPECT_EQ (send ("Authorization: Bearer ka2\r\n"), "401");
  EXPECT_EQ (send ("Authorization: Bearer kb\r\n"), "200");
  set_teams (0, { "ka" });
  EXPECT_EQ (send (key_of_a), "200");
}

// Guards against a kept connection on which a withdrawn key goes on.
TEST_F (relay_teams, KeptConnectionIsAskedForItsKeyEachTime)
{
  auto conn = cluster.connect ();

  set_teams ();
  raw_upstream::write (*conn, request_text ("GET", "/safe/1", "r1", key_of_a));
  ASSERT_TRUE (cluster.run_until (
      [&] { return conn->in.find ("200 OK") != std::string::npos; }));
  conn->in.clear ();
  set_teams (0, {});
  raw_upstream::write (*conn, request_text ("GET", "/safe/2", "r2", key_of_a));
  ASSERT_TRUE (cluster.run_until ([&] { return !conn->in.empty (); }));
  EXPECT_EQ (status_of (conn->in), "401");
  EXPECT_EQ (arrivals (), 1u);
  bufferevent_free (conn->bev);
}
