#include <glib.h>
#include <inttypes.h>

#include "eelgrasslatch/place.h"
#include "internal/task.h"
#include "relay/entry.h"

/* Which endpoint a request goes to, and whether it leaves the failure domain.
 */

/* Lines of one second; changes beyond these get none. */
#define FLOW_LINES_MAX 8

struct eel_instance *
eel_entry_pick (struct eel_entry *entry, const struct eel_place_query *query)
{
  struct eel_relay *relay = entry->relay;
  uint64_t fingerprint = entry->call.fingerprint;
  int64_t now_us = eel_clock_us ();
  const struct eel_flow_request request
      = { .route = entry->call.route,
          .route_target_us = entry->call.route_target_us,
          .target_us = entry->call.target_us,
          .refusals = entry->refusals_at_home,
          .rank = entry->call.rank };

  if (fingerprint != 0
      && eel_quarantine_find (&relay->quarantine, fingerprint, now_us) != NULL)
    return eel_place_pick_for (&relay->directory, query, fingerprint, now_us);
  if (relay->config.domain_flow.enabled)
    return eel_domain_flow_pick (&relay->domain_flow, &relay->directory, query,
                                 &request, now_us, &relay->rng,
                                 &entry->call.is_guest);
  return eel_place_pick (&relay->directory, query, now_us, &relay->rng);
}

void
eel_entry_count_leaving (struct eel_entry *entry,
                         const struct eel_instance *instance)
{
  const struct eel_place_query query = { .service = entry->call.service,
                                         .tried = entry->tried,
                                         .tried_count = entry->tried_count };
  struct eel_relay *relay = entry->relay;
  int64_t now_us = eel_clock_us ();
  int64_t home_us;
  enum eel_leave_cause cause;

  if (instance->same_domain)
    return;
  cause = eel_place_leave_cause (&relay->directory, &query, now_us, &home_us);
  eel_domain_traffic_request (
      &relay->domain_traffic,
      eel_service_name (&relay->names, entry->call.service), instance->domain,
      cause, home_us > 0 && now_us + home_us <= entry->call.target_us);
}

void
eel_entry_refused (struct eel_entry *entry)
{
  const struct eel_instance *instance = entry->instance;

  entry->was_refused = 1;
  if (instance->same_domain)
    entry->refusals_at_home++;
  else
    eel_domain_flow_refused (&entry->relay->domain_flow, entry->call.service,
                             instance->domain, eel_clock_us ());
}

void
eel_entry_ran (struct eel_entry *entry, int is_shed)
{
  eel_domain_flow_outcome (&entry->relay->domain_flow, entry->call.service,
                           entry->instance->domain, is_shed);
}

void
eel_relay_log_flow (struct eel_relay *relay, int64_t now_us)
{
  struct eel_flow_change changes[FLOW_LINES_MAX];
  uint32_t count = eel_domain_flow_tick (&relay->domain_flow, now_us, changes,
                                         FLOW_LINES_MAX);

  for (uint32_t i = 0; i < count; i++)
    {
      const struct eel_flow_change *change = &changes[i];

      g_message (
          "event=%s service=%s left_milli=%u left=%" PRIu64
          " home_wait_ms=%" PRId64 " report_age_ms=%" PRId64,
          change->is_leaving ? "domain_left" : "domain_kept",
          EEL_LOG_TEXT (eel_service_name (&relay->names, change->service)),
          change->left_milli, change->left_sum, change->home_us / EEL_US_PER_MS,
          change->age_us / EEL_US_PER_MS);
    }
}
