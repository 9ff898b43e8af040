#include "relay_cluster.h"

#include <cstring>
#include <gtest/gtest.h>

// An endpoint at 127.0.0.2, whose node is played by the test.
static struct eel_instance
entry_of_peer (struct eel_relay *relay)
{
  struct eel_instance instance = {};

  strcpy (instance.id, "up-2");
  instance.service = relay->service;
  instance.revision = 1;
  instance.slots = 10;
  inet_pton (AF_INET, "127.0.0.2", &instance.ip);
  return instance;
}

// Guards against a second copy of an answer, sent late on a connection that is
// in use again, for a request that has no id of its own to tell it by.
TEST (RelayAnswers, LateCopyOfAnAnswerReachesNoOtherCaller)
{
  relay_cluster cluster (2);
  std::string copy;

  cluster.list_upstream (1, 1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          std::string answer
              = field_of (request, "Req-Id").empty ()
                    ? "HTTP/1.1 400 No id\r\nNot-Run: 1\r\nContent-Length: 0"
                      "\r\n\r\n"
                    : answer_text (request, "first");

          raw_upstream::write (conn, copy + answer);
          copy = answer;
        };
  for (const char *id : { "r1", "r2", "" })
    {
      std::string request = request_text ("GET", "/safe/a", id);
      size_t at = request.find ("Req-Id: \r\n");

      if (at != std::string::npos)
        request.erase (at, strlen ("Req-Id: \r\n"));
      std::string answer = cluster.send_request (request);

      EXPECT_EQ (field_of (answer, "Req-Id"), id) << answer;
      EXPECT_EQ (answer.substr (9, 3), id[0] == 0 ? "503" : "200");
    }
}

#define WAITS "100 0 0 7 0 0 0 0 1000 5\r\nEel-Load: rank_waits_ms"

// Guards against loads that no node can have, from which sums would overflow.
TEST (RelayAnswers, MalformedLoadOfAPeerIsIgnored)
{
  for (const char *load : { "",
                            "1 2 3",
                            "100 0 0 7 0 0 0",
                            "x 0 0 7 0 0 0 0",
                            "4000000000 0 0 7 0 0 0 0",
                            "100 -1 0 7 0 0 0 0",
                            "100 0 0 7 1001 0 0 0",
                            "100 0 0 7 0 -1 0 0",
                            "100 0 0 7 0 9223372036854775807 0 0",
                            "100 9223372036854775807 0 7 0 0 0 0",
                            "100 0 0 7 0 0 2 0",
                            "100 0 0 7 0 0 1 9000000000000",
                            "100 0 0 7 0 0 1 -1",
                            "100 0 0 7 0 0 0 0 1000",
                            "100 0 0 7 0 0 0 0 x",
                            "100 0 0 7 0 0 0 0 1000 x",
                            "100 0 0 7 0 0 0 0 1000 -1 6",
                            "100 0 0 7 0 0 2 0 1000 5 6",
                            "100 0 0 7 0 0 0 0x",
                            "100 0 0 7 0 0 0 0 1000 5x",
                            "100 0 0 7 0 0 0 0 100001 5",
                            "100 0 0 7 0 0 0 0 1000 -1",
                            "100 0 0 7 0 0 0 0 1000 9223372036854775807",
                            WAITS " x",
                            WAITS " 1",
                            WAITS " 1:",
                            WAITS " -1:5",
                            WAITS " 256:5",
                            WAITS " 1:5x",
                            WAITS " 1:5 1:6",
                            WAITS " 2:5 1:6",
                            WAITS " 1:3600001" })
    {
      relay_cluster cluster (1);
      raw_upstream peer;
      struct eel_relay *relay = &cluster.nodes[0]->relay;
      struct eel_instance instance = entry_of_peer (relay);
      auto caller = cluster.connect ();

      peer.open (cluster.base, "127.0.0.2",
                 ntohs (relay->config.peers.sin_port));
      peer.answer = [load] (raw_upstream &, raw_conn &conn,
                            const std::string &request) {
        raw_upstream::write (
            conn, answer_text (request, "right", "200 OK",
                               std::string ("Eel-Load: ") + load + "\r\n"));
      };
      cluster.set_routes ();
      eel_directory_put (&relay->directory, &instance, eel_clock_us ());
      raw_upstream::write (*caller, request_text ("GET", "/safe/a", "r1"));
      ASSERT_TRUE (cluster.run_until ([&] { return !peer.conns.empty (); }));
      raw_upstream::write (*peer.conns[0], "HTTP/1.1 100 Continue\r\n\r\n");
      EXPECT_TRUE (cluster.run_until ([&] {
        return caller->in.find ("right") != std::string::npos;
      })) << load;
      EXPECT_EQ (eel_directory_find (&relay->directory, "up-2")->reported_us, 0)
          << load;
      EXPECT_EQ (relay->peer_items.revision, 0u) << load;
      bufferevent_free (caller->bev);
    }
}

// A peer reports the speed of its endpoint and the time of the request's route;
// by an earlier version, neither, and by a later one, more.
TEST (RelayAnswers, LoadOfAPeerIsRecorded)
{
  const struct
  {
    const char *load;
    uint32_t speed_milli;
    int64_t run_us;
  } cases[] = { { "100 0 0 7 20 30 0 0 400 90000", 400, 90000 },
                { "100 0 0 7 20 30 0 0 400 90000 6 x", 400, 90000 },
                { "100 0 0 7 20 30 0 0", 0, 0 } };

  for (const auto &each : cases)
    {
      relay_cluster cluster (1);
      raw_upstream peer;
      struct eel_relay *relay = &cluster.nodes[0]->relay;
      struct eel_instance instance = entry_of_peer (relay);
      auto caller = cluster.connect ();
      const struct eel_instance *seen;

      peer.open (cluster.base, "127.0.0.2",
                 ntohs (relay->config.peers.sin_port));
      peer.answer = [&each] (raw_upstream &, raw_conn &conn,
                             const std::string &request) {
        raw_upstream::write (conn, answer_text (request, "right", "200 OK",
                                                std::string ("Eel-Load: ")
                                                    + each.load + "\r\n"));
      };
      cluster.set_routes ();
      eel_directory_put (&relay->directory, &instance, eel_clock_us ());
      raw_upstream::write (*caller, request_text ("GET", "/safe/a", "r1"));
      ASSERT_TRUE (cluster.run_until ([&] { return !peer.conns.empty (); }));
      raw_upstream::write (*peer.conns[0], "HTTP/1.1 100 Continue\r\n\r\n");
      ASSERT_TRUE (cluster.run_until ([&] {
        return caller->in.find ("right") != std::string::npos;
      })) << each.load;
      seen = eel_directory_find (&relay->directory, "up-2");
      EXPECT_EQ (seen->report.use_milli, 100u) << each.load;
      EXPECT_EQ (seen->report.hold_us, 30) << each.load;
      EXPECT_EQ (seen->report.speed_milli, each.speed_milli) << each.load;
      EXPECT_EQ (seen->runs[0].run_us, each.run_us) << each.load;
      bufferevent_free (caller->bev);
    }
}

// A peer reports what requests of each rank wait, on a further line; what later
// versions may add there is ignored.  Callers get neither line.
TEST (RelayAnswers, WaitsOfRanksOfAPeerAreRecorded)
{
  const struct
  {
    const char *load;
    int64_t wait_ms[3];
  } cases[]
      = { { "100 0 0 7 0 0 0 0 1000 5", { -1, -1, -1 } },
          { "100 0 0 7 0 0 0 0 1000 5\r\nEel-Load: later 7", { -1, -1, -1 } },
          { WAITS " 0:3 2:400", { 3, 400, 400 } },
          { "100 0 0 7 0 0 0 0 1000 5 9\r\nEel-Load: later 7\r\n"
            "Eel-Load: rank_waits_ms 0:3 1:70 4:400 5:500 6:600",
            { 3, 70, 400 } } };

  for (const auto &each : cases)
    {
      relay_cluster cluster (1);
      raw_upstream peer;
      struct eel_relay *relay = &cluster.nodes[0]->relay;
      struct eel_instance instance = entry_of_peer (relay);
      auto caller = cluster.connect ();

      peer.open (cluster.base, "127.0.0.2",
                 ntohs (relay->config.peers.sin_port));
      peer.answer = [&each] (raw_upstream &, raw_conn &conn,
                             const std::string &request) {
        raw_upstream::write (conn, answer_text (request, "right", "200 OK",
                                                std::string ("Eel-Load: ")
                                                    + each.load + "\r\n"));
      };
      cluster.set_routes ();
      eel_directory_put (&relay->directory, &instance, eel_clock_us ());
      raw_upstream::write (*caller, request_text ("GET", "/safe/a", "r1"));
      ASSERT_TRUE (cluster.run_until ([&] { return !peer.conns.empty (); }));
      raw_upstream::write (*peer.conns[0], "HTTP/1.1 100 Continue\r\n\r\n");
      ASSERT_TRUE (cluster.run_until ([&] {
        return caller->in.find ("right") != std::string::npos;
      })) << each.load;
      EXPECT_EQ (caller->in.find ("Eel-Load"), std::string::npos);
      for (uint8_t rank = 0; rank < 3; rank++)
        EXPECT_EQ (
            eel_place_rank_wait_us (
                &eel_directory_find (&relay->directory, "up-2")->report, rank),
            each.wait_ms[rank] < 0 ? -1 : each.wait_ms[rank] * EEL_US_PER_MS)
            << each.load << (int)rank;
      bufferevent_free (caller->bev);
    }
}

// The same between nodes: a peer sends an answer of another request before the
// one that is waited for.
TEST (RelayAnswers, AnswerOfAnotherRequestFromAPeerIsDiscarded)
{
  relay_cluster cluster (1);
  raw_upstream peer;
  struct eel_relay *relay = &cluster.nodes[0]->relay;
  struct eel_instance instance = entry_of_peer (relay);
  auto caller = cluster.connect ();

  peer.open (cluster.base, "127.0.0.2", ntohs (relay->config.peers.sin_port));
  peer.answer = [] (raw_upstream &, raw_conn &conn,
                    const std::string &request) {
    raw_upstream::write (conn, answer_text ("\r\nReq-Id: other\r\n", "wrong")
                                   + answer_text (request, "right"));
  };
  cluster.set_routes ();
  eel_directory_put (&relay->directory, &instance, eel_clock_us ());
  raw_upstream::write (*caller, request_text ("GET", "/safe/a", "r1"));
  ASSERT_TRUE (cluster.run_until ([&] { return !peer.conns.empty (); }));
  raw_upstream::write (*peer.conns[0], "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_TRUE (cluster.run_until (
      [&] { return caller->in.find ("right") != std::string::npos; }, 3000))
      << caller->in;
  EXPECT_EQ (caller->in.find ("wrong"), std::string::npos);
  bufferevent_free (caller->bev);
}
