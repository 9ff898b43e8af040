#include "tests/unit/front_fixture.h"

namespace
{

struct refusal_case
{
  const char *name;
  std::string request;
  const char *status;
  const char *kind;
  const char *text;
};

const char both_lengths[]
    = "Content-Length and Transfer-Encoding exclude each other";
const char repeated_length[] = "Content-Length is given more than once";
const char invalid_length[] = "Content-Length must be a decimal number";
const char invalid_coding[] = "Transfer-Encoding must be chunked, once";
const char invalid_request_line[]
    = "the request line must be METHOD target HTTP/1.1";
const char invalid_header_line[]
    = "header line 2 must be a name, a colon and a value";
const char invalid_method[]
    = "the method must be GET, HEAD, POST, PUT, DELETE, OPTIONS or PATCH";
const char invalid_target[] = "the target must be a path of printable ASCII";
const char invalid_value[] = "X has a control character in its value";

const std::string headers_65 = [] {
  std::string all;

  for (int i = 0; i < 64; i++)
    all += "X-" + std::to_string (i) + ": v\r\n";
  return all;
}();

const refusal_case malformed[] = {
  { "NUL in the target",
    std::string ("GET /a\0b HTTP/1.1\r\n", 20)
        + "Host: node\r\nEel-Service: orders\r\n\r\n",
    "400 Bad Request", "bad_request",
    "the target must be a path of printable ASCII" },
  { "both lengths",
    post ("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request", both_lengths },
  { "two lengths", post ("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
    "400 Bad Request", "bad_request", repeated_length },
  { "same length twice",
    post ("Content-Length: 3\r\ncontent-length: 3\r\n", "abc"),
    "400 Bad Request", "bad_request", repeated_length },
  { "length with letters", post ("Content-Length: 3x\r\n", "abc"),
    "400 Bad Request", "bad_request", invalid_length },
  { "signed length", post ("Content-Length: +3\r\n", "abc"), "400 Bad Request",
    "bad_request", invalid_length },
  { "length list", post ("Content-Length: 3, 3\r\n", "abc"), "400 Bad Request",
    "bad_request", invalid_length },
  { "length over 64 bits",
    post ("Content-Length: 18446744073709551619\r\n", "abc"), "400 Bad Request",
    "bad_request", invalid_length },
  { "space after length name", post ("Content-Length : 3\r\n", "abc"),
    "400 Bad Request", "bad_request", invalid_header_line },
  { "tab before coding", post ("Transfer-Encoding:\tchunked\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request",
    "Transfer-Encoding has extra white space" },
  { "two codings", post ("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request", invalid_coding },
  { "unknown coding", post ("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request", invalid_coding },
  { "coding in capitals", post ("Transfer-Encoding: Chunked\r\n", "0\r\n\r\n"),
    "400 Bad Request", "bad_request", invalid_coding },
  { "invalid chunk size",
    post ("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"), "400 Bad Request",
    "bad_request", "a chunk of the body is malformed" },
  { "continuation line", get ("X: a\r\n b\r\n"), "400 Bad Request",
    "bad_request", "header line 3 must be a name, a colon and a value" },
  { "line without colon", get ("Xabc\r\n"), "400 Bad Request", "bad_request",
    invalid_header_line },
  { "NUL in a header", get (std::string ("X: a\0b\r\n", 8)), "400 Bad Request",
    "bad_request", invalid_value },
  { "bare CR", get ("X: a\rEel-Class: critical\r\n"), "400 Bad Request",
    "bad_request", invalid_value },
  { "bare LF", "GET /c HTTP/1.1\nHost: orders\n\n", "400 Bad Request",
    "bad_request", "lines of the head must end with CR LF" },
  { "two hosts", get (host), "400 Bad Request", "bad_request",
    "Host is given more than once" },
  { "unknown method", "FETCH /c HTTP/1.1\r\n" + host + "\r\n",
    "400 Bad Request", "bad_request", invalid_method },
  { "method in lower case", "get /c HTTP/1.1\r\n" + host + "\r\n",
    "400 Bad Request", "bad_request", invalid_method },
  { "tunnel", "CONNECT /c HTTP/1.1\r\n" + host + "\r\n", "400 Bad Request",
    "bad_request", invalid_method },
  { "other version", "GET /c HTTP/2.0\r\n" + host + "\r\n", "400 Bad Request",
    "bad_request", invalid_request_line },
  { "not HTTP", "\x16\x03\x01 zzzz zzzzzzz\r\n\r\n", "400 Bad Request",
    "bad_request", invalid_request_line },
  { "two spaces", "GET  /c HTTP/1.1\r\n" + host + "\r\n", "400 Bad Request",
    "bad_request", invalid_target },
  { "space in target", "GET /c d HTTP/1.1\r\n" + host + "\r\n",
    "400 Bad Request", "bad_request", invalid_target },
  { "absolute target", "GET http://a/c HTTP/1.1\r\n" + host + "\r\n",
    "400 Bad Request", "bad_request", invalid_target },
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

// Guards against request smuggling, by a body length that two parsers read
// differently, and against any malformed request that reaches the node or is
// closed without an answer.
TEST_F (front_test, malformed_requests_are_refused_and_closed)
{
  for (const refusal_case &entry : malformed)
    {
      SCOPED_TRACE (entry.name);
      EXPECT_EQ (
          exchange (entry.request),
          expected_refusal (entry.status, entry.kind, entry.text, "close"));
    }
  EXPECT_EQ (loop.kinds.size (), 0u);
}

// Guards against an invalid Eel header that closes the connection, or after
// which the body is parsed as the next request.
TEST_F (front_test, invalid_header_keeps_the_connection)
{
  EXPECT_EQ (
      exchange (post ("Eel-Class: urgent\r\nContent-Length: 3\r\n", "abc")
                + get ("Connection: close\r\n")),
      expected_refusal ("400 Bad Request", "header_invalid",
                        "Eel-Class must be critical, lookup or background",
                        "keep-alive")
          + expected_answer ("GET orders /c 0", "close"));
}

} // namespace
