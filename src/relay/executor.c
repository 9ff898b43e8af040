#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/task.h"
#include "relay/attempt.h"
#include "relay/crash.h"
#include "relay/crash_news.h"
#include "relay/load_field.h"
#include "relay/relay.h"
#include "relay/self_report.h"
#include "relay/sharing.h"

/*
 * Runs requests that entry nodes forward to this node's endpoint.  The answer
 * is relayed as it arrives; a failure is returned by its name.
 */

/* Reading an answer or a request body pauses while more than this waits to be
   sent. */
#define ANSWER_PENDING_BYTES_MAX 262144
#define BODY_PENDING_BYTES_MAX 262144
/* Entry nodes end their requests at the deadline; this much later a run is
   cancelled here too, in case the entry node failed to. */
#define DEADLINE_SLACK_US (250 * EEL_US_PER_MS)

/* A forwarded request, from its head to the end of its answer. */
struct run
{
  struct eel_relay *relay;
  struct eel_exchange *exchange;
  struct eel_attempt *attempt;
  struct eel_relay_call call;
  struct event *deadline;
  struct eel_crash_content content;
  uint8_t started;
  uint8_t answered;
};

static void
run_free (struct run *run)
{
  run->exchange->state = NULL;
  eel_attempt_free (run->attempt);
  if (run->deadline != NULL)
    event_free (run->deadline);
  free (run);
}

/* Returns header lines with this node's load and what it knows of crashes, or
   NULL when out of memory. */
static struct evbuffer *
load_header_lines (struct eel_relay *relay,
                   uint64_t route,
                   uint64_t fingerprint)
{
  struct evbuffer *lines = evbuffer_new ();
  struct eel_relay_load load;

  eel_relay_own_load (relay, route, &load);
  if (lines != NULL)
    eel_load_write (&load, lines);
  if (lines != NULL)
    {
      eel_sharing_write (relay, lines);
      eel_crash_write (relay, fingerprint, lines);
    }
  return lines;
}

/* Answers that the request was not run or, for EEL_FAILURE_BROKEN, that it may
   have been; names the failure. */
static void
refuse_call (struct eel_relay *relay,
             struct eel_exchange *exchange,
             uint64_t route,
             uint64_t fingerprint,
             enum eel_attempt_failure failure)
{
  struct evbuffer *lines = load_header_lines (relay, route, fingerprint);

  if (lines != NULL)
    evbuffer_add_printf (lines, "%s: %s\r\n", EEL_RELAY_REFUSED,
                         eel_attempt_failure_name (failure));
  eel_exchange_answer (exchange, failure == EEL_FAILURE_BROKEN ? 502 : 503,
                       lines, EEL_FRAMING_LENGTH, 0);
  if (lines != NULL)
    evbuffer_free (lines);
  eel_exchange_end (exchange);
}

/* Refuses a request that has no attempt yet. */
static void
refuse (struct eel_relay *relay,
        struct eel_exchange *exchange,
        enum eel_attempt_failure failure)
{
  refuse_call (relay, exchange, 0, 0, failure);
}

static void
on_head (void *owner, const struct eel_head *head)
{
  const char *const skip[] = { EEL_RELAY_LOAD,    EEL_RELAY_REFUSED,
                               EEL_RELAY_CRASHED, EEL_RELAY_CRASH,
                               EEL_RELAY_CLEARED, EEL_RELAY_LEAVING,
                               EEL_RELAY_CROWDED, NULL };
  struct run *run = owner;
  struct evbuffer *lines = load_header_lines (run->relay, run->call.route,
                                              run->attempt->call.fingerprint);

  if (lines != NULL)
    {
      eel_head_write_fields (head, lines, skip);
      eel_self_report_write_leaving (run->relay, run->attempt->call.instance_id,
                                     head, lines);
    }
  run->answered = 1;
  eel_exchange_answer (run->exchange, head->status, lines, head->framing,
                       head->length_bytes);
  if (lines != NULL)
    evbuffer_free (lines);
}

static void
on_body (void *owner, const char *data, size_t bytes)
{
  struct run *run = owner;

  eel_exchange_body (run->exchange, data, bytes);
  if (eel_exchange_pending_bytes (run->exchange) > ANSWER_PENDING_BYTES_MAX)
    eel_attempt_pause (run->attempt, 1);
}

static void
on_end (void *owner)
{
  struct run *run = owner;
  struct eel_exchange *exchange = run->exchange;

  run_free (run);
  eel_exchange_end (exchange);
}

static void
on_fail (void *owner, enum eel_attempt_failure failure, const char *reason)
{
  struct run *run = owner;
  struct eel_exchange *exchange = run->exchange;
  struct eel_relay *relay = run->relay;
  uint64_t route = run->call.route;
  uint64_t fingerprint = run->attempt->call.fingerprint;
  int answered = run->answered;

  if (failure != EEL_FAILURE_REFUSED)
    g_message ("event=run_failed request=%s failure=%s reason=\"%s\"",
               EEL_LOG_TEXT (run->call.request_id),
               eel_attempt_failure_name (failure), reason);
  run_free (run);
  if (answered)
    eel_exchange_abort (exchange);
  else
    refuse_call (relay, exchange, route, fingerprint, failure);
}

static void
on_attempt_drained (void *owner)
{
  struct run *run = owner;

  eel_exchange_pause (run->exchange, 0);
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
  struct run *run = data;
  struct eel_exchange *exchange = run->exchange;

  (void)fd;
  (void)what;
  run_free (run);
  eel_exchange_abort (exchange);
}

/* Parses the fields that the entry node added; returns 0 when malformed. */
static int
parse_call (struct eel_relay *relay,
            struct eel_head *request,
            struct eel_relay_call *call)
{
  const struct eel_relay_header_names *header_names
      = relay->config.header_names;
  const char *fields = eel_head_get (request, EEL_RELAY_CALL);
  const char *remaining = eel_head_get (request, header_names->remaining_ms);
  char service[EEL_SERVICE_MAX];
  unsigned rank;
  unsigned idempotent;
  long target_ms;
  struct eel_relay_items items = { 0 };
  unsigned framing;
  uint64_t length_bytes;
  int64_t now_us = eel_clock_us ();

  if (fields == NULL || remaining == NULL
      || sscanf (fields,
                 "%63s %" SCNx64 " %u %u %ld %" SCNu64 " %u %" SCNu64 " %" SCNu8
                 " %" SCNu8 " %" SCNu64 " %" SCNu64,
                 service, &call->route, &rank, &idempotent, &target_ms,
                 &items.revision, &framing, &length_bytes, &call->is_guest,
                 &call->has_teams, &items.era, &items.version)
             < 8
      || framing > EEL_FRAMING_CHUNKED)
    return 0;
  /* Between nodes every body is chunked; the endpoint gets the caller's
     framing. */
  request->framing = (enum eel_framing)framing;
  request->length_bytes = length_bytes;
  eel_relay_record_items (relay, &items);
  call->request = request;
  call->request_id = eel_head_get (request, header_names->request_id);
  call->caller_service = eel_head_get (request, header_names->caller_service);
  call->instance_id = eel_head_get (request, header_names->expected_instance);
  call->service = eel_service_names_find (&relay->names, service);
  call->rank = (uint8_t)rank;
  call->idempotent = (uint8_t)(idempotent != 0);
  eel_crash_read (relay, request);
  eel_self_report_read_hint (relay, call->instance_id, request);
  eel_relay_read_team (request, call);
  call->target_us = now_us + target_ms * EEL_US_PER_MS;
  call->deadline_us = now_us + strtoll (remaining, NULL, 10) * EEL_US_PER_MS;
  return call->caller_service != NULL;
}

static int
start_deadline (struct run *run)
{
  int64_t left_us = run->call.deadline_us - eel_clock_us () + DEADLINE_SLACK_US;
  struct timeval left;

  if (left_us < 0)
    left_us = 0;
  left.tv_sec = left_us / EEL_US_PER_S;
  left.tv_usec = left_us % EEL_US_PER_S;
  run->deadline = event_new (run->relay->base, -1, 0, on_deadline, run);
  return run->deadline != NULL && event_add (run->deadline, &left) == 0;
}

static void
on_request (struct eel_exchange *exchange)
{
  struct eel_relay *relay = eel_exchange_server (exchange)->owner;
  struct run *run;

  if (eel_crash_news_answer (relay, exchange))
    return;
  if (relay->refusing)
    {
      refuse (relay, exchange, EEL_FAILURE_LEAVING);
      return;
    }
  run = calloc (1, sizeof *run);
  if (run == NULL)
    {
      refuse (relay, exchange, EEL_FAILURE_REFUSED);
      return;
    }
  run->relay = relay;
  run->exchange = exchange;
  exchange->state = run;
  if (!parse_call (relay, &exchange->request, &run->call)
      || !start_deadline (run))
    {
      run_free (run);
      refuse (relay, exchange, EEL_FAILURE_REFUSED);
      return;
    }
  exchange->deadline_us = run->call.deadline_us;
  eel_crash_content_init (&run->content, &exchange->request,
                          run->call.caller_service);
  /* The entry node sends the body, or its end, only after this. */
  eel_exchange_continue (exchange);
}

/* While suspects with bodies are known, a run starts once its own body tells it
   from them. */
static int
may_start (const struct run *run)
{
  return run->attempt->call.fingerprint != 0
         || !eel_crash_suspects_bodies (run->relay);
}

/*
 * Passes a piece of the body, or its end, to the endpoint.  The first one
 * starts the run: until then the entry node may still offer the request to
 * another node.
 */
static void
forward_body (struct run *run, const char *data, size_t bytes, int end)
{
  struct eel_exchange *exchange = run->exchange;
  struct eel_relay *relay = run->relay;

  /* The head was accepted before the node refuses requests. */
  if (!run->started && relay->refusing)
    {
      run_free (run);
      refuse (relay, exchange, EEL_FAILURE_LEAVING);
      return;
    }
  if (run->attempt == NULL)
    run->attempt = eel_attempt_new (relay, &run->call, NULL, &attempt_ops, run);
  if (run->attempt == NULL)
    {
      run_free (run);
      refuse (relay, exchange, EEL_FAILURE_REFUSED);
      return;
    }
  if (end)
    eel_attempt_body_end (run->attempt,
                          eel_crash_content_fingerprint (&run->content));
  else
    {
      eel_crash_content_add (&run->content, data, bytes);
      run->attempt->call.fingerprint = eel_crash_content_known (&run->content);
      eel_attempt_body (run->attempt, data, bytes);
    }
  if (eel_attempt_pending_bytes (run->attempt) > BODY_PENDING_BYTES_MAX)
    eel_exchange_pause (exchange, 1);
  if (run->started || !may_start (run))
    return;
  run->started = 1;
  /* May free the run. */
  eel_attempt_start (run->attempt);
}

static void
on_request_body (struct eel_exchange *exchange, const char *data, size_t bytes)
{
  forward_body (exchange->state, data, bytes, 0);
}

static void
on_request_end (struct eel_exchange *exchange)
{
  forward_body (exchange->state, NULL, 0, 1);
}

static void
on_disconnect (struct eel_exchange *exchange)
{
  run_free (exchange->state);
}

static void
on_drained (struct eel_exchange *exchange)
{
  struct run *run = exchange->state;

  if (run->attempt != NULL)
    eel_attempt_pause (run->attempt, 0);
}

int
eel_executor_end_waiting (struct eel_exchange *exchange)
{
  struct run *run = exchange->state;
  struct eel_relay *relay = run->relay;

  if (run->started && !run->attempt->queued)
    return 0;
  run_free (run);
  refuse (relay, exchange, EEL_FAILURE_LEAVING);
  return 1;
}

const struct eel_server_ops eel_executor_ops = { .name = "peers",
                                                 .request = on_request,
                                                 .body = on_request_body,
                                                 .body_end = on_request_end,
                                                 .disconnected = on_disconnect,
                                                 .drained = on_drained };
