#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/route_table.h"
}

static struct eel_route
route (const char *host, const char *prefix)
{
  struct eel_route result = {};

  result.host = const_cast<char *> (host);
  result.prefix = const_cast<char *> (prefix);
  result.attempts = 2;
  result.timeout_us = 1000;
  result.target_us = 500;
  static struct eel_route_part only = { 0, 1, 0 };

  result.parts = &only;
  result.part_count = 1;
  return result;
}

struct lookup_case
{
  const char *host;
  const char *target;
  const char *prefix;
};

// Guards against a shorter prefix, another host's route, or a route chosen by
// the query.
TEST (RouteTable, FindsTheLongestPrefixOfTheHost)
{
  struct eel_route_table table;
  struct eel_rng rng;
  const struct lookup_case cases[] = {
    { "a.example", "/x/y/z", "/x/y/" },    { "A.Example:80", "/x/z", "/x/" },
    { "a.example", "/x", nullptr },        { "a.example", "/q?/x/y/", nullptr },
    { "b.example", "/x/y/z", "/" },        { "b.exampl", "/", nullptr },
    { "a.example.org", "/x/y/", nullptr }, { "c.example", "/", nullptr },
  };

  eel_rng_init (&rng, 1);
  eel_route_table_init (&table, 1);
  for (auto each : { route ("a.example", "/x/"), route ("b.example", "/"),
                     route ("a.example", "/x/y/") })
    ASSERT_EQ (eel_route_table_add (&table, &each), 1);
  eel_route_table_seal (&table, &rng);
  for (const auto &each : cases)
    {
      const struct eel_route *found
          = eel_route_table_find (&table, each.host, each.target);

      EXPECT_STREQ (found == nullptr ? nullptr : found->prefix, each.prefix)
          << each.host << each.target;
    }
  eel_route_table_finish (&table);
}

// Guards against routes that cannot be served.
TEST (RouteTable, RefusesRoutesOutOfRange)
{
  struct eel_route_table table;
  std::vector<struct eel_route> invalid (6, route ("a.example", "/"));

  struct eel_route_part weightless = { 0, 0, 0 };
  struct eel_route_part unknown = { EEL_NO_SERVICE, 1, 0 };

  invalid[0].part_count = 0;
  invalid[1].parts = &weightless;
  invalid[2].parts = &unknown;
  invalid[3].host = const_cast<char *> ("");
  invalid[4].prefix = const_cast<char *> ("x");
  invalid[5].timeout_us = 0;
  eel_route_table_init (&table, 1);
  for (const auto &each : invalid)
    EXPECT_EQ (eel_route_table_add (&table, &each), 0);
  eel_route_table_finish (&table);
}

// Guards against parts that get another share than their weight, also in
// short runs.
TEST (RouteTable, SplitsByWeight)
{
  struct eel_route_part parts[] = { { 1, 90, 0 }, { 2, 10, 0 } };
  struct eel_route each = route ("a.example", "/");
  int first = 0;

  each.parts = parts;
  each.part_count = 2;
  for (int i = 1; i <= 200; i++)
    {
      first += eel_route_pick_service (&each) == 1;
      EXPECT_NEAR (first, 0.9 * i, 1.0);
    }
}
