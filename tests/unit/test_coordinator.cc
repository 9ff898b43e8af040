#include <gtest/gtest.h>
#include <vector>

extern "C"
{
#include "eelgrasslatch/coordinator.h"
}

namespace
{
const uint8_t secret[EEL_KEY_SECRET_BYTES] = { 9 };
const int64_t order_deadline_us = 10000;
const int64_t seal_timeout_us = 1000;

class coordinator_test : public ::testing::Test
{
protected:
  std::vector<struct eel_decider_record> records
      = std::vector<struct eel_decider_record> (8);
  std::vector<uint32_t> buckets = std::vector<uint32_t> (8);
  std::vector<struct eel_answer_slot> answers
      = std::vector<struct eel_answer_slot> (4);
  std::vector<struct eel_pending> pending = std::vector<struct eel_pending> (2);
  std::vector<struct eel_waiter> waiters = std::vector<struct eel_waiter> (80);
  struct eel_coordinator c;
  struct eel_key key;
  struct eel_action out[EEL_ACTIONS_MAX];
  uint64_t next_call = 1;

  void
  SetUp () override
  {
    struct eel_decider decider;
    struct eel_decider_storage storage
        = { records.data (), 4, 4, buckets.data (), 8, answers.data (), 4, 99 };

    eel_decider_init (&decider, 5, 77, secret, &storage);
    eel_coordinator_init (&c, &decider, pending.data (), 2, waiters.data (), 80,
                          seal_timeout_us);
    ASSERT_EQ (eel_decider_issue (&c.decider, 3, 1000000, 0, &key), EEL_OK);
  }
  void
  TearDown () override
  {
    eel_coordinator_finish (&c);
  }
  size_t
  arrive (const struct eel_key &k,
          int64_t now = 0,
          uint8_t spare = 0,
          int64_t until = order_deadline_us)
  {
    struct eel_arrival arrival = { k, 11, next_call++, until, spare };

    return eel_coordinator_arrived (&c, &arrival, now, out);
  }
  enum eel_error
  dispatch (uint8_t attempt = 1, int64_t now = 0)
  {
    return eel_coordinator_dispatched (&c, &key, attempt, 1, 100, now);
  }
  size_t
  reply (enum eel_attempt_result result,
         enum eel_error error = EEL_OK,
         uint8_t attempt = 1,
         uint8_t unused = 0,
         uint64_t incarnation = 100)
  {
    static const uint8_t bytes[] = "answer";

    return eel_coordinator_replied (&c, &key, attempt, 1, incarnation, result,
                                    error, unused, bytes, sizeof bytes, 1, out);
  }
  size_t
  sealed (enum eel_executor_state state, uint64_t incarnation = 100)
  {
    return eel_coordinator_sealed (&c, &key, 1, 1, incarnation, state, 9500,
                                   out);
  }
  void
  begin_dispatched ()
  {
    ASSERT_EQ (arrive (key), 1u);
    ASSERT_EQ (out[0].kind, EEL_ACTION_EXECUTE);
    ASSERT_EQ (dispatch (), EEL_OK);
  }
};
}

// Guards against a second copy that runs, or gets no answer or a different one.
TEST_F (coordinator_test, copies_share_one_run_and_its_answer)
{
  begin_dispatched ();
  EXPECT_EQ (arrive (key), 0u);
  EXPECT_EQ (reply (EEL_ATTEMPT_RAN), 2u);
  for (int i = 0; i < 2; i++)
    {
      EXPECT_EQ (out[i].outcome, EEL_OUTCOME_RAN);
      EXPECT_STREQ (reinterpret_cast<const char *> (out[i].answer), "answer");
    }
  EXPECT_NE (out[0].call_id, out[1].call_id);
  ASSERT_EQ (arrive (key), 1u);
  EXPECT_STREQ (reinterpret_cast<const char *> (out[0].answer), "answer");
}

// Guards against "not run" while the attempt may still run, for each result of
// sealing an attempt without a reply.
TEST_F (coordinator_test, timeout_answers_only_what_is_known)
{
  struct
  {
    const char *name;
    enum eel_executor_state state;
    uint64_t incarnation;
    enum eel_outcome outcome;
    enum eel_retry_advice retry;
    bool at_once;
  } const rows[] = {
    { "sealed", EEL_EXECUTOR_SEALED, 100, EEL_OUTCOME_NOT_RUN,
      EEL_RETRY_NEW_KEY, true },
    { "sealed by a restarted executor", EEL_EXECUTOR_SEALED, 101,
      EEL_OUTCOME_UNKNOWN, EEL_RETRY_NONE, true },
    { "table full", EEL_EXECUTOR_FREE, 100, EEL_OUTCOME_UNKNOWN, EEL_RETRY_NONE,
      true },
    { "running", EEL_EXECUTOR_RUNNING, 100, EEL_OUTCOME_UNKNOWN,
      EEL_RETRY_SAME_KEY, false },
    { "done", EEL_EXECUTOR_DONE, 100, EEL_OUTCOME_UNKNOWN, EEL_RETRY_SAME_KEY,
      false },
  };

  for (const auto &row : rows)
    {
      SCOPED_TRACE (row.name);
      begin_dispatched ();
      ASSERT_EQ (
          eel_coordinator_tick (&c, order_deadline_us - seal_timeout_us, out),
          1u);
      ASSERT_EQ (out[0].kind, EEL_ACTION_SEAL);
      EXPECT_EQ (out[0].executor_incarnation, 100u);
      ASSERT_EQ (sealed (row.state, row.incarnation), row.at_once ? 1u : 0u);
      if (!row.at_once)
        {
          ASSERT_EQ (eel_coordinator_tick (&c, order_deadline_us, out), 1u);
        }
      EXPECT_EQ (out[0].outcome, row.outcome);
      EXPECT_EQ (out[0].retry, row.retry);
      EXPECT_EQ (c.pending_count, 0u);
      TearDown ();
      SetUp ();
    }
}

// Guards against a caller that waits past its deadline for an unreachable
// executor, and against a resend that does not get the late reply.
TEST_F (coordinator_test, unreachable_executor_is_unknown_by_the_deadline)
{
  begin_dispatched ();
  ASSERT_EQ (
      eel_coordinator_tick (&c, order_deadline_us - seal_timeout_us, out), 1u);
  ASSERT_EQ (eel_coordinator_tick (&c, order_deadline_us, out), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_UNKNOWN);
  EXPECT_EQ (c.unknown_by_error[EEL_ERROR_OUTCOME_UNKNOWN], 1u);
  ASSERT_EQ (arrive (key, order_deadline_us, 0, 2 * order_deadline_us), 1u);
  EXPECT_EQ (out[0].kind, EEL_ACTION_SEAL);
  ASSERT_EQ (reply (EEL_ATTEMPT_RAN), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_RAN);
}

// Guards against sending an attempt that was chosen before a pause or seal.
TEST_F (coordinator_test, dispatch_is_checked_again)
{
  ASSERT_EQ (arrive (key), 1u);
  EXPECT_EQ (dispatch (1, order_deadline_us), EEL_ERROR_DEADLINE);
  EXPECT_EQ (dispatch (2, 0), EEL_ERROR_SEALED);
  ASSERT_EQ (eel_coordinator_tick (&c, order_deadline_us, out), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_NOT_RUN);
  EXPECT_EQ (dispatch (1, 0), EEL_ERROR_SEALED);
}

// Guards against an order that waits for its timeout, or is never sealed,
// because its message could not be sent after it was marked dispatched.
TEST_F (coordinator_test, unsent_message_is_not_run)
{
  begin_dispatched ();
  EXPECT_EQ (eel_coordinator_not_dispatched (&c, &key, 2, EEL_ERROR_OVERLOADED,
                                             1, out),
             0u);
  ASSERT_EQ (eel_coordinator_not_dispatched (&c, &key, 1, EEL_ERROR_OVERLOADED,
                                             1, out),
             1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_NOT_RUN);
  EXPECT_EQ (dispatch (2), EEL_ERROR_SEALED);
}

// Guards against a seal with the later deadline of another copy, which could
// succeed after the executor has dropped the record of a finished run.
TEST_F (coordinator_test, seal_carries_the_limits_that_were_sent)
{
  begin_dispatched ();
  eel_coordinator_set_valid_until (&c, &key, 1, 4321);
  ASSERT_EQ (eel_coordinator_tick (&c, order_deadline_us, out), 1u);
  EXPECT_EQ (out[0].valid_until_us, 4321);
  ASSERT_EQ (eel_coordinator_tick (&c, 2 * order_deadline_us, out), 1u);
  ASSERT_EQ (arrive (key, 2 * order_deadline_us, 0, 9 * order_deadline_us), 1u);
  ASSERT_EQ (out[0].kind, EEL_ACTION_SEAL);
  EXPECT_EQ (out[0].deadline_us, order_deadline_us);
  EXPECT_EQ (out[0].valid_until_us, 4321);
}

// Guards against more attempts than the record's spare ones allow, and against
// another dispatch of an attempt that an executor may have run.
TEST_F (coordinator_test, refused_attempts_repeat_within_the_spare_ones)
{
  ASSERT_EQ (arrive (key), 1u);
  EXPECT_EQ (out[0].spare, 2);
  for (uint8_t attempt = 1; attempt <= 3; attempt++)
    {
      ASSERT_EQ (dispatch (attempt), EEL_OK);
      ASSERT_EQ (reply (EEL_ATTEMPT_REFUSED, EEL_ERROR_LEAVING, attempt, 9),
                 1u);
      EXPECT_EQ (out[0].kind, EEL_ACTION_EXECUTE);
      EXPECT_EQ (out[0].attempt, attempt + 1);
    }
  ASSERT_EQ (dispatch (4), EEL_OK);
  ASSERT_EQ (reply (EEL_ATTEMPT_REFUSED, EEL_ERROR_LEAVING, 4), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_NOT_RUN);
  EXPECT_EQ (out[0].retry, EEL_RETRY_NONE);
}

// Guards against trusting a refusal by another incarnation, which has no
// records of the earlier one.
TEST_F (coordinator_test, refusal_of_other_incarnation_is_unknown)
{
  begin_dispatched ();
  ASSERT_EQ (reply (EEL_ATTEMPT_REFUSED, EEL_ERROR_LEAVING, 1, 0, 101), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_UNKNOWN);
  EXPECT_EQ (out[0].error, EEL_ERROR_OUTCOME_UNKNOWN);
}

// Guards against dispatching an order again after its executor restarted.
TEST_F (coordinator_test, restarted_executor_leaves_outcome_unknown)
{
  begin_dispatched ();
  EXPECT_EQ (eel_coordinator_executor_restarted (&c, 1, 100, 1, out), 0u);
  ASSERT_EQ (eel_coordinator_executor_restarted (&c, 1, 101, 1, out), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_UNKNOWN);
  ASSERT_EQ (arrive (key), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_UNKNOWN);
}

// Guards against successors that differ between copies or gain attempts.
TEST_F (coordinator_test, successor_costs_an_attempt_and_is_shared)
{
  struct eel_key first;

  ASSERT_EQ (arrive (key), 1u);
  ASSERT_EQ (eel_coordinator_not_dispatched (&c, &key, 1, EEL_ERROR_NO_ENDPOINT,
                                             1, out),
             1u);
  ASSERT_TRUE (out[0].has_next_key);
  first = out[0].next_key;
  EXPECT_EQ (first.spare, 2);
  ASSERT_EQ (arrive (key), 1u);
  ASSERT_TRUE (out[0].has_next_key);
  EXPECT_TRUE (eel_key_equal (&out[0].next_key, &first));
}

// Guards against spare attempts that both a child and its parent can use.
TEST_F (coordinator_test, child_attempts_come_from_its_parent)
{
  struct eel_key root = key;

  eel_key_derive_child (&key, &root, "charge", 6, secret);
  ASSERT_EQ (arrive (key, 0, 4), 1u);
  EXPECT_EQ (out[0].spare, 2);
  ASSERT_EQ (dispatch (), EEL_OK);
  ASSERT_EQ (arrive (key, 0, 1), 0u);
  ASSERT_EQ (reply (EEL_ATTEMPT_RAN, EEL_OK, 1, 1), 2u);
  EXPECT_EQ (out[0].spare, 1) << "the copy gets its spare attempt back";
  EXPECT_EQ (out[1].spare, 2) << "4, less 1 used below and 1 for the copy";
  ASSERT_EQ (arrive (key, 0, 2), 1u);
  EXPECT_EQ (out[0].spare, 2);
}

// Guards against inner hops multiplying the load by retrying after overload.
TEST_F (coordinator_test, inner_hops_do_not_retry_overload)
{
  struct eel_key root = key;

  eel_key_derive_child (&key, &root, "charge", 6, secret);
  ASSERT_EQ (arrive (key, 0, 4), 1u);
  ASSERT_EQ (dispatch (), EEL_OK);
  ASSERT_EQ (reply (EEL_ATTEMPT_REFUSED, EEL_ERROR_OVERLOADED, 1, 2), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_NOT_RUN);
  EXPECT_EQ (out[0].retry, EEL_RETRY_NONE);
  EXPECT_EQ (out[0].spare, 4);
}

// Guards against a copy that waits past its own deadline, and against answering
// it with an outcome of the order, which is still running.
TEST_F (coordinator_test, copy_past_its_own_deadline_is_refused)
{
  begin_dispatched ();
  ASSERT_EQ (arrive (key, 0, 0, 100), 0u);
  ASSERT_EQ (eel_coordinator_tick (&c, 100, out), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_REFUSED);
  EXPECT_EQ (out[0].error, EEL_ERROR_IN_PROGRESS);
  EXPECT_EQ (reply (EEL_ATTEMPT_RAN), 1u);
}

// Guards against copies that do not fit one action array and get no answer.
TEST_F (coordinator_test, many_copies_are_all_answered)
{
  begin_dispatched ();
  for (int i = 0; i < 70; i++)
    EXPECT_EQ (arrive (key), 0u);
  EXPECT_EQ (reply (EEL_ATTEMPT_RAN), size_t (EEL_ACTIONS_MAX));
  ASSERT_EQ (eel_coordinator_tick (&c, 2, out), 71u - EEL_ACTIONS_MAX);
  EXPECT_STREQ (reinterpret_cast<const char *> (out[0].answer), "answer");
  EXPECT_EQ (c.pending_count, 0u);
}

// Guards against a full table that makes a key unusable.
TEST_F (coordinator_test, full_pending_table_refuses_and_keeps_the_key)
{
  struct eel_key k[2];

  for (struct eel_key &other : k)
    {
      ASSERT_EQ (eel_decider_issue (&c.decider, 0, 1000000, 0, &other), EEL_OK);
      ASSERT_EQ (arrive (other), 1u);
    }
  ASSERT_EQ (arrive (key), 1u);
  EXPECT_EQ (out[0].error, EEL_ERROR_TABLE_FULL);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_REFUSED);
  ASSERT_EQ (eel_coordinator_not_dispatched (&c, &k[0], 1, EEL_ERROR_OVERLOADED,
                                             1, out),
             1u);
  ASSERT_EQ (arrive (key), 1u);
  EXPECT_EQ (out[0].kind, EEL_ACTION_EXECUTE);
}

// Guards against a graceful shutdown that leaves unsent orders unanswered or
// interrupts running ones, and against retrying one that is refused later.
TEST_F (coordinator_test, drain_seals_unsent_orders_only)
{
  struct eel_key other;

  begin_dispatched ();
  ASSERT_EQ (eel_decider_issue (&c.decider, 3, 1000000, 0, &other), EEL_OK);
  ASSERT_EQ (arrive (other), 1u);
  ASSERT_EQ (eel_coordinator_drain (&c, 1, out), 1u);
  EXPECT_TRUE (eel_key_equal (&out[0].key, &other));
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_NOT_RUN);
  EXPECT_EQ (out[0].retry, EEL_RETRY_NEW_KEY);
  EXPECT_FALSE (out[0].has_next_key);
  ASSERT_EQ (reply (EEL_ATTEMPT_REFUSED, EEL_ERROR_LEAVING), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_NOT_RUN);
}

// Guards against an answer to a caller that disconnected.
TEST_F (coordinator_test, disconnected_caller_gets_no_answer)
{
  begin_dispatched ();
  eel_coordinator_caller_disconnected (&c, 1);
  EXPECT_EQ (reply (EEL_ATTEMPT_RAN), 0u);
  EXPECT_EQ (c.pending_count, 0u);
  ASSERT_EQ (arrive (key), 1u);
  EXPECT_EQ (out[0].outcome, EEL_OUTCOME_RAN);
}
