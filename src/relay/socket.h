#ifndef EEL_RELAY_SOCKET_H
#define EEL_RELAY_SOCKET_H

#include <stdint.h>

/*
 * Sends without delay and, with silence_ms > 0, gives a silent peer up after
 * that time: unacknowledged bytes by TCP_USER_TIMEOUT, idle connections by
 * keep-alive probes.
 */
void eel_socket_set_options (int fd, uint32_t silence_ms);

#endif
