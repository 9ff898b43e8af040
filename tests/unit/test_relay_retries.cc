#include "relay_cluster.h"

#include <gtest/gtest.h>

extern "C"
{
#include "relay/conn.h"
}

namespace
{

// A run makes its calls, one after the other, on a connection of its endpoint.
class calls_of_runs : public testing::Test
{
protected:
  calls_of_runs ()
  {
    m_cluster.list_upstream (0);
    m_cluster.set_routes ();
    m_cluster.nodes[0]->upstream.answer
        = [this] (raw_upstream &, raw_conn &conn, const std::string &request) {
            raw_upstream::write (
                conn, m_sheds
                          ? answer_text (request, "", "503 Service Unavailable",
                                         "Not-Run: 1\r\n")
                          : answer_text (request, "served"));
          };
    m_conn = m_cluster.connect ();
  }

  ~calls_of_runs () override
  {
    bufferevent_free (m_conn->bev);
  }

  // Returns how often the call arrives at the endpoint.
  size_t
  call (bool is_first)
  {
    std::vector<std::string> &requests = m_cluster.nodes[0]->upstream.requests;

    // A test can't send the next call within a millisecond for sure.
    if (m_relay.callers.conns != nullptr)
      m_relay.callers.conns->chain.answered_us
          = is_first ? 0 : eel_clock_us () + EEL_US_PER_S;
    requests.clear ();
    m_conn->in.clear ();
    raw_upstream::write (*m_conn, request_text ("GET", "/safe/x", "r"));
    EXPECT_TRUE (m_cluster.run_until (
        [this] { return m_conn->in.find ("\r\n\r\n") != std::string::npos; }));
    return requests.size ();
  }

  void
  run (int calls)
  {
    for (int i = 0; i < calls; i++)
      EXPECT_EQ (call (i == 0), 1u);
  }

  // Makes those that need one call want more than all retries.
  void
  crowd ()
  {
    struct eel_retry_order *order;
    uint32_t service = m_relay.service;

    ASSERT_EQ (eel_service_retries_in_order (&m_relay.retries, service, 0, 1,
                                             1000, eel_clock_us ()),
               1);
    order = m_relay.retries.slots[service].order;
    order->interval_end_us = eel_clock_us () + 1000 * EEL_US_PER_S;
    for (uint32_t i = 0; i < EEL_RETRY_ORDER_RANKS; i++)
      order->mean_milli[i * EEL_RETRY_ORDER_NEEDED_MAX] = 0;
    order->mean_milli[m_rank * EEL_RETRY_ORDER_NEEDED_MAX] = 1e9;
  }

  relay_cluster m_cluster{ 1 };
  struct eel_relay &m_relay = m_cluster.nodes[0]->relay;
  std::unique_ptr<raw_conn> m_conn;
  bool m_sheds = false;
  // Of the route /safe/.
  uint32_t m_rank = 2;
};

}

// Guards against retries for a run that needs many more calls while there are
// too few for those that need one.
TEST_F (calls_of_runs, NearestToTheirEndGetTheRetries)
{
  m_relay.config.retries_by_finish = 1;
  run (4);
  run (4);
  crowd ();
  m_sheds = true;
  EXPECT_EQ (call (true), 1u);
  m_sheds = false;
  run (3);
  m_sheds = true;
  EXPECT_GE (call (false), 2u);
}

TEST_F (calls_of_runs, FirstComeGetTheRetriesByDefault)
{
  run (4);
  run (4);
  crowd ();
  m_sheds = true;
  EXPECT_GE (call (true), 2u);
}

// Guards against a fixed number of retries that each of hundreds of nodes takes
// for its own: the bound is for all nodes together.
TEST (RelayRetries, NodesShareTheFixedRetriesOfAWindow)
{
  relay_cluster cluster (4);
  struct eel_relay &relay = cluster.nodes[0]->relay;
  double before;

  for (size_t node = 1; node < 3; node++)
    cluster.list_upstream (node);
  before = relay.retries.extra;
  EXPECT_DOUBLE_EQ (2 * before, relay.config.retry_extra);
  cluster.list_upstream (3);
  EXPECT_DOUBLE_EQ (3 * relay.retries.extra, relay.config.retry_extra);
}
