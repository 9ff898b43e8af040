#include <inttypes.h>

#include "eelgrasslatch/spared.h"
#include "internal/task.h"
#include "relay/relay.h"

/* Tells operators which endpoints this node spares, and why. */

#define REVIEW_INTERVAL_US (1 * EEL_US_PER_S)
/* More changes of one review are counted in one line. */
#define SPARED_LINES_MAX 8

struct review
{
  const struct eel_relay *relay;
  uint32_t changes;
};

static void
on_changed (void *data, const struct eel_spared_change *change)
{
  struct review *review = data;
  const struct eel_instance *instance = change->instance;

  review->changes++;
  if (review->changes > SPARED_LINES_MAX)
    return;
  g_message ("event=endpoint_spared id=%s service=%s spared=%u route=%" PRIx64
             " run_ms=%" PRId64 " fastest_ms=%" PRId64 " use=%u speed=%u "
             "reported_ms=%" PRId64,
             EEL_LOG_TEXT (instance->id),
             EEL_LOG_TEXT (
                 eel_service_name (&review->relay->names, instance->service)),
             instance->spared, change->route, change->run_us / EEL_US_PER_MS,
             change->fastest_us / EEL_US_PER_MS, instance->report.use_milli,
             instance->report.speed_milli,
             (eel_clock_us () - instance->reported_us) / EEL_US_PER_MS);
}

void
eel_relay_review_spared (struct eel_relay *relay, int64_t now_us)
{
  struct review review = { .relay = relay };

  if (!relay->config.by_finish
      || now_us < relay->spared_reviewed_us + REVIEW_INTERVAL_US)
    return;
  relay->spared_reviewed_us = now_us;
  eel_metric_set (
      relay->counters.spared,
      eel_spared_review (&relay->directory, now_us, on_changed, &review));
  if (review.changes > SPARED_LINES_MAX)
    g_message ("event=endpoints_spared changes=%u without_line=%u",
               review.changes, review.changes - SPARED_LINES_MAX);
}
