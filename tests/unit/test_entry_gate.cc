#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <queue>

extern "C"
{
#include "eelgrasslatch/entry_gate.h"
#include "eelgrasslatch/gate.h"
}

/*
 * Simulates entry nodes in front of one downstream service.  Each lookup or
 * order makes four calls to it in sequence, of 15 ms on average.  Pressure
 * reports arrive 300 ms late.
 */
struct downstream_load
{
  struct request
  {
    bool order;
    int64_t arrived_us;
    int calls;
  };
  struct event
  {
    int64_t at_us;
    // 0: a request arrives; 1: a call ends.
    int kind;
    size_t index;
    bool
    operator<(const event &other) const
    {
      return at_us > other.at_us;
    }
  };

  struct eel_gate gate;
  struct eel_entry_gate entry = {};
  struct eel_rng rng;
  std::vector<request> requests;
  std::priority_queue<event> events;
  std::deque<std::pair<int64_t, double>> reports;
  int offered[2] = {};
  int in_time[2] = {};
  int64_t busy_us = 0;
  bool use_entry_gate = true;

  void
  call (size_t index, int64_t now_us)
  {
    struct eel_gate_item item
        = { 1, now_us, now_us + 300 * EEL_US_PER_MS,
            now_us + 700 * EEL_US_PER_MS, reinterpret_cast<void *> (index) };

    if (eel_gate_offer (&gate, &item, now_us) == EEL_GATE_START)
      start (index, now_us);
  }

  void
  start (size_t index, int64_t now_us)
  {
    int64_t work_us
        = static_cast<int64_t> (15000 * (0.5 + eel_rng_unit (&rng)));

    busy_us += work_us;
    events.push ({ now_us + work_us, 1, index });
  }

  void
  arrive (int64_t now_us)
  {
    bool order = eel_rng_unit (&rng) < 0.25;

    offered[order]++;
    while (!reports.empty () && reports.front ().first <= now_us)
      {
        eel_entry_gate_report_pressure (&entry, 1, reports.front ().second,
                                        now_us);
        eel_entry_gate_report_pressure (&entry, 2, reports.front ().second,
                                        now_us);
        reports.pop_front ();
      }
    if (use_entry_gate
        && !eel_entry_gate_admit (&entry, order ? 1 : 2, order ? 0 : 2, now_us,
                                  &rng))
      return;
    requests.push_back ({ order, now_us, 4 });
    call (requests.size () - 1, now_us);
  }

  void
  finish_call (size_t index, int64_t now_us)
  {
    request &each = requests[index];
    struct eel_gate_item item;

    eel_gate_done (&gate, 15000, now_us);
    reports.push_back ({ now_us + 300 * EEL_US_PER_MS,
                         (double)eel_gate_wait_us (&gate, now_us) / 300.0 });
    if (--each.calls > 0)
      call (index, now_us);
    else if (now_us - each.arrived_us < 1200 * EEL_US_PER_MS)
      in_time[each.order]++;
    for (;;)
      {
        enum eel_gate_verdict verdict = eel_gate_next (&gate, &item, now_us);

        if (verdict == EEL_GATE_QUEUE)
          break;
        if (verdict == EEL_GATE_START)
          start (reinterpret_cast<size_t> (item.owner), now_us);
      }
  }

  // Offers Poisson arrivals for some seconds and runs until all have ended.
  void
  run (double rate, int seconds, uint64_t seed)
  {
    int64_t now_us = 0;

    eel_rng_init (&rng, seed);
    eel_gate_init (&gate, 32);
    gate.last_rank = 2;
    eel_entry_gate_init (&entry);
    entry.last_rank = 2;
    requests.reserve (100000);
    for (int64_t at_us = 0; at_us < seconds * EEL_US_PER_S;)
      {
        at_us += static_cast<int64_t> (-log (1 - eel_rng_unit (&rng)) * 1e6
                                       / rate);
        events.push ({ at_us, 0, 0 });
      }
    while (!events.empty ())
      {
        event next = events.top ();

        events.pop ();
        now_us = next.at_us;
        if (next.kind == 0)
          arrive (now_us);
        else
          finish_call (next.index, now_us);
      }
  }
};

// 30 slots run 500 requests a second; 50% more arrive for ten seconds.  Guards
// against orders that fail while lookups are served, and against slots spent on
// requests that are not answered in time.
TEST (EntryGate, OrdersAreServedWhileADownstreamServiceIsOverloaded)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      downstream_load with;
      downstream_load without;
      int served;

      with.run (750, 10, seed);
      without.use_entry_gate = false;
      without.run (750, 10, seed);
      served = with.in_time[0] + with.in_time[1];
      EXPECT_GE (with.in_time[1], 0.95 * with.offered[1]) << "seed " << seed;
      EXPECT_GE (served, 0.9 * 5000) << "seed " << seed;
      EXPECT_GT (served, without.in_time[0] + without.in_time[1]);
    }
}

// Guards against refusals while slots are free.
TEST (EntryGate, RefusesNothingWithoutOverload)
{
  downstream_load load;

  load.run (300, 10, 1);
  EXPECT_GE (load.in_time[0], 0.999 * load.offered[0]);
  EXPECT_GE (load.in_time[1], 0.999 * load.offered[1]);
}

// Guards against refusals that continue after the overload has ended.
TEST (EntryGate, OpensWithinTwoSecondsAfterTheLastPressure)
{
  struct eel_entry_gate gate;
  struct eel_rng rng;
  int refused = 0;

  eel_rng_init (&rng, 1);
  eel_entry_gate_init (&gate);
  gate.last_rank = 2;
  for (int64_t ms = 0; ms < 3000; ms += 10)
    {
      eel_entry_gate_report_pressure (&gate, 1, 2000, ms * EEL_US_PER_MS);
      eel_entry_gate_admit (&gate, 1, 2, ms * EEL_US_PER_MS, &rng);
    }
  EXPECT_GT (eel_entry_gate_refused_share (&gate, 1), 0.9);
  for (int64_t ms = 3000; ms < 6000; ms += 10)
    {
      eel_entry_gate_report_pressure (&gate, 1, 0, ms * EEL_US_PER_MS);
      refused += !eel_entry_gate_admit (&gate, 1, 2, ms * EEL_US_PER_MS, &rng)
                 && ms >= 5000;
    }
  EXPECT_EQ (refused, 0);
}

// Guards against refusing a route for pressure that does not affect it: which
// services lie downstream of a route is an estimate.
TEST (EntryGate, RefusesNothingOfARouteThatMeetsItsTarget)
{
  struct eel_entry_gate gate;
  struct eel_rng rng;
  int refused[2] = {};

  eel_rng_init (&rng, 1);
  eel_entry_gate_init (&gate);
  gate.last_rank = 2;
  for (int64_t ms = 0; ms < 8000; ms += 20)
    for (int route = 0; route < 2; route++)
      {
        int64_t now_us = ms * EEL_US_PER_MS;

        eel_entry_gate_report_pressure (&gate, route, ms < 2000 ? 0 : 2000,
                                        now_us);
        refused[route] += !eel_entry_gate_admit (&gate, route, 2, now_us, &rng);
        eel_entry_gate_report_outcome (
            &gate, route, route == 1 && eel_rng_unit (&rng) < 0.5, now_us);
      }
  EXPECT_EQ (refused[0], 0);
  EXPECT_GT (refused[1], 200);
}
