#include "relay_cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>

// A caller that reads at its own pace, through a small window.
struct slow_caller
{
  int fd = -1;
  std::string in;

  slow_caller (const relay_node &node, const std::string &request)
  {
    struct sockaddr_in address = {};
    int bytes = 2048;

    fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    address.sin_family = AF_INET;
    address.sin_addr = node.relay.config.ip;
    address.sin_port = htons (node.callers_port);
    connect (fd, reinterpret_cast<struct sockaddr *> (&address),
             sizeof address);
    fcntl (fd, F_SETFL, O_NONBLOCK);
    send (fd, request.data (), request.size (), 0);
  }

  ~slow_caller ()
  {
    close (fd);
  }

  // Reads what is there; false when the connection has ended.
  bool
  read_some (size_t most)
  {
    std::string piece (most, 0);
    ssize_t got = recv (fd, &piece[0], most, 0);

    if (got > 0)
      in.append (piece, 0, (size_t)got);
    return got > 0 || (got < 0 && errno == EAGAIN);
  }

  bool
  has_body (size_t bytes) const
  {
    size_t head = in.find ("\r\n\r\n");

    return head != std::string::npos && in.size () - head - 4 == bytes;
  }
};

// Longer than TCP needs to find an unreachable peer, much shorter than the time
// limit of the requests.
#define STALL_MS 5000
#define UPLOAD_STALL_MS 3000
#define LIMIT_MS 30000

// A request that its caller waits for until LIMIT_MS.
static std::string
patient_request (const std::string &target,
                 const std::string &id,
                 const std::string &body = "")
{
  std::string text = request_text ("POST", target, id, "", body);
  const std::string left = "Left-Ms: 5000";

  return text.replace (text.find (left), left.size (),
                       "Left-Ms: " + std::to_string (LIMIT_MS));
}

struct slow_test : public ::testing::Test
{
  relay_cluster cluster{ 2 };

  slow_test ()
  {
    cluster.list_upstream (1);
    cluster.set_routes (LIMIT_MS, 64 * 1024 * 1024);
  }
};

// Guards against callers who lose the answer of a request that has run because
// they read it slowly (review/5).
TEST_F (slow_test, CallersThatReadNothingForSecondsGetTheWholeAnswer)
{
  const size_t sizes[] = { 100, 30000, 300000, 3000000 };
  std::vector<std::unique_ptr<slow_caller>> callers;
  bool open = true;

  cluster.nodes[1]->upstream.answer = [&] (raw_upstream &, raw_conn &conn,
                                           const std::string &request) {
    size_t at = request.find ("/once/") + 6;

    raw_upstream::write (
        conn,
        answer_text (request,
                     std::string (std::stoul (request.substr (at)), 'a')));
  };
  for (size_t node : { 0, 1 })
    for (size_t size : sizes)
      callers.push_back (std::make_unique<slow_caller> (
          *cluster.nodes[node],
          patient_request ("/once/" + std::to_string (size),
                           "r" + std::to_string (callers.size ()))));
  cluster.run_ms (STALL_MS);
  cluster.run_until (
      [&] {
        for (auto &caller : callers)
          open = caller->read_some (65536) && open;
        for (size_t i = 0; i < callers.size (); i++)
          if (!callers[i]->has_body (sizes[i % 4]))
            return !open;
        return true;
      },
      LIMIT_MS - STALL_MS);
  for (size_t i = 0; i < callers.size (); i++)
    EXPECT_TRUE (callers[i]->has_body (sizes[i % 4]))
        << i << " " << callers[i]->in.size ();
}

// Guards against requests that are cut off between two nodes because the
// endpoint reads a long body slowly.
TEST_F (slow_test, EndpointsThatReadNothingForSecondsGetTheWholeBody)
{
  // More than the buffers of the kernel on the way hold.
  const size_t body_bytes = 24 * 1024 * 1024;
  const int window_bytes = 16384;
  raw_upstream &upstream = cluster.nodes[1]->upstream;
  auto conn = cluster.connect (0);

  upstream.reads = false;
  setsockopt (evconnlistener_get_fd (upstream.listener), SOL_SOCKET, SO_RCVBUF,
              &window_bytes, sizeof window_bytes);
  upstream.answer = [] (raw_upstream &, raw_conn &upstream_conn,
                        const std::string &request) {
    raw_upstream::write (
        upstream_conn,
        answer_text (request, std::to_string (body_of (request).size ())));
  };
  raw_upstream::write (
      *conn, patient_request ("/once/x", "r1", std::string (body_bytes, 'b')));
  cluster.run_ms (UPLOAD_STALL_MS);
  ASSERT_EQ (upstream.conns.size (), 1u);
  bufferevent_enable (upstream.conns[0]->bev, EV_READ);
  EXPECT_TRUE (cluster.run_until (
      [&] { return body_of (conn->in) == std::to_string (body_bytes); },
      LIMIT_MS - UPLOAD_STALL_MS))
      << conn->in.substr (0, 200);
  bufferevent_free (conn->bev);
}

// Guards against an answer that has begun, stops halfway and is never ended by
// the node beside the endpoint.
TEST_F (slow_test, AnswersThatStopHalfwayEnd)
{
  std::vector<std::unique_ptr<raw_conn>> callers;

  cluster.set_routes (500);
  cluster.nodes[1]->upstream.answer
      = [] (raw_upstream &, raw_conn &conn, const std::string &request) {
          std::string whole = answer_text (request, std::string (200000, 'a'));

          raw_upstream::write (conn, whole.substr (0, 100000));
        };
  for (size_t node : { 0, 1 })
    {
      callers.push_back (cluster.connect (node));
      raw_upstream::write (
          *callers.back (),
          request_text ("GET", "/safe/x", "r" + std::to_string (node)));
    }
  EXPECT_TRUE (cluster.run_until (
      [&] { return callers[0]->closed && callers[1]->closed; }, 3000));
  for (auto &node : cluster.nodes)
    {
      EXPECT_EQ (node->relay.callers.conn_count, 0u);
      EXPECT_EQ (node->relay.gate.running, 0u);
    }
  for (auto &caller : callers)
    {
      EXPECT_LT (body_of (caller->in).size (), 200000u);
      bufferevent_free (caller->bev);
    }
}
