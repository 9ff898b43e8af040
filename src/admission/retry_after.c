#include "eelgrasslatch/retry_after.h"

/* Share of the route's target time. */
#define RETRY_AFTER_PERCENT 30
/* Extension in proportion to the refused share, since a stronger overload is
   likely to last longer. */
#define RETRY_AFTER_REFUSE_FACTOR 4.0
#define RETRY_AFTER_MIN_US (100 * EEL_US_PER_MS)

int64_t
eel_retry_after_us (int64_t target_us,
                    int64_t left_us,
                    double refused_share,
                    struct eel_rng *rng)
{
  int64_t base_us
      = (int64_t)((double)target_us * RETRY_AFTER_PERCENT / 100
                  * (1 + RETRY_AFTER_REFUSE_FACTOR * refused_share));

  base_us = base_us / 2 + (int64_t)(eel_rng_unit (rng) * (double)base_us);
  if (base_us < RETRY_AFTER_MIN_US)
    base_us = RETRY_AFTER_MIN_US;
  return base_us < left_us / 3 ? base_us : left_us / 3;
}
