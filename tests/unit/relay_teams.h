#ifndef EEL_TESTS_RELAY_TEAMS_H
#define EEL_TESTS_RELAY_TEAMS_H

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

  // Sends what an entry node sends to node 1: its word on the call, after lines
  // that it passes on.
  std::string
  forward (const std::string &call, const std::string &lines)
  {
    raw_conn conn;
    const struct sockaddr_in &to = cluster.nodes[1]->relay.config.peers;

    conn.bev = bufferevent_socket_new (cluster.base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb (
        conn.bev,
        [] (struct bufferevent *bev, void *data) {
          struct evbuffer *input = bufferevent_get_input (bev);
          size_t bytes = evbuffer_get_length (input);

          static_cast<raw_conn *> (data)->in.append (
              reinterpret_cast<char *> (evbuffer_pullup (input, -1)), bytes);
          evbuffer_drain (input, bytes);
        },
        nullptr, nullptr, &conn);
    bufferevent_enable (conn.bev, EV_READ | EV_WRITE);
    bufferevent_socket_connect (
        conn.bev, reinterpret_cast<const struct sockaddr *> (&to), sizeof to);
    raw_upstream::write (conn, "GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n"
                               "Req-Id: old\r\n"
                                   + lines
                                   + "Left-Ms: 1000\r\nFrom-Service: shop\r\n"
                                     "Want: up-2\r\nEel-Call: "
                                   + call
                                   + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "0\r\n\r\n");
    cluster.run_until ([&] {
      if (status_of (conn.in) == "100")
        conn.in.erase (0, conn.in.find ("\r\n\r\n") + 4);
      return !conn.in.empty ();
    });
    bufferevent_free (conn.bev);
    return status_of (conn.in);
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

inline const std::string key_of_a = "Authorization: Bearer ka\r\n";

#endif
