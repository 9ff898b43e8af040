#include <gtest/gtest.h>
#include <set>
#include <vector>

extern "C"
{
#include "eelgrasslatch/routing.h"
}

static const int64_t MS = EEL_US_PER_MS;

// A sender with endpoints that reply after a fixed latency, in virtual time.
struct fake_sender
{
  struct eel_routing routing;
  std::vector<struct eel_endpoint> endpoints;
  struct eel_rng rng;
  int64_t now_us = 20 * EEL_US_PER_S;
  std::vector<int64_t> latency_us;
  std::vector<uint32_t> load_in_flight;
  std::vector<uint64_t> picked;

  explicit fake_sender (uint32_t count, uint32_t own_count)
      : endpoints (count), latency_us (count, 10 * MS),
        load_in_flight (count, 0), picked (count, 0)
  {
    struct eel_routing_config config
        = { 34, 3, 10 * EEL_US_PER_S, EEL_US_PER_S, 100, 20, 80 };

    eel_rng_init (&rng, 5);
    eel_routing_init (&routing, &config, endpoints.data (), count);
    for (uint32_t i = 0; i < count; i++)
      eel_routing_add (&routing, i, 1, i < own_count, 0);
  }

  // Sends one call and records its reply at once; returns the node, or -1 when
  // no endpoint may be used.
  int
  call (enum eel_reply_kind kind = EEL_REPLY_OK,
        enum eel_class klass = EEL_CLASS_LOOKUP)
  {
    struct eel_endpoint *endpoint
        = eel_routing_pick (&routing, klass, nullptr, 0, now_us, &rng);

    if (endpoint == nullptr)
      return -1;
    uint32_t node = endpoint->node;
    struct eel_load load = { load_in_flight[node], 0, 100, EEL_CLASS_COUNT, 0 };
    picked[node]++;
    eel_routing_sent (&routing, node, now_us);
    now_us += MS;
    eel_routing_replied (&routing, node, kind, &load, latency_us[node], now_us);
    return static_cast<int> (node);
  }

  void
  calls (int count)
  {
    for (int i = 0; i < count; i++)
      call ();
  }
};

// Guards against calls that leave the failure domain without need, and against
// an overloaded own domain while the others have room.
TEST (routing, own_domain_first_and_spill_by_load)
{
  fake_sender sender (6, 2);

  sender.calls (1000);
  EXPECT_EQ (sender.picked[0] + sender.picked[1], 1000u);
  sender.load_in_flight[0] = 95;
  sender.load_in_flight[1] = 95;
  sender.calls (1000);
  EXPECT_LT (sender.picked[0] + sender.picked[1], 1200u);
}

// Guards against a straggler that keeps its share of calls, or that stays
// ejected after it has recovered.
TEST (routing, straggler_is_ejected_within_a_few_requests_and_returns)
{
  fake_sender sender (3, 3);

  sender.calls (300);
  sender.latency_us[1] = 100 * MS;
  uint64_t before = sender.picked[1];
  sender.calls (2000);
  EXPECT_EQ (eel_routing_find (&sender.routing, 1)->state,
             EEL_ENDPOINT_EJECTED);
  EXPECT_LE (sender.picked[1] - before, 5u + 2000 / 100);
  sender.latency_us[1] = 10 * MS;
  sender.calls (500);
  EXPECT_EQ (eel_routing_find (&sender.routing, 1)->state, EEL_ENDPOINT_UP);
}

// Guards against ejecting so many endpoints that the rest is overloaded.
TEST (routing, ejected_share_is_bounded)
{
  struct
  {
    uint32_t count;
    uint32_t slow;
    uint32_t most;
  } cases[] = { { 1, 1, 0 }, { 2, 1, 1 }, { 3, 2, 2 }, { 9, 8, 4 } };

  for (const auto &c : cases)
    {
      fake_sender sender (c.count, c.count);
      uint32_t ejected = 0;

      sender.calls (300);
      for (int i = 0; i < 3000; i++)
        sender.call (eel_rng_below (&sender.rng, c.count) < c.slow
                         ? EEL_REPLY_FAILED
                         : EEL_REPLY_OK);
      for (const auto &endpoint : sender.endpoints)
        ejected += endpoint.state == EEL_ENDPOINT_EJECTED;
      EXPECT_LE (ejected, c.most) << c.count;
      EXPECT_GE (sender.call (), 0) << c.count;
    }
}

// Guards against ejections when a dependency of all endpoints is slow.
TEST (routing, common_slowness_ejects_no_endpoint)
{
  fake_sender sender (3, 3);

  sender.calls (300);
  for (auto &latency_us : sender.latency_us)
    latency_us = 100 * MS;
  sender.calls (3000);
  EXPECT_EQ (sender.routing.ejections, 0u);
}

// Guards against new calls to an endpoint that is leaving or down.
TEST (routing, leaving_and_down_endpoints_receive_nothing)
{
  for (enum eel_endpoint_state state :
       { EEL_ENDPOINT_LEAVING, EEL_ENDPOINT_DOWN })
    {
      fake_sender sender (2, 2);

      eel_routing_set_state (&sender.routing, 0, state, sender.now_us);
      sender.calls (500);
      EXPECT_EQ (sender.picked[0], 0u);
      eel_routing_set_state (&sender.routing, 1, state, sender.now_us);
      EXPECT_EQ (sender.call (), -1);
    }
}

// Guards against a cold endpoint that receives its full share at once.
TEST (routing, new_incarnation_ramps_up)
{
  fake_sender sender (3, 3);

  sender.calls (300);
  eel_routing_add (&sender.routing, 2, 2, 1, sender.now_us);
  uint64_t before = sender.picked[2];
  sender.calls (1000);
  EXPECT_LT (sender.picked[2] - before, 200u);
  sender.calls (9000);
  before = sender.picked[2];
  sender.calls (3000);
  EXPECT_GT (sender.picked[2] - before, 700u);
}

// Guards against hedges that multiply the load.
TEST (routing, hedges_stay_within_their_share)
{
  fake_sender sender (3, 3);
  uint64_t hedges = 0;

  for (int i = 0; i < 20000; i++)
    {
      sender.call ();
      if (eel_routing_hedge_delay_us (&sender.routing) >= 0)
        {
          eel_routing_hedged (&sender.routing);
          hedges++;
        }
    }
  EXPECT_LE (hedges, 20000 * 2 / 100 + 20u);
  EXPECT_GT (hedges, 300u);
}

// Guards against a membership change that reshuffles whole subsets.
TEST (routing, subset_moves_only_the_changed_member)
{
  std::vector<struct eel_subset_node> nodes;
  for (uint32_t i = 0; i < 60; i++)
    nodes.push_back ({ i * 17 + 3, static_cast<uint8_t> (i % 3 == 0) });

  for (uint32_t self = 0; self < 50; self++)
    {
      uint32_t out[12];
      uint32_t after[12];
      ASSERT_EQ (
          eel_subset_choose (self, nodes.data (), nodes.size (), 8, 4, out, 12),
          12u);
      uint32_t removed = nodes[out[self % 12]].node;
      std::set<uint32_t> before;
      for (uint32_t index : out)
        before.insert (nodes[index].node);
      std::vector<struct eel_subset_node> rest;
      for (const auto &node : nodes)
        if (node.node != removed)
          rest.push_back (node);
      size_t count = eel_subset_choose (self, rest.data (), rest.size (), 8, 4,
                                        after, 12);
      size_t kept = 0;
      for (size_t i = 0; i < count; i++)
        kept += before.count (rest[after[i]].node);
      EXPECT_EQ (kept, 11u) << self;
    }
}

// Guards against ejecting the endpoint whose queue fills first in an overload.
TEST (routing, an_endpoint_with_a_queue_is_not_a_straggler)
{
  fake_sender sender (3, 3);
  struct eel_load full = { 100, 190, 100, EEL_CLASS_COUNT, 0 };

  sender.calls (300);
  for (int i = 0; i < 500; i++)
    {
      sender.call ();
      eel_routing_sent (&sender.routing, 0, sender.now_us);
      eel_routing_replied (&sender.routing, 0, EEL_REPLY_OK, &full, 40 * MS,
                           sender.now_us);
    }
  EXPECT_EQ (sender.routing.ejections, 0u);
}
