#include "eelgrasslatch/error.h"

#include <stddef.h>

/* Short names for the columns of the table. */
#define RAN EEL_OUTCOME_RAN
#define NOT_RUN EEL_OUTCOME_NOT_RUN
#define UNKNOWN EEL_OUTCOME_UNKNOWN
#define REFUSED EEL_OUTCOME_REFUSED
#define NONE EEL_RETRY_NONE
#define SAME EEL_RETRY_SAME_KEY
#define NEW EEL_RETRY_NEW_KEY

/*
 * The outcomes apply to a request that was refused before it was recorded.  A
 * decider that has sealed the key replaces the outcome by "not run".
 */
static const struct eel_error_info error_table[EEL_ERROR_COUNT] = {
  [EEL_OK] = { "ok", 200, RAN, NONE, 0, "no error" },
  [EEL_ERROR_BAD_REQUEST]
  = { "bad_request", 400, REFUSED, NONE, 0, "the HTTP request is malformed" },
  [EEL_ERROR_HEADER_INVALID] = { "header_invalid", 400, REFUSED, NONE, 0,
                                 "a header has a value that is not allowed" },
  [EEL_ERROR_HEADER_TOO_LARGE]
  = { "header_too_large", 431, REFUSED, NONE, 0,
      "more than 64 headers or 16384 bytes of headers" },
  [EEL_ERROR_BODY_TOO_LARGE] = { "body_too_large", 413, REFUSED, NONE, 0,
                                 "the body is over 1048576 bytes" },
  [EEL_ERROR_SERVICE_UNKNOWN] = { "service_unknown", 404, REFUSED, NONE, 0,
                                  "no known endpoint offers the service" },
  [EEL_ERROR_KEY_REQUIRED] = { "key_required", 428, REFUSED, NEW, 0,
                               "a non-idempotent request needs a request key" },
  [EEL_ERROR_KEY_INVALID] = { "key_invalid", 400, REFUSED, NEW, 0,
                              "the request key is malformed or not ours" },
  [EEL_ERROR_KEY_EXPIRED]
  = { "key_expired", 410, UNKNOWN, NONE, 0, "the request key has expired" },
  [EEL_ERROR_KEY_OTHER_INCARNATION]
  = { "key_other_incarnation", 410, UNKNOWN, NONE, 0,
      "the node that issued the request key has restarted since" },
  [EEL_ERROR_KEY_MISMATCH]
  = { "key_mismatch", 422, REFUSED, NONE, 0,
      "the request key was used for a different request" },
  [EEL_ERROR_KEYS_EXHAUSTED]
  = { "keys_exhausted", 503, REFUSED, SAME, 1000,
      "the node has given out as many keys as it can record" },
  [EEL_ERROR_DECIDER_UNREACHABLE]
  = { "decider_unreachable", 503, REFUSED, SAME, 500,
      "the node that issued the request key cannot be reached" },
  [EEL_ERROR_IN_PROGRESS] = { "in_progress", 409, REFUSED, SAME, 200,
                              "another copy of the request is running" },
  [EEL_ERROR_ANSWER_GONE] = { "answer_gone", 200, RAN, NONE, 0,
                              "the request ran; its answer is no longer held" },
  [EEL_ERROR_SEALED] = { "sealed", 503, NOT_RUN, NEW, 0,
                         "the request was not run and its key is closed" },
  [EEL_ERROR_DEADLINE] = { "deadline", 504, REFUSED, SAME, 0,
                           "the deadline passed before the request was run" },
  [EEL_ERROR_OVERLOADED]
  = { "overloaded", 503, REFUSED, SAME, 500, "the service is overloaded" },
  [EEL_ERROR_CALLER_LIMIT]
  = { "caller_limit", 429, REFUSED, SAME, 500,
      "the caller has more than its share of requests waiting" },
  [EEL_ERROR_ATTEMPTS_SPENT]
  = { "attempts_spent", 503, REFUSED, NONE, 0,
      "the spare attempts of the whole request are used up" },
  [EEL_ERROR_RETRY_BUDGET]
  = { "retry_budget", 503, REFUSED, SAME, 1000,
      "retries to the service are limited at this moment" },
  [EEL_ERROR_QUARANTINED]
  = { "quarantined", 403, REFUSED, NONE, 0,
      "a request of this content has crashed upstreams twice" },
  [EEL_ERROR_CRASHES_UPSTREAMS]
  = { "crashes_upstreams", 503, REFUSED, SAME, 10000,
      "a request of this content has crashed upstreams and is held back" },
  [EEL_ERROR_NO_ENDPOINT] = { "no_endpoint", 503, REFUSED, SAME, 500,
                              "no endpoint of the service can be reached" },
  [EEL_ERROR_UPSTREAM_REFUSED]
  = { "upstream_refused", 503, REFUSED, SAME, 500,
      "the upstream refused the request before running it" },
  [EEL_ERROR_UPSTREAM_FAILED]
  = { "upstream_failed", 502, UNKNOWN, NONE, 0,
      "the connection to the upstream broke while it ran the request" },
  [EEL_ERROR_OUTCOME_UNKNOWN] = { "outcome_unknown", 504, UNKNOWN, NONE, 0,
                                  "it is not known whether the request ran" },
  [EEL_ERROR_CANCELLED]
  = { "cancelled", 499, REFUSED, NONE, 0, "the caller cancelled the request" },
  [EEL_ERROR_LEAVING] = { "leaving", 503, REFUSED, SAME, 100,
                          "the node is leaving and takes no new requests" },
  [EEL_ERROR_VERSION_REFUSED] = { "version_refused", 400, REFUSED, NONE, 0,
                                  "the protocol version is not supported" },
  [EEL_ERROR_MESSAGE_INVALID] = { "message_invalid", 400, REFUSED, NONE, 0,
                                  "a message between nodes is malformed" },
  [EEL_ERROR_DOCUMENT_INVALID] = { "document_invalid", 400, REFUSED, NONE, 0,
                                   "the published document is invalid" },
  [EEL_ERROR_DOCUMENT_TOO_LARGE]
  = { "document_too_large", 413, REFUSED, NONE, 0,
      "the published document is over 1048576 bytes" },
  [EEL_ERROR_TABLE_FULL]
  = { "table_full", 503, REFUSED, SAME, 500, "a bounded table is full" },
  [EEL_ERROR_UNAUTHORIZED] = { "unauthorized", 401, REFUSED, NONE, 0,
                               "the operators' token is missing or wrong" },
  [EEL_ERROR_TEAM_UNKNOWN] = { "team_unknown", 401, REFUSED, NONE, 0,
                               "the request has no key of a known team" },
  [EEL_ERROR_TEAMS_OUTDATED]
  = { "teams_outdated", 503, REFUSED, SAME, 500,
      "the node can't tell which keys are in force at present" },
  [EEL_ERROR_TEAM_CAP]
  = { "team_cap", 429, REFUSED, SAME, 1000, "the team has used up its cap" },
  [EEL_ERROR_CAP_UNKNOWN]
  = { "cap_unknown", 503, REFUSED, SAME, 500,
      "no node could tell whether the team is within its cap" },
  [EEL_ERROR_NOT_FOUND]
  = { "not_found", 404, REFUSED, NONE, 0, "there is no such resource" },
  [EEL_ERROR_INTERNAL]
  = { "internal", 500, UNKNOWN, NONE, 0, "the node failed internally" },
};

static const char *const outcome_names[EEL_OUTCOME_COUNT] = {
  [EEL_OUTCOME_RAN] = "ran",
  [EEL_OUTCOME_NOT_RUN] = "not-run",
  [EEL_OUTCOME_UNKNOWN] = "unknown",
  [EEL_OUTCOME_REFUSED] = "refused",
};

static const char *const retry_advice_names[EEL_RETRY_ADVICE_COUNT] = {
  [EEL_RETRY_NONE] = "none",
  [EEL_RETRY_SAME_KEY] = "same-key",
  [EEL_RETRY_NEW_KEY] = "new-key",
};

/* Returns the entry of EEL_ERROR_INTERNAL for an unknown kind. */
const struct eel_error_info *
eel_error_info (enum eel_error kind)
{
  if ((unsigned)kind >= EEL_ERROR_COUNT || error_table[kind].name == NULL)
    return &error_table[EEL_ERROR_INTERNAL];
  return &error_table[kind];
}

/* Returns the value of the Eel-Outcome header. */
const char *
eel_outcome_name (enum eel_outcome outcome)
{
  return (unsigned)outcome < EEL_OUTCOME_COUNT ? outcome_names[outcome]
                                               : "unknown";
}

/* Returns the value of the Eel-Retry header. */
const char *
eel_retry_advice_name (enum eel_retry_advice advice)
{
  return (unsigned)advice < EEL_RETRY_ADVICE_COUNT ? retry_advice_names[advice]
                                                   : "none";
}
