#include "relay/entry.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "internal/task.h"
#include "relay/caps.h"

/* A longer body is not buffered, so the request can't be retried. */
#define REPLAY_BYTES_MAX EEL_CRASH_BODY_BYTES
/* Reading the request's body pauses while more than this waits to be sent. */
#define BODY_PENDING_BYTES_MAX 262144
/* Reading the body of a request that waits for a token pauses beyond this. */
#define WAITING_BODY_BYTES_MAX 32768
/* How long after its deadline an answer that has begun may end. */
#define LATE_ANSWER_US (1 * EEL_US_PER_S)
/* For requests whose route's settings are not known. */
#define DEFAULT_RETRY_AFTER_US (300 * EEL_US_PER_MS)

/* Cancels a running attempt; the exchange stays open.  The slot that this frees
   may go to another request, whose answer may release the exchange: it has no
   entry any more. */
void
eel_entry_free (struct eel_entry *entry)
{
  entry->exchange->state = NULL;
  eel_entry_leave_caps (entry);
  eel_attempt_free (entry->attempt);
  if (entry->deadline != NULL)
    event_free (entry->deadline);
  if (entry->replay != NULL)
    evbuffer_free (entry->replay);
  if (entry->lines != NULL)
    evbuffer_free (entry->lines);
  if (entry->held != NULL)
    evbuffer_free (entry->held);
  free (entry);
}

/* An answer that has begun is truncated by closing its connection. */
void
eel_entry_terminate (struct eel_entry *entry)
{
  struct eel_exchange *exchange = entry->exchange;

  if (entry->committed)
    {
      eel_entry_free (entry);
      eel_exchange_abort (exchange);
      return;
    }
  if (entry->attempt != NULL && eel_attempt_may_have_run (entry->attempt))
    entry->may_have_run = 1;
  eel_entry_answer_error (entry, entry->may_have_run ? EEL_ERROR_OUTCOME_UNKNOWN
                                                     : EEL_ERROR_OVERLOADED);
}

/* An answer that has begun continues past the deadline for a while. */
static void
on_deadline (evutil_socket_t fd, short what, void *data)
{
  const struct timeval late = { .tv_sec = LATE_ANSWER_US / EEL_US_PER_S };
  struct eel_entry *entry = data;

  (void)fd;
  (void)what;
  if (entry->committed && !entry->overdue)
    {
      entry->overdue = 1;
      if (event_add (entry->deadline, &late) == 0)
        return;
    }
  if (entry->committed)
    g_message ("event=answer_overdue request=%s instance=%s",
               EEL_LOG_TEXT (entry->call.request_id),
               EEL_LOG_TEXT (entry->call.instance_id));
  eel_entry_terminate (entry);
}

static int
start_deadline (struct eel_entry *entry)
{
  int64_t left_us = entry->call.deadline_us - entry->arrived_us;
  struct timeval left
      = { .tv_sec = left_us / EEL_US_PER_S, .tv_usec = left_us % EEL_US_PER_S };

  entry->deadline = event_new (entry->relay->base, -1, 0, on_deadline, entry);
  return entry->deadline != NULL && event_add (entry->deadline, &left) == 0;
}

/* Returns the lesser of the caller's remaining time and the route's limit. */
static int64_t
time_limit_us (const struct eel_relay *relay,
               const struct eel_head *request,
               const struct eel_route *route)
{
  const char *text
      = eel_head_get (request, relay->config.header_names->remaining_ms);
  char *end = NULL;
  int64_t limit_us;

  if (text == NULL)
    return route->timeout_us;
  limit_us = strtoll (text, &end, 10) * EEL_US_PER_MS;
  if (end == text || limit_us < 0)
    return route->timeout_us;
  return limit_us < route->timeout_us ? limit_us : route->timeout_us;
}

static struct eel_entry *
entry_new (struct eel_exchange *exchange,
           struct eel_route *route,
           const struct eel_team *team)
{
  struct eel_relay *relay = eel_exchange_server (exchange)->owner;
  struct eel_entry *entry = calloc (1, sizeof *entry);
  int64_t now_us = eel_clock_us ();

  if (entry == NULL)
    return NULL;
  entry->relay = relay;
  entry->exchange = exchange;
  entry->arrived_us = now_us;
  entry->attempts_max = route->attempts;
  entry->replay = evbuffer_new ();
  entry->call = (struct eel_relay_call){
    .request = &exchange->request,
    .request_id
    = eel_head_get (&exchange->request, relay->config.header_names->request_id),
    .caller_service = relay->config.service,
    .route = route->id,
    .route_target_us = route->target_us,
    .service = eel_route_pick_service (route),
    .rank = route->rank,
    .idempotent = route->idempotent,
    .target_us = now_us + route->target_us,
    .deadline_us = now_us + time_limit_us (relay, &exchange->request, route),
  };
  eel_entry_set_team (entry, team);
  exchange->state = entry;
  exchange->deadline_us = entry->call.deadline_us;
  eel_crash_content_init (&entry->content, &exchange->request,
                          relay->config.service);
  if (entry->replay != NULL && start_deadline (entry))
    return entry;
  eel_entry_free (entry);
  return NULL;
}

/* Returns the route and sets the team, or answers the exchange and returns
   NULL. */
static struct eel_route *
find_route (struct eel_relay *relay,
            struct eel_exchange *exchange,
            const struct eel_team **team)
{
  const char *host = eel_head_get (&exchange->request, "host");
  enum eel_error error;
  struct eel_route *route;

  if (relay->routes == NULL)
    {
      eel_entry_refuse (exchange, EEL_ERROR_NO_ENDPOINT,
                        DEFAULT_RETRY_AFTER_US);
      return NULL;
    }
  if (relay->refusing)
    {
      eel_entry_refuse (exchange, EEL_ERROR_LEAVING,
                        EEL_ENTRY_LEAVING_RETRY_US);
      return NULL;
    }
  route = eel_route_table_find (relay->routes, host,
                                eel_head_target (&exchange->request));
  if (route == NULL)
    {
      eel_entry_refuse (exchange, EEL_ERROR_NOT_FOUND, 0);
      return NULL;
    }
  error = eel_entry_find_team (relay, exchange, route, team);
  if (error == EEL_OK && route->part_count == 0)
    error = EEL_ERROR_NO_ENDPOINT;
  if (error != EEL_OK)
    eel_entry_refuse (exchange, error,
                      error == EEL_ERROR_NO_ENDPOINT
                          ? DEFAULT_RETRY_AFTER_US
                          : eel_error_info (error)->retry_after_ms
                                * EEL_US_PER_MS);
  return error == EEL_OK ? route : NULL;
}

static void
on_request (struct eel_exchange *exchange)
{
  struct eel_relay *relay = eel_exchange_server (exchange)->owner;
  const struct eel_team *team = NULL;
  struct eel_route *route = find_route (relay, exchange, &team);
  struct eel_entry *entry;

  eel_metric_add (relay->counters.requests, 1);
  if (route == NULL)
    return;
  entry = entry_new (exchange, route, team);
  if (entry == NULL)
    {
      eel_entry_refuse (exchange, EEL_ERROR_OVERLOADED, DEFAULT_RETRY_AFTER_US);
      return;
    }
  if (eel_entry_take_token (entry))
    eel_entry_admit (entry);
}

/* Buffers the body for another attempt up to REPLAY_BYTES_MAX. */
static void
keep_for_replay (struct eel_entry *entry, const char *data, size_t bytes)
{
  if (entry->replay == NULL)
    return;
  if (evbuffer_get_length (entry->replay) + bytes <= REPLAY_BYTES_MAX)
    {
      evbuffer_add (entry->replay, data, bytes);
      return;
    }
  evbuffer_free (entry->replay);
  entry->replay = NULL;
}

static void
on_request_body (struct eel_exchange *exchange, const char *data, size_t bytes)
{
  struct eel_entry *entry = exchange->state;

  eel_crash_content_add (&entry->content, data, bytes);
  entry->call.fingerprint = eel_crash_content_known (&entry->content);
  if (entry->held_back && entry->call.fingerprint != 0)
    eel_entry_place (entry);
  if (exchange->state == NULL)
    return;
  keep_for_replay (entry, data, bytes);
  if (entry->waits_for_token && entry->replay != NULL
      && evbuffer_get_length (entry->replay) > WAITING_BODY_BYTES_MAX)
    eel_exchange_pause (exchange, 1);
  if (entry->attempt == NULL)
    return;
  entry->attempt->call.fingerprint = entry->call.fingerprint;
  eel_attempt_body (entry->attempt, data, bytes);
  if (eel_attempt_pending_bytes (entry->attempt) > BODY_PENDING_BYTES_MAX)
    eel_exchange_pause (exchange, 1);
}

static void
on_request_end (struct eel_exchange *exchange)
{
  struct eel_entry *entry = exchange->state;

  entry->body_done = 1;
  entry->call.fingerprint = eel_crash_content_fingerprint (&entry->content);
  if (entry->attempt != NULL)
    eel_attempt_body_end (entry->attempt, entry->call.fingerprint);
  else if (entry->held_back)
    eel_entry_place (entry);
}

/* The caller closed its connection: cancels the run. */
static void
on_disconnect (struct eel_exchange *exchange)
{
  struct eel_entry *entry = exchange->state;

  eel_metric_add (entry->relay->counters.disconnected, 1);
  eel_entry_free (entry);
}

static void
on_drained (struct eel_exchange *exchange)
{
  struct eel_entry *entry = exchange->state;

  if (entry->attempt != NULL)
    eel_attempt_pause (entry->attempt, 0);
}

const struct eel_server_ops eel_entry_ops = { .name = "callers",
                                              .request = on_request,
                                              .body = on_request_body,
                                              .body_end = on_request_end,
                                              .disconnected = on_disconnect,
                                              .drained = on_drained };
