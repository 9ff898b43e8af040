#ifndef EELGRASSLATCH_ERROR_H
#define EELGRASSLATCH_ERROR_H

#include <stdint.h>

/*
 * The closed list of error kinds; struct eel_error_info holds the response of
 * each.  Every refusal in the system uses one of these kinds; docs/callers.md
 * lists the same table.
 */
enum eel_error
{
  EEL_OK,
  EEL_ERROR_BAD_REQUEST,
  EEL_ERROR_HEADER_INVALID,
  EEL_ERROR_HEADER_TOO_LARGE,
  EEL_ERROR_BODY_TOO_LARGE,
  EEL_ERROR_SERVICE_UNKNOWN,
  EEL_ERROR_KEY_REQUIRED,
  EEL_ERROR_KEY_INVALID,
  EEL_ERROR_KEY_EXPIRED,
  EEL_ERROR_KEY_OTHER_INCARNATION,
  EEL_ERROR_KEY_MISMATCH,
  EEL_ERROR_KEYS_EXHAUSTED,
  EEL_ERROR_DECIDER_UNREACHABLE,
  EEL_ERROR_IN_PROGRESS,
  EEL_ERROR_ANSWER_GONE,
  EEL_ERROR_SEALED,
  EEL_ERROR_DEADLINE,
  EEL_ERROR_OVERLOADED,
  EEL_ERROR_CALLER_LIMIT,
  EEL_ERROR_ATTEMPTS_SPENT,
  EEL_ERROR_RETRY_BUDGET,
  EEL_ERROR_QUARANTINED,
  EEL_ERROR_CRASHES_UPSTREAMS,
  EEL_ERROR_NO_ENDPOINT,
  EEL_ERROR_UPSTREAM_REFUSED,
  EEL_ERROR_UPSTREAM_FAILED,
  EEL_ERROR_OUTCOME_UNKNOWN,
  EEL_ERROR_CANCELLED,
  EEL_ERROR_LEAVING,
  EEL_ERROR_VERSION_REFUSED,
  EEL_ERROR_MESSAGE_INVALID,
  EEL_ERROR_DOCUMENT_INVALID,
  EEL_ERROR_DOCUMENT_TOO_LARGE,
  EEL_ERROR_TABLE_FULL,
  EEL_ERROR_UNAUTHORIZED,
  EEL_ERROR_TEAM_UNKNOWN,
  EEL_ERROR_TEAMS_OUTDATED,
  EEL_ERROR_TEAM_CAP,
  EEL_ERROR_CAP_UNKNOWN,
  EEL_ERROR_NOT_FOUND,
  EEL_ERROR_INTERNAL,
  EEL_ERROR_COUNT
};

/* What is known about whether a request ran. */
enum eel_outcome
{
  EEL_OUTCOME_RAN,
  /* The key is sealed: no copy of the request has run or will run. */
  EEL_OUTCOME_NOT_RUN,
  EEL_OUTCOME_UNKNOWN,
  /* This attempt was not accepted; other attempts may have run or may run. */
  EEL_OUTCOME_REFUSED,
  EEL_OUTCOME_COUNT
};

/* Whether the caller may retry, and with which request key. */
enum eel_retry_advice
{
  EEL_RETRY_NONE,
  EEL_RETRY_SAME_KEY,
  EEL_RETRY_NEW_KEY,
  EEL_RETRY_ADVICE_COUNT
};

struct eel_error_info
{
  const char *name;
  uint16_t http_status;
  enum eel_outcome outcome;
  enum eel_retry_advice retry;
  uint32_t retry_after_ms;
  const char *text;
};

const struct eel_error_info *eel_error_info (enum eel_error kind);
const char *eel_outcome_name (enum eel_outcome outcome);
const char *eel_retry_advice_name (enum eel_retry_advice advice);

#endif
