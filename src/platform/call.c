#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "eelgrasslatch/preset.h"
#include "platform/platform.h"

#define READ_TIMEOUT_MS 2000

/* Frees the connection, after which the request's callback does not run. */
void
eel_platform_call_free (struct eel_platform_call *call)
{
  call->active = 0;
  if (call->connection != NULL)
    evhttp_connection_free (call->connection);
  call->connection = NULL;
}

void
eel_platform_call_end (struct eel_platform_call *call, int succeeded)
{
  struct eel_platform *platform = call->platform;
  struct eel_msg msg
      = { .kind = EEL_MSG_PLATFORM_STATE, .value = succeeded ? 1 : 0 };

  call->active = 0;
  if (!succeeded)
    eel_metric_add (platform->failures[call->read], 1);
  eel_read_schedule_done (&platform->schedule, call->read, succeeded,
                          eel_clock_us (), &platform->rng);
  if (platform->node != NULL)
    eel_mailbox_post (platform->node, &msg);
}

static void
on_response (struct evhttp_request *request, void *data)
{
  struct eel_platform_call *call = data;

  if (call->active)
    eel_platform_call_end (call, eel_platform_handle_response (call, request));
}

static void
call_target (const struct eel_platform *platform,
             enum eel_read read,
             char *target,
             size_t bytes)
{
  if (read == EEL_READ_WATCH)
    snprintf (target, bytes, "/v1/values/preset?after=%" PRIu64 "&wait_ms=%d",
              platform->schedule.version, EEL_WATCH_MS);
  else
    snprintf (target, bytes, "%s",
              read == EEL_READ_VMS ? "/v1/vms" : "/v1/values/preset");
}

static int
call_send (struct eel_platform_call *call, int64_t timeout_ms)
{
  struct eel_platform *platform = call->platform;
  struct timeval inactivity_timeout = { .tv_sec = timeout_ms / 1000 };
  struct evhttp_request *request;
  char target[96];
  char host[EEL_ADDRESS_MAX + 8];

  call->connection = evhttp_connection_base_new (
      platform->base, NULL, platform->address.host, platform->address.port);
  if (call->connection == NULL)
    return 0;
  evhttp_connection_set_timeout_tv (call->connection, &inactivity_timeout);
  evhttp_connection_set_max_body_size (call->connection,
                                       EEL_DOCUMENT_BYTES_MAX);
  evhttp_connection_set_max_headers_size (call->connection, 16384);
  request = evhttp_request_new (on_response, call);
  if (request == NULL)
    return 0;
  snprintf (host, sizeof host, "%s:%u", platform->address.host,
            platform->address.port);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", host);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Connection",
                     "close");
  call_target (platform, call->read, target, sizeof target);
  /* A failure frees the request. */
  return evhttp_make_request (call->connection, request, EVHTTP_REQ_GET, target)
         == 0;
}

void
eel_platform_call_start (struct eel_platform *platform,
                         enum eel_read read,
                         int64_t now_us)
{
  struct eel_platform_call *call = &platform->calls[read];
  int64_t timeout_ms = read == EEL_READ_WATCH ? EEL_WATCH_MS + READ_TIMEOUT_MS
                                              : READ_TIMEOUT_MS;

  eel_platform_call_free (call);
  call->platform = platform;
  call->read = read;
  call->active = 1;
  call->deadline_us = now_us + timeout_ms * EEL_US_PER_MS;
  eel_metric_add (platform->calls_made[read], 1);
  /* evhttp may run the callback, which ends the call, before it returns. */
  if (!call_send (call, timeout_ms) && call->active)
    {
      g_warning ("cannot send a request to the platform at %s:%u",
                 platform->address.host, platform->address.port);
      eel_platform_call_end (call, 0);
    }
}
