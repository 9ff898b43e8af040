#ifndef EEL_RELAY_POOL_H
#define EEL_RELAY_POOL_H

#include <netinet/in.h>
#include <stdint.h>

#include "relay/reader.h"

/*
 * Client connections to one address: one request at a time on each, kept for
 * the next request while the peer allows it.
 */

struct bufferevent;
struct evbuffer;
struct event_base;
struct eel_link;

struct eel_link_ops
{
  /* 0: the answer belongs to another request and is dropped. */
  int (*head) (void *owner, struct eel_head *head);
  void (*body) (void *owner, const char *data, size_t bytes);
  /* An interim answer: the peer has read the request's head.  May be NULL. */
  void (*accepted) (void *owner);
  /* The link has left the owner when end or fail is called. */
  void (*end) (void *owner);
  /* sent: the request may have reached the peer. */
  void (*fail) (void *owner, int sent, const char *reason);
  /* What was to be sent has left this process. */
  void (*drained) (void *owner);
};

struct eel_pool
{
  struct event_base *base;
  struct sockaddr_in address;
  int64_t max_idle_us;
  /* Peers forgot connections that had rested for about this long. */
  int64_t rest_limit_us;
  int64_t rest_limited_us;
  int64_t connect_us;
  /* Silent peers are given up after this; 0 on one machine. */
  uint32_t silence_ms;
  /* When anything arrived from the peer last. */
  int64_t heard_us;
  struct eel_link *idle;
  struct eel_link *active;
  /* To be freed once no callback uses them. */
  struct eel_link *closed;
  uint32_t open_count;
  uint64_t opened;
  uint64_t reused;
};

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
  /* Of the present request; a rest of 0: on a new connection. */
  int64_t sent_us;
  int64_t rested_us;
  uint8_t is_idle;
  uint8_t connected;
  uint8_t head_request;
  uint8_t request_done;
  uint8_t answer_keeps;
  /* The answer being read belongs to another request. */
  uint8_t stray;
  uint8_t had_stray;
  /* The head of an answer has come. */
  uint8_t answering;
  /* A whole answer has been read; its end is not yet reported. */
  uint8_t answered;
  uint8_t closed;
};

void eel_pool_init (struct eel_pool *pool,
                    struct event_base *base,
                    const struct sockaddr_in *address);
void eel_pool_finish (struct eel_pool *pool);
/*
 * Sends a request head (drained from head) on a kept link that was idle for
 * at most fresh_us, or on a new one.  Returns NULL when no socket can be had.
 */
struct eel_link *eel_pool_send (struct eel_pool *pool,
                                const struct eel_link_ops *ops,
                                void *owner,
                                struct evbuffer *head,
                                int head_request,
                                int64_t fresh_us);
/* The peer has dropped a kept connection instead of reading a request. */
void eel_pool_forgotten (struct eel_pool *pool, int64_t rested_us);
/* Closes links that were idle for too long. */
void eel_pool_sweep (struct eel_pool *pool, int64_t now_us);

/* Where the body of the request is written. */
struct evbuffer *eel_link_output (struct eel_link *link);
/* The whole request has been written. */
void eel_link_request_done (struct eel_link *link);
/* Stops or resumes reading the answer. */
void eel_link_pause (struct eel_link *link, int pause);
/* Ends the request by closing the connection; no callback follows. */
void eel_link_cancel (struct eel_link *link);

#endif
