#ifndef EELGRASSLATCH_CALLER_H
#define EELGRASSLATCH_CALLER_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/error.h"
#include "eelgrasslatch/key.h"
#include "eelgrasslatch/rng.h"

/*
 * Caller side: holds keys issued in advance and decides after each answer
 * whether, when and with which key to send again.
 */

#define EEL_CALLER_KEYS_MAX 64

struct eel_caller_key
{
  char text[EEL_KEY_TEXT_MAX];
  int64_t expires_us;
};

struct eel_caller
{
  struct eel_caller_key keys[EEL_CALLER_KEYS_MAX];
  uint32_t key_count;
  uint32_t sends_max;
  int64_t backoff_us;
  int64_t backoff_max_us;
  struct eel_rng rng;
};

/* The caller's state of one order, that is one non-idempotent request. */
struct eel_caller_request
{
  char key[EEL_KEY_TEXT_MAX];
  uint32_t sends;
  int64_t deadline_us;
};

enum eel_caller_step
{
  EEL_CALLER_SEND,
  EEL_CALLER_NEEDS_KEY,
  EEL_CALLER_DONE,
  EEL_CALLER_GIVE_UP
};

void eel_caller_init (struct eel_caller *caller,
                      uint32_t sends_max,
                      int64_t backoff_us,
                      int64_t backoff_max_us,
                      uint64_t seed);
void eel_caller_finish (struct eel_caller *caller);
int eel_caller_add_key (struct eel_caller *caller,
                        const char *text,
                        int64_t life_us,
                        int64_t now_us);
enum eel_caller_step eel_caller_begin (struct eel_caller *caller,
                                       struct eel_caller_request *request,
                                       int64_t deadline_us,
                                       int64_t now_us);
/* Handles an answer or, with outcome unknown, a lost connection. */
enum eel_caller_step eel_caller_answered (struct eel_caller *caller,
                                          struct eel_caller_request *request,
                                          enum eel_outcome outcome,
                                          enum eel_retry_advice advice,
                                          uint32_t retry_after_ms,
                                          const char *next_key,
                                          int64_t now_us,
                                          int64_t *send_at_us);

#endif
