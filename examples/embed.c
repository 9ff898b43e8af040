#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/coordinator.h"

/*
 * Embeds the decider in a program: issues a request key, runs the first copy of
 * an order and answers a second copy with the stored answer.
 */

#define NODE 1
#define EXECUTOR 2
#define ROOTS 64
#define CHILDREN 64
#define BUCKETS 256
#define ANSWERS 32

static struct eel_decider_record records[ROOTS + CHILDREN];
static uint32_t buckets[BUCKETS];
static struct eel_answer_slot answers[ANSWERS];
static struct eel_pending pending[ROOTS];
static struct eel_waiter waiters[ROOTS];

static void
init_coordinator (struct eel_coordinator *coordinator)
{
  static const uint8_t secret[EEL_KEY_SECRET_BYTES] = "example";
  struct eel_decider_storage storage = {
    .records = records,
    .root_capacity = ROOTS,
    .child_capacity = CHILDREN,
    .buckets = buckets,
    .bucket_count = BUCKETS,
    .answers = answers,
    .answer_capacity = ANSWERS,
    .answer_bytes_max = 65536,
  };
  struct eel_decider decider;

  eel_decider_init (&decider, NODE, 42, secret, &storage);
  eel_coordinator_init (coordinator, &decider, pending, ROOTS, waiters, ROOTS,
                        500000);
}

static void
run_order (struct eel_coordinator *coordinator, const struct eel_action *action)
{
  static const uint8_t answer[] = "order 7 accepted";
  struct eel_action out[EEL_ACTIONS_MAX];
  size_t count;

  /* Record the dispatch before sending; the reply arrives asynchronously. */
  eel_coordinator_dispatched (coordinator, &action->key, action->attempt,
                              EXECUTOR, 99, 2000);
  count = eel_coordinator_replied (
      coordinator, &action->key, action->attempt, EXECUTOR, 99, EEL_ATTEMPT_RAN,
      EEL_OK, action->spare, answer, sizeof answer - 1, 3000, out);
  for (size_t i = 0; i < count; i++)
    printf ("copy %d: %s: %.*s\n", (int)out[i].call_id,
            eel_outcome_name (out[i].outcome), (int)out[i].answer_bytes,
            (const char *)out[i].answer);
}

int
main (void)
{
  static struct eel_coordinator coordinator;
  struct eel_action out[EEL_ACTIONS_MAX];
  struct eel_arrival copy = { .call_id = 1, .deadline_us = 1000000 };
  size_t count;

  init_coordinator (&coordinator);
  eel_decider_issue (&coordinator.decider, 3, 60000000, 0, &copy.key);
  count = eel_coordinator_arrived (&coordinator, &copy, 1000, out);
  if (count != 1 || out[0].kind != EEL_ACTION_EXECUTE)
    return EXIT_FAILURE;
  run_order (&coordinator, &out[0]);

  copy.call_id = 2;
  count = eel_coordinator_arrived (&coordinator, &copy, 4000, out);
  if (count != 1 || out[0].outcome != EEL_OUTCOME_RAN)
    return EXIT_FAILURE;
  printf ("copy 2: %s: %.*s\n", eel_outcome_name (out[0].outcome),
          (int)out[0].answer_bytes, (const char *)out[0].answer);
  eel_coordinator_finish (&coordinator);
  return EXIT_SUCCESS;
}
