#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "eelgrasslatch/place.h"
#include "internal/task.h"
#include "relay/attempt.h"
#include "relay/crash.h"
#include "relay/load_field.h"
#include "relay/relay.h"
#include "relay/self_report.h"
#include "relay/sharing.h"

/* Longest idle time before a link is reused: later the peer may close it while
   the request is being sent. */
#define PEER_IDLE_MAX_US (8 * EEL_US_PER_S)
/* A node accepts within milliseconds; a lost packet is retransmitted after
   200 ms, and CPU throttling can stop a process for up to 100 ms. */
#define ACCEPT_TIMEOUT_US (350 * EEL_US_PER_MS)
/* A timer that fires this much late shows that the process was paused. */
#define PAUSE_MIN_US (50 * EEL_US_PER_MS)

static void
release_instance (struct eel_attempt *attempt)
{
  if (attempt->accept_timer != NULL)
    event_free (attempt->accept_timer);
  attempt->accept_timer = NULL;
  if (attempt->running)
    eel_place_done (attempt->instance, attempt->accepted);
  attempt->running = 0;
}

/* Counts what was sent to another failure domain, and what has come back. */
static void
count_traffic (const struct eel_attempt *attempt, const struct eel_link *link)
{
  struct eel_relay *relay = attempt->relay;
  const char *service = eel_service_name (&relay->names, attempt->call.service);
  uint64_t request_body = link->body_bytes;
  uint64_t answer_body = attempt->answer_body_bytes;

  if (attempt->answer_started && !attempt->is_refusal)
    eel_domain_flow_count_bytes (&relay->domain_flow, attempt->call.route,
                                 link->written_bytes + link->read_bytes);
  if (attempt->instance->same_domain)
    return;
  eel_domain_traffic_bytes (&relay->domain_traffic, service,
                            EEL_TRAFFIC_REQUEST_HEAD,
                            link->written_bytes - request_body);
  eel_domain_traffic_bytes (&relay->domain_traffic, service,
                            EEL_TRAFFIC_REQUEST_BODY, request_body);
  eel_domain_traffic_bytes (
      &relay->domain_traffic, service, EEL_TRAFFIC_ANSWER_HEAD,
      link->read_bytes > answer_body ? link->read_bytes - answer_body : 0);
  eel_domain_traffic_bytes (&relay->domain_traffic, service,
                            EEL_TRAFFIC_ANSWER_BODY, answer_body);
}

static void
fail (struct eel_attempt *attempt,
      enum eel_attempt_failure failure,
      const char *reason)
{
  attempt->answer_done = 1;
  release_instance (attempt);
  eel_place_failed (attempt->instance, eel_clock_us ());
  attempt->ops->fail (attempt->owner, failure, reason);
}

/* Records the load that the endpoint's node reports. */
static void
record_load (struct eel_attempt *attempt, const struct eel_head *head)
{
  struct eel_relay_load load;

  if (eel_head_get (head, EEL_RELAY_LOAD) == NULL)
    return;
  if (!eel_load_read (head, &load))
    {
      g_message ("event=load_field_invalid instance=%s",
                 EEL_LOG_TEXT (attempt->call.instance_id));
      return;
    }
  load.endpoint.route = attempt->call.route;
  eel_place_answered (attempt->instance, &load.endpoint, eel_clock_us ());
  eel_relay_record_load (attempt->relay, attempt->call.route,
                         attempt->call.route_target_us, &load);
  eel_domain_flow_report_pressure (
      &attempt->relay->domain_flow, attempt->call.route,
      attempt->instance->domain, load.callee_pressure_milli, eel_clock_us ());
}

/* The node has accepted the request: sends the body, which starts the run. */
static void
on_accepted (void *owner)
{
  struct eel_attempt *attempt = owner;

  if (attempt->accepted)
    return;
  event_del (attempt->accept_timer);
  attempt->accepted_us = eel_clock_us ();
  eel_domain_flow_report_way (&attempt->relay->domain_flow,
                              attempt->instance->domain,
                              attempt->accepted_us - attempt->started_us);
  eel_place_accepted (attempt->instance);
  eel_attempt_send_pending (attempt);
}

static const struct eel_link_ops link_ops;

/* Fails the idempotent requests that an unresponsive node has accepted, so that
   they are retried elsewhere. */
static void
fail_unresponsive (struct eel_pool *pool, int64_t now_us)
{
  struct eel_link *link = pool->active;

  while (link != NULL)
    {
      struct eel_attempt *attempt = link->owner;
      struct eel_link *next = link->next;

      /* Links with other ops carry news. */
      if (link->ops == &link_ops && attempt->call.idempotent
          && attempt->accepted && !attempt->answer_started
          && now_us - attempt->accepted_us > ACCEPT_TIMEOUT_US)
        {
          attempt->link = NULL;
          count_traffic (attempt, link);
          eel_link_cancel (link);
          fail (attempt, EEL_FAILURE_BROKEN, "node is silent");
          /* The callback may have closed any link: start again. */
          next = pool->active;
        }
      link = next;
    }
}

static int
add_timer (struct eel_attempt *attempt)
{
  const struct timeval limit = { .tv_usec = ACCEPT_TIMEOUT_US };

  attempt->accept_due_us = eel_clock_us () + ACCEPT_TIMEOUT_US;
  return event_add (attempt->accept_timer, &limit) == 0;
}

/* The node has not accepted the request, and without the body it can't run it:
   another endpoint may be tried safely.  A pause of this process says nothing
   about the node. */
static void
on_accept_timeout (evutil_socket_t fd, short what, void *data)
{
  struct eel_attempt *attempt = data;
  struct eel_pool *pool = attempt->link->pool;
  int64_t now_us = eel_clock_us ();

  (void)fd;
  (void)what;
  if (now_us - attempt->accept_due_us > PAUSE_MIN_US && add_timer (attempt))
    return;
  count_traffic (attempt, attempt->link);
  eel_link_cancel (attempt->link);
  attempt->link = NULL;
  fail (attempt, EEL_FAILURE_UNREACHABLE, "node does not take it");
  if (now_us - pool->last_read_us > ACCEPT_TIMEOUT_US)
    fail_unresponsive (pool, now_us);
}

static int
on_head (void *owner, struct eel_head *head)
{
  struct eel_attempt *attempt = owner;
  const char *refused = eel_head_get (head, EEL_RELAY_REFUSED);
  const char *id
      = eel_head_get (head, attempt->relay->config.header_names->request_id);

  /* Nodes send no body that only the end of its connection ends, which would
     look complete when a process is killed. */
  if (!eel_attempt_id_fits (attempt, id) || head->framing == EEL_FRAMING_CLOSE)
    return 0;
  record_load (attempt, head);
  if (attempt->call.has_teams)
    eel_sharing_read (attempt->relay, attempt->call.service, head);
  eel_self_report_read_leaving (attempt->relay, head);
  eel_crash_read (attempt->relay, head);
  attempt->answer_started = 1;
  attempt->is_refusal = (uint8_t)(refused != NULL);
  if (refused != NULL)
    attempt->refusal = eel_attempt_failure_parse (refused);
  else
    attempt->ops->head (attempt->owner, head);
  return 1;
}

static void
on_end (void *owner)
{
  struct eel_attempt *attempt = owner;

  count_traffic (attempt, attempt->link);
  attempt->link = NULL;
  attempt->answer_done = 1;
  release_instance (attempt);
  if (!attempt->is_refusal)
    {
      attempt->ops->end (attempt->owner);
      return;
    }
  if (attempt->refusal == EEL_FAILURE_LEAVING
      || attempt->refusal == EEL_FAILURE_MISDIRECTED
      || attempt->refusal == EEL_FAILURE_UNREACHABLE)
    eel_place_failed (attempt->instance, eel_clock_us ());
  attempt->ops->fail (attempt->owner, attempt->refusal, "refused by its node");
}

static void
on_fail (void *owner, int sent, const char *reason)
{
  struct eel_attempt *attempt = owner;

  (void)sent;
  count_traffic (attempt, attempt->link);
  attempt->link = NULL;
  fail (attempt,
        attempt->accepted ? EEL_FAILURE_BROKEN : EEL_FAILURE_UNREACHABLE,
        reason);
}

static const struct eel_link_ops link_ops
    = { .head = on_head,
        .body = eel_attempt_on_body,
        .accepted = on_accepted,
        .end = on_end,
        .fail = on_fail,
        .drained = eel_attempt_on_drained };

static int
start_timer (struct eel_attempt *attempt)
{
  attempt->accept_timer
      = event_new (attempt->relay->base, -1, 0, on_accept_timeout, attempt);
  return attempt->accept_timer != NULL && add_timer (attempt);
}

/* Sends the head; the body follows when the node has accepted it. */
static void
remote_start (struct eel_attempt *attempt)
{
  struct eel_pool *pool
      = eel_relay_pool (attempt->relay, attempt->instance->ip);
  struct evbuffer *head = evbuffer_new ();

  if (head != NULL && start_timer (attempt))
    {
      eel_attempt_write_head (attempt, head, 1);
      attempt->link
          = eel_pool_send (pool, &link_ops, attempt, head,
                           strcmp (attempt->call.request->method, "HEAD") == 0,
                           PEER_IDLE_MAX_US, NULL);
    }
  if (head != NULL)
    evbuffer_free (head);
  if (attempt->link == NULL)
    {
      fail (attempt, EEL_FAILURE_UNREACHABLE, "no socket");
      return;
    }
  attempt->running = 1;
  eel_place_sent (attempt->instance);
}

static void
remote_cancel (struct eel_attempt *attempt)
{
  if (attempt->link != NULL)
    {
      count_traffic (attempt, attempt->link);
      eel_link_cancel (attempt->link);
    }
  attempt->link = NULL;
  release_instance (attempt);
}

const struct eel_attempt_kind eel_attempt_remote
    = { .start = remote_start, .cancel = remote_cancel };
