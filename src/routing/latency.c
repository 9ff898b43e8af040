#include "internal/routing.h"

/* Relative step of the running quantiles per sample. */
#define MEDIAN_STEP 0.1
#define P95_STEP 0.05
#define P95 0.95
#define MEDIAN_SAMPLES_MAX 64

static double
step_median (double median, double sample)
{
  if (median <= 0)
    return sample;
  return sample > median ? median * (1 + MEDIAN_STEP)
                         : median / (1 + MEDIAN_STEP);
}

/*
 * Updates the latency estimates with a successful reply.  The estimate of an
 * endpoint is a median, so that a few long calls do not mark it as slow.
 */
void
eel_routing_record_latency (struct eel_routing *routing,
                            struct eel_endpoint *endpoint,
                            int64_t latency_us)
{
  double sample = latency_us > 0 ? (double)latency_us : 1;
  double p95 = routing->latency_p95_us;

  endpoint->latency_us = step_median (endpoint->latency_us, sample);
  if (endpoint->state != EEL_ENDPOINT_UP)
    return;
  routing->latency_us = step_median (routing->latency_us, sample);
  if (p95 <= 0)
    p95 = sample;
  else if (sample > p95)
    p95 *= 1 + P95_STEP * P95;
  else
    p95 *= 1 - P95_STEP * (1 - P95);
  routing->latency_p95_us = p95;
}

/* Returns the median latency of the other endpoints that are up, or 0. */
double
eel_routing_peer_median (const struct eel_routing *routing,
                         const struct eel_endpoint *self)
{
  double sorted[MEDIAN_SAMPLES_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < routing->count && count < MEDIAN_SAMPLES_MAX; i++)
    {
      const struct eel_endpoint *other = &routing->endpoints[i];
      uint32_t at = count;

      if (other == self || other->state != EEL_ENDPOINT_UP
          || other->latency_us <= 0)
        continue;
      for (; at > 0 && sorted[at - 1] > other->latency_us; at--)
        sorted[at] = sorted[at - 1];
      sorted[at] = other->latency_us;
      count++;
    }
  if (count == 0)
    return 0;
  return (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
}
