#include <gtest/gtest.h>

#include "tests/unit/http_loop.h"
#include "tests/unit/scripted_upstream.h"

namespace
{

struct upstream_test : testing::Test
{
  http_loop loop;
  scripted_upstream server{ loop.base };
  struct eel_upstream *upstream = nullptr;
  std::vector<enum eel_run_result> results;
  std::vector<std::string> bodies;
  std::vector<uint64_t> states;
  std::string answer_headers;

  ~upstream_test () override
  {
    eel_upstream_free (upstream);
  }

  void
  start ()
  {
    loop.settings.upstream.port = server.port;
    loop.settings.upstream_slots = 3;
    loop.settings.upstream_connections = 10;
    snprintf (loop.settings.upstream_health_path,
              sizeof loop.settings.upstream_health_path, "/health");
    loop.handler = [this] (struct eel_msg *msg) { on_message (msg); };
    upstream = eel_upstream_new (loop.base, &loop.settings, &loop.metrics);
    eel_upstream_connect (upstream, &loop.node);
  }

  void
  on_message (struct eel_msg *msg)
  {
    if (msg->kind == EEL_MSG_UPSTREAM_STATE)
      states.push_back (msg->value);
    if (msg->kind != EEL_MSG_RUN_DONE)
      return;
    results.push_back (msg->result);
    bodies.emplace_back (
        reinterpret_cast<const char *> (msg->answer->body.data),
        msg->answer->body.bytes);
    answer_headers.clear ();
    for (uint32_t i = 0; i < msg->answer->headers.count; i++)
      answer_headers += std::string (msg->answer->headers.items[i].name) + ";";
  }

  void
  post_run (uint64_t id, int64_t timeout_us, const char *method = "GET")
  {
    struct eel_msg msg = {};

    msg.kind = EEL_MSG_RUN;
    msg.call_id = id;
    msg.call = eel_call_new ();
    snprintf (msg.call->method, sizeof msg.call->method, "%s", method);
    snprintf (msg.call->target, sizeof msg.call->target, "/work?a=b");
    msg.call->deadline_us = eel_clock_us () + timeout_us;
    eel_headers_add (&msg.call->headers, "Host", "orders.local");
    eel_mailbox_post (eel_upstream_inbox (upstream), &msg);
  }

  // Runs one call until its result is reported.
  enum eel_run_result
  run (const char *method = "GET")
  {
    size_t before = results.size ();

    post_run (before + 1, 5 * EEL_US_PER_S, method);
    EXPECT_TRUE (loop.run_until ([&] { return results.size () > before; }));
    return results.back ();
  }
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string rest = "\r\nContent-Length: 3\r\n\r\nabc";

struct answer_case
{
  const char *name;
  std::string reply;
  enum after_reply after;
  enum eel_run_result result;
  const char *body;
};

const answer_case answers[] = {
  { "complete", ok + "Content-Length: 3\r\n\r\nabc", KEEP, EEL_RUN_ANSWERED,
    "abc" },
  { "complete, then closed", ok + "Content-Length: 3\r\n\r\nabc", CLOSE,
    EEL_RUN_ANSWERED, "abc" },
  { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    KEEP, EEL_RUN_ANSWERED, "abc" },
  { "no body", "HTTP/1.1 204 No\r\n\r\n", KEEP, EEL_RUN_ANSWERED, "" },
  { "error of the service", "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
    KEEP, EEL_RUN_ANSWERED, "no" },
  { "not run", "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno",
    KEEP, EEL_RUN_REFUSED, "no" },
  { "too many", "HTTP/1.1 429 No\r\nContent-Length: 2\r\n\r\nno", KEEP,
    EEL_RUN_REFUSED, "no" },
  { "503 that may have run", "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno",
    KEEP, EEL_RUN_ANSWERED, "no" },
  { "not-run of another value",
    "HTTP/1.1 503 No\r\nX-Not-Run: 0\r\nContent-Length: 2\r\n\r\nno", KEEP,
    EEL_RUN_ANSWERED, "no" },
  { "closed without answer", "", CLOSE, EEL_RUN_BROKEN, nullptr },
  { "reset without answer", "", RESET, EEL_RUN_BROKEN, nullptr },
  { "truncated in the status line", "HTTP/1.", CLOSE, EEL_RUN_BROKEN, nullptr },
  { "truncated in the headers", ok + "Content-Le", CLOSE, EEL_RUN_BROKEN,
    nullptr },
  { "truncated in the body", ok + "Content-Length: 9\r\n\r\nabc", CLOSE,
    EEL_RUN_BROKEN, nullptr },
  { "truncated in the chunks",
    ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", CLOSE,
    EEL_RUN_BROKEN, nullptr },
  { "no length", ok + "\r\nabc", CLOSE, EEL_RUN_BROKEN, nullptr },
  { "no length, announced close", ok + "Connection: close\r\n\r\nabc", CLOSE,
    EEL_RUN_BROKEN, nullptr },
  { "two lengths", ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    KEEP, EEL_RUN_BROKEN, nullptr },
  { "length and chunks",
    ok
        + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n0\r\n\r\n",
    KEEP, EEL_RUN_BROKEN, nullptr },
  { "not HTTP", "hello\r\n\r\n", CLOSE, EEL_RUN_BROKEN, nullptr },
  { "status 000", "HTTP/1.1 000 No" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "status below 100", "HTTP/1.1 099 No" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "status above 599", "HTTP/1.1 600 No" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "status of two digits", "HTTP/1.1 20 No" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "status of four digits", "HTTP/1.1 0200 No" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "status of a great number", "HTTP/1.1 4294967496 No" + rest, KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "status with a sign", "HTTP/1.1 +200 No" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "status with letters", "HTTP/1.1 200OK" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "two blanks before the status", "HTTP/1.1  200 OK" + rest, KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "no status", "HTTP/1.1" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "version 2", "HTTP/2.0 200 OK" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "version 0.9", "HTTP/0.9 200 OK" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "status 000 behind an interim answer",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 No" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "status of four digits behind an interim answer",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 No" + rest, KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "name with a blank", ok + "X Y: 1" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "name with a blank behind it", ok + "X : 1" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "name with a blank before it", ok + " X: 1" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "name with a tab", ok + "X\t: 1" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "name with a control byte", ok + "X\1: 1" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "name with a NUL", ok + std::string ("X\0: 1", 5) + rest, KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "name of 8 bits", ok + "X\200: 1" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "no name", ok + ": 1" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "no colon", ok + "X" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "value with a control byte", ok + "X: a\1" + rest, KEEP, EEL_RUN_BROKEN,
    nullptr },
  { "value with a NUL", ok + std::string ("X: a\0b", 6) + rest, KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "value with a CR", ok + "X: a\rb" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "length with a blank behind its name", ok + "Content-Length : 3\r\n\r\nabc",
    KEEP, EEL_RUN_BROKEN, nullptr },
  { "coding with a blank behind its name",
    ok + "Transfer-Encoding : chunked" + rest, KEEP, EEL_RUN_BROKEN, nullptr },
  { "coding with a blank behind its name, no body",
    "HTTP/1.1 204 No\r\nTransfer-Encoding : chunked\r\n\r\n", KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "another coding", ok + "Transfer-Encoding: gzip\r\n\r\nabc", CLOSE,
    EEL_RUN_BROKEN, nullptr },
  { "another coding in chunks",
    ok + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", CLOSE,
    EEL_RUN_BROKEN, nullptr },
  { "chunk longer than its size",
    ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd0\r\n\r\n", CLOSE,
    EEL_RUN_BROKEN, nullptr },
  { "chunk with a sign",
    ok + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n", CLOSE,
    EEL_RUN_BROKEN, nullptr },
  { "chunk of a negative size",
    ok + "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n", CLOSE,
    EEL_RUN_BROKEN, nullptr },
  { "length with a sign", ok + "Content-Length: +3\r\n\r\nabc", KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "length below 0", ok + "Content-Length: -3\r\n\r\nabc", KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "body over the limit",
    ok + "Content-Length: 1048577\r\n\r\n" + std::string (1048577, 'a'), KEEP,
    EEL_RUN_BROKEN, nullptr },
  { "headers over the limit",
    ok + "X: " + std::string (20000, 'a') + "\r\nContent-Length: 0\r\n\r\n",
    KEEP, EEL_RUN_BROKEN, nullptr },
};

// Guards against "not sent" or "refused" for a request that may have run,
// against a truncated answer that passes as complete, and against a second
// send.
TEST_F (upstream_test, result_reports_only_what_is_certain)
{
  start ();
  for (const answer_case &entry : answers)
    {
      size_t before = server.requests.size ();

      SCOPED_TRACE (entry.name);
      server.reply = entry.reply;
      server.after = entry.after;
      EXPECT_EQ (run (), entry.result);
      if (entry.body != nullptr)
        {
          EXPECT_EQ (bodies.back (), entry.body);
        }
      EXPECT_EQ (server.requests.size (), before + 1);
    }
}

// Guards against an answer's surplus bytes that become the next call's answer.
TEST_F (upstream_test, surplus_bytes_reach_no_other_call)
{
  const std::string complete = ok + "Content-Length: 3\r\n\r\nabc";

  start ();
  server.reply = complete + ok + "Content-Length: 4\r\n\r\nevil";
  EXPECT_EQ (run (), EEL_RUN_ANSWERED);
  EXPECT_EQ (bodies.back (), "abc");
  server.reply = complete;
  EXPECT_EQ (run (), EEL_RUN_ANSWERED);
  EXPECT_EQ (bodies.back (), "abc");
}

// Guards against a request with another deadline, parent id or target than the
// call, and against Eel headers forged by the upstream.
TEST_F (upstream_test, request_and_answer_headers)
{
  start ();
  server.reply = ok
                 + "Content-Length: 0\r\nEel-Outcome: not-run\r\nX-A: 1\r\n"
                   "Connection: X-B\r\nX-B: 2\r\n\r\n";
  EXPECT_EQ (run (), EEL_RUN_ANSWERED);
  EXPECT_EQ (answer_headers, "X-A;");
  EXPECT_EQ (server.requests[0].compare (0, 24, "GET /work?a=b HTTP/1.1\r\n"),
             0);
  EXPECT_NE (server.requests[0].find ("Eel-Parent: 1\r\n"), std::string::npos);
  EXPECT_NE (server.requests[0].find ("Host: orders.local\r\n"),
             std::string::npos);
  size_t at = server.requests[0].find ("Eel-Deadline: ");
  ASSERT_NE (at, std::string::npos);
  int64_t left_ms
      = std::stoll (server.requests[0].substr (at + 14)) - eel_wall_ms ();
  EXPECT_LE (left_ms, 5000);
}

// Guards against more requests or connections than the upstream's slots.
TEST_F (upstream_test, slots_are_never_exceeded)
{
  start ();
  server.after = SILENT;
  for (uint64_t id = 1; id <= 5; id++)
    post_run (id, 5 * EEL_US_PER_S);
  ASSERT_TRUE (loop.run_until ([&] { return server.requests.size () == 3; }));
  EXPECT_EQ (results, (std::vector<enum eel_run_result>{ EEL_RUN_NOT_SENT,
                                                         EEL_RUN_NOT_SENT }));
  // The fourth connection is that of the health check.
  EXPECT_LE (server.accepted, 4u);
}

// Guards against a cancelled or expired call that the upstream continues to
// run.
TEST_F (upstream_test, cancel_and_deadline_close_the_connection)
{
  struct eel_msg cancel = {};

  start ();
  server.after = SILENT;
  post_run (7, 5 * EEL_US_PER_S);
  ASSERT_TRUE (loop.run_until ([&] { return server.requests.size () == 1; }));
  size_t open = server.open.size ();
  cancel.kind = EEL_MSG_RUN_CANCEL;
  cancel.call_id = 7;
  eel_mailbox_post (eel_upstream_inbox (upstream), &cancel);
  ASSERT_TRUE (loop.run_until (
      [&] { return results.size () == 1 && server.open.size () < open; }));
  EXPECT_EQ (results[0], EEL_RUN_CANCELLED);
  post_run (8, 100 * EEL_US_PER_MS);
  ASSERT_TRUE (loop.run_until (
      [&] { return results.size () == 2 && server.open.size () < open; }));
  EXPECT_EQ (results[1], EEL_RUN_TIMED_OUT);
}

// Guards against a call that is sent after its deadline, when the process was
// paused before the run or during the connect.
TEST_F (upstream_test, expired_call_is_not_sent)
{
  start ();
  server.reply = ok + "Content-Length: 0\r\n\r\n";
  post_run (1, 0);
  ASSERT_TRUE (loop.run_until ([&] { return results.size () == 1; }));
  EXPECT_EQ (results[0], EEL_RUN_NOT_SENT);
  post_run (2, 20 * EEL_US_PER_MS);
  event_base_loop (loop.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  usleep (40000);
  ASSERT_TRUE (loop.run_until ([&] { return results.size () == 2; }));
  EXPECT_EQ (results[1], EEL_RUN_NOT_SENT);
  // Only the connection of the health check remains.
  ASSERT_TRUE (loop.run_until (
      [&] { return server.accepted >= 2 && server.open.size () <= 1; }));
  EXPECT_EQ (server.requests.size (), 0u);
  EXPECT_EQ (run (), EEL_RUN_ANSWERED);
}

// Guards against a request that is lost on an idle connection that the upstream
// has closed, and against evhttp sending it twice.
TEST_F (upstream_test, closed_idle_connection_is_not_used)
{
  start ();
  server.reply = ok + "Content-Length: 0\r\n\r\n";
  for (int i = 0; i < 20; i++)
    {
      EXPECT_EQ (run (), EEL_RUN_ANSWERED);
      while (!server.open.empty ())
        server.close_connection (server.open.back (), i % 2 == 0);
    }
  EXPECT_EQ (server.requests.size (), 20u);
}

// Guards against a health response that changes the state although it is
// neither a 200 nor an announced drain.
TEST_F (upstream_test, health_states)
{
  server.health = "HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\ndraining\n";
  start ();
  ASSERT_TRUE (loop.run_until ([&] { return states.size () == 1; }));
  server.health = "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nfail";
  server.reply = ok + "Content-Length: 0\r\n\r\n";
  EXPECT_EQ (run (), EEL_RUN_ANSWERED);
  EXPECT_EQ (states.size (), 1u);
  server.health = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  ASSERT_TRUE (loop.run_until ([&] { return states.size () == 2; }));
  EXPECT_EQ (states,
             (std::vector<uint64_t>{ EEL_UPSTREAM_DRAINING, EEL_UPSTREAM_UP }));
}

// Guards against a refused connect that is reported as a request that may have
// run.
TEST_F (upstream_test, refused_connect)
{
  http_loop other_loop;

  {
    scripted_upstream closed (other_loop.base);

    server.port = closed.port;
  }
  start ();
  EXPECT_EQ (run (), EEL_RUN_NOT_SENT);
  EXPECT_EQ (states, (std::vector<uint64_t>{ EEL_UPSTREAM_DOWN }));
}

} // namespace
