#include <stdlib.h>
#include <string.h>

#include "execution/table.h"

void
eel_decider_init_answers (struct eel_decider *decider)
{
  decider->answer_free = EEL_INDEX_NONE;
  decider->answer_oldest = EEL_INDEX_NONE;
  decider->answer_newest = EEL_INDEX_NONE;
  for (uint32_t i = decider->answer_capacity; i-- > 0;)
    {
      decider->answers[i]
          = (struct eel_answer_slot){ .record = EEL_INDEX_NONE };
      decider->answers[i].newer = decider->answer_free;
      decider->answer_free = i;
    }
}

/* Unlinks a slot from the list by age and frees its data. */
static void
free_slot (struct eel_decider *decider, uint32_t index)
{
  struct eel_answer_slot *slot = &decider->answers[index];

  if (slot->older != EEL_INDEX_NONE)
    decider->answers[slot->older].newer = slot->newer;
  else
    decider->answer_oldest = slot->newer;
  if (slot->newer != EEL_INDEX_NONE)
    decider->answers[slot->newer].older = slot->older;
  else
    decider->answer_newest = slot->older;
  decider->answer_bytes -= slot->bytes;
  decider->records[slot->record].answer = EEL_INDEX_NONE;
  free (slot->data);
  *slot = (struct eel_answer_slot){ .record = EEL_INDEX_NONE,
                                    .newer = decider->answer_free };
  decider->answer_free = index;
}

/* Frees the stored answer of a record, if it has one. */
void
eel_decider_drop_answer (struct eel_decider *decider,
                         struct eel_decider_record *record)
{
  if (record->answer != EEL_INDEX_NONE)
    free_slot (decider, record->answer);
}

/*
 * Stores a copy of an answer and evicts the oldest ones to make room.  An
 * answer larger than the whole store is not stored.
 */
void
eel_decider_store_answer (struct eel_decider *decider,
                          struct eel_decider_record *record,
                          const uint8_t *answer,
                          uint32_t answer_bytes)
{
  struct eel_answer_slot *slot;
  uint8_t *data;
  uint32_t index;

  if (answer == NULL || answer_bytes > decider->answer_bytes_max
      || decider->answer_capacity == 0)
    return;
  while (decider->answer_free == EEL_INDEX_NONE
         || decider->answer_bytes + answer_bytes > decider->answer_bytes_max)
    {
      free_slot (decider, decider->answer_oldest);
      decider->answers_evicted++;
    }
  data = malloc (answer_bytes > 0 ? answer_bytes : 1);
  if (data == NULL)
    return;
  memcpy (data, answer, answer_bytes);
  index = decider->answer_free;
  slot = &decider->answers[index];
  decider->answer_free = slot->newer;
  slot->record = (uint32_t)(record - decider->records);
  slot->bytes = answer_bytes;
  slot->data = data;
  slot->older = decider->answer_newest;
  slot->newer = EEL_INDEX_NONE;
  if (slot->older != EEL_INDEX_NONE)
    decider->answers[slot->older].newer = index;
  else
    decider->answer_oldest = index;
  decider->answer_newest = index;
  decider->answer_bytes += answer_bytes;
  record->answer = index;
}

/* Returns the stored answer of a record, or NULL when there is none. */
const uint8_t *
eel_decider_answer (const struct eel_decider *decider,
                    const struct eel_decider_record *record,
                    uint32_t *bytes)
{
  *bytes = 0;
  if (record->answer == EEL_INDEX_NONE)
    return NULL;
  *bytes = decider->answers[record->answer].bytes;
  return decider->answers[record->answer].data;
}
