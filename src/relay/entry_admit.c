#include "eelgrasslatch/place.h"
#include "internal/task.h"
#include "relay/entry.h"
#include "relay/sharing.h"

/* Offers the request to an endpoint unless requests of its content crash them.
   May free the entry. */
void
eel_entry_place (struct eel_entry *entry)
{
  entry->held_back = 0;
  /* It may have waited for its body since before the node refuses requests. */
  if (entry->relay->refusing)
    eel_entry_answer_error (entry, EEL_ERROR_LEAVING);
  else if (entry->call.fingerprint != 0
           && eel_quarantine_check (&entry->relay->quarantine,
                                    entry->call.fingerprint, eel_clock_us ())
                  == EEL_QUARANTINE_REFUSED)
    eel_entry_answer_error (entry, EEL_ERROR_CRASHES_UPSTREAMS);
  else
    eel_entry_next (entry, EEL_ERROR_NO_ENDPOINT);
}

static int
has_body (const struct eel_head *request)
{
  return request->framing == EEL_FRAMING_CHUNKED
         || (request->framing == EEL_FRAMING_LENGTH
             && request->length_bytes > 0);
}

/* A body that has been read while the request waited is known whole. */
void
eel_entry_admit (struct eel_entry *entry)
{
  struct eel_relay *relay = entry->relay;
  struct eel_exchange *exchange = entry->exchange;
  int awaits_body = has_body (&exchange->request) && !entry->body_done;

  eel_exchange_pause (exchange, 0);
  eel_call_costs_count_call (&relay->call_costs, entry->call.route);
  eel_entry_count_call (entry);
  eel_service_retries_request (&relay->retries, entry->call.service,
                               entry->arrived_us);
  if (eel_sharing_refuses (entry))
    {
      eel_entry_answer_error (entry, EEL_ERROR_OVERLOADED);
      return;
    }
  eel_team_use_count (&relay->team_use, entry->call.team_id, entry->team,
                      EEL_TEAM_USE_ADMITTED);
  entry->held_back = awaits_body && entry->call.fingerprint == 0
                     && eel_crash_suspects_bodies (relay);
  if (!awaits_body)
    entry->call.fingerprint = eel_crash_content_fingerprint (&entry->content);
  if (!entry->held_back)
    eel_entry_place (entry);
}
