#include "eelgrasslatch/place.h"
#include "internal/task.h"
#include "relay/entry.h"

/* Requests that leave the failure domain. */

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
      eel_service_name (&relay->names, entry->call.service), cause,
      home_us > 0 && now_us + home_us <= entry->call.target_us);
}
