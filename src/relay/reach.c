#include "relay/reach.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>

#include "eelgrasslatch/types.h"
#include "relay/socket.h"

/* Connecting takes milliseconds on one machine. */
#define CONNECT_TIMEOUT_US (400 * EEL_US_PER_MS)

void
eel_reach_init (struct eel_reach *reach,
                struct event_base *base,
                const struct sockaddr_in *address,
                void (*checked) (void *owner, int accepts),
                void *owner)
{
  memset (reach, 0, sizeof *reach);
  reach->base = base;
  reach->address = *address;
  reach->checked = checked;
  reach->owner = owner;
}

void
eel_reach_finish (struct eel_reach *reach)
{
  if (reach->bev != NULL)
    bufferevent_free (reach->bev);
  reach->bev = NULL;
}

/* The connection has served its purpose in any case. */
static void
on_event (struct bufferevent *bev, short what, void *data)
{
  struct eel_reach *reach = data;

  if ((what & BEV_EVENT_TIMEOUT) != 0
      && eel_socket_connect_has_ended (bufferevent_getfd (bev)))
    {
      bufferevent_enable (bev, EV_WRITE);
      return;
    }
  bufferevent_free (bev);
  reach->bev = NULL;
  reach->checked (reach->owner, (what & BEV_EVENT_CONNECTED) != 0);
  eel_reach_tick (reach);
}

/* Leaves the check wanted when it can't start. */
static void
start_check (struct eel_reach *reach)
{
  const struct timeval limit = { .tv_usec = CONNECT_TIMEOUT_US };

  reach->bev = bufferevent_socket_new (reach->base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (reach->bev == NULL)
    return;
  reach->wanted = 0;
  bufferevent_setcb (reach->bev, NULL, NULL, on_event, reach);
  bufferevent_set_timeouts (reach->bev, NULL, &limit);
  /* A failure is reported to on_event, also one at once. */
  if (bufferevent_socket_connect (
          reach->bev, (struct sockaddr *)&reach->address, sizeof reach->address)
          != 0
      && reach->bev != NULL)
    {
      eel_reach_finish (reach);
      reach->wanted = 1;
    }
}

void
eel_reach_tick (struct eel_reach *reach)
{
  if (reach->wanted && reach->bev == NULL)
    start_check (reach);
}

void
eel_reach_want (struct eel_reach *reach)
{
  reach->wanted = 1;
  eel_reach_tick (reach);
}
