#ifndef REVIEW_LAB2_H
#define REVIEW_LAB2_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * What the scripts of this review share: a metadata store, endpoints and
 * clients in threads of the case's process, and the project's node as one
 * process a machine.  Machine N has the address LAB_NET.N; all machines use the
 * same ports.  Everything is on loopback addresses.
 */

#define LAB_MACHINES_MAX 16
#define LAB_HEAD_MAX 16384
#define LAB_HOST "shop.example"

/* Exit codes of a case. */
#define LAB_HELD 0
#define LAB_BROKEN 1
#define LAB_CANNOT_RUN 2

/* Arguments of every case: RECORD_FILE NODE_COMMAND. */
void lab_init (int argc, char **argv);
/* 0 with TROUBLE=0 in the environment. */
int lab_has_trouble (void);
int64_t lab_now_ms (void);
void lab_sleep_ms (int ms);
/* Appends a line with the time to the record. */
void lab_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Ends all processes, writes the verdict to the record and exits. */
void lab_exit (int code, const char *verdict) __attribute__ ((noreturn));

/* The store.  A value of NULL removes the item. */
void lab_put (const char *key, const char *value);
/* Routes and tenants are JSON arrays; tenants may be NULL. */
void lab_config (int version, const char *routes, const char *tenants);
/* One route of LAB_HOST as JSON; kind: safe or non_idempotent. */
void lab_route (char *out,
                size_t bytes,
                const char *prefix,
                const char *kind,
                const char *service,
                int timeout_ms);

struct lab_call;

struct lab_endpoint
{
  int machine;
  const char *service;
  char id[64];
  int slots;
  int listener;
  /* Called for each request that names this endpoint. */
  void (*serve) (struct lab_endpoint *endpoint, struct lab_call *call);
};

/* A request at an endpoint. */
struct lab_call
{
  struct lab_endpoint *endpoint;
  int fd;
  char head[LAB_HEAD_MAX];
  char method[16];
  char target[1024];
  char attempt_id[128];
  /* Body bytes that were read with the head. */
  char rest[LAB_HEAD_MAX];
  size_t rest_bytes;
  int64_t length;
  int chunked;
  /* The connection is closed, or reset, once the handler returns. */
  int must_close;
  int must_reset;
};

/* Value of a header field in a head, or an empty text. */
void lab_field (const char *head, const char *name, char *out, size_t bytes);
/* Reads body bytes of the call, at most max; returns how many, 0 at the end of
   the body, -1 when the connection ends before. */
int64_t lab_call_read (struct lab_call *call, void *data, size_t max);
/* Reads the whole body and drops it; returns its length, or -1. */
int64_t lab_call_drain (struct lab_call *call);
/* Answers with a length and the fields of a sound endpoint. */
int lab_call_answer (struct lab_call *call,
                     int status,
                     const char *fields,
                     const char *body,
                     size_t bytes);
void lab_endpoint_start (struct lab_endpoint *endpoint);
/* Writes the endpoint's entry; state: ready or draining. */
void lab_endpoint_entry (const struct lab_endpoint *endpoint,
                         const char *state);

/* Starts the node of a machine beside an endpoint of the service. */
void lab_node_start (int machine, const char *service);
/* True for a node that answers its readiness check with 200. */
int lab_node_is_ready (int machine);
/* Waits until the nodes from 1 to count are ready; gives up after 15 s. */
void lab_wait_ready (int count);
pid_t lab_node_pid (int machine);
void lab_node_signal (int machine, int signal);
/* Returns 1 when the node has ended by itself, and writes how. */
int lab_node_has_ended (int machine, char *how, size_t bytes);

struct lab_conn
{
  int fd;
  char data[65536];
  size_t bytes;
};

enum lab_end
{
  LAB_ANSWER,
  /* The connection ended before the first byte of an answer. */
  LAB_CLOSED,
  /* It ended inside an answer. */
  LAB_CUT,
  LAB_TIMED_OUT,
  /* Bytes that are no answer. */
  LAB_NO_HTTP
};

struct lab_answer
{
  int status;
  char head[LAB_HEAD_MAX];
  size_t body_bytes;
  char body[4096];
};

/* Connects to a machine's outbound address; 0 when that fails. */
int lab_connect (struct lab_conn *conn, int machine);
int lab_send (struct lab_conn *conn, const void *data, size_t bytes);
int lab_send_text (struct lab_conn *conn, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
enum lab_end
lab_read (struct lab_conn *conn, struct lab_answer *answer, int wait_ms);
void lab_close (struct lab_conn *conn);
const char *lab_end_name (enum lab_end end);

/* Runs the function in a thread of its own. */
void lab_thread (void *(*run) (void *), void *data);

#endif
