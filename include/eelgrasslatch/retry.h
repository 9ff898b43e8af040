#ifndef EELGRASSLATCH_RETRY_H
#define EELGRASSLATCH_RETRY_H

#include <stdint.h>

/* Spare attempts of one request that one process on its path holds. */
struct eel_ledger
{
  uint8_t spare;
  uint8_t lent;
};

void eel_ledger_init (struct eel_ledger *ledger, uint8_t spare);
/* Takes one attempt for a resend or hedge; returns 0 when none is left. */
int eel_ledger_take (struct eel_ledger *ledger);
/* Lends half of what is left, rounded up, to a call; returns the number. */
uint8_t eel_ledger_lend (struct eel_ledger *ledger);
/* Takes back the unused ones of the attempts that were lent to a call. */
void
eel_ledger_return (struct eel_ledger *ledger, uint8_t lent, uint8_t unused);

/* Bounds the retries to one service when many of its calls fail.  A retry costs
 * one token; amounts are in thousandths of a token. */
struct eel_retry_budget
{
  int64_t tokens_milli;
  int64_t capacity_milli;
  int64_t per_success_milli;
  int64_t per_second_milli;
  int64_t refilled_at_us;
  uint64_t refused;
};

void eel_retry_budget_init (struct eel_retry_budget *budget,
                            int64_t capacity_milli,
                            int64_t per_success_milli,
                            int64_t per_second_milli,
                            int64_t now_us);
void eel_retry_budget_success (struct eel_retry_budget *budget);
int eel_retry_budget_take (struct eel_retry_budget *budget, int64_t now_us);

#endif
