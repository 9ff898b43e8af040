#include "../lab/lab.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Clients place an order on a kept connection and read the answer slowly: 100
 * bytes each half second for 5 s of the 6 s that they have, then the rest.
 * The order has run, but the node resets the connection while they read, and
 * the answer is lost.
 */

#define CLIENTS 10
#define FIRST_VM 2
#define VMS 2
/* Largest answer and time limit of reserva-armado. */
#define ANSWER_BYTES 30000
#define LIMIT_MS 6000
#define SLOW_FOR_S 5.0
#define SLOW_PAUSE_S 0.5
#define SLOW_BYTES 100
/* A small window, so that most of the answer waits at the node. */
#define WINDOW_BYTES 2048
/* More than this break the rule. */
#define CLOSED_MAX 3

static struct lab_endpoint endpoints[VMS];
static atomic_int runs[CLIENTS];
static atomic_int done;
static atomic_int lost;
static atomic_int failed;

static int
serve (struct lab_endpoint *self,
       struct lab_conn *conn,
       struct lab_request *request)
{
  static char body[ANSWER_BYTES + 1];
  int number;

  if (sscanf (request->target, "/order/%d", &number) == 1)
    {
      memset (body, 'a', ANSWER_BYTES);
      atomic_fetch_add (&runs[number], 1);
      lab_record ("request %s runs at %s", request->id, self->id);
      lab_sleep (0.07);
      return lab_answer (conn, request, 200, body) ? 0 : -1;
    }
  return lab_answer (conn, request, 200, "found\n") ? 0 : -1;
}

static int
connect_small (int vm)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int bytes = WINDOW_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK - 1 + (uint32_t)vm);
  address.sin_port = htons ((uint16_t)(lab_port + LAB_OUTBOUND));
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Reads a little at a time; keeps what it read for the answer. */
static void
read_slowly (struct lab_conn *conn, double until_s)
{
  while (lab_now () < until_s)
    {
      ssize_t got;

      lab_sleep (SLOW_PAUSE_S);
      got = recv (conn->fd, conn->data + conn->end, SLOW_BYTES, MSG_DONTWAIT);
      if (got > 0)
        conn->end += (size_t)got;
    }
}

static void *
client (void *data)
{
  int number = (int)(intptr_t)data;
  int vm = FIRST_VM + number % VMS;
  struct lab_conn *conn = malloc (sizeof *conn);
  struct lab_reply reply;
  int fd = connect_small (vm);
  int complete;
  double sent_s;

  lab_conn_init (conn, fd);
  lab_sendf (fd,
             "GET /kit/x HTTP/1.1\r\nHost: shop.example\r\n"
             "X-Attempt-Id: look%d\r\nX-Deadline-Remaining-Ms: %d\r\n\r\n",
             number, LIMIT_MS);
  lab_record ("look%d sent to vm=%d", number, vm);
  if (!lab_reply_read (conn, &reply, 6) || reply.status != 200 || reply.closes)
    atomic_fetch_add (&failed, 1);
  lab_record ("look%d: status=%d complete=%d", number, reply.status,
              reply.complete);
  lab_sendf (fd,
             "POST /order/%d HTTP/1.1\r\nHost: shop.example\r\n"
             "X-Attempt-Id: order%d\r\nX-Deadline-Remaining-Ms: %d\r\n"
             "Content-Length: 5\r\n\r\nboxes",
             number, number, LIMIT_MS);
  sent_s = lab_now ();
  lab_record ("order%d sent to vm=%d on a kept connection", number, vm);
  if (lab_trouble)
    read_slowly (conn, sent_s + SLOW_FOR_S);
  complete
      = lab_reply_read (conn, &reply, sent_s + LIMIT_MS / 1000.0 - lab_now ());
  lab_record ("order%d after %.2f s: status=%d bytes=%zu complete=%d runs=%d",
              number, lab_now () - sent_s, reply.status, reply.bytes, complete,
              atomic_load (&runs[number]));
  if (!complete && atomic_load (&runs[number]) > 0)
    atomic_fetch_add (&lost, 1);
  if (complete && reply.status != 200)
    atomic_fetch_add (&failed, 1);
  close (fd);
  free (conn);
  atomic_fetch_add (&done, 1);
  return NULL;
}

int
main (int argc, char **argv)
{
  lab_init (argc > 1 ? argv[1] : "review/5");
  lab_store_start ();
  lab_config (
      1,
      "{\"name\":\"r1\",\"host\":\"shop.example\",\"prefix\":\"/kit/\","
      "\"kind\":\"safe\",\"timeoutMs\":6000,\"targetLatencyMs\":1500,"
      "\"priority\":2,\"service\":\"shop\",\"attempts\":2},"
      "{\"name\":\"r2\",\"host\":\"shop.example\",\"prefix\":\"/order/\","
      "\"kind\":\"non_idempotent\",\"timeoutMs\":6000,"
      "\"targetLatencyMs\":1500,\"priority\":0,\"service\":\"shop\","
      "\"attempts\":2}",
      "{\"name\":\"shop\",\"healthCheckPath\":\"/health\","
      "\"maxConnections\":1300}");
  for (int i = 0; i < VMS; i++)
    {
      endpoints[i] = (struct lab_endpoint){ .vm = FIRST_VM + i,
                                            .service = "shop",
                                            .zone = i % 2 == 0 ? "z1" : "z2",
                                            .slots = 200,
                                            .serve = serve };
      snprintf (endpoints[i].id, sizeof endpoints[i].id, "i-%d", FIRST_VM + i);
      lab_endpoint_start (&endpoints[i]);
    }
  for (int i = 0; i < VMS; i++)
    lab_node_start (FIRST_VM + i, "shop", endpoints[i].zone);
  for (int i = 0; i < VMS; i++)
    lab_node_wait (FIRST_VM + i);
  lab_sleep (4);
  for (int i = 0; i < CLIENTS; i++)
    lab_thread (client, (void *)(intptr_t)i);
  for (int i = 0; i < 200 && atomic_load (&done) < CLIENTS; i++)
    lab_sleep (0.1);
  lab_record ("orders=%d run_and_answer_lost=%d failed=%d", CLIENTS,
              atomic_load (&lost), atomic_load (&failed));
  if (atomic_load (&done) < CLIENTS || atomic_load (&failed) > 0)
    lab_end (2, "a client failed in another way");
  if (atomic_load (&lost) > CLOSED_MAX)
    lab_end (1, "connections were closed without the answers of orders");
  lab_end (0, "the answers came");
}
