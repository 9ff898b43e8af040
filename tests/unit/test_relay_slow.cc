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

// Longer than TCP needs to find an unreachable peer, shorter than the time
// limit of the requests.
#define STALL_MS 5000
#define LIMIT_MS 8000

struct slow_test : public ::testing::Test
{
  relay_cluster cluster{ 2 };

  slow_test ()
  {
    cluster.list_upstream (1);
    cluster.set_routes (LIMIT_MS);
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
          request_text ("POST", "/once/" + std::to_string (size),
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
