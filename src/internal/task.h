#ifndef EEL_INTERNAL_TASK_H
#define EEL_INTERNAL_TASK_H

#include <stdint.h>

#include "internal/call.h"

/*
 * Tasks run on one event loop and communicate by messages.  Each task owns a
 * mailbox to which the other tasks post; the handler of the owner runs later
 * from the loop, never inside the post.
 */

struct event_base;
struct event;
struct eel_membership;
struct eel_wire_message;

enum eel_msg_kind
{
  /* front -> node: call.  The node answers with EEL_MSG_ANSWER. */
  EEL_MSG_CALL,
  /* front -> node: the caller of call_id disconnected. */
  EEL_MSG_CANCEL,
  /* front -> node: request for value keys; answer body: one key a line. */
  EEL_MSG_KEYS,
  /* node -> front or node -> admin: answer. */
  EEL_MSG_ANSWER,
  /* node -> upstream: call (ownership passes); call_id is the node's. */
  EEL_MSG_RUN,
  /* node -> upstream: cancel call_id. */
  EEL_MSG_RUN_CANCEL,
  /* upstream -> node: answer and result for call_id. */
  EEL_MSG_RUN_DONE,
  /* upstream -> node: value is an enum eel_upstream_state. */
  EEL_MSG_UPSTREAM_STATE,
  /* node -> peers: wire message to node value. */
  EEL_MSG_PEER_SEND,
  /* peers -> node: wire message received. */
  EEL_MSG_PEER_RECEIVED,
  /* node -> peers: connect to node value at address; text is the address. */
  EEL_MSG_PEER_CONNECT,
  EEL_MSG_PEER_DISCONNECT,
  /* node -> platform: value 1 when this node is a reader, else 0. */
  EEL_MSG_PLATFORM_ROLE,
  /* platform -> node: bytes of the published document. */
  EEL_MSG_DOCUMENT,
  /* platform -> node: bytes of the VM list. */
  EEL_MSG_VM_LIST,
  /* platform -> node: value 1 when a read succeeded, 0 when it failed. */
  EEL_MSG_PLATFORM_STATE,
  /* admin -> node: text names the query; answered with EEL_MSG_ANSWER. */
  EEL_MSG_QUERY,
  /* main -> node, node -> front: start a planned stop. */
  EEL_MSG_DRAIN,
  /* front -> node: no open requests are left after EEL_MSG_DRAIN. */
  EEL_MSG_DRAINED,
  /* peers -> node: wire message to node value, known to be unsent. */
  EEL_MSG_PEER_UNSENT
};

enum eel_run_result
{
  /* The upstream answered; status and body are in the answer. */
  EEL_RUN_ANSWERED,
  /* Nothing was sent: no connection, or the deadline passed first. */
  EEL_RUN_NOT_SENT,
  /* The upstream reported not to have run it (shed, late or draining). */
  EEL_RUN_REFUSED,
  /* Connection lost after the request was sent: it may have run. */
  EEL_RUN_BROKEN,
  EEL_RUN_TIMED_OUT,
  EEL_RUN_CANCELLED
};

enum eel_upstream_state
{
  EEL_UPSTREAM_DOWN,
  EEL_UPSTREAM_UP,
  EEL_UPSTREAM_DRAINING
};

struct eel_msg
{
  enum eel_msg_kind kind;
  uint64_t call_id;
  uint64_t value;
  enum eel_run_result result;
  /* Owned by the message; a handler that keeps one sets it to NULL here. */
  struct eel_call *call;
  struct eel_answer *answer;
  struct eel_wire_message *wire;
  struct eel_body body;
  char text[64];
  /* Mailbox for the EEL_MSG_ANSWER, for kinds that are answered. */
  struct eel_mailbox *reply_to;
};

typedef void (*eel_msg_handler) (void *task, struct eel_msg *msg);

#define EEL_MAILBOX_CAPACITY 8192

/* The caller owns the struct; the ring is allocated once by init. */
struct eel_mailbox
{
  struct event *wake;
  eel_msg_handler handler;
  void *task;
  struct eel_msg *ring;
  uint32_t capacity;
  uint32_t head;
  uint32_t count;
  uint64_t posted;
  uint64_t refused;
};

int eel_mailbox_init (struct eel_mailbox *mailbox,
                      struct event_base *base,
                      uint32_t capacity,
                      eel_msg_handler handler,
                      void *task);
void eel_mailbox_finish (struct eel_mailbox *mailbox);
/*
 * Takes ownership of what msg owns.  When the mailbox is full, frees it and
 * returns 0; the sender of a call then answers EEL_ERROR_OVERLOADED.
 */
int eel_mailbox_post (struct eel_mailbox *mailbox, struct eel_msg *msg);
void eel_msg_clear (struct eel_msg *msg);

/* Monotonic clock in microseconds that includes time spent suspended. */
int64_t eel_clock_us (void);
/* Wall clock, for display, audit and the callers' absolute deadline. */
int64_t eel_wall_ms (void);

#endif
