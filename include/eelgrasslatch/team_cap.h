#ifndef EELGRASSLATCH_TEAM_CAP_H
#define EELGRASSLATCH_TEAM_CAP_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * Keeps the requests of each team within its cap over all nodes together.
 *
 * For each team one node, found by rendezvous hashing over the nodes that are
 * known, holds the bucket and grants tokens to the nodes at which requests
 * enter.  A node admits a request only with a token; it asks for more before it
 * runs out, and tokens that are not used expire.  Two modules, one for each
 * side; neither does I/O: messages are passed in and out as structs.
 *
 * A holder grants at most the share of the rate that the nodes have which it
 * has heard from a moment ago, so that two sides of a partition, each with its
 * own holder, stay within the cap together.  A new holder starts with an empty
 * bucket.
 */

enum eel_cap_verdict
{
  /* A token was taken. */
  EEL_CAP_ADMIT,
  /* No token: the request waits for a grant that has been asked for. */
  EEL_CAP_WAIT,
  /* The team is above its cap. */
  EEL_CAP_REFUSE
};

/* What a node asks of a holder for one team. */
struct eel_cap_ask
{
  uint64_t team;
  uint32_t tokens;
};

/* What a holder grants. */
struct eel_cap_grant
{
  uint64_t team;
  uint32_t tokens;
  /* Time until more can be granted when these are not all; 0: now. */
  int64_t wait_us;
};

#endif
