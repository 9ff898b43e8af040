#include <cmath>
#include <cstdlib>
#include <map>
#include <set>

#include "adapter_fixture.h"

// Random configurations and entries over what the users' platform allows, and a
// plain model without bounds that says what a node has to make of them.

static const char *const characters[] = { "a",    "Z", "7", "-",  "_",
                                          ".",    "/", "ä", "漢", "\\\"",
                                          "\\\\", " ", "%" };

struct world
{
  struct eel_rng rng;
  // Service of each part of a split with its weight, by prefix.
  std::map<std::string, std::map<std::string, double>> routes;
  std::map<std::string, std::string> services_of_entries;

  explicit world (uint64_t seed)
  {
    eel_rng_init (&rng, seed);
  }

  uint32_t
  below (uint32_t bound)
  {
    return eel_rng_below (&rng, bound);
  }

  // JSON text of a name of up to that many characters.
  std::string
  name (uint32_t most)
  {
    std::string text;

    for (uint32_t i = 1 + below (most); i > 0; i--)
      text += characters[below (sizeof characters / sizeof characters[0])];
    return text;
  }

  double
  weight ()
  {
    switch (below (5))
      {
      case 0:
        return 0.1;
      case 1:
        return 1 + below (100);
      case 2:
        return eel_rng_unit (&rng);
      case 3:
        return 1e6 * eel_rng_unit (&rng);
      default:
        return 1e-6 * (1 + below (9));
      }
  }

  std::string
  split (std::map<std::string, double> &model)
  {
    uint32_t parts = below (4) == 0 ? 1 + below (300) : 1 + below (12);
    std::string text = R"("trafficSplit":[)";

    for (uint32_t i = 0; i < parts; i++)
      {
        std::string service = name (60) + std::to_string (i);
        char number[40];

        snprintf (number, sizeof number, "%.17g", weight ());
        model[service] = atof (number);
        text += (i == 0 ? "" : ",") + (R"({"service":")" + service)
                + R"(","weight":)" + number + "}";
      }
    return text + "]";
  }

  std::string
  configuration (uint32_t version)
  {
    uint32_t count = 1 + below (40);
    std::string text
        = R"({"version":)" + std::to_string (version) + R"(,"routes":[)";

    routes.clear ();
    for (uint32_t i = 0; i < count; i++)
      {
        std::string prefix = "/r" + std::to_string (i) + "/";

        text += (i == 0 ? "" : ",")
                + (R"({"host":"a.example","prefix":")" + prefix)
                + R"(","timeoutMs":100,"kind":"safe",)";
        if (below (2) == 0)
          text += split (routes[prefix]);
        else
          {
            std::string service = name (100);

            routes[prefix][service] = 1;
            text += R"("service":")" + service + "\"";
          }
        text += "}";
      }
    return text + "]}";
  }
};

// What a name in JSON text stands for.
static std::string
unescaped (const std::string &text)
{
  std::string plain;

  for (size_t i = 0; i < text.size (); i++)
    plain += text[text[i] == '\\' ? ++i : i];
  return plain;
}

static void
check_route (struct platform *platform,
             struct eel_route *route,
             const std::map<std::string, double> &model)
{
  std::map<std::string, int> counts;
  const int requests = 400;
  double total = 0;

  ASSERT_NE (route, nullptr);
  for (int i = 0; i < requests; i++)
    counts[eel_service_name (&platform->relay.names,
                             eel_route_pick_service (route))]++;
  for (const auto &part : model)
    total += part.second;
  for (const auto &part : model)
    {
      std::string service = unescaped (part.first);

      EXPECT_NEAR (counts[service], requests * part.second / total, 2)
          << service;
      counts.erase (service);
    }
  for (const auto &other : counts)
    ADD_FAILURE () << other.first;
}

// Guards against a bound of ours at which a configuration, a route or a part of
// it is dropped though the pages allow it.  EEL_WORLDS sets the number.
TEST_F (adapter_test, ConfigurationsOfRandomWorldsAreInForce)
{
  const char *text = getenv ("EEL_WORLDS");
  int worlds = text == nullptr ? 300 : atoi (text);

  for (int seed = 1; seed <= worlds && !HasFailure (); seed++)
    {
      world each (seed);
      std::string configuration = each.configuration (seed);
      struct eel_server_limits limits;
      struct eel_route_table *table
          = platform_config_decode (&platform, configuration.data (),
                                    configuration.size (), &limits, nullptr);

      SCOPED_TRACE (seed);
      ASSERT_NE (table, nullptr);
      EXPECT_EQ (table->count, each.routes.size ());
      EXPECT_EQ (platform.routes_left_out, 0u);
      for (const auto &route : each.routes)
        check_route (&platform,
                     eel_route_table_find (table, "a.example",
                                           (route.first + "x").c_str ()),
                     route.second);
      eel_route_table_finish (table);
      free (table);
    }
}

// Guards against the same for entries: ids up to the longest key, names of any
// kind, and other writers' entries between them.
TEST_F (adapter_test, EntriesOfRandomWorldsAreUsable)
{
  const char *text = getenv ("EEL_WORLDS");
  int worlds = text == nullptr ? 300 : atoi (text);

  for (int seed = 1; seed <= worlds && !HasFailure (); seed++)
    {
      world each (seed);
      std::string id = "i" + std::string (each.below (192), 'x');
      std::string entry
          = R"({"service":")" + each.name (60) + R"(","zone":"z1","slots":)"
            + std::to_string (1 + each.below (1000))
            + R"(,"address":"10.0.0.1:80","state":"ready","version":")"
            + each.name (500) + R"(","more":[)" + std::to_string (seed) + "]}";

      SCOPED_TRACE (seed);
      EXPECT_TRUE (entry_is_usable ("servers/" + id, entry)) << entry;
      EXPECT_FALSE (entry_is_usable (
          "servers/" + id, entry.substr (0, each.below (entry.size ()))));
    }
}
