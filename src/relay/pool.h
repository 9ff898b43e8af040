#ifndef EEL_RELAY_POOL_H
#define EEL_RELAY_POOL_H

#include <netinet/in.h>
#include <stdint.h>

#include "relay/reader.h"
#include "relay/socket.h"

/*
 * Pool of client connections to one address.  Each carries one request at a
 * time and is kept for reuse as long as the peer allows.
 */

struct bufferevent;
struct evbuffer;
struct event_base;
struct eel_link;

struct eel_link_ops
{
  /* Returns 0 when the answer belongs to another request: it is discarded. */
  int (*head) (void *owner, struct eel_head *head);
  void (*body) (void *owner, const char *data, size_t bytes);
  /* 100 Continue: the peer has read the request's head.  May be NULL. */
  void (*accepted) (void *owner);
  /* The owner must not use the link in or after end and fail. */
  void (*end) (void *owner);
  /* sent: the request may have reached the peer. */
  void (*fail) (void *owner, int sent, const char *reason);
  /* The link's output buffer is empty. */
  void (*drained) (void *owner);
};

struct eel_pool
{
  struct event_base *base;
  struct sockaddr_in address;
  int64_t max_idle_us;
  /* Longest idle time before reuse, lowered when the peer resets reused
     connections; and the time of its last change. */
  int64_t learned_idle_max_us;
  int64_t learned_at_us;
  int64_t connect_timeout_us;
  /* How long a peer may leave what it was sent unacknowledged; 0 for a peer on
     the same machine. */
  uint32_t peer_timeout_ms;
  /* Time of the last input on any link. */
  int64_t last_read_us;
  struct eel_link *idle;
  struct eel_link *active;
  /* Closed links, freed once no callback uses them. */
  struct eel_link *closed;
  uint32_t open_count;
  uint64_t opened;
  uint64_t reused;
};

#define EEL_LINK_REFUSED_MAX 16

struct eel_link
{
  struct eel_pool *pool;
  struct eel_link *next;
  struct eel_link *previous;
  struct bufferevent *bev;
  struct eel_reader reader;
  const struct eel_link_ops *ops;
  void *owner;
  int64_t idle_since_us;
  int64_t idle_limit_us;
  /* Requests sent on this connection, with the present one. */
  uint32_t requests;
  /* Hashes of the newest requests that were refused on it. */
  uint64_t refused[EEL_LINK_REFUSED_MAX];
  uint32_t refused_count;
  /* Of the present request; reused_idle_us is how long the connection was idle
     before it, 0 for a new connection. */
  int64_t sent_us;
  int64_t reused_idle_us;
  /* Bytes of the request's body that were passed to the link. */
  uint64_t body_bytes;
  /* All bytes that were written and read for it. */
  uint64_t written_bytes;
  uint64_t read_bytes;
  /* The peer may read the body as slowly as it likes. */
  uint8_t may_stall;
  struct eel_socket_watch watch;
  uint8_t is_idle;
  uint8_t connected;
  /* The request is HEAD: its answer has no body. */
  uint8_t is_head;
  uint8_t request_done;
  uint8_t answer_keep_alive;
  /* The answer being read is discarded: interim, or of another request. */
  uint8_t discard;
  /* An answer of another request was read during this one. */
  uint8_t discarded;
  /* Discarded since the request was sent; heads count too. */
  uint32_t discarded_heads;
  uint64_t discarded_bytes;
  /* The head of an answer has been read. */
  uint8_t answer_started;
  /* A whole answer has been read; its end is not yet reported. */
  uint8_t answer_complete;
  uint8_t closed;
};

void eel_pool_init (struct eel_pool *pool,
                    struct event_base *base,
                    const struct sockaddr_in *address);
void eel_pool_finish (struct eel_pool *pool);
/*
 * Sends a request head (drained from head) on a link that was idle for at most
 * idle_max_us, or on a new one.  is_head: the method is HEAD.  id, which may be
 * NULL, is that of the request: it is not sent where it was refused before,
 * since a copy of the refusal could be taken for its answer.  Returns NULL when
 * no link can be opened.
 */
struct eel_link *eel_pool_send (struct eel_pool *pool,
                                const struct eel_link_ops *ops,
                                void *owner,
                                struct evbuffer *head,
                                int is_head,
                                int64_t idle_max_us,
                                const char *id);
/* Records that the request with that id was refused on the link. */
void eel_link_record_refusal (struct eel_link *link, const char *id);
/* Reports that the peer closed or reset a connection reused after that idle
   time, without answering. */
void eel_pool_report_stale (struct eel_pool *pool, int64_t reused_idle_us);
/* Closes links that were idle for too long, fails those whose peer can't be
   reached, and frees closed ones; call it periodically. */
void eel_pool_sweep (struct eel_pool *pool, int64_t now_us);

/* Sends a piece of the request's body, or the end of it. */
void eel_link_write_body (struct eel_link *link,
                          enum eel_framing framing,
                          const void *data,
                          size_t bytes);
void eel_link_write_pending (struct eel_link *link, struct evbuffer *pending);
void eel_link_write_end (struct eel_link *link, enum eel_framing framing);
/* Bytes that are not yet written to the socket. */
size_t eel_link_unsent_bytes (const struct eel_link *link);
/* Stops or resumes reading the answer. */
void eel_link_pause (struct eel_link *link, int pause);
/* Ends the request by closing the connection; no callback follows. */
void eel_link_cancel (struct eel_link *link);

#endif
