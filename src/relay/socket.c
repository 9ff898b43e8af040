#include "relay/socket.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

static void
set_option (int fd, int level, int option, int value)
{
  if (setsockopt (fd, level, option, &value, sizeof value) != 0)
    g_warning ("setsockopt failed: level %d, option %d", level, option);
}

/* A failure is logged and otherwise ignored. */
void
eel_socket_set_options (int fd, uint32_t peer_timeout_ms)
{
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (peer_timeout_ms == 0)
    return;
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)peer_timeout_ms);
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
}
