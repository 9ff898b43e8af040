#ifndef EELGRASSLATCH_CALL_CHAIN_H
#define EELGRASSLATCH_CALL_CHAIN_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * How many calls to one route a run still needs, as seen by the node through
 * which its endpoint makes them.
 *
 * Calls don't name the run that makes them.  A run that makes one call after
 * the other sends the next as soon as it has the answer, on the same
 * connection, so such requests form a chain.  The usual length is learned from
 * chains without a failure; one that goes on beyond it is taken for that of the
 * next run.  Both are estimates: nothing may depend on them but an order.
 * Calls that a run makes at the same time are chains of one.
 */

/* Routes whose usual length is known; the least recently used one gives way. */
#define EEL_CALL_CHAIN_ROUTES_MAX 32
/* A longer chain counts as this. */
#define EEL_CALL_CHAIN_LENGTH_MAX 16

/* Requests on one connection. */
struct eel_call_chain
{
  uint64_t route;
  /* Requests with a success, one after the other. */
  uint32_t answered;
  /* Requests without an answer so far. */
  uint32_t open;
  /* The last one failed, or several were open at once. */
  uint8_t is_broken;
  int64_t answered_us;
};

struct eel_call_length
{
  uint64_t route;
  /* Chains by length, from 1, the latest of which count most. */
  float chains[EEL_CALL_CHAIN_LENGTH_MAX];
  int64_t updated_us;
};

struct eel_call_lengths
{
  struct eel_call_length routes[EEL_CALL_CHAIN_ROUTES_MAX];
  uint32_t count;
};

void eel_call_lengths_init (struct eel_call_lengths *lengths);
/* A request of the route has arrived on the connection.  Returns how many
   requests its chain needs, itself included: 1 or more. */
uint32_t eel_call_chain_request (struct eel_call_chain *chain,
                                 struct eel_call_lengths *lengths,
                                 uint64_t route,
                                 int64_t now_us);
/* It has been answered. */
void eel_call_chain_answered (struct eel_call_chain *chain,
                              int is_success,
                              int64_t now_us);
/* The connection is closed. */
void eel_call_chain_closed (struct eel_call_chain *chain,
                            struct eel_call_lengths *lengths,
                            int64_t now_us);

#endif
