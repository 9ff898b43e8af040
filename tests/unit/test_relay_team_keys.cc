#include "relay_teams.h"

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
  // Public routes go on, but not with a key: its caller may know a version in
  // which the route is public no more, and the key may be withdrawn since.
  EXPECT_EQ (send ("", "/once/x"), "200");
  EXPECT_EQ (last_request ().find ("Team:"), std::string::npos);
  before = arrivals ();
  EXPECT_EQ (send (key_of_a, "/once/x"), "503");
  EXPECT_EQ (send ("authorization: Bearer z\r\n", "/once/x"), "503");
  EXPECT_EQ (arrivals (), before);
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
