#ifndef EEL_TESTS_SCRIPTED_UPSTREAM_H
#define EEL_TESTS_SCRIPTED_UPSTREAM_H

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <vector>

enum after_reply
{
  KEEP,
  CLOSE,
  RESET,
  // Sends no reply.
  SILENT
};

// An upstream that answers each request with the same scripted bytes.
struct scripted_upstream
{
  struct evconnlistener *listener;
  uint16_t port;
  std::string reply;
  enum after_reply after = KEEP;
  std::string health = "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
  std::vector<std::string> requests;
  std::vector<struct bufferevent *> open;
  // Closed after the reply has been written.
  std::set<struct bufferevent *> closing;
  size_t accepted = 0;

  explicit scripted_upstream (struct event_base *base)
  {
    struct sockaddr_in address = {};
    socklen_t bytes = sizeof address;

    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener = evconnlistener_new_bind (
        base, on_accept, this, LEV_OPT_CLOSE_ON_FREE, 64,
        reinterpret_cast<struct sockaddr *> (&address), sizeof address);
    getsockname (evconnlistener_get_fd (listener),
                 reinterpret_cast<struct sockaddr *> (&address), &bytes);
    port = ntohs (address.sin_port);
  }

  scripted_upstream (const scripted_upstream &) = delete;
  scripted_upstream &operator= (const scripted_upstream &) = delete;

  ~scripted_upstream ()
  {
    evconnlistener_free (listener);
    while (!open.empty ())
      close_connection (open.back (), false);
  }

  static void
  on_accept (struct evconnlistener *own,
             evutil_socket_t fd,
             struct sockaddr *,
             int,
             void *data)
  {
    auto *self = static_cast<scripted_upstream *> (data);
    struct bufferevent *bev = bufferevent_socket_new (
        evconnlistener_get_base (own), fd, BEV_OPT_CLOSE_ON_FREE);

    self->accepted++;
    self->open.push_back (bev);
    bufferevent_setcb (bev, on_read, on_written, on_event, data);
    bufferevent_enable (bev, EV_READ | EV_WRITE);
  }

  // The requests of these tests have no body.
  static void
  on_read (struct bufferevent *bev, void *data)
  {
    auto *self = static_cast<scripted_upstream *> (data);
    struct evbuffer *input = bufferevent_get_input (bev);
    size_t bytes = evbuffer_get_length (input);
    std::string text (reinterpret_cast<char *> (evbuffer_pullup (input, -1)),
                      bytes);

    if (text.find ("\r\n\r\n") == std::string::npos)
      return;
    evbuffer_drain (input, bytes);
    if (text.compare (0, 12, "GET /health ") == 0)
      {
        bufferevent_write (bev, self->health.data (), self->health.size ());
        return;
      }
    self->requests.push_back (text);
    if (self->after == SILENT)
      return;
    if (self->after != KEEP && self->reply.empty ())
      {
        self->close_connection (bev, self->after == RESET);
        return;
      }
    if (self->after != KEEP)
      self->closing.insert (bev);
    bufferevent_write (bev, self->reply.data (), self->reply.size ());
  }

  static void
  on_written (struct bufferevent *bev, void *data)
  {
    auto *self = static_cast<scripted_upstream *> (data);

    if (self->closing.count (bev) > 0)
      self->close_connection (bev, false);
  }

  static void
  on_event (struct bufferevent *bev, short what, void *data)
  {
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
      static_cast<scripted_upstream *> (data)->close_connection (bev, false);
  }

  void
  close_connection (struct bufferevent *bev, bool reset)
  {
    struct linger reset_on_close = { 1, 0 };

    if (reset)
      setsockopt (bufferevent_getfd (bev), SOL_SOCKET, SO_LINGER,
                  &reset_on_close, sizeof reset_on_close);
    for (size_t i = 0; i < open.size (); i++)
      if (open[i] == bev)
        open.erase (open.begin () + static_cast<long> (i));
    closing.erase (bev);
    bufferevent_free (bev);
  }
};

#endif
