#ifndef EEL_RELAY_ATTEMPT_H
#define EEL_RELAY_ATTEMPT_H

#include <stdint.h>

#include "relay/message.h"
#include "relay/pool.h"

/* One attempt to run a request at one endpoint, that of this node or of a peer
   node. */

struct eel_attempt;
struct eel_instance;
struct eel_relay;

enum eel_attempt_failure
{
  /* Nothing was sent to the endpoint: no slot becomes free in time. */
  EEL_FAILURE_REFUSED,
  /* Nothing was sent: the endpoint or its node is leaving, or another endpoint
     has the address. */
  EEL_FAILURE_LEAVING,
  /* The endpoint answered that it did not run the request. */
  EEL_FAILURE_SHED,
  /* Another endpoint has the address; it did not run the request. */
  EEL_FAILURE_MISDIRECTED,
  /* No connection, or a node did not accept the request: it was not run. */
  EEL_FAILURE_UNREACHABLE,
  /* The answer is missing, truncated or not HTTP: the request may have run. */
  EEL_FAILURE_BROKEN,
  /* Nothing was sent: the request crashes endpoints, or may do so and has to
     wait for the trial of another one. */
  EEL_FAILURE_SUSPECT,
  EEL_FAILURE_COUNT
};

const char *eel_attempt_failure_name (enum eel_attempt_failure failure);
/* Returns EEL_FAILURE_BROKEN for an unknown name. */
enum eel_attempt_failure eel_attempt_failure_parse (const char *name);

struct eel_attempt_ops
{
  void (*head) (void *owner, const struct eel_head *head);
  void (*body) (void *owner, const char *data, size_t bytes);
  /* Either end or fail is the last callback; the owner then frees the
     attempt. */
  void (*end) (void *owner);
  void (*fail) (void *owner,
                enum eel_attempt_failure failure,
                const char *reason);
  /* Everything written so far has been sent: more of the body may follow. */
  void (*drained) (void *owner);
};

/* The request, as it is sent to an endpoint or its node.  The pointers must
   outlive the attempt. */
struct eel_relay_call
{
  const struct eel_head *request;
  const char *request_id;
  const char *caller_service;
  const char *instance_id;
  /* From eel_crash_content_fingerprint; 0 until enough of the body is known. */
  uint64_t fingerprint;
  uint64_t route;
  /* Target time of the route; 0 for a request from a peer, which doesn't send
     it. */
  int64_t route_target_us;
  uint32_t service;
  uint8_t rank;
  uint8_t idempotent;
  /* Teams are in force: endpoints get no other word of a team than this, nor
     the caller's key. */
  uint8_t has_teams;
  /* NULL: none. */
  const char *team;
  /* eel_team_id of the name, or EEL_NO_TEAM. */
  uint64_t team_id;
  /* From another failure domain, which could also serve it. */
  uint8_t is_guest;
  int64_t target_us;
  int64_t deadline_us;
};

/* Reads the team that a peer names. */
void eel_relay_read_team (const struct eel_head *request,
                          struct eel_relay_call *call);

struct eel_attempt_kind
{
  void (*start) (struct eel_attempt *attempt);
  void (*cancel) (struct eel_attempt *attempt);
};

struct eel_attempt
{
  const struct eel_attempt_kind *kind;
  struct eel_relay *relay;
  struct eel_relay_call call;
  struct eel_instance *instance;
  const struct eel_attempt_ops *ops;
  void *owner;
  /* NULL until the request is sent, and again once the answer or the connection
     has ended.  A run that the endpoint interrupted stays accepted and running
     without a link until the result of a check is known. */
  struct eel_link *link;
  /* Body that arrived before the receiver accepted the request. */
  struct evbuffer *pending;
  enum eel_framing framing;
  /* The receiver has accepted the request: the body may be sent. */
  uint8_t accepted;
  struct event *accept_timer;
  int64_t accept_due_us;
  int64_t accepted_us;
  uint8_t body_done;
  uint8_t queued;
  /* A local attempt holds a slot; a remote one is counted at the instance. */
  uint8_t running;
  uint8_t answer_started;
  /* Of the endpoint's own answer. */
  uint16_t answer_status;
  uint8_t answer_done;
  int64_t started_us;
  /* Why the endpoint interrupted the run; NULL: it did not. */
  const char *interruption;
  /* The answer is a refusal of this kind and is not relayed. */
  uint8_t is_refusal;
  uint64_t refusal_bytes;
  uint64_t answer_body_bytes;
  enum eel_attempt_failure refusal;
};

/*
 * Prepares an attempt: at this node's endpoint when instance is NULL or has
 * this node's address, else through the instance's node.  Returns NULL when out
 * of memory.
 */
struct eel_attempt *eel_attempt_new (struct eel_relay *relay,
                                     const struct eel_relay_call *call,
                                     struct eel_instance *instance,
                                     const struct eel_attempt_ops *ops,
                                     void *owner);
/* Call it after passing the body that has arrived; callbacks may run before it
   returns. */
void eel_attempt_start (struct eel_attempt *attempt);
void
eel_attempt_body (struct eel_attempt *attempt, const void *data, size_t bytes);
/* The fingerprint is that of the whole request. */
void eel_attempt_body_end (struct eel_attempt *attempt, uint64_t fingerprint);
/* Bytes of the request's body that are not yet written to the socket. */
size_t eel_attempt_pending_bytes (const struct eel_attempt *attempt);
/* Checks the id in an answer, which may be NULL. */
int eel_attempt_id_fits (const struct eel_attempt *attempt, const char *id);
int eel_attempt_may_have_run (const struct eel_attempt *attempt);
void eel_attempt_pause (struct eel_attempt *attempt, int pause);
/* Cancels an attempt that is still running, and frees it.  NULL is allowed. */
void eel_attempt_free (struct eel_attempt *attempt);

/* For the two kinds of attempt. */
extern const struct eel_attempt_kind eel_attempt_local;
extern const struct eel_attempt_kind eel_attempt_remote;
void eel_attempt_write_head (const struct eel_attempt *attempt,
                             struct evbuffer *out,
                             int to_peer);
/* Link callbacks that both kinds use. */
void eel_attempt_on_body (void *owner, const char *data, size_t bytes);
void eel_attempt_on_drained (void *owner);
/* The receiver has accepted the request: sends the body received so far. */
void eel_attempt_send_pending (struct eel_attempt *attempt);
int64_t eel_attempt_remaining_ms (const struct eel_attempt *attempt,
                                  int64_t now_us);
/*
 * Directs a local attempt to the endpoint that is at this node's address now.
 * Returns why it must not get the request, or NULL.
 */
const char *eel_attempt_direct (struct eel_attempt *attempt);
/* Records which endpoint an answer names instead of the expected one. */
void eel_attempt_record_actual (struct eel_relay *relay,
                                const struct eel_head *head);
/* Frees the slot of a local attempt and reports the failure. */
void eel_attempt_fail_local (struct eel_attempt *attempt,
                             enum eel_attempt_failure failure,
                             const char *reason);
/* The gate granted or refused a slot to a local attempt. */
void eel_attempt_admitted (struct eel_attempt *attempt);
void eel_attempt_refused (struct eel_attempt *attempt);
/* Fails a queued local attempt whose endpoint must not get it any more and
   returns 1; returns 0 for any other. */
int eel_attempt_refuse_leaving (struct eel_attempt *attempt);

#endif
