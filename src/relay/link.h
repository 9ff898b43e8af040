#ifndef EEL_RELAY_LINK_H
#define EEL_RELAY_LINK_H

#include "relay/pool.h"

/* Functions of a link for its pool. */

struct eel_link *eel_link_open (struct eel_pool *pool);
void eel_link_free (struct eel_link *link);
/* Fails the request if its peer can't be reached, as far as the kernel tells.
 */
void eel_link_check_peer (struct eel_link *link, int64_t now_us);
/* Prepares the link for a request. */
void eel_link_begin (struct eel_link *link, int64_t now_us);
void eel_link_list_add (struct eel_link *link, int idle);
void eel_link_list_remove (struct eel_link *link);

#endif
