#ifndef EEL_TESTS_FRONT_FIXTURE_H
#define EEL_TESTS_FRONT_FIXTURE_H

#include <gtest/gtest.h>
#include <memory>

extern "C"
{
#include "http/front.h"
}
#include "tests/unit/http_loop.h"

inline const std::string host = "Host: orders.local\r\n";

struct front_test : testing::Test
{
  http_loop loop;
  struct eel_front *front;
  std::vector<uint64_t> pending_call_ids;

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

  // Answers a call with its method, service, target and body size, unless its
  // path begins with /hold.
  void
  serve (struct eel_msg *msg)
  {
    if (msg->kind == EEL_MSG_CALL
        && strncmp (msg->call->target, "/hold", 5) == 0)
      pending_call_ids.push_back (msg->call_id);
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

inline std::string
expected_answer (const std::string &body, const char *connection)
{
  return "HTTP/1.1 200 OK\r\nEel-Outcome: ran\r\nEel-Retry: none\r\n"
         "Eel-Preset: 0\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\nConnection: " + connection
         + "\r\n\r\n" + body;
}

inline std::string
expected_refusal (const std::string &status,
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

inline std::string
post (const std::string &headers, const std::string &body)
{
  return "POST /c HTTP/1.1\r\n" + host + headers + "\r\n" + body;
}

inline std::string
get (const std::string &headers)
{
  return "GET /c HTTP/1.1\r\n" + host + headers + "\r\n";
}

#endif
