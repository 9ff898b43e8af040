#ifndef EEL_RELAY_SELF_REPORT_H
#define EEL_RELAY_SELF_REPORT_H

#include "relay/message.h"

/* What an endpoint says of itself in its answers, at the node beside it. */

struct eel_relay;

/* The endpoint with that id is at this node's address from now on. */
void eel_self_report_expect (struct eel_relay *relay, const char *id);
/* Reads an answer of this node's endpoint with that id. */
void eel_self_report_read (struct eel_relay *relay,
                           const char *id,
                           const struct eel_head *answer);
/* Passes on to the sender that the endpoint with that id says that it leaves.
 */
void eel_self_report_write_leaving (const struct eel_relay *relay,
                                    const char *id,
                                    const struct eel_head *answer,
                                    struct evbuffer *lines);
/* Reads what the other one has written. */
void eel_self_report_read_leaving (struct eel_relay *relay,
                                   const struct eel_head *answer);
/*
 * Takes the limit that the sender of a request was told for the endpoint with
 * that id, until the endpoint itself has answered: after a restart this node
 * knows none.
 */
void eel_self_report_read_hint (struct eel_relay *relay,
                                const char *id,
                                const struct eel_head *request);

#endif
