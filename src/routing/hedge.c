#include "eelgrasslatch/routing.h"

/* Unused hedges that may be saved up for a burst. */
#define TOKENS_MAX 20.0
/* Before so many calls the learnt quantile is not used. */
#define PICKS_MIN 50

/* Returns the learnt p95 as the delay, or -1 when the share is used up. */
int64_t
eel_routing_hedge_delay_us (const struct eel_routing *routing)
{
  if (routing->hedge_tokens < 1 || routing->picks < PICKS_MIN
      || routing->latency_p95_us <= 0)
    return -1;
  return (int64_t)routing->latency_p95_us;
}

/* Counts a hedge that was sent. */
void
eel_routing_hedged (struct eel_routing *routing)
{
  routing->hedges++;
  if (routing->hedge_tokens > TOKENS_MAX)
    routing->hedge_tokens = TOKENS_MAX;
  routing->hedge_tokens -= 1;
}
