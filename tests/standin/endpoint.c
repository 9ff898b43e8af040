#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/*
 * Stand-in for an endpoint of the platform: endpoint IP PORT ID WORK_MS [all].
 * It executes requests whose X-Expected-Instance is its id, refuses others with
 * 421, and prints one line per execution: request id, method, target, caller
 * service and, with "all", team, authorization, Unix time in ms.  A target with
 * "status=500" fails, "/crash" ends the process, "/long" takes 3.5 s; "/raw" is
 * answered with the bytes of the request's body.
 * Without arguments it prints the first port of a free range.
 */

/* Size of the free range: ports on each of the addresses from 127.0.0.1. */
#define PORTS_PER_VM 8
#define VM_COUNT 16

static struct
{
  struct event_base *base;
  const char *id;
  struct timeval work_time;
  int prints_all;
} endpoint;

static const struct timeval long_work_time = { .tv_sec = 3, .tv_usec = 500000 };

static const char *
request_header (struct evhttp_request *request, const char *name)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (request), name);

  return value == NULL ? "-" : value;
}

static void
add_reply_header (struct evhttp_request *request,
                  const char *name,
                  const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (request), name, value);
}

static void
send_answer (evutil_socket_t fd, short what, void *data)
{
  struct evhttp_request *request = data;
  struct evbuffer *body = evbuffer_new ();

  (void)fd;
  (void)what;
  evbuffer_add_printf (body, "ran at %s\n", endpoint.id);
  add_reply_header (request, "X-Attempt-Id",
                    request_header (request, "X-Attempt-Id"));
  add_reply_header (request, "X-Response-Signature", "signed");
  if (strstr (evhttp_request_get_uri (request), "status=500") != NULL)
    evhttp_send_reply (request, 500, "Failed", body);
  else
    evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}

static const char *
method_name (struct evhttp_request *request)
{
  switch (evhttp_request_get_command (request))
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    default:
      return "OTHER";
    }
}

/* An Authorization field has two words. */
static void
print_team (struct evhttp_request *request)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  printf (" %s %s %" PRId64, request_header (request, "X-Tenant"),
          strcmp (request_header (request, "Authorization"), "-") == 0
              ? "-"
              : "authorized",
          (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000);
}

/* evhttp takes no further request on the connection; it frees this one once the
   peer has closed too. */
static void
send_body_back (struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  evutil_socket_t fd = bufferevent_getfd (evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (request)));

  evbuffer_write (body, fd);
  shutdown (fd, SHUT_WR);
}

static void
on_request (struct evhttp_request *request, void *data)
{
  (void)data;
  if (strcmp (request_header (request, "X-Expected-Instance"), endpoint.id)
      != 0)
    {
      add_reply_header (request, "X-Instance-Id", endpoint.id);
      evhttp_send_reply (request, 421, "Misdirected Request", NULL);
      return;
    }
  printf ("%s %s %s %s", request_header (request, "X-Attempt-Id"),
          method_name (request), evhttp_request_get_uri (request),
          request_header (request, "X-Caller-Service"));
  if (endpoint.prints_all)
    print_team (request);
  printf ("\n");
  fflush (stdout);
  if (strstr (evhttp_request_get_uri (request), "/crash") != NULL)
    _exit (EXIT_FAILURE);
  if (strstr (evhttp_request_get_uri (request), "/raw") != NULL)
    {
      send_body_back (request);
      return;
    }
  event_base_once (endpoint.base, -1, EV_TIMEOUT, send_answer, request,
                   strstr (evhttp_request_get_uri (request), "/long") != NULL
                       ? &long_work_time
                       : &endpoint.work_time);
}

static int
can_bind (uint32_t ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (ip),
                                 .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int bound = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;

  close (fd);
  return bound;
}

/*
 * Returns an ephemeral port from which PORTS_PER_VM consecutive ports are free
 * on all VM_COUNT addresses.
 */
static int
find_free_ports (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t bytes = sizeof address;

  for (;;)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      int port;
      int n = 0;

      bind (fd, (struct sockaddr *)&address, sizeof address);
      getsockname (fd, (struct sockaddr *)&address, &bytes);
      close (fd);
      port = ntohs (address.sin_port);
      address.sin_port = 0;
      while (n < PORTS_PER_VM * VM_COUNT
             && can_bind (INADDR_LOOPBACK + (uint32_t)(n / PORTS_PER_VM),
                          port + n % PORTS_PER_VM))
        n++;
      if (n == PORTS_PER_VM * VM_COUNT && port + PORTS_PER_VM < 65536)
        return port;
    }
}

int
main (int argc, char **argv)
{
  struct evhttp *http;

  if (argc == 1)
    {
      printf ("%d\n", find_free_ports ());
      return 0;
    }
  if (argc != 5 && argc != 6)
    return 64;
  endpoint.prints_all = argc == 6;
  signal (SIGPIPE, SIG_IGN);
  endpoint.id = argv[3];
  endpoint.work_time.tv_usec = atoi (argv[4]) * 1000;
  endpoint.base = event_base_new ();
  http = evhttp_new (endpoint.base);
  evhttp_set_gencb (http, on_request, NULL);
  if (evhttp_bind_socket (http, argv[1], (ev_uint16_t)atoi (argv[2])) != 0)
    return 1;
  event_base_dispatch (endpoint.base);
  return 0;
}
