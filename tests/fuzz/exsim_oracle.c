#include <string.h>

#include "exsim.h"
#include "internal/hash.h"

/* Records the first violation, which stops the run. */
void
exsim_fail (struct exsim *s, uint64_t order, const char *text)
{
  if (s->violation != NULL || s->blind)
    return;
  s->violation = text;
  s->violation_order = order;
}

/* Derives the answer of a call and its length from order and position. */
uint8_t
exsim_expected_answer (uint64_t order,
                       uint64_t position,
                       uint8_t answer[ANSWER_MAX])
{
  uint64_t hash = eel_hash64 (&position, sizeof position, order);

  for (int i = 0; i < ANSWER_MAX; i++)
    answer[i] = (uint8_t)(hash >> (i % 8 * 8)) ^ (uint8_t)i;
  return (uint8_t)(8 + hash % (ANSWER_MAX - 8));
}

uint32_t
exsim_depth (uint64_t position)
{
  uint32_t depth = 1;

  for (; position > 0; position = (position - 1) / 4)
    depth++;
  return depth;
}

/*
 * Number of nested calls, at most 3: 7 deep along the first child of one
 * order in four, else shallow.  Child i of p is 4p + i + 1; the root is 0.
 */
uint32_t
exsim_children (uint64_t order, uint64_t position)
{
  uint32_t depth = exsim_depth (position), draw;
  int on_spine = 1;

  for (uint64_t p = position; p > 0; p = (p - 1) / 4)
    on_spine = on_spine && (p - 1) % 4 == 0;
  draw = (uint32_t)(eel_hash64 (&position, sizeof position, order + 1) % 100);
  if (depth >= DEPTH_MAX)
    return 0;
  if (on_spine && order % 4 == 0)
    return 1 + draw % 3;
  return depth > 2 || draw < 50 ? 0 : 1 + draw % 3;
}

static uint32_t
position_index (struct order *o, uint64_t position)
{
  uint32_t i = 0;

  while (i < o->position_count && o->positions[i] != position)
    i++;
  if (i == o->position_count && i < POSITIONS_MAX - 1)
    o->positions[o->position_count++] = position;
  return i;
}

static struct key_history *
find_key_history (struct order *o, const struct eel_key *key)
{
  uint32_t i = 0;

  while (i < o->key_count && !eel_key_equal (&o->keys[i].key, key))
    i++;
  if (i == o->key_count && i < KEYS_MAX - 1)
    o->keys[o->key_count++].key = *key;
  return &o->keys[i];
}

/* Checks an attempt at an upstream; ran is 0 when the upstream refused it. */
void
exsim_oracle_attempt (struct exsim *s, const struct run *run, int ran)
{
  struct order *o = &s->orders[run->order % ORDERS];
  struct key_history *key;
  uint32_t index;

  s->attempt_count++;
  s->run_count += (uint64_t)ran;
  if (ran && exsim_depth (run->position) > s->depth_max)
    s->depth_max = exsim_depth (run->position);
  if (o->id != run->order)
    return;
  index = position_index (o, run->position);
  key = find_key_history (o, &run->key);
  o->attempts++;
  if (o->attempts > o->position_count + o->extra_attempts_max)
    exsim_fail (s, o->id, "more attempts than calls plus spare attempts");
  if (!ran)
    return;
  if (o->runs[index] < UINT8_MAX)
    o->runs[index]++;
  if (++key->runs > 1)
    exsim_fail (s, o->id, "a key ran twice");
  if (o->runs[index] > 1)
    exsim_fail (s, o->id, "a call ran under two keys");
  if (key->answered_not_run)
    exsim_fail (s, o->id,
                "a request ran after its caller was answered not-run");
}

/* Checks the outcome answered to a copy against the actual runs. */
void
exsim_oracle_check_answer (struct exsim *s,
                           const struct call *call,
                           const struct event *event)
{
  struct order *o = &s->orders[call->order % ORDERS];
  uint8_t expected[ANSWER_MAX];
  uint8_t bytes;

  s->outcomes[event->outcome]++;
  if (event->outcome == EEL_OUTCOME_UNKNOWN)
    s->unknown_by_error[event->error]++;
  if (o->id != call->order)
    return;
  if (event->outcome == EEL_OUTCOME_NOT_RUN)
    {
      struct key_history *key = find_key_history (o, &call->key);

      key->answered_not_run = 1;
      if (key->runs > 0)
        exsim_fail (s, o->id, "not-run answered for a request that ran");
    }
  if (event->outcome != EEL_OUTCOME_RAN || s->blind)
    return;
  if (find_key_history (o, &call->key)->runs == 0)
    exsim_fail (s, o->id, "ran answered for a request that did not run");
  bytes = exsim_expected_answer (call->order, call->position, expected);
  if (event->has_answer
      && (event->answer_bytes != bytes
          || memcmp (event->answer, expected, bytes) != 0))
    exsim_fail (s, o->id, "a caller received an answer that is not its own");
  if (!event->has_answer && event->error != EEL_ERROR_ANSWER_GONE)
    exsim_fail (s, o->id, "an answer is missing without answer_gone");
}
