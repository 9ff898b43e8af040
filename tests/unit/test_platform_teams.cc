#include "adapter_fixture.h"

// Teams of a configuration as the adapter decodes them.
struct platform_teams : public adapter_test
{
  struct eel_team_table *teams = nullptr;
  struct eel_route_table *routes = nullptr;

  ~platform_teams ()
  {
    clear ();
  }

  void
  clear ()
  {
    if (teams != nullptr)
      eel_team_table_finish (teams);
    if (routes != nullptr)
      eel_route_table_finish (routes);
    free (teams);
    free (routes);
    teams = nullptr;
    routes = nullptr;
  }

  bool
  decode (const std::string &list, const std::string &route = "")
  {
    std::string text = R"({"version":3,"routes":[)" + good_route + route + "]"
                       + (list.empty () ? "" : R"(,"tenants":)" + list) + "}";
    struct eel_server_limits limits;

    clear ();
    routes = platform_config_decode (&platform, text.data (), text.size (),
                                     &limits, &teams);
    return routes != nullptr;
  }

  std::string
  holder (const std::string &key)
  {
    const struct eel_team *team
        = eel_team_table_find_key (teams, key.data (), key.size ());

    return team == nullptr ? "-" : team->name;
  }
};

TEST_F (platform_teams, ConfigurationWithoutTeamsHasNone)
{
  ASSERT_TRUE (decode (""));
  EXPECT_EQ (teams, nullptr);
}

TEST_F (platform_teams, FieldsOfATeam)
{
  ASSERT_TRUE (decode (
      R"([{"name":"a","apiKeys":["k1","k2"],"priority":3,"ratePerS":79.5,)"
      R"("burst":12},{"name":"b","apiKeys":["k3"]},)"
      R"({"name":"c","priority":900}])"));
  ASSERT_EQ (teams->count, 3u);
  EXPECT_EQ (teams->version, 3u);
  EXPECT_EQ (holder ("k2"), "a");
  EXPECT_EQ (holder ("k3"), "b");
  EXPECT_EQ (teams->teams[0].rank, 3);
  EXPECT_TRUE (teams->teams[0].has_rank);
  EXPECT_EQ (teams->teams[0].rate_per_s, 79.5);
  EXPECT_EQ (teams->teams[0].burst, 12);
  EXPECT_FALSE (teams->teams[1].has_rank);
  EXPECT_EQ (teams->teams[1].rate_per_s, 0);
  EXPECT_EQ (teams->teams[2].rank, 255);
  EXPECT_EQ (platform.teams_left_out + platform.keys_left_out, 0u);
}

// Guards against one team that keeps a configuration from being in force, and
// against keys that serve a team whose fields are in doubt.
TEST_F (platform_teams, InvalidTeamLeavesTheOthersInForce)
{
  const struct
  {
    const char *name;
    const char *team;
    uint32_t teams_left_out;
    uint32_t keys_left_out;
  } cases[] = {
    { "no object", "7", 1, 0 },
    { "null", "null", 1, 0 },
    { "no name", R"({"apiKeys":["odd"]})", 1, 0 },
    { "name is a number", R"({"name":7,"apiKeys":["odd"]})", 1, 0 },
    { "name ends a field", R"({"name":"a\r\nb","apiKeys":["odd"]})", 1, 0 },
    { "name is taken", R"({"name":"good","apiKeys":["odd"]})", 1, 0 },
    { "negative rate", R"({"name":"x","ratePerS":-1,"apiKeys":["odd"]})", 1,
      0 },
    { "rate is a text", R"({"name":"x","ratePerS":"9","apiKeys":["odd"]})", 1,
      0 },
    { "rate is null", R"({"name":"x","ratePerS":null,"apiKeys":["odd"]})", 1,
      0 },
    { "negative burst", R"({"name":"x","burst":-1,"apiKeys":["odd"]})", 1, 0 },
    { "negative rank", R"({"name":"x","priority":-1,"apiKeys":["odd"]})", 1,
      0 },
    { "empty key", R"({"name":"x","apiKeys":[""]})", 0, 1 },
    { "key is a number", R"({"name":"x","apiKeys":[5]})", 0, 1 },
    { "keys are a text", R"({"name":"x","apiKeys":"odd"})", 0, 1 },
    { "key of another team", R"({"name":"x","apiKeys":["shared"]})", 0, 1 },
    { "key of a team that is left out",
      R"({"name":"x","ratePerS":-1,"apiKeys":["shared"]})", 1, 1 },
  };

  for (const auto &each : cases)
    {
      ASSERT_TRUE (
          decode (std::string (R"([{"name":"good","apiKeys":["g","shared"]},)")
                  + each.team + "]"))
          << each.name;
      EXPECT_EQ (holder ("g"), "good") << each.name;
      EXPECT_EQ (holder ("odd"), "-") << each.name;
      EXPECT_EQ (platform.teams_left_out, each.teams_left_out) << each.name;
      EXPECT_EQ (platform.keys_left_out, each.keys_left_out) << each.name;
      EXPECT_EQ (holder ("shared"),
                 std::string (each.team).find ("shared") == std::string::npos
                     ? "good"
                     : "-")
          << each.name;
    }
}

// Guards against a list that can't be read and then lets any request in.
TEST_F (platform_teams, UnreadableListKnowsNoKey)
{
  for (const char *list : { "null", "{}", "7", "\"a\"", "[]" })
    {
      ASSERT_TRUE (decode (list)) << list;
      ASSERT_NE (teams, nullptr) << list;
      EXPECT_EQ (teams->count, 0u) << list;
    }
}

// Guards against two texts that become the same key.
TEST_F (platform_teams, KeyWithAZeroByteIsNotCutThere)
{
  ASSERT_TRUE (decode (
      R"([{"name":"a","apiKeys":["ab\u0000cd","e\\u0000","\\\u0000f"]}])"));
  EXPECT_EQ (holder ("ab"), "-");
  EXPECT_EQ (holder ("e\\u0000"), "a");
  EXPECT_EQ (holder ("\\"), "-");
}

TEST_F (platform_teams, OnlyTrueMakesARoutePublic)
{
  const struct
  {
    const char *field;
    int is_public;
  } cases[] = { { R"("public":true,)", 1 },
                { R"("public":false,)", 0 },
                { "", 0 },
                { R"("public":1,)", 0 },
                { R"("public":"true",)", 0 },
                { R"("public":null,)", 0 } };

  for (const auto &each : cases)
    {
      ASSERT_TRUE (decode (
          "[]", std::string (R"(,{"host":"p.example","prefix":"/p/",)")
                    + each.field
                    + R"("kind":"safe","timeoutMs":100,"service":"s"})"));
      ASSERT_NE (eel_route_table_find (routes, "p.example", "/p/x"), nullptr);
      EXPECT_EQ (eel_route_table_find (routes, "p.example", "/p/x")->is_public,
                 each.is_public)
          << each.field;
    }
}

// Guards against a name in a line that reads as fields of the node's own.
TEST_F (platform_teams, NamesInLinesAreEscaped)
{
  std::string lines;

  ::testing::internal::CaptureStderr ();
  ASSERT_TRUE (decode (R"([{"name":"a\" keys=99 x=\"","apiKeys":["k"]},)"
                       R"({"name":"b\\","apiKeys":["l"]},)"
                       R"({"name":"c\" x=\"\n1.0 info event=started",)"
                       R"("apiKeys":["m"]}])",
                       R"(,{"host":"h prefix=/ field=x","prefix":"q\nevent=y",)"
                       R"("kind":"safe","timeoutMs":100,"service":"s"})"));
  platform_teams_log_changes (&platform, teams);
  lines = ::testing::internal::GetCapturedStderr ();
  EXPECT_NE (lines.find (R"(team="a\" keys=99 x=\"" keys=1 added=1)"),
             std::string::npos)
      << lines;
  EXPECT_NE (lines.find (R"(team="b\\" keys=1 added=1)"), std::string::npos)
      << lines;
  EXPECT_NE (lines.find (R"(team="c\" x=\"\0121.0 info event=started" field=)"),
             std::string::npos)
      << lines;
  EXPECT_NE (lines.find (R"(host="h prefix=/ field=x" prefix="q\012event=y" )"),
             std::string::npos)
      << lines;
}
