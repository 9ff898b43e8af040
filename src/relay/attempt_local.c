#include <event2/buffer.h>
#include <inttypes.h>
#include <string.h>

#include "eelgrasslatch/place.h"
#include "internal/task.h"
#include "relay/attempt.h"
#include "relay/crash.h"
#include "relay/crash_news.h"
#include "relay/crash_trial.h"
#include "relay/relay.h"
#include "relay/self_report.h"
#include "relay/sharing.h"

/* Longest idle time before a link is reused: later the endpoint may close it
   while the request is being sent.  The limit is lower for a request that must
   not run twice. */
#define IDLE_MAX_NON_IDEMPOTENT_US (1 * EEL_US_PER_S)
#define IDLE_MAX_IDEMPOTENT_US (8 * EEL_US_PER_S)

/* Bytes of a refusal's body that are read so that its connection can be kept.
 */
#define REFUSAL_BODY_BYTES_MAX 65536
/* An endpoint ends a run this long before its deadline at the earliest because
   of it. */
#define DEADLINE_MARGIN_US (20 * EEL_US_PER_MS)
/* A run with this many times the mean hold time has time enough. */
#define HOLD_FACTOR_AMPLE 4.0

/* A run that fails at once would make its endpoint look fast; a time-out tells
   how slow it is. */
static int
tells_run_time (const struct eel_attempt *attempt)
{
  return attempt->answer_status < 500 || attempt->answer_status == 504;
}

static void
release_slot (struct eel_attempt *attempt, int record_hold)
{
  int64_t now_us = eel_clock_us ();
  int64_t held_us = record_hold ? now_us - attempt->started_us : -1;

  if (!attempt->running)
    return;
  attempt->running = 0;
  eel_crash_trial_ended (attempt);
  eel_gate_done (&attempt->relay->gate, held_us, now_us);
  if (attempt->call.team_id != EEL_NO_TEAM)
    eel_gate_done_share (&attempt->relay->gate, attempt->call.team_id,
                         attempt->call.rank, now_us - attempt->started_us);
  if (held_us < 0)
    return;
  if (tells_run_time (attempt))
    eel_run_times_record (&attempt->relay->run_times, attempt->call.route,
                          held_us, now_us);
  eel_metric_observe (attempt->relay->counters.hold, held_us);
}

/*
 * Returns true for a failed run that is the endpoint's own fault.  It is not
 * when a request that entered here failed meanwhile, which may have been a call
 * that the run needed, or when the run began too late to meet its deadline.
 */
static int
is_own_fault (const struct eel_attempt *attempt, int64_t now_us)
{
  const struct eel_relay *relay = attempt->relay;
  int64_t allowed_us = attempt->call.deadline_us - attempt->started_us;

  return relay->entry_failed_us < attempt->started_us
         && (now_us < attempt->call.deadline_us - DEADLINE_MARGIN_US
             || allowed_us > HOLD_FACTOR_AMPLE * relay->gate.hold_us);
}

/* Records how a run ended. */
static void
record_run (struct eel_attempt *attempt, int failed)
{
  int64_t now_us = eel_clock_us ();

  eel_fault_rate_record (&attempt->relay->fault_rate,
                         failed && is_own_fault (attempt, now_us), now_us);
}

/* Frees the slot, then reports the failure. */
void
eel_attempt_fail_local (struct eel_attempt *attempt,
                        enum eel_attempt_failure failure,
                        const char *reason)
{
  struct eel_relay *relay = attempt->relay;

  release_slot (attempt, 0);
  attempt->answer_done = 1;
  attempt->ops->fail (attempt->owner, failure, reason);
  eel_relay_dispatch_queued (relay);
}

/* Records the load of this node's endpoint, for requests that entered here. */
static void
record_own_load (struct eel_attempt *attempt)
{
  struct eel_relay_load load;

  if (attempt->call.route_target_us == 0)
    return;
  eel_relay_own_load (attempt->relay, attempt->call.route, &load);
  if (attempt->instance != NULL)
    eel_place_answered (attempt->instance, &load.endpoint, eel_clock_us ());
  eel_relay_record_load (attempt->relay, attempt->call.route,
                         attempt->call.route_target_us, &load);
  if (attempt->call.has_teams)
    eel_sharing_record_own (attempt->relay, attempt->call.service);
}

/* An answer bears the id of its request; only the first one on a connection can
   be no copy of an earlier one, and may lack it when it refuses. */
static int
may_lack_id (const struct eel_attempt *attempt, int not_run)
{
  return attempt->call.request_id == NULL
         || (not_run && attempt->link != NULL && attempt->link->requests == 1);
}

/* Discards an answer that may be one of another request. */
static int
on_head (void *owner, struct eel_head *head)
{
  struct eel_attempt *attempt = owner;
  const struct eel_relay_header_names *header_names
      = attempt->relay->config.header_names;
  const char *id = eel_head_get (head, header_names->request_id);
  int not_run = eel_head_get (head, header_names->not_executed) != NULL
                || head->status == 421;

  if (!eel_attempt_id_fits (attempt, id))
    return 0;
  if (id == NULL && !may_lack_id (attempt, not_run))
    {
      g_message ("event=answer_without_id request=%s status=%u",
                 EEL_LOG_TEXT (attempt->call.request_id), head->status);
      return 0;
    }
  eel_self_report_read (attempt->relay, attempt->call.instance_id, head);
  record_own_load (attempt);
  attempt->is_refusal = (uint8_t)not_run;
  if (not_run)
    eel_link_record_refusal (attempt->link, attempt->call.request_id);
  attempt->refusal
      = head->status == 421 ? EEL_FAILURE_MISDIRECTED : EEL_FAILURE_SHED;
  if (head->status == 421)
    eel_attempt_record_actual (attempt->relay, head);
  attempt->answer_status = head->status;
  if (!not_run)
    attempt->ops->head (attempt->owner, head);
  return 1;
}

/* Success shows that the request doesn't crash endpoints.  A rejection may come
   before the request is run; after a time-out the endpoint may go on with it.
 */
static void
record_completion (const struct eel_attempt *attempt)
{
  struct eel_relay *relay = attempt->relay;
  uint64_t fingerprint = attempt->call.fingerprint;

  if (attempt->answer_status == 504)
    eel_crash_watch_given_up (&relay->crash_watch, fingerprint,
                              attempt->started_us, eel_clock_us ());
  else if (attempt->answer_status < 400
           && eel_crash_clear_suspect (relay, fingerprint))
    eel_crash_news_cleared (relay, fingerprint);
}

/* A refusal counts without the rest of a long body, which may have no end. */
static void
on_body (void *owner, const char *data, size_t bytes)
{
  struct eel_attempt *attempt = owner;

  if (!attempt->is_refusal)
    {
      attempt->ops->body (attempt->owner, data, bytes);
      return;
    }
  attempt->refusal_bytes += bytes;
  if (attempt->refusal_bytes <= REFUSAL_BODY_BYTES_MAX)
    return;
  g_message ("event=refusal_cut request=%s read_bytes=%" PRIu64,
             EEL_LOG_TEXT (attempt->call.request_id), attempt->refusal_bytes);
  eel_link_cancel (attempt->link);
  attempt->link = NULL;
  eel_attempt_fail_local (attempt, attempt->refusal, "endpoint did not run it");
}

static void
on_end (void *owner)
{
  struct eel_attempt *attempt = owner;
  struct eel_relay *relay = attempt->relay;

  attempt->link = NULL;
  if (attempt->is_refusal)
    {
      eel_attempt_fail_local (attempt, attempt->refusal,
                              "endpoint did not run it");
      return;
    }
  release_slot (attempt, 1);
  record_run (attempt, attempt->answer_status >= 500);
  record_completion (attempt);
  attempt->answer_done = 1;
  attempt->ops->end (attempt->owner);
  eel_relay_dispatch_queued (relay);
}

static void
on_fail (void *owner, int sent, const char *reason)
{
  struct eel_attempt *attempt = owner;

  attempt->link = NULL;
  if (sent)
    {
      eel_crash_trial_interrupted (attempt, reason);
      return;
    }
  eel_crash_endpoint_down (attempt->relay);
  eel_attempt_fail_local (attempt, EEL_FAILURE_UNREACHABLE, reason);
}

static const struct eel_link_ops link_ops
    = { .head = on_head,
        .body = on_body,
        .end = on_end,
        .fail = on_fail,
        .drained = eel_attempt_on_drained };

/* Sends the request to the endpoint; the gate has counted its slot. */
void
eel_attempt_admitted (struct eel_attempt *attempt)
{
  struct evbuffer *head;
  struct eel_relay *relay = attempt->relay;
  const char *refusal = eel_attempt_direct (attempt);
  enum eel_attempt_failure failure;

  attempt->queued = 0;
  attempt->running = 1;
  attempt->started_us = eel_clock_us ();
  if (refusal != NULL)
    {
      eel_attempt_fail_local (attempt, EEL_FAILURE_LEAVING, refusal);
      return;
    }
  if (eel_crash_trial_refuses (attempt, &failure, &refusal))
    {
      eel_attempt_fail_local (attempt, failure, refusal);
      return;
    }
  eel_crash_trial_started (attempt);
  if (eel_attempt_remaining_ms (attempt, attempt->started_us) <= 0)
    {
      eel_attempt_fail_local (attempt, EEL_FAILURE_REFUSED, "no time left");
      return;
    }
  head = evbuffer_new ();
  if (head != NULL)
    {
      eel_attempt_write_head (attempt, head, 0);
      attempt->link = eel_pool_send (
          &relay->endpoint_pool, &link_ops, attempt, head,
          strcmp (attempt->call.request->method, "HEAD") == 0,
          attempt->call.idempotent ? IDLE_MAX_IDEMPOTENT_US
                                   : IDLE_MAX_NON_IDEMPOTENT_US,
          attempt->call.request_id);
      evbuffer_free (head);
    }
  if (attempt->link == NULL)
    {
      eel_attempt_fail_local (attempt, EEL_FAILURE_UNREACHABLE, "no socket");
      return;
    }
  eel_metric_add (relay->counters.runs, 1);
  eel_call_costs_count_run (&relay->call_costs, attempt->call.route);
  eel_attempt_send_pending (attempt);
}

/* Reports that no slot becomes free in time; nothing was sent. */
void
eel_attempt_refused (struct eel_attempt *attempt)
{
  attempt->queued = 0;
  attempt->answer_done = 1;
  if (attempt->call.team_id != EEL_NO_TEAM)
    eel_metric_add (attempt->relay->counters.gate_refused, 1);
  record_own_load (attempt);
  attempt->ops->fail (attempt->owner, EEL_FAILURE_REFUSED, "no slot in time");
}

static void
local_start (struct eel_attempt *attempt)
{
  const struct eel_relay_call *call = &attempt->call;
  const struct eel_gate_item item = { .rank = call->rank,
                                      .arrived_us = attempt->started_us,
                                      .target_us = call->target_us,
                                      .deadline_us = call->deadline_us,
                                      .owner = attempt };
  const struct eel_gate_share share = eel_sharing_of (attempt->relay, call);
  struct eel_relay *relay = attempt->relay;
  const char *refusal = eel_attempt_direct (attempt);
  enum eel_attempt_failure failure;

  if (refusal != NULL)
    {
      attempt->answer_done = 1;
      attempt->ops->fail (attempt->owner, EEL_FAILURE_LEAVING, refusal);
      return;
    }
  if (eel_crash_trial_refuses (attempt, &failure, &refusal))
    {
      attempt->answer_done = 1;
      attempt->ops->fail (attempt->owner, failure, refusal);
      return;
    }
  eel_self_report_expect (attempt->relay, call->instance_id);
  switch (
      eel_gate_offer_share (&relay->gate, &item, &share, attempt->started_us))
    {
    case EEL_GATE_START:
      eel_attempt_admitted (attempt);
      return;
    case EEL_GATE_QUEUE:
      attempt->queued = 1;
      /* Starts the timer; may refuse this one too, or tell another one that
         its place is gone. */
      eel_relay_dispatch_queued (relay);
      return;
    case EEL_GATE_REFUSE:
      eel_attempt_refused (attempt);
      return;
    }
}

static void
local_cancel (struct eel_attempt *attempt)
{
  struct eel_relay *relay = attempt->relay;
  int was_running = attempt->running;
  int was_sent = attempt->link != NULL;

  if (attempt->queued)
    eel_gate_withdraw (&relay->gate, attempt);
  attempt->queued = 0;
  if (attempt->link != NULL)
    eel_link_cancel (attempt->link);
  attempt->link = NULL;
  if (was_running && was_sent)
    eel_crash_watch_given_up (&relay->crash_watch, attempt->call.fingerprint,
                              attempt->started_us, eel_clock_us ());
  if (was_running && eel_clock_us () >= attempt->call.deadline_us)
    record_run (attempt, 1);
  release_slot (attempt, 0);
  if (was_running)
    eel_relay_dispatch_queued (relay);
}

const struct eel_attempt_kind eel_attempt_local
    = { .start = local_start, .cancel = local_cancel };
