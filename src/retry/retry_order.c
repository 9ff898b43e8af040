#include "eelgrasslatch/retry_order.h"

#include <string.h>

#include "eelgrasslatch/types.h"

#define INTERVAL_US (200 * EEL_US_PER_MS)
/* EWMA weight of one interval. */
#define WANTED_EWMA_WEIGHT 0.3
/* Kept back for those that go first, as a multiple of what they want: runs that
 * get a retry now will want more of them. */
#define KEPT_BACK 1.5

void
eel_retry_order_init (struct eel_retry_order *order, int64_t now_us)
{
  memset (order, 0, sizeof *order);
  order->interval_end_us = now_us + INTERVAL_US;
}

/* Intervals in which nothing was wanted count as well. */
static void
update_means (struct eel_retry_order *order, int64_t now_us)
{
  int64_t missed = (now_us - order->interval_end_us) / INTERVAL_US;
  double kept = 1 - WANTED_EWMA_WEIGHT;

  for (uint32_t i = 0; i < EEL_RETRY_ORDER_CLASSES; i++)
    {
      double mean = kept * order->mean_milli[i]
                    + WANTED_EWMA_WEIGHT * order->wanted_milli[i];

      for (int64_t j = 0; j < missed && mean > 1; j++)
        mean *= kept;
      order->mean_milli[i] = mean;
      order->wanted_milli[i] = 0;
    }
  order->interval_end_us += (missed + 1) * INTERVAL_US;
}

static uint32_t
class_of (uint8_t rank, uint32_t needed)
{
  uint32_t row
      = rank < EEL_RETRY_ORDER_RANKS ? rank : EEL_RETRY_ORDER_RANKS - 1;
  uint32_t column = needed < 1 ? 0 : needed - 1;

  if (column >= EEL_RETRY_ORDER_NEEDED_MAX)
    column = EEL_RETRY_ORDER_NEEDED_MAX - 1;
  return row * EEL_RETRY_ORDER_NEEDED_MAX + column;
}

int
eel_retry_order_allows (struct eel_retry_order *order,
                        uint8_t rank,
                        uint32_t needed,
                        uint32_t cost_milli,
                        double room_milli,
                        int64_t left_us,
                        int64_t now_us)
{
  uint32_t index = class_of (rank, needed);
  double before_milli = 0;

  if (now_us >= order->interval_end_us)
    update_means (order, now_us);
  order->wanted_milli[index] += cost_milli;
  for (uint32_t i = 0; i < index; i++)
    before_milli += order->mean_milli[i];
  before_milli *= KEPT_BACK * (double)left_us / INTERVAL_US;
  return before_milli <= 0 || room_milli >= before_milli + cost_milli;
}
