#include <cstring>
#include <gtest/gtest.h>

#include "node_cluster.h"

namespace
{

struct order_case
{
  const char *name;
  // Issuer of the key; the order always enters at node 1.
  uint32_t issuer;
  std::function<void (Cluster &)> fault;
  enum eel_outcome outcome;
  size_t runs_max;
  bool next_key;
};

void
finish_all_runs (Cluster &cluster, enum eel_run_result result)
{
  for (auto &vm : cluster.vms)
    vm->on_run = [result] (Vm &v, struct eel_msg *msg) {
      v.finish_run (msg->call_id, result);
    };
}

bool
is_execute (const struct eel_wire_message *wire)
{
  return wire->kind == EEL_WIRE_CALL && wire->role == EEL_WIRE_EXECUTE;
}

void
planned_stop (Cluster &cluster, uint32_t id)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_DRAIN;
  eel_mailbox_post (cluster.vm (id).inbox (), &msg);
  msg.kind = EEL_MSG_DRAINED;
  eel_mailbox_post (cluster.vm (id).inbox (), &msg);
}

const order_case cases[] = {
  // Guards against "not run" reported for an order that the upstream started.
  { "upstream breaks", 2,
    [] (Cluster &cluster) { finish_all_runs (cluster, EEL_RUN_BROKEN); },
    EEL_OUTCOME_UNKNOWN, 1, false },
  // Guards against a timed-out order being dispatched again.
  { "upstream times out", 2,
    [] (Cluster &cluster) { finish_all_runs (cluster, EEL_RUN_TIMED_OUT); },
    EEL_OUTCOME_UNKNOWN, 1, false },
  // Guards against "unknown" reported for an order refused everywhere.
  { "every upstream refuses", 2,
    [] (Cluster &cluster) { finish_all_runs (cluster, EEL_RUN_REFUSED); },
    EEL_OUTCOME_NOT_RUN, 3, false },
  // Guards against a refused order that is not sent to another executor.
  { "first upstream refuses", 1,
    [] (Cluster &cluster) {
      for (auto &vm : cluster.vms)
        vm->on_run = [&cluster] (Vm &v, struct eel_msg *msg) {
          v.finish_run (
              msg->call_id,
              cluster.runs () == 1 ? EEL_RUN_NOT_SENT : EEL_RUN_ANSWERED, "ok");
        };
    },
    EEL_OUTCOME_RAN, 2, true },
  // Guards against another node deciding the key of an unreachable issuer.
  { "issuer cannot be reached", 2,
    [] (Cluster &cluster) {
      cluster.report_unsent = [] (const struct eel_wire_message *,
                                  uint32_t to) { return to == 2; };
    },
    EEL_OUTCOME_REFUSED, 0, false },
  // Guards against "refused" reported for a forwarded order that ran.
  { "decider's answer is lost", 2,
    [] (Cluster &cluster) {
      cluster.drop_message
          = [] (const struct eel_wire_message *wire, uint32_t to) {
              return wire->kind == EEL_WIRE_REPLY && to == 1;
            };
    },
    EEL_OUTCOME_UNKNOWN, 1, false },
  // Guards against an order that waits until its deadline for a lost message
  // and is then reported as unknown although it can be sealed.
  { "execute messages are lost", 1,
    [] (Cluster &cluster) {
      cluster.drop_message = [] (const struct eel_wire_message *wire,
                                 uint32_t) { return is_execute (wire); };
      cluster.vm (1).upstream_state (EEL_UPSTREAM_DRAINING);
    },
    EEL_OUTCOME_NOT_RUN, 0, true },
  // Guards against an executor's restart being handled as a refusal.
  { "executor restarts", 1,
    [] (Cluster &cluster) {
      cluster.vm (1).upstream_state (EEL_UPSTREAM_DRAINING);
      for (uint32_t id = 2; id <= 3; id++)
        cluster.vm (id).on_run = [] (Vm &, struct eel_msg *) {};
      cluster.drop_message
          = [&cluster] (const struct eel_wire_message *, uint32_t) {
              for (uint32_t id = 2; id <= 3; id++)
                if (cluster.vm (id).runs.size () == 1
                    && cluster.vm (id).node != nullptr)
                  {
                    cluster.vm (id).runs.resize (2);
                    cluster.restart_node = id;
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
      Cluster cluster (3);
      std::string key = cluster.issue_key (c.issuer);

      c.fault (cluster);
      cluster.run_for (30);
      cluster.call (1, 1, [&] (struct eel_call &call) {
        make_order (call, key);
        call.given |= EEL_GIVEN_DEADLINE;
        call.deadline_us = eel_clock_us () + 1200 * EEL_US_PER_MS;
      });
      ASSERT_TRUE (cluster.wait_for_answer (1, 1));
      const AnswerRecord &answer = cluster.vm (1).answers[1];
      EXPECT_EQ (answer.outcome, c.outcome)
          << eel_error_info (answer.error)->name;
      EXPECT_LE (cluster.runs (), c.runs_max);
      EXPECT_EQ (!answer.next_key.empty (), c.next_key);
    }
}

// Guards against an unusable successor key, and against two copies of a sealed
// key getting different successors.
TEST (node_orders, successor_key_runs_the_order)
{
  Cluster cluster (1);
  std::string key = cluster.issue_key (1);

  finish_all_runs (cluster, EEL_RUN_REFUSED);
  for (uint64_t i = 1; i <= 2; i++)
    {
      cluster.call (1, i, [&] (struct eel_call &c) { make_order (c, key); });
      ASSERT_TRUE (cluster.wait_for_answer (1, i));
      ASSERT_EQ (cluster.vm (1).answers[i].outcome, EEL_OUTCOME_NOT_RUN);
    }
  std::string next = cluster.vm (1).answers[1].next_key;
  EXPECT_EQ (next, cluster.vm (1).answers[2].next_key);
  for (auto &vm : cluster.vms)
    vm->on_run = nullptr;
  cluster.call (1, 3, [&] (struct eel_call &c) { make_order (c, next); });
  ASSERT_TRUE (cluster.wait_for_answer (1, 3));
  EXPECT_EQ (cluster.vm (1).answers[3].outcome, EEL_OUTCOME_RAN);
}

// Guards against an order without a key being run or its caller getting no
// usable key.
TEST (node_orders, missing_key_is_answered_with_a_fresh_one)
{
  Cluster cluster (1);

  cluster.call (1, 1, [] (struct eel_call &c) { make_order (c, ""); });
  ASSERT_TRUE (cluster.wait_for_answer (1, 1));
  EXPECT_EQ (cluster.vm (1).answers[1].error, EEL_ERROR_KEY_REQUIRED);
  EXPECT_EQ (cluster.runs (), 0u);
  std::string next = cluster.vm (1).answers[1].next_key;
  cluster.call (1, 2, [&] (struct eel_call &c) { make_order (c, next); });
  ASSERT_TRUE (cluster.wait_for_answer (1, 2));
  EXPECT_EQ (cluster.vm (1).answers[2].outcome, EEL_OUTCOME_RAN);
  EXPECT_EQ (cluster.vm (1).runs[0].headers["Eel-Key"], next);
  EXPECT_EQ (cluster.vm (1).runs[0].headers["Eel-Class"], "critical");
}

// Guards against the first order failing while a connection is being opened.
TEST (node_orders, forwarding_waits_for_the_connection)
{
  Cluster cluster (2);
  std::string key = cluster.issue_key (2);
  int refused = 0;

  cluster.report_unsent
      = [&] (const struct eel_wire_message *wire, uint32_t to) {
          return to == 2 && wire->kind == EEL_WIRE_CALL
                 && wire->role == EEL_WIRE_DECIDE && refused++ < 3;
        };
  cluster.call (1, 1, [&] (struct eel_call &c) { make_order (c, key); });
  ASSERT_TRUE (cluster.wait_for_answer (1, 1));
  EXPECT_EQ (cluster.vm (1).answers[1].outcome, EEL_OUTCOME_RAN);
  EXPECT_EQ (refused, 4);
}

// Guards against a planned stop that ends while a peer still sends it orders.
TEST (node_orders, sent_to_a_leaving_node_that_the_sender_has_not_heard_of)
{
  Cluster cluster (3);
  std::vector<std::string> keys;
  bool is_late = true;
  size_t sent = 0;

  for (int i = 0; i < 12; i++)
    keys.push_back (cluster.issue_key (2));
  cluster.vm (2).upstream_state (EEL_UPSTREAM_DRAINING);
  cluster.run_for (50);
  cluster.drop_message = [&] (const struct eel_wire_message *wire,
                              uint32_t to) {
    sent += is_execute (wire) && to == 1;
    if (to == 1)
      return cluster.vm (1).exiting;
    return is_late && to == 2
           && (wire->kind == EEL_WIRE_LEAVING || wire->kind == EEL_WIRE_GOSSIP);
  };
  planned_stop (cluster, 1);
  cluster.run_for (300);
  for (size_t i = 0; i < keys.size (); i++)
    cluster.call (2, i, [&] (struct eel_call &call) {
      make_order (call, keys[i]);
      call.given |= EEL_GIVEN_DEADLINE;
      call.deadline_us = eel_clock_us () + 1500 * EEL_US_PER_MS;
    });
  cluster.run_for (50);
  is_late = false;
  for (size_t i = 0; i < keys.size (); i++)
    {
      ASSERT_TRUE (cluster.wait_for_answer (2, i));
      EXPECT_EQ (cluster.vm (2).answers[i].outcome, EEL_OUTCOME_RAN);
    }
  EXPECT_GT (sent, 0u);
  EXPECT_EQ (cluster.runs (), keys.size ());
  EXPECT_TRUE (cluster.run_until ([&] { return cluster.vm (1).exiting; }));
}

// Guards against a planned stop that ends before its last answers arrived.
TEST (node_orders, answers_of_a_leaving_node_arrive_before_it_exits)
{
  Cluster cluster (2);
  std::string key = cluster.issue_key (2);
  bool is_slow = false;

  cluster.vm (1).on_run = [] (Vm &, struct eel_msg *) {};
  cluster.vm (2).upstream_state (EEL_UPSTREAM_DRAINING);
  cluster.run_for (50);
  cluster.call (2, 1, [&] (struct eel_call &c) { make_order (c, key); });
  ASSERT_TRUE (
      cluster.run_until ([&] { return cluster.vm (1).runs.size () == 1; }));
  planned_stop (cluster, 1);
  cluster.run_for (100);
  cluster.hold_message = [&] (const struct eel_wire_message *, uint32_t to) {
    return is_slow && to == 2;
  };
  is_slow = true;
  cluster.vm (1).finish_run (cluster.vm (1).runs[0].call_id, EEL_RUN_ANSWERED,
                             "last");
  cluster.run_for (300);
  EXPECT_FALSE (cluster.vm (1).exiting);
  is_slow = false;
  cluster.release_held ();
  ASSERT_TRUE (cluster.wait_for_answer (2, 1));
  EXPECT_EQ (cluster.vm (2).answers[1].outcome, EEL_OUTCOME_RAN);
  EXPECT_TRUE (cluster.run_until ([&] { return cluster.vm (1).exiting; }));
}
