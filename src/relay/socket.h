#ifndef EEL_RELAY_SOCKET_H
#define EEL_RELAY_SOCKET_H

#include <stdint.h>

/*
 * Detection of peers that can't be reached.  A peer that doesn't read closes
 * its window but acknowledges window probes: it is slow, not unreachable.
 */

/* Sets TCP_NODELAY. */
void eel_socket_set_nodelay (int fd);
/* Sets keep-alive probes, which find an unreachable peer after 4 s while
   nothing waits to be acknowledged. */
void eel_socket_set_keepalive (int fd);
/* Sets TCP_USER_TIMEOUT, which also ends the connection to a peer that reads
   nothing for that long; 0: none. */
void eel_socket_set_user_timeout (int fd, uint32_t timeout_ms);
/* True when the kernel knows how a connect has ended.  After a pause of the
   process libevent reports that the time for it is up, and not that. */
int eel_socket_connect_has_ended (int fd);

/* Watches a connection with unsent output. */
struct eel_socket_watch
{
  /* Since when the kernel has repeated something without an acknowledgement; 0:
     it has not. */
  int64_t silent_since_us;
};

/* Returns 1 when the peer has acknowledged nothing for limit_us, though the
   kernel asked for it; call it periodically. */
int eel_socket_is_unreachable (struct eel_socket_watch *watch,
                               int fd,
                               int64_t limit_us,
                               int64_t now_us);

#endif
