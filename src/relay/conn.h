#ifndef EEL_RELAY_CONN_H
#define EEL_RELAY_CONN_H

#include "relay/server.h"

/* One connection of a server, as its source files share it. */

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
  int64_t since_us;
  uint8_t feeding;
  uint8_t dead;
  uint8_t eof;
  /* No request is read any more. */
  uint8_t deaf;
  /* Closes when the output has left. */
  uint8_t closing;
  /* The last answer has left; waits for the peer to close its side. */
  uint8_t lingering;
};

struct eel_conn *eel_conn_open (struct eel_server *server, int fd);
void eel_conn_close (struct eel_conn *conn);
void eel_conn_free (struct eel_conn *conn);
/* Reads on after an exchange has left. */
void eel_conn_feed (struct eel_conn *conn);
/* Sends what is ready, in order. */
void eel_conn_flush (struct eel_conn *conn);

struct eel_exchange *eel_exchange_new (struct eel_conn *conn,
                                       struct eel_head *head);
void eel_exchange_free (struct eel_exchange *exchange);

#endif
