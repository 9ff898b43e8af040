#ifndef EELGRASSLATCH_RETRY_ORDER_H
#define EELGRASSLATCH_RETRY_ORDER_H

#include <stdint.h>

/*
 * Which rejected requests of one service get the retries when there are too few
 * for all: those of the most important rank, and of one rank those whose run
 * needs the fewest further calls to the service.
 *
 * Made for loads in which a service rejects a large part of all arrivals and
 * runs need several calls to it: retries that are spread over all runs finish
 * few of them.  Decides only among the retries that the retry share leaves, and
 * changes nothing while these are enough for all.
 */

#define EEL_RETRY_ORDER_RANKS 4
#define EEL_RETRY_ORDER_NEEDED_MAX 8
#define EEL_RETRY_ORDER_CLASSES                                                \
  (EEL_RETRY_ORDER_RANKS * EEL_RETRY_ORDER_NEEDED_MAX)

struct eel_retry_order
{
  int64_t interval_end_us;
  /* Cost, in thousandths, of the retries wanted in this interval, and its EWMA.
     Most important class first. */
  uint32_t wanted_milli[EEL_RETRY_ORDER_CLASSES];
  double mean_milli[EEL_RETRY_ORDER_CLASSES];
};

void eel_retry_order_init (struct eel_retry_order *order, int64_t now_us);
/*
 * A rejected request wants a retry of that cost; needed counts the calls that
 * its run still needs, itself included.  For a time of left_us there are
 * room_milli retries, in thousandths.  Returns 0 when those that go first are
 * expected to want them.
 */
int eel_retry_order_allows (struct eel_retry_order *order,
                            uint8_t rank,
                            uint32_t needed,
                            uint32_t cost_milli,
                            double room_milli,
                            int64_t left_us,
                            int64_t now_us);

#endif
