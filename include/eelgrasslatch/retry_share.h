#ifndef EELGRASSLATCH_RETRY_SHARE_H
#define EELGRASSLATCH_RETRY_SHARE_H

#include <stdint.h>

/*
 * Bounds the arrivals at a service beyond the first of each request to a
 * share of the requests, over a sliding window.  Each node keeps the share of
 * its own requests, so that the sum over all nodes keeps it too.
 *
 * Answers the load in which a service refuses or breaks much of what arrives:
 * requests of the window before count as well, so that the first moments of
 * such a time get the retries that the traffic before it has earned.
 */

/* Two windows of this many slots. */
#define EEL_RETRY_SHARE_SLOTS 10

struct eel_retry_share
{
  double ratio;
  /* Allowed in a window whatever the traffic is. */
  double extra;
  int64_t slot_us;
  int64_t slot_end_us;
  uint32_t slot;
  uint32_t requests[2 * EEL_RETRY_SHARE_SLOTS];
  /* In thousandths: some retries cost more than one arrival. */
  uint32_t retries_milli[2 * EEL_RETRY_SHARE_SLOTS];
  uint64_t refused;
};

void eel_retry_share_init (struct eel_retry_share *share,
                           double ratio,
                           double extra,
                           int64_t window_us,
                           int64_t now_us);
void eel_retry_share_request (struct eel_retry_share *share, int64_t now_us);
/* Takes a retry of that cost; 0 when the window has none left. */
int eel_retry_share_take (struct eel_retry_share *share,
                          uint32_t cost_milli,
                          int64_t now_us);

#endif
