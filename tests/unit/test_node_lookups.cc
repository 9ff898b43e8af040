#include <cstring>
#include <unistd.h>
#include <gtest/gtest.h>

#include "node_world.h"

namespace
{

struct lookup_case
{
  const char *name;
  std::function<void (World &)> fault;
  std::function<void (struct eel_call &)> change;
  enum eel_error error;
  size_t runs_max;
};

void
every_run (World &world, enum eel_run_result result)
{
  for (auto &vm : world.vms)
    vm->on_run = [result] (Vm &v, struct eel_msg *msg) {
      v.done (msg->call_id, result);
    };
}

void
first_run (World &world, enum eel_run_result result)
{
  for (auto &vm : world.vms)
    vm->on_run = [&world, result] (Vm &v, struct eel_msg *msg) {
      v.done (msg->call_id, world.runs () == 1 ? result : EEL_RUN_ANSWERED,
              "ok");
    };
}

const lookup_case cases[] = {
  // Guards against a lookup that fails though another endpoint is well.
  { "first connection breaks",
    [] (World &w) { first_run (w, EEL_RUN_BROKEN); },
    {},
    EEL_OK,
    2 },
  { "first upstream sheds",
    [] (World &w) { first_run (w, EEL_RUN_REFUSED); },
    {},
    EEL_OK,
    2 },
  // Guards against more attempts than the spare ones that the call brought.
  { "every connection breaks", [] (World &w) { every_run (w, EEL_RUN_BROKEN); },
    [] (struct eel_call &c) {
      c.given |= EEL_GIVEN_SPARE;
      c.spare = 1;
    },
    EEL_ERROR_UPSTREAM_FAILED, 2 },
  { "no spare attempt", [] (World &w) { first_run (w, EEL_RUN_BROKEN); },
    [] (struct eel_call &c) { c.given |= EEL_GIVEN_SPARE; },
    EEL_ERROR_UPSTREAM_FAILED, 1 },
  // Guards against work for a call that nobody waits for any more.
  { "deadline in the past", [] (World &) {},
    [] (struct eel_call &c) {
      c.given |= EEL_GIVEN_DEADLINE;
      c.deadline_us = eel_clock_us () - 1;
    },
    EEL_ERROR_DEADLINE, 0 },
  // Guards against names of services filling the table of services.
  { "unknown service", [] (World &) {},
    [] (struct eel_call &c) { strcpy (c.service, "nowhere"); },
    EEL_ERROR_SERVICE_UNKNOWN, 0 },
  // Guards against a nested call whose parent is not running here.
  { "parent is not known", [] (World &) {},
    [] (struct eel_call &c) { c.parent = 12345; }, EEL_ERROR_CANCELLED, 0 },
  // Guards against losing a call to endpoints whose upstream is down.
  { "two of three upstreams are down",
    [] (World &w) {
      w.vm (1).upstream_state (EEL_UPSTREAM_DOWN);
      w.vm (2).upstream_state (EEL_UPSTREAM_DOWN);
    },
    {},
    EEL_OK,
    1 },
  // Guards against a call that is lost with a broken link.
  { "two nodes cannot be reached",
    [] (World &w) {
      w.unsent = [] (const struct eel_wire_message *, uint32_t to) {
        return to != 1;
      };
    },
    {},
    EEL_OK,
    1 },
};

} // namespace

// Guards against wrong ends of idempotent calls under single faults.
TEST (node_lookups, ends_under_faults)
{
  for (const lookup_case &c : cases)
    {
      SCOPED_TRACE (c.name);
      World world (3);

      c.fault (world);
      world.call (1, 1, c.change);
      ASSERT_TRUE (world.answered (1, 1));
      EXPECT_EQ (world.vm (1).answers[1].error, c.error)
          << eel_error_info (world.vm (1).answers[1].error)->name;
      EXPECT_LE (world.runs (), c.runs_max);
    }
}

// Guards against a slow endpoint holding a lookup that another one answers,
// and against the slow attempt going on afterwards.
TEST (node_lookups, hedge_answers_and_cancels_the_slow_attempt)
{
  World world (3);
  uint64_t number = 0;
  bool hang = false;

  for (auto &vm : world.vms)
    vm->on_run = [&hang] (Vm &v, struct eel_msg *msg) {
      bool slow = hang;

      hang = false;
      if (!slow)
        v.done (msg->call_id, EEL_RUN_ANSWERED, "ok");
    };
  for (int i = 0; i < 200; i++)
    {
      world.call (1, ++number);
      ASSERT_TRUE (world.answered (1, number));
    }
  hang = true;
  world.call (1, ++number);
  ASSERT_TRUE (world.answered (1, number, 1000));
  EXPECT_EQ (world.vm (1).answers[number].error, EEL_OK);
  EXPECT_TRUE (world.run ([&] {
    size_t cancelled = 0;

    for (auto &vm : world.vms)
      cancelled += vm->cancelled.size ();
    return cancelled == 1;
  }));
}

// Guards against a request that crashes upstreams being sent on and on by its
// caller, and against blaming requests that were in flight beside it.
TEST (node_lookups, request_that_crashes_upstreams_is_quarantined)
{
  World world (3);
  size_t crashes = 0;
  uint64_t number = 0;
  auto is_poison = [] (const struct eel_msg *msg) {
    return strcmp (msg->call->target, "/poison") == 0;
  };

  for (auto &vm : world.vms)
    vm->on_run = [&] (Vm &v, struct eel_msg *msg) {
      crashes += is_poison (msg);
      v.done (msg->call_id, is_poison (msg) ? EEL_RUN_BROKEN : EEL_RUN_ANSWERED,
              "ok");
    };
  for (int i = 0; i < 20; i++)
    {
      world.call (1, ++number,
                  [] (struct eel_call &c) { strcpy (c.target, "/poison"); });
      ASSERT_TRUE (world.answered (1, number));
      world.call (1, ++number);
      ASSERT_TRUE (world.answered (1, number));
      EXPECT_EQ (world.vm (1).answers[number].error, EEL_OK);
      world.pause (120);
    }
  EXPECT_LE (crashes, 6u);
  EXPECT_EQ (world.vm (1).answers[number - 1].error, EEL_ERROR_QUARANTINED);
}

// Guards against unbounded tables: work beyond the bound is answered.
TEST (node_lookups, calls_beyond_the_bounds_are_refused)
{
  World world (1, "orders", [] (struct eel_settings &s) { s.calls_max = 64; });
  size_t refused = 0;

  world.vm (1).on_run = [] (Vm &, struct eel_msg *) {};
  for (uint64_t i = 1; i <= 300; i++)
    world.call (1, i);
  world.run ([&] { return world.vm (1).answers.size () >= 236; }, 500);
  for (auto &answer : world.vm (1).answers)
    refused += answer.second.error == EEL_ERROR_OVERLOADED
               || answer.second.error == EEL_ERROR_CALLER_LIMIT;
  EXPECT_GE (refused, 236u);
  EXPECT_LE (world.vm (1).runs.size (), 8u);
}

// Guards against sending to peers on stale state after the process was
// stopped for a while.
TEST (node_lookups, after_a_pause_peers_are_heard_before_they_are_used)
{
  World world (2);
  std::vector<int> kinds;
  bool heard = false, early = false;

  world.vm (1).upstream_state (EEL_UPSTREAM_DRAINING);
  world.pause (50);
  world.lose = [&] (const struct eel_wire_message *wire, uint32_t to) {
    if (to == 1 && wire->from == 2)
      heard = true;
    if (to == 2 && wire->kind == EEL_WIRE_CALL && !heard)
      early = true;
    return false;
  };
  usleep (1100 * 1000);
  world.call (1, 1);
  ASSERT_TRUE (world.answered (1, 1));
  EXPECT_FALSE (early);
  ASSERT_TRUE (world.run ([&] { return heard; }));
  world.pause (50);
  world.call (1, 2);
  ASSERT_TRUE (world.answered (1, 2));
  EXPECT_EQ (world.vm (1).answers[2].error, EEL_OK);
}
