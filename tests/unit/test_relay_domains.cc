#include "relay_cluster.h"

#include <gtest/gtest.h>

// Requests enter at node 0, whose endpoint is at home; that of node 1 is in
// another failure domain.  Endpoints answer when the test lets them.
struct relay_domains_test : public ::testing::Test
{
  relay_cluster cluster{ 2 };
  std::vector<std::unique_ptr<raw_conn>> conns;
  bool home_answers = true;

  relay_domains_test ()
  {
    cluster.set_routes ();
    for (size_t i = 0; i < 2; i++)
      {
        cluster.list_upstream (i, 2);
        cluster.nodes[i]->upstream.answer
            = [this, i] (raw_upstream &, raw_conn &conn,
                         const std::string &request) {
                if (i == 1 || home_answers)
                  raw_upstream::write (conn, answer_text (request, "a"));
              };
      }
    struct eel_relay &relay = cluster.nodes[0]->relay;

    relay.config.domain_flow = { 1, 0.001 };
    eel_domain_flow_init (&relay.domain_flow, &relay.config.domain_flow);
    eel_directory_find (&relay.directory, cluster.nodes[0]->id.c_str ())
        ->same_domain
        = 1;
    eel_directory_find (&relay.directory, cluster.nodes[1]->id.c_str ())->domain
        = 1;
    eel_directory_find (&relay.directory, cluster.nodes[1]->id.c_str ())
        ->same_domain
        = 0;
  }

  ~relay_domains_test ()
  {
    for (auto &conn : conns)
      bufferevent_free (conn->bev);
  }

  void
  send (size_t count)
  {
    for (size_t i = 0; i < count; i++)
      {
        conns.push_back (cluster.connect ());
        raw_upstream::write (
            *conns.back (),
            request_text ("GET", "/safe/",
                          "d" + std::to_string (conns.size ())));
      }
  }

  size_t
  answered () const
  {
    size_t count = 0;

    for (const auto &conn : conns)
      count += status_of (conn->in) == "200";
    return count;
  }

  uint64_t
  left ()
  {
    const struct eel_domain_traffic &traffic
        = cluster.nodes[0]->relay.domain_traffic;
    uint64_t sum = 0;

    for (uint32_t i = 0; i < traffic.count; i++)
      for (const auto *metric : traffic.rows[i].requests)
        sum += metric->value;
    return sum;
  }
};

TEST_F (relay_domains_test, NothingLeavesWhileHomeHasRoom)
{
  for (int i = 0; i < 5; i++)
    {
      send (1);
      ASSERT_TRUE (
          cluster.run_until ([&] { return answered () == conns.size (); }));
    }
  EXPECT_EQ (left (), 0U);
  EXPECT_TRUE (cluster.nodes[1]->upstream.requests.empty ());
}

// What home refuses is served by the other domain at once, and counted with its
// bytes.
TEST_F (relay_domains_test, WhatHomeRefusesIsServedElsewhere)
{
  struct eel_relay &relay = cluster.nodes[0]->relay;

  home_answers = false;
  relay.gate.hold_us = 1500.0 * EEL_US_PER_MS;
  send (8);
  ASSERT_TRUE (cluster.run_until ([&] { return answered () >= 4; }));
  EXPECT_GE (left (), 4U);
  EXPECT_GE (cluster.nodes[1]->upstream.requests.size (), 4U);
  EXPECT_EQ (cluster.nodes[0]->upstream.requests.size (), 1U);
  ASSERT_GT (relay.domain_traffic.count, 0U);
  for (const auto *metric :
       { relay.domain_traffic.rows[0].bytes[EEL_TRAFFIC_REQUEST_HEAD],
         relay.domain_traffic.rows[0].bytes[EEL_TRAFFIC_ANSWER_HEAD],
         relay.domain_traffic.rows[0].bytes[EEL_TRAFFIC_ANSWER_BODY] })
    EXPECT_GT (metric->value, 0U);
  // The same by the domain that they went to.
  const struct eel_traffic_domain &sent = relay.domain_traffic.domains[1];
  uint64_t bytes = 0;

  for (const auto *metric : relay.domain_traffic.rows[0].bytes)
    bytes += metric->value;
  ASSERT_NE (sent.requests, nullptr);
  EXPECT_EQ (sent.requests->value, left ());
  EXPECT_EQ (sent.bytes->value, bytes);
  EXPECT_EQ (relay.domain_traffic.domains[2].requests, nullptr);
}

// Domains without a number share the last row.
TEST_F (relay_domains_test, CountsByDomainAreBounded)
{
  char *const names[EEL_DOMAINS_MAX] = { nullptr, strdup ("east \"1\"") };
  struct eel_metrics metrics;
  struct eel_domain_traffic traffic;

  eel_metrics_init (&metrics);
  eel_domain_traffic_init (&traffic, &metrics, names);
  for (int domain = 1; domain <= EEL_ANY_DOMAIN; domain++)
    eel_domain_traffic_request (&traffic, "shop", (uint8_t)domain,
                                EEL_LEAVE_USE, 0);
  EXPECT_EQ (traffic.domains[1].requests->value, 1U);
  EXPECT_STREQ (traffic.domains[1].requests->labels, "domain=\"east__1_\"");
  EXPECT_STREQ (traffic.domains[2].requests->labels, "domain=\"2\"");
  EXPECT_EQ (traffic.domains[EEL_DOMAINS_MAX].requests->value,
             (uint64_t)(EEL_ANY_DOMAIN - EEL_DOMAINS_MAX + 1));
  eel_metrics_finish (&metrics);
  free (names[1]);
}

// The node of the other domain refuses guests for whom it has no slot soon, and
// none of them has run.
TEST_F (relay_domains_test, FullDomainRefusesGuests)
{
  struct eel_relay &relay = cluster.nodes[0]->relay;
  struct eel_relay &other = cluster.nodes[1]->relay;

  home_answers = false;
  relay.gate.hold_us = 1500.0 * EEL_US_PER_MS;
  other.gate.hold_us = 1500.0 * EEL_US_PER_MS;
  other.gate.running = other.gate.limit;
  send (6);
  ASSERT_TRUE (cluster.run_until ([&] {
    size_t refused = 0;

    for (const auto &conn : conns)
      refused += status_of (conn->in) == "503";
    return refused >= 4;
  }));
  EXPECT_TRUE (cluster.nodes[1]->upstream.requests.empty ());
  EXPECT_GE (other.gate.refused, 4U);
}

// Guards against a service's name that breaks the page of metrics.
TEST (DomainTraffic, NamesInLabelsAreEscaped)
{
  char *const names[EEL_DOMAINS_MAX] = {};
  struct eel_domain_traffic traffic;
  struct eel_metrics metrics;
  std::string text;
  size_t bytes = 0;
  char *page;

  eel_metrics_init (&metrics);
  eel_domain_traffic_init (&traffic, &metrics, names);
  for (const char *name : { "a\"} 7\n", "b\\" })
    eel_domain_traffic_request (&traffic, name, 1, EEL_LEAVE_NO_ENDPOINT, 1);
  eel_domain_traffic_request (&traffic, std::string (63, '"').c_str (), 1,
                              EEL_LEAVE_NO_ENDPOINT, 1);
  page = eel_metrics_render (&metrics, &bytes);
  text.assign (page, bytes);
  free (page);
  eel_metrics_finish (&metrics);
  EXPECT_NE (text.find (R"({service="a\"} 7?"} 1)"), std::string::npos) << text;
  EXPECT_NE (text.find (R"({service="b\\"} 1)"), std::string::npos) << text;
  for (size_t at = 0; (at = text.find ('{', at)) != std::string::npos; at++)
    {
      size_t end = text.find ('\n', at);

      EXPECT_EQ (text.substr (text.rfind ('}', end) - 1, 2), "\"}")
          << text.substr (at, end - at);
    }
}
