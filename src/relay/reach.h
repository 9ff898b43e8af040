#ifndef EEL_RELAY_REACH_H
#define EEL_RELAY_REACH_H

#include <netinet/in.h>
#include <stdint.h>

/*
 * Finds out whether an endpoint still accepts connections after a run at it was
 * interrupted.  Requests do not show it, since they avoid an endpoint that
 * fails.
 */

struct bufferevent;
struct event_base;

struct eel_reach
{
  struct event_base *base;
  struct sockaddr_in address;
  void (*checked) (void *owner, int accepts);
  void *owner;
  /* NULL while no check is running. */
  struct bufferevent *bev;
  uint8_t wanted;
};

/* checked is called with the result of each check. */
void eel_reach_init (struct eel_reach *reach,
                     struct event_base *base,
                     const struct sockaddr_in *address,
                     void (*checked) (void *owner, int accepts),
                     void *owner);
void eel_reach_finish (struct eel_reach *reach);
/* Starts a check, at once or when the one that is running has ended. */
void eel_reach_want (struct eel_reach *reach);
/* Starts a check that could not start; call it periodically. */
void eel_reach_tick (struct eel_reach *reach);

#endif
