#include "eelgrasslatch/routing.h"

/* Unused hedges that may accumulate for a burst. */
#define HEDGE_TOKENS_MAX 20.0
/* Calls before the estimated 95th percentile is used. */
#define P95_PICKS_MIN 50

/*
 * Returns the estimated 95th percentile of the latency, or -1 when there is no
 * estimate yet or the share of hedges is used up.
 */
int64_t
eel_routing_hedge_delay_us (const struct eel_routing *routing)
{
  if (routing->hedge_tokens < 1 || routing->picks < P95_PICKS_MIN
      || routing->latency_p95_us <= 0)
    return -1;
  return (int64_t)routing->latency_p95_us;
}

/* Charges a sent hedge to the share of hedges. */
void
eel_routing_hedged (struct eel_routing *routing)
{
  routing->hedges++;
  if (routing->hedge_tokens > HEDGE_TOKENS_MAX)
    routing->hedge_tokens = HEDGE_TOKENS_MAX;
  routing->hedge_tokens -= 1;
}
