#include <cstring>
#include <gtest/gtest.h>

#include "node_world.h"

namespace
{

struct order_case
{
  const char *name;
  // Issuer of the key; the order always enters at node 1.
  uint32_t issuer;
  std::function<void (World &)> fault;
  enum eel_outcome outcome;
  size_t runs_max;
  bool next_key;
};

void
every_run (World &world, enum eel_run_result result)
{
  for (auto &vm : world.vms)
    vm->on_run = [result] (Vm &v, struct eel_msg *msg) {
      v.done (msg->call_id, result);
    };
}

bool
is_execute (const struct eel_wire_message *wire)
{
  return wire->kind == EEL_WIRE_CALL && wire->role == EEL_WIRE_EXECUTE;
}

const order_case cases[] = {
  // Guards against "not run" said of an order that the upstream had begun.
  { "upstream breaks", 2, [] (World &w) { every_run (w, EEL_RUN_BROKEN); },
    EEL_OUTCOME_UNKNOWN, 1, false },
  // Guards against a timed-out order being dispatched again.
  { "upstream times out", 2,
    [] (World &w) { every_run (w, EEL_RUN_TIMED_OUT); }, EEL_OUTCOME_UNKNOWN, 1,
    false },
  // Guards against an order refused everywhere being told as unknown.
  { "every upstream refuses", 2,
    [] (World &w) { every_run (w, EEL_RUN_REFUSED); }, EEL_OUTCOME_NOT_RUN, 3,
    false },
  // Guards against a refusal that is not moved to another executor.
  { "first upstream refuses", 1,
    [] (World &w) {
      for (auto &vm : w.vms)
        vm->on_run = [&w] (Vm &v, struct eel_msg *msg) {
          v.done (msg->call_id,
                  w.runs () == 1 ? EEL_RUN_NOT_SENT : EEL_RUN_ANSWERED, "ok");
        };
    },
    EEL_OUTCOME_RAN, 2, true },
  // Guards against an unreachable issuer's key being decided elsewhere.
  { "issuer cannot be reached", 2,
    [] (World &w) {
      w.unsent = [] (const struct eel_wire_message *, uint32_t to) {
        return to == 2;
      };
    },
    EEL_OUTCOME_REFUSED, 0, false },
  // Guards against "refused" said of an order that was forwarded and ran.
  { "decider's answer is lost", 2,
    [] (World &w) {
      w.lose = [] (const struct eel_wire_message *wire, uint32_t to) {
        return wire->kind == EEL_WIRE_REPLY && to == 1;
      };
    },
    EEL_OUTCOME_UNKNOWN, 1, false },
  // Guards against an order that waits for a lost message until its deadline
  // and is then told as unknown though it can be sealed.
  { "execute messages are lost", 1,
    [] (World &w) {
      w.lose = [] (const struct eel_wire_message *wire, uint32_t) {
        return is_execute (wire);
      };
      w.vm (1).upstream_state (EEL_UPSTREAM_DRAINING);
    },
    EEL_OUTCOME_NOT_RUN, 0, true },
  // Guards against an executor's restart being taken for a refusal.
  { "executor restarts", 1,
    [] (World &w) {
      w.vm (1).upstream_state (EEL_UPSTREAM_DRAINING);
      for (uint32_t id = 2; id <= 3; id++)
        w.vm (id).on_run = [] (Vm &, struct eel_msg *) {};
      w.lose = [&w] (const struct eel_wire_message *, uint32_t) {
        for (uint32_t id = 2; id <= 3; id++)
          if (w.vm (id).runs.size () == 1 && w.vm (id).node != nullptr)
            {
              w.vm (id).runs.resize (2);
              w.restart = id;
            }
        return false;
      };
    },
    EEL_OUTCOME_UNKNOWN, 2, false },
};

} // namespace

// Guards against wrong outcomes of orders under single faults.
TEST (node_orders, outcomes_under_faults)
{
  for (const order_case &c : cases)
    {
      SCOPED_TRACE (c.name);
      World world (3);
      std::string key = world.key (c.issuer);

      c.fault (world);
      world.pause (30);
      world.call (1, 1, [&] (struct eel_call &call) {
        make_order (call, key);
        call.given |= EEL_GIVEN_DEADLINE;
        call.deadline_us = eel_clock_us () + 1200 * EEL_US_PER_MS;
      });
      ASSERT_TRUE (world.answered (1, 1));
      const Answered &answer = world.vm (1).answers[1];
      EXPECT_EQ (answer.outcome, c.outcome)
          << eel_error_info (answer.error)->name;
      EXPECT_LE (world.runs (), c.runs_max);
      EXPECT_EQ (!answer.next_key.empty (), c.next_key);
    }
}

// Guards against a successor key that the caller cannot use, and against two
// copies of a sealed key getting different successors.
TEST (node_orders, successor_key_runs_the_order)
{
  World world (1);
  std::string key = world.key (1);

  every_run (world, EEL_RUN_REFUSED);
  for (uint64_t i = 1; i <= 2; i++)
    {
      world.call (1, i, [&] (struct eel_call &c) { make_order (c, key); });
      ASSERT_TRUE (world.answered (1, i));
      ASSERT_EQ (world.vm (1).answers[i].outcome, EEL_OUTCOME_NOT_RUN);
    }
  std::string next = world.vm (1).answers[1].next_key;
  EXPECT_EQ (next, world.vm (1).answers[2].next_key);
  for (auto &vm : world.vms)
    vm->on_run = nullptr;
  world.call (1, 3, [&] (struct eel_call &c) { make_order (c, next); });
  ASSERT_TRUE (world.answered (1, 3));
  EXPECT_EQ (world.vm (1).answers[3].outcome, EEL_OUTCOME_RAN);
}

// Guards against an order without a key being run, or its caller being left
// without a usable key.
TEST (node_orders, missing_key_is_answered_with_a_fresh_one)
{
  World world (1);

  world.call (1, 1, [] (struct eel_call &c) { make_order (c, ""); });
  ASSERT_TRUE (world.answered (1, 1));
  EXPECT_EQ (world.vm (1).answers[1].error, EEL_ERROR_KEY_REQUIRED);
  EXPECT_EQ (world.runs (), 0u);
  std::string next = world.vm (1).answers[1].next_key;
  world.call (1, 2, [&] (struct eel_call &c) { make_order (c, next); });
  ASSERT_TRUE (world.answered (1, 2));
  EXPECT_EQ (world.vm (1).answers[2].outcome, EEL_OUTCOME_RAN);
  EXPECT_EQ (world.vm (1).runs[0].headers["Eel-Key"], next);
  EXPECT_EQ (world.vm (1).runs[0].headers["Eel-Class"], "critical");
}

// Guards against a link that opens on demand failing the first order.
TEST (node_orders, forwarding_waits_for_the_link)
{
  World world (2);
  std::string key = world.key (2);
  int refused = 0;

  world.unsent = [&] (const struct eel_wire_message *wire, uint32_t to) {
    return to == 2 && wire->kind == EEL_WIRE_CALL
           && wire->role == EEL_WIRE_DECIDE && refused++ < 3;
  };
  world.call (1, 1, [&] (struct eel_call &c) { make_order (c, key); });
  ASSERT_TRUE (world.answered (1, 1));
  EXPECT_EQ (world.vm (1).answers[1].outcome, EEL_OUTCOME_RAN);
  EXPECT_EQ (refused, 4);
}
