#ifndef EELGRASSLATCH_EXECUTION_H
#define EELGRASSLATCH_EXECUTION_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/error.h"
#include "eelgrasslatch/key.h"

/*
 * Decider: the records of the keys that this process issued.  A slot is
 * reserved for each root key when it is issued; child records are inserted
 * before the child runs.
 */

enum eel_decider_state
{
  EEL_DECIDER_FREE,
  EEL_DECIDER_ISSUED,
  /* A copy has arrived and nothing is dispatched. */
  EEL_DECIDER_OPEN,
  EEL_DECIDER_DISPATCHED,
  EEL_DECIDER_RAN,
  EEL_DECIDER_SEALED,
  EEL_DECIDER_UNKNOWN
};

struct eel_decider_record
{
  struct eel_key key;
  uint64_t fingerprint;
  uint8_t state;
  uint8_t attempt;
  uint8_t spare;
  uint32_t executor;
  uint64_t executor_incarnation;
  /* Of the last attempt: in the decider's and the executor's clock. */
  int64_t attempt_deadline_us;
  int64_t valid_until_us;
  /* Index of the stored answer, or UINT32_MAX. */
  uint32_t answer;
  /* Index of the coordinator's open order, or UINT32_MAX. */
  uint32_t pending;
  /* Record of the successor key issued after "not run", or UINT32_MAX. */
  uint32_t successor;
  uint64_t successor_serial;
  uint32_t next;
};

/*
 * Retention of an unresolved attempt's record after the expiry of its key, so
 * that executors that never return cannot exhaust the table.  By then every
 * copy is refused as expired.  Membership removes members after the same time.
 */
#define EEL_DECIDER_RETENTION_US (INT64_C (600) * 1000 * 1000)

struct eel_answer_slot
{
  uint32_t record;
  uint32_t bytes;
  uint8_t *data;
  uint32_t older;
  uint32_t newer;
};

struct eel_decider
{
  uint32_t node;
  uint64_t incarnation;
  uint8_t secret[EEL_KEY_SECRET_BYTES];
  struct eel_decider_record *records;
  uint32_t root_capacity;
  uint32_t child_capacity;
  uint32_t *buckets;
  uint32_t bucket_count;
  uint32_t free_roots;
  uint32_t free_children;
  struct eel_answer_slot *answers;
  uint32_t answer_capacity;
  uint32_t answer_free;
  uint32_t answer_oldest;
  uint32_t answer_newest;
  uint64_t answer_bytes;
  uint64_t answer_bytes_max;
  uint64_t next_serial;
  uint32_t expire_cursor;
  uint64_t issued;
  uint64_t issue_refused;
  uint64_t answers_evicted;
};

enum eel_verdict
{
  /* The record is open: dispatch it. */
  EEL_VERDICT_RUN,
  /* Another copy is running: wait for its outcome. */
  EEL_VERDICT_WAIT,
  /* The request ran and its answer is stored. */
  EEL_VERDICT_ANSWER,
  /* The request ran and its answer is not stored any more. */
  EEL_VERDICT_ANSWER_GONE,
  EEL_VERDICT_NOT_RUN,
  EEL_VERDICT_UNKNOWN,
  EEL_VERDICT_EXPIRED,
  EEL_VERDICT_OTHER_INCARNATION,
  EEL_VERDICT_OTHER_ISSUER,
  EEL_VERDICT_INVALID,
  /* The key was used for a request with another fingerprint. */
  EEL_VERDICT_MISMATCH,
  EEL_VERDICT_FULL
};

struct eel_decider_storage
{
  struct eel_decider_record *records; /* root_capacity + child_capacity */
  uint32_t root_capacity;
  uint32_t child_capacity;
  uint32_t *buckets;
  uint32_t bucket_count; /* a power of two */
  struct eel_answer_slot *answers;
  uint32_t answer_capacity;
  uint64_t answer_bytes_max;
};

void eel_decider_init (struct eel_decider *decider,
                       uint32_t node,
                       uint64_t incarnation,
                       const uint8_t secret[EEL_KEY_SECRET_BYTES],
                       const struct eel_decider_storage *storage);
void eel_decider_finish (struct eel_decider *decider);
enum eel_error eel_decider_issue (struct eel_decider *decider,
                                  uint8_t spare,
                                  int64_t life_us,
                                  int64_t now_us,
                                  struct eel_key *key);
enum eel_verdict eel_decider_begin (struct eel_decider *decider,
                                    const struct eel_key *key,
                                    uint64_t fingerprint,
                                    int64_t now_us,
                                    struct eel_decider_record **record);
struct eel_decider_record *eel_decider_find (struct eel_decider *decider,
                                             const struct eel_key *key);
enum eel_error eel_decider_dispatch (struct eel_decider *decider,
                                     struct eel_decider_record *record,
                                     uint32_t executor,
                                     uint64_t executor_incarnation,
                                     int64_t now_us);
/* The dispatched attempt is known not to have run and cannot run later. */
void eel_decider_attempt_refused (struct eel_decider *decider,
                                  struct eel_decider_record *record,
                                  uint8_t attempt);
void eel_decider_mark_ran (struct eel_decider *decider,
                           struct eel_decider_record *record,
                           const uint8_t *answer,
                           uint32_t answer_bytes);
void eel_decider_mark_unknown (struct eel_decider *decider,
                               struct eel_decider_record *record);
enum eel_error eel_decider_seal (struct eel_decider *decider,
                                 struct eel_decider_record *record);
/*
 * Returns the successor of a sealed root key, with one spare attempt less.
 * Every copy of the sealed key gets the same successor, so that two copies
 * cannot become two orders.
 */
enum eel_error eel_decider_successor (struct eel_decider *decider,
                                      struct eel_decider_record *record,
                                      int64_t life_us,
                                      int64_t now_us,
                                      struct eel_key *key);
const uint8_t *eel_decider_answer (const struct eel_decider *decider,
                                   const struct eel_decider_record *record,
                                   uint32_t *bytes);
uint32_t eel_decider_expire (struct eel_decider *decider,
                             int64_t now_us,
                             uint32_t scan_max);

/*
 * Executor: accepts each (key, attempt) at most once, only in the incarnation
 * that the decider named and before valid_until_us of its own clock.
 */

enum eel_executor_state
{
  EEL_EXECUTOR_FREE,
  EEL_EXECUTOR_ACCEPTED,
  EEL_EXECUTOR_RUNNING,
  EEL_EXECUTOR_DONE,
  EEL_EXECUTOR_SEALED
};

struct eel_executor_record
{
  struct eel_key key;
  int64_t valid_until_us;
  uint8_t attempt;
  uint8_t state;
  uint32_t next;
};

struct eel_executor
{
  uint64_t incarnation;
  struct eel_executor_record *records;
  uint32_t capacity;
  uint32_t *buckets;
  uint32_t bucket_count;
  uint32_t free_list;
  uint32_t free_count;
  uint32_t expire_cursor;
  uint64_t refused_full;
  int64_t retention_us;
  /*
   * Attempts without a record are refused when their valid-until is not later
   * than this: one of them may be a copy of an attempt refused before.
   */
  int64_t refused_until_us;
};

/*
 * Default of retention_us, the time for which records are kept past
 * valid-until.  Until then an attempt without a record has not run here;
 * afterwards its state is unknown.  The table needs a capacity of the rate of
 * attempts times the sum of their time to valid-until and the retention.
 */
#define EEL_EXECUTOR_RETENTION_US (INT64_C (30) * 1000 * 1000)

/*
 * LATE, SEALED and FULL are definite: the decider is answered "refused".
 * OTHER_INCARNATION is answered "unknown", because the earlier incarnation
 * may have run another copy.  DUPLICATE is not answered.
 */
enum eel_accept
{
  EEL_ACCEPT_OK,
  /*
   * Accepted before, possibly accepted before and the record dropped, or too
   * far from its valid-until for a full table to refuse it.
   */
  EEL_ACCEPT_DUPLICATE,
  EEL_ACCEPT_LATE,
  EEL_ACCEPT_OTHER_INCARNATION,
  EEL_ACCEPT_SEALED,
  EEL_ACCEPT_FULL
};

void eel_executor_init (struct eel_executor *executor,
                        uint64_t incarnation,
                        struct eel_executor_record *records,
                        uint32_t capacity,
                        uint32_t *buckets,
                        uint32_t bucket_count);
void eel_executor_finish (struct eel_executor *executor);
/*
 * Must be the first check of an execute message: an attempt that is refused
 * before it has a record could be accepted later from a second copy.
 */
enum eel_accept eel_executor_accept (struct eel_executor *executor,
                                     const struct eel_key *key,
                                     uint8_t attempt,
                                     int64_t valid_until_us,
                                     uint64_t incarnation,
                                     int64_t now_us);
/* Marks the attempt running; call it right before the upstream request. */
enum eel_accept eel_executor_start (struct eel_executor *executor,
                                    const struct eel_key *key,
                                    uint8_t attempt,
                                    int64_t now_us);
void eel_executor_done (struct eel_executor *executor,
                        const struct eel_key *key,
                        uint8_t attempt);
/*
 * The attempt did not run: refused in the queue, not sent, or refused by the
 * upstream.  A later eel_executor_seal returns EEL_EXECUTOR_SEALED.
 */
void eel_executor_not_run (struct eel_executor *executor,
                           const struct eel_key *key,
                           uint8_t attempt);
/*
 * Prevents a later start of the attempt.  Returns the resulting state of the
 * record: sealed when it had not started, else running or done.
 * EEL_EXECUTOR_FREE means that nothing was sealed: the table was full, or the
 * record of the attempt may have been dropped.  valid_until_us must be the
 * one sent with the attempt: a later one could seal an attempt that ran and
 * whose record has been dropped.
 */
enum eel_executor_state eel_executor_seal (struct eel_executor *executor,
                                           const struct eel_key *key,
                                           uint8_t attempt,
                                           int64_t valid_until_us,
                                           int64_t now_us);
uint32_t eel_executor_expire (struct eel_executor *executor,
                              int64_t now_us,
                              uint32_t scan_max);

#endif
