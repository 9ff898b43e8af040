#include "execution/table.h"

/*
 * Issues the successor of a sealed root key on the first call and returns the
 * same one on later calls.  Fails when no spare attempt is left for it, and
 * when the record of the successor has been dropped.
 */
enum eel_error
eel_decider_successor (struct eel_decider *decider,
                       struct eel_decider_record *record,
                       int64_t life_us,
                       int64_t now_us,
                       struct eel_key *key)
{
  enum eel_error error;

  if (record->state != EEL_DECIDER_SEALED || !eel_key_is_root (&record->key))
    return EEL_ERROR_NOT_FOUND;
  if (record->successor != EEL_INDEX_NONE)
    {
      const struct eel_decider_record *next
          = &decider->records[record->successor];

      if (next->state == EEL_DECIDER_FREE
          || next->key.serial != record->successor_serial)
        return EEL_ERROR_KEY_EXPIRED;
      *key = next->key;
      return EEL_OK;
    }
  if (record->spare == 0)
    return EEL_ERROR_ATTEMPTS_SPENT;
  error = eel_decider_issue (decider, record->spare - 1, life_us, now_us, key);
  if (error == EEL_OK)
    {
      record->successor
          = (uint32_t)(eel_decider_find (decider, key) - decider->records);
      record->successor_serial = key->serial;
    }
  return error;
}

/* Returns 1 when a record is no longer needed. */
static int
is_droppable (const struct eel_decider_record *record, int64_t now_us)
{
  if (record->state == EEL_DECIDER_FREE || now_us < record->key.expiry_us
      || record->pending != EEL_INDEX_NONE)
    return 0;
  return record->state != EEL_DECIDER_DISPATCHED
         || now_us - record->key.expiry_us >= EEL_DECIDER_RETENTION_US;
}

/* Unlinks a record from its bucket and frees it with its answer. */
static void
drop (struct eel_decider *decider, uint32_t index)
{
  struct eel_decider_record *record = &decider->records[index];
  uint32_t *link
      = &decider->buckets[eel_key_bucket (&record->key, decider->bucket_count)];
  uint32_t *free_list = index < decider->root_capacity
                            ? &decider->free_roots
                            : &decider->free_children;

  while (*link != index)
    link = &decider->records[*link].next;
  *link = record->next;
  eel_decider_drop_answer (decider, record);
  record->state = EEL_DECIDER_FREE;
  record->next = *free_list;
  *free_list = index;
}

/*
 * Drops records of expired keys that have no open order; one whose attempt is
 * still dispatched is kept for EEL_DECIDER_RETENTION_US after the expiry.
 * Examines up to scan_max records from where the last call stopped and returns
 * the number dropped.
 */
uint32_t
eel_decider_expire (struct eel_decider *decider,
                    int64_t now_us,
                    uint32_t scan_max)
{
  uint32_t total = decider->root_capacity + decider->child_capacity;
  uint32_t dropped = 0;

  for (uint32_t i = 0; i < scan_max && i < total; i++)
    {
      uint32_t index = decider->expire_cursor;

      decider->expire_cursor = (index + 1) % total;
      if (is_droppable (&decider->records[index], now_us))
        {
          drop (decider, index);
          dropped++;
        }
    }
  return dropped;
}
