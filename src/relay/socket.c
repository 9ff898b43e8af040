#include "relay/socket.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

static void
set (int fd, int level, int option, int value)
{
  if (setsockopt (fd, level, option, &value, sizeof value) != 0)
    g_warning ("socket option %d/%d was refused", level, option);
}

/* Sets the options of a connected stream socket. */
void
eel_socket_set_options (int fd, uint32_t silence_ms)
{
  set (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (silence_ms == 0)
    return;
  set (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)silence_ms);
  set (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set (fd, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  set (fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set (fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
}
