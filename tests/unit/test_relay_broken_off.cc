#include "relay_cluster.h"

#include <cstring>
#include <gtest/gtest.h>

namespace
{
// Longer than what a node buffers before it sends an answer on.
constexpr size_t LONG_BYTES = 200000;

struct broken_answer
{
  const char *name;
  // Fields of the head that say how the body ends.
  const char *framing;
  bool chunked;
  // An orderly close is how a body without a length ends at an endpoint.
  bool ends_with_close;
};

const broken_answer broken_answers[] = {
  { "short of its length", "Content-Length: 900000\r\n", false, false },
  { "chunks without the last one", "Transfer-Encoding: chunked\r\n", true,
    false },
  { "without a length", "", false, true },
};

std::string
broken_text (const broken_answer &answer,
             const std::string &id,
             size_t body_bytes)
{
  std::string body (body_bytes, 'b');
  char size[32];

  snprintf (size, sizeof size, "%zx\r\n", body_bytes);
  return "HTTP/1.1 200 OK\r\nReq-Id: " + id + "\r\nProof: p\r\n"
         + answer.framing + "\r\n"
         + (answer.chunked && body_bytes > 0 ? size + body + "\r\n" : body);
}

// True when a caller would take the bytes for a whole answer with success.
bool
looks_complete (const raw_conn &caller)
{
  size_t head = caller.in.find ("\r\n\r\n");
  std::string length;

  if (head == std::string::npos || caller.in.substr (9, 3) != "200")
    return false;
  length = field_of (caller.in.substr (0, head + 2), "Content-Length");
  if (!length.empty ())
    return caller.in.size () - head - 4 >= std::stoul (length);
  if (field_of (caller.in.substr (0, head + 2), "Transfer-Encoding").empty ())
    return !caller.reset;
  return caller.in.find ("\r\n0\r\n\r\n", head + 2) != std::string::npos;
}

// Waits until the caller's connection ends or it has an answer of the node.
void
wait_for_end (relay_cluster &cluster, raw_conn &caller)
{
  EXPECT_TRUE (cluster.run_until (
      [&] { return caller.closed || caller.in.find (" 502 ") == 8; }, 4000));
}
}

// Guards against an answer that an endpoint breaks off and that the caller
// takes for a complete success: before the body, in a part that is buffered,
// and in one that has been sent on.
TEST (RelayBrokenOff, AnswerOfAnEndpointNeverLooksComplete)
{
  for (const auto &each : broken_answers)
    for (size_t bytes : { size_t (0), size_t (10), LONG_BYTES })
      for (bool reset : { false, true })
        {
          if (each.ends_with_close && !reset)
            continue;
          SCOPED_TRACE (std::string (each.name) + " " + std::to_string (bytes)
                        + (reset ? " reset" : " closed"));
          relay_cluster cluster (2);
          auto caller = cluster.connect ();

          cluster.list_upstream (1);
          cluster.set_routes ();
          cluster.nodes[1]->upstream.answer = [&] (raw_upstream &,
                                                   raw_conn &conn,
                                                   const std::string &request) {
            raw_upstream::write (
                conn, broken_text (each, field_of (request, "Req-Id"), bytes));
          };
          raw_upstream::write (*caller, request_text ("POST", "/once/x", "r"));
          ASSERT_TRUE (cluster.run_until (
              [&] { return !cluster.nodes[1]->upstream.requests.empty (); }));
          cluster.run_ms (30);
          raw_upstream::end (*cluster.nodes[1]->upstream.conns[0], reset);
          wait_for_end (cluster, *caller);
          EXPECT_FALSE (looks_complete (*caller)) << caller->in.substr (0, 300);
          bufferevent_free (caller->bev);
        }
}

// The same when the node beside the endpoint dies in the middle of an answer:
// its kernel closes the connection in order.
TEST (RelayBrokenOff, AnswerOfAPeerNeverLooksComplete)
{
  for (const auto &each : broken_answers)
    for (size_t bytes : { size_t (0), size_t (10), LONG_BYTES })
      for (bool reset : { false, true })
        {
          SCOPED_TRACE (std::string (each.name) + " " + std::to_string (bytes)
                        + (reset ? " reset" : " closed"));
          relay_cluster cluster (1);
          raw_upstream peer;
          struct eel_relay *relay = &cluster.nodes[0]->relay;
          struct eel_instance instance = {};
          auto caller = cluster.connect ();

          strcpy (instance.id, "up-2");
          instance.service = relay->service;
          instance.revision = 1;
          instance.slots = 10;
          inet_pton (AF_INET, "127.0.0.2", &instance.ip);
          peer.open (cluster.base, "127.0.0.2",
                     ntohs (relay->config.peers.sin_port));
          peer.answer
              = [&] (raw_upstream &, raw_conn &conn, const std::string &) {
                  raw_upstream::write (conn, broken_text (each, "r", bytes));
                };
          cluster.set_routes ();
          eel_directory_put (&relay->directory, &instance, eel_clock_us ());
          raw_upstream::write (*caller, request_text ("POST", "/once/x", "r"));
          ASSERT_TRUE (
              cluster.run_until ([&] { return !peer.conns.empty (); }));
          raw_upstream::write (*peer.conns[0], "HTTP/1.1 100 Continue\r\n\r\n");
          ASSERT_TRUE (
              cluster.run_until ([&] { return !peer.requests.empty (); }));
          cluster.run_ms (30);
          raw_upstream::end (*peer.conns[0], reset);
          wait_for_end (cluster, *caller);
          EXPECT_FALSE (looks_complete (*caller)) << caller->in.substr (0, 300);
          bufferevent_free (caller->bev);
        }
}
