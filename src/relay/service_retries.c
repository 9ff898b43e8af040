#include "relay/service_retries.h"

#include <stdlib.h>
#include <string.h>

void
eel_service_retries_init (struct eel_service_retries *retries,
                          double ratio,
                          int64_t window_us)
{
  *retries
      = (struct eel_service_retries){ .ratio = ratio, .window_us = window_us };
}

void
eel_service_retries_finish (struct eel_service_retries *retries)
{
  for (uint32_t i = 0; i < retries->count; i++)
    free (retries->shares[i]);
  free (retries->shares);
  retries->shares = NULL;
  retries->count = 0;
}

void
eel_service_retries_set_extra (struct eel_service_retries *retries,
                               double extra)
{
  retries->extra = extra;
  for (uint32_t i = 0; i < retries->count; i++)
    if (retries->shares[i] != NULL)
      retries->shares[i]->extra = extra;
}

/* Makes room for the number of a service; 0 when out of memory. */
static int
reserve (struct eel_service_retries *retries, uint32_t service)
{
  uint32_t count = 2 * (service + 1);
  struct eel_retry_share **shares;

  if (service < retries->count)
    return 1;
  shares = realloc (retries->shares, count * sizeof *shares);
  if (shares == NULL)
    return 0;
  memset (shares + retries->count, 0,
          (count - retries->count) * sizeof *shares);
  retries->shares = shares;
  retries->count = count;
  return 1;
}

/* Without memory for its share a service has no retries. */
void
eel_service_retries_request (struct eel_service_retries *retries,
                             uint32_t service,
                             int64_t now_us)
{
  struct eel_retry_share *share;

  if (!reserve (retries, service))
    return;
  if (retries->shares[service] == NULL)
    {
      share = malloc (sizeof *share);
      if (share == NULL)
        return;
      eel_retry_share_init (share, retries->ratio, retries->extra,
                            retries->window_us, now_us);
      retries->shares[service] = share;
    }
  eel_retry_share_request (retries->shares[service], now_us);
}

int
eel_service_retries_take (struct eel_service_retries *retries,
                          uint32_t service,
                          uint32_t cost_milli,
                          int64_t now_us)
{
  return service < retries->count && retries->shares[service] != NULL
         && eel_retry_share_take (retries->shares[service], cost_milli, now_us);
}

void
eel_service_retries_forget (struct eel_service_retries *retries,
                            uint32_t service)
{
  if (service >= retries->count)
    return;
  free (retries->shares[service]);
  retries->shares[service] = NULL;
}
