#include "tests/standin/load.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

/*
 * Open-loop HTTP load: requests are sent at their planned times whatever the
 * answers do, as many independent callers would.
 */

#define TICK_US 1000
#define KEYS_LOW 512
#define KEYS_BATCH 64

/* A whole request with all its resends. */
struct request
{
  uint8_t used;
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

/* Which connection a send uses, for its end. */
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
static uint32_t request_turn;
static uint32_t open_requests;
static struct connection connections[LOAD_CONNECTIONS_MAX];
static uint32_t connection_count;
static struct connection *idle[LOAD_PORTS_MAX];
static char keys[LOAD_KEYS_MAX][LOAD_KEY_BYTES];
static uint32_t key_count;
static uint32_t key_fetches;
static int64_t started_us;
static double due;
static FILE *records;

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static struct connection *
take_connection (void)
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
give_connection (struct connection *connection)
{
  connection->next_idle = idle[connection->port_index];
  idle[connection->port_index] = connection;
}

static void
keys_done (struct evhttp_request *reply, void *data)
{
  struct connection *connection = data;
  struct evbuffer *body;
  char *line;

  give_connection (connection);
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
  struct connection *connection = take_connection ();
  struct evhttp_request *request;
  char path[64];

  if (connection == NULL)
    return;
  request = evhttp_request_new (keys_done, connection);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     "load");
  snprintf (path, sizeof path, "/eel/v1/keys?count=%d", KEYS_BATCH);
  key_fetches++;
  evhttp_connection_set_timeout (connection->http, 2);
  if (evhttp_make_request (connection->http, request, EVHTTP_REQ_POST, path)
      != 0)
    {
      give_connection (connection);
      key_fetches--;
    }
}

static int
in_measured_time (const struct request *request)
{
  return request->started_us - started_us >= (int64_t)(options.warmup_s * 1e6);
}

static void
finish (struct request *request, enum load_end end)
{
  int64_t latency_us = now_us () - request->started_us;
  uint32_t cell = (uint32_t)((request->started_us - started_us) / 1000
                             / options.series_ms);

  if (end == LOAD_GOOD && latency_us > (int64_t)options.timeout_ms * 1000)
    end = LOAD_LATE;
  if (end == LOAD_GOOD && cell < result.series_count)
    result.series_good[cell]++;
  if (in_measured_time (request))
    {
      result.ends[request->kind][end]++;
      if (end == LOAD_GOOD)
        load_result_latency (&result, request->kind, (uint32_t)latency_us);
    }
  if (request->timer != NULL)
    event_free (request->timer);
  request->timer = NULL;
  request->used = 0;
  open_requests--;
}

static void
record (const struct request *request, const char *told)
{
  if (records != NULL && request->key[0] != 0)
    fprintf (records, "%s %s\n", request->key, told);
}

static void send_request (struct request *request);

static void
resend_due (evutil_socket_t fd, short what, void *data)
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
    request->timer = evtimer_new (base, resend_due, request);
  evtimer_add (request->timer, &delay);
}

/* Chooses the next send after a failure; 0 when there is none. */
static int
try_again (struct request *request, struct evhttp_request *reply)
{
  struct evkeyvalq *headers
      = reply != NULL ? evhttp_request_get_input_headers (reply) : NULL;
  const char *advice
      = headers != NULL ? evhttp_find_header (headers, "Eel-Retry") : NULL;
  const char *after = headers != NULL
                          ? evhttp_find_header (headers, "Eel-Retry-After-Ms")
                          : NULL;
  const char *next
      = headers != NULL ? evhttp_find_header (headers, "Eel-Next-Key") : NULL;
  uint32_t delay_ms = options.hard ? 0 : options.retry_delay_ms;

  if (request->tries > options.retries)
    return 0;
  if (advice != NULL && strcmp (advice, "none") == 0 && !options.hard)
    return 0;
  if (!options.hard && after != NULL && (uint32_t)atoi (after) > delay_ms)
    delay_ms = (uint32_t)atoi (after);
  if (advice != NULL && strcmp (advice, "new-key") == 0)
    {
      if (request->kind == LOAD_ORDER && next == NULL)
        return 0;
      if (next != NULL)
        snprintf (request->key, sizeof request->key, "%s", next);
    }
  resend_later (request, delay_ms);
  return 1;
}

static void
send_done (struct evhttp_request *reply, void *data)
{
  struct send *sent = data;
  struct request *request = sent->request;
  int status = reply != NULL ? evhttp_request_get_response_code (reply) : 0;
  const char *outcome
      = status != 0 ? evhttp_find_header (
            evhttp_request_get_input_headers (reply), "Eel-Outcome")
                    : NULL;

  give_connection (sent->connection);
  free (sent);
  if (status >= 0 && status < 600)
    result.status_count[status]++;
  record (request, status == 0 ? "lost" : outcome != NULL ? outcome : "none");
  if (status == 200)
    finish (request, LOAD_GOOD);
  else if (!try_again (request, reply))
    finish (request, status == 0 ? LOAD_ERROR : load_end_of (outcome));
}

static void
add_headers (struct evkeyvalq *headers, const struct request *request)
{
  char number[32];
  const char *work
      = request->kind == LOAD_LONG ? options.long_ms : options.work_ms;

  evhttp_add_header (headers, "Host", "load");
  if (work != NULL)
    evhttp_add_header (headers, "X-Work-Ms", work);
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
  struct evhttp_request *http = evhttp_request_new (send_done, sent);
  struct timeval limit = { (time_t)(options.timeout_ms / 1000) + 2, 0 };

  sent->request = request;
  sent->connection = take_connection ();
  request->tries++;
  result.sends++;
  if (sent->connection == NULL)
    {
      evhttp_request_free (http);
      free (sent);
      finish (request, LOAD_ERROR);
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
begin_request (void)
{
  struct request *request = &requests[request_turn++ % LOAD_REQUESTS_MAX];
  uint32_t cell;

  if (request->used)
    return;
  memset (request, 0, sizeof *request);
  request->used = 1;
  request->kind = load_random_kind (&options, &rng);
  request->started_us = now_us ();
  open_requests++;
  cell = (uint32_t)((request->started_us - started_us) / 1000
                    / options.series_ms);
  if (cell < result.series_count)
    result.series_sent[cell]++;
  if (in_measured_time (request))
    result.sent[request->kind]++;
  if (request->kind == LOAD_ORDER && !options.direct)
    {
      if (key_count == 0)
        {
          finish (request, LOAD_NO_KEY);
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
      due += load_rate (&options, at_s) * (at_s - last_s);
      last_s = at_s;
      for (; due >= 1; due--)
        begin_request ();
    }
  else if (open_requests == 0
           || at_s > options.seconds + options.timeout_ms / 1e3 * 2 + 3)
    event_base_loopbreak (base);
  if (options.order_share > 0 && !options.direct && key_count < KEYS_LOW
      && key_fetches < 4)
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
      fprintf (stderr, "standin_load: wrong options\n");
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
