#include "eelgrasslatch/retry.h"

/* spare is the number of extra attempts that the request carries. */
void
eel_ledger_init (struct eel_ledger *ledger, uint8_t spare)
{
  ledger->spare = spare;
  ledger->lent = 0;
}

int
eel_ledger_take (struct eel_ledger *ledger)
{
  if (ledger->spare == 0)
    return 0;
  ledger->spare--;
  return 1;
}

uint8_t
eel_ledger_lend (struct eel_ledger *ledger)
{
  uint8_t lent = (uint8_t)((ledger->spare + 1) / 2);

  ledger->spare = (uint8_t)(ledger->spare - lent);
  ledger->lent = (uint8_t)(ledger->lent + lent);
  return lent;
}

/*
 * Bounds lent by the attempts on loan and unused by lent, so that a call cannot
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
