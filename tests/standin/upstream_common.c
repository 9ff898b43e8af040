#include "tests/standin/upstream.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns a connection to this upstream's node, round robin from a pool. */
struct evhttp_connection *
standin_node_connection (struct standin *standin)
{
  uint32_t i = standin->next_node_connection++ % NODE_CONNECTIONS;

  if (standin->node_connections[i] == NULL)
    {
      standin->node_connections[i] = evhttp_connection_base_new (
          standin->base, NULL, "127.0.0.1", standin->node_port);
      evhttp_connection_set_timeout (standin->node_connections[i], 30);
      evhttp_connection_set_retries (standin->node_connections[i], 0);
    }
  return standin->node_connections[i];
}

/* Counts a run of a key; requests without a key are not recorded. */
void
standin_count_run (struct standin *standin, const char *key)
{
  if (key == NULL)
    return;
  for (size_t i = standin->run_count; i-- > 0;)
    if (strcmp (standin->runs[i].key, key) == 0)
      {
        standin->runs[i].count++;
        return;
      }
  if (standin->run_count == standin->run_capacity)
    {
      standin->run_capacity = 2 * standin->run_capacity + 1024;
      standin->runs = realloc (standin->runs,
                               standin->run_capacity * sizeof *standin->runs);
    }
  snprintf (standin->runs[standin->run_count].key, sizeof standin->runs[0].key,
            "%s", key);
  standin->runs[standin->run_count++].count = 1;
}

double
standin_warmup_factor (const struct standin *standin)
{
  double up_s = (double)(now_us () - standin->started_us) / 1e6;

  if (standin->cold_start_s <= 0 || up_s >= standin->cold_start_s)
    return 1;
  return 0.1 + 0.9 * up_s / standin->cold_start_s;
}

/* Writes the load report, falsified as the --reports option selects. */
void
standin_health_text (const struct standin *standin, char *text, size_t bytes)
{
  uint32_t running = standin->running;

  if (strcmp (standin->load_report, "zero") == 0)
    running = 0;
  else if (strcmp (standin->load_report, "full") == 0)
    running = standin->slots;
  else if (strcmp (standin->load_report, "frozen") == 0)
    running = standin->slots / 2;
  snprintf (text, bytes, "%s running %u slots %u\n",
            standin->draining ? "draining" : "up", running, standin->slots);
}

/* Shuts down every connected IPv4 socket except those to the node. */
void
standin_drop_connections (struct standin *standin)
{
  struct sockaddr_in local;
  struct sockaddr_in peer;
  socklen_t bytes;

  (void)standin;
  for (int fd = 3; fd < CONNECTIONS_MAX; fd++)
    {
      bytes = sizeof local;
      if (getsockname (fd, (struct sockaddr *)&local, &bytes) != 0
          || local.sin_family != AF_INET)
        continue;
      bytes = sizeof peer;
      /* Listening sockets have no peer address. */
      if (getpeername (fd, (struct sockaddr *)&peer, &bytes) == 0
          && ntohs (peer.sin_port) != standin->node_port)
        shutdown (fd, SHUT_RDWR);
    }
}

static void
send_text (struct evhttp_request *request, const char *text, size_t count)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, text, count);
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}

static void
get_runs (struct evhttp_request *request, void *data)
{
  struct standin *standin = data;
  struct evbuffer *body = evbuffer_new ();

  for (size_t i = 0; i < standin->run_count; i++)
    evbuffer_add_printf (body, "%s %u\n", standin->runs[i].key,
                         standin->runs[i].count);
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}

static void
get_counts (struct evhttp_request *request, void *data)
{
  struct standin *standin = data;
  char text[512];
  int count
      = snprintf (text, sizeof text,
                  "attempts %llu\nrefused %llu\ncancelled %llu\ncrashes %llu\n"
                  "work_ms %.0f\nwasted_ms %.0f\nrunning %u\nwaiting %u\n",
                  (unsigned long long)standin->attempts,
                  (unsigned long long)standin->refused,
                  (unsigned long long)standin->cancelled,
                  (unsigned long long)standin->crashes, standin->work_done_ms,
                  standin->wasted_ms, standin->running, standin->waiting);

  send_text (request, text, (size_t)count);
}

static void
put_speed (struct evhttp_request *request, void *data)
{
  struct standin *standin = data;
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  double factor = 0;

  if (query != NULL && sscanf (query, "factor=%lf", &factor) == 1 && factor > 0)
    standin->speed = factor;
  send_text (request, "", 0);
}

static void
put_node (struct evhttp_request *request, void *data)
{
  struct standin *standin = data;
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  unsigned port = 0;

  /* The node starts after its upstream, so its port is set at run time. */
  if (query != NULL && sscanf (query, "port=%u", &port) == 1)
    standin->node_port = (uint16_t)port;
  send_text (request, "", 0);
}

static void
put_drain (struct evhttp_request *request, void *data)
{
  struct standin *standin = data;

  standin->draining = 1;
  send_text (request, "", 0);
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
  struct standin *standin = data;

  (void)number;
  (void)what;
  event_base_loopbreak (standin->base);
}

static int
parse_options (struct standin *standin, int argc, char **argv, int *port)
{
  static const struct option options[] = {
    { "port", 1, NULL, 'p' },    { "slots", 1, NULL, 's' },
    { "queue", 1, NULL, 'q' },   { "work-ms", 1, NULL, 'w' },
    { "speed", 1, NULL, 'f' },   { "cold-start-s", 1, NULL, 'c' },
    { "next", 1, NULL, 'n' },    { "node", 1, NULL, 'o' },
    { "reports", 1, NULL, 'r' }, { "exit-on-crash", 0, NULL, 'x' },
    { "tries", 1, NULL, 't' },   { NULL, 0, NULL, 0 },
  };
  int option;

  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 'p':
        *port = atoi (optarg);
        break;
      case 's':
        standin->slots = (uint32_t)atoi (optarg);
        break;
      case 'q':
        standin->queue_max = (uint32_t)atoi (optarg);
        break;
      case 'w':
        standin->work_ms = atof (optarg);
        break;
      case 'f':
        standin->speed = atof (optarg);
        break;
      case 'c':
        standin->cold_start_s = atof (optarg);
        break;
      case 'n':
        standin->next_service = optarg;
        break;
      case 'o':
        standin->node_port = (uint16_t)atoi (optarg);
        break;
      case 'r':
        standin->load_report = optarg;
        break;
      case 't':
        standin->tries_max = (uint32_t)atoi (optarg);
        break;
      case 'x':
        standin->exit_on_crash = 1;
        break;
      default:
        return 0;
      }
  return optind == argc;
}

static struct evhttp *
new_control (struct standin *standin)
{
  struct evhttp *control = evhttp_new (standin->base);

  evhttp_set_allowed_methods (control, EVHTTP_REQ_GET | EVHTTP_REQ_PUT);
  evhttp_set_cb (control, "/runs", get_runs, standin);
  evhttp_set_cb (control, "/counts", get_counts, standin);
  evhttp_set_cb (control, "/speed", put_speed, standin);
  evhttp_set_cb (control, "/node", put_node, standin);
  evhttp_set_cb (control, "/drain", put_drain, standin);
  return control;
}

/* Returns 0 on invalid options or when a port cannot be bound. */
int
standin_start (struct standin *standin,
               int argc,
               char **argv,
               standin_callback on_request,
               standin_callback on_health)
{
  int port = 0;
  uint16_t http_port;
  uint16_t control_port;

  standin->load_report = "true";
  for (uint32_t i = 0; i < JOBS_MAX; i++)
    {
      standin->jobs[i].next = standin->free_jobs;
      standin->free_jobs = &standin->jobs[i];
    }
  if (!parse_options (standin, argc, argv, &port))
    return 0;
  signal (SIGPIPE, SIG_IGN);
  standin->base = event_base_new ();
  standin->started_us = now_us ();
  standin->http = evhttp_new (standin->base);
  evhttp_set_cb (standin->http, "/health", on_health, NULL);
  evhttp_set_gencb (standin->http, on_request, NULL);
  http_port = listen_on (standin->http, port);
  control_port = listen_on (new_control (standin), 0);
  event_add (evsignal_new (standin->base, SIGTERM, stop, standin), NULL);
  printf ("port %u control %u\n", http_port, control_port);
  fflush (stdout);
  return http_port != 0 && control_port != 0;
}
