#ifndef EEL_RELAY_ENTRY_H
#define EEL_RELAY_ENTRY_H

#include "eelgrasslatch/error.h"
#include "relay/attempt.h"
#include "relay/relay.h"

/* One request of a caller, at the node that it reached. */

/* Nodes that one request is offered to. */
#define EEL_ENTRY_TRIES_MAX 6

struct event;

struct eel_entry
{
  struct eel_relay *relay;
  struct eel_exchange *exchange;
  struct eel_work work;
  struct eel_attempt *attempt;
  struct event *deadline;
  int64_t arrived_us;
  uint8_t attempts_max;
  /* Endpoints that may have begun to run it. */
  uint8_t arrivals;
  /* An endpoint may have run it: no answer may say that it hasn't. */
  uint8_t may_have_run;
  /* The present endpoint, and the last one that shed the request. */
  struct eel_instance *instance;
  struct eel_instance *shed_by;
  const char *tried[EEL_ENTRY_TRIES_MAX];
  uint8_t tried_count;
  /* Body so far, for another attempt; NULL when it was too long. */
  struct evbuffer *replay;
  uint8_t body_done;

  /* The answer is held until it is whole or long. */
  struct evbuffer *lines;
  struct evbuffer *held;
  uint16_t status;
  enum eel_framing framing;
  uint64_t length_bytes;
  uint8_t has_head;
  uint8_t committed;
};

void eel_entry_free (struct eel_entry *entry);
/* Offers the request to the next endpoint, or answers that none is left. */
void eel_entry_next (struct eel_entry *entry, enum eel_error if_none);
/* Ends the request with an answer of this node; frees the entry. */
void eel_entry_answer_error (struct eel_entry *entry, enum eel_error error);
/* Ends a request whose time is over: not run, or outcome unknown. */
void eel_entry_end (struct eel_entry *entry);
/* Answers an exchange that has no entry. */
void eel_entry_refuse (struct eel_exchange *exchange,
                       enum eel_error error,
                       int64_t retry_after_us);

extern const struct eel_attempt_ops eel_entry_attempt_ops;

#endif
