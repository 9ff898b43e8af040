#ifndef EEL_HTTP_UPSTREAM_H
#define EEL_HTTP_UPSTREAM_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdint.h>

#include "internal/tasks.h"
#include "relay/reader.h"

#define UPSTREAM_HEALTH_INTERVAL_MS 1000
#define UPSTREAM_HEALTH_TIMEOUT_S 2
#define UPSTREAM_HEALTH_BODY_BYTES_MAX 4096
/* An idle connection is closed after this time. */
#define UPSTREAM_IDLE_TIMEOUT_US (60 * EEL_US_PER_S)
#define UPSTREAM_RESULT_COUNT (EEL_RUN_CANCELLED + 1)

/* An entry of the connection pool; it carries one run at a time. */
struct upstream_conn
{
  struct eel_upstream *upstream;
  struct upstream_conn *next_idle;
  struct evhttp_connection *evhttp;
  /* The call being run, or NULL when the entry is idle. */
  struct eel_call *call;
  struct evhttp_request *request;
  struct event *timeout;
  uint64_t call_id;
  int64_t last_used_us;
  /* Bytes of the request that left the output buffer. */
  size_t sent_bytes;
  /* The deadline passed before the first byte of the request was written. */
  uint8_t expired;
  /*
   * evhttp is still using the connection on the call stack; the reaper closes
   * it.
   */
  uint8_t close_pending;
  /* Reads the answer of the call beside evhttp. */
  struct eel_reader check;
  uint8_t check_is_interim;
  uint8_t check_done;
  uint8_t is_malformed;
};

struct upstream_metrics
{
  struct eel_metric *runs[UPSTREAM_RESULT_COUNT];
  struct eel_metric *connections;
  struct eel_metric *opened;
  struct eel_metric *in_flight;
  struct eel_metric *malformed;
  struct eel_metric *latency;
};

struct eel_upstream
{
  struct event_base *base;
  struct eel_mailbox inbox;
  struct eel_mailbox *node;
  struct eel_endpoint_address address;
  char health_path[EEL_PATH_BYTES];
  struct upstream_conn *conns;
  struct upstream_conn *idle;
  uint32_t conn_max;
  uint32_t open_count;
  uint32_t in_flight;
  struct event *reaper;
  struct event *health_timer;
  struct evhttp_connection *health;
  uint8_t health_pending;
  /* An enum eel_upstream_state, or -1 while unknown. */
  int state;
  struct upstream_metrics metrics;
};

/* upstream_conn.c */
struct upstream_conn *upstream_conn_acquire (struct eel_upstream *upstream);
void upstream_conn_release (struct upstream_conn *conn);
struct upstream_conn *upstream_conn_find (struct eel_upstream *upstream,
                                          uint64_t call_id);
int upstream_conn_open (struct upstream_conn *conn);
void upstream_conn_close_if_stale (struct upstream_conn *conn);
void upstream_conn_schedule_close (struct upstream_conn *conn);
void upstream_conn_reap (struct eel_upstream *upstream);
/* upstream_run.c */
void upstream_run_start (struct eel_upstream *upstream, struct eel_msg *msg);
void upstream_run_cancel (struct eel_upstream *upstream, uint64_t call_id);
void upstream_run_timeout (evutil_socket_t fd, short what, void *data);
/* upstream_request.c */
struct evhttp_request *
upstream_request_new (struct upstream_conn *conn,
                      void (*done) (struct evhttp_request *, void *));
int upstream_request_method (const char *method, enum evhttp_cmd_type *type);
/* upstream_answer.c */
struct eel_answer *upstream_answer_read (struct upstream_conn *conn,
                                         struct evhttp_request *request,
                                         enum eel_run_result *result);
/* upstream_check.c */
void upstream_check_begin (struct upstream_conn *conn);
void upstream_check_input (struct evbuffer *buffer,
                           const struct evbuffer_cb_info *info,
                           void *data);
/* upstream_health.c */
int upstream_health_start (struct eel_upstream *upstream);
void upstream_health_stop (struct eel_upstream *upstream);
void upstream_set_state (struct eel_upstream *upstream,
                         enum eel_upstream_state state);

#endif
