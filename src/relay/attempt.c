#include "relay/attempt.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "internal/task.h"
#include "relay/crash.h"
#include "relay/relay.h"

/* A limit that was told longer ago may have ended. */
#define LIMIT_TOLD_LIFE_US (5 * EEL_US_PER_S)

static const char *const failure_names[EEL_FAILURE_COUNT] = {
  [EEL_FAILURE_REFUSED] = "refused", [EEL_FAILURE_LEAVING] = "leaving",
  [EEL_FAILURE_SHED] = "shed",       [EEL_FAILURE_MISDIRECTED] = "misdirected",
  [EEL_FAILURE_BROKEN] = "broken",   [EEL_FAILURE_UNREACHABLE] = "unreachable",
  [EEL_FAILURE_SUSPECT] = "suspect",
};

/* The names are used between nodes and in log lines. */
const char *
eel_attempt_failure_name (enum eel_attempt_failure failure)
{
  return failure_names[failure];
}

enum eel_attempt_failure
eel_attempt_failure_parse (const char *name)
{
  for (uint32_t i = 0; i < EEL_FAILURE_COUNT; i++)
    if (strcmp (failure_names[i], name) == 0)
      return (enum eel_attempt_failure)i;
  return EEL_FAILURE_BROKEN;
}

struct eel_attempt *
eel_attempt_new (struct eel_relay *relay,
                 const struct eel_relay_call *call,
                 struct eel_instance *instance,
                 const struct eel_attempt_ops *ops,
                 void *owner)
{
  struct eel_attempt *attempt = calloc (1, sizeof *attempt);

  if (attempt == NULL)
    return NULL;
  attempt->pending = evbuffer_new ();
  if (attempt->pending == NULL)
    {
      free (attempt);
      return NULL;
    }
  attempt->relay = relay;
  attempt->call = *call;
  attempt->instance = instance;
  attempt->ops = ops;
  attempt->owner = owner;
  attempt->started_us = eel_clock_us ();
  attempt->kind = instance == NULL || instance->ip == relay->config.ip.s_addr
                      ? &eel_attempt_local
                      : &eel_attempt_remote;
  /* Between nodes every body is chunked, also an empty one: the node runs the
     request only once a chunk arrives, which is sent after it has accepted the
     head. */
  attempt->framing = attempt->kind == &eel_attempt_remote
                         ? EEL_FRAMING_CHUNKED
                         : call->request->framing;
  return attempt;
}

void
eel_attempt_start (struct eel_attempt *attempt)
{
  attempt->kind->start (attempt);
}

/* Sends a piece of the request's body, or keeps it until the receiver has
   accepted the request.  Once the connection is gone, what still arrives is
   dropped: the attempt may wait for the check of an interrupted run. */
void
eel_attempt_body (struct eel_attempt *attempt, const void *data, size_t bytes)
{
  if (attempt->link != NULL && attempt->accepted)
    eel_link_write_body (attempt->link, attempt->framing, data, bytes);
  else if (!attempt->accepted && !attempt->answer_done)
    eel_body_write (attempt->framing, attempt->pending, data, bytes);
}

void
eel_attempt_body_end (struct eel_attempt *attempt, uint64_t fingerprint)
{
  attempt->call.fingerprint = fingerprint;
  if (attempt->body_done || attempt->answer_done)
    return;
  attempt->body_done = 1;
  if (attempt->link != NULL && attempt->accepted)
    eel_link_write_end (attempt->link, attempt->framing);
}

void
eel_attempt_send_pending (struct eel_attempt *attempt)
{
  attempt->accepted = 1;
  eel_link_write_pending (attempt->link, attempt->pending);
  if (attempt->body_done)
    eel_link_write_end (attempt->link, attempt->framing);
}

size_t
eel_attempt_pending_bytes (const struct eel_attempt *attempt)
{
  size_t bytes = evbuffer_get_length (attempt->pending);

  if (attempt->link != NULL)
    bytes += eel_link_unsent_bytes (attempt->link);
  return bytes;
}

/* Returns 0 for an answer with the id of another request.  One to a request
   without an id bears none. */
int
eel_attempt_id_fits (const struct eel_attempt *attempt, const char *id)
{
  return id == NULL
         || (attempt->call.request_id != NULL
             && strcmp (id, attempt->call.request_id) == 0);
}

/* True once an endpoint, or a node that may forward it, has the request. */
int
eel_attempt_may_have_run (const struct eel_attempt *attempt)
{
  return attempt->accepted
         && (attempt->link != NULL || attempt->interruption != NULL);
}

void
eel_attempt_pause (struct eel_attempt *attempt, int pause)
{
  if (attempt->link != NULL)
    eel_link_pause (attempt->link, pause);
}

/* Delivers a piece of the answer; the body of a refusal is discarded. */
void
eel_attempt_on_body (void *owner, const char *data, size_t bytes)
{
  struct eel_attempt *attempt = owner;

  attempt->answer_body_bytes += bytes;
  if (!attempt->is_refusal)
    attempt->ops->body (attempt->owner, data, bytes);
}

void
eel_attempt_on_drained (void *owner)
{
  struct eel_attempt *attempt = owner;

  attempt->ops->drained (attempt->owner);
}

void
eel_attempt_free (struct eel_attempt *attempt)
{
  if (attempt == NULL)
    return;
  attempt->kind->cancel (attempt);
  evbuffer_free (attempt->pending);
  free (attempt);
}

/* Time to the request's deadline in whole milliseconds; may be negative. */
int64_t
eel_attempt_remaining_ms (const struct eel_attempt *attempt, int64_t now_us)
{
  return (attempt->call.deadline_us - now_us) / EEL_US_PER_MS;
}

/* Tells the node beside the endpoint what it has told: it may have restarted.
 */
static void
write_limit (const struct eel_instance *instance,
             int64_t now_us,
             struct evbuffer *out)
{
  const struct eel_instance_report *report = &instance->report;

  if (report->has_limit && now_us - instance->reported_us < LIMIT_TOLD_LIFE_US)
    evbuffer_add_printf (out, "%s: %" PRIu64 ".%03u\r\n", EEL_RELAY_LIMIT,
                         report->limit_milli / 1000,
                         (unsigned)(report->limit_milli % 1000));
}

/* A peer learns also that a request has no team. */
static void
write_team (const struct eel_attempt *attempt,
            struct evbuffer *out,
            int to_peer)
{
  const struct eel_relay_call *call = &attempt->call;

  if (call->has_teams && (to_peer || call->team != NULL))
    evbuffer_add_printf (out, "%s: %s\r\n",
                         to_peer ? EEL_RELAY_TEAM
                                 : attempt->relay->config.header_names->team,
                         call->team != NULL ? call->team : "");
}

/* Writes the request's head, for the endpoint or (to_peer) for its node. Fields
   that this system sets are not copied from the caller. */
void
eel_attempt_write_head (const struct eel_attempt *attempt,
                        struct evbuffer *out,
                        int to_peer)
{
  const struct eel_relay_call *call = &attempt->call;
  const struct eel_relay_header_names *header_names
      = attempt->relay->config.header_names;
  const char *const skip[]
      = { header_names->remaining_ms, header_names->expected_instance,
          header_names->caller_service, EEL_RELAY_CALL, EEL_RELAY_LOAD,
          EEL_RELAY_REFUSED, EEL_RELAY_CRASHED, EEL_RELAY_CRASH,
          EEL_RELAY_CLEARED, EEL_RELAY_NEWS, EEL_RELAY_LIMIT, EEL_RELAY_LEAVING,
          EEL_RELAY_TEAM, EEL_RELAY_CROWDED,
          /* Without teams the list ends here.  A node of a release without
             them may have passed on what its caller sent. */
          call->has_teams || attempt->relay->teams != NULL
              ? header_names->authorization
              : NULL,
          header_names->team, NULL };
  int64_t now_us = eel_clock_us ();

  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\n", call->request->method,
                       eel_head_target (call->request));
  eel_head_write_fields (call->request, out, skip);
  evbuffer_add_printf (out, "%s: %" PRId64 "\r\n%s: %s\r\n",
                       header_names->remaining_ms,
                       eel_attempt_remaining_ms (attempt, now_us),
                       header_names->caller_service, call->caller_service);
  if (call->instance_id != NULL)
    evbuffer_add_printf (out, "%s: %s\r\n", header_names->expected_instance,
                         call->instance_id);
  write_team (attempt, out, to_peer);
  if (to_peer)
    eel_crash_write (attempt->relay, call->fingerprint, out);
  if (to_peer)
    write_limit (attempt->instance, now_us, out);
  if (to_peer)
    evbuffer_add_printf (
        out,
        "%s: %s %" PRIx64 " %u %u %" PRId64 " %" PRIu64 " %u %" PRIu64
        " %u %u %" PRIu64 " %" PRIu64 "\r\n",
        EEL_RELAY_CALL,
        eel_service_name (&attempt->relay->names, call->service), call->route,
        call->rank, call->idempotent,
        (call->target_us - now_us) / EEL_US_PER_MS,
        attempt->relay->items.revision, call->request->framing,
        call->request->length_bytes, call->is_guest != 0, call->has_teams != 0,
        attempt->relay->items.era, attempt->relay->items.version);
  eel_head_write_framing (attempt->framing, call->request->length_bytes, out);
  evbuffer_add (out, "\r\n", 2);
}
