#include "relay_teams.h"

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

// Guards against a team or key that a caller sends and that an entry node of a
// release without teams passes on unchanged: no word of the node itself stands
// beside it.
TEST_F (relay_teams, FieldsThatANodeWithoutTeamsPassesOnAreDropped)
{
  const char *const forged[]
      = { "Eel-Team: b\r\n", "Eel-Team:\r\nTeam: b\r\n", "Team: b\r\n",
          "team: b\r\nEEL-TEAM: b\r\n", "Authorization: Bearer kb\r\n" };

  set_teams (1, { "ka" });
  for (const char *lines : forged)
    {
      ASSERT_EQ (forward ("shop 1 2 1 500 0 0 0", lines), "200") << lines;
      EXPECT_EQ (field_of (last_request (), "Req-Id"), "old") << lines;
      EXPECT_EQ (last_request ().find ("eam:"), std::string::npos)
          << last_request ();
      EXPECT_EQ (last_request ().find ("kb"), std::string::npos)
          << last_request ();
    }
}

// The same while the teams are not known here either: what is not in force
// isn't read.
TEST_F (relay_teams, TeamOfANodeWithoutTeamsIsNotRead)
{
  ASSERT_EQ (forward ("shop 1 2 1 500 0 0 0 1", "Eel-Team: b\r\n"), "200");
  EXPECT_EQ (last_request ().find ("eam:"), std::string::npos);
}

TEST_F (relay_teams, TeamThatTheEntryNodeVouchesForIsRead)
{
  ASSERT_EQ (forward ("shop 1 2 1 500 0 0 0 0 1", "Eel-Team: b\r\n"), "200");
  EXPECT_EQ (field_of (last_request (), "Team"), "b");
  ASSERT_EQ (forward ("shop 1 2 1 500 0 0 0 1 1", "Eel-Team: \r\n"), "200");
  EXPECT_EQ (last_request ().find ("eam:"), std::string::npos);
}
