#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/rng.h"

/*
 * Stand-in for the platform: a preset value that can be read and watched, and a
 * VM list that can be read.  A control port sets both and injects faults.
 */

#define VALUE_MAX (2 * 1024 * 1024)
#define PENDING_MAX 4096
#define WAIT_MS_MAX 10000

enum fault
{
  FAULT_NONE,
  FAULT_DOWN,
  FAULT_STALE,
  FAULT_SLOW,
  FAULT_FLAP,
  FAULT_TRUNCATE,
  FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {
  "none", "down", "stale", "slow", "flap", "truncate",
};

struct value
{
  char *bytes;
  size_t count;
  uint64_t version;
};

/* A delayed read: a watch, or any read under the slow fault. */
struct pending
{
  struct evhttp_request *request;
  struct event *timer;
  uint64_t after_version;
  int watch;
  int vms;
};

static struct event_base *base;
static struct value preset;
/* Value that the stale fault serves. */
static struct value preset_stale;
static struct value vms;
static struct pending pending_reads[PENDING_MAX];
static enum fault fault;
static long fault_ms;
static uint64_t calls_preset;
static uint64_t calls_watch;
static uint64_t calls_vms;
static struct eel_rng rng;

static void
reply (struct evhttp_request *request,
       int status,
       const void *bytes,
       size_t count,
       uint64_t version)
{
  struct evbuffer *body = evbuffer_new ();
  char number[32];

  snprintf (number, sizeof number, "%llu", (unsigned long long)version);
  evhttp_add_header (evhttp_request_get_output_headers (request), "X-Version",
                     number);
  evbuffer_add (body, bytes, count);
  if (fault == FAULT_TRUNCATE && status == 200 && count > 1)
    {
      /* Announces one byte more than the body has, then closes. */
      char length[32];

      snprintf (length, sizeof length, "%zu", count + 1);
      evhttp_add_header (evhttp_request_get_output_headers (request),
                         "Content-Length", length);
      evhttp_add_header (evhttp_request_get_output_headers (request),
                         "Connection", "close");
    }
  evhttp_send_reply (request, status, status == 200 ? "OK" : "Other", body);
  evbuffer_free (body);
}

static int
is_down (void)
{
  return fault == FAULT_DOWN
         || (fault == FAULT_FLAP && eel_rng_below (&rng, 2) == 0);
}

static const struct value *
served_preset (void)
{
  return fault == FAULT_STALE ? &preset_stale : &preset;
}

static void
answer_preset (struct evhttp_request *request)
{
  const struct value *value = served_preset ();

  if (value->version == 0)
    reply (request, 404, "", 0, 0);
  else
    reply (request, 200, value->bytes, value->count, value->version);
}

static void
answer_pending (struct pending *pending)
{
  struct evhttp_request *request = pending->request;

  event_free (pending->timer);
  pending->request = NULL;
  if (pending->vms)
    reply (request, 200, vms.bytes, vms.count, vms.version);
  else if (pending->watch
           && served_preset ()->version <= pending->after_version)
    reply (request, 304, "", 0, served_preset ()->version);
  else
    answer_preset (request);
}

static void
pending_timeout (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  answer_pending (data);
}

static void
pending_closed (struct evhttp_connection *connection, void *data)
{
  struct pending *pending = data;

  (void)connection;
  if (pending->request == NULL)
    return;
  event_free (pending->timer);
  pending->request = NULL;
}

static void
delay_reply (struct evhttp_request *request,
             long ms,
             uint64_t after_version,
             int watch,
             int is_vms)
{
  struct timeval delay = { ms / 1000, ms % 1000 * 1000 };

  for (int i = 0; i < PENDING_MAX; i++)
    {
      struct pending *pending = &pending_reads[i];

      if (pending->request != NULL)
        continue;
      pending->request = request;
      pending->after_version = after_version;
      pending->watch = watch;
      pending->vms = is_vms;
      pending->timer = evtimer_new (base, pending_timeout, pending);
      evtimer_add (pending->timer, &delay);
      evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                     pending_closed, pending);
      return;
    }
  reply (request, 503, "", 0, 0);
}

static const char *
query_value (struct evhttp_request *request,
             struct evkeyvalq *query,
             const char *name)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *text = evhttp_uri_get_query (uri);

  query->tqh_first = NULL;
  if (text == NULL || evhttp_parse_query_str (text, query) != 0)
    return NULL;
  return evhttp_find_header (query, name);
}

static long
query_number (struct evhttp_request *request, const char *name, long fallback)
{
  struct evkeyvalq query;
  const char *text = query_value (request, &query, name);
  long number = text != NULL ? strtol (text, NULL, 10) : fallback;

  if (query.tqh_first != NULL)
    evhttp_clear_headers (&query);
  return number;
}

static void
get_preset (struct evhttp_request *request, void *data)
{
  long after_version = query_number (request, "after", -1);
  long wait_ms = query_number (request, "wait_ms", 0);

  (void)data;
  if (after_version >= 0)
    calls_watch++;
  else
    calls_preset++;
  if (is_down ())
    reply (request, 503, "", 0, 0);
  else if (fault == FAULT_SLOW)
    delay_reply (request, fault_ms, 0, 0, 0);
  else if (after_version >= 0
           && served_preset ()->version <= (uint64_t)after_version)
    delay_reply (request, wait_ms > WAIT_MS_MAX ? WAIT_MS_MAX : wait_ms,
                 (uint64_t)after_version, 1, 0);
  else
    answer_preset (request);
}

static void
get_vms (struct evhttp_request *request, void *data)
{
  (void)data;
  calls_vms++;
  if (is_down ())
    reply (request, 503, "", 0, 0);
  else if (fault == FAULT_SLOW)
    delay_reply (request, fault_ms, 0, 0, 1);
  else
    reply (request, 200, vms.bytes, vms.count, vms.version);
}

static void
wake_watches (void)
{
  if (fault != FAULT_NONE)
    return;
  for (int i = 0; i < PENDING_MAX; i++)
    if (pending_reads[i].request != NULL && pending_reads[i].watch)
      answer_pending (&pending_reads[i]);
}

static void
replace_value (struct value *value, struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  size_t count = evbuffer_get_length (body);

  free (value->bytes);
  value->bytes = malloc (count + 1);
  value->count = count;
  evbuffer_copyout (body, value->bytes, count);
  value->version++;
}

static void
put_preset (struct evhttp_request *request, void *data)
{
  (void)data;
  /* Keeps the previous value, which stays as it is during the stale fault. */
  if (fault != FAULT_STALE)
    {
      free (preset_stale.bytes);
      preset_stale = preset;
      preset_stale.bytes = malloc (preset.count + 1);
      if (preset.count > 0)
        memcpy (preset_stale.bytes, preset.bytes, preset.count);
    }
  replace_value (&preset, request);
  wake_watches ();
  reply (request, 200, "", 0, preset.version);
}

static void
put_vms (struct evhttp_request *request, void *data)
{
  (void)data;
  replace_value (&vms, request);
  reply (request, 200, "", 0, vms.version);
}

static void
put_fault (struct evhttp_request *request, void *data)
{
  struct evkeyvalq query;
  const char *mode = query_value (request, &query, "mode");
  int status = 400;

  (void)data;
  for (int i = 0; mode != NULL && i < FAULT_COUNT; i++)
    if (strcmp (mode, fault_names[i]) == 0)
      {
        fault = (enum fault)i;
        status = 200;
      }
  if (query.tqh_first != NULL)
    evhttp_clear_headers (&query);
  fault_ms = query_number (request, "ms", 1000);
  wake_watches ();
  reply (request, status, "", 0, 0);
}

static void
get_calls (struct evhttp_request *request, void *data)
{
  char text[128];

  (void)data;
  snprintf (text, sizeof text, "preset %llu\nwatch %llu\nvms %llu\n",
            (unsigned long long)calls_preset, (unsigned long long)calls_watch,
            (unsigned long long)calls_vms);
  reply (request, 200, text, strlen (text), 0);
}

static uint16_t
listen_on (struct evhttp *http, int port)
{
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", (uint16_t)port);
  struct sockaddr_in address;
  socklen_t bytes = sizeof address;

  if (bound == NULL)
    return 0;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &bytes);
  return ntohs (address.sin_port);
}

static void
stop (evutil_socket_t number, short what, void *data)
{
  (void)number;
  (void)what;
  (void)data;
  event_base_loopbreak (base);
}

static struct evhttp *
new_server (void)
{
  struct evhttp *http = evhttp_new (base);

  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT);
  evhttp_set_max_body_size (http, VALUE_MAX);
  return http;
}

int
main (int argc, char **argv)
{
  int port = argc == 3 && strcmp (argv[1], "--port") == 0 ? atoi (argv[2]) : 0;
  struct evhttp *http;
  struct evhttp *control;
  struct event *sigterm;
  uint16_t read_port;
  uint16_t control_port;

  base = event_base_new ();
  eel_rng_init (&rng, 1);
  http = new_server ();
  control = new_server ();
  evhttp_set_cb (http, "/v1/values/preset", get_preset, NULL);
  evhttp_set_cb (http, "/v1/vms", get_vms, NULL);
  evhttp_set_cb (control, "/preset", put_preset, NULL);
  evhttp_set_cb (control, "/vms", put_vms, NULL);
  evhttp_set_cb (control, "/fault", put_fault, NULL);
  evhttp_set_cb (control, "/calls", get_calls, NULL);
  read_port = listen_on (http, port);
  control_port = listen_on (control, 0);
  if (read_port == 0 || control_port == 0)
    return EXIT_FAILURE;
  printf ("port %u control %u\n", read_port, control_port);
  fflush (stdout);
  signal (SIGPIPE, SIG_IGN);
  sigterm = evsignal_new (base, SIGTERM, stop, NULL);
  event_add (sigterm, NULL);
  event_base_dispatch (base);
  return EXIT_SUCCESS;
}
