#include "relay_cluster.h"

#include <gtest/gtest.h>
#include <set>

// Answers that are no HTTP response, each sent by an endpoint beside the entry
// node, by one behind another node, and by another node.

struct malformed_answer
{
  const char *name;
  // {id} stands for the id of the request.
  std::string text;
};

// How the answer reaches the entry node.
enum answer_way
{
  OWN_ENDPOINT,
  ENDPOINT_BEHIND_NODE,
  PEER
};

static const char *const way_names[]
    = { "own endpoint", "endpoint behind a node", "peer" };

static std::string
with_id (std::string text, const std::string &request)
{
  size_t at = text.find ("{id}");

  return at == std::string::npos
             ? text
             : text.replace (at, 4, field_of (request, "Req-Id"));
}

static bool
is_for (const std::string &request, const char *target)
{
  return request.find (std::string (" ") + target + " ") != std::string::npos;
}

// A node whose caller has an order at work while another one gets a malformed
// answer.
struct malformed_world
{
  relay_cluster cluster;
  raw_upstream peer;
  raw_upstream *upstream;
  raw_conn *held_conn = nullptr;
  std::set<raw_conn *> accepted;
  std::string held_request;
  std::string malformed;

  explicit malformed_world (enum answer_way way)
      : cluster (way == ENDPOINT_BEHIND_NODE ? 2 : 1)
  {
    upstream = way == PEER ? &peer : &cluster.nodes.back ()->upstream;
    if (way == PEER)
      list_peer ();
    else
      cluster.list_upstream (cluster.nodes.size () - 1);
    cluster.set_routes ();
    upstream->answer
        = [this] (raw_upstream &, raw_conn &conn, const std::string &request) {
            answer (conn, request);
          };
  }

  // A node at 127.0.0.2 that is played by the test.
  void
  list_peer ()
  {
    struct eel_relay *relay = &cluster.nodes[0]->relay;
    struct eel_instance instance = {};

    snprintf (instance.id, sizeof instance.id, "up-2");
    instance.service = relay->service;
    instance.revision = 1;
    instance.slots = 10;
    inet_pton (AF_INET, "127.0.0.2", &instance.ip);
    peer.open (cluster.base, "127.0.0.2", ntohs (relay->config.peers.sin_port));
    eel_directory_put (&relay->directory, &instance, eel_clock_us ());
  }

  void
  answer (raw_conn &conn, const std::string &request)
  {
    accepted.erase (&conn);
    if (is_for (request, "/once/held"))
      {
        held_conn = &conn;
        held_request = request;
      }
    else if (is_for (request, "/once/malformed"))
      raw_upstream::write (conn, with_id (malformed, request));
    else
      raw_upstream::write (conn, answer_text (request, "ok"));
  }

  // A peer takes a request before it gets its body.
  void
  accept_requests ()
  {
    for (auto &conn : peer.conns)
      if (!conn->closed && conn->in.find ("\r\n\r\n") != std::string::npos
          && accepted.insert (conn.get ()).second)
        raw_upstream::write (*conn, "HTTP/1.1 100 Continue\r\n\r\n");
  }

  bool
  run_until (const std::function<bool ()> &done)
  {
    return cluster.run_until ([&] {
      accept_requests ();
      return done ();
    });
  }

  std::unique_ptr<raw_conn>
  send (const std::string &request)
  {
    auto caller = cluster.connect ();

    raw_upstream::write (*caller, request);
    return caller;
  }

  // Returns the answer, or what has come by the end of the connection.
  std::string
  finish (std::unique_ptr<raw_conn> caller)
  {
    run_until (
        [&] { return caller->closed || request_bytes (caller->in) > 0; });
    bufferevent_free (caller->bev);
    return caller->in;
  }

  // Failures of a peer don't keep the next request from it.
  void
  forget_failures ()
  {
    for (auto &node : cluster.nodes)
      for (uint32_t i = 0; i < node->relay.directory.count; i++)
        node->relay.directory.instances[i].avoid_until_us = 0;
  }
};

// The caller whose answer is malformed gets 502; an order at work meanwhile and
// the next lookup get the endpoint's answers.
static void
expect_502_only (const malformed_answer &answer, enum answer_way way)
{
  malformed_world world (way);
  std::unique_ptr<raw_conn> held;
  std::string got;

  SCOPED_TRACE (std::string (answer.name) + ", " + way_names[way]);
  held = world.send (request_text ("POST", "/once/held", "h1"));
  ASSERT_TRUE (world.run_until ([&] { return world.held_conn != nullptr; }));
  world.malformed = answer.text;
  got = world.finish (
      world.send (request_text ("POST", "/once/malformed", "m1")));
  EXPECT_EQ (status_of (got), "502") << got;
  EXPECT_EQ (field_of (got, "Proof"), "");
  raw_upstream::write (*world.held_conn,
                       answer_text (world.held_request, "held"));
  EXPECT_EQ (body_of (world.finish (std::move (held))), "held");
  world.forget_failures ();
  got = world.finish (world.send (request_text ("GET", "/safe/next", "n1")));
  EXPECT_EQ (body_of (got), "ok") << got;
}

static void
expect_502_only_on_all_ways (const std::vector<malformed_answer> &answers)
{
  for (const malformed_answer &answer : answers)
    for (enum answer_way way : { OWN_ENDPOINT, ENDPOINT_BEHIND_NODE, PEER })
      expect_502_only (answer, way);
}

static const std::string rest
    = "\r\nReq-Id: {id}\r\nProof: p\r\nContent-Length: 2\r\n\r\nab";

// Guards against a status that is none: callers got 000 as an answer.
TEST (RelayMalformed, StatusLine)
{
  expect_502_only_on_all_ways ({
      { "000", "HTTP/1.1 000 Trouble" + rest },
      { "below 100", "HTTP/1.1 099 Low" + rest },
      { "above 599", "HTTP/1.1 600 High" + rest },
      { "highest", "HTTP/1.1 999 High" + rest },
      { "one digit", "HTTP/1.1 2 Short" + rest },
      { "two digits", "HTTP/1.1 20 Short" + rest },
      { "four digits", "HTTP/1.1 0200 Long" + rest },
      { "four digits above 999", "HTTP/1.1 2000 Long" + rest },
      { "sign", "HTTP/1.1 +200 Sign" + rest },
      { "negative", "HTTP/1.1 -200 Sign" + rest },
      { "letters", "HTTP/1.1 2xx Letters" + rest },
      { "letters behind", "HTTP/1.1 200OK" + rest },
      { "none", "HTTP/1.1 " + rest },
      { "nothing behind the version", "HTTP/1.1" + rest },
      { "two blanks", "HTTP/1.1  200 OK" + rest },
      { "tab", "HTTP/1.1\t200 OK" + rest },
      { "NUL", std::string ("HTTP/1.1 2\0000 OK", 15) + rest },
      { "version 2", "HTTP/2.0 200 OK" + rest },
      { "version 0.9", "HTTP/0.9 200 OK" + rest },
      { "version of two digits", "HTTP/1.10 200 OK" + rest },
      { "lower case", "http/1.1 200 OK" + rest },
      { "another protocol", "ICY 200 OK" + rest },
  });
}

static const std::string head
    = "HTTP/1.1 200 OK\r\nReq-Id: {id}\r\nProof: p\r\n";

// Guards against a name that holds a byte which no name has: callers got the
// line passed on, or a body that only this node took for one.
TEST (RelayMalformed, FieldName)
{
  const std::string body = "Content-Length: 2\r\n\r\nab";
  const std::string chunks = "\r\n2\r\nab\r\n0\r\n\r\n";

  expect_502_only_on_all_ways ({
      { "blank within", head + "X Y: 1\r\n" + body },
      { "blank before the colon", head + "X : 1\r\n" + body },
      { "blank before the name",
        "HTTP/1.1 200 OK\r\n X: 1\r\n" + head.substr (17) + body },
      { "nothing but a blank",
        "HTTP/1.1 200 OK\r\n : 1\r\n" + head.substr (17) + body },
      { "tab within", head + "X\tY: 1\r\n" + body },
      { "tab before the colon", head + "X\t: 1\r\n" + body },
      { "control byte", head + "X\1Y: 1\r\n" + body },
      { "NUL", head + std::string ("X\0Y: 1\r\n", 8) + body },
      { "escape", head + "\33[31m: 1\r\n" + body },
      { "delete", head + "X\177: 1\r\n" + body },
      { "8 bits", head + "X\200: 1\r\n" + body },
      { "CR", head + "X\rY: 1\r\n" + body },
      { "separator", head + "X(Y): 1\r\n" + body },
      { "quote", head + "\"X\": 1\r\n" + body },
      { "none", head + ": 1\r\n" + body },
      { "no colon", head + "X\r\n" + body },
      { "length", head + "Content-Length : 2\r\n\r\nab" },
      { "length of two words", head + "Content Length: 1\r\n" + body },
      { "coding", head + "Transfer-Encoding : chunked\r\n" + chunks },
      { "coding of two words", head + "Transfer Encoding: chunked\r\n" + body },
      { "id", "HTTP/1.1 200 OK\r\nReq-Id : {id}\r\nProof: p\r\n" + body },
      { "proof", "HTTP/1.1 200 OK\r\nReq-Id: {id}\r\nProof : p\r\n" + body },
      { "field between nodes", head + "Eel-Refused : leaving\r\n" + body },
      { "interim answer",
        "HTTP/1.1 100 Continue\r\nX : 1\r\n\r\n" + head + body },
  });
}

// Guards against a number in a head from which a time overflows: the process
// ended where the compiler checks that.  What states no time ends no
// connection.
TEST (RelayMalformed, KeepAliveOfAnyNumber)
{
  for (const char *timeout :
       { "5", "2147483648", "9223372036854775807", "99999999999999999999", "-1",
         "-9223372036854775808", "", "x" })
    {
      malformed_world world (OWN_ENDPOINT);

      SCOPED_TRACE (timeout);
      world.upstream->answer = [timeout] (raw_upstream &, raw_conn &conn,
                                          const std::string &request) {
        raw_upstream::write (conn,
                             answer_text (request, "ok", "200 OK",
                                          std::string ("Keep-Alive: timeout=")
                                              + timeout + "\r\n"));
      };
      for (const char *id : { "k1", "k2" })
        EXPECT_EQ (status_of (world.finish (
                       world.send (request_text ("POST", "/once/k", id)))),
                   "200");
      EXPECT_EQ (world.upstream->conns.size (), 1u);
    }
}

// Guards against a body in a coding that its receiver is not told of: the field
// applies to one connection and is not passed on.
TEST (RelayMalformed, TransferCoding)
{
  const std::string chunks = "\r\n2\r\nab\r\n0\r\n\r\n";

  expect_502_only_on_all_ways ({
      { "gzip",
        head + "Transfer-Encoding: gzip\r\nConnection: close\r\n" + chunks },
      { "gzip in chunks",
        head + "Transfer-Encoding: gzip, chunked\r\n" + chunks },
      { "gzip in chunks, two fields",
        head + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"
            + chunks },
      { "chunks in gzip",
        head + "Transfer-Encoding: chunked, gzip\r\n" + chunks },
      { "twice in chunks",
        head + "Transfer-Encoding: chunked, chunked\r\n" + chunks },
      { "two fields", head
                          + "Transfer-Encoding: chunked\r\n"
                            "Transfer-Encoding: chunked\r\n"
                          + chunks },
      { "another word", head + "Transfer-Encoding: xchunked\r\n" + chunks },
      { "nothing", head + "Transfer-Encoding:\r\n" + chunks },
      { "identity", head + "Transfer-Encoding: identity\r\n" + chunks },
      { "length too", head
                          + "Content-Length: 2\r\nTransfer-Encoding: "
                            "chunked\r\n"
                          + chunks },
  });
}

// Guards against a line or a chunk that ends with other bytes than CR LF: the
// byte in their place was lost, and a chunk could be longer than its size.
TEST (RelayMalformed, LineEnd)
{
  const std::string body = "Content-Length: 2\r\n\r\nab";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n";

  expect_502_only_on_all_ways ({
      { "status line", "HTTP/1.1 200 OK\rX" + head.substr (17) + body },
      { "field", head + "X: 1\rY" + body },
      { "head", head + "Content-Length: 2\r\n\rXab" },
      { "head of an answer without a body", head + "Content-Length: 0\r\n\rX" },
      { "head before chunks", chunked + "\rX2\r\nab\r\n0\r\n\r\n" },
      { "interim head", "HTTP/1.1 100 Continue\r\n\rX" + head + body },
      { "size of a chunk", chunked + "\r\n2\rXab\r\n0\r\n\r\n" },
      { "extension of a chunk", chunked + "\r\n2;x=y\rXab\r\n0\r\n\r\n" },
      { "chunk, no CR", chunked + "\r\n2\r\nabX\n0\r\n\r\n" },
      { "chunk, no LF", chunked + "\r\n2\r\nab\rX0\r\n\r\n" },
      { "chunk longer than its size", chunked + "\r\n2\r\nabcd0\r\n\r\n" },
      { "last chunk", chunked + "\r\n2\r\nab\r\n0\rX\r\n" },
      { "trailer", chunked + "\r\n2\r\nab\r\n0\r\nT: 1\rX\r\n" },
      { "message", chunked + "\r\n2\r\nab\r\n0\r\n\rX" },
  });
}

// What the checks above let through arrives whole, however it is cut.
TEST (RelayMalformed, SoundAnswerInAnyPieces)
{
  const std::string sound
      = "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head
        + "Transfer-Encoding: chunked \r\n\r\n2\r\nab\r\n1;x=\"y\"\r\nc\r\n"
          "0\r\nT: 1\r\n\r\n";

  for (enum answer_way way : { OWN_ENDPOINT, ENDPOINT_BEHIND_NODE })
    for (size_t cut = 1; cut < sound.size (); cut++)
      {
        malformed_world world (way);
        raw_conn *conn = nullptr;
        std::string request;
        std::unique_ptr<raw_conn> caller;

        world.upstream->answer = [&] (raw_upstream &, raw_conn &answered,
                                      const std::string &text) {
          conn = &answered;
          request = text;
        };
        caller = world.send (request_text ("POST", "/once/x", "p100"));
        ASSERT_TRUE (world.run_until ([&] { return conn != nullptr; }));
        raw_upstream::write (*conn, with_id (sound, request).substr (0, cut));
        world.cluster.run_ms (1);
        raw_upstream::write (*conn, with_id (sound, request).substr (cut));
        EXPECT_EQ (body_of (world.finish (std::move (caller))), "abc") << cut;
      }
}

// Guards against a body behind a status that has none: its bytes were passed on
// behind the answer, where the caller expects the next one.
TEST (RelayMalformed, NoBodyBehindTheHead)
{
  const std::string fields = "Req-Id: {id}\r\nProof: p\r\n";
  const struct
  {
    const char *name;
    std::string text;
    const char *status;
  } cases[] = {
    { "204 with a length",
      "HTTP/1.1 204 None\r\n" + fields + "Content-Length: 2\r\n\r\nab", "204" },
    { "204 with a length, bytes missing",
      "HTTP/1.1 204 None\r\n" + fields + "Content-Length: 2\r\n\r\n", "204" },
    { "204 in chunks",
      "HTTP/1.1 204 None\r\n" + fields
          + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
      "204" },
    { "304 with a length",
      "HTTP/1.1 304 Same\r\n" + fields + "Content-Length: 2\r\n\r\n", "304" },
    { "interim answer with a length",
      "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\nHTTP/1.1 204 None\r\n"
          + fields + "\r\n",
      "204" },
  };

  for (const auto &each : cases)
    for (enum answer_way way : { OWN_ENDPOINT, ENDPOINT_BEHIND_NODE, PEER })
      {
        malformed_world world (way);
        auto caller = world.cluster.connect ();

        SCOPED_TRACE (std::string (each.name) + ", " + way_names[way]);
        world.malformed = each.text;
        raw_upstream::write (*caller,
                             request_text ("POST", "/once/malformed", "m1"));
        world.run_until ([&] { return request_bytes (caller->in) > 0; });
        EXPECT_EQ (status_of (caller->in), each.status);
        EXPECT_EQ (field_of (caller->in, "Content-Length"), "");
        EXPECT_EQ (field_of (caller->in, "Transfer-Encoding"), "");
        world.cluster.run_ms (5);
        EXPECT_EQ (body_of (caller->in), "");
        caller->in.clear ();
        world.forget_failures ();
        raw_upstream::write (*caller, request_text ("GET", "/safe/next", "n1"));
        EXPECT_EQ (body_of (world.finish (std::move (caller))), "ok");
      }
}
