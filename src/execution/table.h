#ifndef EEL_EXECUTION_TABLE_H
#define EEL_EXECUTION_TABLE_H

#include <stdint.h>

#include "eelgrasslatch/execution.h"
#include "internal/hash.h"

/* Internal helpers shared by the record tables. */

#define EEL_INDEX_NONE UINT32_MAX

/* bucket_count is a power of two. */
static inline uint32_t
eel_key_bucket (const struct eel_key *key, uint32_t bucket_count)
{
  return (uint32_t)eel_hash64 (key->child, sizeof key->child,
                               key->serial ^ key->incarnation)
         & (bucket_count - 1);
}

/* Frees the stored answer of a record, if it has one. */
void eel_decider_drop_answer (struct eel_decider *decider,
                              struct eel_decider_record *record);
void eel_decider_store_answer (struct eel_decider *decider,
                               struct eel_decider_record *record,
                               const uint8_t *answer,
                               uint32_t answer_bytes);
void eel_decider_init_answers (struct eel_decider *decider);

#endif
