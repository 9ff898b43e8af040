#ifndef EELGRASSLATCH_RETRY_SHARE_H
#define EELGRASSLATCH_RETRY_SHARE_H

#include <stdint.h>

/*
 * Bounds the retries to a service to a share of the requests, over a sliding
 * window.  A retry is any arrival at the service after the first one of a
 * request.  Each node keeps to the share of its own requests, so that the sum
 * over all nodes keeps to it as well.
 *
 * Made for loads in which a service refuses or fails many arrivals: requests of
 * the window before count as well, so that the start of such a period gets the
 * retries that the traffic before it has earned.
 */

/* Slots of a window; two windows are kept. */
#define EEL_RETRY_SHARE_SLOTS 10

struct eel_retry_share
{
  double ratio;
  /* Retries allowed in a window independent of the traffic. */
  double extra;
  int64_t slot_us;
  int64_t slot_end_us;
  uint32_t slot;
  uint32_t requests[2 * EEL_RETRY_SHARE_SLOTS];
  /* In thousandths, since some retries cost more than one arrival. */
  uint32_t retries_milli[2 * EEL_RETRY_SHARE_SLOTS];
  uint64_t refused;
};

void eel_retry_share_init (struct eel_retry_share *share,
                           double ratio,
                           double extra,
                           int64_t window_us,
                           int64_t now_us);
void eel_retry_share_request (struct eel_retry_share *share, int64_t now_us);
/* Takes a retry of that cost; returns 0 when a window has none left. */
int eel_retry_share_take (struct eel_retry_share *share,
                          uint32_t cost_milli,
                          int64_t now_us);
/* Retries, in thousandths, that are left until the present slot ends, which is
   in left_us. */
double eel_retry_share_room_milli (struct eel_retry_share *share,
                                   int64_t *left_us,
                                   int64_t now_us);

#endif
