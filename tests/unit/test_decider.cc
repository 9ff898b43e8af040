#include <gtest/gtest.h>
#include <vector>

extern "C"
{
#include "eelgrasslatch/execution.h"
}

namespace
{
const uint8_t secret[EEL_KEY_SECRET_BYTES] = { 9 };
const int64_t key_life_us = 1000000;

class decider_test : public ::testing::Test
{
protected:
  std::vector<struct eel_decider_record> records
      = std::vector<struct eel_decider_record> (6);
  std::vector<uint32_t> buckets = std::vector<uint32_t> (4);
  std::vector<struct eel_answer_slot> answers
      = std::vector<struct eel_answer_slot> (3);
  struct eel_decider d;
  struct eel_key key;
  struct eel_decider_record *record = nullptr;

  void
  SetUp () override
  {
    struct eel_decider_storage storage
        = { records.data (), 4, 2, buckets.data (), 4, answers.data (), 3, 10 };

    eel_decider_init (&d, 5, 77, secret, &storage);
    ASSERT_EQ (eel_decider_issue (&d, 2, key_life_us, 0, &key), EEL_OK);
  }
  void
  TearDown () override
  {
    eel_decider_finish (&d);
  }
  enum eel_verdict
  begin (const struct eel_key &k, int64_t now = 1, uint64_t fingerprint = 11)
  {
    return eel_decider_begin (&d, &k, fingerprint, now, &record);
  }
  void
  run_to_end (const struct eel_key &k, uint32_t bytes)
  {
    uint8_t answer[16] = {};

    ASSERT_EQ (begin (k), EEL_VERDICT_RUN);
    ASSERT_EQ (eel_decider_dispatch (&d, record, 1, 1, 1), EEL_OK);
    eel_decider_mark_ran (&d, record, answer, bytes);
  }
};
}

// Guards against running a request whose key was issued by another process or
// incarnation, was forged or has expired.
TEST_F (decider_test, foreign_keys_never_run)
{
  struct eel_key other;
  struct
  {
    const char *name;
    enum eel_verdict verdict;
    uint32_t issuer;
    uint64_t incarnation;
    int64_t now_us;
    bool sign;
  } const rows[] = {
    { "issuer", EEL_VERDICT_OTHER_ISSUER, 6, 77, 1, true },
    { "incarnation", EEL_VERDICT_OTHER_INCARNATION, 5, 78, 1, true },
    { "forged", EEL_VERDICT_INVALID, 5, 78, 1, false },
    { "expired", EEL_VERDICT_EXPIRED, 5, 77, key_life_us, true },
  };

  for (const auto &row : rows)
    {
      other = key;
      other.issuer = row.issuer;
      other.incarnation = row.incarnation;
      if (row.sign)
        eel_key_sign (&other, secret);
      EXPECT_EQ (begin (other, row.now_us), row.verdict) << row.name;
    }
}

// Guards against a second copy that runs while the first one is open, running,
// finished or of unknown outcome, and against sealing a dispatched key.
TEST_F (decider_test, second_copy_never_runs)
{
  EXPECT_EQ (begin (key), EEL_VERDICT_RUN);
  record->pending = 0;
  EXPECT_EQ (begin (key), EEL_VERDICT_WAIT);
  record->pending = UINT32_MAX;
  EXPECT_EQ (eel_decider_dispatch (&d, record, 1, 1, 1), EEL_OK);
  EXPECT_EQ (begin (key), EEL_VERDICT_WAIT);
  EXPECT_NE (eel_decider_dispatch (&d, record, 2, 1, 1), EEL_OK);
  EXPECT_NE (eel_decider_seal (&d, record), EEL_OK);
  eel_decider_mark_unknown (&d, record);
  EXPECT_EQ (begin (key), EEL_VERDICT_UNKNOWN);
  EXPECT_NE (eel_decider_seal (&d, record), EEL_OK);
  eel_decider_mark_ran (&d, record, nullptr, 0);
  EXPECT_EQ (begin (key), EEL_VERDICT_ANSWER_GONE);
  EXPECT_NE (eel_decider_seal (&d, record), EEL_OK);
  EXPECT_NE (eel_decider_dispatch (&d, record, 2, 1, 1), EEL_OK);
}

// Guards against a dispatch after "not run", or after a pause past expiry.
TEST_F (decider_test, no_dispatch_after_seal_or_expiry)
{
  EXPECT_EQ (begin (key), EEL_VERDICT_RUN);
  EXPECT_EQ (eel_decider_dispatch (&d, record, 1, 1, key_life_us),
             EEL_ERROR_KEY_EXPIRED);
  EXPECT_EQ (eel_decider_seal (&d, record), EEL_OK);
  EXPECT_EQ (eel_decider_dispatch (&d, record, 1, 1, 1), EEL_ERROR_SEALED);
  EXPECT_EQ (begin (key), EEL_VERDICT_NOT_RUN);
}

// Guards against a late refusal of an earlier attempt reopening a later one.
TEST_F (decider_test, refusal_of_old_attempt_is_ignored)
{
  ASSERT_EQ (begin (key), EEL_VERDICT_RUN);
  ASSERT_EQ (eel_decider_dispatch (&d, record, 1, 1, 1), EEL_OK);
  eel_decider_attempt_refused (&d, record, 1);
  ASSERT_EQ (eel_decider_dispatch (&d, record, 2, 1, 1), EEL_OK);
  eel_decider_attempt_refused (&d, record, 1);
  EXPECT_EQ (record->state, EEL_DECIDER_DISPATCHED);
}

// Guards against answering a request with the outcome of another request that
// used the same key.
TEST_F (decider_test, other_fingerprint_is_refused)
{
  ASSERT_EQ (begin (key), EEL_VERDICT_RUN);
  EXPECT_EQ (begin (key, 1, 12), EEL_VERDICT_MISMATCH);
}

// Guards against a full table dropping a record before its key expires.
TEST_F (decider_test, full_tables_refuse)
{
  struct eel_key k;

  for (int i = 0; i < 3; i++)
    ASSERT_EQ (eel_decider_issue (&d, 0, key_life_us, 0, &k), EEL_OK);
  EXPECT_EQ (eel_decider_issue (&d, 0, key_life_us, 0, &k),
             EEL_ERROR_KEYS_EXHAUSTED);
  EXPECT_EQ (d.issue_refused, 1u);
  EXPECT_EQ (eel_decider_expire (&d, key_life_us - 1, 100), 0u);
  for (int i = 0; i < 3; i++)
    {
      eel_key_derive_child (&k, &key, "abc" + i, 1, secret);
      EXPECT_EQ (begin (k), i < 2 ? EEL_VERDICT_RUN : EEL_VERDICT_FULL);
    }
}

// Guards against dropping a record while its request runs, and against keeping
// it forever when the executor never replies.
TEST_F (decider_test, expiry_keeps_records_of_running_requests)
{
  ASSERT_EQ (begin (key), EEL_VERDICT_RUN);
  ASSERT_EQ (eel_decider_dispatch (&d, record, 1, 1, 1), EEL_OK);
  EXPECT_EQ (eel_decider_expire (&d, key_life_us, 100), 0u);
  EXPECT_EQ (begin (key, key_life_us), EEL_VERDICT_WAIT);
  EXPECT_EQ (
      eel_decider_expire (&d, key_life_us + EEL_DECIDER_RETENTION_US, 100), 1u);
  EXPECT_EQ (begin (key, key_life_us), EEL_VERDICT_EXPIRED);
}

// Guards against an evicted answer making a later copy run again.
TEST_F (decider_test, evicted_answer_is_not_run_again)
{
  struct eel_key second;
  uint32_t bytes;

  ASSERT_EQ (eel_decider_issue (&d, 0, key_life_us, 0, &second), EEL_OK);
  run_to_end (key, 6);
  EXPECT_EQ (begin (key), EEL_VERDICT_ANSWER);
  EXPECT_NE (eel_decider_answer (&d, record, &bytes), nullptr);
  EXPECT_EQ (bytes, 6u);
  run_to_end (second, 6);
  EXPECT_EQ (begin (key), EEL_VERDICT_ANSWER_GONE);
  EXPECT_EQ (begin (second), EEL_VERDICT_ANSWER);
  EXPECT_EQ (d.answer_bytes, 6u);
  EXPECT_EQ (d.answers_evicted, 1u);
}

// Guards against two copies of a sealed key becoming two orders, and against
// successors that never run out of attempts.
TEST_F (decider_test, one_successor_with_one_attempt_less)
{
  struct eel_key a, b;

  ASSERT_EQ (begin (key), EEL_VERDICT_RUN);
  EXPECT_NE (eel_decider_successor (&d, record, key_life_us, 1, &a), EEL_OK);
  ASSERT_EQ (eel_decider_seal (&d, record), EEL_OK);
  ASSERT_EQ (eel_decider_successor (&d, record, key_life_us, 1, &a), EEL_OK);
  ASSERT_EQ (eel_decider_successor (&d, record, key_life_us, 2, &b), EEL_OK);
  EXPECT_TRUE (eel_key_equal (&a, &b));
  EXPECT_EQ (a.spare, 1);
  record->spare = 0;
  record->successor = UINT32_MAX;
  EXPECT_EQ (eel_decider_successor (&d, record, key_life_us, 1, &a),
             EEL_ERROR_ATTEMPTS_SPENT);
}
