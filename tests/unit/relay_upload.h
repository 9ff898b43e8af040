#ifndef EEL_TESTS_RELAY_UPLOAD_H
#define EEL_TESTS_RELAY_UPLOAD_H

#include <cstring>
#include <gtest/gtest.h>

#include "relay_cluster.h"

// An endpoint that ends a run while the request's body still arrives.  The
// check whether it has crashed is held, so that the rest of the body comes
// before its result.

struct interruption
{
  const char *name;
  // {id} stands for the id of the request.
  std::string text;
  enum
  {
    STAYS,
    CLOSES,
    RESETS
  } end;
};

inline const std::string upload_fields = "Req-Id: {id}\r\nProof: p\r\n";
inline const std::string upload_ok = "HTTP/1.1 200 OK\r\n" + upload_fields;
inline const std::string upload_two = "Content-Length: 2\r\n\r\nab";

inline const interruption interruptions[] = {
  { "status 000", "HTTP/1.1 000 Trouble\r\n" + upload_fields + upload_two,
    interruption::STAYS },
  { "blank in a name", upload_ok + "X Y: 1\r\n" + upload_two,
    interruption::STAYS },
  { "no colon", upload_ok + "Noise\r\n" + upload_two, interruption::STAYS },
  { "unknown coding", upload_ok + "Transfer-Encoding: gzip\r\n\r\nab",
    interruption::STAYS },
  { "no HTTP", std::string ("\x16\x03\x01\0\xff\xfe noise", 12),
    interruption::STAYS },
  { "close without an answer", "", interruption::CLOSES },
  { "close in the head", upload_ok.substr (0, 25), interruption::CLOSES },
  { "close in the body", upload_ok + "Content-Length: 9\r\n\r\nab",
    interruption::CLOSES },
  { "reset", "", interruption::RESETS },
  { "reset in the head", upload_ok.substr (0, 25), interruption::RESETS },
};

inline constexpr size_t PIECES = 8;
inline constexpr size_t PIECE_BYTES = 4000;

inline std::string
piece (bool chunked)
{
  char size[16];

  snprintf (size, sizeof size, "%zx\r\n", PIECE_BYTES);
  return chunked ? size + std::string (PIECE_BYTES, 'b') + "\r\n"
                 : std::string (PIECE_BYTES, 'b');
}

inline void
find_upload (const struct eel_exchange *exchange, void *data)
{
  if (strstr (eel_head_target (&exchange->request), "/upload") != nullptr)
    *static_cast<const struct eel_exchange **> (data) = exchange;
}

// A caller uploads to the endpoint beside the entry node, or to the one behind
// another node, where an order is at work.
struct upload_world
{
  relay_cluster cluster{ 2 };
  size_t at;
  bool chunked;
  raw_upstream *upstream;
  struct eel_relay *relay;
  std::unique_ptr<raw_conn> caller;
  std::unique_ptr<raw_conn> order;
  raw_conn *order_conn = nullptr;
  std::string order_request;

  upload_world (size_t at, bool chunked) : at (at), chunked (chunked)
  {
    upstream = &cluster.nodes[at]->upstream;
    relay = &cluster.nodes[at]->relay;
    cluster.list_upstream (at);
    cluster.set_routes ();
    upstream->answer
        = [this] (raw_upstream &, raw_conn &conn, const std::string &request) {
            if (request.find ("/once/order ") == std::string::npos)
              {
                raw_upstream::write (conn, answer_text (request, "ok"));
                return;
              }
            order_conn = &conn;
            order_request = request;
          };
    order = cluster.connect ();
    raw_upstream::write (*order, request_text ("POST", "/once/order", "o1"));
    EXPECT_TRUE (cluster.run_until ([&] { return order_conn != nullptr; }));
    hold_check ();
  }

  ~upload_world ()
  {
    if (caller != nullptr)
      bufferevent_free (caller->bev);
    if (order != nullptr)
      bufferevent_free (order->bev);
    release_check ();
  }

  // As if one were on its way: the next begins when it has ended.
  void
  hold_check ()
  {
    relay->endpoint_reach.bev = bufferevent_socket_new (cluster.base, -1, 0);
  }

  void
  release_check ()
  {
    if (relay->endpoint_reach.bev != nullptr)
      bufferevent_free (relay->endpoint_reach.bev);
    relay->endpoint_reach.bev = nullptr;
    eel_reach_tick (&relay->endpoint_reach);
  }

  // The upload at the node beside the endpoint.
  const struct eel_exchange *
  upload ()
  {
    const struct eel_exchange *found = nullptr;

    eel_server_visit_open (at == 0 ? &relay->callers : &relay->peers,
                           find_upload, &found);
    return found;
  }

  raw_conn *
  endpoint_conn ()
  {
    for (auto &conn : upstream->conns)
      if (!conn->closed && conn->in.find ("/upload ") != std::string::npos)
        return conn.get ();
    return nullptr;
  }

  // Sends the head and the first piece of the body, to the endpoint.
  void
  begin (const std::string &target, const std::string &left_ms = "5000")
  {
    std::string framing
        = chunked ? "Transfer-Encoding: chunked"
                  : "Content-Length: " + std::to_string (PIECES * PIECE_BYTES);

    caller = cluster.connect ();
    raw_upstream::write (*caller, "POST " + target
                                      + " HTTP/1.1\r\nHost: shop.example\r\n"
                                        "Req-Id: u1\r\nLeft-Ms: "
                                      + left_ms + "\r\n" + framing + "\r\n\r\n"
                                      + piece (chunked));
    ASSERT_TRUE (cluster.run_until ([&] {
      return endpoint_conn () != nullptr
             && endpoint_conn ()->in.size () > PIECE_BYTES;
    }));
  }

  void
  interrupt (const interruption &how)
  {
    raw_conn *conn = endpoint_conn ();
    std::string text = how.text;
    size_t id = text.find ("{id}");

    if (id != std::string::npos)
      text.replace (id, 4, "u1");
    if (how.end == interruption::STAYS)
      raw_upstream::write (*conn, text);
    else
      raw_upstream::end (*conn, how.end == interruption::RESETS, text);
    ASSERT_TRUE (cluster.run_until (
        [&] { return relay->interrupted_runs->len == 1; }, 2000));
    // Its connection is of no use any more.
    EXPECT_TRUE (cluster.run_until ([&] { return conn->closed; }, 2000));
  }

  // Sends more of the body, which arrives before the result of the check.
  void
  send_more ()
  {
    const struct eel_exchange *open = upload ();
    uint64_t bytes = open == nullptr ? 0 : open->body_bytes;

    raw_upstream::write (*caller, piece (chunked));
    EXPECT_TRUE (cluster.run_until (
        [&] {
          open = upload ();
          return open != nullptr && open->body_bytes == bytes + PIECE_BYTES;
        },
        2000));
  }

  void
  send_end ()
  {
    raw_upstream::write (*caller, chunked ? "0\r\n\r\n" : "");
  }

  void
  send_rest ()
  {
    for (size_t i = 1; i < PIECES; i++)
      send_more ();
    send_end ();
    EXPECT_TRUE (cluster.run_until (
        [&] {
          const struct eel_exchange *open = upload ();

          return open != nullptr && open->request_done;
        },
        2000));
  }

  std::string
  read_answer ()
  {
    cluster.run_until (
        [&] { return caller->closed || request_bytes (caller->in) > 0; }, 3000);
    return caller->in;
  }

  void
  expect_order_answered ()
  {
    raw_upstream::write (*order_conn, answer_text (order_request, "ran"));
    EXPECT_TRUE (
        cluster.run_until ([&] { return body_of (order->in) == "ran"; }, 2000));
  }

  // The caller's connection takes another request.
  void
  expect_kept ()
  {
    for (auto &node : cluster.nodes)
      for (uint32_t i = 0; i < node->relay.directory.count; i++)
        node->relay.directory.instances[i].avoid_until_us = 0;
    caller->in.clear ();
    raw_upstream::write (*caller, request_text ("GET", "/safe/next", "n1"));
    EXPECT_EQ (body_of (read_answer ()), "ok");
  }

  void
  close_caller ()
  {
    bufferevent_free (caller->bev);
    caller = nullptr;
  }

  static uint32_t
  idle_links (const struct eel_pool &pool)
  {
    uint32_t count = 0;

    for (struct eel_link *link = pool.idle; link != nullptr; link = link->next)
      count++;
    return count;
  }

  // No exchange, run, slot or link in use is left.
  bool
  nothing_is_left ()
  {
    for (auto &node : cluster.nodes)
      {
        struct eel_relay &each = node->relay;

        if (each.callers.exchange_count > 0 || each.peers.exchange_count > 0
            || each.gate.running > 0 || each.gate.queued > 0
            || each.running->len > 0 || each.interrupted_runs->len > 0
            || each.endpoint_pool.active != nullptr
            || each.endpoint_pool.open_count != idle_links (each.endpoint_pool))
          return false;
      }
    return true;
  }

  void
  expect_nothing_left ()
  {
    EXPECT_TRUE (cluster.run_until ([&] { return nothing_is_left (); }, 2000));
  }
};

// Calls test for each place of the endpoint and each framing of the body.
inline void
on_all_ways (const std::function<void (size_t at, bool chunked)> &test)
{
  for (size_t at : { 0, 1 })
    for (bool chunked : { false, true })
      {
        SCOPED_TRACE (std::string (at == 0 ? "own" : "forwarded")
                      + (chunked ? ", chunks" : ", length"));
        test (at, chunked);
      }
}

#endif
