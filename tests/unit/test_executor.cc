#include <gtest/gtest.h>
#include <vector>

extern "C"
{
#include "eelgrasslatch/execution.h"
}

namespace
{
const int64_t valid_until_us = 1000;
const int64_t retention_end_us = valid_until_us + EEL_EXECUTOR_RETENTION_US;

class executor_test : public ::testing::Test
{
protected:
  std::vector<struct eel_executor_record> records
      = std::vector<struct eel_executor_record> (8);
  std::vector<uint32_t> buckets = std::vector<uint32_t> (4);
  struct eel_executor x;
  struct eel_key key = {};

  void
  SetUp () override
  {
    key.serial = 1;
    eel_executor_init (&x, 3, records.data (), 8, buckets.data (), 4);
  }
  void
  TearDown () override
  {
    eel_executor_finish (&x);
  }
  enum eel_accept
  accept (uint8_t attempt = 1, int64_t now = 0, uint64_t incarnation = 3)
  {
    return eel_executor_accept (&x, &key, attempt, valid_until_us, incarnation,
                                now);
  }
  enum eel_accept
  start (int64_t now = 0)
  {
    return eel_executor_start (&x, &key, 1, now);
  }
  enum eel_executor_state
  seal (int64_t now = 0)
  {
    return eel_executor_seal (&x, &key, 1, valid_until_us, now);
  }
};
}

// Guards against a delayed, duplicated or misdirected message being run.
TEST_F (executor_test, message_is_accepted_once)
{
  EXPECT_EQ (accept (1, 0, 4), EEL_ACCEPT_OTHER_INCARNATION);
  EXPECT_EQ (accept (1, valid_until_us), EEL_ACCEPT_LATE);
  EXPECT_EQ (accept (), EEL_ACCEPT_OK);
  EXPECT_EQ (accept (), EEL_ACCEPT_DUPLICATE);
  EXPECT_EQ (accept (2), EEL_ACCEPT_OK);
  EXPECT_EQ (start (), EEL_ACCEPT_OK);
  EXPECT_EQ (start (), EEL_ACCEPT_DUPLICATE);
  eel_executor_done (&x, &key, 1);
  EXPECT_EQ (accept (1, valid_until_us), EEL_ACCEPT_DUPLICATE);
}

// Guards against an attempt that starts after valid-until because the process
// was suspended while the attempt was queued.
TEST_F (executor_test, start_checks_validity_again)
{
  ASSERT_EQ (accept (), EEL_ACCEPT_OK);
  EXPECT_EQ (start (valid_until_us), EEL_ACCEPT_LATE);
  EXPECT_EQ (seal (valid_until_us), EEL_EXECUTOR_SEALED);
}

// Guards against a run after the decider got the answer that it is sealed.
TEST_F (executor_test, sealed_attempt_never_starts)
{
  EXPECT_EQ (seal (), EEL_EXECUTOR_SEALED);
  EXPECT_EQ (accept (), EEL_ACCEPT_SEALED);
  EXPECT_EQ (start (), EEL_ACCEPT_SEALED);
}

// Guards against reporting a running or finished attempt as sealed.
TEST_F (executor_test, seal_reports_started_attempts)
{
  ASSERT_EQ (accept (), EEL_ACCEPT_OK);
  ASSERT_EQ (start (), EEL_ACCEPT_OK);
  EXPECT_EQ (seal (), EEL_EXECUTOR_RUNNING);
  eel_executor_done (&x, &key, 1);
  EXPECT_EQ (seal (), EEL_EXECUTOR_DONE);
}

// Guards against "unknown" for an attempt that the upstream refused.
TEST_F (executor_test, refused_by_upstream_counts_as_sealed)
{
  ASSERT_EQ (accept (), EEL_ACCEPT_OK);
  ASSERT_EQ (start (), EEL_ACCEPT_OK);
  eel_executor_not_run (&x, &key, 1);
  EXPECT_EQ (seal (), EEL_EXECUTOR_SEALED);
}

// Guards against a seal or refusal based on a record that has been dropped.
TEST_F (executor_test, no_seal_or_refusal_after_record_is_dropped)
{
  ASSERT_EQ (accept (), EEL_ACCEPT_OK);
  ASSERT_EQ (start (), EEL_ACCEPT_OK);
  EXPECT_EQ (eel_executor_expire (&x, retention_end_us, 100), 0u);
  eel_executor_done (&x, &key, 1);
  EXPECT_EQ (eel_executor_expire (&x, retention_end_us - 1, 100), 0u);
  EXPECT_EQ (eel_executor_expire (&x, retention_end_us, 100), 1u);
  EXPECT_EQ (seal (valid_until_us + EEL_EXECUTOR_RETENTION_US / 2),
             EEL_EXECUTOR_FREE);
  EXPECT_EQ (eel_executor_seal (&x, &key, 1, INT64_MIN, 0), EEL_EXECUTOR_FREE);
  EXPECT_EQ (accept (1, retention_end_us), EEL_ACCEPT_DUPLICATE);
}

// Guards against a second copy being accepted after a full table refused the
// first one, and against that refusal blocking attempts with later deadlines.
TEST_F (executor_test, full_table_refusal_is_final)
{
  for (uint8_t attempt = 2; attempt < 9; attempt++)
    ASSERT_EQ (accept (attempt), EEL_ACCEPT_OK);
  EXPECT_EQ (accept (), EEL_ACCEPT_FULL);
  EXPECT_EQ (eel_executor_accept (&x, &key, 20, INT64_C (60000000), 3, 0),
             EEL_ACCEPT_DUPLICATE);
  EXPECT_EQ (eel_executor_seal (&x, &key, 9, valid_until_us, 0),
             EEL_EXECUTOR_SEALED);
  EXPECT_EQ (eel_executor_seal (&x, &key, 10, valid_until_us, 0),
             EEL_EXECUTOR_FREE);
  x.free_count += 2;
  EXPECT_EQ (accept (), EEL_ACCEPT_FULL);
  x.free_count -= 2;
  EXPECT_EQ (eel_executor_expire (&x, retention_end_us, 100), 8u);
  EXPECT_EQ (eel_executor_accept (&x, &key, 1, 2 * retention_end_us, 3,
                                  retention_end_us),
             EEL_ACCEPT_OK);
}
