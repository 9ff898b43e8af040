#include <string.h>

#include "eelgrasslatch/types.h"
#include "execution/table.h"

/* 1/8 of the table is reserved for seals, which must work when it is full. */
#define SEAL_RESERVE_DIVISOR 8
/*
 * Limit of refused_until_us, from now: one attempt with a very long deadline
 * must not make the executor refuse all others.
 */
#define REFUSED_UNTIL_MAX_US (10 * EEL_US_PER_S)

/* The caller owns the arrays; bucket_count is a power of two. */
void
eel_executor_init (struct eel_executor *executor,
                   uint64_t incarnation,
                   struct eel_executor_record *records,
                   uint32_t capacity,
                   uint32_t *buckets,
                   uint32_t bucket_count)
{
  memset (executor, 0, sizeof *executor);
  executor->incarnation = incarnation;
  executor->records = records;
  executor->capacity = capacity;
  executor->buckets = buckets;
  executor->bucket_count = bucket_count;
  executor->free_list = EEL_INDEX_NONE;
  executor->free_count = capacity;
  executor->retention_us = EEL_EXECUTOR_RETENTION_US;
  executor->refused_until_us = INT64_MIN;
  for (uint32_t i = capacity; i-- > 0;)
    {
      records[i] = (struct eel_executor_record){ .next = executor->free_list };
      executor->free_list = i;
    }
  for (uint32_t i = 0; i < bucket_count; i++)
    buckets[i] = EEL_INDEX_NONE;
}

/* Clears the struct; the arrays belong to the caller. */
void
eel_executor_finish (struct eel_executor *executor)
{
  memset (executor, 0, sizeof *executor);
}

static uint32_t *
bucket_of (struct eel_executor *executor,
           const struct eel_key *key,
           uint8_t attempt)
{
  uint32_t bucket
      = eel_key_bucket (key, executor->bucket_count) ^ (uint32_t)attempt;

  return &executor->buckets[bucket & (executor->bucket_count - 1)];
}

static struct eel_executor_record *
find (struct eel_executor *executor, const struct eel_key *key, uint8_t attempt)
{
  uint32_t index = *bucket_of (executor, key, attempt);

  while (index != EEL_INDEX_NONE)
    {
      struct eel_executor_record *record = &executor->records[index];

      if (record->attempt == attempt && eel_key_equal (&record->key, key))
        return record;
      index = record->next;
    }
  return NULL;
}

/* Inserts a record; the caller has checked that one is free. */
static void
insert (struct eel_executor *executor,
        const struct eel_key *key,
        uint8_t attempt,
        int64_t valid_until_us,
        enum eel_executor_state state)
{
  uint32_t *bucket = bucket_of (executor, key, attempt);
  uint32_t index = executor->free_list;
  struct eel_executor_record *record = &executor->records[index];

  executor->free_list = record->next;
  executor->free_count--;
  *record = (struct eel_executor_record){ .key = *key,
                                          .valid_until_us = valid_until_us,
                                          .attempt = attempt,
                                          .state = state,
                                          .next = *bucket };
  *bucket = index;
}

/* Result for a repeated message of an attempt that has a record. */
static enum eel_accept
accept_repeated (const struct eel_executor_record *record)
{
  return record->state == EEL_EXECUTOR_SEALED ? EEL_ACCEPT_SEALED
                                              : EEL_ACCEPT_DUPLICATE;
}

/*
 * Refuses an attempt without creating a record.  A later copy of it has the
 * same valid-until, so refusing every attempt without a record up to that time
 * makes the refusal definite; attempts with a later valid-until are accepted.
 * When valid-until is too far ahead the message is dropped instead.
 */
static enum eel_accept
refuse_full (struct eel_executor *executor,
             int64_t valid_until_us,
             int64_t now_us)
{
  executor->refused_full++;
  if (valid_until_us <= executor->refused_until_us)
    return EEL_ACCEPT_FULL;
  if (valid_until_us - now_us > REFUSED_UNTIL_MAX_US)
    return EEL_ACCEPT_DUPLICATE;
  executor->refused_until_us = valid_until_us;
  return EEL_ACCEPT_FULL;
}

/* Accepts each attempt at most once. */
enum eel_accept
eel_executor_accept (struct eel_executor *executor,
                     const struct eel_key *key,
                     uint8_t attempt,
                     int64_t valid_until_us,
                     uint64_t incarnation,
                     int64_t now_us)
{
  const struct eel_executor_record *record;

  if (incarnation != executor->incarnation)
    return EEL_ACCEPT_OTHER_INCARNATION;
  record = find (executor, key, attempt);
  if (record != NULL)
    return accept_repeated (record);
  if (now_us >= valid_until_us)
    return now_us - valid_until_us < executor->retention_us
               ? EEL_ACCEPT_LATE
               : EEL_ACCEPT_DUPLICATE;
  if (valid_until_us <= executor->refused_until_us
      || executor->free_count <= executor->capacity / SEAL_RESERVE_DIVISOR)
    return refuse_full (executor, valid_until_us, now_us);
  insert (executor, key, attempt, valid_until_us, EEL_EXECUTOR_ACCEPTED);
  return EEL_ACCEPT_OK;
}

/*
 * Marks an accepted attempt running after checking valid-until again: the
 * process may have been suspended while the attempt was queued.
 */
enum eel_accept
eel_executor_start (struct eel_executor *executor,
                    const struct eel_key *key,
                    uint8_t attempt,
                    int64_t now_us)
{
  struct eel_executor_record *record = find (executor, key, attempt);

  if (record == NULL)
    return EEL_ACCEPT_LATE;
  if (record->state != EEL_EXECUTOR_ACCEPTED)
    return accept_repeated (record);
  if (now_us >= record->valid_until_us)
    {
      record->state = EEL_EXECUTOR_SEALED;
      return EEL_ACCEPT_LATE;
    }
  record->state = EEL_EXECUTOR_RUNNING;
  return EEL_ACCEPT_OK;
}

/* The running attempt finished, with or without an answer. */
void
eel_executor_done (struct eel_executor *executor,
                   const struct eel_key *key,
                   uint8_t attempt)
{
  struct eel_executor_record *record = find (executor, key, attempt);

  if (record != NULL && record->state == EEL_EXECUTOR_RUNNING)
    record->state = EEL_EXECUTOR_DONE;
}

/* Seals an attempt that is known not to have run. */
void
eel_executor_not_run (struct eel_executor *executor,
                      const struct eel_key *key,
                      uint8_t attempt)
{
  struct eel_executor_record *record = find (executor, key, attempt);

  if (record != NULL
      && (record->state == EEL_EXECUTOR_ACCEPTED
          || record->state == EEL_EXECUTOR_RUNNING))
    record->state = EEL_EXECUTOR_SEALED;
}

/*
 * Seals an attempt that has not started.  One without a record gets a sealed
 * record, but not later than half the retention after valid-until, because it
 * may have run and its record been dropped.  The other half is a margin for
 * deciders that do not know valid-until exactly.
 */
enum eel_executor_state
eel_executor_seal (struct eel_executor *executor,
                   const struct eel_key *key,
                   uint8_t attempt,
                   int64_t valid_until_us,
                   int64_t now_us)
{
  struct eel_executor_record *record = find (executor, key, attempt);

  if (record != NULL)
    {
      if (record->state == EEL_EXECUTOR_ACCEPTED)
        record->state = EEL_EXECUTOR_SEALED;
      return (enum eel_executor_state)record->state;
    }
  if (valid_until_us <= now_us - executor->retention_us / 2
      || executor->free_count == 0)
    return EEL_EXECUTOR_FREE;
  insert (executor, key, attempt,
          now_us > valid_until_us ? now_us : valid_until_us,
          EEL_EXECUTOR_SEALED);
  return EEL_EXECUTOR_SEALED;
}

/* Unlinks a record from its bucket and frees it. */
static void
drop (struct eel_executor *executor, uint32_t index)
{
  struct eel_executor_record *record = &executor->records[index];
  uint32_t *link = bucket_of (executor, &record->key, record->attempt);

  while (*link != index)
    link = &executor->records[*link].next;
  *link = record->next;
  record->state = EEL_EXECUTOR_FREE;
  record->next = executor->free_list;
  executor->free_list = index;
  executor->free_count++;
}

/*
 * Drops records whose retention after valid-until has passed, except those of
 * running attempts.  Examines up to scan_max records from where the last call
 * stopped and returns the number dropped.
 */
uint32_t
eel_executor_expire (struct eel_executor *executor,
                     int64_t now_us,
                     uint32_t scan_max)
{
  uint32_t dropped = 0;

  for (uint32_t i = 0; i < scan_max && i < executor->capacity; i++)
    {
      uint32_t index = executor->expire_cursor;
      const struct eel_executor_record *record = &executor->records[index];

      executor->expire_cursor = (index + 1) % executor->capacity;
      if (record->state == EEL_EXECUTOR_FREE
          || record->state == EEL_EXECUTOR_RUNNING
          || now_us - record->valid_until_us < executor->retention_us)
        continue;
      drop (executor, index);
      dropped++;
    }
  return dropped;
}
