#ifndef EEL_RELAY_CONN_H
#define EEL_RELAY_CONN_H

#include "eelgrasslatch/call_chain.h"
#include "relay/server.h"
#include "relay/socket.h"

/* One connection of a server; shared by the server's source files. */

struct eel_conn
{
  struct eel_server *server;
  struct eel_conn *next;
  struct eel_conn *previous;
  struct bufferevent *bev;
  struct eel_reader reader;
  /* In the order of the requests. */
  struct eel_exchange *first;
  struct eel_exchange *last;
  /* The exchange whose request is being read. */
  struct eel_exchange *reading;
  uint32_t count;
  /* For the server's owner. */
  struct eel_call_chain chain;
  /* Start of the present phase: idle, reading a head, or lingering. */
  int64_t phase_start_us;
  /* Latest deadline of the answers sent. */
  int64_t answer_deadline_us;
  struct eel_socket_watch watch;
  int64_t last_read_us;
  /* eel_conn_feed runs; guards against recursion. */
  uint8_t feeding;
  uint8_t is_closed;
  /* No further request is parsed; input is discarded. */
  uint8_t discard_input;
  /* Lingers once the output is written. */
  uint8_t closing;
  /* The write side is shut down; waits for the peer to close. */
  uint8_t lingering;
};

struct eel_conn *eel_conn_open (struct eel_server *server, int fd);
void eel_conn_close (struct eel_conn *conn);
/* Reports that an answer is cut off, if one is, and closes the connection. */
void eel_conn_cut (struct eel_conn *conn, const char *reason);
/* The same when the peer has closed the connection (error 0) or it has failed.
 */
void eel_conn_lost (struct eel_conn *conn, int error);
size_t eel_conn_unsent_bytes (const struct eel_conn *conn);
void eel_conn_free (struct eel_conn *conn);
/* Parses buffered input; call it after an exchange was removed. */
void eel_conn_feed (struct eel_conn *conn);
/* Sends the answers that are ready, in order. */
void eel_conn_flush (struct eel_conn *conn);

struct eel_exchange *eel_exchange_new (struct eel_conn *conn,
                                       struct eel_head *head);
void eel_exchange_free (struct eel_exchange *exchange);
/* The same, but the memory stays until the server's next sweep: the exchange
   may be at work on the stack. */
void eel_exchange_release (struct eel_exchange *exchange);
void eel_exchange_free_released (struct eel_server *server);

#endif
