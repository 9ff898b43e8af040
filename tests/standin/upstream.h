#ifndef EEL_TESTS_STANDIN_UPSTREAM_H
#define EEL_TESTS_STANDIN_UPSTREAM_H

#include <event2/event.h>
#include <event2/http.h>
#include <stddef.h>
#include <stdint.h>

#define JOBS_MAX 2048
#define NODE_CONNECTIONS 256
#define CONNECTIONS_MAX 4096

/* A queued or running request. */
struct job
{
  uint8_t used;
  uint8_t running;
  uint8_t cancellable;
  uint8_t tries;
  uint64_t arrival;
  /* NULL once the caller has disconnected. */
  struct evhttp_request *request;
  struct event *timer;
  double work_ms;
  struct job *next;
};

/* Number of executions of one key. */
struct run
{
  char key[128];
  uint32_t count;
};

struct standin
{
  struct event_base *base;
  struct evhttp *http;
  uint32_t slots;
  uint32_t queue_max;
  double work_ms;
  double speed;
  double cold_start_s;
  int64_t started_us;
  int draining;
  int exit_on_crash;
  /* Load that /health reports: "true", "zero", "full" or "frozen". */
  const char *load_report;
  char *next_service;
  uint16_t node_port;
  /* Attempts per nested call, for the baseline without overload control. */
  uint32_t tries_max;
  struct evhttp_connection *node_connections[NODE_CONNECTIONS];
  uint32_t next_node_connection;
  struct job jobs[JOBS_MAX];
  struct job *free_jobs;
  uint32_t running;
  uint32_t waiting;
  uint64_t arrivals;
  uint64_t attempts;
  uint64_t refused;
  uint64_t cancelled;
  uint64_t crashes;
  uint64_t nested_done;
  double work_done_ms;
  double wasted_ms;
  struct run *runs;
  size_t run_count;
  size_t run_capacity;
};

typedef void (*standin_callback) (struct evhttp_request *request, void *data);

/* Parses the options, opens both ports and prints them. */
int standin_start (struct standin *standin,
                   int argc,
                   char **argv,
                   standin_callback on_request,
                   standin_callback on_health);
struct evhttp_connection *standin_node_connection (struct standin *standin);
void standin_count_run (struct standin *standin, const char *key);
/* Share of full speed during a cold start, from 0.1 to 1. */
double standin_warmup_factor (const struct standin *standin);
void
standin_health_text (const struct standin *standin, char *text, size_t bytes);
/* Shuts down client connections without replies, as a crash would. */
void standin_drop_connections (struct standin *standin);

#endif
