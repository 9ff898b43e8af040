#ifndef EEL_PLATFORM_PLATFORM_H
#define EEL_PLATFORM_PLATFORM_H

#include "eelgrasslatch/rng.h"
#include "internal/tasks.h"
#include "preset/read_schedule.h"

struct evhttp_connection;
struct evhttp_request;

/* A request to the platform; each opens a connection of its own. */
struct eel_platform_call
{
  struct eel_platform *platform;
  enum eel_read read;
  struct evhttp_connection *connection;
  uint8_t active;
  int64_t deadline_us;
};

struct eel_platform
{
  struct event_base *base;
  struct event *timer;
  struct eel_mailbox inbox;
  struct eel_mailbox *node;
  struct eel_endpoint_address address;
  struct eel_read_schedule schedule;
  struct eel_platform_call calls[EEL_READ_COUNT];
  struct eel_rng rng;
  struct eel_metric *calls_made[EEL_READ_COUNT];
  struct eel_metric *failures[EEL_READ_COUNT];
};

/* Sends the request of a read that eel_read_schedule_next has returned. */
void eel_platform_call_start (struct eel_platform *platform,
                              enum eel_read read,
                              int64_t now_us);
/* Ends a call, schedules the next one and posts the result to the node. */
void eel_platform_call_end (struct eel_platform_call *call, int succeeded);
void eel_platform_call_free (struct eel_platform_call *call);
/*
 * Validates a response and posts its body to the node.  request is NULL when
 * there was no response.  Returns 0 when the call counts as failed.
 */
int eel_platform_handle_response (struct eel_platform_call *call,
                                  struct evhttp_request *request);

#endif
