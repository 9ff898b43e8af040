#include "relay_caps.h"

// Guards against a request that is freed while it is taken: a token for it was
// at hand, and the request before it on its connection was refused, for having
// waited too long, with Connection: close.
TEST_F (relay_caps, RequestThatIsTakenOutlivesTheOneBefore)
{
  const std::string second
      = request_text ("GET", "/safe/x", "r2", "Authorization: Bearer kc\r\n");

  for (size_t at = 0; at < 3; at++)
    set_caps (at, { "a", "c" }, 200, 100);
  // A frequent team has tokens in stock.
  for (int i = 0; i < 60; i++)
    {
      send (0, "kc");
      cluster.run_ms (20);
    }
  // Nobody grants team a its first one.
  for (auto &node : cluster.nodes)
    eel_relay_stop (&node->relay);
  auto conn = cluster.connect (0);

  raw_upstream::write (*conn, "GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n"
                              "Req-Id: r1\r\nLeft-Ms: 120\r\n"
                              "Authorization: Bearer ka\r\n\r\n");
  ASSERT_TRUE (
      cluster.run_until ([this] { return caps (0)->waiting.length == 1; }));
  // Both the second request and the end of the first one's wait are due when
  // the node's loop runs again.
  ASSERT_EQ (
      write (bufferevent_getfd (conn->bev), second.data (), second.size ()),
      (ssize_t)second.size ());
  usleep (50000);
  EXPECT_TRUE (cluster.run_until ([&conn] { return conn->closed; }));
  EXPECT_EQ (status_of (conn->in), "503");
  EXPECT_EQ (cluster.nodes[0]->relay.callers.exchange_count, 0u);
  bufferevent_free (conn->bev);
  conn->bev = nullptr;
}
