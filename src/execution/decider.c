#include <string.h>

#include "execution/table.h"

/* Puts records [from, to) on a free list and returns its head. */
static uint32_t
link_free (struct eel_decider *decider, uint32_t from, uint32_t to)
{
  uint32_t head = EEL_INDEX_NONE;

  for (uint32_t i = to; i-- > from;)
    {
      memset (&decider->records[i], 0, sizeof decider->records[i]);
      decider->records[i].next = head;
      head = i;
    }
  return head;
}

/* The caller owns the arrays in storage, which must outlive the decider. */
void
eel_decider_init (struct eel_decider *decider,
                  uint32_t node,
                  uint64_t incarnation,
                  const uint8_t secret[EEL_KEY_SECRET_BYTES],
                  const struct eel_decider_storage *storage)
{
  uint32_t total = storage->root_capacity + storage->child_capacity;

  memset (decider, 0, sizeof *decider);
  decider->node = node;
  decider->incarnation = incarnation;
  memcpy (decider->secret, secret, EEL_KEY_SECRET_BYTES);
  decider->records = storage->records;
  decider->root_capacity = storage->root_capacity;
  decider->child_capacity = storage->child_capacity;
  decider->buckets = storage->buckets;
  decider->bucket_count = storage->bucket_count;
  decider->answers = storage->answers;
  decider->answer_capacity = storage->answer_capacity;
  decider->answer_bytes_max = storage->answer_bytes_max;
  decider->free_roots = link_free (decider, 0, storage->root_capacity);
  decider->free_children = link_free (decider, storage->root_capacity, total);
  for (uint32_t i = 0; i < decider->bucket_count; i++)
    decider->buckets[i] = EEL_INDEX_NONE;
  eel_decider_init_answers (decider);
  decider->next_serial = 1;
}

/* Frees the stored answers. */
void
eel_decider_finish (struct eel_decider *decider)
{
  uint32_t total = decider->root_capacity + decider->child_capacity;

  for (uint32_t i = 0; i < total; i++)
    if (decider->records[i].state != EEL_DECIDER_FREE)
      eel_decider_drop_answer (decider, &decider->records[i]);
}

/* Inserts a record for a key; NULL when the free list is empty. */
static struct eel_decider_record *
insert (struct eel_decider *decider,
        uint32_t *free_list,
        const struct eel_key *key)
{
  uint32_t index = *free_list;
  uint32_t *bucket
      = &decider->buckets[eel_key_bucket (key, decider->bucket_count)];
  struct eel_decider_record *record;

  if (index == EEL_INDEX_NONE)
    return NULL;
  record = &decider->records[index];
  *free_list = record->next;
  *record = (struct eel_decider_record){ .key = *key,
                                         .state = EEL_DECIDER_ISSUED,
                                         .spare = key->spare,
                                         .answer = EEL_INDEX_NONE,
                                         .pending = EEL_INDEX_NONE,
                                         .successor = EEL_INDEX_NONE,
                                         .next = *bucket };
  *bucket = index;
  return record;
}

/* Issues a root key and reserves its record. */
enum eel_error
eel_decider_issue (struct eel_decider *decider,
                   uint8_t spare,
                   int64_t life_us,
                   int64_t now_us,
                   struct eel_key *key)
{
  *key = (struct eel_key){ .issuer = decider->node,
                           .incarnation = decider->incarnation,
                           .expiry_us = now_us + life_us,
                           .serial = decider->next_serial,
                           .spare = spare };
  eel_key_sign (key, decider->secret);
  if (insert (decider, &decider->free_roots, key) == NULL)
    {
      decider->issue_refused++;
      return EEL_ERROR_KEYS_EXHAUSTED;
    }
  decider->next_serial++;
  decider->issued++;
  return EEL_OK;
}

/* Returns the index of a key's record, or EEL_INDEX_NONE. */
static uint32_t
find_index (const struct eel_decider *decider, const struct eel_key *key)
{
  uint32_t index
      = decider->buckets[eel_key_bucket (key, decider->bucket_count)];

  while (index != EEL_INDEX_NONE
         && !eel_key_equal (&decider->records[index].key, key))
    index = decider->records[index].next;
  return index;
}

/* Returns the record of a key, or NULL. */
struct eel_decider_record *
eel_decider_find (struct eel_decider *decider, const struct eel_key *key)
{
  uint32_t index = find_index (decider, key);

  return index == EEL_INDEX_NONE ? NULL : &decider->records[index];
}

/* Returns the verdict on another copy of a running or finished request. */
static enum eel_verdict
verdict_of (const struct eel_decider_record *record)
{
  switch ((enum eel_decider_state)record->state)
    {
    case EEL_DECIDER_RAN:
      return record->answer == EEL_INDEX_NONE ? EEL_VERDICT_ANSWER_GONE
                                              : EEL_VERDICT_ANSWER;
    case EEL_DECIDER_SEALED:
      return EEL_VERDICT_NOT_RUN;
    case EEL_DECIDER_UNKNOWN:
      return EEL_VERDICT_UNKNOWN;
    case EEL_DECIDER_DISPATCHED:
    case EEL_DECIDER_OPEN:
    case EEL_DECIDER_ISSUED:
    case EEL_DECIDER_FREE:
      break;
    }
  return EEL_VERDICT_WAIT;
}

/* Returns 1 when nothing is dispatched and no open order uses the record. */
static int
may_start (const struct eel_decider_record *record)
{
  return record->state == EEL_DECIDER_ISSUED
         || (record->state == EEL_DECIDER_OPEN
             && record->pending == EEL_INDEX_NONE);
}

/* Checks the key without looking at its record. */
static enum eel_verdict
check_key (const struct eel_decider *decider, const struct eel_key *key)
{
  if (key->issuer != decider->node)
    return EEL_VERDICT_OTHER_ISSUER;
  if (!eel_key_verify (key, decider->secret))
    return EEL_VERDICT_INVALID;
  if (key->incarnation != decider->incarnation)
    return EEL_VERDICT_OTHER_INCARNATION;
  return EEL_VERDICT_RUN;
}

/*
 * Inserts the record of a nested call.  A root key without a record is not new:
 * its record was reserved when it was issued and has been dropped since.
 */
static enum eel_verdict
begin_child (struct eel_decider *decider,
             const struct eel_key *key,
             struct eel_decider_record **record)
{
  if (eel_key_is_root (key))
    return EEL_VERDICT_UNKNOWN;
  *record = insert (decider, &decider->free_children, key);
  return *record == NULL ? EEL_VERDICT_FULL : EEL_VERDICT_RUN;
}

/*
 * Decides what to do with a copy of a request.  With EEL_VERDICT_RUN the record
 * is open and this copy is the one that runs.  An expired key is never run,
 * but its outcome is reported as long as its record exists.
 */
enum eel_verdict
eel_decider_begin (struct eel_decider *decider,
                   const struct eel_key *key,
                   uint64_t fingerprint,
                   int64_t now_us,
                   struct eel_decider_record **record)
{
  enum eel_verdict verdict = check_key (decider, key);
  int expired = now_us >= key->expiry_us;
  uint32_t index;

  *record = NULL;
  if (verdict != EEL_VERDICT_RUN)
    return verdict;
  index = find_index (decider, key);
  if (expired
      && (index == EEL_INDEX_NONE || may_start (&decider->records[index])))
    return EEL_VERDICT_EXPIRED;
  if (index != EEL_INDEX_NONE)
    *record = &decider->records[index];
  else
    verdict = begin_child (decider, key, record);
  if (verdict != EEL_VERDICT_RUN)
    return verdict;
  if ((*record)->state != EEL_DECIDER_ISSUED
      && (*record)->fingerprint != fingerprint)
    return EEL_VERDICT_MISMATCH;
  if (!may_start (*record))
    return verdict_of (*record);
  (*record)->fingerprint = fingerprint;
  (*record)->state = EEL_DECIDER_OPEN;
  return EEL_VERDICT_RUN;
}

/* Marks the next attempt dispatched; it may be sent only on EEL_OK. */
enum eel_error
eel_decider_dispatch (struct eel_decider *decider,
                      struct eel_decider_record *record,
                      uint32_t executor,
                      uint64_t executor_incarnation,
                      int64_t now_us)
{
  (void)decider;
  if (record->state == EEL_DECIDER_SEALED)
    return EEL_ERROR_SEALED;
  if (record->state != EEL_DECIDER_OPEN)
    return EEL_ERROR_IN_PROGRESS;
  if (now_us >= record->key.expiry_us)
    return EEL_ERROR_KEY_EXPIRED;
  if (record->attempt == UINT8_MAX)
    return EEL_ERROR_ATTEMPTS_SPENT;
  record->attempt++;
  record->state = EEL_DECIDER_DISPATCHED;
  record->executor = executor;
  record->executor_incarnation = executor_incarnation;
  return EEL_OK;
}

/* Reopens the record after its outstanding attempt was refused. */
void
eel_decider_attempt_refused (struct eel_decider *decider,
                             struct eel_decider_record *record,
                             uint8_t attempt)
{
  (void)decider;
  if (attempt == record->attempt
      && (record->state == EEL_DECIDER_DISPATCHED
          || record->state == EEL_DECIDER_UNKNOWN))
    record->state = EEL_DECIDER_OPEN;
}

/* Marks the request as run and stores its answer. */
void
eel_decider_mark_ran (struct eel_decider *decider,
                      struct eel_decider_record *record,
                      const uint8_t *answer,
                      uint32_t answer_bytes)
{
  if (record->state != EEL_DECIDER_DISPATCHED
      && record->state != EEL_DECIDER_UNKNOWN)
    return;
  record->state = EEL_DECIDER_RAN;
  eel_decider_store_answer (decider, record, answer, answer_bytes);
}

/* Records that the dispatched attempt may have run. */
void
eel_decider_mark_unknown (struct eel_decider *decider,
                          struct eel_decider_record *record)
{
  (void)decider;
  if (record->state == EEL_DECIDER_DISPATCHED)
    record->state = EEL_DECIDER_UNKNOWN;
}

/*
 * Seals the key, so that no copy can run.  Fails when an attempt ran, may have
 * run or may be running.
 */
enum eel_error
eel_decider_seal (struct eel_decider *decider,
                  struct eel_decider_record *record)
{
  (void)decider;
  switch ((enum eel_decider_state)record->state)
    {
    case EEL_DECIDER_ISSUED:
    case EEL_DECIDER_OPEN:
      record->state = EEL_DECIDER_SEALED;
      return EEL_OK;
    case EEL_DECIDER_SEALED:
      return EEL_OK;
    case EEL_DECIDER_RAN:
      return EEL_ERROR_ANSWER_GONE;
    case EEL_DECIDER_DISPATCHED:
      return EEL_ERROR_IN_PROGRESS;
    case EEL_DECIDER_UNKNOWN:
    case EEL_DECIDER_FREE:
      break;
    }
  return EEL_ERROR_OUTCOME_UNKNOWN;
}
