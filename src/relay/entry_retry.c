#include "internal/task.h"
#include "relay/conn.h"
#include "relay/entry.h"

/* Which requests get the retries of their service when there are too few. */

void
eel_entry_count_call (struct eel_entry *entry)
{
  struct eel_relay *relay = entry->relay;

  if (relay->config.retries_by_finish)
    entry->calls_needed = eel_call_chain_request (
        &entry->exchange->conn->chain, &relay->call_lengths, entry->call.route,
        entry->arrived_us);
}

void
eel_entry_count_answer (struct eel_entry *entry, int is_success)
{
  if (entry->calls_needed > 0)
    eel_call_chain_answered (&entry->exchange->conn->chain, is_success,
                             eel_clock_us ());
}

int
eel_entry_take_retry (struct eel_entry *entry, uint32_t cost_milli)
{
  struct eel_relay *relay = entry->relay;
  int64_t now_us = eel_clock_us ();

  if (relay->config.retries_by_finish
      && !eel_service_retries_in_order (&relay->retries, entry->call.service,
                                        entry->call.rank, entry->calls_needed,
                                        cost_milli, now_us))
    {
      eel_metric_add (relay->counters.retries_kept, 1);
      return 0;
    }
  return eel_service_retries_take (&relay->retries, entry->call.service,
                                   cost_milli, now_us);
}
