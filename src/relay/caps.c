#include "relay/caps.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "eelgrasslatch/cap_message.h"
#include "internal/task.h"
#include "relay/relay.h"

/* Datagrams read before other events get their turn. */
#define DATAGRAMS_MAX 64
/* While requests wait, their time limits are checked after this time. */
#define WAITING_TICK_US (20 * EEL_US_PER_MS)

static int
find_limits (const void *teams, uint64_t id, struct eel_cap_limits *limits)
{
  const struct eel_team *team
      = teams == NULL ? NULL : eel_team_table_find (teams, id);

  if (team == NULL)
    return 0;
  limits->rate_per_s = team->rate_per_s;
  limits->burst = team->burst;
  return 1;
}

static void
arm_timer (struct eel_caps *caps, int64_t now_us)
{
  int64_t wait_us = eel_team_cap_due_us (&caps->cap, now_us);
  struct timeval wait;

  if (caps->waiting.length > 0 && wait_us > WAITING_TICK_US)
    wait_us = WAITING_TICK_US;
  wait = (struct timeval){ .tv_sec = wait_us / EEL_US_PER_S,
                           .tv_usec = wait_us % EEL_US_PER_S };
  event_add (caps->timer, &wait);
}

/* A lost datagram is like one that the network loses: it is asked again. */
static void
send_datagram (struct eel_caps *caps,
               uint32_t to,
               const uint8_t *bytes,
               size_t length)
{
  struct sockaddr_in address = caps->relay->config.caps;

  address.sin_addr.s_addr = to;
  eel_metric_add (caps->counters.messages, 1);
  eel_metric_add (caps->counters.bytes, length);
  if (caps->fd < 0
      || sendto (caps->fd, bytes, length, 0, (struct sockaddr *)&address,
                 sizeof address)
             < 0)
    eel_metric_add (caps->counters.dropped, 1);
}

/* Only a node that knows the teams can hold their buckets, and one that leaves
   gives them up. */
static void
answer (struct eel_caps *caps,
        uint32_t from,
        const struct eel_cap_ask_message *message,
        struct eel_cap_grant_message *reply)
{
  *reply = (struct eel_cap_grant_message){ .seq = message->seq,
                                           .group = message->group };
  if (caps->relay->teams != NULL && !caps->relay->stopping
      && !eel_relay_teams_outdated (caps->relay, eel_clock_us ()))
    eel_cap_holder_answer (&caps->holder, from, message, find_limits,
                           caps->relay->teams, eel_clock_us (), reply);
}

static void
send_due (struct eel_caps *caps)
{
  uint32_t self = caps->relay->config.ip.s_addr;
  uint8_t bytes[EEL_CAP_MESSAGE_BYTES_MAX];
  struct eel_cap_ask_message message;
  struct eel_cap_grant_message reply;
  uint32_t to;

  while (eel_team_cap_next_message (&caps->cap, eel_clock_us (), &to, &message))
    if (to == self)
      {
        answer (caps, self, &message, &reply);
        eel_team_cap_receive (&caps->cap, self, &reply, eel_clock_us ());
      }
    else
      send_datagram (caps, to, bytes, eel_cap_ask_encode (&message, bytes));
}

void
eel_caps_run (struct eel_caps *caps)
{
  if (!caps->in_force)
    return;
  send_due (caps);
  eel_caps_serve_waiting (caps, eel_clock_us ());
  arm_timer (caps, eel_clock_us ());
}

/* A decision about one request may end others, also the one that the caller is
   about to go on with. */
void
eel_caps_wake (struct eel_caps *caps)
{
  send_due (caps);
  if (caps->waiting.length > 0)
    event_active (caps->timer, EV_TIMEOUT, 0);
  else
    arm_timer (caps, eel_clock_us ());
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  struct eel_caps *caps = data;

  (void)fd;
  (void)what;
  eel_cap_holder_tick (&caps->holder, eel_clock_us ());
  eel_caps_run (caps);
}

/* Nodes whose endpoint was removed may still serve callers. */
static int
is_known_node (const struct eel_relay *relay, uint32_t ip)
{
  for (uint32_t i = 0; i < relay->directory.count; i++)
    if (relay->directory.instances[i].ip == ip)
      return 1;
  return 0;
}

static void
read_datagram (struct eel_caps *caps,
               const struct sockaddr_in *from,
               const uint8_t *bytes,
               size_t length)
{
  uint32_t ip = from->sin_addr.s_addr;
  uint8_t out[EEL_CAP_MESSAGE_BYTES_MAX];
  struct eel_cap_ask_message ask;
  struct eel_cap_grant_message grants;

  if (from->sin_port != caps->relay->config.caps.sin_port
      || !is_known_node (caps->relay, ip))
    eel_metric_add (caps->counters.dropped, 1);
  else if (eel_cap_ask_decode (bytes, length, &ask))
    {
      answer (caps, ip, &ask, &grants);
      send_datagram (caps, ip, out, eel_cap_grant_encode (&grants, out));
    }
  else if (eel_cap_grant_decode (bytes, length, &grants))
    eel_team_cap_receive (&caps->cap, ip, &grants, eel_clock_us ());
  else
    eel_metric_add (caps->counters.dropped, 1);
}

static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  struct eel_caps *caps = data;
  uint8_t bytes[EEL_CAP_MESSAGE_BYTES_MAX];

  (void)what;
  for (uint32_t i = 0; i < DATAGRAMS_MAX; i++)
    {
      struct sockaddr_in from = { 0 };
      socklen_t from_bytes = sizeof from;
      /* The real length, also when the datagram is cut off. */
      ssize_t length = recvfrom (fd, bytes, sizeof bytes, MSG_TRUNC,
                                 (struct sockaddr *)&from, &from_bytes);

      if (length < 0)
        break;
      if ((size_t)length > sizeof bytes)
        eel_metric_add (caps->counters.dropped, 1);
      else
        read_datagram (caps, &from, bytes, (size_t)length);
    }
  eel_caps_run (caps);
}

static void
open_socket (struct eel_caps *caps)
{
  struct eel_relay *relay = caps->relay;

  caps->fd = -1;
  if (relay->config.caps.sin_port == 0)
    {
      g_message ("event=caps_own_share reason=\"no port\"");
      return;
    }
  caps->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (caps->fd >= 0
      && bind (caps->fd, (const struct sockaddr *)&relay->config.caps,
               sizeof relay->config.caps)
             == 0)
    {
      caps->readable = event_new (relay->base, caps->fd, EV_READ | EV_PERSIST,
                                  on_readable, caps);
      if (caps->readable != NULL && event_add (caps->readable, NULL) == 0)
        return;
    }
  g_warning ("event=caps_own_share reason=\"cannot open port %u\"",
             ntohs (relay->config.caps.sin_port));
  if (caps->fd >= 0)
    close (caps->fd);
  caps->fd = -1;
}

static struct eel_caps *
caps_new (struct eel_relay *relay)
{
  struct eel_caps *caps = calloc (1, sizeof *caps);

  if (caps == NULL)
    return NULL;
  caps->relay = relay;
  caps->fd = -1;
  g_queue_init (&caps->waiting);
  caps->timer = event_new (relay->base, -1, 0, on_timer, caps);
  if (caps->timer == NULL
      || !eel_cap_holder_init (&caps->holder, &caps->view,
                               &relay->config.cap_tolerance)
      || !eel_team_cap_init (&caps->cap, &caps->view, relay->config.ip.s_addr,
                             (uint32_t)eel_rng_next (&relay->rng),
                             eel_clock_us ()))
    {
      eel_caps_free (caps);
      return NULL;
    }
  eel_caps_init_counters (caps, relay->metrics);
  open_socket (caps);
  return caps;
}

void
eel_caps_free (struct eel_caps *caps)
{
  if (caps == NULL)
    return;
  if (caps->readable != NULL)
    event_free (caps->readable);
  if (caps->timer != NULL)
    event_free (caps->timer);
  if (caps->fd >= 0)
    close (caps->fd);
  eel_cap_holder_finish (&caps->holder);
  eel_team_cap_finish (&caps->cap);
  free (caps);
}

static int
has_cap (const struct eel_team_table *teams)
{
  for (uint32_t i = 0; teams != NULL && i < teams->count; i++)
    if (teams->teams[i].rate_per_s > 0)
      return 1;
  return 0;
}

void
eel_caps_teams_changed (struct eel_relay *relay)
{
  int in_force = has_cap (relay->teams);

  if (in_force && relay->caps == NULL)
    {
      relay->caps = caps_new (relay);
      if (relay->caps == NULL)
        {
          g_warning ("event=caps_unavailable reason=\"no memory\"");
          return;
        }
      eel_caps_nodes_changed (relay);
    }
  if (relay->caps == NULL)
    return;
  relay->caps->in_force = (uint8_t)in_force;
  if (in_force)
    {
      eel_caps_run (relay->caps);
      return;
    }
  event_del (relay->caps->timer);
  /* Nothing is waited for any more. */
  eel_caps_serve_waiting (relay->caps, eel_clock_us ());
}
