#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "eelgrasslatch/fault_rate.h"
#include "eelgrasslatch/place.h"
}

namespace
{
// Plays the requests of several senders to endpoints of one service in virtual
// time.  A run lasts 50 ms and is not queued; its node reports use and faults.
struct place_load
{
  struct upstream
  {
    std::string id;
    bool own_domain;
    double fault_share = 0;
    struct eel_fault_rate faults = {};
    uint32_t use_milli = 100;
    int64_t hold_us = 50000;
    uint32_t requests = 0;
    uint32_t failed = 0;
  };

  static constexpr uint32_t SENDERS = 5;
  std::vector<upstream> upstreams;
  struct eel_instance storage[SENDERS][16];
  struct eel_directory directories[SENDERS];
  struct eel_rng rng;
  int64_t now_us = EEL_US_PER_S;

  place_load ()
  {
    eel_rng_init (&rng, 5);
    for (uint32_t i = 0; i < SENDERS; i++)
      {
        eel_directory_init (&directories[i], storage[i], 16);
        eel_directory_set_stable_since (&directories[i], 0);
      }
  }

  void
  add (const char *id, bool own_domain)
  {
    struct eel_instance instance = {};

    upstreams.push_back ({ id, own_domain });
    snprintf (instance.id, sizeof instance.id, "%s", id);
    instance.revision = upstreams.size ();
    instance.slots = 50;
    instance.same_domain = own_domain;
    for (auto &directory : directories)
      eel_directory_put (&directory, &instance, now_us);
  }

  upstream &
  at (const std::string &id)
  {
    for (auto &each : upstreams)
      if (each.id == id)
        return each;
    abort ();
  }

  // A run for a sender of another domain.
  void
  run_for_others (upstream &each)
  {
    eel_fault_rate_record (&each.faults, eel_rng_unit (&rng) < each.fault_share,
                           now_us);
  }

  // Each sender sends a request every 50 ms, and the other domains as many to
  // each of their own endpoints.
  void
  run_to (int64_t end_us)
  {
    const struct eel_place_query query = { 0, nullptr, 0, 0, 0 };

    for (; now_us < end_us; now_us += 10 * EEL_US_PER_MS)
      {
        struct eel_directory &directory
            = directories[now_us / (10 * EEL_US_PER_MS) % SENDERS];
        struct eel_instance *picked
            = eel_place_pick (&directory, &query, now_us, &rng);
        upstream &chosen = at (picked->id);
        int faulty = eel_rng_unit (&rng) < chosen.fault_share;

        chosen.requests++;
        chosen.failed += (uint32_t)faulty;
        eel_fault_rate_record (&chosen.faults, faulty, now_us);
        const struct eel_instance_report report
            = { chosen.use_milli,
                eel_fault_rate_milli (&chosen.faults, now_us),
                chosen.hold_us,
                0,
                0,
                0,
                0,
                0,
                {},
                0 };

        eel_place_answered (picked, &report, now_us);
        for (auto &each : upstreams)
          if (!each.own_domain)
            run_for_others (each);
      }
  }

  void
  clear_counts ()
  {
    for (auto &each : upstreams)
      each.requests = each.failed = 0;
  }

  uint32_t
  requests (bool own_domain) const
  {
    uint32_t total = 0;

    for (const auto &each : upstreams)
      total += each.own_domain == own_domain ? each.requests : 0;
    return total;
  }

  uint32_t
  failed () const
  {
    uint32_t total = 0;

    for (const auto &each : upstreams)
      total += each.failed;
    return total;
  }
};
}

// Guards against callers that get the failures of an endpoint whose status
// check is good: 3 domains, of which the own one has 3 endpoints.
TEST (Place, EndpointThatFailsItsRunsGetsFewRequests)
{
  place_load load;

  for (const char *id : { "own-1", "own-2", "own-3" })
    load.add (id, true);
  for (const char *id : { "far-1", "far-2" })
    load.add (id, false);
  load.run_to (5 * EEL_US_PER_S);
  load.clear_counts ();
  load.at ("own-1").fault_share = 0.5;
  load.run_to (15 * EEL_US_PER_S);
  // 1,000 requests; a third of them at half a chance would be 167 failures.
  EXPECT_LT (load.failed (), 42u);
  EXPECT_EQ (load.requests (false), 0u);
  load.at ("own-1").fault_share = 0;
  load.run_to (25 * EEL_US_PER_S);
  load.clear_counts ();
  load.run_to (35 * EEL_US_PER_S);
  EXPECT_GT (load.at ("own-1").requests, 250u);
}

// Guards against requests that are late at an endpoint of the own domain which
// is many times slower than those of the other domains, and has free slots.
TEST (Place, SlowEndpointGetsFewRequests)
{
  place_load load;

  load.add ("own-1", true);
  load.add ("far-1", false);
  load.add ("far-2", false);
  load.run_to (5 * EEL_US_PER_S);
  EXPECT_EQ (load.requests (false), 0u);
  load.at ("own-1").hold_us = 600000;
  // One that is somewhat slower is used all the same.
  load.at ("far-1").hold_us = 100000;
  for (auto &directory : load.directories)
    for (const char *id : { "far-1", "far-2" })
      {
        const struct eel_instance_report report
            = { 100, 0, load.at (id).hold_us, 0, 0, 0, 0, 0, {}, 0 };

        eel_place_answered (eel_directory_find (&directory, id), &report,
                            load.now_us);
      }
  load.clear_counts ();
  load.run_to (15 * EEL_US_PER_S);
  EXPECT_LT (load.at ("own-1").requests, 50u);
  EXPECT_GT (load.at ("far-1").requests, 300u);
  load.at ("own-1").hold_us = 50000;
  load.run_to (23 * EEL_US_PER_S);
  load.clear_counts ();
  load.run_to (25 * EEL_US_PER_S);
  EXPECT_GT (load.at ("own-1").requests, 190u);
}

// Guards against requests that all leave a domain whose only endpoint fails as
// often as those elsewhere, for instance because of a service that they call.
TEST (Place, FaultsThatAllEndpointsShareMoveNoRequest)
{
  place_load load;

  load.add ("own-1", true);
  load.add ("far-1", false);
  load.add ("far-2", false);
  for (auto &each : load.upstreams)
    each.fault_share = 0.5;
  load.run_to (3 * EEL_US_PER_S);
  load.clear_counts ();
  load.run_to (8 * EEL_US_PER_S);
  EXPECT_GT (load.requests (true), 450u);
}

// Guards against sound endpoints that are flooded because others fail: beyond
// a use of about the limit the failing ones get requests again.
TEST (Place, FailingEndpointIsUsedWhenTheSoundOnesAreFull)
{
  place_load load;

  load.add ("own-1", true);
  load.add ("own-2", true);
  load.at ("own-1").fault_share = 0.3;
  load.run_to (3 * EEL_US_PER_S);
  load.at ("own-2").use_milli = 2000;
  load.clear_counts ();
  load.run_to (4 * EEL_US_PER_S);
  EXPECT_GT (load.at ("own-1").requests, 90u);
}

// Guards against an endpoint that joins a service on a quiet day and gets no
// request, since nobody has a report of its load.
TEST (Place, EndpointThatJoinsGetsRequests)
{
  place_load load;

  load.add ("own-1", true);
  load.add ("own-2", true);
  load.run_to (3 * EEL_US_PER_S);
  load.add ("own-3", true);
  load.clear_counts ();
  load.run_to (6 * EEL_US_PER_S);
  EXPECT_GT (load.at ("own-3").requests, 60u);
}

// Guards against a sender that goes on with a faulty endpoint since it has
// heard of no other one that is sounder.
TEST (Place, FaultyEndpointIsNotComparedWithItselfAlone)
{
  place_load load;
  const struct eel_place_query query = { 0, nullptr, 0, 0, 0 };
  struct eel_directory &directory = load.directories[0];
  struct eel_instance *faulty;

  load.add ("own-1", true);
  load.add ("own-2", true);
  faulty = &directory.instances[0];
  faulty->reported_us = load.now_us;
  faulty->report.fault_milli = 200;
  for (int i = 0; i < 100; i++)
    EXPECT_NE (eel_place_pick_in (&directory, &query, EEL_ANY_DOMAIN,
                                  load.now_us, &load.rng),
               faulty);
  // An endpoint in backoff is none to compare with.
  directory.instances[1].avoid_until_us = load.now_us + EEL_US_PER_S;
  EXPECT_EQ (eel_place_pick_in (&directory, &query, EEL_ANY_DOMAIN, load.now_us,
                                &load.rng),
             faulty);
}

// One fault of a few runs counts little, and old ones are forgotten.
TEST (FaultRate, NeedsSeveralRunsAndForgets)
{
  struct eel_fault_rate rate;
  int64_t now_us = 0;

  eel_fault_rate_init (&rate);
  EXPECT_EQ (eel_fault_rate_milli (&rate, now_us), 0u);
  eel_fault_rate_record (&rate, 1, now_us);
  EXPECT_LE (eel_fault_rate_milli (&rate, now_us), 200u);
  for (int i = 0; i < 200; i++)
    {
      now_us += 20 * EEL_US_PER_MS;
      eel_fault_rate_record (&rate, i % 2, now_us);
    }
  EXPECT_NEAR (eel_fault_rate_milli (&rate, now_us), 475, 30);
  EXPECT_LT (eel_fault_rate_milli (&rate, now_us + 20 * EEL_US_PER_S), 10u);
}
