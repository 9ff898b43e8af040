#ifndef EEL_TESTS_HTTP_LOOP_H
#define EEL_TESTS_HTTP_LOOP_H

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "internal/tasks.h"
}

/*
 * The node's side of a task under test: event loop, mailbox and the kinds of
 * the messages received.
 */
struct http_loop
{
  struct event_base *base = event_base_new ();
  struct eel_metrics metrics;
  struct eel_settings settings = {};
  struct eel_mailbox node;
  std::function<void (struct eel_msg *)> handler;
  std::vector<enum eel_msg_kind> kinds;

  http_loop ()
  {
    eel_metrics_init (&metrics);
    eel_mailbox_init (&node, base, 256, receive, this);
    for (struct eel_endpoint_address *address :
         { &settings.front, &settings.admin, &settings.upstream })
      snprintf (address->host, sizeof address->host, "127.0.0.1");
    settings.calls_max = 16;
  }

  http_loop (const http_loop &) = delete;
  http_loop &operator= (const http_loop &) = delete;

  ~http_loop ()
  {
    eel_mailbox_finish (&node);
    eel_metrics_finish (&metrics);
    event_base_free (base);
  }

  static void
  receive (void *task, struct eel_msg *msg)
  {
    auto *self = static_cast<http_loop *> (task);

    self->kinds.push_back (msg->kind);
    if (self->handler)
      self->handler (msg);
  }

  /* Runs the loop until done returns true; returns false after 10 s. */
  bool
  run_until (const std::function<bool ()> &done)
  {
    int64_t timeout_at_us = eel_clock_us () + 10 * EEL_US_PER_S;

    while (!done ())
      {
        if (eel_clock_us () > timeout_at_us)
          return false;
        event_base_loop (base, EVLOOP_NONBLOCK);
        usleep (200);
      }
    return true;
  }

  size_t
  count (enum eel_msg_kind kind) const
  {
    size_t n = 0;

    for (enum eel_msg_kind seen : kinds)
      n += seen == kind;
    return n;
  }
};

/* A client that reads all received bytes while the loop runs. */
struct http_client
{
  int fd;
  std::string received;
  bool closed = false;

  explicit http_client (uint16_t port) : fd (socket (AF_INET, SOCK_STREAM, 0))
  {
    struct sockaddr_in address = {};

    address.sin_family = AF_INET;
    address.sin_port = htons (port);
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    if (connect (fd, reinterpret_cast<struct sockaddr *> (&address),
                 sizeof address)
        != 0)
      closed = true;
    fcntl (fd, F_SETFL, O_NONBLOCK);
  }

  http_client (const http_client &) = delete;
  http_client &operator= (const http_client &) = delete;

  ~http_client ()
  {
    close (fd);
  }

  /* Sends all bytes, running the loop while the socket is full. */
  void
  send_all (http_loop *loop, const std::string &bytes)
  {
    size_t sent = 0;

    loop->run_until ([&] {
      ssize_t n
          = send (fd, bytes.data () + sent, bytes.size () - sent, MSG_NOSIGNAL);

      if (n < 0 && errno != EAGAIN)
        return true;
      sent += n > 0 ? static_cast<size_t> (n) : 0;
      return sent == bytes.size ();
    });
  }

  bool
  read_some ()
  {
    char buffer[65536];
    ssize_t n = recv (fd, buffer, sizeof buffer, 0);

    if (n > 0)
      received.append (buffer, static_cast<size_t> (n));
    else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
      closed = true;
    return closed;
  }

  /* Returns all that the server sends until it closes. */
  std::string
  read_to_end (http_loop *loop)
  {
    if (!loop->run_until ([&] { return read_some (); }))
      return "connection not closed; received: " + received;
    return received;
  }

  /* Reads until the text has arrived; false when it does not. */
  bool
  wait_for (http_loop *loop, const std::string &text)
  {
    return loop->run_until ([&] {
      read_some ();
      return closed || received.find (text) != std::string::npos;
    }) && received.find (text) != std::string::npos;
  }
};

#endif
