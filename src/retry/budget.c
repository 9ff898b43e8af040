#include "eelgrasslatch/retry.h"

#include "eelgrasslatch/types.h"

#define TOKEN_MILLI 1000

/* Caps the tokens at the capacity. */
static void
add_tokens (struct eel_retry_budget *budget, int64_t milli)
{
  budget->tokens_milli += milli;
  if (budget->tokens_milli > budget->capacity_milli)
    budget->tokens_milli = budget->capacity_milli;
}

/* The budget starts full. */
void
eel_retry_budget_init (struct eel_retry_budget *budget,
                       int64_t capacity_milli,
                       int64_t per_success_milli,
                       int64_t per_second_milli,
                       int64_t now_us)
{
  *budget = (struct eel_retry_budget){ .tokens_milli = capacity_milli,
                                       .capacity_milli = capacity_milli,
                                       .per_success_milli = per_success_milli,
                                       .per_second_milli = per_second_milli,
                                       .refilled_at_us = now_us };
}

/* Each successful call earns a fraction of a retry. */
void
eel_retry_budget_success (struct eel_retry_budget *budget)
{
  add_tokens (budget, budget->per_success_milli);
}

/*
 * Adds the whole thousandths of a token earned by the elapsed time and leaves
 * the remaining time for the next refill.  The elapsed time is capped at one
 * hour, so that a long pause cannot overflow the product.
 */
static void
refill (struct eel_retry_budget *budget, int64_t now_us)
{
  int64_t elapsed_us = now_us - budget->refilled_at_us;
  int64_t milli;

  if (elapsed_us <= 0 || budget->per_second_milli <= 0)
    return;
  if (elapsed_us > 3600 * EEL_US_PER_S)
    {
      elapsed_us = 3600 * EEL_US_PER_S;
      budget->refilled_at_us = now_us - elapsed_us;
    }
  milli = elapsed_us * budget->per_second_milli / EEL_US_PER_S;
  budget->refilled_at_us += milli * EEL_US_PER_S / budget->per_second_milli;
  add_tokens (budget, milli);
}

/* Takes one token for a retry; returns 0 when less than one is left. */
int
eel_retry_budget_take (struct eel_retry_budget *budget, int64_t now_us)
{
  refill (budget, now_us);
  if (budget->tokens_milli < TOKEN_MILLI)
    {
      budget->refused++;
      return 0;
    }
  budget->tokens_milli -= TOKEN_MILLI;
  return 1;
}
