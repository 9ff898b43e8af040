#include <gtest/gtest.h>
#include <cstring>

extern "C"
{
#include "eelgrasslatch/caller.h"
}

namespace
{
const int64_t deadline_us = 10000000;

class caller_test : public ::testing::Test
{
protected:
  struct eel_caller caller;
  struct eel_caller_request request;
  int64_t send_at_us = 0;

  void
  SetUp () override
  {
    eel_caller_init (&caller, 3, 1000, 4000, 1);
    eel_caller_add_key (&caller, "old", 5, 0);
    eel_caller_add_key (&caller, "short", 1000, 0);
    eel_caller_add_key (&caller, "good", deadline_us, 0);
    ASSERT_EQ (eel_caller_begin (&caller, &request, deadline_us, 10),
               EEL_CALLER_SEND);
    ASSERT_STREQ (request.key, "good");
  }
  enum eel_caller_step
  answered (enum eel_outcome outcome,
            enum eel_retry_advice advice,
            const char *next = nullptr,
            uint32_t after_ms = 0)
  {
    return eel_caller_answered (&caller, &request, outcome, advice, after_ms,
                                next, 10, &send_at_us);
  }
};
}

// Guards against a caller that resends with another key, or without one, where
// only one key is safe, for each possible answer.
TEST_F (caller_test, key_for_each_answer)
{
  struct
  {
    enum eel_outcome outcome;
    enum eel_retry_advice advice;
    const char *next;
    enum eel_caller_step step;
    const char *key;
  } const rows[] = {
    { EEL_OUTCOME_RAN, EEL_RETRY_NONE, nullptr, EEL_CALLER_DONE, "good" },
    { EEL_OUTCOME_RAN, EEL_RETRY_SAME_KEY, nullptr, EEL_CALLER_DONE, "good" },
    { EEL_OUTCOME_UNKNOWN, EEL_RETRY_NONE, nullptr, EEL_CALLER_GIVE_UP,
      "good" },
    { EEL_OUTCOME_UNKNOWN, EEL_RETRY_SAME_KEY, "next", EEL_CALLER_SEND,
      "good" },
    { EEL_OUTCOME_UNKNOWN, EEL_RETRY_NEW_KEY, "next", EEL_CALLER_SEND, "good" },
    { EEL_OUTCOME_REFUSED, EEL_RETRY_SAME_KEY, "next", EEL_CALLER_SEND,
      "good" },
    { EEL_OUTCOME_NOT_RUN, EEL_RETRY_NEW_KEY, "next", EEL_CALLER_SEND, "next" },
    { EEL_OUTCOME_NOT_RUN, EEL_RETRY_NEW_KEY, nullptr, EEL_CALLER_NEEDS_KEY,
      "good" },
    { EEL_OUTCOME_NOT_RUN, EEL_RETRY_NONE, "next", EEL_CALLER_GIVE_UP, "good" },
  };

  for (const auto &row : rows)
    {
      SetUp ();
      EXPECT_EQ (answered (row.outcome, row.advice, row.next), row.step)
          << eel_outcome_name (row.outcome) << " "
          << eel_retry_advice_name (row.advice);
      EXPECT_STREQ (request.key, row.key);
    }
}

// Guards against a caller that sends too often, too early or too late.
TEST_F (caller_test, sends_are_bounded)
{
  EXPECT_EQ (answered (EEL_OUTCOME_REFUSED, EEL_RETRY_SAME_KEY, nullptr, 500),
             EEL_CALLER_SEND);
  EXPECT_GE (send_at_us, 500010);
  EXPECT_LE (send_at_us, 504010);
  EXPECT_EQ (answered (EEL_OUTCOME_REFUSED, EEL_RETRY_SAME_KEY, nullptr, 10000),
             EEL_CALLER_GIVE_UP);
  EXPECT_EQ (answered (EEL_OUTCOME_REFUSED, EEL_RETRY_SAME_KEY),
             EEL_CALLER_SEND);
  EXPECT_EQ (answered (EEL_OUTCOME_REFUSED, EEL_RETRY_SAME_KEY),
             EEL_CALLER_GIVE_UP);
}

// Guards against one key being used for two orders.
TEST_F (caller_test, key_is_used_once)
{
  struct eel_caller_request second;

  EXPECT_EQ (eel_caller_begin (&caller, &second, deadline_us, 10),
             EEL_CALLER_NEEDS_KEY);
  EXPECT_FALSE (eel_caller_add_key (
      &caller, std::string (EEL_KEY_TEXT_MAX, 'k').c_str (), 1000, 10));
}
