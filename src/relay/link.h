#ifndef EEL_RELAY_LINK_H
#define EEL_RELAY_LINK_H

#include "relay/pool.h"

/* Parts of a link that its pool uses. */

struct eel_link *eel_link_open (struct eel_pool *pool);
void eel_link_free (struct eel_link *link);
void eel_link_list (struct eel_link *link, int idle);
void eel_link_unlist (struct eel_link *link);

#endif
