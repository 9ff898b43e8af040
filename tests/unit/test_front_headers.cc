#include <gtest/gtest.h>
#include <string>
#include <utility>
#include <vector>

extern "C"
{
#include "http/front_parse.h"
}

namespace
{

const int64_t now_us = 5000000;
const int64_t wall_ms = 1700000000000;

// Parses headers as the front does; returns the refusal's kind and text, or "".
std::string
parse (struct eel_call *call,
       const std::vector<std::pair<std::string, std::string>> &list)
{
  struct eel_headers headers = {};
  struct front_refusal refusal = {};
  int ok;

  for (const auto &item : list)
    eel_headers_add (&headers, item.first.c_str (), item.second.c_str ());
  ok = front_parse_headers (call, &headers, now_us, wall_ms, &refusal);
  eel_headers_finish (&headers);
  EXPECT_EQ (ok, refusal.error == EEL_OK);
  EXPECT_EQ (refusal.close, 0);
  return refusal.error == EEL_OK
             ? ""
             : std::string (eel_error_info (refusal.error)->name) + ": "
                   + refusal.text;
}

struct call_holder
{
  struct eel_call *call = eel_call_new ();

  ~call_holder ()
  {
    eel_call_free (call);
  }
};

// Guards against a header whose value is ignored or stored in another field,
// and against hop-by-hop headers that reach the upstream.
TEST (front_headers, all_are_read)
{
  call_holder held;
  struct eel_call *call = held.call;

  EXPECT_EQ (parse (call, { { "host", "orders.example:80" },
                            { "Eel-Service", "billing" },
                            { "Eel-Class", "background" },
                            { "eel-idempotent", "yes" },
                            { "Eel-Timeout-Ms", "250" },
                            { "Eel-Attempts", "3" },
                            { "Eel-Parent", "77" },
                            { "Eel-Call-Label", "charge-1" },
                            { "Eel-Caller", "shop" },
                            { "Connection", "close, X-Once" },
                            { "X-Once", "1" },
                            { "TE", "trailers" },
                            { "Content-Length", "0" },
                            { "Accept", "text/plain" } }),
             "");
  EXPECT_STREQ (call->service, "billing");
  EXPECT_EQ (call->klass, EEL_CLASS_BACKGROUND);
  EXPECT_EQ (call->idempotent, 1);
  EXPECT_EQ (call->deadline_us, now_us + 250 * EEL_US_PER_MS);
  EXPECT_EQ (call->spare, 3);
  EXPECT_EQ (call->parent, 77u);
  EXPECT_EQ (call->nested, 1);
  EXPECT_STREQ (call->label, "charge-1");
  EXPECT_STREQ (call->caller, "shop");
  EXPECT_EQ (call->given, EEL_GIVEN_CLASS | EEL_GIVEN_IDEMPOTENT
                              | EEL_GIVEN_DEADLINE | EEL_GIVEN_SPARE);
  ASSERT_EQ (call->headers.count, 2u);
  EXPECT_STREQ (call->headers.items[0].name, "host");
  EXPECT_STREQ (call->headers.items[1].name, "Accept");
}

// Guards against a service name that is taken from the wrong part of Host.
TEST (front_headers, service_from_host)
{
  static const char *const cases[][2] = {
    { "orders.example:80", "orders" },
    { "orders:80", "orders" },
    { "orders", "orders" },
  };

  for (const auto &entry : cases)
    {
      call_holder held;

      EXPECT_EQ (parse (held.call, { { "Host", entry[0] } }), "");
      EXPECT_STREQ (held.call->service, entry[1]);
    }
}

// Guards against a deadline that is later than the caller asked for.
TEST (front_headers, smaller_deadline_wins)
{
  static const struct
  {
    const char *deadline;
    const char *timeout;
    int64_t expected_us;
  } cases[] = {
    { "1700000000100", "250", now_us + 100 * EEL_US_PER_MS },
    { "1700000000300", "250", now_us + 250 * EEL_US_PER_MS },
    { "1699999999999", "250", now_us },
    { "1700000600000", "600000", now_us + 600 * EEL_US_PER_S },
  };

  for (const auto &entry : cases)
    for (int order = 0; order < 2; order++)
      {
        call_holder held;
        std::vector<std::pair<std::string, std::string>> list
            = { { "Host", "a" },
                { "Eel-Deadline", entry.deadline },
                { "Eel-Timeout-Ms", entry.timeout } };

        if (order == 1)
          std::swap (list[1], list[2]);
        EXPECT_EQ (parse (held.call, list), "");
        EXPECT_EQ (held.call->deadline_us, entry.expected_us);
      }
}

// Guards against an invalid value that is truncated, wrapped or read as zero.
TEST (front_headers, invalid_values_are_named)
{
  const std::string long_name (64, 'a');
  const std::string name_rule
      = " must be 1 to 63 letters, digits, '-', '_' or '.'";
  const std::string timeout = "Eel-Timeout-Ms must be a number from 1 to "
                              "600000";
  const std::string attempts = "Eel-Attempts must be a number from 0 to 255";
  const std::string parent
      = "Eel-Parent must be the number that the request being run came with";
  const struct
  {
    std::string name;
    std::string value;
    std::string text;
  } cases[] = {
    { "Eel-Service", "", "Eel-Service" + name_rule },
    { "Eel-Service", long_name, "Eel-Service" + name_rule },
    { "Eel-Service", "a/b", "Eel-Service" + name_rule },
    { "Eel-Caller", "a b", "Eel-Caller" + name_rule },
    { "Eel-Call-Label", long_name, "Eel-Call-Label" + name_rule },
    { "Eel-Class", "Lookup",
      "Eel-Class must be critical, lookup or background" },
    { "Eel-Idempotent", "true", "Eel-Idempotent must be yes or no" },
    { "Eel-Timeout-Ms", "0", timeout },
    { "Eel-Timeout-Ms", "600001", timeout },
    { "Eel-Timeout-Ms", "-1", timeout },
    { "Eel-Timeout-Ms", "1e3", timeout },
    { "Eel-Timeout-Ms", "18446744073709551617", timeout },
    { "Eel-Attempts", "256", attempts },
    { "Eel-Attempts", "", attempts },
    { "Eel-Parent", "0", parent },
    { "Eel-Parent", "18446744073709551616", parent },
    { "Eel-Deadline", "soon",
      "Eel-Deadline must be Unix time in milliseconds" },
    { "Eel-Deadline", "1700000600001",
      "Eel-Deadline must be at most 600000 ms in the future" },
    { "Eel-Idempotant", "no", "Eel-Idempotant is not a header of a request" },
    { "Eel-Outcome", "ran", "Eel-Outcome is not a header of a request" },
  };

  for (const auto &entry : cases)
    {
      call_holder held;

      EXPECT_EQ (
          parse (held.call, { { "Host", "a" }, { entry.name, entry.value } }),
          "header_invalid: " + entry.text);
    }
}

// Guards against duplicate headers, of which two parsers may use different
// ones.
TEST (front_headers, duplicates_are_refused)
{
  static const char *const names[]
      = { "Eel-Service", "Eel-Class",     "Eel-Idempotent", "Eel-Key",
          "Eel-Parent",  "Eel-Deadline",  "Eel-Timeout-Ms", "Eel-Attempts",
          "Eel-Caller",  "Eel-Call-Label" };

  for (const char *name : names)
    {
      call_holder held;

      EXPECT_EQ (
          parse (held.call, { { "Host", "a" }, { name, "1" }, { name, "1" } }),
          std::string ("header_invalid: ") + name + " is given more than once");
    }
}

// Guards against a malformed key that is treated as an absent one.
TEST (front_headers, malformed_key)
{
  for (const std::string &key :
       { std::string (), std::string ("abc"), std::string (200, 'a') })
    {
      call_holder held;

      EXPECT_EQ (parse (held.call, { { "Host", "a" }, { "Eel-Key", key } }),
                 "key_invalid: the request key is malformed or not ours");
    }
}

} // namespace
