#include "relay_cluster.h"

#include <gtest/gtest.h>

// Heads of answers, each of which is cut off after any number of bytes.
static const struct
{
  const char *name;
  const char *lines;
} heads[] = {
  { "length", "Content-Length: 4\r\nSignature: x\r\n\r\n" },
  { "no body", "Signature: x\r\nContent-Length: 0\r\n\r\n" },
  { "chunks", "Transfer-Encoding: chunked\r\nSignature: x\r\n\r\n" },
  { "until the close", "Signature: x\r\nConnection: close\r\n\r\n" },
};

static std::string
head_text (const char *lines, const std::string &id)
{
  return "HTTP/1.1 200 OK\r\nReq-Id: " + id + "\r\n" + lines;
}

// Guards against an endpoint that stops in the middle of its answer's head and
// closes, whose caller gets a success with an empty or short body.
TEST (RelayBrokenHead, OfAnEndpointNeverLooksComplete)
{
  for (const auto &each : heads)
    for (bool reset : { false, true })
      {
        relay_cluster cluster (2);
        size_t whole = head_text (each.lines, "r100").size ();
        size_t cut = 0;

        cluster.list_upstream (1);
        cluster.set_routes ();
        cluster.nodes[1]->upstream.answer
            = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
                raw_upstream::end (
                    conn, reset,
                    head_text (each.lines, field_of (request, "Req-Id"))
                        .substr (0, cut));
              };
        // The last byte of the head is missing too.
        for (cut = 0; cut < whole; cut++)
          {
            std::string answer = cluster.send_request (request_text (
                "POST", "/once/x", "r" + std::to_string (100 + cut)));

            EXPECT_EQ (status_of (answer), "502")
                << each.name << (reset ? " reset" : " closed") << " after "
                << cut;
          }
      }
}

// The same when the node beside the endpoint ends in the middle of a head.
TEST (RelayBrokenHead, OfAPeerNeverLooksComplete)
{
  for (const auto &each : heads)
    {
      relay_cluster cluster (1);
      raw_upstream peer;
      struct eel_relay *relay = &cluster.nodes[0]->relay;
      struct eel_instance instance = {};
      size_t whole = head_text (each.lines, "r100").size ();

      snprintf (instance.id, sizeof instance.id, "up-2");
      instance.service = relay->service;
      instance.revision = 1;
      instance.slots = 10;
      inet_pton (AF_INET, "127.0.0.2", &instance.ip);
      peer.open (cluster.base, "127.0.0.2",
                 ntohs (relay->config.peers.sin_port));
      cluster.set_routes ();
      eel_directory_put (&relay->directory, &instance, eel_clock_us ());
      for (size_t cut = 0; cut < whole; cut += 3)
        {
          std::string id = "r" + std::to_string (100 + cut);
          auto caller = cluster.connect ();
          size_t conns = peer.conns.size ();
          size_t requests = peer.requests.size ();

          peer.answer
              = [&] (raw_upstream &, raw_conn &conn, const std::string &) {
                  raw_upstream::end (
                      conn, false, head_text (each.lines, id).substr (0, cut));
                };
          raw_upstream::write (*caller, request_text ("POST", "/once/x", id));
          ASSERT_TRUE (
              cluster.run_until ([&] { return peer.conns.size () > conns; }));
          raw_upstream::write (*peer.conns.back (),
                               "HTTP/1.1 100 Continue\r\n\r\n");
          ASSERT_TRUE (cluster.run_until (
              [&] { return peer.requests.size () > requests; }));
          EXPECT_TRUE (
              cluster.run_until ([&] { return !caller->in.empty (); }));
          EXPECT_EQ (status_of (caller->in), "502")
              << each.name << " after " << cut;
          bufferevent_free (caller->bev);
          // The next request must not wait for the backoff of this failure.
          eel_directory_find (&relay->directory, "up-2")->avoid_until_us = 0;
        }
    }
}
