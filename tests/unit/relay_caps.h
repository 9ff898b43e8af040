#ifndef EEL_TESTS_RELAY_CAPS_H
#define EEL_TESTS_RELAY_CAPS_H

#include <cstring>
#include <gtest/gtest.h>

#include "relay_cluster.h"

extern "C"
{
#include "relay/caps.h"
}

// Three nodes with an upstream each.  Team a may use 20 requests a second and
// 10 at once, team b has no cap.
struct relay_caps : public ::testing::Test
{
  relay_cluster cluster{ 3 };

  relay_caps ()
  {
    cluster.set_routes ();
    for (size_t at = 0; at < 3; at++)
      cluster.list_upstream (at, 50);
    for (size_t at = 0; at < 3; at++)
      set_cap (at, 20, 10);
  }

  static void
  add (struct eel_team_table *table,
       const char *name,
       const char *key,
       double rate,
       double burst)
  {
    struct eel_team team = {};
    int32_t index;

    team.name = const_cast<char *> (name);
    team.rate_per_s = rate;
    team.burst = burst;
    index = eel_team_table_add (table, &team);
    eel_team_table_add_key (table, (uint32_t)index, key, strlen (key));
  }

  // Team a with a cap, beside team b.
  void
  set_cap (size_t at, double rate, double burst)
  {
    set_caps (at, { "a" }, rate, burst);
  }

  // Teams with the same cap; the key of team x is kx.
  void
  set_caps (size_t at,
            const std::vector<std::string> &teams,
            double rate,
            double burst)
  {
    const uint8_t secret[EEL_TEAM_SECRET_BYTES] = { 1 };
    auto *table = static_cast<struct eel_team_table *> (
        calloc (1, sizeof (struct eel_team_table)));

    eel_team_table_init (table, 1, secret);
    for (const std::string &team : teams)
      add (table, team.c_str (), ("k" + team).c_str (), rate, burst);
    add (table, "b", "kb", 0, 0);
    eel_team_table_seal (table);
    eel_relay_set_teams (&cluster.nodes[at]->relay, table);
  }

  struct eel_caps *
  caps (size_t at)
  {
    return cluster.nodes[at]->relay.caps;
  }

  std::string
  send (size_t at, const std::string &key = "ka")
  {
    return cluster.send_request (
        request_text ("GET", "/safe/x", "r1",
                      "Authorization: Bearer " + key + "\r\n"),
        at);
  }

  // The node that is asked for caps at present.
  size_t
  holder ()
  {
    for (size_t at = 0; at < 3; at++)
      if (caps (at)->holder.granted > 0)
        return at;
    return 3;
  }

  // Tokens that all holders have given out.
  uint64_t
  granted ()
  {
    uint64_t sum = 0;

    for (size_t at = 0; at < 3; at++)
      sum += caps (at)->holder.granted;
    return sum;
  }

  void
  make_public (const std::string &prefix)
  {
    for (auto &node : cluster.nodes)
      for (uint32_t i = 0; i < node->relay.routes->count; i++)
        if (node->relay.routes->routes[i].prefix == prefix)
          node->relay.routes->routes[i].is_public = 1;
  }

  size_t
  arrivals ()
  {
    size_t sum = 0;

    for (auto &node : cluster.nodes)
      sum += node->upstream.requests.size ();
    return sum;
  }
};

#endif
