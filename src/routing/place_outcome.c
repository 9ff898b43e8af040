#include "eelgrasslatch/finish.h"
#include "eelgrasslatch/place.h"

/* What a sender learns of an endpoint from the requests that it sends. */

/* EWMA weight of one answer in the share of shed requests. */
#define SHED_EWMA_WEIGHT 0.1
/* Bounds of the backoff for which a failing endpoint is avoided. */
#define AVOID_FIRST_US (250 * EEL_US_PER_MS)
#define AVOID_MAX_US (2 * EEL_US_PER_S)

void
eel_place_sent (struct eel_instance *instance)
{
  instance->in_flight++;
  instance->sent_since_report++;
  instance->unaccepted++;
}

/* Records that the endpoint's node accepted a request. */
void
eel_place_accepted (struct eel_instance *instance)
{
  if (instance->unaccepted > 0)
    instance->unaccepted--;
}

/* Ends the backoff and counts an answer that was not shed. */
void
eel_place_answered (struct eel_instance *instance,
                    const struct eel_instance_report *report,
                    int64_t now_us)
{
  instance->report = *report;
  instance->reported_us = now_us;
  eel_finish_record (instance, report, now_us);
  instance->failures = 0;
  instance->avoid_until_us = 0;
  instance->shed_rate -= SHED_EWMA_WEIGHT * instance->shed_rate;
}

/* Records that the endpoint itself refused a request. */
void
eel_place_shed (struct eel_instance *instance)
{
  /* eel_place_answered counted this answer as one that was not shed. */
  instance->shed_rate += SHED_EWMA_WEIGHT;
}

/* Doubles the backoff with each consecutive failure. */
void
eel_place_failed (struct eel_instance *instance, int64_t now_us)
{
  int64_t avoid_us = AVOID_FIRST_US
                     << (instance->failures < 8 ? instance->failures : 8);

  instance->failures++;
  if (avoid_us > AVOID_MAX_US)
    avoid_us = AVOID_MAX_US;
  instance->avoid_until_us = now_us + avoid_us;
}

/* Ends a request; accepted tells whether the node accepted it. */
void
eel_place_done (struct eel_instance *instance, int accepted)
{
  if (instance->in_flight > 0)
    instance->in_flight--;
  if (!accepted)
    eel_place_accepted (instance);
}

int64_t
eel_place_rank_wait_us (const struct eel_instance_report *report, uint8_t rank)
{
  uint32_t i = 0;

  if (report->rank_wait_count == 0)
    return -1;
  while (i + 1 < report->rank_wait_count && report->rank_waits[i].rank < rank)
    i++;
  return (int64_t)report->rank_waits[i].wait_ms * EEL_US_PER_MS;
}
