#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "tests/standin/upstream.h"

/*
 * Stand-in for an upstream: slots, service times, a short queue, shedding,
 * deadlines, cancellation, drain, a crash on a marked request (X-Crash), and
 * nested calls through its own node.
 */

static struct standin upstream = {
  .slots = 75,
  .queue_max = 16,
  .work_ms = 5,
  .speed = 1.0,
};

static int64_t
wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static const char *
header (struct evhttp_request *request, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request), name);
}

static double
header_number (struct evhttp_request *request,
               const char *name,
               double fallback)
{
  const char *text = header (request, name);

  return text != NULL ? strtod (text, NULL) : fallback;
}

static void
send_text (struct evhttp_request *request, int status, const char *text)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, text, strlen (text));
  evhttp_send_reply (request, status, status == 200 ? "OK" : "Error", body);
  evbuffer_free (body);
}

static void
refuse (struct evhttp_request *request, const char *text)
{
  upstream.refused++;
  evhttp_add_header (evhttp_request_get_output_headers (request), "X-Not-Run",
                     "1");
  send_text (request, 503, text);
}

static struct job *
new_job (struct evhttp_request *request)
{
  struct job *job;

  if (upstream.free_jobs == NULL)
    return NULL;
  job = upstream.free_jobs;
  upstream.free_jobs = job->next;
  memset (job, 0, sizeof *job);
  job->used = 1;
  job->request = request;
  return job;
}

static void
free_job (struct job *job)
{
  job->used = 0;
  job->next = upstream.free_jobs;
  upstream.free_jobs = job;
}

static void start_queued_jobs (void);

/* Frees the job and its slot, then starts queued jobs. */
static void
finish_job (struct job *job)
{
  if (job->timer != NULL)
    event_free (job->timer);
  job->timer = NULL;
  if (job->running)
    upstream.running--;
  else
    upstream.waiting--;
  free_job (job);
  start_queued_jobs ();
}

static void
answer_job (struct job *job, int status)
{
  struct evhttp_request *request = job->request;
  const char *key = header (request, "Eel-Key");
  char text[256];

  snprintf (text, sizeof text, "ran %s %s\n", evhttp_request_get_uri (request),
            key != NULL ? key : "-");
  job->request = NULL;
  send_text (request, status, text);
  finish_job (job);
}

static int call_nested (struct job *job);

/* Retries a failed nested call up to tries_max, then fails the job. */
static void
on_nested_reply (struct evhttp_request *reply, void *data)
{
  struct job *job = data;
  int status = reply != NULL ? evhttp_request_get_response_code (reply) : 0;

  upstream.nested_done++;
  if (!job->used || job->request == NULL)
    {
      if (job->used)
        finish_job (job);
      return;
    }
  if (status != 200 && ++job->tries < upstream.tries_max && call_nested (job))
    return;
  if (status != 200)
    upstream.wasted_ms += job->work_ms;
  answer_job (job, status == 200 ? 200 : 502);
}

static int
call_nested (struct job *job)
{
  struct evhttp_request *nested = evhttp_request_new (on_nested_reply, job);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (nested);
  static const char *const forwarded[]
      = { "Eel-Parent", "Eel-Deadline", "X-Work-Ms" };

  evhttp_add_header (headers, "Host", "node");
  evhttp_add_header (headers, "Eel-Service", upstream.next_service);
  for (size_t i = 0; i < sizeof forwarded / sizeof forwarded[0]; i++)
    if (header (job->request, forwarded[i]) != NULL)
      evhttp_add_header (headers, forwarded[i],
                         header (job->request, forwarded[i]));
  return evhttp_make_request (standin_node_connection (&upstream), nested,
                              evhttp_request_get_command (job->request),
                              evhttp_request_get_uri (job->request))
         == 0;
}

static void
on_work_done (evutil_socket_t fd, short what, void *data)
{
  struct job *job = data;

  (void)fd;
  (void)what;
  upstream.work_done_ms += job->work_ms;
  if (job->request == NULL)
    {
      /* The caller has disconnected, so the work is wasted. */
      upstream.wasted_ms += job->work_ms;
      finish_job (job);
    }
  else if (upstream.next_service == NULL)
    answer_job (job, 200);
  else if (!call_nested (job))
    answer_job (job, 502);
}

static int
is_expired (struct job *job)
{
  return wall_ms ()
         > (int64_t)header_number (job->request, "Eel-Deadline", 9e15);
}

static void
start_job (struct job *job)
{
  double ms = header_number (job->request, "X-Work-Ms", upstream.work_ms);
  struct timeval delay;

  job->running = 1;
  upstream.running++;
  upstream.attempts++;
  standin_count_run (&upstream, header (job->request, "Eel-Key"));
  job->work_ms = ms / upstream.speed / standin_warmup_factor (&upstream);
  delay.tv_sec = (time_t)(job->work_ms / 1000);
  delay.tv_usec
      = (suseconds_t)((job->work_ms - 1000.0 * (double)delay.tv_sec) * 1000);
  job->timer = evtimer_new (upstream.base, on_work_done, job);
  evtimer_add (job->timer, &delay);
}

static void
start_queued_jobs (void)
{
  while (upstream.waiting > 0 && upstream.running < upstream.slots)
    {
      struct job *first = NULL;

      for (uint32_t i = 0; i < JOBS_MAX; i++)
        {
          struct job *job = &upstream.jobs[i];

          if (job->used && !job->running && job->request != NULL
              && (first == NULL || job->arrival < first->arrival))
            first = job;
        }
      if (first == NULL)
        return;
      upstream.waiting--;
      if (!is_expired (first))
        {
          start_job (first);
          continue;
        }
      refuse (first->request, "late\n");
      free_job (first);
    }
}

static void
connection_closed (struct evhttp_connection *connection, void *data)
{
  (void)data;
  for (uint32_t i = 0; i < JOBS_MAX; i++)
    {
      struct job *job = &upstream.jobs[i];

      if (!job->used || job->request == NULL
          || evhttp_request_get_connection (job->request) != connection)
        continue;
      upstream.cancelled++;
      job->request = NULL;
      /* A GET is cancelled at once; a running order completes unanswered. */
      if (job->cancellable || !job->running)
        {
          if (job->running)
            upstream.wasted_ms += job->work_ms;
          finish_job (job);
        }
    }
}

static void
simulate_crash (void)
{
  upstream.crashes++;
  if (upstream.exit_on_crash)
    _Exit (3);
  standin_drop_connections (&upstream);
}

static void
on_request (struct evhttp_request *request, void *data)
{
  struct job *job;

  (void)data;
  if (header (request, "X-Crash") != NULL)
    {
      standin_count_run (&upstream, header (request, "Eel-Key"));
      simulate_crash ();
      return;
    }
  if (upstream.draining)
    {
      refuse (request, "draining\n");
      return;
    }
  if (upstream.running >= upstream.slots
      && upstream.waiting >= upstream.queue_max)
    {
      refuse (request, "full\n");
      return;
    }
  job = new_job (request);
  if (job == NULL)
    {
      refuse (request, "full\n");
      return;
    }
  job->arrival = ++upstream.arrivals;
  job->cancellable = evhttp_request_get_command (request) == EVHTTP_REQ_GET;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 connection_closed, NULL);
  upstream.waiting++;
  start_queued_jobs ();
}

static void
on_health (struct evhttp_request *request, void *data)
{
  char text[128];

  (void)data;
  standin_health_text (&upstream, text, sizeof text);
  send_text (request, upstream.draining ? 503 : 200, text);
}

int
main (int argc, char **argv)
{
  if (!standin_start (&upstream, argc, argv, on_request, on_health))
    return EXIT_FAILURE;
  event_base_dispatch (upstream.base);
  return EXIT_SUCCESS;
}
