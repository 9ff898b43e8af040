#include <gtest/gtest.h>
#include <vector>

extern "C"
{
#include "eelgrasslatch/quarantine.h"
#include "eelgrasslatch/retry.h"
}

// Guards against a call that returns more attempts than it was lent.
TEST (ledger, loans_never_create_attempts)
{
  struct eel_ledger ledger;
  uint8_t a, b;

  eel_ledger_init (&ledger, 3);
  a = eel_ledger_lend (&ledger);
  b = eel_ledger_lend (&ledger);
  EXPECT_EQ (a, 2);
  EXPECT_EQ (b, 1);
  EXPECT_EQ (eel_ledger_lend (&ledger), 0);
  EXPECT_FALSE (eel_ledger_take (&ledger));
  eel_ledger_return (&ledger, a, 200);
  EXPECT_EQ (ledger.spare, 2);
  eel_ledger_return (&ledger, a, 2);
  EXPECT_EQ (ledger.spare, 3);
  eel_ledger_return (&ledger, b, 1);
  EXPECT_EQ (ledger.spare, 3);
}

// Guards against a retry storm: successes and time refill the budget slowly and
// never past its capacity, and a pause of any length causes no overflow.
TEST (budget, refills_slowly_within_its_capacity)
{
  struct eel_retry_budget budget;

  eel_retry_budget_init (&budget, 2000, 100, 100, 0);
  EXPECT_TRUE (eel_retry_budget_take (&budget, 0));
  EXPECT_TRUE (eel_retry_budget_take (&budget, 0));
  EXPECT_FALSE (eel_retry_budget_take (&budget, 0));
  for (int i = 0; i < 9; i++)
    eel_retry_budget_success (&budget);
  EXPECT_FALSE (eel_retry_budget_take (&budget, 0));
  for (int64_t now = 0; now < 1000000; now += 7)
    EXPECT_FALSE (eel_retry_budget_take (&budget, now)) << now;
  EXPECT_TRUE (eel_retry_budget_take (&budget, 1000000));
  EXPECT_TRUE (eel_retry_budget_take (&budget, INT64_MAX));
  EXPECT_TRUE (eel_retry_budget_take (&budget, INT64_MAX));
  EXPECT_FALSE (eel_retry_budget_take (&budget, INT64_MAX));
}

namespace
{
class quarantine_test : public ::testing::Test
{
protected:
  std::vector<struct eel_quarantine_entry> entries
      = std::vector<struct eel_quarantine_entry> (3);
  struct eel_quarantine q;

  void
  SetUp () override
  {
    eel_quarantine_init (&q, entries.data (), 3, 1000);
  }
  void
  crash (const std::vector<uint64_t> &fingerprints, int64_t now = 0)
  {
    eel_quarantine_crashed (&q, fingerprints.data (), fingerprints.size (),
                            now);
  }
  enum eel_quarantine_state
  check (uint64_t fingerprint, int64_t now = 0)
  {
    return eel_quarantine_check (&q, fingerprint, now);
  }
};
}

// Guards against refusing requests that were only in flight at a crash, and
// against a crashing request that is never refused.
TEST_F (quarantine_test, only_the_single_suspect_is_refused)
{
  crash ({ 1, 2 });
  crash ({ 1, 2 });
  EXPECT_EQ (check (1), EEL_QUARANTINE_SUSPECT);
  EXPECT_EQ (check (2), EEL_QUARANTINE_SUSPECT);
  crash ({ 3, 2, 2 });
  EXPECT_EQ (check (1), EEL_QUARANTINE_SUSPECT);
  EXPECT_EQ (check (2), EEL_QUARANTINE_REFUSED);
  EXPECT_EQ (check (3), EEL_QUARANTINE_SUSPECT);
  crash ({ 2, 3 });
  EXPECT_EQ (check (3), EEL_QUARANTINE_SUSPECT) << "2 explains the crash";
  eel_quarantine_cleared (&q, 1);
  eel_quarantine_cleared (&q, 2);
  EXPECT_EQ (check (1), EEL_QUARANTINE_NONE);
  EXPECT_EQ (check (2), EEL_QUARANTINE_REFUSED);
}

// Guards against entries that stay after their expiry or overflow the table.
TEST_F (quarantine_test, entries_expire_and_are_bounded)
{
  struct eel_quarantine_entry out[4];

  crash ({ 1 }, 0);
  crash ({ 2 }, 1);
  crash ({ 3 }, 2);
  crash ({ 4 }, 3);
  EXPECT_EQ (check (1, 3), EEL_QUARANTINE_NONE);
  EXPECT_EQ (q.evicted, 1u);
  EXPECT_EQ (check (2, 1001), EEL_QUARANTINE_NONE);
  EXPECT_EQ (eel_quarantine_merge_refused (&q, 9, 1 << 30, 5), 1);
  EXPECT_EQ (eel_quarantine_merge_refused (&q, 9, 1 << 30, 6), 0);
  EXPECT_EQ (eel_quarantine_merge_refused (&q, 8, 0, 5), 0);
  EXPECT_EQ (eel_quarantine_list_refused (&q, out, 4, 6), 1u);
  EXPECT_EQ (out[0].fingerprint, 9u);
  EXPECT_EQ (check (9, 1005), EEL_QUARANTINE_NONE);
}
