#include "tests/standin/load.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

/*
 * Open-loop HTTP load: requests are sent at their scheduled times regardless of
 * outstanding replies, as by many independent callers.
 */

#define TICK_US 1000
#define KEYS_REFILL_BELOW 512
#define KEYS_BATCH 64

/* A logical request with its resends. */
struct request
{
  uint8_t in_use;
  enum load_kind kind;
  int64_t started_us;
  uint32_t tries;
  char key[LOAD_KEY_BYTES];
  struct event *timer;
};

struct connection
{
  struct evhttp_connection *http;
  uint32_t port_index;
  struct connection *next_idle;
};

/* One HTTP exchange; returns its connection to the pool when it ends. */
struct send
{
  struct request *request;
  struct connection *connection;
};

static struct load_options options = {
  .ramp = { { 0, 100 } },
  .ramp_count = 1,
  .seconds = 5,
  .service = { "catalogue", "orders", "orders" },
  .timeout_ms = 1000,
  .retry_delay_ms = 50,
  .seed = 1,
  .series_ms = 100,
};
static struct load_result result;
static struct event_base *base;
static struct eel_rng rng;
static struct request requests[LOAD_REQUESTS_MAX];
static uint32_t next_request;
static uint32_t open_requests;
static struct connection connections[LOAD_CONNECTIONS_MAX];
static uint32_t connection_count;
static struct connection *idle[LOAD_PORTS_MAX];
static char keys[LOAD_KEYS_MAX][LOAD_KEY_BYTES];
static uint32_t key_count;
static uint32_t key_fetches;
static int64_t started_us;
static double arrivals_due;
static FILE *records;

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static struct connection *
acquire_connection (void)
{
  uint32_t port_index = eel_rng_below (&rng, options.port_count);
  struct connection *connection = idle[port_index];

  if (connection != NULL)
    {
      idle[port_index] = connection->next_idle;
      return connection;
    }
  if (connection_count == LOAD_CONNECTIONS_MAX)
    return NULL;
  connection = &connections[connection_count++];
  connection->port_index = port_index;
  connection->http = evhttp_connection_base_new (base, NULL, "127.0.0.1",
                                                 options.ports[port_index]);
  evhttp_connection_set_retries (connection->http, 0);
  return connection;
}

static void
release_connection (struct connection *connection)
{
  connection->next_idle = idle[connection->port_index];
  idle[connection->port_index] = connection;
}

static void
on_keys_reply (struct evhttp_request *reply, void *data)
{
  struct connection *connection = data;
  struct evbuffer *body;
  char *line;

  release_connection (connection);
  key_fetches--;
  if (reply == NULL || evhttp_request_get_response_code (reply) != 200)
    return;
  body = evhttp_request_get_input_buffer (reply);
  while ((line = evbuffer_readln (body, NULL, EVBUFFER_EOL_LF)) != NULL)
    {
      if (key_count < LOAD_KEYS_MAX && strlen (line) < LOAD_KEY_BYTES)
        strcpy (keys[key_count++], line);
      free (line);
    }
}

static void
fetch_keys (void)
{
  struct connection *connection = acquire_connection ();
  struct evhttp_request *request;
  char path[64];

  if (connection == NULL)
    return;
  request = evhttp_request_new (on_keys_reply, connection);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     "load");
  snprintf (path, sizeof path, "/eel/v1/keys?count=%d", KEYS_BATCH);
  key_fetches++;
  evhttp_connection_set_timeout (connection->http, 2);
  if (evhttp_make_request (connection->http, request, EVHTTP_REQ_POST, path)
      != 0)
    {
      release_connection (connection);
      key_fetches--;
    }
}

static int
is_measured (const struct request *request)
{
  return request->started_us - started_us >= (int64_t)(options.warmup_s * 1e6);
}

static void
finish_request (struct request *request, enum load_outcome outcome)
{
  int64_t latency_us = now_us () - request->started_us;
  uint32_t bucket = (uint32_t)((request->started_us - started_us) / 1000
                               / options.series_ms);

  if (outcome == LOAD_GOOD && latency_us > (int64_t)options.timeout_ms * 1000)
    outcome = LOAD_LATE;
  if (outcome == LOAD_GOOD && bucket < result.series_count)
    result.series_good[bucket]++;
  if (is_measured (request))
    {
      result.outcomes[request->kind][outcome]++;
      if (outcome == LOAD_GOOD)
        load_result_latency (&result, request->kind, (uint32_t)latency_us);
    }
  if (request->timer != NULL)
    event_free (request->timer);
  request->timer = NULL;
  request->in_use = 0;
  open_requests--;
}

static void
record (const struct request *request, const char *outcome)
{
  if (records != NULL && request->key[0] != 0)
    fprintf (records, "%s %s\n", request->key, outcome);
}

static void send_request (struct request *request);

static void
on_resend_timer (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  send_request (data);
}

static void
resend_later (struct request *request, uint32_t delay_ms)
{
  struct timeval delay = { delay_ms / 1000, delay_ms % 1000 * 1000 };

  if (request->timer == NULL)
    request->timer = evtimer_new (base, on_resend_timer, request);
  evtimer_add (request->timer, &delay);
}

/* Schedules a resend after a failure; returns 0 when none is allowed. */
static int
schedule_retry (struct request *request, struct evhttp_request *reply)
{
  struct evkeyvalq *headers
      = reply != NULL ? evhttp_request_get_input_headers (reply) : NULL;
  const char *advice
      = headers != NULL ? evhttp_find_header (headers, "Eel-Retry") : NULL;
  const char *retry_after
      = headers != NULL ? evhttp_find_header (headers, "Eel-Retry-After-Ms")
                        : NULL;
  const char *next_key
      = headers != NULL ? evhttp_find_header (headers, "Eel-Next-Key") : NULL;
  uint32_t delay_ms = options.ignore_advice ? 0 : options.retry_delay_ms;

  if (request->tries > options.retries)
    return 0;
  if (advice != NULL && strcmp (advice, "none") == 0 && !options.ignore_advice)
    return 0;
  if (!options.ignore_advice && retry_after != NULL
      && (uint32_t)atoi (retry_after) > delay_ms)
    delay_ms = (uint32_t)atoi (retry_after);
  if (advice != NULL && strcmp (advice, "new-key") == 0)
    {
      if (request->kind == LOAD_ORDER && next_key == NULL)
        return 0;
      if (next_key != NULL)
        snprintf (request->key, sizeof request->key, "%s", next_key);
    }
  resend_later (request, delay_ms);
  return 1;
}

static void
on_send_reply (struct evhttp_request *reply, void *data)
{
  struct send *sent = data;
  struct request *request = sent->request;
  int status = reply != NULL ? evhttp_request_get_response_code (reply) : 0;
  const char *outcome
      = status != 0 ? evhttp_find_header (
            evhttp_request_get_input_headers (reply), "Eel-Outcome")
                    : NULL;

  release_connection (sent->connection);
  free (sent);
  if (status >= 0 && status < 600)
    result.status_count[status]++;
  record (request, status == 0 ? "lost" : outcome != NULL ? outcome : "none");
  if (status == 200)
    finish_request (request, LOAD_GOOD);
  else if (!schedule_retry (request, reply))
    finish_request (request,
                    status == 0 ? LOAD_ERROR : load_outcome_of (outcome));
}

static void
add_headers (struct evkeyvalq *headers, const struct request *request)
{
  char number[32];
  const char *work_header
      = request->kind == LOAD_LONG ? options.long_ms : options.work_ms;

  evhttp_add_header (headers, "Host", "load");
  if (work_header != NULL)
    evhttp_add_header (headers, "X-Work-Ms", work_header);
  if (options.direct)
    return;
  evhttp_add_header (headers, "Eel-Service", options.service[request->kind]);
  evhttp_add_header (headers, "Eel-Class",
                     request->kind == LOAD_ORDER ? "critical" : "lookup");
  evhttp_add_header (headers, "Eel-Idempotent",
                     request->kind == LOAD_ORDER ? "no" : "yes");
  snprintf (number, sizeof number, "%u", options.timeout_ms);
  evhttp_add_header (headers, "Eel-Timeout-Ms", number);
  if (request->key[0] != 0)
    evhttp_add_header (headers, "Eel-Key", request->key);
}

static void
send_request (struct request *request)
{
  static const char *const paths[] = { "/lookup", "/order", "/report" };
  struct send *sent = calloc (1, sizeof *sent);
  struct evhttp_request *http = evhttp_request_new (on_send_reply, sent);
  struct timeval limit = { (time_t)(options.timeout_ms / 1000) + 2, 0 };

  sent->request = request;
  sent->connection = acquire_connection ();
  request->tries++;
  result.sends++;
  if (sent->connection == NULL)
    {
      evhttp_request_free (http);
      free (sent);
      finish_request (request, LOAD_ERROR);
      return;
    }
  add_headers (evhttp_request_get_output_headers (http), request);
  evhttp_connection_set_timeout_tv (sent->connection->http, &limit);
  evhttp_make_request (sent->connection->http, http,
                       request->kind == LOAD_ORDER ? EVHTTP_REQ_POST
                                                   : EVHTTP_REQ_GET,
                       paths[request->kind]);
}

static void
start_request (void)
{
  struct request *request = &requests[next_request++ % LOAD_REQUESTS_MAX];
  uint32_t bucket;

  if (request->in_use)
    return;
  memset (request, 0, sizeof *request);
  request->in_use = 1;
  request->kind = load_random_kind (&options, &rng);
  request->started_us = now_us ();
  open_requests++;
  bucket = (uint32_t)((request->started_us - started_us) / 1000
                      / options.series_ms);
  if (bucket < result.series_count)
    result.series_sent[bucket]++;
  if (is_measured (request))
    result.sent[request->kind]++;
  if (request->kind == LOAD_ORDER && !options.direct)
    {
      if (key_count == 0)
        {
          finish_request (request, LOAD_NO_KEY);
          return;
        }
      strcpy (request->key, keys[--key_count]);
    }
  send_request (request);
}

static void
tick (evutil_socket_t fd, short what, void *data)
{
  double at_s = (double)(now_us () - started_us) / 1e6;
  static double last_s;

  (void)fd;
  (void)what;
  (void)data;
  if (at_s < options.seconds)
    {
      arrivals_due += load_rate (&options, at_s) * (at_s - last_s);
      last_s = at_s;
      for (; arrivals_due >= 1; arrivals_due--)
        start_request ();
    }
  else if (open_requests == 0
           || at_s > options.seconds + options.timeout_ms / 1e3 * 2 + 3)
    event_base_loopbreak (base);
  if (options.order_share > 0 && !options.direct
      && key_count < KEYS_REFILL_BELOW && key_fetches < 4)
    fetch_keys ();
}

int
main (int argc, char **argv)
{
  struct timeval interval = { 0, TICK_US };
  struct event *ticker;

  if (!load_parse (&options, argc, argv)
      || !load_result_init (&result, &options))
    {
      fprintf (stderr, "standin_load: invalid options\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  eel_rng_init (&rng, options.seed);
  base = event_base_new ();
  if (options.records != NULL)
    records = fopen (options.records, "w");
  for (int i = 0; options.order_share > 0 && !options.direct && i < 8; i++)
    fetch_keys ();
  while (key_fetches > 0)
    event_base_loop (base, EVLOOP_ONCE);
  started_us = now_us ();
  ticker = event_new (base, -1, EV_PERSIST, tick, NULL);
  event_add (ticker, &interval);
  event_base_dispatch (base);
  load_print (&result, &options);
  if (records != NULL)
    fclose (records);
  return EXIT_SUCCESS;
}
