#ifndef EELGRASSLATCH_RETRY_AFTER_H
#define EELGRASSLATCH_RETRY_AFTER_H

#include <stdint.h>

#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/types.h"

/*
 * Returns the time after which a refused caller is told to come back: a part of
 * the route's target, longer in proportion to the share of such requests that
 * is refused (0 to 1), with jitter (half to one and a half times the base) so
 * that returns don't arrive together; at most a third of the remaining time.
 */
int64_t eel_retry_after_us (int64_t target_us,
                            int64_t left_us,
                            double refused_share,
                            struct eel_rng *rng);

#endif
