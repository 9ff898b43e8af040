#ifndef EEL_RELAY_SOCKET_H
#define EEL_RELAY_SOCKET_H

#include <stdint.h>

/*
 * Sets TCP_NODELAY.  With peer_timeout_ms > 0, also detects an unresponsive
 * peer: TCP_USER_TIMEOUT of that length for unacknowledged data, and keep-alive
 * probes each second for idle connections.
 */
void eel_socket_set_options (int fd, uint32_t peer_timeout_ms);

#endif
