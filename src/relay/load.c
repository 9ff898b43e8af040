#include "internal/task.h"
#include "relay/relay.h"

/* The load that a node reports of its endpoint, and what others report. */

/* Use that a stopping node reports. */
#define STOPPING_USE_MILLI 1500

void
eel_relay_own_load (struct eel_relay *relay,
                    uint64_t route,
                    struct eel_relay_load *load)
{
  int64_t now_us = eel_clock_us ();

  load->endpoint.use_milli = eel_gate_use_milli (&relay->gate, now_us);
  /* A stopping node reports a high load, so until it refuses requests it gets
     only those that find no room elsewhere. */
  if (relay->stopping && load->endpoint.use_milli < STOPPING_USE_MILLI)
    load->endpoint.use_milli = STOPPING_USE_MILLI;
  load->wait_us = eel_gate_wait_us (&relay->gate, now_us);
  load->callee_pressure_milli = (uint32_t)eel_entry_gate_downstream_pressure (
      &relay->entry_gate, &relay->call_costs, route, now_us);
  load->items = relay->items;
  load->endpoint.fault_milli
      = eel_fault_rate_milli (&relay->fault_rate, now_us);
  load->endpoint.hold_us = (int64_t)relay->gate.hold_us;
  load->endpoint.speed_milli
      = eel_run_times_speed_milli (&relay->run_times, now_us);
  load->endpoint.route = route;
  load->endpoint.run_us = eel_run_times_usual_us (&relay->run_times, route);
  load->endpoint.rank_wait_count
      = relay->config.domain_flow.enabled && !relay->stopping
            ? eel_gate_rank_waits (&relay->gate, now_us,
                                   load->endpoint.rank_waits)
            : 0;
  load->endpoint.has_limit = (uint8_t)(relay->gate.rate.per_s >= 0);
  load->endpoint.limit_milli = load->endpoint.has_limit
                                   ? (uint64_t)(relay->gate.rate.per_s * 1000)
                                   : 0;
}

/* Records the greater of the pressure at the service (expected wait relative to
   the target) and that at the services that it calls. */
void
eel_relay_record_load (struct eel_relay *relay,
                       uint64_t route,
                       int64_t target_us,
                       const struct eel_relay_load *load)
{
  double pressure = load->callee_pressure_milli;

  if (target_us > 0
      && (double)load->wait_us * 1000 / (double)target_us > pressure)
    pressure = (double)load->wait_us * 1000 / (double)target_us;
  eel_entry_gate_report_pressure (&relay->entry_gate, route, pressure,
                                  eel_clock_us ());
  eel_relay_record_items (relay, &load->items);
}

/* Logs at most one line per second, for later analysis; none while no request
   starts. */
void
eel_relay_log_load (struct eel_relay *relay, int64_t now_us)
{
  struct eel_gate *gate = &relay->gate;

  if (now_us < relay->load_logged_us + EEL_US_PER_S
      || gate->started == relay->load_logged_started)
    return;
  g_message ("event=load limit=%u running=%u queued=%u hold_ms=%.0f "
             "started=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
             " callers=%u links=%u faults=%u endpoint_limit=%.1f speed=%u",
             gate->limit, gate->running, gate->queued, gate->hold_us / 1000,
             gate->started - relay->load_logged_started, gate->refused,
             relay->callers.exchange_count, relay->endpoint_pool.open_count,
             eel_fault_rate_milli (&relay->fault_rate, now_us),
             gate->rate.per_s,
             eel_run_times_speed_milli (&relay->run_times, now_us));
  relay->load_logged_us = now_us;
  relay->load_logged_started = gate->started;
}
