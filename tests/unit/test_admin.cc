#include <gtest/gtest.h>
#include <memory>

#include "tests/unit/http_loop.h"

namespace
{

const char token[] = "0123456789abcdef";

struct admin_test : testing::Test
{
  http_loop loop;
  std::vector<struct eel_audit_entry> entries{ 8 };
  struct eel_audit audit;
  struct eel_admin *admin;
  std::vector<std::string> queries;
  std::vector<uint64_t> held;
  bool hold = false;

  admin_test ()
  {
    snprintf (loop.settings.admin_token, sizeof loop.settings.admin_token, "%s",
              token);
    eel_audit_init (&audit, 7, entries.data (),
                    static_cast<uint32_t> (entries.size ()));
    admin = eel_admin_new (loop.base, &loop.settings, &loop.metrics, &audit);
    eel_admin_connect (admin, &loop.node);
    loop.handler = [this] (struct eel_msg *msg) {
      queries.emplace_back (msg->text);
      if (hold)
        held.push_back (msg->call_id);
      else
        answer (msg->call_id, msg->text);
    };
  }

  ~admin_test () override
  {
    eel_admin_free (admin);
  }

  void
  answer (uint64_t id, const std::string &text)
  {
    struct eel_msg msg = {};

    msg.kind = EEL_MSG_ANSWER;
    msg.call_id = id;
    msg.answer = eel_answer_new (id);
    msg.answer->status = text == "ready" ? 503 : 200;
    eel_body_set (&msg.answer->body, text.data (), text.size ());
    eel_mailbox_post (eel_admin_inbox (admin), &msg);
  }

  std::string
  request (const std::string &line, const std::string &headers)
  {
    return line + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers
           + "\r\n";
  }

  // Returns the status and the body.
  std::string
  fetch (const std::string &line, const std::string &headers)
  {
    http_client client (eel_admin_port (admin));

    client.send_all (&loop, request (line, headers));
    std::string all = client.read_to_end (&loop);
    size_t body = all.find ("\r\n\r\n");

    return body == std::string::npos
               ? all
               : all.substr (9, 3) + " " + all.substr (body + 4);
  }
};

const std::string bearer
    = std::string ("Authorization: Bearer ") + token + "\r\n";
const char denied[] = "401 unauthorized: the operators' token is missing or "
                      "wrong\n";

// Guards against operators' data served without the exact token.
TEST_F (admin_test, token_is_required)
{
  const std::string wrong[] = {
    "",
    "Authorization: Bearer\r\n",
    "Authorization: Bearer \r\n",
    "Authorization: Bearer 0123456789abcde\r\n",
    "Authorization: Bearer 0123456789abcdef0\r\n",
    "Authorization: Bearer 0123456789ABCDEF\r\n",
    "Authorization: Basic 0123456789abcdef\r\n",
    "Authorization: 0123456789abcdef\r\n",
  };

  for (const char *path : { "/metrics", "/audit", "/status", "/members",
                            "/preset", "/nothing", "/", "//status" })
    for (const std::string &headers : wrong)
      EXPECT_EQ (fetch (std::string ("GET ") + path, headers), denied)
          << path << " " << headers;
  EXPECT_TRUE (queries.empty ());
}

// Guards against a path that queries the node under another name or does not
// return the status of its reply.
TEST_F (admin_test, node_queries)
{
  static const struct
  {
    const char *path;
    const char *expected;
    bool needs_token;
  } cases[] = {
    { "/status", "200 status", true },   { "/members", "200 members", true },
    { "/preset", "200 preset", true },   { "/readyz", "503 ready", false },
    { "/healthz", "200 health", false },
  };

  for (const auto &entry : cases)
    EXPECT_EQ (fetch (std::string ("GET ") + entry.path,
                      entry.needs_token ? bearer : ""),
               entry.expected);
}

// Guards against metrics that lack a counter, and an audit trail that does not
// start at the requested entry.
TEST_F (admin_test, metrics_and_audit)
{
  for (const char *reason : { "first", "second", "third" })
    eel_audit_add (&audit, EEL_AUDIT_PRESET, 1, "a", "b", "self", reason);
  fetch ("GET /status", "");
  EXPECT_NE (
      fetch ("GET /metrics", bearer).find ("eel_admin_unauthorized_total{} 1"),
      std::string::npos);
  std::string all = fetch ("GET /audit", bearer);
  std::string from = fetch (
      "GET /audit?from=" + std::to_string (entries[1].sequence), bearer);

  EXPECT_NE (all.find ("first"), std::string::npos);
  EXPECT_EQ (from.find ("first"), std::string::npos);
  EXPECT_NE (from.find ("second"), std::string::npos);
  EXPECT_NE (from.find ("third"), std::string::npos);
}

// Guards against requests of any size or method being accepted.
TEST_F (admin_test, requests_are_bounded)
{
  EXPECT_EQ (fetch ("GET /nothing", bearer).substr (0, 14), "404 not_found:");
  EXPECT_EQ (fetch ("POST /status", bearer).substr (0, 3), "501");
  EXPECT_EQ (
      fetch ("GET /status", bearer + "Content-Length: 1\r\n").substr (0, 3),
      "413");
  EXPECT_EQ (
      fetch ("GET /status", bearer + "X: " + std::string (9000, 'a') + "\r\n")
          .substr (0, 3),
      "400");
  EXPECT_TRUE (queries.empty ());
}

// Guards against more pending queries than slots, and against a late reply to a
// client that has disconnected: it must neither crash nor keep the slot.
TEST_F (admin_test, disconnected_clients_release_slots)
{
  for (size_t round = 1; round <= 2; round++)
    {
      std::vector<std::unique_ptr<http_client>> clients;

      hold = true;
      for (int i = 0; i < 64; i++)
        {
          clients.emplace_back (new http_client (eel_admin_port (admin)));
          clients.back ()->send_all (&loop, request ("GET /healthz", ""));
        }
      ASSERT_TRUE (loop.run_until ([&] { return held.size () == 64; }));
      EXPECT_EQ (fetch ("GET /healthz", "").substr (0, 14), "503 overloaded");
      clients.clear ();
      for (uint64_t id : held)
        answer (id, "late");
      held.clear ();
      hold = false;
      EXPECT_EQ (fetch ("GET /healthz", ""), "200 health");
    }
}

} // namespace
