#include "relay/socket.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

/* With a second before the first and after each: found after 4 s. */
#define KEEPALIVE_PROBES 3

/* A failure is logged and otherwise ignored. */
static void
set_option (int fd, int level, int option, int value)
{
  if (setsockopt (fd, level, option, &value, sizeof value) != 0)
    g_warning ("setsockopt failed: level %d, option %d", level, option);
}

void
eel_socket_set_nodelay (int fd)
{
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

void
eel_socket_set_keepalive (int fd)
{
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

void
eel_socket_set_user_timeout (int fd, uint32_t timeout_ms)
{
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)timeout_ms);
}

int
eel_socket_connect_has_ended (int fd)
{
  struct pollfd socket = { .fd = fd, .events = POLLOUT };

  return fd >= 0 && poll (&socket, 1, 0) > 0;
}

/* True while the kernel repeats a segment or a window probe.  Where it gives no
   such information the peer counts as reachable. */
static int
awaits_repeated (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t bytes = sizeof info;

  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &bytes) == 0
         && info.tcpi_retransmits + info.tcpi_probes > 0;
}

int
eel_socket_is_unreachable (struct eel_socket_watch *watch,
                           int fd,
                           int64_t limit_us,
                           int64_t now_us)
{
  if (!awaits_repeated (fd))
    watch->silent_since_us = 0;
  else if (watch->silent_since_us == 0)
    watch->silent_since_us = now_us;
  return watch->silent_since_us != 0
         && now_us - watch->silent_since_us >= limit_us;
}
