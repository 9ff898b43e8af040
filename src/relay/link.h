#ifndef EEL_RELAY_LINK_H
#define EEL_RELAY_LINK_H

#include "relay/pool.h"

/* Functions of a link for its pool. */

struct eel_link *eel_link_open (struct eel_pool *pool);
void eel_link_free (struct eel_link *link);
void eel_link_list_add (struct eel_link *link, int idle);
void eel_link_list_remove (struct eel_link *link);

#endif
