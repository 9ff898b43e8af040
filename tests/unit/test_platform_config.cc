#include <map>

#include "adapter_fixture.h"

// A route that is split among services with these weights.
static std::string
split_route (const std::vector<std::string> &weights)
{
  std::string text
      = R"({"host":"a.example","prefix":"/split/","kind":"safe",)"
        R"("timeoutMs":100,"targetLatencyMs":50,"priority":1,"attempts":2,)"
        R"("trafficSplit":[)";

  for (size_t i = 0; i < weights.size (); i++)
    text += (i == 0 ? "" : ",") + (R"({"service":"part)" + std::to_string (i))
            + R"(","weight":)" + weights[i] + "}";
  return text + "]}";
}

// Requests of the split route that go to each service, or none when the
// configuration is rejected.
static std::map<std::string, int>
requests_of_parts (struct platform *platform,
                   const std::string &route,
                   int requests)
{
  std::string text = config (route);
  struct eel_server_limits limits;
  struct eel_route_table *table = platform_config_decode (
      platform, text.data (), text.size (), &limits, nullptr);
  std::map<std::string, int> counts;
  struct eel_route *found;

  if (table == nullptr)
    return counts;
  found = eel_route_table_find (table, "a.example", "/split/x");
  for (int i = 0; found != nullptr && found->part_count > 0 && i < requests;
       i++)
    counts[eel_service_name (&platform->relay.names,
                             eel_route_pick_service (found))]++;
  eel_route_table_finish (table);
  free (table);
  return counts;
}

// Guards against a configuration that is never in force because a route is
// split among more services than a fixed number.
TEST_F (adapter_test, SplitAmongAnyNumberOfServicesIsInForce)
{
  for (size_t parts : { 1, 7, 8, 9, 24, 400 })
    {
      const std::string route
          = split_route (std::vector<std::string> (parts, "10"));
      std::map<std::string, int> counts
          = requests_of_parts (&platform, route, (int)parts * 10);

      EXPECT_EQ (counts.size (), parts);
      for (const auto &each : counts)
        EXPECT_NEAR (each.second, 10, 1) << parts << " " << each.first;
    }
}

// Guards against a configuration that is never in force, or shares other than
// the weights, because the weights are fractions or of unusual size.
TEST_F (adapter_test, WeightsMayBeFractions)
{
  const struct
  {
    std::vector<std::string> weights;
    std::vector<double> shares;
  } cases[] = {
    { { "0.5", "0.5" }, { 0.5, 0.5 } },
    { { "0.25", "0.75" }, { 0.25, 0.75 } },
    { { "90.5", "9.5" }, { 0.905, 0.095 } },
    { { "1e-9", "3e-9" }, { 0.25, 0.75 } },
    { { "1e300", "1e300" }, { 0.5, 0.5 } },
    { { "1e308", "1e308", "0" }, { 0.5, 0.5, 0 } },
    { { "5000000000", "15000000000" }, { 0.25, 0.75 } },
    { std::vector<std::string> (9, "0.1"), std::vector<double> (9, 1.0 / 9) },
  };

  for (const auto &each : cases)
    {
      std::map<std::string, int> counts
          = requests_of_parts (&platform, split_route (each.weights), 2000);

      for (size_t i = 0; i < each.shares.size (); i++)
        EXPECT_NEAR (counts["part" + std::to_string (i)], 2000 * each.shares[i],
                     2)
            << each.weights[0] << " part " << i;
    }
}

// Guards against weights that no share follows from.
TEST_F (adapter_test, WeightsOutOfRangeServeNothing)
{
  for (const char *weight : { "-1", "-0.001", "1e400", "\"1\"", "null" })
    EXPECT_EQ (requests_of_parts (&platform, split_route ({ "1", weight }), 10)
                   .size (),
               0u)
        << weight;
}

// Guards against one route that keeps a whole configuration from being in
// force, and against requests of that route that another one serves.
TEST_F (adapter_test, InvalidRouteLeavesTheOthersInForce)
{
  const std::string where = R"({"host":"a.example","prefix":"/a/b/",)";
  const struct
  {
    const char *name;
    std::string route;
    bool matches;
  } cases[] = {
    { "no object", "7", false },
    { "no host", R"({"prefix":"/a/b/","timeoutMs":1,"service":"s"})", false },
    { "no prefix", R"({"host":"a.example","timeoutMs":1,"service":"s"})",
      false },
    { "no service", where + R"("timeoutMs":1})", true },
    { "no time limit", where + R"("service":"s"})", true },
    { "no attempts", where + R"("timeoutMs":1,"service":"s","attempts":0})",
      true },
    { "split without weight",
      where + R"("timeoutMs":1,"trafficSplit":[{"service":"s"}]})", true },
    { "split without parts", where + R"("timeoutMs":1,"trafficSplit":[]})",
      true },
    { "part without service",
      where + R"("timeoutMs":1,"trafficSplit":[{"weight":1}]})", true },
    { "part that is no object",
      where + R"("timeoutMs":1,"trafficSplit":[{"service":"s","weight":1},7]})",
      true },
    { "weights of zero",
      where + R"("timeoutMs":1,"trafficSplit":[{"service":"s","weight":0}]})",
      true },
  };

  for (const auto &each : cases)
    {
      const std::string text = config (each.route);
      struct eel_server_limits limits;
      struct eel_route_table *table = platform_config_decode (
          &platform, text.data (), text.size (), &limits, nullptr);
      const struct eel_route *good;
      const struct eel_route *matched;

      ASSERT_NE (table, nullptr) << each.name;
      good = eel_route_table_find (table, "a.example", "/a/x");
      matched = eel_route_table_find (table, "a.example", "/a/b/x");
      EXPECT_EQ (good == nullptr ? 0u : good->part_count, 1u) << each.name;
      EXPECT_EQ (matched != good, each.matches) << each.name;
      EXPECT_EQ (matched->part_count, each.matches ? 0u : 1u) << each.name;
      EXPECT_EQ (platform.routes_left_out, 1u) << each.name;
      eel_route_table_finish (table);
      free (table);
    }
}

// Guards against an added route that is never served because entries of other
// writers named many services before its endpoint registered.
TEST_F (adapter_test, EndpointAmongManyForeignServicesIsUsable)
{
  for (int i = 0; i < 600; i++)
    entry_is_usable ("servers/a",
                     R"({"service":"odd)" + std::to_string (i)
                         + R"(","address":"10.0.0.1:80","zone":"z1",)"
                           R"("slots":4,"state":"ready"})");
  EXPECT_TRUE (entry_is_usable ("servers/b",
                                R"({"service":"later","address":"10.0.0.2:80",)"
                                R"("zone":"z1","slots":4,"state":"ready"})"));
}

// Guards against a process that takes no configuration any more once it has
// seen many names of services.
TEST_F (adapter_test, ConfigurationsMayNameEverNewServices)
{
  for (int version = 0; version < 3000; version++)
    ASSERT_EQ (
        routes (config (R"({"host":"a.example","prefix":"/v/","timeoutMs":9,)"
                        R"("service":"new)"
                        + std::to_string (version) + "\"}")),
        2)
        << version;
}
