#ifndef EEL_RELAY_ENTRY_H
#define EEL_RELAY_ENTRY_H

#include "eelgrasslatch/error.h"
#include "relay/attempt.h"
#include "relay/crash.h"
#include "relay/relay.h"

/* A caller's request at its entry node. */

/* Attempts of one request, including those that reach no endpoint. */
#define EEL_ENTRY_TRIES_MAX 6

/* Retry-After of a stopping node: others can serve the request at once. */
#define EEL_ENTRY_LEAVING_RETRY_US (10 * EEL_US_PER_MS)

struct event;

struct eel_entry
{
  struct eel_relay *relay;
  struct eel_exchange *exchange;
  struct eel_relay_call call;
  /* Of call.team: the table of teams may be replaced meanwhile. */
  char team[EEL_TEAM_NAME_MAX];
  struct eel_attempt *attempt;
  struct event *deadline;
  int64_t arrived_us;
  uint8_t attempts_max;
  /* Attempts that reached an endpoint. */
  uint8_t arrivals;
  /* The node beside an endpoint had no slot for it in time. */
  uint8_t was_refused;
  /* Refused for what its team or caller does, not for want of slots alone. */
  uint8_t is_excess;
  /* Nodes without a slot in the own failure domain. */
  uint8_t refusals_at_home;
  /* An endpoint may have run it: no answer may state that none has. */
  uint8_t may_have_run;
  /* Calls that the run which sent it needs, this one included; 0: not counted.
   */
  uint32_t calls_needed;
  /* The present endpoint, and the last one that shed the request. */
  struct eel_instance *instance;
  struct eel_instance *shed_by;
  const char *tried[EEL_ENTRY_TRIES_MAX];
  uint8_t tried_count;
  /* Body received so far, for another attempt; NULL once it is too long. */
  struct evbuffer *replay;
  uint8_t body_done;
  struct eel_crash_content content;
  /* Offered to no endpoint until the body is known: the request may be one that
     crashes endpoints. */
  uint8_t held_back;

  /* Waits for a token of its team's cap, and until when. */
  uint8_t waits_for_token;
  GList waiting_link;
  int64_t token_until_us;
  uint8_t has_token;
  int64_t token_expires_us;

  /* The answer is buffered until it is complete or exceeds a limit. */
  struct evbuffer *lines;
  struct evbuffer *held;
  uint16_t status;
  enum eel_framing framing;
  uint64_t length_bytes;
  uint8_t has_head;
  /* The answer's head has been sent to the caller. */
  uint8_t committed;
  /* It has begun but was not complete at the deadline. */
  uint8_t overdue;
};

void eel_entry_free (struct eel_entry *entry);
/* Goes on with a request that is within the cap of its team.  May free the
   entry. */
void eel_entry_admit (struct eel_entry *entry);
/* Offers the request to an endpoint for the first time.  May free the entry. */
void eel_entry_place (struct eel_entry *entry);
/* Offers the request to the next endpoint; answers with if_none when none is
   left.  May free the entry. */
void eel_entry_next (struct eel_entry *entry, enum eel_error if_none);
/* Returns the endpoint to offer the request to, or NULL.  One that was in
   flight at a crash goes to one endpoint, whoever sends it, so that it can't
   crash several at the same time. */
struct eel_instance *eel_entry_pick (struct eel_entry *entry,
                                     const struct eel_place_query *query);
/* Counts, by cause, a request that goes to an endpoint of another failure
   domain; call it before that endpoint counts as tried. */
void eel_entry_count_leaving (struct eel_entry *entry,
                              const struct eel_instance *instance);
/* Records that the present endpoint's node had no slot in time. */
void eel_entry_refused (struct eel_entry *entry);
/* Records that the present endpoint ran the request, or shed it. */
void eel_entry_ran (struct eel_entry *entry, int is_shed);
/* Counts the request as a call of the run that sent it, as far as that shows;
   call it once, and the next with its answer. */
void eel_entry_count_call (struct eel_entry *entry);
void eel_entry_count_answer (struct eel_entry *entry, int is_success);
/* Takes a retry of its service; returns 0 when there is none, or others go
   first. */
int eel_entry_take_retry (struct eel_entry *entry, uint32_t cost_milli);
/* Answers with an error of this node; frees the entry. */
void eel_entry_answer_error (struct eel_entry *entry, enum eel_error error);
/*
 * Ends a request without waiting for its run, at its deadline or when the node
 * stops: overloaded if it was not run, else outcome unknown.  Frees the entry.
 */
void eel_entry_terminate (struct eel_entry *entry);
/* Answers an exchange that has no entry; with retry_after_us > 0 the answer
   carries Retry-After. */
void eel_entry_refuse (struct eel_exchange *exchange,
                       enum eel_error error,
                       int64_t retry_after_us);

/*
 * Finds the team that holds the request's key, NULL if there is none.  Returns
 * EEL_OK, or after a log line the kind of error to refuse the request with.
 */
enum eel_error eel_entry_find_team (struct eel_relay *relay,
                                    const struct eel_exchange *exchange,
                                    const struct eel_route *route,
                                    const struct eel_team **team);
/* Sets the team of a new entry; NULL: none. */
void eel_entry_set_team (struct eel_entry *entry, const struct eel_team *team);

extern const struct eel_attempt_ops eel_entry_attempt_ops;

#endif
