#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A small deployment on loopback for the cases of the review: the users' store,
 * endpoints and clients, and the project's platform daemon, one per VM
 * 127.0.0.N, as separate processes.
 */

/* Ports of each VM, from lab_port. */
enum lab_port
{
  LAB_OUTBOUND,
  LAB_INBOUND,
  LAB_READY,
  LAB_CONTROL,
  LAB_APP,
  LAB_PORTS
};

extern int lab_port;
/* 0 when TROUBLE=0. */
extern int lab_trouble;

/* Opens DIR/record.txt and a temporary folder; exits with 2 on failure. */
void lab_init (const char *dir);
/* Seconds since lab_init. */
double lab_now (void);
void lab_sleep (double seconds);
/* Writes one line with the time to the record. */
void lab_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Ends all processes, states the verdict in the record and exits with it. */
void lab_end (int verdict, const char *why) __attribute__ ((noreturn));

/* The store of PROTOCOL. */
void lab_store_start (void);
void lab_store_put (const char *key, const char *value);
void lab_store_remove (const char *key);
/* Publishes a configuration; routes is the list's content. */
void lab_config (int version, const char *routes, const char *services);

/* A buffered connection. */
struct lab_conn
{
  int fd;
  char data[65536];
  size_t begin;
  size_t end;
};

struct lab_request
{
  char method[16];
  char target[512];
  char id[80];
  char expected[80];
  char caller[80];
  long remaining_ms;
  /* -1: none; -2: chunks. */
  long long length;
  /* Bytes of the body that were read. */
  long long read;
  long long chunk_left;
  int body_done;
};

struct lab_endpoint
{
  int vm;
  char id[64];
  const char *service;
  const char *zone;
  int slots;
  int buffer_bytes;
  int listener;
  volatile int down;
  /* Returns 0 to keep the connection. */
  int (*serve) (struct lab_endpoint *endpoint,
                struct lab_conn *conn,
                struct lab_request *request);
  int fds[4096];
  int fd_count;
};

/* Listens at the VM's application address and registers as ready. */
void lab_endpoint_start (struct lab_endpoint *endpoint);
/* Ends at once: the listener and every connection are closed. */
void lab_endpoint_crash (struct lab_endpoint *endpoint);
/* Reads up to bytes of the body; 0 at its end, -1 when the connection ended. */
long lab_body (struct lab_conn *conn,
               struct lab_request *request,
               char *data,
               size_t bytes);
/* Sends a signed answer with a length; 0 on failure. */
int lab_answer (struct lab_conn *conn,
                const struct lab_request *request,
                int status,
                const char *body);

/* Starts the project's daemon on a VM. */
void lab_node_start (int vm, const char *service, const char *zone);
pid_t lab_node_pid (int vm);
/* Waits until the node is ready; ends with 2 after 10 s. */
void lab_node_wait (int vm);
int lab_node_is_ready (int vm);
/* Returns 1 while the process runs; otherwise its wait status in *status. */
int lab_node_runs (int vm, int *status);
long lab_node_memory_kb (int vm);
int lab_node_descriptors (int vm);

struct lab_reply
{
  int status;
  char id[80];
  char signature[80];
  int closes;
  /* The whole answer came. */
  int complete;
  /* Its first bytes; the count is that of all. */
  char body[4096];
  size_t bytes;
};

/* Connects to the node's address for callers; -1 on failure. */
int lab_connect (int vm);
void lab_conn_init (struct lab_conn *conn, int fd);
/* Reads one answer within the time; returns reply->complete. */
int lab_reply_read (struct lab_conn *conn,
                    struct lab_reply *reply,
                    double within_s);
int lab_send (int fd, const void *data, size_t bytes);
int lab_sendf (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* One request without a body on a new connection; 0 without an answer. */
int lab_ask (int vm,
             const char *method,
             const char *target,
             const char *id,
             long remaining_ms,
             struct lab_reply *reply);
void lab_thread (void *(*run) (void *), void *data);

#endif
