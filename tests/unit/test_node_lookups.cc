#include <cstring>
#include <unistd.h>
#include <gtest/gtest.h>

#include "node_cluster.h"

namespace
{

struct lookup_case
{
  const char *name;
  std::function<void (Cluster &)> fault;
  std::function<void (struct eel_call &)> change;
  enum eel_error error;
  size_t runs_max;
};

void
finish_all_runs (Cluster &cluster, enum eel_run_result result)
{
  for (auto &vm : cluster.vms)
    vm->on_run = [result] (Vm &v, struct eel_msg *msg) {
      v.finish_run (msg->call_id, result);
    };
}

void
finish_first_run (Cluster &cluster, enum eel_run_result result)
{
  for (auto &vm : cluster.vms)
    vm->on_run = [&cluster, result] (Vm &v, struct eel_msg *msg) {
      v.finish_run (msg->call_id,
                    cluster.runs () == 1 ? result : EEL_RUN_ANSWERED, "ok");
    };
}

const lookup_case cases[] = {
  // Guards against a lookup that fails although another endpoint is healthy.
  { "first connection breaks",
    [] (Cluster &cluster) { finish_first_run (cluster, EEL_RUN_BROKEN); },
    {},
    EEL_OK,
    2 },
  { "first upstream sheds",
    [] (Cluster &cluster) { finish_first_run (cluster, EEL_RUN_REFUSED); },
    {},
    EEL_OK,
    2 },
  // Guards against more attempts than the call's spare attempts allow.
  { "every connection breaks",
    [] (Cluster &cluster) { finish_all_runs (cluster, EEL_RUN_BROKEN); },
    [] (struct eel_call &c) {
      c.given |= EEL_GIVEN_SPARE;
      c.spare = 1;
    },
    EEL_ERROR_UPSTREAM_FAILED, 2 },
  { "no spare attempt",
    [] (Cluster &cluster) { finish_first_run (cluster, EEL_RUN_BROKEN); },
    [] (struct eel_call &c) { c.given |= EEL_GIVEN_SPARE; },
    EEL_ERROR_UPSTREAM_FAILED, 1 },
  // Guards against running a call whose deadline has passed.
  { "deadline in the past", [] (Cluster &) {},
    [] (struct eel_call &c) {
      c.given |= EEL_GIVEN_DEADLINE;
      c.deadline_us = eel_clock_us () - 1;
    },
    EEL_ERROR_DEADLINE, 0 },
  // Guards against unknown service names filling the service table.
  { "unknown service", [] (Cluster &) {},
    [] (struct eel_call &c) { strcpy (c.service, "nowhere"); },
    EEL_ERROR_SERVICE_UNKNOWN, 0 },
  // Guards against a nested call whose parent is not running here.
  { "parent is not known", [] (Cluster &) {},
    [] (struct eel_call &c) { c.parent = 12345; }, EEL_ERROR_CANCELLED, 0 },
  // Guards against a call that fails at endpoints whose upstream is down.
  { "two of three upstreams are down",
    [] (Cluster &cluster) {
      cluster.vm (1).upstream_state (EEL_UPSTREAM_DOWN);
      cluster.vm (2).upstream_state (EEL_UPSTREAM_DOWN);
    },
    {},
    EEL_OK,
    1 },
  // Guards against a call that is lost with a broken connection.
  { "two nodes cannot be reached",
    [] (Cluster &cluster) {
      cluster.report_unsent = [] (const struct eel_wire_message *,
                                  uint32_t to) { return to != 1; };
    },
    {},
    EEL_OK,
    1 },
};

} // namespace

// Guards against wrong results of idempotent calls under single faults.
TEST (node_lookups, ends_under_faults)
{
  for (const lookup_case &c : cases)
    {
      SCOPED_TRACE (c.name);
      Cluster cluster (3);

      c.fault (cluster);
      cluster.call (1, 1, c.change);
      ASSERT_TRUE (cluster.wait_for_answer (1, 1));
      EXPECT_EQ (cluster.vm (1).answers[1].error, c.error)
          << eel_error_info (cluster.vm (1).answers[1].error)->name;
      EXPECT_LE (cluster.runs (), c.runs_max);
    }
}

// Guards against a slow endpoint delaying a lookup that another one could
// answer, and against the slow attempt continuing afterwards.
TEST (node_lookups, hedge_answers_and_cancels_the_slow_attempt)
{
  Cluster cluster (3);
  uint64_t number = 0;
  bool hang_next_run = false;

  for (auto &vm : cluster.vms)
    vm->on_run = [&hang_next_run] (Vm &v, struct eel_msg *msg) {
      bool slow = hang_next_run;

      hang_next_run = false;
      if (!slow)
        v.finish_run (msg->call_id, EEL_RUN_ANSWERED, "ok");
    };
  for (int i = 0; i < 200; i++)
    {
      cluster.call (1, ++number);
      ASSERT_TRUE (cluster.wait_for_answer (1, number));
    }
  hang_next_run = true;
  cluster.call (1, ++number);
  ASSERT_TRUE (cluster.wait_for_answer (1, number, 1000));
  EXPECT_EQ (cluster.vm (1).answers[number].error, EEL_OK);
  EXPECT_TRUE (cluster.run_until ([&] {
    size_t cancelled = 0;

    for (auto &vm : cluster.vms)
      cancelled += vm->cancelled.size ();
    return cancelled == 1;
  }));
}

// Guards against a request that crashes an upstream on each of its caller's
// retries, and against quarantining requests in flight at the same time.
TEST (node_lookups, request_that_crashes_upstreams_is_quarantined)
{
  Cluster cluster (3);
  size_t crashes = 0;
  uint64_t number = 0;
  auto is_poison = [] (const struct eel_msg *msg) {
    return strcmp (msg->call->target, "/poison") == 0;
  };

  for (auto &vm : cluster.vms)
    vm->on_run = [&] (Vm &v, struct eel_msg *msg) {
      crashes += is_poison (msg);
      v.finish_run (msg->call_id,
                    is_poison (msg) ? EEL_RUN_BROKEN : EEL_RUN_ANSWERED, "ok");
    };
  for (int i = 0; i < 20; i++)
    {
      cluster.call (1, ++number,
                    [] (struct eel_call &c) { strcpy (c.target, "/poison"); });
      ASSERT_TRUE (cluster.wait_for_answer (1, number));
      cluster.call (1, ++number);
      ASSERT_TRUE (cluster.wait_for_answer (1, number));
      EXPECT_EQ (cluster.vm (1).answers[number].error, EEL_OK);
      cluster.run_for (120);
    }
  EXPECT_LE (crashes, 6u);
  EXPECT_EQ (cluster.vm (1).answers[number - 1].error, EEL_ERROR_QUARANTINED);
}

// Guards against unbounded tables and calls beyond the bound without an answer.
TEST (node_lookups, calls_beyond_the_bounds_are_refused)
{
  Cluster cluster (1, "orders",
                   [] (struct eel_settings &s) { s.calls_max = 64; });
  size_t refused = 0;

  cluster.vm (1).on_run = [] (Vm &, struct eel_msg *) {};
  for (uint64_t i = 1; i <= 300; i++)
    cluster.call (1, i);
  cluster.run_until ([&] { return cluster.vm (1).answers.size () >= 236; },
                     500);
  for (auto &answer : cluster.vm (1).answers)
    refused += answer.second.error == EEL_ERROR_OVERLOADED
               || answer.second.error == EEL_ERROR_CALLER_LIMIT;
  EXPECT_GE (refused, 236u);
  EXPECT_LE (cluster.vm (1).runs.size (), 8u);
}

// Guards against calls to peers on stale state after a pause of the process.
TEST (node_lookups, after_a_pause_peers_get_no_calls_before_a_message)
{
  Cluster cluster (2);
  std::vector<int> kinds;
  bool received = false, sent_before_receipt = false;

  cluster.vm (1).upstream_state (EEL_UPSTREAM_DRAINING);
  cluster.run_for (50);
  cluster.drop_message
      = [&] (const struct eel_wire_message *wire, uint32_t to) {
          if (to == 1 && wire->from == 2)
            received = true;
          if (to == 2 && wire->kind == EEL_WIRE_CALL && !received)
            sent_before_receipt = true;
          return false;
        };
  usleep (1100 * 1000);
  cluster.call (1, 1);
  ASSERT_TRUE (cluster.wait_for_answer (1, 1));
  EXPECT_FALSE (sent_before_receipt);
  ASSERT_TRUE (cluster.run_until ([&] { return received; }));
  cluster.run_for (50);
  cluster.call (1, 2);
  ASSERT_TRUE (cluster.wait_for_answer (1, 2));
  EXPECT_EQ (cluster.vm (1).answers[2].error, EEL_OK);
}
