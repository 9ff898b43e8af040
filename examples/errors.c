#include <stdio.h>

#include "eelgrasslatch/error.h"

/* Prints the error table in the format of docs/callers.md. */
int
main (void)
{
  for (int kind = EEL_OK + 1; kind < EEL_ERROR_COUNT; kind++)
    {
      const struct eel_error_info *info = eel_error_info (kind);

      printf ("| `%s` | %u | %s | %s | %u |\n", info->name, info->http_status,
              eel_outcome_name (info->outcome),
              eel_retry_advice_name (info->retry), info->retry_after_ms);
    }
  return 0;
}
