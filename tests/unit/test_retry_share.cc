#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/retry_share.h"
#include "eelgrasslatch/types.h"
}

// Guards against retries beyond the share in any sliding window.
TEST (RetryShare, HoldsInEverySlidingWindow)
{
  struct eel_retry_share share;
  std::vector<int64_t> requests;
  std::vector<int64_t> retries;

  eel_retry_share_init (&share, 0.2, 4, 10 * EEL_US_PER_S, 0);
  for (int64_t ms = 0; ms < 40000; ms += 10)
    {
      bool busy = ms < 20000;

      if (busy || ms % 200 == 0)
        {
          eel_retry_share_request (&share, ms * EEL_US_PER_MS);
          requests.push_back (ms);
        }
      if (ms >= 15000
          && eel_retry_share_take (&share, 1000, ms * EEL_US_PER_MS))
        retries.push_back (ms);
    }
  auto within = [] (const std::vector<int64_t> &all, int64_t from) {
    return std::count_if (all.begin (), all.end (), [from] (int64_t at) {
      return at >= from && at < from + 10000;
    });
  };
  for (int64_t from = 0; from < 30000; from += 100)
    {
      auto most = std::max (within (requests, from),
                            std::max (within (requests, from - 10000),
                                      within (requests, from - 5000)));

      EXPECT_LE (within (retries, from), 0.2 * most + 4 + 1) << from;
    }
  EXPECT_GT (retries.size (), 100u);
}

// Guards against a first second that uses up the retries of the whole window.
TEST (RetryShare, SpreadsAWindowOverItsSeconds)
{
  struct eel_retry_share share;
  int first = 0;

  eel_retry_share_init (&share, 0.2, 0, 10 * EEL_US_PER_S, 0);
  for (int64_t ms = 0; ms < 10000; ms++)
    eel_retry_share_request (&share, ms * EEL_US_PER_MS);
  for (int64_t ms = 10000; ms < 11000; ms++)
    first += eel_retry_share_take (&share, 1000, ms * EEL_US_PER_MS);
  EXPECT_GE (first, 250);
  EXPECT_LE (first, 310);
}

// Guards against a node with low traffic that never gets a retry which costs
// several arrivals.
TEST (RetryShare, LittleTrafficGetsAnExpensiveRetry)
{
  struct eel_retry_share share;

  eel_retry_share_init (&share, 0.2, 4, 10 * EEL_US_PER_S, 0);
  EXPECT_EQ (eel_retry_share_take (&share, 3000, 0), 1);
  EXPECT_EQ (eel_retry_share_take (&share, 3000, 1), 0);
}
