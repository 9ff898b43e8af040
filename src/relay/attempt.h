#ifndef EEL_RELAY_ATTEMPT_H
#define EEL_RELAY_ATTEMPT_H

#include <stdint.h>

#include "relay/message.h"
#include "relay/pool.h"

/* One try to have a request run by one endpoint, here or beside a peer. */

struct eel_attempt;
struct eel_instance;
struct eel_relay;

enum eel_attempt_failure
{
  /* Nothing was sent to the endpoint, its node has no room in time. */
  EEL_FAILURE_REFUSED,
  /* Nothing was sent: the endpoint or its node is leaving, or is another. */
  EEL_FAILURE_LEAVING,
  /* The endpoint has said that it did not run the request. */
  EEL_FAILURE_SHED,
  /* Another endpoint has the address; it did not run the request. */
  EEL_FAILURE_MISDIRECTED,
  /* No connection: nothing was sent. */
  EEL_FAILURE_UNREACHABLE,
  /* The answer is missing, cut or not HTTP: the request may have run. */
  EEL_FAILURE_BROKEN,
  EEL_FAILURE_COUNT
};

const char *eel_attempt_failure_name (enum eel_attempt_failure failure);
/* Returns EEL_FAILURE_BROKEN for a name that isn't known. */
enum eel_attempt_failure eel_attempt_failure_parse (const char *name);

struct eel_attempt_ops
{
  void (*head) (void *owner, const struct eel_head *head);
  void (*body) (void *owner, const char *data, size_t bytes);
  /* The attempt is of no use after end and fail; the owner frees it. */
  void (*end) (void *owner);
  void (*fail) (void *owner,
                enum eel_attempt_failure failure,
                const char *reason);
  /* The request's body may go on. */
  void (*drained) (void *owner);
};

/* What is sent; the pointers outlive the attempt. */
struct eel_work
{
  const struct eel_head *request;
  const char *request_id;
  const char *caller_service;
  const char *instance_id;
  /* 0: not known. */
  uint64_t fingerprint;
  uint64_t route;
  /* Of the route; 0 where only the passing node knows it. */
  int64_t route_target_us;
  uint16_t service;
  uint8_t rank;
  uint8_t idempotent;
  int64_t target_us;
  int64_t deadline_us;
};

struct eel_attempt_kind
{
  void (*start) (struct eel_attempt *attempt);
  void (*cancel) (struct eel_attempt *attempt);
};

struct eel_attempt
{
  const struct eel_attempt_kind *kind;
  struct eel_relay *relay;
  struct eel_work work;
  struct eel_instance *instance;
  const struct eel_attempt_ops *ops;
  void *owner;
  struct eel_link *link;
  /* Body that came before the receiver took the request. */
  struct evbuffer *pending;
  enum eel_framing framing;
  /* The receiver has taken the request; the body may go. */
  uint8_t accepted;
  struct event *accept_timer;
  int64_t accepted_us;
  uint8_t body_done;
  uint8_t queued;
  uint8_t running;
  uint8_t answer_started;
  uint8_t answer_done;
  int64_t started_us;
  /* What the head of a refusal says; NULL: it's an answer. */
  uint8_t is_refusal;
  enum eel_attempt_failure refusal;
};

/*
 * An attempt at an instance: with the own endpoint when it stands beside this
 * node or instance is NULL, else with the instance's node.
 */
struct eel_attempt *eel_attempt_new (struct eel_relay *relay,
                                     const struct eel_work *work,
                                     struct eel_instance *instance,
                                     const struct eel_attempt_ops *ops,
                                     void *owner);
/* The body that is known goes first; callbacks may come before the return. */
void eel_attempt_start (struct eel_attempt *attempt);
void
eel_attempt_body (struct eel_attempt *attempt, const void *data, size_t bytes);
void eel_attempt_body_end (struct eel_attempt *attempt);
/* Bytes of the request's body that have not left. */
size_t eel_attempt_pending_bytes (const struct eel_attempt *attempt);
int eel_attempt_may_have_run (const struct eel_attempt *attempt);
void eel_attempt_pause (struct eel_attempt *attempt, int pause);
/* Ends the attempt, cancelling what runs, and frees it. */
void eel_attempt_free (struct eel_attempt *attempt);

/* Shared by the two kinds. */
extern const struct eel_attempt_kind eel_attempt_local;
extern const struct eel_attempt_kind eel_attempt_remote;
void eel_attempt_write_head (const struct eel_attempt *attempt,
                             struct evbuffer *out,
                             int to_peer);
/* Callbacks of a link that both kinds use. */
void eel_attempt_on_body (void *owner, const char *data, size_t bytes);
void eel_attempt_on_drained (void *owner);
/* The receiver has taken the request: sends the body that came before. */
void eel_attempt_send_pending (struct eel_attempt *attempt);
int64_t eel_attempt_remaining_ms (const struct eel_attempt *attempt,
                                  int64_t now_us);
/* Starts an attempt that has come out of the gate's queue, or refuses it. */
void eel_attempt_admitted (struct eel_attempt *attempt);
void eel_attempt_refused (struct eel_attempt *attempt);

#endif
