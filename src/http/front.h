#ifndef EEL_HTTP_FRONT_H
#define EEL_HTTP_FRONT_H

#include <evhtp/evhtp.h>
#include <http_parser.h>
#include <stdint.h>

#include "http/front_parse.h"
#include "internal/tasks.h"

/*
 * Limits of the listener; requests and connections above them are refused and
 * counted.
 */

/* evhtp's parser accepts header lines of less than 8192 bytes. */
#define FRONT_HEADER_LINE_BYTES_MAX 8000
#define FRONT_HEAD_BYTES_MAX                                                   \
  (EEL_HEADER_BYTES_MAX + EEL_TARGET_MAX + 8 * EEL_HEADERS_MAX)
#define FRONT_CONNECTIONS_MAX 4096
#define FRONT_CONNECTIONS_MIN 64
/* File descriptors that are not for callers or the upstream. */
#define FRONT_RESERVED_FDS 400
#define FRONT_LINGERS_MAX 64
#define FRONT_LINGER_BYTES_MAX (4 * EEL_BODY_BYTES_MAX)
#define FRONT_LINGER_TIMEOUT_US (2 * EEL_US_PER_S)
/*
 * Time limits for receiving a request or sending its answer, and for an idle
 * connection.
 */
#define FRONT_READ_TIMEOUT_US (30 * EEL_US_PER_S)
#define FRONT_IDLE_TIMEOUT_US (60 * EEL_US_PER_S)
/* Time limit for an idle connection while draining. */
#define FRONT_DRAIN_IDLE_TIMEOUT_US EEL_US_PER_S
/* Interval between checks for stale connections; shorter while draining. */
#define FRONT_SWEEP_INTERVAL_MS 1000
#define FRONT_DRAIN_SWEEP_INTERVAL_MS 100
/*
 * A request that the node has not answered this long after its deadline is
 * answered with EEL_ERROR_OUTCOME_UNKNOWN.
 */
#define FRONT_ANSWER_GRACE_US (5 * EEL_US_PER_S)

#define FRONT_CHUNK_MALFORMED "a chunk of the body is malformed"

enum front_conn_state
{
  FRONT_IDLE,
  FRONT_READING,
  /* The request is complete and the node has not answered it yet. */
  FRONT_AWAITING_ANSWER,
  FRONT_WRITING
};

/* A caller's connection; at most one of its requests is open at a time. */
struct front_conn
{
  struct eel_front *front;
  evhtp_connection_t *evhtp;
  struct front_conn *next;
  struct front_conn *previous;
  enum front_conn_state state;
  int64_t state_since_us;
  /* evhtp's callbacks, which the front's callbacks call. */
  bufferevent_data_cb evhtp_read;
  bufferevent_data_cb evhtp_write;
  /* Bytes of an incomplete head that were already searched for its end. */
  size_t scanned_bytes;
  /* Checks the chunks of the body, up to this offset in the input. */
  struct http_parser chunks;
  size_t checked_bytes;
  uint8_t checks_chunks;
  /* The request that is being read or is open. */
  struct eel_headers raw_headers;
  struct eel_call *call;
  struct front_refusal refusal;
  uint32_t slot;
  uint8_t has_slot;
  uint8_t minor_version;
  uint8_t keep_alive;
  /* The request is HEAD: its answer has no body. */
  uint8_t is_head;
};

/* Maps a call id to the connection that awaits its answer. */
struct front_slot
{
  struct front_conn *conn;
  uint64_t generation;
  int64_t expires_us;
  uint32_t next_free;
};

/* Lingering close: the refusal is flushed and further input is discarded. */
struct front_linger
{
  struct bufferevent *bev;
  struct eel_front *front;
  int64_t until_us;
  size_t dropped_bytes;
};

struct front_metrics
{
  struct eel_metric *connections;
  struct eel_metric *open;
  struct eel_metric *accepted;
  struct eel_metric *accept_failed;
  struct eel_metric *requests;
  struct eel_metric *cancelled;
  struct eel_metric *expired;
  struct eel_metric *refused[EEL_ERROR_COUNT];
};

struct eel_front
{
  struct event_base *base;
  struct eel_mailbox inbox;
  struct eel_mailbox *node;
  evhtp_t *htp;
  struct event *sweep_timer;
  uint16_t port;
  struct front_conn *conns;
  uint32_t conn_count;
  uint32_t conn_max;
  /* Maximum number of open requests; there is a slot for each connection. */
  uint32_t open_max;
  struct front_slot *slots;
  uint32_t slot_count;
  uint32_t free_slot_head;
  uint32_t open_count;
  struct front_linger lingers[FRONT_LINGERS_MAX];
  /* Highest preset revision seen in an answer; used in the front's refusals. */
  uint64_t revision;
  /*
   * Number of connections freed; a change shows that evhtp freed one during a
   * call.
   */
  uint64_t freed_count;
  uint8_t accept_paused;
  uint8_t draining;
  uint8_t drained;
  struct front_metrics metrics;
};

#define FRONT_NO_SLOT UINT32_MAX

/* front_conn.c */
evhtp_res front_conn_on_accept (evhtp_connection_t *evhtp, void *data);
void front_conn_refuse (struct front_conn *conn);
void front_conn_sweep (struct eel_front *front, int64_t now_us);
void front_conn_close_all (struct eel_front *front);
/* front_chunks.c */
void front_chunks_begin (struct front_conn *conn, size_t head_bytes);
int front_chunks_check (struct front_conn *conn, struct evbuffer *input);
void front_chunks_consumed (struct front_conn *conn, struct evbuffer *input);
/* front_head.c */
int front_head_parse (struct front_conn *conn, const char *data, size_t bytes);
/* front_read.c */
void front_read_attach (struct front_conn *conn);
/* front_request.c */
void front_request_complete (evhtp_request_t *request, void *data);
void front_request_cancel (struct front_conn *conn);
/* front_slot.c */
int front_slots_init (struct eel_front *front, uint32_t count);
uint64_t front_slot_acquire (struct front_conn *conn);
struct front_conn *front_slot_find (struct eel_front *front, uint64_t call_id);
void front_slot_release (struct front_conn *conn);
uint64_t front_slot_call_id (const struct front_conn *conn);
/* front_answer.c */
void front_answer_write (struct front_conn *conn,
                         const struct eel_answer *answer);
struct eel_answer *front_answer_refusal (const struct eel_front *front,
                                         uint64_t call_id,
                                         const struct front_refusal *refusal);
void front_answer_write_refusal (const struct eel_front *front,
                                 struct bufferevent *bev,
                                 const struct front_refusal *refusal);
/* front_linger.c */
void front_linger_start (struct eel_front *front,
                         struct bufferevent *bev,
                         const struct front_refusal *refusal);
void front_linger_sweep (struct eel_front *front, int64_t now_us);
void front_linger_close_all (struct eel_front *front);
/* front.c */
void front_count_refusal (struct eel_front *front, enum eel_error error);

#endif
