#include <csignal>
#include <cstring>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/bufferevent.h>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <vector>

extern "C"
{
#include "internal/tasks.h"
#include "platform/platform.h"
}

namespace
{

// Server that replies to each request with the next raw HTTP response, then
// closes the connection.
struct platform_server
{
  struct event_base *base = event_base_new ();
  struct evconnlistener *listener = nullptr;
  struct eel_platform *platform = nullptr;
  struct eel_mailbox node;
  std::unique_ptr<struct eel_metrics> metrics
      = std::make_unique<struct eel_metrics> ();
  std::vector<std::string> responses;
  std::vector<std::string> targets;
  std::vector<std::string> documents;
  std::vector<std::string> lists;
  std::vector<int> states;
  std::vector<struct bufferevent *> connections;

  static void
  handle (void *task, struct eel_msg *msg)
  {
    platform_server *server = static_cast<platform_server *> (task);
    std::string body (reinterpret_cast<char *> (msg->body.data),
                      msg->body.bytes);

    if (msg->kind == EEL_MSG_DOCUMENT)
      server->documents.push_back (body);
    else if (msg->kind == EEL_MSG_VM_LIST)
      server->lists.push_back (body);
    else if (msg->kind == EEL_MSG_PLATFORM_STATE)
      server->states.push_back (static_cast<int> (msg->value));
  }
  static void
  close_after (struct bufferevent *bev, void *)
  {
    shutdown (bufferevent_getfd (bev), SHUT_RDWR);
  }
  static void
  read (struct bufferevent *bev, void *data)
  {
    platform_server *server = static_cast<platform_server *> (data);
    struct evbuffer *in = bufferevent_get_input (bev);
    std::string text (evbuffer_get_length (in), 0);

    evbuffer_copyout (in, &text[0], text.size ());
    if (text.find ("\r\n\r\n") == std::string::npos)
      return;
    evbuffer_drain (in, text.size ());
    server->targets.push_back (text.substr (4, text.find (" HTTP") - 4));
    if (server->responses.empty ())
      return;
    std::string response = server->responses.front ();
    server->responses.erase (server->responses.begin ());
    bufferevent_setcb (bev, read, close_after, nullptr, server);
    bufferevent_write (bev, response.data (), response.size ());
  }
  static void
  accept (struct evconnlistener *,
          evutil_socket_t fd,
          struct sockaddr *,
          int,
          void *data)
  {
    platform_server *server = static_cast<platform_server *> (data);
    struct bufferevent *bev
        = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);

    server->connections.push_back (bev);
    bufferevent_setcb (bev, read, nullptr, nullptr, server);
    bufferevent_enable (bev, EV_READ | EV_WRITE);
  }
  platform_server ()
  {
    struct sockaddr_in address = {};
    struct eel_settings settings = {};
    socklen_t length = sizeof address;

    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener = evconnlistener_new_bind (
        base, accept, this, LEV_OPT_CLOSE_ON_FREE, 8,
        reinterpret_cast<struct sockaddr *> (&address), sizeof address);
    getsockname (evconnlistener_get_fd (listener),
                 reinterpret_cast<struct sockaddr *> (&address), &length);
    std::strcpy (settings.platform.host, "127.0.0.1");
    settings.platform.port = ntohs (address.sin_port);
    // As in the daemon: the peer may close the connection during a write.
    signal (SIGPIPE, SIG_IGN);
    eel_metrics_init (metrics.get ());
    eel_mailbox_init (&node, base, 64, handle, this);
    // Without has_platform the timer is off; the tests start each call.
    platform = eel_platform_new (base, &settings, metrics.get (), 1);
    eel_platform_connect (platform, &node);
  }
  ~platform_server ()
  {
    eel_platform_free (platform);
    eel_mailbox_finish (&node);
    for (struct bufferevent *bev : connections)
      bufferevent_free (bev);
    evconnlistener_free (listener);
    event_base_free (base);
    eel_metrics_finish (metrics.get ());
  }
  // Makes one call; returns the result posted to the node, -1 for none in 3 s.
  int
  call (enum eel_read read)
  {
    size_t before = states.size ();

    eel_platform_call_start (platform, read, eel_clock_us ());
    for (int i = 0; i < 600 && states.size () == before; i++)
      {
        struct timeval slice = { 0, 5000 };

        event_base_loopexit (base, &slice);
        event_base_dispatch (base);
      }
    return states.size () == before ? -1 : states.back ();
  }
};

std::string
ok (const std::string &headers, const std::string &body, size_t length)
{
  return "HTTP/1.1 200 OK\r\n" + headers
         + "Content-Length: " + std::to_string (length) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a response that is truncated, too large, of a lower version
// or an error and still updates the node or the known version.
TEST (platform, invalid_responses_are_discarded)
{
  const std::string megabyte (1024 * 1024, 'x');
  const struct
  {
    const char *name;
    std::string response;
  } cases[] = {
    { "server error", "HTTP/1.1 503 Busy\r\nX-Version: 9\r\n"
                      "Content-Length: 3\r\n\r\nabc" },
    { "truncated body", ok ("X-Version: 9\r\n", "abc", 10) },
    { "body without an end", "HTTP/1.1 200 OK\r\nX-Version: 9\r\n\r\nabc" },
    { "cut in a chunk", "HTTP/1.1 200 OK\r\nX-Version: 9\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n10\r\nabc" },
    { "over 1 MB", ok ("X-Version: 9\r\n", megabyte + "x", 1024 * 1024 + 1) },
    { "no version", ok ("", "abc", 3) },
    { "bad version", ok ("X-Version: 9x\r\n", "abc", 3) },
    { "lower version", ok ("X-Version: 4\r\n", "abc", 3) },
    { "empty", ok ("X-Version: 9\r\n", "", 0) },
    { "not modified without a watch", "HTTP/1.1 304 No\r\n\r\n" },
    { "status 000", "HTTP/1.1 000 No\r\nX-Version: 9\r\n"
                    "Content-Length: 3\r\n\r\nabc" },
    { "blank in the name of the length",
      "HTTP/1.1 200 OK\r\nX-Version: 9\r\nContent-Length : 3\r\n\r\nabc" },
    { "blank in the name of the version",
      "HTTP/1.1 200 OK\r\nX-Version : 9\r\nContent-Length: 3\r\n\r\nabc" },
    { "line without a colon",
      "HTTP/1.1 200 OK\r\nX-Version: 9\r\nX\r\nContent-Length: 3\r\n\r\nabc" },
    { "garbage", "SSH-2.0-x\r\n\r\n" },
    { "closed at once", "\r\n" },
  };

  for (const auto &c : cases)
    {
      platform_server server;

      server.responses = { ok ("X-Version: 5\r\n", "five", 4), c.response,
                           ok ("X-Version: 5\r\n", "same", 4) };
      EXPECT_EQ (server.call (EEL_READ_PRESET), 1) << c.name;
      EXPECT_EQ (server.call (EEL_READ_PRESET), 0) << c.name;
      EXPECT_EQ (server.documents.size (), 1u) << c.name;
      EXPECT_EQ (server.platform->schedule.version, 5u) << c.name;
      EXPECT_EQ (server.call (EEL_READ_PRESET), 1) << c.name;
    }
}

// Guards against a wrong request line, a watch that starts from an outdated
// version, and a watch without a change that counts as a failure.
TEST (platform, watch_and_list)
{
  platform_server server;

  server.responses
      = { ok ("X-Version: 5\r\n", "five", 4), "HTTP/1.1 304 No\r\n\r\n",
          ok ("X-Version: 6\r\n", "six", 3),
          ok ("", "1 0 orders live 127.0.0.1:7000\n", 31),
          "HTTP/1.1 200 OK\r\nX-Version: 7\r\nTransfer-Encoding: "
          "chunked\r\n\r\n5\r\nseven\r\n0\r\n\r\n" };
  EXPECT_EQ (server.call (EEL_READ_PRESET), 1);
  EXPECT_EQ (server.call (EEL_READ_WATCH), 1);
  EXPECT_EQ (server.call (EEL_READ_WATCH), 1);
  EXPECT_EQ (server.call (EEL_READ_VMS), 1);
  EXPECT_EQ (server.call (EEL_READ_PRESET), 1);
  EXPECT_EQ (server.documents,
             (std::vector<std::string>{ "five", "six", "seven" }));
  EXPECT_EQ (server.lists.size (), 1u);
  EXPECT_EQ (server.targets,
             (std::vector<std::string>{
                 "/v1/values/preset", "/v1/values/preset?after=5&wait_ms=10000",
                 "/v1/values/preset?after=5&wait_ms=10000", "/v1/vms",
                 "/v1/values/preset" }));
}

// Guards against calls that report no failure when the platform accepts the
// connection but never responds, or refuses it.
TEST (platform, missing_response_is_a_failure)
{
  platform_server server;

  EXPECT_EQ (server.call (EEL_READ_PRESET), 0);
  EXPECT_TRUE (server.documents.empty ());
  evconnlistener_disable (server.listener);
  server.platform->address.port = 1;
  EXPECT_EQ (server.call (EEL_READ_PRESET), 0);
}
