#include <event2/buffer.h>
#include <inttypes.h>
#include <string.h>

#include "eelgrasslatch/place.h"
#include "eelgrasslatch/retry_after.h"
#include "internal/task.h"
#include "relay/caps.h"
#include "relay/crash.h"
#include "relay/entry.h"
#include "relay/sharing.h"

/* An answer up to this long is buffered until it is complete, so that a failure
   on the way can still be retried. */
#define HELD_BYTES_MAX 65536
/* Reading the answer pauses while more than this waits for the caller. */
#define ANSWER_PENDING_BYTES_MAX 262144
/* Charged to the retry budget for a run that is repeated, since it also repeats
   its calls to other services; any other retry costs 1000. */
#define RERUN_COST_MILLI 3000
/* Reported when an endpoint sheds: it is full even if its node counts free
   slots. */
#define SHED_PRESSURE_MILLI 2000.0

/* The answer has no body. */
void
eel_entry_refuse (struct eel_exchange *exchange,
                  enum eel_error error,
                  int64_t retry_after_us)
{
  const struct eel_error_info *info = eel_error_info (error);
  struct evbuffer *lines = evbuffer_new ();

  if (lines != NULL && retry_after_us > 0)
    evbuffer_add_printf (lines, "Retry-After: %.3f\r\n",
                         (double)retry_after_us / EEL_US_PER_S);
  if (lines != NULL && info->http_status == 401)
    evbuffer_add_printf (lines, "WWW-Authenticate: Bearer\r\n");
  eel_exchange_answer (exchange, info->http_status, lines, EEL_FRAMING_LENGTH,
                       0);
  if (lines != NULL)
    evbuffer_free (lines);
  eel_exchange_end (exchange);
}

/* Longer for teams above their share, and only for them, than for others of the
   route. */
static int64_t
retry_after_us (struct eel_entry *entry)
{
  struct eel_relay *relay = entry->relay;
  double route_share
      = eel_entry_gate_refused_share (&relay->entry_gate, entry->call.route);
  double team_share = eel_sharing_refused_share (relay, &entry->call);

  return eel_retry_after_us (
      entry->call.target_us - entry->arrived_us,
      entry->call.deadline_us - eel_clock_us (),
      team_share > route_share ? team_share : route_share, &relay->rng);
}

/* 503 and 429 state that the request was not run, so they are replaced by an
   upstream failure when it may have been.  That no endpoint is left is not the
   cause when one had no slot. */
static enum eel_error
error_to_report (const struct eel_entry *entry, enum eel_error error)
{
  uint16_t status = eel_error_info (error)->http_status;

  if (error == EEL_ERROR_NO_ENDPOINT && entry->was_refused
      && !entry->may_have_run)
    return EEL_ERROR_OVERLOADED;
  if (entry->may_have_run && (status == 503 || status == 429))
    return EEL_ERROR_UPSTREAM_FAILED;
  return error;
}

/* Reports to the entry gate whether an admitted request failed or was late. */
static void
report_outcome (struct eel_entry *entry, int failed)
{
  int64_t now_us = eel_clock_us ();

  eel_entry_gate_report_outcome (&entry->relay->entry_gate, entry->call.route,
                                 failed || now_us > entry->call.target_us,
                                 now_us);
}

void
eel_entry_answer_error (struct eel_entry *entry, enum eel_error error)
{
  struct eel_exchange *exchange = entry->exchange;
  struct eel_relay *relay = entry->relay;
  enum eel_error reported = error_to_report (entry, error);
  uint16_t status = eel_error_info (reported)->http_status;
  int64_t now_us = eel_clock_us ();
  int64_t after_us = status == 503 ? retry_after_us (entry) : 0;

  eel_metric_add (status == 503 || status == 429 ? relay->counters.refused
                                                 : relay->counters.failed,
                  1);
  g_message (
      "event=not_served request=%s error=%s status=%u service=%s "
      "rank=%u tried=%u arrivals=%u may_have_run=%u "
      "after_ms=%" PRId64 " left_ms=%" PRId64 " pressure=%.0f refuse=%.2f "
      "team=%s above_share=%.2f",
      EEL_LOG_TEXT (entry->call.request_id), eel_error_info (reported)->name,
      status,
      EEL_LOG_TEXT (eel_service_name (&relay->names, entry->call.service)),
      entry->call.rank, entry->tried_count, entry->arrivals,
      entry->may_have_run, (now_us - entry->arrived_us) / EEL_US_PER_MS,
      (entry->call.deadline_us - now_us) / EEL_US_PER_MS,
      eel_entry_gate_pressure (&relay->entry_gate, entry->call.route, now_us),
      eel_entry_gate_refused_share (&relay->entry_gate, entry->call.route),
      EEL_LOG_TEXT (entry->call.team),
      eel_sharing_refused_share (relay, &entry->call));
  if (reported == EEL_ERROR_OVERLOADED)
    eel_sharing_refused (entry, after_us);
  if (reported == EEL_ERROR_LEAVING)
    after_us = EEL_ENTRY_LEAVING_RETRY_US;
  if (reported == EEL_ERROR_TEAM_CAP)
    after_us = eel_entry_cap_wait_us (entry);
  if (entry->tried_count > 0)
    report_outcome (entry, 1);
  /* Calls of this node's endpoint meet no cap. */
  if (reported != EEL_ERROR_TEAM_CAP)
    relay->entry_failed_us = now_us;
  if (entry->arrivals == 0 && !entry->may_have_run)
    eel_entry_return_token (entry);
  eel_entry_count_answer (entry, 0);
  eel_entry_free (entry);
  eel_entry_refuse (exchange, reported, after_us);
}

/* Returns the fields of the endpoint's answer that are forwarded to the caller,
   or NULL when out of memory. */
static struct evbuffer *
answer_lines (const struct eel_entry *entry, const struct eel_head *head)
{
  const char *const skip[] = { EEL_RELAY_LOAD,    EEL_RELAY_REFUSED,
                               EEL_RELAY_CRASHED, EEL_RELAY_CRASH,
                               EEL_RELAY_CLEARED, EEL_RELAY_LEAVING,
                               EEL_RELAY_CROWDED, NULL };
  struct evbuffer *lines = evbuffer_new ();

  (void)entry;
  if (lines != NULL)
    eel_head_write_fields (head, lines, skip);
  return lines;
}

static void
discard_answer (struct eel_entry *entry)
{
  if (entry->lines != NULL)
    evbuffer_free (entry->lines);
  if (entry->held != NULL)
    evbuffer_free (entry->held);
  entry->lines = NULL;
  entry->held = NULL;
  entry->has_head = 0;
}

/* Callers take these statuses to mean that the request was not run. */
static int
status_means_not_run (uint16_t status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
on_head (void *owner, const struct eel_head *head)
{
  struct eel_entry *entry = owner;

  entry->lines = answer_lines (entry, head);
  entry->held = evbuffer_new ();
  entry->status = head->status;
  entry->framing = head->framing;
  entry->length_bytes = head->length_bytes;
  entry->has_head = entry->lines != NULL && entry->held != NULL;
}

/* Sends the head and the buffered body; the rest is relayed in pieces. */
static void
commit (struct eel_entry *entry)
{
  size_t bytes = evbuffer_get_length (entry->held);

  entry->committed = 1;
  eel_exchange_answer (entry->exchange, entry->status, entry->lines,
                       entry->framing, entry->length_bytes);
  if (bytes > 0)
    eel_exchange_body (entry->exchange, evbuffer_pullup (entry->held, -1),
                       bytes);
}

static void
on_body (void *owner, const char *data, size_t bytes)
{
  struct eel_entry *entry = owner;

  if (!entry->has_head)
    return;
  if (entry->committed)
    eel_exchange_body (entry->exchange, data, bytes);
  else
    {
      evbuffer_add (entry->held, data, bytes);
      if (evbuffer_get_length (entry->held) > HELD_BYTES_MAX)
        commit (entry);
    }
  if (entry->committed
      && eel_exchange_pending_bytes (entry->exchange)
             > ANSWER_PENDING_BYTES_MAX)
    eel_attempt_pause (entry->attempt, 1);
}

/* A complete answer is sent with a length instead of in chunks. */
static void
set_held_length (struct eel_entry *entry)
{
  if (entry->framing == EEL_FRAMING_CHUNKED
      || entry->framing == EEL_FRAMING_CLOSE)
    {
      entry->framing = EEL_FRAMING_LENGTH;
      entry->length_bytes = evbuffer_get_length (entry->held);
    }
}

/* An endpoint's own failure reaches the caller unchanged. */
static void
log_upstream_error (const struct eel_entry *entry, int64_t latency_us)
{
  if (entry->status >= 500)
    g_message ("event=upstream_error request=%s status=%u service=%s "
               "instance=%s attempt=%u after_ms=%" PRId64,
               EEL_LOG_TEXT (entry->call.request_id), entry->status,
               EEL_LOG_TEXT (eel_service_name (&entry->relay->names,
                                               entry->call.service)),
               EEL_LOG_TEXT (entry->call.instance_id), entry->tried_count,
               latency_us / EEL_US_PER_MS);
}

static void
on_end (void *owner)
{
  struct eel_entry *entry = owner;
  struct eel_exchange *exchange = entry->exchange;
  int64_t latency_us = eel_clock_us () - entry->arrived_us;

  entry->arrivals++;
  eel_entry_ran (entry, 0);
  if (!entry->has_head)
    {
      entry->may_have_run = 1;
      eel_entry_answer_error (entry, EEL_ERROR_UPSTREAM_FAILED);
      return;
    }
  if (status_means_not_run (entry->status))
    {
      /* The endpoint did not confirm it in the not_executed field, so the
         request may have run. */
      entry->may_have_run = 1;
      if (!entry->committed)
        {
          eel_entry_answer_error (entry, EEL_ERROR_UPSTREAM_FAILED);
          return;
        }
    }
  if (!entry->committed)
    {
      set_held_length (entry);
      commit (entry);
    }
  log_upstream_error (entry, latency_us);
  report_outcome (entry, entry->status >= 500);
  eel_entry_count_answer (entry, entry->status < 400);
  if (entry->status >= 500)
    entry->relay->entry_failed_us = entry->arrived_us + latency_us;
  if (entry->status < 400)
    eel_crash_clear_suspect (entry->relay, entry->call.fingerprint);
  eel_metric_add (entry->relay->counters.served, 1);
  eel_metric_observe (entry->relay->counters.latency, latency_us);
  eel_entry_free (entry);
  eel_exchange_end (exchange);
}

/* True when the request may be sent again; charges the retry budget. */
static int
may_retry (struct eel_entry *entry, enum eel_attempt_failure failure)
{
  uint32_t cost_milli = failure == EEL_FAILURE_BROKEN ? RERUN_COST_MILLI : 1000;

  if (entry->replay == NULL || entry->tried_count == EEL_ENTRY_TRIES_MAX
      || (failure != EEL_FAILURE_SHED && entry->arrivals >= entry->attempts_max)
      || (entry->may_have_run && !entry->call.idempotent))
    return 0;
  if (!eel_entry_take_retry (entry, cost_milli))
    return 0;
  eel_metric_add (entry->relay->counters.retries, 1);
  return 1;
}

static enum eel_error
error_for_failure (enum eel_attempt_failure failure)
{
  switch (failure)
    {
    case EEL_FAILURE_REFUSED:
      return EEL_ERROR_OVERLOADED;
    case EEL_FAILURE_SHED:
      return EEL_ERROR_UPSTREAM_REFUSED;
    case EEL_FAILURE_BROKEN:
      return EEL_ERROR_UPSTREAM_FAILED;
    case EEL_FAILURE_SUSPECT:
      return EEL_ERROR_CRASHES_UPSTREAMS;
    default:
      return EEL_ERROR_NO_ENDPOINT;
    }
}

/* Records a failure; returns 1 when the request had reached an endpoint. */
static int
record_failure (struct eel_entry *entry, enum eel_attempt_failure failure)
{
  struct eel_relay *relay = entry->relay;

  if (failure == EEL_FAILURE_SHED)
    {
      entry->shed_by = entry->instance;
      eel_place_shed (entry->instance);
      eel_entry_ran (entry, 1);
      eel_entry_gate_report_pressure (&relay->entry_gate, entry->call.route,
                                      SHED_PRESSURE_MILLI, eel_clock_us ());
    }
  if (failure == EEL_FAILURE_REFUSED)
    eel_entry_refused (entry);
  if (failure == EEL_FAILURE_BROKEN)
    entry->may_have_run = 1;
  if (failure != EEL_FAILURE_SHED && failure != EEL_FAILURE_BROKEN
      && failure != EEL_FAILURE_MISDIRECTED)
    return 0;
  entry->arrivals++;
  return 1;
}

static void
on_fail (void *owner, enum eel_attempt_failure failure, const char *reason)
{
  struct eel_entry *entry = owner;
  int arrived = record_failure (entry, failure);
  enum eel_error error = error_for_failure (failure);

  if (failure != EEL_FAILURE_REFUSED)
    g_message ("event=attempt_failed request=%s failure=%s reason=\"%s\" "
               "instance=%s arrivals=%u",
               EEL_LOG_TEXT (entry->call.request_id),
               eel_attempt_failure_name (failure), reason,
               EEL_LOG_TEXT (entry->call.instance_id), entry->arrivals);
  if (entry->committed)
    {
      struct eel_exchange *exchange = entry->exchange;

      eel_metric_add (entry->relay->counters.failed, 1);
      eel_entry_free (entry);
      eel_exchange_abort (exchange);
      return;
    }
  discard_answer (entry);
  if (failure == EEL_FAILURE_SUSPECT
      || (arrived && !may_retry (entry, failure)))
    eel_entry_answer_error (entry, error);
  else
    eel_entry_next (entry, error);
}

static void
on_drained (void *owner)
{
  struct eel_entry *entry = owner;

  eel_exchange_pause (entry->exchange, 0);
}

const struct eel_attempt_ops eel_entry_attempt_ops = { .head = on_head,
                                                       .body = on_body,
                                                       .end = on_end,
                                                       .fail = on_fail,
                                                       .drained = on_drained };
