#ifndef EEL_RELAY_LOAD_FIELD_H
#define EEL_RELAY_LOAD_FIELD_H

#include "relay/relay.h"

struct evbuffer;

/* The load of an endpoint in an answer between nodes. */

void eel_load_write (const struct eel_relay_load *load, struct evbuffer *lines);
/* Returns 0 when the field is malformed or no node could report such a load. */
int eel_load_read (const struct eel_head *head, struct eel_relay_load *load);

#endif
