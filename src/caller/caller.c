#include "eelgrasslatch/caller.h"

#include <string.h>

#include "eelgrasslatch/types.h"

/* sends_max bounds the sends of one order, the first one included. */
void
eel_caller_init (struct eel_caller *caller,
                 uint32_t sends_max,
                 int64_t backoff_us,
                 int64_t backoff_max_us,
                 uint64_t seed)
{
  memset (caller, 0, sizeof *caller);
  caller->sends_max = sends_max;
  caller->backoff_us = backoff_us;
  caller->backoff_max_us = backoff_max_us;
  eel_rng_init (&caller->rng, seed);
}

void
eel_caller_finish (struct eel_caller *caller)
{
  caller->key_count = 0;
}

/*
 * Stores a key; returns 0 when the text is empty or too long, or the table
 * full.  life_us counts from now_us on the caller's own clock.
 */
int
eel_caller_add_key (struct eel_caller *caller,
                    const char *text,
                    int64_t life_us,
                    int64_t now_us)
{
  struct eel_caller_key *key = &caller->keys[caller->key_count];
  size_t length = strlen (text);

  if (caller->key_count == EEL_CALLER_KEYS_MAX || length == 0
      || length >= EEL_KEY_TEXT_MAX)
    return 0;
  memcpy (key->text, text, length + 1);
  key->expires_us = now_us + life_us;
  caller->key_count++;
  return 1;
}

/*
 * Moves a key that expires no earlier than the deadline into the request, so
 * that every resend can still be decided; drops expired keys.
 */
static int
take_key (struct eel_caller *caller,
          struct eel_caller_request *request,
          int64_t now_us)
{
  uint32_t i = 0;

  while (i < caller->key_count)
    {
      struct eel_caller_key *key = &caller->keys[i];
      int expired = now_us >= key->expires_us;
      int fits = key->expires_us >= request->deadline_us;

      if (!expired && !fits)
        {
          i++;
          continue;
        }
      if (!expired)
        memcpy (request->key, key->text, sizeof request->key);
      *key = caller->keys[--caller->key_count];
      if (!expired)
        return 1;
    }
  return 0;
}

/* Starts an order with a key that no other order has used. */
enum eel_caller_step
eel_caller_begin (struct eel_caller *caller,
                  struct eel_caller_request *request,
                  int64_t deadline_us,
                  int64_t now_us)
{
  memset (request, 0, sizeof *request);
  request->deadline_us = deadline_us;
  if (now_us >= deadline_us)
    return EEL_CALLER_GIVE_UP;
  if (!take_key (caller, request, now_us))
    return EEL_CALLER_NEEDS_KEY;
  request->sends = 1;
  return EEL_CALLER_SEND;
}

/* Returns retry_after_ms plus an exponential delay with full jitter, in us. */
static int64_t
backoff (struct eel_caller *caller, uint32_t sends, uint32_t retry_after_ms)
{
  int64_t min_us = (int64_t)retry_after_ms * EEL_US_PER_MS;
  int64_t delay_us = caller->backoff_us;

  for (uint32_t i = 1; i < sends && delay_us < caller->backoff_max_us; i++)
    delay_us *= 2;
  if (delay_us > caller->backoff_max_us)
    delay_us = caller->backoff_max_us;
  return min_us + (int64_t)(eel_rng_unit (&caller->rng) * (double)delay_us);
}

/*
 * Puts the key for the next send into the request.  Another key is used only
 * after an answer that closed the current one: after a lost connection or the
 * outcome "unknown" only the same key is safe.
 */
static enum eel_caller_step
choose_key (struct eel_caller *caller,
            struct eel_caller_request *request,
            enum eel_outcome outcome,
            enum eel_retry_advice advice,
            const char *next_key,
            int64_t now_us)
{
  if (outcome == EEL_OUTCOME_UNKNOWN || advice == EEL_RETRY_SAME_KEY)
    return EEL_CALLER_SEND;
  if (next_key != NULL && next_key[0] != 0
      && strlen (next_key) < EEL_KEY_TEXT_MAX)
    {
      memcpy (request->key, next_key, strlen (next_key) + 1);
      return EEL_CALLER_SEND;
    }
  return take_key (caller, request, now_us) ? EEL_CALLER_SEND
                                            : EEL_CALLER_NEEDS_KEY;
}

/*
 * Decides after an answer, or a lost connection (outcome unknown with advice
 * same key), whether, when and with which key to send again.  After
 * EEL_CALLER_NEEDS_KEY add a key and call it again with the same answer.
 */
enum eel_caller_step
eel_caller_answered (struct eel_caller *caller,
                     struct eel_caller_request *request,
                     enum eel_outcome outcome,
                     enum eel_retry_advice advice,
                     uint32_t retry_after_ms,
                     const char *next_key,
                     int64_t now_us,
                     int64_t *send_at_us)
{
  enum eel_caller_step step;

  *send_at_us = now_us;
  if (outcome == EEL_OUTCOME_RAN)
    return EEL_CALLER_DONE;
  if (advice == EEL_RETRY_NONE || request->sends >= caller->sends_max)
    return EEL_CALLER_GIVE_UP;
  *send_at_us = now_us + backoff (caller, request->sends, retry_after_ms);
  if (*send_at_us >= request->deadline_us)
    return EEL_CALLER_GIVE_UP;
  step = choose_key (caller, request, outcome, advice, next_key, now_us);
  if (step == EEL_CALLER_SEND)
    request->sends++;
  return step;
}
