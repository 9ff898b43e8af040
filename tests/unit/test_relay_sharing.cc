#include <gtest/gtest.h>

#include "relay_cluster.h"

extern "C"
{
#include "relay/caps.h"
#include "relay/sharing.h"
}

// Requests enter at node 0 and run at the upstream of node 1, one at a time.
struct relay_sharing : public ::testing::Test
{
  relay_cluster cluster{ 2 };
  std::vector<std::unique_ptr<raw_conn>> conns;
  std::vector<std::pair<raw_conn *, std::string>> runs;

  relay_sharing ()
  {
    cluster.set_routes (20000);
    // Listed, as nodes that ask for caps have to be, but it gets no requests.
    cluster.list_upstream (0, 2, false);
    cluster.list_upstream (1, 2);
    for (auto &node : cluster.nodes)
      {
        const uint8_t secret[EEL_TEAM_SECRET_BYTES] = { 1 };
        auto *table = static_cast<struct eel_team_table *> (
            calloc (1, sizeof (struct eel_team_table)));

        eel_team_table_init (table, 1, secret);
        add (table, "a", 1000);
        add (table, "b", 3000);
        add (table, "c", 0);
        eel_team_table_seal (table);
        eel_relay_set_teams (&node->relay, table);
        node->relay.config.fair_teams = 1;
      }
    // Buckets start empty and fill while the nodes are heard.
    EXPECT_TRUE (cluster.run_until ([this] { return caps_filled (); }));
  }

  // The node that is asked for caps has heard of all and holds half a second of
  // each cap.
  bool
  caps_filled ()
  {
    for (auto &node : cluster.nodes)
      {
        const struct eel_cap_group &group = node->relay.caps->holder.groups[0];

        if (group.share >= 1 && group.filled_s - group.since_s >= 0.5)
          return true;
      }
    return false;
  }

  ~relay_sharing ()
  {
    for (auto &conn : conns)
      bufferevent_free (conn->bev);
  }

  static void
  add (struct eel_team_table *table, const char *name, double rate_per_s)
  {
    struct eel_team team = {};

    team.name = const_cast<char *> (name);
    team.rate_per_s = rate_per_s;
    // Nobody reaches the caps here.
    team.burst = 1000;
    eel_team_table_add_key (table, (uint32_t)eel_team_table_add (table, &team),
                            name, 1);
  }

  void
  send (const std::string &team, const std::string &target)
  {
    conns.push_back (cluster.connect (0));
    raw_upstream::write (
        *conns.back (),
        request_text ("GET", target, team + std::to_string (conns.size ()),
                      "Authorization: Bearer " + team + "\r\n"));
  }

  // The gate of node 1 refuses nine in ten requests of team a, none of b.
  void
  crowd ()
  {
    struct eel_fair_order *fair = &cluster.nodes[1]->relay.gate.fair;
    // A moment that is ahead doesn't decay while the test runs.
    int64_t now_us = eel_clock_us () + 60 * EEL_US_PER_S;

    for (int i = 0; i < 100; i++)
      {
        int32_t entry = eel_fair_order_ask (fair, eel_team_id ("a"), 2, 1000,
                                            1000, now_us);

        if (i % 10 != 0)
          eel_fair_order_refused (fair, entry, 1000, now_us);
        eel_fair_order_ask (fair, eel_team_id ("b"), 2, 1000, 1000, now_us);
      }
  }

  size_t
  arrivals () const
  {
    return cluster.nodes[1]->upstream.requests.size ();
  }
};

// Guards against a gate that isn't told the team of a request that comes from
// another node.
TEST_F (relay_sharing, OneRequestOvertakesManyOfAnotherTeam)
{
  raw_upstream &upstream = cluster.nodes[1]->upstream;

  upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          runs.push_back ({ &conn, request });
        };
  for (int i = 0; i < 8; i++)
    send ("a", "/safe/" + std::to_string (i));
  ASSERT_TRUE (cluster.run_until (
      [&] { return cluster.nodes[1]->relay.gate.queued == 7; }));
  send ("b", "/safe/b");
  ASSERT_TRUE (cluster.run_until (
      [&] { return cluster.nodes[1]->relay.gate.queued == 8; }));
  for (size_t i = 0; i < 9; i++)
    {
      ASSERT_TRUE (cluster.run_until ([&] { return runs.size () > i; }));
      raw_upstream::write (*runs[i].first, answer_text (runs[i].second, "x"));
    }
  size_t place = 0;

  while (field_of (runs[place].second, "Team") != "b")
    place++;
  EXPECT_LE (place, 2u);
  EXPECT_TRUE (cluster.run_until ([&] {
    const struct eel_fair_order &fair = cluster.nodes[1]->relay.gate.fair;

    return fair.teams[0].running + fair.teams[1].running == 0;
  }));
}

// Guards against news that don't arrive, concern another team, or reach the
// caller; and against refusals that last.
TEST_F (relay_sharing, TeamAboveItsShareIsRefusedWhereItEnters)
{
  struct eel_relay *entry = &cluster.nodes[0]->relay;
  size_t refused = 0;

  // The refused share decays while requests wait for tokens.
  entry->caps->in_force = 0;
  crowd ();
  send ("b", "/safe/b");
  ASSERT_TRUE (cluster.run_until ([&] { return !conns[0]->in.empty (); }));
  EXPECT_EQ (status_of (conns[0]->in), "200");
  EXPECT_EQ (conns[0]->in.find ("Eel-"), std::string::npos);
  ASSERT_EQ (entry->crowding.count, 1u);
  EXPECT_EQ (entry->crowding.teams[0].team, eel_team_id ("a"));
  EXPECT_EQ (entry->crowding.teams[0].rank, 2);
  EXPECT_GT (entry->crowding.teams[0].refused_share, 0);

  entry->crowding.teams[0].refused_share = 0.95;
  entry->crowding.teams[0].told_us = eel_clock_us () + 60 * EEL_US_PER_S;
  for (int i = 0; i < 40; i++)
    {
      std::string answer = cluster.send_request (
          request_text ("GET", "/safe/" + std::to_string (i), "r",
                        "Authorization: Bearer a\r\n"),
          0);

      refused += status_of (answer) == "503";
      EXPECT_EQ (status_of (answer) == "503",
                 !field_of (answer, "Retry-After").empty ());
    }
  EXPECT_GE (refused, 30u);
  EXPECT_EQ (arrivals (), 1 + 40 - refused);
  EXPECT_EQ (entry->counters.above_share->value, (int64_t)refused);
  EXPECT_EQ (entry->crowding.teams[0].refused, refused);
  EXPECT_EQ (
      status_of (cluster.send_request (
          request_text ("GET", "/safe/x", "r", "Authorization: Bearer b\r\n"),
          0)),
      "200");

  entry->crowding.teams[0].told_us
      = eel_clock_us () - EEL_CROWDING_EXPIRY_US - 1;
  cluster.nodes[1]->relay.gate.fair.last_refused_us = INT64_MIN;
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (
        status_of (cluster.send_request (
            request_text ("GET", "/safe/y", "r", "Authorization: Bearer a\r\n"),
            0)),
        "200");
}

// Guards against a field of an endpoint, or one that is malformed, that takes
// effect.
TEST_F (relay_sharing, FieldsOfOthersTakeNoEffect)
{
  cluster.nodes[1]->upstream.answer = [] (raw_upstream &, raw_conn &conn,
                                          const std::string &request) {
    raw_upstream::write (
        conn, answer_text (request, "x", "200 OK",
                           "Eel-Crowded: 0000000000000001 0 900 1 1\r\n"));
  };
  std::string answer = cluster.send_request (
      request_text ("GET", "/safe/x", "r", "Authorization: Bearer a\r\n"), 0);

  EXPECT_EQ (status_of (answer), "200");
  EXPECT_EQ (field_of (answer, "Eel-Crowded"), "");
  EXPECT_EQ (cluster.nodes[0]->relay.crowding.count, 0u);
  for (const char *value :
       { "", "x", "1 0 900 1", "0 0 900 1 1", "1 256 900 1 1", "1 0 1001 1 1",
         "1 0 -1 1 1", "11111111111111111 0 900 1 1", "1 99999999999 9 1 1" })
    {
      const std::string text = std::string ("Eel-Crowded") + '\0' + value;
      struct eel_head head;

      eel_head_init (&head);
      ASSERT_TRUE (eel_head_append (&head, text.data (), text.size () + 1));
      head.fields[0].name = 0;
      head.fields[0].value = 12;
      head.count = 1;
      eel_sharing_read (&cluster.nodes[0]->relay, 0, &head);
      eel_head_finish (&head);
      EXPECT_EQ (cluster.nodes[0]->relay.crowding.count, 0u) << value;
    }
}

// Guards against weights that don't follow the caps.
TEST_F (relay_sharing, TeamsWeighByTheirCaps)
{
  const struct
  {
    const char *name;
    uint32_t weight_milli;
  } cases[] = { { "a", 500 }, { "b", 1500 }, { "c", 1000 }, { "z", 1000 } };

  for (const auto &each : cases)
    {
      struct eel_relay_call call = {};

      call.team_id = eel_team_id (each.name);
      EXPECT_EQ (eel_sharing_of (&cluster.nodes[0]->relay, &call).weight_milli,
                 each.weight_milli)
          << each.name;
    }
}

// Guards against a caller that gets several draws by repeating at once, and
// against refusals that can't be told apart afterwards.
TEST_F (relay_sharing, RepeatsBeforeTheirRetryAfterAreRefused)
{
  struct eel_relay *entry = &cluster.nodes[0]->relay;
  struct eel_gate *gate = &cluster.nodes[1]->relay.gate;
  const std::string repeated
      = request_text ("GET", "/safe/x", "r", "Authorization: Bearer a\r\n");
  raw_conn *conn;

  entry->caps->in_force = 0;
  // No slot in time.
  gate->limit = 1;
  gate->running = 1;
  gate->hold_us = 60e6;
  conns.push_back (cluster.connect (0));
  conn = conns.back ().get ();
  for (int i = 0; i < 3; i++)
    {
      conn->in.clear ();
      raw_upstream::write (*conn, repeated);
      ASSERT_TRUE (cluster.run_until (
          [&] { return conn->in.find ("\r\n\r\n") != std::string::npos; }));
      EXPECT_EQ (status_of (conn->in), "503");
      EXPECT_NE (field_of (conn->in, "Retry-After"), "");
    }
  const struct eel_team_use_row &row = entry->team_use.rows[0];

  EXPECT_EQ (row.id, eel_team_id ("a"));
  EXPECT_EQ (row.counts[EEL_TEAM_USE_ADMITTED], 1u);
  EXPECT_EQ (row.counts[EEL_TEAM_USE_NO_SLOT], 1u);
  EXPECT_EQ (row.counts[EEL_TEAM_USE_EARLY], 2u);
}
