#ifndef EEL_RELAY_CRASH_TRIAL_H
#define EEL_RELAY_CRASH_TRIAL_H

#include "relay/attempt.h"

/*
 * The runs at this node's endpoint: which request may start beside them, and
 * what becomes of those that the endpoint interrupts.
 */

struct eel_relay;

void eel_crash_trial_init (struct eel_relay *relay);
void eel_crash_trial_finish (struct eel_relay *relay);
/* Returns 1, with the failure and its reason, when the attempt must not start
   here now. */
int eel_crash_trial_refuses (struct eel_attempt *attempt,
                             enum eel_attempt_failure *failure,
                             const char **reason);
void eel_crash_trial_started (struct eel_attempt *attempt);
void eel_crash_trial_ended (struct eel_attempt *attempt);
/*
 * Keeps an interrupted attempt until it is known whether the endpoint has
 * crashed, so that its failure tells the sender of the crash.
 */
void eel_crash_trial_interrupted (struct eel_attempt *attempt,
                                  const char *reason);
/* The endpoint was checked after interruptions; fails these attempts. */
void eel_crash_trial_checked (struct eel_relay *relay, int accepts);

#endif
