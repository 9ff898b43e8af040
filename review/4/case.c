#include "../lab/lab.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * The operator splits a route among nine services.  The nodes take no
 * configuration with such a route, nor any later one that still has it: all of
 * them go on with the old one.
 */

#define FIRST_VM 2
#define VMS 9
#define CONFIG_APPLY_S 2.0
#define WATCHED_S 12.0

#define ROUTE_HEAD                                                             \
  "\"host\":\"shop.example\",\"kind\":\"safe\",\"timeoutMs\":5000,"            \
  "\"targetLatencyMs\":1200,\"priority\":2,\"attempts\":2,"

static struct lab_endpoint endpoints[VMS];
static char names[VMS][16];
static char service_list[VMS * 40];
static int asked;
static int old;

static int
serve (struct lab_endpoint *self,
       struct lab_conn *conn,
       struct lab_request *request)
{
  lab_sleep (0.01);
  return lab_answer (conn, request, 200, self->service) ? 0 : -1;
}

static void
route (char *out, const char *prefix, const char *service)
{
  sprintf (out + strlen (out),
           "%s{\"name\":\"r%d\"," ROUTE_HEAD
           "\"prefix\":\"%s\",\"service\":\"%s\"}",
           out[0] == 0 ? "" : ",", (int)strlen (out), prefix, service);
}

static void
split (char *out, const char *prefix, int parts)
{
  sprintf (out + strlen (out),
           "%s{\"name\":\"r%d\"," ROUTE_HEAD
           "\"prefix\":\"%s\",\"trafficSplit\":[",
           out[0] == 0 ? "" : ",", (int)strlen (out), prefix);
  for (int i = 0; i < parts; i++)
    sprintf (out + strlen (out), "%s{\"service\":\"%s\",\"weight\":10}",
             i == 0 ? "" : ",", names[i]);
  strcat (out, "]}");
}

/* Asks each node; a status other than the expected one is what only an older
   configuration allows. */
static void
ask_all (const char *target, int expected)
{
  for (int vm = FIRST_VM; vm < FIRST_VM + VMS; vm++)
    {
      struct lab_reply reply;
      char id[32];
      int is_old;

      snprintf (id, sizeof id, "q%d", asked++);
      if (!lab_ask (vm, "GET", target, id, 2000, &reply))
        {
          lab_record ("%s %s at vm=%d: no answer", id, target, vm);
          continue;
        }
      is_old = expected == 200 ? reply.status == 404 : reply.status == 200;
      old += is_old;
      lab_record ("%s %s at vm=%d: status=%d run_by=%s%s", id, target, vm,
                  reply.status, reply.status == 200 ? reply.body : "-",
                  is_old ? " as only an older version allows" : "");
    }
}

int
main (int argc, char **argv)
{
  char routes[4096] = "";
  int parts;
  double end;

  lab_init (argc > 1 ? argv[1] : "review/4");
  parts = lab_trouble ? 9 : 8;
  lab_store_start ();
  for (int i = 0; i < VMS; i++)
    {
      sprintf (names[i], "service%d", i + 1);
      sprintf (service_list + strlen (service_list), "%s{\"name\":\"%s\"}",
               i == 0 ? "" : ",", names[i]);
      endpoints[i] = (struct lab_endpoint){ .vm = FIRST_VM + i,
                                            .service = names[i],
                                            .zone = i % 2 == 0 ? "z1" : "z2",
                                            .slots = 87,
                                            .serve = serve };
      snprintf (endpoints[i].id, sizeof endpoints[i].id, "i-%d", FIRST_VM + i);
      lab_endpoint_start (&endpoints[i]);
    }
  route (routes, "/kit/", names[0]);
  route (routes, "/old/", names[1]);
  lab_config (1, routes, service_list);
  for (int i = 0; i < VMS; i++)
    lab_node_start (FIRST_VM + i, names[i], endpoints[i].zone);
  for (int i = 0; i < VMS; i++)
    lab_node_wait (FIRST_VM + i);
  lab_sleep (6);
  ask_all ("/kit/x", 200);
  ask_all ("/old/x", 200);
  if (old > 0)
    lab_end (2, "the first configuration isn't in force");

  lab_record ("the operator splits /kit/ among %d services, drops /old/ and "
              "adds /new/",
              parts);
  routes[0] = 0;
  split (routes, "/kit/", parts);
  route (routes, "/new/", names[2]);
  lab_config (2, routes, service_list);
  end = lab_now () + WATCHED_S;
  lab_sleep (CONFIG_APPLY_S + 0.05);
  while (lab_now () < end)
    {
      ask_all ("/kit/x", 200);
      ask_all ("/new/x", 200);
      ask_all ("/old/x", 404);
      lab_sleep (1);
    }
  lab_record ("the operator adds /more/ and changes nothing else");
  route (routes, "/more/", names[3]);
  lab_config (5, routes, service_list);
  end = lab_now () + WATCHED_S;
  lab_sleep (CONFIG_APPLY_S + 0.05);
  while (lab_now () < end)
    {
      ask_all ("/more/x", 200);
      ask_all ("/old/x", 404);
      lab_sleep (1);
    }
  lab_record ("asked=%d as_only_an_older_version_allows=%d", asked, old);
  if (old > 0)
    lab_end (1, "nodes in touch went on with the old configuration");
  lab_end (0, "the new configurations were in force in time");
}
