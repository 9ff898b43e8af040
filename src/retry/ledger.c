#include "eelgrasslatch/retry.h"

/* Starts with the spare attempts that the request brought. */
void
eel_ledger_init (struct eel_ledger *ledger, uint8_t spare)
{
  ledger->spare = spare;
  ledger->lent = 0;
}

/* Takes one attempt for a resend or hedge; returns 0 when none is left. */
int
eel_ledger_take (struct eel_ledger *ledger)
{
  if (ledger->spare == 0)
    return 0;
  ledger->spare--;
  return 1;
}

/* Lends half of what is left, rounded up; returns the number. */
uint8_t
eel_ledger_lend (struct eel_ledger *ledger)
{
  uint8_t lent = (uint8_t)((ledger->spare + 1) / 2);

  ledger->spare = (uint8_t)(ledger->spare - lent);
  ledger->lent = (uint8_t)(ledger->lent + lent);
  return lent;
}

/*
 * Takes back what a call did not use of the number lent to it.  A call cannot
 * return more than it was lent.
 */
void
eel_ledger_return (struct eel_ledger *ledger, uint8_t lent, uint8_t unused)
{
  if (lent > ledger->lent)
    lent = ledger->lent;
  if (unused > lent)
    unused = lent;
  ledger->lent = (uint8_t)(ledger->lent - lent);
  ledger->spare = (uint8_t)(ledger->spare + unused);
}
