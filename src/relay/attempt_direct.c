#include <string.h>

#include "internal/task.h"
#include "relay/attempt.h"
#include "relay/relay.h"

/* Which endpoint is at this node's address. */

/* How long requests for another endpoint at the same address are refused after
   an endpoint answered with its identity. */
#define ACTUAL_INSTANCE_LIFE_US (4 * EEL_US_PER_S)

/* Records which endpoint has the address of the expected one. */
void
eel_attempt_record_actual (struct eel_relay *relay, const struct eel_head *head)
{
  const char *actual
      = eel_head_get (head, relay->config.header_names->actual_instance);

  if (actual == NULL)
    return;
  g_strlcpy (relay->actual_instance, actual, sizeof relay->actual_instance);
  relay->actual_until_us = eel_clock_us () + ACTUAL_INSTANCE_LIFE_US;
}

/*
 * Returns the endpoint that has taken the place of the expected one at this
 * node's address, or NULL.  An endpoint that has named itself at the address
 * counts more than the newest entry of the directory.  Either must be listed as
 * one of the service.
 */
static const struct eel_instance *
find_successor (struct eel_relay *relay, const char *expected, int named)
{
  const struct eel_instance *successor
      = named ? eel_directory_find (&relay->directory, relay->actual_instance)
              : eel_relay_own_instance (relay);

  return successor != NULL && successor->service == relay->service
                 && successor->ip == relay->config.ip.s_addr
                 && eel_instance_usable (successor)
                 && strcmp (successor->id, expected) != 0
             ? successor
             : NULL;
}

/*
 * Directs the request to the endpoint that is at this node's address now, which
 * after a restart has another id than the one that the sender knows.  Returns
 * why the endpoint must not get the request, or NULL.
 */
const char *
eel_attempt_direct (struct eel_attempt *attempt)
{
  struct eel_relay *relay = attempt->relay;
  const char *expected = attempt->call.instance_id;
  int named = eel_clock_us () < relay->actual_until_us;
  const struct eel_instance *successor;
  struct eel_instance *own;

  if (attempt->call.service != relay->service)
    return "endpoint is of another service";
  if (expected == NULL)
    return NULL;
  own = eel_directory_find (&relay->directory, expected);
  if (own != NULL && !eel_instance_usable (own))
    return "endpoint is leaving";
  if (named && strcmp (relay->actual_instance, expected) == 0)
    return NULL;
  successor = find_successor (relay, expected, named);
  if (successor != NULL)
    attempt->call.instance_id = successor->id;
  else if (named)
    return "another endpoint has the address";
  return NULL;
}

int
eel_attempt_refuse_leaving (struct eel_attempt *attempt)
{
  const char *refusal = eel_attempt_direct (attempt);

  if (refusal == NULL)
    return 0;
  eel_gate_withdraw (&attempt->relay->gate, attempt);
  attempt->queued = 0;
  attempt->answer_done = 1;
  attempt->ops->fail (attempt->owner, EEL_FAILURE_LEAVING, refusal);
  return 1;
}
