#include <event2/buffer.h>
#include <string.h>

#include "eelgrasslatch/place.h"
#include "internal/task.h"
#include "relay/attempt.h"
#include "relay/crash.h"
#include "relay/relay.h"

/* A kept link that was idle for longer may be closing at the other end. */
#define FRESH_ONCE_US (1 * EEL_US_PER_S)
#define FRESH_SAFE_US (8 * EEL_US_PER_S)
/* An endpoint that has said who it is isn't asked for another meanwhile. */
#define ACTUAL_LIFE_US (4 * EEL_US_PER_S)

static void
slot_done (struct eel_attempt *attempt, int says_time)
{
  int64_t now_us = eel_clock_us ();
  int64_t held_us = says_time ? now_us - attempt->started_us : -1;

  if (!attempt->running)
    return;
  attempt->running = 0;
  eel_gate_done (&attempt->relay->gate, held_us, now_us);
  if (held_us >= 0)
    eel_metric_observe (attempt->relay->counters.hold, held_us);
}

/* Reports a failure after the slot is free. */
static void
local_fail (struct eel_attempt *attempt,
            enum eel_attempt_failure failure,
            const char *reason)
{
  struct eel_relay *relay = attempt->relay;

  slot_done (attempt, 0);
  attempt->answer_done = 1;
  attempt->ops->fail (attempt->owner, failure, reason);
  eel_relay_pump (relay);
}

/* Remembers which endpoint stands at the address of the expected one. */
static void
note_actual_instance (struct eel_relay *relay, const struct eel_head *head)
{
  const char *actual
      = eel_head_get (head, relay->config.header_names->actual_instance);

  if (actual == NULL)
    return;
  g_strlcpy (relay->actual_instance, actual, sizeof relay->actual_instance);
  relay->actual_until_us = eel_clock_us () + ACTUAL_LIFE_US;
}

/* The own endpoint's load counts for requests that entered here. */
static void
note_own_load (struct eel_attempt *attempt)
{
  struct eel_relay_load load;

  if (attempt->work.route_target_us == 0)
    return;
  eel_relay_own_load (attempt->relay, attempt->work.route, &load);
  if (attempt->instance != NULL)
    eel_place_answered (attempt->instance, load.use_milli, eel_clock_us ());
  eel_relay_note_load (attempt->relay, attempt->work.route,
                       attempt->work.route_target_us, &load);
}

/* The answer that carries another request's id is not ours. */
static int
on_head (void *owner, struct eel_head *head)
{
  struct eel_attempt *attempt = owner;
  const struct eel_relay_header_names *header_names
      = attempt->relay->config.header_names;
  const char *id = eel_head_get (head, header_names->request_id);
  int not_run = eel_head_get (head, header_names->not_executed) != NULL
                || head->status == 421;

  if (id != NULL && attempt->work.request_id != NULL
      && strcmp (id, attempt->work.request_id) != 0)
    return 0;
  if (id == NULL && attempt->work.request_id != NULL && !not_run)
    {
      g_message ("event=answer_without_id request=%s status=%u",
                 attempt->work.request_id, head->status);
      return 0;
    }
  note_own_load (attempt);
  attempt->is_refusal = (uint8_t)not_run;
  attempt->refusal
      = head->status == 421 ? EEL_FAILURE_MISDIRECTED : EEL_FAILURE_SHED;
  if (head->status == 421)
    note_actual_instance (attempt->relay, head);
  if (!not_run)
    attempt->ops->head (attempt->owner, head);
  return 1;
}

static void
on_end (void *owner)
{
  struct eel_attempt *attempt = owner;
  struct eel_relay *relay = attempt->relay;

  attempt->link = NULL;
  if (attempt->is_refusal)
    {
      local_fail (attempt, attempt->refusal, "endpoint did not run it");
      return;
    }
  slot_done (attempt, 1);
  eel_crash_ended (relay, attempt->work.fingerprint);
  attempt->answer_done = 1;
  attempt->ops->end (attempt->owner);
  eel_relay_pump (relay);
}

static void
on_fail (void *owner, int sent, const char *reason)
{
  struct eel_attempt *attempt = owner;

  attempt->link = NULL;
  if (sent)
    eel_crash_watch_broke (&attempt->relay->crash_watch,
                           attempt->work.fingerprint, eel_clock_us ());
  else
    eel_crash_endpoint_down (attempt->relay);
  local_fail (attempt, sent ? EEL_FAILURE_BROKEN : EEL_FAILURE_UNREACHABLE,
              reason);
}

static const struct eel_link_ops link_ops
    = { .head = on_head,
        .body = eel_attempt_on_body,
        .end = on_end,
        .fail = on_fail,
        .drained = eel_attempt_on_drained };

/* Sends the request to the endpoint; a slot is held. */
void
eel_attempt_admitted (struct eel_attempt *attempt)
{
  struct evbuffer *head;
  struct eel_relay *relay = attempt->relay;

  attempt->queued = 0;
  attempt->running = 1;
  attempt->started_us = eel_clock_us ();
  if (eel_attempt_remaining_ms (attempt, attempt->started_us) <= 0)
    {
      local_fail (attempt, EEL_FAILURE_REFUSED, "no time left");
      return;
    }
  head = evbuffer_new ();
  if (head != NULL)
    {
      eel_attempt_write_head (attempt, head, 0);
      attempt->link = eel_pool_send (
          &relay->endpoint, &link_ops, attempt, head,
          strcmp (attempt->work.request->method, "HEAD") == 0,
          attempt->work.idempotent ? FRESH_SAFE_US : FRESH_ONCE_US);
      evbuffer_free (head);
    }
  if (attempt->link == NULL)
    {
      local_fail (attempt, EEL_FAILURE_UNREACHABLE, "no socket");
      return;
    }
  eel_metric_add (relay->counters.runs, 1);
  eel_call_costs_ran (&relay->call_costs, attempt->work.route);
  eel_attempt_send_pending (attempt);
}

/* Reports that the request can't be served in time; nothing was sent. */
void
eel_attempt_refused (struct eel_attempt *attempt)
{
  attempt->queued = 0;
  attempt->answer_done = 1;
  note_own_load (attempt);
  attempt->ops->fail (attempt->owner, EEL_FAILURE_REFUSED, "no slot in time");
}

/* Why the own endpoint may not get the request; NULL: it may. */
static const char *
endpoint_refusal (const struct eel_attempt *attempt)
{
  struct eel_relay *relay = attempt->relay;
  struct eel_instance *own;

  if (attempt->work.service != relay->service)
    return "endpoint is of another service";
  if (attempt->work.instance_id == NULL)
    return NULL;
  own = eel_directory_find (&relay->directory, attempt->work.instance_id);
  if (own != NULL && !eel_instance_usable (own))
    return "endpoint is leaving";
  if (eel_clock_us () < relay->actual_until_us
      && strcmp (relay->actual_instance, attempt->work.instance_id) != 0)
    return "another endpoint has the address";
  return NULL;
}

static void
local_start (struct eel_attempt *attempt)
{
  const struct eel_work *work = &attempt->work;
  const struct eel_gate_item item = { .rank = work->rank,
                                      .arrived_us = attempt->started_us,
                                      .target_us = work->target_us,
                                      .deadline_us = work->deadline_us,
                                      .owner = attempt };
  const char *refusal = endpoint_refusal (attempt);

  if (refusal != NULL)
    {
      attempt->answer_done = 1;
      attempt->ops->fail (attempt->owner, EEL_FAILURE_LEAVING, refusal);
      return;
    }
  switch (eel_gate_offer (&attempt->relay->gate, &item, attempt->started_us))
    {
    case EEL_GATE_START:
      eel_attempt_admitted (attempt);
      return;
    case EEL_GATE_QUEUE:
      attempt->queued = 1;
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

  if (attempt->queued)
    eel_gate_withdraw (&relay->gate, attempt);
  attempt->queued = 0;
  if (attempt->link != NULL)
    eel_link_cancel (attempt->link);
  attempt->link = NULL;
  slot_done (attempt, 0);
  if (was_running)
    eel_relay_pump (relay);
}

const struct eel_attempt_kind eel_attempt_local
    = { .start = local_start, .cancel = local_cancel };
