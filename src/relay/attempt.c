#include "relay/attempt.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "internal/task.h"
#include "relay/crash.h"
#include "relay/relay.h"

static const char *const failure_names[EEL_FAILURE_COUNT] = {
  [EEL_FAILURE_REFUSED] = "refused", [EEL_FAILURE_LEAVING] = "leaving",
  [EEL_FAILURE_SHED] = "shed",       [EEL_FAILURE_MISDIRECTED] = "misdirected",
  [EEL_FAILURE_BROKEN] = "broken",   [EEL_FAILURE_UNREACHABLE] = "unreachable",
};

/* Returns the name of a failure, as it goes between nodes and into logs. */
const char *
eel_attempt_failure_name (enum eel_attempt_failure failure)
{
  return failure_names[failure];
}

/* Returns the failure of a name. */
enum eel_attempt_failure
eel_attempt_failure_parse (const char *name)
{
  for (uint32_t i = 0; i < EEL_FAILURE_COUNT; i++)
    if (strcmp (failure_names[i], name) == 0)
      return (enum eel_attempt_failure)i;
  return EEL_FAILURE_BROKEN;
}

/* Prepares an attempt; NULL without memory. */
struct eel_attempt *
eel_attempt_new (struct eel_relay *relay,
                 const struct eel_work *work,
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
  attempt->work = *work;
  attempt->instance = instance;
  attempt->ops = ops;
  attempt->owner = owner;
  attempt->started_us = eel_clock_us ();
  attempt->kind = instance == NULL || instance->ip == relay->config.ip.s_addr
                      ? &eel_attempt_local
                      : &eel_attempt_remote;
  /* Between nodes the end of every body, also of none, is a message apart. */
  attempt->framing = attempt->kind == &eel_attempt_remote
                         ? EEL_FRAMING_CHUNKED
                         : work->request->framing;
  return attempt;
}

/* Starts an attempt; its callbacks may come before this returns. */
void
eel_attempt_start (struct eel_attempt *attempt)
{
  attempt->kind->start (attempt);
}

/* Passes a piece of the request's body on. */
void
eel_attempt_body (struct eel_attempt *attempt, const void *data, size_t bytes)
{
  if (attempt->answer_done)
    return;
  eel_body_write (attempt->framing,
                  attempt->accepted ? eel_link_output (attempt->link)
                                    : attempt->pending,
                  data, bytes);
}

/* Ends the request's body. */
void
eel_attempt_body_end (struct eel_attempt *attempt)
{
  if (attempt->body_done || attempt->answer_done)
    return;
  attempt->body_done = 1;
  if (attempt->accepted)
    {
      eel_body_write_end (attempt->framing, eel_link_output (attempt->link));
      eel_link_request_done (attempt->link);
    }
}

/* The receiver has taken the request: writes the body that came before. */
void
eel_attempt_send_pending (struct eel_attempt *attempt)
{
  struct evbuffer *out = eel_link_output (attempt->link);

  attempt->accepted = 1;
  evbuffer_add_buffer (out, attempt->pending);
  if (attempt->body_done)
    {
      eel_body_write_end (attempt->framing, out);
      eel_link_request_done (attempt->link);
    }
}

/* Returns the bytes of the body that are held here. */
size_t
eel_attempt_pending_bytes (const struct eel_attempt *attempt)
{
  size_t bytes = evbuffer_get_length (attempt->pending);

  if (attempt->link != NULL)
    bytes += evbuffer_get_length (eel_link_output (attempt->link));
  return bytes;
}

/* True once an endpoint, or a node that may pass it on, has the request. */
int
eel_attempt_may_have_run (const struct eel_attempt *attempt)
{
  return attempt->accepted && attempt->link != NULL;
}

/* Stops or resumes reading the answer. */
void
eel_attempt_pause (struct eel_attempt *attempt, int pause)
{
  if (attempt->link != NULL)
    eel_link_pause (attempt->link, pause);
}

/* Passes a piece of the answer on; that of a refusal is dropped. */
void
eel_attempt_on_body (void *owner, const char *data, size_t bytes)
{
  struct eel_attempt *attempt = owner;

  if (!attempt->is_refusal)
    attempt->ops->body (attempt->owner, data, bytes);
}

/* What was written has left: the body may go on. */
void
eel_attempt_on_drained (void *owner)
{
  struct eel_attempt *attempt = owner;

  attempt->ops->drained (attempt->owner);
}

/* Ends the attempt. */
void
eel_attempt_free (struct eel_attempt *attempt)
{
  if (attempt == NULL)
    return;
  attempt->kind->cancel (attempt);
  evbuffer_free (attempt->pending);
  free (attempt);
}

/* Time that is left for the request, in whole milliseconds. */
int64_t
eel_attempt_remaining_ms (const struct eel_attempt *attempt, int64_t now_us)
{
  return (attempt->work.deadline_us - now_us) / EEL_US_PER_MS;
}

/* Writes the request's head for the endpoint or for the node beside it. */
void
eel_attempt_write_head (const struct eel_attempt *attempt,
                        struct evbuffer *out,
                        int to_peer)
{
  const struct eel_work *work = &attempt->work;
  const struct eel_relay_header_names *header_names
      = attempt->relay->config.header_names;
  const char *const skip[] = { header_names->remaining_ms,
                               header_names->expected_instance,
                               header_names->caller_service,
                               EEL_RELAY_CALL,
                               EEL_RELAY_LOAD,
                               EEL_RELAY_REFUSED,
                               EEL_RELAY_CRASHED,
                               NULL };
  int64_t now_us = eel_clock_us ();

  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\n", work->request->method,
                       eel_head_target (work->request));
  eel_head_write_fields (work->request, out, skip);
  evbuffer_add_printf (out, "%s: %" PRId64 "\r\n%s: %s\r\n",
                       header_names->remaining_ms,
                       eel_attempt_remaining_ms (attempt, now_us),
                       header_names->caller_service, work->caller_service);
  if (work->instance_id != NULL)
    evbuffer_add_printf (out, "%s: %s\r\n", header_names->expected_instance,
                         work->instance_id);
  if (to_peer)
    eel_crash_write (attempt->relay, out);
  if (to_peer)
    evbuffer_add_printf (
        out,
        "%s: %s %" PRIx64 " %u %u %" PRId64 " %" PRIu64 " %u %" PRIu64 "\r\n",
        EEL_RELAY_CALL, attempt->relay->names.names[work->service], work->route,
        work->rank, work->idempotent,
        (work->target_us - now_us) / EEL_US_PER_MS, attempt->relay->revision,
        work->request->framing, work->request->length_bytes);
  eel_head_write_framing (attempt->framing, work->request->length_bytes, out);
  evbuffer_add (out, "\r\n", 2);
}
