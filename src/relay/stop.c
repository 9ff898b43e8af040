#include "relay/attempt.h"
#include "relay/entry.h"
#include "relay/relay.h"

/* How a node stops serving. */

/* Requests in flight continue, and connections close with their answers. */
void
eel_relay_stop (struct eel_relay *relay)
{
  relay->stopping = 1;
  relay->callers.closing = 1;
  relay->peers.closing = 1;
}

void
eel_relay_refuse_new (struct eel_relay *relay)
{
  relay->refusing = 1;
}

/* An answer that has begun goes on. */
static int
end_entry (struct eel_exchange *exchange)
{
  if (exchange->answer_started)
    return 0;
  eel_entry_terminate (exchange->state);
  return 1;
}

/* Leaves no caller without an answer.  Peers' requests that no endpoint has yet
   go elsewhere; the others may still end. */
void
eel_relay_end_open (struct eel_relay *relay)
{
  eel_server_each_open (&relay->callers, end_entry);
  eel_server_each_open (&relay->peers, eel_executor_end_waiting);
}

int
eel_relay_is_idle (const struct eel_relay *relay)
{
  return eel_server_is_idle (&relay->callers)
         && eel_server_is_idle (&relay->peers);
}
