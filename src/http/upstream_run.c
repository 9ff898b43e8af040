#include "http/upstream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

/* Error kinds reported for runs without an answer from the upstream. */
static const enum eel_error result_errors[UPSTREAM_RESULT_COUNT] = {
  [EEL_RUN_ANSWERED] = EEL_OK,
  [EEL_RUN_NOT_SENT] = EEL_ERROR_NO_ENDPOINT,
  [EEL_RUN_REFUSED] = EEL_ERROR_UPSTREAM_REFUSED,
  [EEL_RUN_BROKEN] = EEL_ERROR_UPSTREAM_FAILED,
  [EEL_RUN_TIMED_OUT] = EEL_ERROR_OUTCOME_UNKNOWN,
  [EEL_RUN_CANCELLED] = EEL_ERROR_OUTCOME_UNKNOWN,
};

static void
report_run (struct eel_upstream *upstream,
            uint64_t call_id,
            enum eel_run_result result,
            enum eel_error error,
            struct eel_answer *answer)
{
  struct eel_msg msg
      = { .kind = EEL_MSG_RUN_DONE, .call_id = call_id, .result = result };

  msg.answer = answer != NULL ? answer : eel_answer_error (call_id, error);
  eel_metric_add (upstream->metrics.runs[result], 1);
  /*
   * If the mailbox is full, the outcome becomes unknown at the call's deadline.
   */
  eel_mailbox_post (upstream->node, &msg);
}

/* Releases the pool entry and reports the result of its run. */
static void
finish_run (struct upstream_conn *conn,
            enum eel_run_result result,
            struct eel_answer *answer)
{
  struct eel_upstream *upstream = conn->upstream;
  struct eel_call *call = conn->call;
  int64_t now_us = eel_clock_us ();

  evtimer_del (conn->timeout);
  conn->call = NULL;
  conn->request = NULL;
  conn->last_used_us = now_us;
  upstream_conn_release (conn);
  upstream->in_flight--;
  eel_metric_set (upstream->metrics.in_flight, upstream->in_flight);
  if (result == EEL_RUN_ANSWERED)
    eel_metric_observe (upstream->metrics.latency, now_us - call->arrived_us);
  report_run (upstream, conn->call_id, result,
              conn->expired ? EEL_ERROR_DEADLINE : result_errors[result],
              answer);
  eel_call_free (call);
}

/*
 * Returns the result of a run without an answer.  If no byte was sent, as after
 * a failed connect, the request has certainly not run.
 */
static enum eel_run_result
unanswered_result (struct upstream_conn *conn, enum eel_run_result result)
{
  if (conn->expired)
    return EEL_RUN_NOT_SENT;
  return conn->sent_bytes == 0 ? EEL_RUN_NOT_SENT : result;
}

/*
 * Completion callback of evhttp.  After a failed connect the request has no
 * status; after a broken connection it is NULL.
 */
static void
run_done (struct evhttp_request *request, void *data)
{
  struct upstream_conn *conn = data;
  struct evbuffer *input = bufferevent_get_input (
      evhttp_connection_get_bufferevent (conn->evhttp));
  enum eel_run_result result = EEL_RUN_BROKEN;
  struct eel_answer *answer = NULL;

  if (conn->call == NULL)
    return;
  if (request != NULL && evhttp_request_get_response_code (request) != 0
      && !conn->is_malformed)
    answer = upstream_answer_read (conn, request, &result);
  /* Bytes after the answer would be read as the next request's answer. */
  if (answer == NULL || evbuffer_get_length (input) > 0)
    upstream_conn_schedule_close (conn);
  if (answer == NULL)
    result = unanswered_result (conn, EEL_RUN_BROKEN);
  if (result == EEL_RUN_NOT_SENT && !conn->expired)
    upstream_set_state (conn->upstream, EEL_UPSTREAM_DOWN);
  else if (answer != NULL && conn->upstream->state == EEL_UPSTREAM_DOWN)
    upstream_set_state (conn->upstream, EEL_UPSTREAM_UP);
  finish_run (conn, result, answer);
}

/* Aborts a run by closing its connection, which the upstream can detect. */
static void
abort_run (struct upstream_conn *conn, enum eel_run_result result)
{
  /*
   * Must come first: cancelling drains the output buffer, which counts as bytes
   * sent.
   */
  result = unanswered_result (conn, result);
  evhttp_cancel_request (conn->request);
  upstream_conn_schedule_close (conn);
  finish_run (conn, result, NULL);
}

/* Timer callback: the deadline of a running call has passed. */
void
upstream_run_timeout (evutil_socket_t fd, short what, void *data)
{
  struct upstream_conn *conn = data;

  (void)fd;
  (void)what;
  if (conn->call != NULL)
    abort_run (conn, EEL_RUN_TIMED_OUT);
}

/* Cancels a run if it is still in progress. */
void
upstream_run_cancel (struct eel_upstream *upstream, uint64_t call_id)
{
  struct upstream_conn *conn = upstream_conn_find (upstream, call_id);

  if (conn != NULL)
    abort_run (conn, EEL_RUN_CANCELLED);
}

static void
start_timeout (struct upstream_conn *conn, int64_t now_us)
{
  int64_t left_us = conn->call->deadline_us - now_us;
  struct timeval left
      = { left_us / EEL_US_PER_S, (suseconds_t)(left_us % EEL_US_PER_S) };

  evtimer_add (conn->timeout, &left);
}

/* Sends the call of a connection; returns 0 on failure. */
static int
send_call (struct upstream_conn *conn)
{
  enum evhttp_cmd_type type;

  upstream_conn_close_if_stale (conn);
  if (!upstream_request_method (conn->call->method, &type)
      || (conn->evhttp == NULL && !upstream_conn_open (conn)))
    return 0;
  conn->request = upstream_request_new (conn, run_done);
  if (conn->request == NULL)
    return 0;
  return evhttp_make_request (conn->evhttp, conn->request, type,
                              conn->call->target)
         == 0;
}

/* Starts a call that the node has admitted, or reports it as not sent. */
void
upstream_run_start (struct eel_upstream *upstream, struct eel_msg *msg)
{
  struct upstream_conn *conn;
  int64_t now_us = eel_clock_us ();

  if (msg->call == NULL)
    return;
  if (msg->call->deadline_us <= now_us)
    {
      report_run (upstream, msg->call_id, EEL_RUN_NOT_SENT, EEL_ERROR_DEADLINE,
                  NULL);
      return;
    }
  conn = upstream_conn_acquire (upstream);
  if (conn == NULL)
    {
      report_run (upstream, msg->call_id, EEL_RUN_NOT_SENT,
                  EEL_ERROR_OVERLOADED, NULL);
      return;
    }
  conn->call = msg->call;
  msg->call = NULL;
  conn->call_id = msg->call_id;
  conn->call->arrived_us = now_us;
  conn->sent_bytes = 0;
  conn->expired = 0;
  upstream_check_begin (conn);
  upstream->in_flight++;
  eel_metric_set (upstream->metrics.in_flight, upstream->in_flight);
  start_timeout (conn, now_us);
  if (!send_call (conn) && conn->call != NULL)
    {
      /* Nothing was written to the socket. */
      if (conn->evhttp != NULL)
        upstream_conn_schedule_close (conn);
      finish_run (conn, EEL_RUN_NOT_SENT, NULL);
    }
}
