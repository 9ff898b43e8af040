#ifndef EEL_RELAY_CRASH_H
#define EEL_RELAY_CRASH_H

#include <stdint.h>

/* What nodes know and tell of requests that crash endpoints. */

struct eel_head;
struct eel_relay;
struct evbuffer;

/* Of caller, method and target; 0 for requests with a body, which isn't known
   yet when they are placed. */
uint64_t eel_crash_fingerprint (const struct eel_head *request,
                                const char *caller_service);
/* Writes the newest entry of the quarantine, if there is one, as a field. */
void eel_crash_write (const struct eel_relay *relay, struct evbuffer *out);
/* Takes the field of a message between nodes. */
void eel_crash_read (struct eel_relay *relay, const struct eel_head *head);
/* A request ended with an answer of an endpoint: it is no suspect. */
void eel_crash_ended (struct eel_relay *relay, uint64_t fingerprint);
/* The own endpoint refuses connections. */
void eel_crash_endpoint_down (struct eel_relay *relay);

#endif
