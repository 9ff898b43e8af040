#include "tests/unit/front_fixture.h"

#include <sys/resource.h>

namespace
{

// Guards against answers that are swapped or lost among pipelined requests.
TEST_F (front_test, pipelined_requests_are_answered_in_order)
{
  http_client client (eel_front_port (front));

  client.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host + "\r\n"
                              + post ("Transfer-Encoding: chunked\r\n",
                                      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
                              + get ("Connection: close\r\n"));
  ASSERT_TRUE (loop.run_until ([&] { return pending_call_ids.size () == 1; }));
  EXPECT_EQ (loop.kinds.size (), 1u);
  answer (pending_call_ids[0], "first");
  EXPECT_EQ (client.read_to_end (&loop),
             expected_answer ("first", "keep-alive")
                 + expected_answer ("POST orders /c 3", "keep-alive")
                 + expected_answer ("GET orders /c 0", "close"));
}

// Guards against a request that arrives in pieces and is truncated or
// misparsed.
TEST_F (front_test, request_in_single_bytes)
{
  http_client client (eel_front_port (front));

  for (char c : post ("Content-Length: 3\r\nConnection: close\r\n", "abc"))
    {
      client.send_all (&loop, std::string (1, c));
      event_base_loop (loop.base, EVLOOP_NONBLOCK);
    }
  EXPECT_EQ (client.read_to_end (&loop),
             expected_answer ("POST orders /c 3", "close"));
}

// Guards against a body of exactly the limit being refused or truncated.
TEST_F (front_test, largest_body)
{
  EXPECT_EQ (exchange (post ("Content-Length: 1048576\r\nConnection: close\r\n",
                             std::string (1048576, 'a'))),
             expected_answer ("POST orders /c 1048576", "close"));
}

// Guards against a caller's disconnect that leaves its call running, and an
// answer that then reaches another connection.
TEST_F (front_test, disconnect_cancels_the_call)
{
  {
    http_client client (eel_front_port (front));

    client.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host + "\r\n");
    ASSERT_TRUE (
        loop.run_until ([&] { return pending_call_ids.size () == 1; }));
  }
  ASSERT_TRUE (
      loop.run_until ([&] { return loop.count (EEL_MSG_CANCEL) == 1; }));
  http_client other (eel_front_port (front));

  other.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE (loop.run_until ([&] { return pending_call_ids.size () == 2; }));
  EXPECT_NE (pending_call_ids[0], pending_call_ids[1]);
  answer (pending_call_ids[0], "for the first");
  answer (pending_call_ids[1], "for the second");
  ASSERT_TRUE (other.wait_for (&loop, "second"));
  EXPECT_EQ (other.received, expected_answer ("for the second", "keep-alive"));
}

// Guards against more open requests than the settings allow.
TEST_F (front_test, open_requests_are_bounded)
{
  std::vector<std::unique_ptr<http_client>> clients;

  for (int i = 0; i < 16; i++)
    {
      clients.emplace_back (new http_client (eel_front_port (front)));
      clients.back ()->send_all (&loop,
                                 "GET /hold HTTP/1.1\r\n" + host + "\r\n");
    }
  ASSERT_TRUE (loop.run_until ([&] { return pending_call_ids.size () == 16; }));
  EXPECT_NE (exchange (get ("Connection: close\r\n"))
                 .find ("overloaded: 16 requests are open at this node"),
             std::string::npos);
  answer (pending_call_ids[0], "done");
  ASSERT_TRUE (clients[0]->wait_for (&loop, "done"));
  EXPECT_EQ (exchange (get ("Connection: close\r\n")),
             expected_answer ("GET orders /c 0", "close"));
}

// Guards against a drain that interrupts a request, accepts new connections, or
// never completes because of idle ones.
TEST_F (front_test, drain_finishes_open_requests)
{
  http_client idle (eel_front_port (front));
  http_client busy (eel_front_port (front));

  busy.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE (loop.run_until ([&] { return pending_call_ids.size () == 1; }));
  drain ();
  EXPECT_EQ (idle.read_to_end (&loop), "");
  EXPECT_TRUE (http_client (eel_front_port (front)).closed);
  EXPECT_EQ (loop.count (EEL_MSG_DRAINED), 0u);
  answer (pending_call_ids[0], "whole");
  EXPECT_EQ (busy.read_to_end (&loop), expected_answer ("whole", "close"));
  EXPECT_TRUE (
      loop.run_until ([&] { return loop.count (EEL_MSG_DRAINED) == 1; }));
  EXPECT_EQ (loop.count (EEL_MSG_CANCEL), 0u);
}

// Guards against callers that hold connections by sending an incomplete request
// or nothing.
TEST_F (front_test, stale_connections_are_closed)
{
  http_client idle (eel_front_port (front));
  http_client slow (eel_front_port (front));

  slow.send_all (&loop, "GET /c HTTP/1.1\r\nHo");
  ASSERT_TRUE (loop.run_until ([&] { return front->conn_count == 2; }));
  event_base_loop (loop.base, EVLOOP_NONBLOCK);
  front_conn_sweep (front,
                    eel_clock_us () + FRONT_READ_TIMEOUT_US - EEL_US_PER_S);
  EXPECT_EQ (front->conn_count, 2u);
  front_conn_sweep (front,
                    eel_clock_us () + FRONT_READ_TIMEOUT_US + EEL_US_PER_S);
  EXPECT_EQ (front->conn_count, 1u);
  EXPECT_EQ (slow.read_to_end (&loop), "");
  front_conn_sweep (front,
                    eel_clock_us () + FRONT_IDLE_TIMEOUT_US + EEL_US_PER_S);
  EXPECT_EQ (idle.read_to_end (&loop), "");
}

// Guards against a request that hangs because its answer was lost, and against
// any outcome other than unknown in that case.
TEST_F (front_test, lost_answer_is_unknown)
{
  http_client client (eel_front_port (front));

  client.send_all (&loop, "GET /hold HTTP/1.1\r\nEel-Timeout-Ms: 1000\r\n"
                              + host + "\r\n");
  ASSERT_TRUE (loop.run_until ([&] { return pending_call_ids.size () == 1; }));
  front_conn_sweep (front, eel_clock_us () + 5 * EEL_US_PER_S);
  EXPECT_EQ (front->open_count, 1u);
  front_conn_sweep (front, eel_clock_us () + 7 * EEL_US_PER_S);
  ASSERT_TRUE (client.wait_for (&loop, "Eel-Outcome: unknown"));
  EXPECT_TRUE (
      loop.run_until ([&] { return loop.count (EEL_MSG_CANCEL) == 1; }));
}

// Guards against more connections than the limit, and against refusing them
// without a message.
TEST_F (front_test, connections_are_bounded)
{
  http_client first (eel_front_port (front));

  front->conn_max = 1;
  ASSERT_TRUE (loop.run_until ([&] { return front->conn_count == 1; }));
  EXPECT_NE (exchange (get ("")).find (
                 "overloaded: 1 connections are open at this node"),
             std::string::npos);
  first.send_all (&loop, get ("Connection: close\r\n"));
  EXPECT_EQ (first.read_to_end (&loop),
             expected_answer ("GET orders /c 0", "close"));
  EXPECT_EQ (exchange (get ("Connection: close\r\n")),
             expected_answer ("GET orders /c 0", "close"));
}

// Guards against a loop that spins, or no longer accepts connections, after it
// ran out of file descriptors.
TEST_F (front_test, accepting_resumes_after_descriptors_ran_out)
{
  struct rlimit files;
  struct rlimit none;

  ASSERT_EQ (getrlimit (RLIMIT_NOFILE, &files), 0);
  http_client client (eel_front_port (front));
  none = files;
  none.rlim_cur = 3;
  ASSERT_EQ (setrlimit (RLIMIT_NOFILE, &none), 0);
  bool failed = loop.run_until ([&] { return front->accept_paused != 0; });
  ASSERT_EQ (setrlimit (RLIMIT_NOFILE, &files), 0);
  ASSERT_TRUE (failed);
  client.send_all (&loop, get ("Connection: close\r\n"));
  EXPECT_EQ (client.read_to_end (&loop),
             expected_answer ("GET orders /c 0", "close"));
}

// Guards against response splitting by a header of an answer.
TEST_F (front_test, answer_headers_cannot_split_the_response)
{
  http_client client (eel_front_port (front));
  struct eel_msg msg = {};

  client.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host
                              + "Connection: close\r\n\r\n");
  ASSERT_TRUE (loop.run_until ([&] { return pending_call_ids.size () == 1; }));
  msg.kind = EEL_MSG_ANSWER;
  msg.call_id = pending_call_ids[0];
  msg.answer = eel_answer_new (pending_call_ids[0]);
  msg.answer->status = 200;
  eel_headers_add (&msg.answer->headers, "X-A", "1\r\nX-B: 2");
  eel_headers_add (&msg.answer->headers, "X C", "1");
  eel_headers_add (&msg.answer->headers, "Eel-Outcome", "not-run");
  eel_headers_add (&msg.answer->headers, "Content-Length", "99");
  eel_mailbox_post (eel_front_inbox (front), &msg);
  EXPECT_EQ (client.read_to_end (&loop), expected_answer ("", "close"));
}

// Guards against refusals with a preset revision other than the last one seen.
TEST_F (front_test, refusals_name_the_preset_of_the_last_answer)
{
  http_client client (eel_front_port (front));
  struct eel_msg msg = {};

  client.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host
                              + "\r\nGET /c HTTP/1.1\r\n" + host
                              + "Eel-Class: x\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE (loop.run_until ([&] { return pending_call_ids.size () == 1; }));
  msg.kind = EEL_MSG_ANSWER;
  msg.call_id = pending_call_ids[0];
  msg.answer = eel_answer_new (pending_call_ids[0]);
  msg.answer->status = 204;
  msg.answer->revision = 41;
  eel_mailbox_post (eel_front_inbox (front), &msg);
  std::string all = client.read_to_end (&loop);
  size_t second = all.find ("HTTP/1.1 400 ");

  ASSERT_NE (second, std::string::npos);
  EXPECT_NE (all.find ("Eel-Preset: 41\r\n", second), std::string::npos);
  EXPECT_NE (exchange ("x y z\r\n\r\n").find ("Eel-Preset: 41\r\n"),
             std::string::npos);
}

// Guards against key requests with a count out of range or another path or
// method.
TEST_F (front_test, keys)
{
  static const struct
  {
    const char *line;
    const char *expected;
  } cases[] = {
    { "POST /eel/v1/keys", "\r\n\r\n1 keys" },
    { "POST /eel/v1/keys?count=64", "\r\n\r\n64 keys" },
    { "POST /eel/v1/keys?count=65", "count must be a number from 1 to 64" },
    { "POST /eel/v1/keys?count=0", "count must be a number from 1 to 64" },
    { "POST /eel/v1/keys?count=1&x=1", "count must be a number from 1 to 64" },
    { "GET /eel/v1/keys", "HTTP/1.1 404 Not Found" },
    { "POST /eel/v1/keys2", "HTTP/1.1 404 Not Found" },
  };

  for (const auto &entry : cases)
    EXPECT_NE (exchange (std::string (entry.line) + " HTTP/1.1\r\n" + host
                         + "Connection: close\r\n\r\n")
                   .find (entry.expected),
               std::string::npos)
        << entry.line;
}

} // namespace
