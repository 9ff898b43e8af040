#include "relay_world.h"

#include <gtest/gtest.h>

namespace
{
// The endpoint is gone: its connections are reset and new ones refused.
void
crash (raw_upstream &upstream)
{
  evconnlistener_free (upstream.listener);
  upstream.listener = nullptr;
  for (auto &conn : upstream.conns)
    if (conn->bev != nullptr)
      raw_upstream::end (*conn, true);
}
}

// Guards against a request that crashes one endpoint after the other: callers
// send it again at any node, and after its second crash none runs it.
TEST (Relay, RequestThatCrashesTwoEndpointsReachesNoThird)
{
  relay_world world (4);

  for (size_t node = 1; node < 4; node++)
    {
      world.list (node);
      world.nodes[node]->upstream.answer
          = [] (raw_upstream &upstream, raw_conn &conn,
                const std::string &request) {
              if (request.find ("/once/bad") == std::string::npos)
                raw_upstream::write (conn, answer_text (request, "ok"));
              else
                crash (upstream);
            };
    }
  world.publish ();
  auto ran = [&world] {
    size_t count = 0;

    for (auto &node : world.nodes)
      for (const std::string &request : node->upstream.requests)
        count += request.find ("/once/bad") != std::string::npos;
    return count;
  };
  for (int n = 0; n < 6; n++)
    {
      std::string id = std::to_string (n);

      world.ask (request_text ("DELETE", "/once/bad", "bad" + id));
      /* Others find out that the endpoint is gone, and spread it. */
      for (int other = 0; other < 12; other++)
        EXPECT_EQ (
            world
                .ask (request_text ("GET", "/safe/x" + id,
                                    "x" + id + "-" + std::to_string (other)))
                .substr (9, 3),
            "200");
    }
  EXPECT_EQ (ran (), 2u);
  std::string last = world.ask (request_text ("DELETE", "/once/bad", "last"));
  EXPECT_EQ (last.substr (9, 3), "503");
  EXPECT_NE (field_of (last, "Retry-After"), "");
  EXPECT_EQ (field_of (last, "Eel-Crashed"), "");
}
