#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lab-2/lab2.h"

/*
 * Three nodes are stopped and started in turn.  While one stops, callers still
 * send it safe requests of capped tenants, two behind each other on a
 * connection, the first of them with little time left.  Orders of other callers
 * are at work at an endpoint all the while.
 */

#define MACHINES 3
#define ORDERS 8
#define ORDER_MS 1800
#define TENANTS 73
/* The tenant that sends steadily; the others send now and then. */
#define STEADY 0
#define STEADY_INTERVAL_MS 20
#define TRY_MS 2300
#define LEFT_MS 120
#define BEHIND_MS 33

static struct
{
  pthread_mutex_t lock;
  int machine;
  int is_steady;
  int steady_served;
  int steady_refused;
  int open;
  int pairs;
  int ran[MACHINES + 1][ORDERS];
  int is_lost[MACHINES + 1][ORDERS];
  int next_id;
  int next_tenant;
} state = { .lock = PTHREAD_MUTEX_INITIALIZER };

struct order
{
  int machine;
  int number;
};

static int
next (int *counter)
{
  int value;

  pthread_mutex_lock (&state.lock);
  value = ++*counter;
  pthread_mutex_unlock (&state.lock);
  return value;
}

static void
serve (struct lab_endpoint *endpoint, struct lab_call *call)
{
  int machine;
  int number;

  lab_call_drain (call);
  if (sscanf (call->target, "/order/%d/%d", &machine, &number) == 2)
    {
      lab_record ("endpoint %s runs order %d that came to node %d",
                  endpoint->id, number, machine);
      pthread_mutex_lock (&state.lock);
      state.ran[machine][number]++;
      pthread_mutex_unlock (&state.lock);
      lab_sleep_ms (ORDER_MS);
    }
  else
    {
      lab_record ("endpoint %s runs lookup %s", endpoint->id, call->attempt_id);
      lab_sleep_ms (2);
    }
  if (!lab_call_answer (call, 200, "", "done", 4))
    call->must_close = 1;
}

static int
send_lookup (struct lab_conn *conn, int tenant, int left_ms)
{
  int id = next (&state.next_id);

  lab_record ("lookup l-%d of tenant %d is sent on connection %d, %d ms left",
              id, tenant, conn->fd, left_ms);
  return lab_send_text (conn,
                        "GET /status/ HTTP/1.1\r\nHost: " LAB_HOST
                        "\r\nX-Attempt-Id: l-%d\r\n"
                        "X-Deadline-Remaining-Ms: %d\r\n"
                        "Authorization: Bearer key-%d\r\n\r\n",
                        id, left_ms, tenant);
}

static enum lab_end
read_lookup (struct lab_conn *conn, struct lab_answer *answer, int wait_ms)
{
  enum lab_end end = lab_read (conn, answer, wait_ms);
  char id[64] = "";

  if (end == LAB_ANSWER)
    lab_field (answer->head, "X-Attempt-Id", id, sizeof id);
  lab_record ("connection %d: %s, status %d %s", conn->fd, lab_end_name (end),
              end == LAB_ANSWER ? answer->status : 0, id);
  return end;
}

/* Requests of one tenant at a steady rate, each on a connection of its own. */
static void *
send_steadily (void *data)
{
  struct lab_conn *conn = calloc (1, sizeof *conn);
  struct lab_answer *answer = calloc (1, sizeof *answer);

  (void)data;
  for (;;)
    {
      int is_on;
      int machine;

      lab_sleep_ms (STEADY_INTERVAL_MS);
      pthread_mutex_lock (&state.lock);
      is_on = state.is_steady;
      machine = state.machine;
      pthread_mutex_unlock (&state.lock);
      if (!is_on || !lab_connect (conn, machine))
        continue;
      if (send_lookup (conn, STEADY, 2000)
          && read_lookup (conn, answer, 2500) == LAB_ANSWER)
        next (answer->status == 200 ? &state.steady_served
                                    : &state.steady_refused);
      lab_close (conn);
    }
  return NULL;
}

static void *
place_order (void *data)
{
  const struct order *order = data;
  struct lab_conn *conn = calloc (1, sizeof *conn);
  struct lab_answer *answer = calloc (1, sizeof *answer);
  enum lab_end end = LAB_CLOSED;

  lab_record ("order %d is sent to node %d", order->number, order->machine);
  if (lab_connect (conn, order->machine)
      && lab_send_text (conn,
                        "POST /order/%d/%d HTTP/1.1\r\nHost: " LAB_HOST
                        "\r\nX-Attempt-Id: o-%d-%d\r\n"
                        "X-Deadline-Remaining-Ms: 5000\r\n"
                        "Authorization: Bearer key-%d\r\n"
                        "Content-Length: 0\r\n\r\n",
                        order->machine, order->number, order->machine,
                        order->number, STEADY))
    end = lab_read (conn, answer, 6000);
  lab_record ("order %d at node %d: %s, status %d", order->number,
              order->machine, lab_end_name (end),
              end == LAB_ANSWER ? answer->status : 0);
  pthread_mutex_lock (&state.lock);
  state.is_lost[order->machine][order->number] = end != LAB_ANSWER;
  state.open--;
  pthread_mutex_unlock (&state.lock);
  lab_close (conn);
  free (conn);
  free (answer);
  return NULL;
}

/* Tenants but the steady one, in turn. */
static int
other_tenant (void)
{
  return 1 + next (&state.next_tenant) % (TENANTS - 1);
}

/*
 * A lookup, answered, then two behind each other on another connection: one of
 * a tenant that has not sent for long, with little time left, and one of the
 * steady tenant.
 */
static void
send_pair (int machine)
{
  static struct lab_conn first;
  static struct lab_conn pair;
  static struct lab_answer answer;

  if (lab_connect (&first, machine))
    {
      if (send_lookup (&first, other_tenant (), 2000))
        read_lookup (&first, &answer, 1000);
      lab_close (&first);
    }
  if (lab_connect (&pair, machine))
    {
      if (send_lookup (&pair, other_tenant (), LEFT_MS))
        {
          lab_sleep_ms (BEHIND_MS);
          if (send_lookup (&pair, STEADY, 2000))
            next (&state.pairs);
          while (read_lookup (&pair, &answer, 60) == LAB_ANSWER)
            ;
        }
      lab_close (&pair);
    }
}

static void
set_steady (int machine)
{
  pthread_mutex_lock (&state.lock);
  state.machine = machine;
  state.is_steady = machine != 0;
  pthread_mutex_unlock (&state.lock);
}

/* Stops a node, or only plays the same traffic; returns 1 when it crashed. */
static int
play_machine (int machine, char *how, size_t bytes)
{
  static struct order orders[MACHINES + 1][ORDERS];
  int64_t until_ms;
  int has_ended = 0;

  set_steady (machine);
  lab_sleep_ms (1500);
  state.open = ORDERS;
  for (int i = 0; i < ORDERS; i++)
    {
      orders[machine][i] = (struct order){ machine, i };
      lab_thread (place_order, &orders[machine][i]);
    }
  lab_sleep_ms (300);
  if (lab_has_trouble ())
    lab_node_signal (machine, SIGTERM);
  until_ms = lab_now_ms () + TRY_MS;
  while (lab_now_ms () < until_ms && !has_ended)
    {
      send_pair (machine);
      has_ended = lab_node_has_ended (machine, how, bytes);
    }
  set_steady (0);
  for (int i = 0; i < 500; i++)
    {
      int left;

      pthread_mutex_lock (&state.lock);
      left = state.open;
      pthread_mutex_unlock (&state.lock);
      if (left == 0 && (has_ended || !lab_has_trouble ()))
        break;
      has_ended = has_ended || lab_node_has_ended (machine, how, bytes);
      lab_sleep_ms (20);
    }
  return has_ended && strncmp (how, "exited with 0", 13) != 0;
}

static char *
make_tenants (void)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);

  for (int i = 0; i < TENANTS; i++)
    fprintf (out,
             "%s{\"name\":\"tenant-%d\",\"apiKeys\":[\"key-%d\"],"
             "\"ratePerS\":200,\"burst\":100}",
             i == 0 ? "[" : ",", i, i);
  fprintf (out, "]");
  fclose (out);
  return text;
}

int
main (int argc, char **argv)
{
  static struct lab_endpoint endpoints[MACHINES]
      = { { 1, "desk", "i-desk-1", 108, -1, serve },
          { 2, "desk", "i-desk-2", 108, -1, serve },
          { 3, "desk", "i-desk-3", 108, -1, serve } };
  char routes[2][512];
  char all[1100];
  char how[128] = "run on";
  char verdict[512];
  int lost = 0;
  int crashes = 0;

  lab_init (argc, argv);
  lab_route (routes[0], sizeof routes[0], "/status/", "safe", "desk", 5000);
  lab_route (routes[1], sizeof routes[1], "/order/", "non_idempotent", "desk",
             5000);
  snprintf (all, sizeof all, "[%s,%s]", routes[0], routes[1]);
  lab_config (1, all, make_tenants ());
  for (int i = 0; i < MACHINES; i++)
    lab_endpoint_start (&endpoints[i]);
  for (int i = 0; i < MACHINES; i++)
    lab_node_start (i + 1, "desk");
  lab_wait_ready (MACHINES);
  lab_thread (send_steadily, NULL);
  for (int machine = 1; machine <= MACHINES && crashes == 0; machine++)
    {
      crashes += play_machine (machine, how, sizeof how);
      for (int i = 0; i < ORDERS; i++)
        lost += state.ran[machine][i] > 0 && state.is_lost[machine][i];
      if (lab_has_trouble () && crashes == 0)
        {
          lab_node_start (machine, "desk");
          lab_wait_ready (MACHINES);
        }
    }
  snprintf (verdict, sizeof verdict,
            "%d pairs, %d steady lookups served and %d refused; the node that "
            "stopped last %s; %d orders that an endpoint ran ended without an "
            "answer",
            state.pairs, state.steady_served, state.steady_refused, how, lost);
  if (state.steady_served == 0)
    lab_exit (LAB_CANNOT_RUN, "no lookup was served");
  lab_exit (lost > 0 ? LAB_BROKEN : LAB_HELD, verdict);
}
