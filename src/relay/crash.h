#ifndef EEL_RELAY_CRASH_H
#define EEL_RELAY_CRASH_H

#include <stdint.h>

/* Detects requests that crash endpoints and shares them between nodes. */

struct eel_head;
struct eel_relay;
struct evbuffer;

/* Hash of caller service, method and target; 0 for requests with a body, which
   is not known yet when they are placed. */
uint64_t eel_crash_fingerprint (const struct eel_head *request,
                                const char *caller_service);
/* Writes the newest quarantine entry, if any, as an Eel-Crashed field. */
void eel_crash_write (const struct eel_relay *relay, struct evbuffer *out);
/* Merges the Eel-Crashed field of another node's message, if any. */
void eel_crash_read (struct eel_relay *relay, const struct eel_head *head);
/* A request ended with an answer of an endpoint: it is no longer a suspect. */
void eel_crash_clear_suspect (struct eel_relay *relay, uint64_t fingerprint);
/* Call it when this node's endpoint refuses connections. */
void eel_crash_endpoint_down (struct eel_relay *relay);

#endif
