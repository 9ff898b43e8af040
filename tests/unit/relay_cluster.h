#ifndef EEL_TESTS_RELAY_CLUSTER_H
#define EEL_TESTS_RELAY_CLUSTER_H

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "internal/task.h"
#include "relay/relay.h"
}

struct raw_conn
{
  struct bufferevent *bev;
  std::string in;
  bool closed = false;
  bool reset = false;
};

// An upstream that passes each complete request to the test's answer function,
// which writes raw bytes.
struct raw_upstream
{
  struct evconnlistener *listener = nullptr;
  struct sockaddr_in address = {};
  std::vector<std::unique_ptr<raw_conn>> conns;
  std::vector<std::string> requests;
  std::function<void (raw_upstream &, raw_conn &, const std::string &)> answer;
  size_t closed_by_peer = 0;
  // Whether new connections are read from.
  bool reads = true;

  void open (struct event_base *base, const char *ip, uint16_t port = 0);
  ~raw_upstream ();
  void close_all ();
  static void write (raw_conn &conn, const std::string &bytes);
  // Sends the last bytes, then ends or resets the connection.
  static void end (raw_conn &conn, bool reset, const std::string &last = "");
};

struct relay_node
{
  struct eel_relay relay;
  struct eel_metrics metrics;
  raw_upstream upstream;
  std::string id;
  uint16_t callers_port;
};

// Nodes at 127.0.0.1, 127.0.0.2 and so on, each with an upstream.
struct relay_cluster
{
  struct event_base *base = event_base_new ();
  std::vector<std::unique_ptr<relay_node>> nodes;
  uint64_t revision = 0;

  explicit relay_cluster (size_t count, const char *service = "shop");
  ~relay_cluster ();
  // Starts the nodes; false when another socket has taken a port.
  bool start (size_t count, const char *service);
  void stop ();
  // Puts the upstream of a node into every directory, as "up-N".
  void list_upstream (size_t node, uint32_t slots = 10, bool ready = true);
  // Puts an endpoint at a node's upstream into the directory of one node only.
  void list_upstream_at (size_t at,
                         size_t node,
                         const std::string &id,
                         uint32_t slots = 10,
                         bool ready = true);
  // Sets the routes /safe/ (idempotent), /once/ (not idempotent) and
  // /safe/unserved/, which is invalid.
  void set_routes (uint32_t timeout_ms = 2000,
                   uint64_t max_body_bytes = 1024 * 1024);
  bool run_until (const std::function<bool ()> &done, int64_t limit_ms = 8000);
  void run_ms (int64_t ms);
  std::unique_ptr<raw_conn> connect (size_t node = 0);
  // Sends one request on a new connection and returns the answer.
  std::string send_request (const std::string &request, size_t node = 0);
};

std::string request_text (const std::string &method,
                          const std::string &target,
                          const std::string &id,
                          const std::string &lines = "",
                          const std::string &body = "");
// An answer that carries the id of the request.
std::string answer_text (const std::string &request,
                         const std::string &body,
                         const std::string &status = "200 OK",
                         const std::string &lines = "");
// Returns the length of the first request in the text, 0 if it is incomplete.
size_t request_bytes (const std::string &in);
std::string field_of (const std::string &message, const std::string &name);
std::string status_of (const std::string &answer);
std::string body_of (const std::string &answer);

#endif
