#include <gtest/gtest.h>
#include <memory>

#include "tests/unit/http_loop.h"

namespace
{

const std::string host = "Host: orders.local\r\n";

struct front_test : testing::Test
{
  http_loop loop;
  struct eel_front *front;
  std::vector<uint64_t> held;

  front_test ()
  {
    front = eel_front_new (loop.base, &loop.settings, &loop.metrics);
    eel_front_connect (front, &loop.node);
    loop.handler = [this] (struct eel_msg *msg) { serve (msg); };
  }

  ~front_test () override
  {
    eel_front_free (front);
  }

  // Answers a call with what arrived of it, unless its path says to wait.
  void
  serve (struct eel_msg *msg)
  {
    if (msg->kind == EEL_MSG_CALL
        && strncmp (msg->call->target, "/hold", 5) == 0)
      held.push_back (msg->call_id);
    else if (msg->kind == EEL_MSG_CALL)
      answer (msg->call_id, std::string (msg->call->method) + " "
                                + msg->call->service + " " + msg->call->target
                                + " " + std::to_string (msg->call->body.bytes));
    else if (msg->kind == EEL_MSG_KEYS)
      answer (msg->call_id, std::to_string (msg->value) + " keys");
  }

  void
  answer (uint64_t call_id, const std::string &text)
  {
    struct eel_msg msg = {};

    msg.kind = EEL_MSG_ANSWER;
    msg.call_id = call_id;
    msg.answer = eel_answer_new (call_id);
    msg.answer->status = 200;
    eel_body_set (&msg.answer->body, text.data (), text.size ());
    eel_mailbox_post (eel_front_inbox (front), &msg);
  }

  std::string
  exchange (const std::string &request)
  {
    http_client client (eel_front_port (front));

    client.send_all (&loop, request);
    return client.read_to_end (&loop);
  }

  void
  drain ()
  {
    struct eel_msg msg = {};

    msg.kind = EEL_MSG_DRAIN;
    eel_mailbox_post (eel_front_inbox (front), &msg);
  }
};

std::string
answered (const std::string &body, const char *connection)
{
  return "HTTP/1.1 200 OK\r\nEel-Outcome: ran\r\nEel-Retry: none\r\n"
         "Eel-Preset: 0\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\nConnection: " + connection
         + "\r\n\r\n" + body;
}

std::string
refused (const std::string &status,
         const std::string &kind,
         const std::string &text,
         const char *connection)
{
  std::string body = kind + ": " + text + "\n";

  return "HTTP/1.1 " + status
         + "\r\nContent-Type: text/plain\r\nEel-Outcome: refused\r\n"
           "Eel-Retry: none\r\nEel-Error: "
         + kind + "\r\nEel-Preset: 0\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\nConnection: " + connection
         + "\r\n\r\n" + body;
}

struct refused_case
{
  const char *name;
  std::string request;
  const char *status;
  const char *kind;
  const char *text;
};

std::string
post (const std::string &headers, const std::string &body)
{
  return "POST /c HTTP/1.1\r\n" + host + headers + "\r\n" + body;
}

std::string
get (const std::string &headers)
{
  return "GET /c HTTP/1.1\r\n" + host + headers + "\r\n";
}

const char both_lengths[]
    = "Content-Length and Transfer-Encoding exclude each other";
const char twice_length[] = "Content-Length is given more than once";
const char bad_length[] = "Content-Length must be a decimal number";
const char bad_coding[] = "Transfer-Encoding must be chunked, once";
const char bad_line[] = "the request line must be METHOD target HTTP/1.1";
const char bad_header[] = "header line 2 must be a name, a colon and a value";
const char bad_method[]
    = "the method must be GET, HEAD, POST, PUT, DELETE, OPTIONS or PATCH";
const char bad_target[] = "the target must be a path of printable ASCII";
const char bad_value[] = "X has a control character in its value";

const std::string headers_65 = [] {
  std::string all;

  for (int i = 0; i < 64; i++)
    all += "X-" + std::to_string (i) + ": v\r\n";
  return all;
}();

const refused_case malformed[] = {
  { "both lengths",
    post ("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request", both_lengths },
  { "two lengths", post ("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
    "400 Bad Request", "bad_request", twice_length },
  { "same length twice",
    post ("Content-Length: 3\r\ncontent-length: 3\r\n", "abc"),
    "400 Bad Request", "bad_request", twice_length },
  { "length with letters", post ("Content-Length: 3x\r\n", "abc"),
    "400 Bad Request", "bad_request", bad_length },
  { "signed length", post ("Content-Length: +3\r\n", "abc"), "400 Bad Request",
    "bad_request", bad_length },
  { "length list", post ("Content-Length: 3, 3\r\n", "abc"), "400 Bad Request",
    "bad_request", bad_length },
  { "length over 64 bits",
    post ("Content-Length: 18446744073709551619\r\n", "abc"), "400 Bad Request",
    "bad_request", bad_length },
  { "space after length name", post ("Content-Length : 3\r\n", "abc"),
    "400 Bad Request", "bad_request", bad_header },
  { "tab before coding", post ("Transfer-Encoding:\tchunked\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request",
    "Transfer-Encoding has extra white space" },
  { "two codings", post ("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request", bad_coding },
  { "unknown coding", post ("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request", bad_coding },
  { "coding in capitals", post ("Transfer-Encoding: Chunked\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request", bad_coding },
  { "bad chunk size", post ("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"),
    "400 Bad Request", "bad_request", "a chunk of the body is malformed" },
  { "continuation line", get ("X: a\r\n b\r\n"), "400 Bad Request",
    "bad_request", "header line 3 must be a name, a colon and a value" },
  { "line without colon", get ("Xabc\r\n"), "400 Bad Request", "bad_request",
    bad_header },
  { "zero byte", get (std::string ("X: a\0b\r\n", 8)), "400 Bad Request",
    "bad_request", bad_value },
  { "bare CR", get ("X: a\rEel-Class: critical\r\n"), "400 Bad Request",
    "bad_request", bad_value },
  { "bare LF", "GET /c HTTP/1.1\nHost: orders\n\n", "400 Bad Request",
    "bad_request", "lines of the head must end with CR LF" },
  { "two hosts", get (host), "400 Bad Request", "bad_request",
    "Host is given more than once" },
  { "unknown method", "FETCH /c HTTP/1.1\r\n" + host + "\r\n",
    "400 Bad Request", "bad_request", bad_method },
  { "method in lower case", "get /c HTTP/1.1\r\n" + host + "\r\n",
    "400 Bad Request", "bad_request", bad_method },
  { "tunnel", "CONNECT /c HTTP/1.1\r\n" + host + "\r\n", "400 Bad Request",
    "bad_request", bad_method },
  { "other version", "GET /c HTTP/2.0\r\n" + host + "\r\n", "400 Bad Request",
    "bad_request", bad_line },
  { "not HTTP", "\x16\x03\x01 zzzz zzzzzzz\r\n\r\n", "400 Bad Request",
    "bad_request", bad_line },
  { "two spaces", "GET  /c HTTP/1.1\r\n" + host + "\r\n", "400 Bad Request",
    "bad_request", bad_target },
  { "space in target", "GET /c d HTTP/1.1\r\n" + host + "\r\n",
    "400 Bad Request", "bad_request", bad_target },
  { "absolute target", "GET http://a/c HTTP/1.1\r\n" + host + "\r\n",
    "400 Bad Request", "bad_request", bad_target },
  { "long target", "GET /" + std::string (2047, 'a') + " HTTP/1.1\r\n\r\n",
    "431 Request Header Fields Too Large", "header_too_large",
    "the target must be at most 2047 bytes" },
  { "65 headers", get (headers_65), "431 Request Header Fields Too Large",
    "header_too_large",
    "at most 64 headers of 16384 bytes in all are taken; X-63 is over that" },
  { "long header line", get ("X: " + std::string (8000, 'a') + "\r\n"),
    "431 Request Header Fields Too Large", "header_too_large",
    "header line 2 must be under 8000 bytes" },
  { "head without end", "GET /c HTTP/1.1\r\nX: " + std::string (20000, 'a'),
    "431 Request Header Fields Too Large", "header_too_large",
    "the request line and headers must be at most 18944 bytes" },
  { "length over the limit",
    post ("Content-Length: 1048577\r\n", std::string (1048577, 'a')),
    "413 Content Too Large", "body_too_large",
    "Content-Length must be at most 1048576" },
  { "chunks over the limit",
    post ("Transfer-Encoding: chunked\r\n",
          "100001\r\n" + std::string (0x100001, 'a') + "\r\n0\r\n\r\n"),
    "413 Content Too Large", "body_too_large",
    "the body must be at most 1048576 bytes" },
};

// Guards against a request whose body length two readers see differently, and
// against any malformed request that reaches the node or closes silently.
TEST_F (front_test, malformed_requests_are_refused_and_closed)
{
  for (const refused_case &entry : malformed)
    {
      SCOPED_TRACE (entry.name);
      EXPECT_EQ (exchange (entry.request),
                 refused (entry.status, entry.kind, entry.text, "close"));
    }
  EXPECT_EQ (loop.kinds.size (), 0u);
}

// Guards against an invalid Eel header that costs the caller its connection,
// or whose body is taken for the next request.
TEST_F (front_test, invalid_header_keeps_the_connection)
{
  EXPECT_EQ (
      exchange (post ("Eel-Class: urgent\r\nContent-Length: 3\r\n", "abc")
                + get ("Connection: close\r\n")),
      refused ("400 Bad Request", "header_invalid",
               "Eel-Class must be critical, lookup or background", "keep-alive")
          + answered ("GET orders /c 0", "close"));
}

// Guards against answers that are swapped or lost among pipelined requests.
TEST_F (front_test, pipelined_requests_are_answered_in_order)
{
  http_client client (eel_front_port (front));

  client.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host + "\r\n"
                              + post ("Transfer-Encoding: chunked\r\n",
                                      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
                              + get ("Connection: close\r\n"));
  ASSERT_TRUE (loop.run_until ([&] { return held.size () == 1; }));
  EXPECT_EQ (loop.kinds.size (), 1u);
  answer (held[0], "first");
  EXPECT_EQ (client.read_to_end (&loop),
             answered ("first", "keep-alive")
                 + answered ("POST orders /c 3", "keep-alive")
                 + answered ("GET orders /c 0", "close"));
}

// Guards against a request that arrives in pieces and is cut or misread.
TEST_F (front_test, request_in_single_bytes)
{
  http_client client (eel_front_port (front));

  for (char c : post ("Content-Length: 3\r\nConnection: close\r\n", "abc"))
    {
      client.send_all (&loop, std::string (1, c));
      event_base_loop (loop.base, EVLOOP_NONBLOCK);
    }
  EXPECT_EQ (client.read_to_end (&loop),
             answered ("POST orders /c 3", "close"));
}

// Guards against a body of exactly the limit being refused or cut.
TEST_F (front_test, largest_body)
{
  EXPECT_EQ (exchange (post ("Content-Length: 1048576\r\nConnection: close\r\n",
                             std::string (1048576, 'a'))),
             answered ("POST orders /c 1048576", "close"));
}

// Guards against a caller's disconnect that leaves its call running, and an
// answer that then reaches another connection.
TEST_F (front_test, disconnect_cancels_the_call)
{
  {
    http_client client (eel_front_port (front));

    client.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host + "\r\n");
    ASSERT_TRUE (loop.run_until ([&] { return held.size () == 1; }));
  }
  ASSERT_TRUE (
      loop.run_until ([&] { return loop.count (EEL_MSG_CANCEL) == 1; }));
  http_client other (eel_front_port (front));

  other.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE (loop.run_until ([&] { return held.size () == 2; }));
  EXPECT_NE (held[0], held[1]);
  answer (held[0], "for the first");
  answer (held[1], "for the second");
  ASSERT_TRUE (other.wait_for (&loop, "second"));
  EXPECT_EQ (other.in, answered ("for the second", "keep-alive"));
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
  ASSERT_TRUE (loop.run_until ([&] { return held.size () == 16; }));
  EXPECT_NE (exchange (get ("Connection: close\r\n"))
                 .find ("overloaded: 16 requests are open at this node"),
             std::string::npos);
  answer (held[0], "done");
  ASSERT_TRUE (clients[0]->wait_for (&loop, "done"));
  EXPECT_EQ (exchange (get ("Connection: close\r\n")),
             answered ("GET orders /c 0", "close"));
}

// Guards against a planned stop that interrupts a request, takes new
// connections, or never ends because of idle ones.
TEST_F (front_test, drain_finishes_open_requests)
{
  http_client idle (eel_front_port (front));
  http_client busy (eel_front_port (front));

  busy.send_all (&loop, "GET /hold HTTP/1.1\r\n" + host + "\r\n");
  ASSERT_TRUE (loop.run_until ([&] { return held.size () == 1; }));
  drain ();
  EXPECT_EQ (idle.read_to_end (&loop), "");
  EXPECT_TRUE (http_client (eel_front_port (front)).closed);
  EXPECT_EQ (loop.count (EEL_MSG_DRAINED), 0u);
  answer (held[0], "whole");
  EXPECT_EQ (busy.read_to_end (&loop), answered ("whole", "close"));
  EXPECT_TRUE (
      loop.run_until ([&] { return loop.count (EEL_MSG_DRAINED) == 1; }));
  EXPECT_EQ (loop.count (EEL_MSG_CANCEL), 0u);
}

// Guards against key requests outside their bounds.
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
