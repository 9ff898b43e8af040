#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "domain_load.h"

namespace
{
using plan = domain_load::plan;

constexpr int64_t MS = EEL_US_PER_MS;

struct outcome
{
  double in_time = 0;
  double served = 0;
  double refused_with_room = 0;
  double left = 0;
  double left_in_vain = 0;
  double bytes = 0;
};

outcome
play (const plan &plan, rule rule, uint64_t seed, double cost = 0.001)
{
  domain_load load (plan, rule, seed, cost);
  outcome result;

  load.run ();
  const auto &counts = load.counts;
  double requests = counts.requests;

  EXPECT_EQ (counts.served + counts.refused, counts.requests) << plan.name;
  result.in_time = counts.in_time / requests;
  result.served = counts.served / requests;
  result.refused_with_room = counts.refused_with_room / requests;
  result.left = counts.left / requests;
  result.left_in_vain = counts.left_in_vain / requests;
  result.bytes = (double)counts.bytes;
  return result;
}

class DomainFlowPlans : public ::testing::TestWithParam<plan>
{
};

// Share of a domain's requests that left in each second.
std::vector<double>
left_shares (const domain_load &load, uint32_t domain, size_t from, size_t to)
{
  std::vector<double> shares;

  for (size_t s = from; s < to; s++)
    shares.push_back ((double)load.counts.left_by_s[domain][s]
                      / std::max (1U, load.counts.sent_by_s[domain][s]));
  return shares;
}
}

// As many in time as by senders that know everything, but for 3 in 100; nothing
// leaves while home could start it within half of the time that it has, nothing
// is refused while an endpoint has a free slot.
TEST_P (DomainFlowPlans, ServesWhatOneThatKnowsEverythingServes)
{
  for (uint64_t seed = 1; seed <= 2; seed++)
    {
      outcome use = play (GetParam (), rule::USE, seed);
      outcome flow = play (GetParam (), rule::FLOW, seed);
      outcome best = play (GetParam (), rule::KNOWS_ALL, seed);

      printf ("%s: in time %.4f (by use %.4f, knowing all %.4f), left %.4f "
              "(%.4f, %.4f), MB %.1f (%.1f, %.1f), in vain %.4f (%.4f)\n",
              GetParam ().name, flow.in_time, use.in_time, best.in_time,
              flow.left, use.left, best.left, flow.bytes / 1e6, use.bytes / 1e6,
              best.bytes / 1e6, flow.left_in_vain, use.left_in_vain);
      EXPECT_GE (flow.in_time, best.in_time - 0.03) << seed;
      EXPECT_GE (flow.served, best.served - 0.03) << seed;
      EXPECT_LT (flow.left_in_vain, 0.01) << seed;
      EXPECT_LT (flow.refused_with_room, 0.005) << seed;
      EXPECT_LE (flow.bytes, use.bytes) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P (
    Plans,
    DomainFlowPlans,
    ::testing::Values (
        plan{ "room at home", 0.5, 0.55, 1 * MS, 0, 0, 0, 30, 3, 0 },
        plan{ "way of 0.5 ms", 0.8, 0.55, 500, 0, 0, 0, 45, 3, 0 },
        plan{ "way of 5 ms", 0.8, 0.55, 5 * MS, 0, 0, 0, 45, 3, 0 },
        plan{ "way of 20 ms", 0.8, 0.55, 20 * MS, 0, 0, 0, 45, 3, 0 },
        plan{ "nearly full", 0.95, 0.55, 1 * MS, 0, 0, 0, 45, 3, 0 },
        plan{ "reports 0.2 s late", 0.8, 0.55, 1 * MS, 200 * MS, 0, 0, 45, 3,
              0 },
        plan{ "reports 1 s late", 0.8, 0.55, 1 * MS, 1000 * MS, 0, 0, 45, 3,
              0 },
        plan{ "reports 2 s late", 0.8, 0.55, 1 * MS, 2000 * MS, 0, 0, 45, 3,
              0 },
        plan{ "half of the reports lost", 0.8, 0.55, 1 * MS, 0, 0.5, 0, 45, 3,
              0 },
        plan{ "endpoints lose half", 0.6, 0, 1 * MS, 0, 0, 0.5, 30, 3, 0 },
        plan{ "all full", 1.3, 0, 1 * MS, 0, 0, 0, 20, 3, 0 },
        plan{ "cut off at 20 s", 0.8, 0.55, 1 * MS, 0, 0, 0, 45, 3, 20 }));

// With one domain the choices are those of the place module.
TEST (DomainFlow, OneDomainIsServedAsWithoutIt)
{
  const plan one = { "one domain", 0.8, 0.55, 1 * MS, 0, 0, 0, 30, 1, 0 };
  domain_load use (one, rule::USE, 3);
  domain_load flow (one, rule::FLOW, 3);

  use.run ();
  flow.run ();
  EXPECT_EQ (flow.counts.latencies_us, use.counts.latencies_us);
  EXPECT_EQ (flow.counts.refused, use.counts.refused);
  EXPECT_EQ (flow.counts.left, 0U);
}

// Full domains send each other little, and an unlucky few at most get through.
TEST (DomainFlow, FullDomainsKeepTheirOwn)
{
  const plan full = { "all full", 1.3, 0, 1 * MS, 0, 0, 0, 20, 3, 0 };
  outcome use = play (full, rule::USE, 4);
  outcome flow = play (full, rule::FLOW, 4);

  EXPECT_LT (flow.bytes, 0.02 * use.bytes);
  EXPECT_GE (flow.served, use.served - 0.005);
}

// The amount that leaves a domain with lasting lack of slots stays near its
// mean, the others send nothing.
TEST (DomainFlow, AmountDoesNotSwing)
{
  const plan lasting = { "lasting", 0.8, 0, 1 * MS, 0, 0, 0.5, 40, 3, 0 };
  domain_load load (lasting, rule::FLOW, 1);

  load.run ();
  std::vector<double> shares = left_shares (load, 0, 24, 40);
  double mean = 0;
  uint32_t turns = 0;

  for (size_t i = 0; i < shares.size (); i++)
    {
      mean += shares[i] / (double)shares.size ();
      if (i >= 2
          && (shares[i] - shares[i - 1]) * (shares[i - 1] - shares[i - 2]) < 0)
        turns++;
    }
  printf ("left %.3f in the mean, %.3f to %.3f, %u turns in 16 s\n", mean,
          *std::min_element (shares.begin (), shares.end ()),
          *std::max_element (shares.begin (), shares.end ()), turns);
  EXPECT_GT (mean, 0.1);
  EXPECT_LT (*std::max_element (shares.begin (), shares.end ()), 2 * mean);
  EXPECT_GT (*std::min_element (shares.begin (), shares.end ()), 0.5 * mean);
  for (uint32_t domain = 1; domain < 3; domain++)
    for (double share : left_shares (load, domain, 0, 40))
      EXPECT_LT (share, 0.01);
}

// Once nothing passes to other domains, what is sent there ends within the age
// of the reports; probes remain.
TEST (DomainFlow, CutEndsWhatIsSent)
{
  const plan cut = { "cut", 0.8, 0, 1 * MS, 0, 0, 0.5, 40, 3, 30 };
  domain_load load (cut, rule::FLOW, 1);

  load.run ();
  std::vector<double> before = left_shares (load, 0, 24, 30);
  std::vector<double> after = left_shares (load, 0, 33, 40);

  EXPECT_GT (before[0], 0.05);
  for (double share : after)
    EXPECT_LT (share, 0.5 * before[0]);
}

// Large answers stay at home before small ones.
TEST (DomainFlow, CostKeepsLargeAnswersAtHome)
{
  const plan lack = { "lack", 0.8, 0, 1 * MS, 0, 0, 0.5, 30, 3, 0 };
  outcome cheap = play (lack, rule::FLOW, 1, 0);
  outcome dear = play (lack, rule::FLOW, 1, 0.05);

  printf ("free way: left %.4f, %.1f MB; 0.05 a kilobyte: left %.4f, %.1f MB\n",
          cheap.left, cheap.bytes / 1e6, dear.left, dear.bytes / 1e6);
  EXPECT_LT (dear.bytes, 0.5 * cheap.bytes);
}

namespace
{
// A sender that knows an endpoint in each of three domains, e0 at home, and
// there a further one, e3.
struct one_sender : public ::testing::Test
{
  struct eel_instance storage[4];
  struct eel_directory directory;
  std::unique_ptr<struct eel_domain_flow> flow
      = std::make_unique<struct eel_domain_flow> ();
  struct eel_flow_request request = {};
  struct eel_rng rng;

  one_sender ()
  {
    const struct eel_domain_flow_config config = { 1, 0.001 };

    eel_rng_init (&rng, 1);
    eel_domain_flow_init (flow.get (), &config);
    eel_directory_init (&directory, storage, 4);
    request.target_us = 2 * EEL_US_PER_S;
    for (uint32_t i = 0; i < 4; i++)
      {
        struct eel_instance instance = {};

        snprintf (instance.id, sizeof instance.id, "e%u", i);
        instance.revision = 1;
        instance.ip = i + 1;
        instance.slots = 10;
        instance.domain = (uint8_t)(i % 3);
        instance.same_domain = i % 3 == 0;
        eel_directory_put (&directory, &instance, 0);
      }
  }

  uint8_t
  choose (const char *const *tried = nullptr, uint32_t tried_count = 0)
  {
    struct eel_place_query query = {};

    query.tried = tried;
    query.tried_count = tried_count;
    return eel_domain_flow_choose (flow.get (), &directory, &query, &request,
                                   EEL_US_PER_S, &rng);
  }

  // Answers from every endpoint, of which so many in a hundred shed.
  void
  answer (uint32_t endpoint, uint32_t shed_percent)
  {
    struct eel_instance_report report = {};

    report.use_milli = 100;
    report.hold_us = 50000;

    for (uint32_t i = 0; i < 200; i++)
      {
        bool is_shed = i * 37 % 100 < shed_percent;

        eel_place_answered (&storage[endpoint], &report, EEL_US_PER_S);
        if (is_shed)
          eel_place_shed (&storage[endpoint]);
        eel_domain_flow_outcome (flow.get (), 0, (uint8_t)(endpoint % 3),
                                 is_shed);
      }
  }

  // Number of 1000 requests that leave.
  uint32_t
  leaving ()
  {
    uint32_t count = 0;

    for (int i = 0; i < 1000; i++)
      count += choose () != EEL_HOME_DOMAIN;
    return count;
  }
};
}

// A domain whose endpoints are all unreachable may use any other; one that only
// refuses offers its requests to three others at most.
TEST_F (one_sender, HomeWithoutEndpointsGoesAnywhere)
{
  const char *const tried[] = { "e0", "e3", "e1", "e2" };

  EXPECT_EQ (choose (), EEL_HOME_DOMAIN);
  eel_place_failed (eel_directory_find (&directory, "e0"), EEL_US_PER_S);
  EXPECT_EQ (choose (), EEL_HOME_DOMAIN);
  eel_place_failed (eel_directory_find (&directory, "e3"), EEL_US_PER_S);
  EXPECT_EQ (choose (), EEL_ANY_DOMAIN);
  request.refusals = 2;
  EXPECT_LE (choose (tried, 2), 2);
  EXPECT_EQ (choose (tried, 4), EEL_NO_DOMAIN);
}

// One endpoint at home has no other beside it that could take what it refuses:
// the endpoints of such a service are chosen from all domains.
TEST_F (one_sender, ServiceWithOneEndpointAtHomeIsPlacedInAllDomains)
{
  EXPECT_EQ (choose (), EEL_HOME_DOMAIN);
  eel_directory_remove (&directory, "e3", 2, EEL_US_PER_S);
  EXPECT_EQ (choose (), EEL_ANY_DOMAIN);
  // By use, also where endpoints are compared by the end of the run: e0 is idle
  // and slow, the others are fast and nearly full.
  for (uint32_t endpoint = 0; endpoint < 3; endpoint++)
    {
      struct eel_instance_report report = {};

      report.use_milli = endpoint == 0 ? 0 : 850;
      report.hold_us = 50000;
      report.speed_milli = endpoint == 0 ? 100 : 1000;
      report.run_us = endpoint == 0 ? 40000 : 20000;
      report.route = 7;
      eel_place_answered (&storage[endpoint], &report, EEL_US_PER_S);
    }
  struct eel_place_query query = {};
  uint8_t is_guest = 1;

  query.by_finish = 1;
  query.route = 7;
  EXPECT_STREQ (eel_domain_flow_pick (flow.get (), &directory, &query, &request,
                                      EEL_US_PER_S, &rng, &is_guest)
                    ->id,
                "e0");
  EXPECT_EQ (is_guest, 0);
}

// The entry that an endpoint on the same VM has replaced stays listed until its
// lease ends; it is no second endpoint at home.
TEST_F (one_sender, ReplacedEntryIsNoSecondEndpointAtHome)
{
  eel_directory_find (&directory, "e3")->ip
      = eel_directory_find (&directory, "e0")->ip;
  EXPECT_EQ (choose (), EEL_ANY_DOMAIN);
}

// Requests leave endpoints that shed them for those that don't, but stay where
// all domains shed the same.
TEST_F (one_sender, LeavesShedRequestsOnlyForWhoShedsLess)
{
  answer (0, 50);
  answer (3, 50);
  answer (1, 0);
  answer (2, 0);
  EXPECT_GT (leaving (), 300U);
  answer (1, 50);
  answer (2, 50);
  EXPECT_LT (leaving (), 100U);
  answer (0, 0);
  answer (3, 0);
  EXPECT_EQ (leaving (), 0U);
}

// The service that was unused for longest gives way; routes beyond the table
// are counted and treated as small.
TEST (DomainFlow, TablesAreBounded)
{
  struct eel_domain_flow *flow = new eel_domain_flow;
  const struct eel_domain_flow_config config = { 1, 0.001 };
  struct eel_flow_change changes[4];

  eel_domain_flow_init (flow, &config);
  for (uint32_t i = 0; i < EEL_FLOW_SERVICES_MAX + 3; i++)
    eel_domain_flow_refused (flow, i, 1, EEL_US_PER_S);
  EXPECT_EQ (flow->service_count, (uint32_t)EEL_FLOW_SERVICES_MAX);
  EXPECT_EQ (flow->services_evicted, 3U);
  for (uint64_t i = 1; i <= EEL_FLOW_ROUTES_MAX + 2; i++)
    eel_domain_flow_count_bytes (flow, i, 100);
  EXPECT_EQ (flow->route_count, (uint32_t)EEL_FLOW_ROUTES_MAX);
  EXPECT_EQ (flow->routes_left_out, 2U);
  eel_domain_flow_report_pressure (flow, 1, EEL_ANY_DOMAIN, 100, 0);
  eel_domain_flow_report_way (flow, EEL_ANY_DOMAIN, 100);
  EXPECT_EQ (eel_domain_flow_tick (flow, EEL_US_PER_S, changes, 4), 0U);
  delete flow;
}
