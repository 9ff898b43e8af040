#include "relay_cluster.h"

#include <csignal>
#include <cstring>

static const struct eel_relay_header_names header_names = {
  .request_id = "Req-Id",
  .remaining_ms = "Left-Ms",
  .expected_instance = "Want",
  .caller_service = "From-Service",
  .not_executed = "Not-Run",
  .actual_instance = "Actual",
  .rate_limit = "Limit",
  .leaving = "Leaving",
  .authorization = "Authorization",
  .team = "Team",
};

static void
read_raw (struct bufferevent *bev, std::string &in)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t bytes = evbuffer_get_length (input);

  in.append (reinterpret_cast<char *> (evbuffer_pullup (input, -1)), bytes);
  evbuffer_drain (input, bytes);
}

struct upstream_arg
{
  raw_upstream *upstream;
  raw_conn *conn;
};

static void
upstream_read (struct bufferevent *bev, void *data)
{
  auto *arg = static_cast<upstream_arg *> (data);

  read_raw (bev, arg->conn->in);
  while (size_t bytes = request_bytes (arg->conn->in))
    {
      std::string request = arg->conn->in.substr (0, bytes);

      arg->conn->in.erase (0, bytes);
      arg->upstream->requests.push_back (request);
      if (arg->upstream->answer)
        arg->upstream->answer (*arg->upstream, *arg->conn, request);
    }
}

static void
upstream_event (struct bufferevent *bev, short what, void *data)
{
  auto *arg = static_cast<upstream_arg *> (data);

  (void)bev;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 && !arg->conn->closed)
    {
      arg->conn->closed = true;
      arg->upstream->closed_by_peer++;
    }
}

static void
upstream_accept (struct evconnlistener *listener,
                 evutil_socket_t fd,
                 struct sockaddr *address,
                 int bytes,
                 void *data)
{
  auto *upstream = static_cast<raw_upstream *> (data);
  struct event_base *base = evconnlistener_get_base (listener);
  auto conn = std::make_unique<raw_conn> ();

  (void)address;
  (void)bytes;
  conn->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (conn->bev, upstream_read, nullptr, upstream_event,
                     new upstream_arg{ upstream, conn.get () });
  bufferevent_enable (conn->bev, upstream->reads ? EV_READ : EV_WRITE);
  upstream->conns.push_back (std::move (conn));
}

void
raw_upstream::open (struct event_base *base, const char *ip, uint16_t port)
{
  socklen_t bytes = sizeof address;

  address.sin_family = AF_INET;
  address.sin_port = htons (port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  listener = evconnlistener_new_bind (
      base, upstream_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      64, reinterpret_cast<struct sockaddr *> (&address), sizeof address);
  getsockname (evconnlistener_get_fd (listener),
               reinterpret_cast<struct sockaddr *> (&address), &bytes);
  answer = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
    write (conn, answer_text (request, "ok"));
  };
}

void
raw_upstream::close_all ()
{
  for (auto &conn : conns)
    {
      void *arg = nullptr;

      if (conn->bev == nullptr)
        continue;
      bufferevent_getcb (conn->bev, nullptr, nullptr, nullptr, &arg);
      delete static_cast<upstream_arg *> (arg);
      bufferevent_free (conn->bev);
    }
  conns.clear ();
}

raw_upstream::~raw_upstream ()
{
  close_all ();
  if (listener != nullptr)
    evconnlistener_free (listener);
}

void
raw_upstream::write (raw_conn &conn, const std::string &bytes)
{
  bufferevent_write (conn.bev, bytes.data (), bytes.size ());
}

static void
free_deferred (evutil_socket_t fd, short what, void *data)
{
  auto *bev = static_cast<struct bufferevent *> (data);
  void *arg = nullptr;

  (void)fd;
  (void)what;
  bufferevent_getcb (bev, nullptr, nullptr, nullptr, &arg);
  bufferevent_free (bev);
  delete static_cast<upstream_arg *> (arg);
}

void
raw_upstream::end (raw_conn &conn, bool reset, const std::string &last)
{
  const struct timeval now = {};
  struct linger linger = { 1, 0 };
  int fd = bufferevent_getfd (conn.bev);

  if (send (fd, last.data (), last.size (), 0) != (ssize_t)last.size ())
    abort ();
  conn.closed = true;
  if (!reset)
    {
      shutdown (fd, SHUT_WR);
      return;
    }
  // Freed from the loop, since this runs inside a callback of the connection.
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  event_base_once (bufferevent_get_base (conn.bev), -1, EV_TIMEOUT,
                   free_deferred, conn.bev, &now);
  conn.bev = nullptr;
}

static uint16_t
free_port (void)
{
  struct sockaddr_in address = {};
  socklen_t bytes = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_family = AF_INET;
  bind (fd, reinterpret_cast<struct sockaddr *> (&address), sizeof address);
  getsockname (fd, reinterpret_cast<struct sockaddr *> (&address), &bytes);
  close (fd);
  return ntohs (address.sin_port);
}

relay_cluster::relay_cluster (size_t count, const char *service)
{
  int tries = 0;

  signal (SIGPIPE, SIG_IGN);
  // The port that all nodes share is free when it is chosen, but an upstream or
  // another process may get it before they listen.
  while (!start (count, service))
    {
      stop ();
      if (++tries == 20)
        abort ();
    }
}

bool
relay_cluster::start (size_t count, const char *service)
{
  uint16_t peers = free_port ();

  for (size_t i = 0; i < count; i++)
    {
      auto node = std::make_unique<relay_node> ();
      std::string ip = "127.0.0." + std::to_string (i + 1);
      struct eel_relay_config config = {};
      socklen_t len = sizeof config.callers;

      node->id = "up-" + std::to_string (i + 1);
      node->upstream.open (base, ip.c_str ());
      eel_metrics_init (&node->metrics);
      config.header_names = &header_names;
      config.service = service;
      config.callers.sin_family = AF_INET;
      inet_pton (AF_INET, ip.c_str (), &config.callers.sin_addr);
      config.ip = config.callers.sin_addr;
      config.peers = config.callers;
      config.peers.sin_port = htons (peers);
      config.caps = config.peers;
      config.cap_tolerance = { 0.25, 20 };
      config.endpoint = node->upstream.address;
      config.retry_ratio = 0.2;
      config.retry_extra = 4 * count;
      config.retry_window_us = 10 * EEL_US_PER_S;
      if (!eel_relay_init (&node->relay, base, &config, &node->metrics))
        {
          nodes.push_back (std::move (node));
          return false;
        }
      // Longer than any test: the wall clock ends no hold.
      eel_quarantine_set_hold (&node->relay.quarantine, 60 * EEL_US_PER_S);
      getsockname (evconnlistener_get_fd (node->relay.callers.listener),
                   reinterpret_cast<struct sockaddr *> (&config.callers), &len);
      node->callers_port = ntohs (config.callers.sin_port);
      nodes.push_back (std::move (node));
    }
  return true;
}

void
relay_cluster::stop ()
{
  for (auto &node : nodes)
    {
      eel_relay_finish (&node->relay);
      eel_metrics_finish (&node->metrics);
    }
  nodes.clear ();
}

relay_cluster::~relay_cluster ()
{
  stop ();
  event_base_free (base);
}

void
relay_cluster::list_upstream (size_t node, uint32_t slots, bool ready)
{
  ++revision;
  for (size_t at = 0; at < nodes.size (); at++)
    list_upstream_at (at, node, nodes[node]->id, slots, ready);
}

void
relay_cluster::list_upstream_at (
    size_t at, size_t node, const std::string &id, uint32_t slots, bool ready)
{
  struct eel_instance instance = {};
  struct eel_relay *relay = &nodes[at]->relay;

  snprintf (instance.id, sizeof instance.id, "%s", id.c_str ());
  instance.state = ready ? EEL_INSTANCE_READY : EEL_INSTANCE_DRAINING;
  instance.revision = revision;
  instance.ip = nodes[node]->upstream.address.sin_addr.s_addr;
  instance.port = ntohs (nodes[node]->upstream.address.sin_port);
  instance.slots = slots;
  instance.service = relay->service;
  eel_directory_put (&relay->directory, &instance, eel_clock_us ());
  eel_relay_endpoints_changed (relay);
}

void
relay_cluster::set_routes (uint32_t timeout_ms, uint64_t max_body_bytes)
{
  const struct eel_server_limits limits
      = { 16384, max_body_bytes, EEL_US_PER_S, 10 * EEL_US_PER_S };

  for (auto &node : nodes)
    {
      auto *table = static_cast<struct eel_route_table *> (
          calloc (1, sizeof (struct eel_route_table)));
      struct eel_route_part only = { node->relay.service, 1, 0 };
      struct eel_route route = {};

      eel_route_table_init (table, ++revision);
      route.host = const_cast<char *> ("shop.example");
      route.attempts = 2;
      route.timeout_us = timeout_ms * EEL_US_PER_MS;
      route.target_us = timeout_ms * EEL_US_PER_MS / 2;
      route.parts = &only;
      route.part_count = 1;
      route.prefix = const_cast<char *> ("/safe/");
      route.idempotent = 1;
      route.rank = 2;
      eel_route_table_add (table, &route);
      route.prefix = const_cast<char *> ("/once/");
      route.idempotent = 0;
      route.rank = 0;
      eel_route_table_add (table, &route);
      eel_route_table_add_unserved (table, "shop.example", "/safe/unserved/");
      eel_route_table_seal (table, &node->relay.rng);
      eel_relay_set_routes (&node->relay, table, &limits);
    }
}

bool
relay_cluster::run_until (const std::function<bool ()> &done, int64_t limit_ms)
{
  int64_t deadline_us = eel_clock_us () + limit_ms * EEL_US_PER_MS;

  while (!done ())
    {
      if (eel_clock_us () > deadline_us)
        return false;
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (200);
    }
  return true;
}

void
relay_cluster::run_ms (int64_t ms)
{
  run_until ([] { return false; }, ms);
}

static void
client_read (struct bufferevent *bev, void *data)
{
  read_raw (bev, static_cast<raw_conn *> (data)->in);
}

static void
client_event (struct bufferevent *bev, short what, void *data)
{
  auto *conn = static_cast<raw_conn *> (data);

  (void)bev;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    conn->closed = true;
  if ((what & BEV_EVENT_ERROR) != 0)
    conn->reset = true;
}

std::unique_ptr<raw_conn>
relay_cluster::connect (size_t node)
{
  auto conn = std::make_unique<raw_conn> ();
  struct sockaddr_in addr = {};

  addr.sin_family = AF_INET;
  addr.sin_addr = nodes[node]->relay.config.ip;
  addr.sin_port = htons (nodes[node]->callers_port);
  conn->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (conn->bev, client_read, nullptr, client_event,
                     conn.get ());
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect (
      conn->bev, reinterpret_cast<struct sockaddr *> (&addr), sizeof addr);
  return conn;
}

static bool
answer_is_complete (const std::string &in)
{
  return in.find ("\r\n\r\n") != std::string::npos && request_bytes (in) > 0;
}

std::string
relay_cluster::send_request (const std::string &request, size_t node)
{
  auto conn = connect (node);

  raw_upstream::write (*conn, request);
  run_until ([&] { return conn->closed || answer_is_complete (conn->in); });
  bufferevent_free (conn->bev);
  return conn->in;
}
