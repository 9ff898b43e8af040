#ifndef EEL_RELAY_SERVER_H
#define EEL_RELAY_SERVER_H

#include <netinet/in.h>
#include <stdint.h>

#include "relay/reader.h"

/*
 * HTTP/1.1 server.  A connection may carry several pipelined requests; their
 * answers are sent in the order of the requests.
 */

struct evbuffer;
struct evconnlistener;
struct event_base;
struct eel_conn;
struct eel_exchange;

struct eel_server_ops
{
  /* For log lines. */
  const char *name;
  void (*request) (struct eel_exchange *exchange);
  void (*body) (struct eel_exchange *exchange, const char *data, size_t bytes);
  void (*body_end) (struct eel_exchange *exchange);
  /* The connection is closed; the exchange is freed after this. */
  void (*disconnected) (struct eel_exchange *exchange);
  /* The connection's output buffer is empty. */
  void (*drained) (struct eel_exchange *exchange);
};

struct eel_server_limits
{
  uint32_t max_head_bytes;
  uint64_t max_body_bytes;
  int64_t head_timeout_us;
  int64_t idle_timeout_us;
};

struct eel_server
{
  struct event_base *base;
  struct evconnlistener *listener;
  const struct eel_server_ops *ops;
  void *owner;
  struct eel_server_limits limits;
  struct eel_conn *conns;
  /* Closed connections, freed once no callback uses them. */
  struct eel_conn *closed;
  /* The same for exchanges that ended with their connection. */
  struct eel_exchange *released;
  uint32_t conn_count;
  uint32_t max_conns;
  uint32_t exchange_count;
  /* Each answer carries Connection: close. */
  uint8_t closing;
  uint64_t accepted;
  /* At the limit: closed unread, and idle ones closed for new ones. */
  uint64_t refused;
  uint64_t displaced;
  uint64_t limit_logged;
  /* Connections that ended with a part of an answer unsent, or timed out. */
  uint64_t cut;
};

struct eel_exchange
{
  struct eel_conn *conn;
  struct eel_exchange *next;
  struct eel_head request;
  struct evbuffer *out;
  /* Set by the server's owner; NULL once the answer is complete. */
  void *state;
  uint64_t body_bytes;
  /* When the peer stops waiting for the answer; 0: unknown.  Set by the owner.
   */
  int64_t deadline_us;
  int64_t answered_us;
  enum eel_framing answer_framing;
  uint8_t request_done;
  uint8_t answer_started;
  uint8_t answer_done;
  uint8_t close_after;
  /* Its connection goes on without it, or is closed. */
  uint8_t released;
};

int eel_server_init (struct eel_server *server,
                     struct event_base *base,
                     const struct sockaddr_in *address,
                     const struct eel_server_ops *ops,
                     void *owner);
/* Closes the listener; open connections stay. */
void eel_server_stop (struct eel_server *server);
void eel_server_finish (struct eel_server *server);
/* Closes connections that are idle for too long, whose head is overdue, or
   whose peer can't be reached or still hasn't read its last answer well after
   the deadline; call it periodically. */
void eel_server_sweep (struct eel_server *server, int64_t now_us);
/* Calls visit for each exchange without a complete answer; it must change
   none. */
void eel_server_visit_open (const struct eel_server *server,
                            void (*visit) (const struct eel_exchange *exchange,
                                           void *data),
                            void *data);
/* Calls end for each exchange without a complete answer; end returns 1 when it
   has completed or aborted it, else 0. */
void eel_server_each_open (struct eel_server *server,
                           int (*end) (struct eel_exchange *exchange));
int eel_server_is_idle (const struct eel_server *server);
/* Closes connections that carry no request. */
void eel_server_close_idle (struct eel_server *server);

struct eel_server *eel_exchange_server (const struct eel_exchange *exchange);
/* Sends 100 Continue: the head was read.  Call it before any answer. */
void eel_exchange_continue (struct eel_exchange *exchange);
/*
 * An answer is written as a head (lines: header lines, each with CRLF; may be
 * NULL), then the body in pieces, then its end.
 */
void eel_exchange_answer (struct eel_exchange *exchange,
                          uint16_t status,
                          struct evbuffer *lines,
                          enum eel_framing framing,
                          uint64_t length_bytes);
void eel_exchange_body (struct eel_exchange *exchange,
                        const void *data,
                        size_t bytes);
/* The exchange may be freed before this returns. */
void eel_exchange_end (struct eel_exchange *exchange);
/* Truncates the answer by closing the connection; frees the exchange. */
void eel_exchange_abort (struct eel_exchange *exchange);
/* Bytes of the answer that are not yet written to the socket. */
size_t eel_exchange_pending_bytes (const struct eel_exchange *exchange);
/* Stops or resumes reading the request's body. */
void eel_exchange_pause (struct eel_exchange *exchange, int pause);

#endif
