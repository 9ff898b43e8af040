#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/task.h"
#include "relay/attempt.h"
#include "relay/crash.h"
#include "relay/relay.h"

/*
 * Requests that other nodes pass to the endpoint beside this one.  The answer
 * is relayed as it comes; a failure goes back by its name.
 */

#define ANSWER_PENDING_MAX 262144
#define BODY_PENDING_MAX 262144
/* The passing node ends its request at the deadline; this is for lost ones. */
#define DEADLINE_SLACK_US (250 * EEL_US_PER_MS)

struct visit
{
  struct eel_relay *relay;
  struct eel_exchange *exchange;
  struct eel_attempt *attempt;
  struct eel_work work;
  struct event *deadline;
  uint8_t answered;
};

static void
visit_free (struct visit *visit)
{
  eel_attempt_free (visit->attempt);
  if (visit->deadline != NULL)
    event_free (visit->deadline);
  visit->exchange->state = NULL;
  free (visit);
}

/* Lines that tell the passing node the use of the own slots. */
static struct evbuffer *
load_lines (struct eel_relay *relay, uint64_t route)
{
  struct evbuffer *lines = evbuffer_new ();
  struct eel_relay_load load;

  eel_relay_own_load (relay, route, &load);
  if (lines != NULL)
    evbuffer_add_printf (lines, "%s: %u %" PRId64 " %u %" PRIu64 "\r\n",
                         EEL_RELAY_LOAD, load.use_milli, load.wait_us,
                         load.below_milli, load.revision);
  if (lines != NULL)
    eel_crash_write (relay, lines);
  return lines;
}

/* Answers that the request was not run, or may have failed, and why. */
static void
refuse (struct eel_relay *relay,
        struct eel_exchange *exchange,
        uint64_t route,
        enum eel_attempt_failure failure)
{
  struct evbuffer *lines = load_lines (relay, route);

  if (lines != NULL)
    evbuffer_add_printf (lines, "%s: %s\r\n", EEL_RELAY_REFUSED,
                         eel_attempt_failure_name (failure));
  eel_exchange_answer (exchange, failure == EEL_FAILURE_BROKEN ? 502 : 503,
                       lines, EEL_FRAMING_LENGTH, 0);
  if (lines != NULL)
    evbuffer_free (lines);
  eel_exchange_end (exchange);
}

static void
on_head (void *owner, const struct eel_head *head)
{
  const char *const skip[]
      = { EEL_RELAY_LOAD, EEL_RELAY_REFUSED, EEL_RELAY_CRASHED, NULL };
  struct visit *visit = owner;
  struct evbuffer *lines = load_lines (visit->relay, visit->work.route);

  if (lines != NULL)
    eel_head_write_fields (head, lines, skip);
  visit->answered = 1;
  eel_exchange_answer (visit->exchange, head->status, lines, head->framing,
                       head->length_bytes);
  if (lines != NULL)
    evbuffer_free (lines);
}

static void
on_body (void *owner, const char *data, size_t bytes)
{
  struct visit *visit = owner;

  eel_exchange_body (visit->exchange, data, bytes);
  if (eel_exchange_pending_bytes (visit->exchange) > ANSWER_PENDING_MAX)
    eel_attempt_pause (visit->attempt, 1);
}

static void
on_end (void *owner)
{
  struct visit *visit = owner;
  struct eel_exchange *exchange = visit->exchange;

  visit_free (visit);
  eel_exchange_end (exchange);
}

static void
on_fail (void *owner, enum eel_attempt_failure failure, const char *reason)
{
  struct visit *visit = owner;
  struct eel_exchange *exchange = visit->exchange;
  struct eel_relay *relay = visit->relay;
  int answered = visit->answered;
  uint64_t route = visit->work.route;

  if (failure != EEL_FAILURE_REFUSED)
    g_message ("event=run_failed request=%s failure=%s reason=\"%s\"",
               visit->work.request_id != NULL ? visit->work.request_id : "-",
               eel_attempt_failure_name (failure), reason);
  visit_free (visit);
  if (answered)
    eel_exchange_abort (exchange);
  else
    refuse (relay, exchange, route, failure);
}

static void
on_attempt_drained (void *owner)
{
  struct visit *visit = owner;

  eel_exchange_pause (visit->exchange, 0);
}

static const struct eel_attempt_ops attempt_ops
    = { .head = on_head,
        .body = on_body,
        .end = on_end,
        .fail = on_fail,
        .drained = on_attempt_drained };

static void
on_deadline (evutil_socket_t fd, short what, void *data)
{
  struct visit *visit = data;
  struct eel_exchange *exchange = visit->exchange;

  (void)fd;
  (void)what;
  visit_free (visit);
  eel_exchange_abort (exchange);
}

/* Reads what the passing node says of the request; 0 when it is malformed. */
static int
read_call (struct eel_relay *relay,
           struct eel_head *request,
           struct eel_work *work)
{
  const struct eel_relay_header_names *header_names
      = relay->config.header_names;
  const char *call = eel_head_get (request, EEL_RELAY_CALL);
  const char *remaining = eel_head_get (request, header_names->remaining_ms);
  char service[EEL_SERVICE_MAX];
  unsigned rank;
  unsigned idempotent;
  long target_ms;
  uint64_t revision;
  unsigned framing;
  uint64_t length_bytes;
  int64_t now_us = eel_clock_us ();

  if (call == NULL || remaining == NULL
      || sscanf (call, "%63s %" SCNx64 " %u %u %ld %" SCNu64 " %u %" SCNu64,
                 service, &work->route, &rank, &idempotent, &target_ms,
                 &revision, &framing, &length_bytes)
             != 8
      || framing > EEL_FRAMING_CHUNKED)
    return 0;
  /* Between nodes every body goes in chunks; the endpoint gets the caller's
     framing. */
  request->framing = (enum eel_framing)framing;
  request->length_bytes = length_bytes;
  if (revision > relay->peer_revision)
    relay->peer_revision = revision;
  work->request = request;
  work->request_id = eel_head_get (request, header_names->request_id);
  work->caller_service = eel_head_get (request, header_names->caller_service);
  work->instance_id = eel_head_get (request, header_names->expected_instance);
  work->service = eel_service_number (&relay->names, service);
  work->rank = (uint8_t)rank;
  work->idempotent = (uint8_t)(idempotent != 0);
  eel_crash_read (relay, request);
  if (work->caller_service != NULL)
    work->fingerprint = eel_crash_fingerprint (request, work->caller_service);
  work->target_us = now_us + target_ms * EEL_US_PER_MS;
  work->deadline_us = now_us + strtoll (remaining, NULL, 10) * EEL_US_PER_MS;
  return work->caller_service != NULL;
}

static int
start_deadline (struct visit *visit)
{
  int64_t left_us
      = visit->work.deadline_us - eel_clock_us () + DEADLINE_SLACK_US;
  struct timeval left;

  if (left_us < 0)
    left_us = 0;
  left.tv_sec = left_us / EEL_US_PER_S;
  left.tv_usec = left_us % EEL_US_PER_S;
  visit->deadline = event_new (visit->relay->base, -1, 0, on_deadline, visit);
  return visit->deadline != NULL && event_add (visit->deadline, &left) == 0;
}

static void
on_request (struct eel_exchange *exchange)
{
  struct eel_relay *relay = eel_exchange_server (exchange)->owner;
  struct visit *visit;

  if (relay->refusing)
    {
      refuse (relay, exchange, 0, EEL_FAILURE_LEAVING);
      return;
    }
  visit = calloc (1, sizeof *visit);
  if (visit == NULL)
    {
      refuse (relay, exchange, 0, EEL_FAILURE_REFUSED);
      return;
    }
  visit->relay = relay;
  visit->exchange = exchange;
  exchange->state = visit;
  if (!read_call (relay, &exchange->request, &visit->work)
      || !start_deadline (visit))
    {
      visit_free (visit);
      refuse (relay, exchange, 0, EEL_FAILURE_REFUSED);
      return;
    }
  /* The passing node sends the body, or its end, only after this. */
  eel_exchange_continue (exchange);
}

/*
 * Passes a piece of the body, or its end, to the run.  The first one starts
 * the run: until then the passing node may still offer the request to another.
 */
static void
pass_on (struct visit *visit, const char *data, size_t bytes, int end)
{
  struct eel_exchange *exchange = visit->exchange;
  struct eel_relay *relay = visit->relay;
  int first = visit->attempt == NULL;

  if (first)
    visit->attempt
        = eel_attempt_new (relay, &visit->work, NULL, &attempt_ops, visit);
  if (visit->attempt == NULL)
    {
      visit_free (visit);
      refuse (relay, exchange, 0, EEL_FAILURE_REFUSED);
      return;
    }
  if (end)
    eel_attempt_body_end (visit->attempt);
  else
    eel_attempt_body (visit->attempt, data, bytes);
  if (eel_attempt_pending_bytes (visit->attempt) > BODY_PENDING_MAX)
    eel_exchange_pause (exchange, 1);
  /* May end the visit. */
  if (first)
    eel_attempt_start (visit->attempt);
}

static void
on_request_body (struct eel_exchange *exchange, const char *data, size_t bytes)
{
  pass_on (exchange->state, data, bytes, 0);
}

static void
on_request_end (struct eel_exchange *exchange)
{
  pass_on (exchange->state, NULL, 0, 1);
}

static void
on_gone (struct eel_exchange *exchange)
{
  visit_free (exchange->state);
}

static void
on_drained (struct eel_exchange *exchange)
{
  struct visit *visit = exchange->state;

  if (visit->attempt != NULL)
    eel_attempt_pause (visit->attempt, 0);
}

const struct eel_server_ops eel_executor_ops = { .request = on_request,
                                                 .body = on_request_body,
                                                 .body_end = on_request_end,
                                                 .gone = on_gone,
                                                 .drained = on_drained };
