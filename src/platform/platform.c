#include "platform/platform.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_US 100000

static const char *const read_labels[EEL_READ_COUNT]
    = { "", "read=\"preset\"", "read=\"vms\"", "read=\"watch\"" };

/*
 * Aborts calls past their deadline and starts those that are due.  The timeout
 * of evhttp restarts with every byte, so it does not bound a slow response.
 */
static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  struct eel_platform *platform = data;
  int64_t now_us = eel_clock_us ();
  enum eel_read read;

  (void)fd;
  (void)what;
  for (int i = EEL_READ_NONE + 1; i < EEL_READ_COUNT; i++)
    {
      struct eel_platform_call *call = &platform->calls[i];

      if (call->active && now_us > call->deadline_us)
        {
          eel_platform_call_free (call);
          eel_platform_call_end (call, 0);
        }
      else if (!call->active)
        eel_platform_call_free (call);
    }
  while ((read = eel_read_schedule_next (&platform->schedule, now_us))
         != EEL_READ_NONE)
    eel_platform_call_start (platform, read, now_us);
}

static void
platform_handle (void *task, struct eel_msg *msg)
{
  struct eel_platform *platform = task;

  if (msg->kind == EEL_MSG_PLATFORM_ROLE)
    eel_read_schedule_set_reader (&platform->schedule, msg->value == 1,
                                  eel_clock_us (), &platform->rng);
}

static void
register_metrics (struct eel_platform *platform, struct eel_metrics *metrics)
{
  for (int i = EEL_READ_NONE + 1; i < EEL_READ_COUNT; i++)
    {
      platform->calls_made[i] = eel_metrics_get (
          metrics, EEL_METRIC_COUNTER, "eel_platform_calls_total",
          read_labels[i], "Calls to the platform's service.");
      platform->failures[i] = eel_metrics_get (
          metrics, EEL_METRIC_COUNTER, "eel_platform_failures_total",
          read_labels[i], "Calls to the platform without a usable answer.");
    }
}

/* The timer that starts reads runs only if the settings name a platform. */
struct eel_platform *
eel_platform_new (struct event_base *base,
                  const struct eel_settings *settings,
                  struct eel_metrics *metrics,
                  uint64_t seed)
{
  struct eel_platform *platform = calloc (1, sizeof *platform);
  struct timeval period = { .tv_usec = TICK_INTERVAL_US };

  if (platform == NULL)
    return NULL;
  platform->base = base;
  platform->address = settings->platform;
  eel_rng_init (&platform->rng, seed);
  eel_read_schedule_init (&platform->schedule, eel_clock_us (), &platform->rng);
  register_metrics (platform, metrics);
  platform->timer = event_new (base, -1, EV_PERSIST, on_tick, platform);
  if (platform->timer == NULL
      || !eel_mailbox_init (&platform->inbox, base, 64, platform_handle,
                            platform)
      || (settings->has_platform && event_add (platform->timer, &period) != 0))
    {
      g_warning ("cannot start the platform task: no memory");
      eel_platform_free (platform);
      return NULL;
    }
  return platform;
}

/* The node posts EEL_MSG_PLATFORM_ROLE here. */
struct eel_mailbox *
eel_platform_inbox (struct eel_platform *platform)
{
  return &platform->inbox;
}

/* Documents, VM lists and read results are posted to node. */
void
eel_platform_connect (struct eel_platform *platform, struct eel_mailbox *node)
{
  platform->node = node;
}

/* Aborts calls in flight. */
void
eel_platform_free (struct eel_platform *platform)
{
  if (platform == NULL)
    return;
  for (int i = 0; i < EEL_READ_COUNT; i++)
    eel_platform_call_free (&platform->calls[i]);
  if (platform->timer != NULL)
    event_free (platform->timer);
  eel_mailbox_finish (&platform->inbox);
  free (platform);
}
