#define _GNU_SOURCE
#include "lab.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#ifndef NODE_PROGRAM
#define NODE_PROGRAM "target/build/eelgrasslatch-platformd"
#endif
#define VMS_MAX 64
/* Addresses that the cases use: 127.0.0.1 to 127.0.0.N. */
#define VMS_USED 12
#define ITEMS_MAX 512
/* As PROTOCOL says of the store. */
#define PAGE_ITEMS 500
#define PAGE_BYTES 1000000
#define HISTORY_S 20.0
#define CHANGES_MAX 1024

int lab_port;
int lab_trouble = 1;

static char temp_dir[256];
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t endpoint_lock = PTHREAD_MUTEX_INITIALIZER;
static double start_s;
static pid_t nodes[VMS_MAX];
static int store_port;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct item
  {
    char key[201];
    char *value;
    long long revision;
    int removed;
  } items[ITEMS_MAX];
  int count;
  long long revision;
  /* Changes that are still in the history. */
  struct
  {
    long long revision;
    double at_s;
  } changes[CHANGES_MAX];
  int change_first;
  int change_count;
  long long gone;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
            .changed = PTHREAD_COND_INITIALIZER,
            .revision = 1 };

static double
clock_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
lab_now (void)
{
  return clock_s () - start_s;
}

void
lab_sleep (double seconds)
{
  struct timespec wait = { .tv_sec = (time_t)seconds };

  wait.tv_nsec = (long)((seconds - (double)wait.tv_sec) * 1e9);
  while (nanosleep (&wait, &wait) != 0 && errno == EINTR)
    ;
}

void
lab_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8.3f ", lab_now ());
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
lab_thread (void *(*run) (void *), void *data)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, data) != 0)
    lab_end (2, "no thread");
}

static int
listen_at (int vm, int port, int buffer_bytes)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK - 1 + (uint32_t)vm);
  address.sin_port = htons ((uint16_t)port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (buffer_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 1024) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* True when the VM's port can be bound. */
static int
is_free (int vm, int port)
{
  int fd = listen_at (vm, port, 0);

  if (fd >= 0)
    close (fd);
  return fd >= 0;
}

/* Finds ports that are free on the addresses of all VMs. */
static void
find_ports (void)
{
  srand ((unsigned)getpid () ^ (unsigned)time (NULL));
  for (int try = 0; try < 200; try++)
    {
      int base = 20000 + rand () % 1200 * 8;
      int found = 1;

      for (int i = 0; i < 8 && found; i++)
        for (int vm = 1; vm <= VMS_USED && found; vm++)
          found = is_free (vm, base + i);
      if (found)
        {
          lab_port = base;
          return;
        }
    }
  lab_end (2, "no free ports");
}

void
lab_init (const char *dir)
{
  char path[512];
  const char *trouble = getenv ("TROUBLE");
  const char *tmp = getenv ("TMPDIR");
  struct rlimit files;

  start_s = clock_s ();
  signal (SIGPIPE, SIG_IGN);
  lab_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", dir);
  record = fopen (path, "we");
  if (record == NULL)
    {
      perror (path);
      exit (2);
    }
  if (getrlimit (RLIMIT_NOFILE, &files) == 0)
    {
      files.rlim_cur = files.rlim_max;
      setrlimit (RLIMIT_NOFILE, &files);
    }
  snprintf (temp_dir, sizeof temp_dir, "%s/review-XXXXXX",
            tmp == NULL ? "/tmp" : tmp);
  if (mkdtemp (temp_dir) == NULL)
    lab_end (2, "no temporary folder");
  find_ports ();
  lab_record ("trouble=%d", lab_trouble);
}

void
lab_end (int verdict, const char *why)
{
  char path[300];

  for (int i = 0; i < VMS_MAX; i++)
    if (nodes[i] > 0)
      {
        kill (nodes[i], SIGKILL);
        waitpid (nodes[i], NULL, 0);
        snprintf (path, sizeof path, "%s/node%d.json", temp_dir, i);
        unlink (path);
        snprintf (path, sizeof path, "%s/node%d.out", temp_dir, i);
        if (getenv ("KEEP_LOGS") == NULL)
          unlink (path);
      }
  rmdir (temp_dir);
  lab_record ("verdict=%d %s", verdict, why);
  printf ("%s: %s\n",
          verdict == 0   ? "held"
          : verdict == 1 ? "broken"
                         : "could not run",
          why);
  fflush (NULL);
  _exit (verdict);
}

/* Connections. */

void
lab_conn_init (struct lab_conn *conn, int fd)
{
  conn->fd = fd;
  conn->begin = 0;
  conn->end = 0;
}

/* Reads more within the time; 0 at the end or on failure. */
static int
fill (struct lab_conn *conn, double until_s)
{
  struct pollfd poller = { .fd = conn->fd, .events = POLLIN };
  ssize_t got;
  double left = until_s - clock_s ();

  if (conn->begin == conn->end)
    conn->begin = conn->end = 0;
  if (conn->end == sizeof conn->data && conn->begin > 0)
    {
      memmove (conn->data, conn->data + conn->begin, conn->end - conn->begin);
      conn->end -= conn->begin;
      conn->begin = 0;
    }
  if (conn->end == sizeof conn->data || left <= 0
      || poll (&poller, 1, (int)(left * 1000) + 1) <= 0)
    return 0;
  got = read (conn->fd, conn->data + conn->end, sizeof conn->data - conn->end);
  if (got <= 0)
    return 0;
  conn->end += (size_t)got;
  return 1;
}

/* Reads a line without its end; 0 on failure. */
static int
read_line (struct lab_conn *conn, char *line, size_t bytes, double until_s)
{
  size_t used = 0;

  for (;;)
    {
      while (conn->begin < conn->end)
        {
          char c = conn->data[conn->begin++];

          if (c == '\n')
            {
              line[used] = 0;
              return 1;
            }
          if (c != '\r' && used + 1 < bytes)
            line[used++] = c;
        }
      if (!fill (conn, until_s))
        return 0;
    }
}

static long
read_some (struct lab_conn *conn, char *data, size_t bytes, double until_s)
{
  size_t have;

  if (conn->begin == conn->end && !fill (conn, until_s))
    return -1;
  have = conn->end - conn->begin;
  if (have > bytes)
    have = bytes;
  memcpy (data, conn->data + conn->begin, have);
  conn->begin += have;
  return (long)have;
}

int
lab_send (int fd, const void *data, size_t bytes)
{
  const char *at = data;

  while (bytes > 0)
    {
      ssize_t sent = send (fd, at, bytes, MSG_NOSIGNAL);

      if (sent <= 0)
        return 0;
      at += sent;
      bytes -= (size_t)sent;
    }
  return 1;
}

int
lab_sendf (int fd, const char *format, ...)
{
  char text[4096];
  va_list arguments;
  int bytes;

  va_start (arguments, format);
  bytes = vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  return bytes < (int)sizeof text && lab_send (fd, text, (size_t)bytes);
}

static void
copy_text (char *out, size_t bytes, const char *text)
{
  snprintf (out, bytes, "%.*s", (int)bytes - 1, text);
}

static const char *
field (const char *line, const char *name)
{
  size_t bytes = strlen (name);

  if (strncasecmp (line, name, bytes) != 0 || line[bytes] != ':')
    return NULL;
  line += bytes + 1;
  return line + strspn (line, " \t");
}

/* Store. */

static void
base64 (const char *in, char *out)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t bytes = strlen (in);

  for (size_t i = 0; i < bytes; i += 3)
    {
      unsigned b0 = (unsigned char)in[i];
      unsigned b1 = i + 1 < bytes ? (unsigned char)in[i + 1] : 0;
      unsigned b2 = i + 2 < bytes ? (unsigned char)in[i + 2] : 0;

      *out++ = digits[b0 >> 2];
      *out++ = digits[(b0 & 3) << 4 | b1 >> 4];
      *out++ = i + 1 < bytes ? digits[(b1 & 15) << 2 | b2 >> 6] : '=';
      *out++ = i + 2 < bytes ? digits[b2 & 63] : '=';
    }
  *out = 0;
}

static void
write_item (FILE *out, const struct item *item, const char *separator)
{
  char *value;

  fprintf (out, "%s{\"key\":\"%s\",\"revision\":%lld", separator, item->key,
           item->revision);
  if (item->removed)
    {
      fprintf (out, ",\"tombstone\":true}");
      return;
    }
  value = malloc (strlen (item->value) * 2 + 8);
  base64 (item->value, value);
  fprintf (out, ",\"value\":\"%s\",\"created\":1,\"lease\":0}", value);
  free (value);
}

static int
by_key (const void *a, const void *b)
{
  return strcmp (((const struct item *)a)->key, ((const struct item *)b)->key);
}

/* The lock is held. */
static void
write_events (FILE *out, long long after)
{
  int count = 0;

  for (int i = 0; i < store.count; i++)
    if (store.items[i].revision > after)
      write_item (out, &store.items[i], count++ > 0 ? "," : "");
}

/* One page: at most PAGE_ITEMS items or about PAGE_BYTES.  The lock is held. */
static void
write_page (FILE *out, const char *after)
{
  int count = 0;
  int truncated = 0;
  size_t bytes = 0;

  qsort (store.items, (size_t)store.count, sizeof *store.items, by_key);
  fprintf (out, "{\"items\":[");
  for (int i = 0; i < store.count && !truncated; i++)
    {
      const struct item *item = &store.items[i];

      if (item->removed || strcmp (item->key, after) <= 0)
        continue;
      truncated = count == PAGE_ITEMS
                  || (count > 0 && bytes + strlen (item->value) > PAGE_BYTES);
      if (truncated)
        break;
      write_item (out, item, count++ > 0 ? "," : "");
      bytes += strlen (item->value);
    }
  fprintf (out, "],\"truncated\":%s,\"currentRev\":%lld}",
           truncated ? "true" : "false", store.revision);
}

/* The revision up to which the history is gone.  The lock is held. */
static long long
history_gone (void)
{
  double now = clock_s ();

  while (store.change_count > 0
         && now - store.changes[store.change_first % CHANGES_MAX].at_s
                > HISTORY_S)
    {
      store.gone = store.changes[store.change_first % CHANGES_MAX].revision;
      store.change_first++;
      store.change_count--;
    }
  return store.gone;
}

static void
key_parameter (const char *target, const char *name, char *out, size_t bytes)
{
  const char *at = strstr (target, name);
  size_t used = 0;

  at = at == NULL ? "" : at + strlen (name);
  while (*at != 0 && *at != '&' && used + 1 < bytes)
    {
      unsigned value;

      if (*at == '%' && sscanf (at + 1, "%2x", &value) == 1)
        {
          out[used++] = (char)value;
          at += 3;
        }
      else
        out[used++] = *at++;
    }
  out[used] = 0;
}

static int
write_watch (FILE *out, const char *target)
{
  const char *after = strstr (target, "after=");
  const char *wait = strstr (target, "waitMs=");
  long long from = after == NULL ? 0 : atoll (after + 6);
  long wait_ms = wait == NULL ? 0 : atol (wait + 7);
  struct timespec until;

  if (from < history_gone ())
    return 410;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_nsec -= 1000000000;
      until.tv_sec++;
    }
  while (store.revision <= from
         && pthread_cond_timedwait (&store.changed, &store.lock, &until) == 0)
    ;
  fprintf (out, "{\"events\":[");
  write_events (out, from);
  fprintf (out, "],\"currentRev\":%lld}", store.revision);
  return 200;
}

static void
store_answer (int fd, const char *target)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);
  char after[256];
  int status = 200;

  pthread_mutex_lock (&store.lock);
  if (strncmp (target, "/api/kv-range", 13) == 0)
    {
      key_parameter (target, "&after=", after, sizeof after);
      write_page (out, after);
    }
  else if (strncmp (target, "/api/kv-watch", 13) == 0)
    status = write_watch (out, target);
  else if (strncmp (target, "/api/kv-key", 11) == 0)
    {
      status = 404;
      for (int i = 0; i < store.count; i++)
        if (strcmp (store.items[i].key, "op/config") == 0)
          {
            write_item (out, &store.items[i], "");
            status = 200;
          }
    }
  else
    status = 404;
  pthread_mutex_unlock (&store.lock);
  fclose (out);
  lab_sendf (fd,
             "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, bytes);
  lab_send (fd, text, bytes);
  free (text);
}

static void *
store_conn (void *data)
{
  struct lab_conn *conn = data;
  char line[2048];
  char target[1024] = "";

  while (read_line (conn, line, sizeof line, clock_s () + 600))
    {
      int close_after = 0;

      sscanf (line, "%*s %1023s", target);
      while (read_line (conn, line, sizeof line, clock_s () + 10)
             && line[0] != 0)
        {
          const char *value = field (line, "Connection");

          close_after |= value != NULL && strcasecmp (value, "close") == 0;
        }
      store_answer (conn->fd, target);
      if (close_after)
        break;
    }
  close (conn->fd);
  free (conn);
  return NULL;
}

static int
accept_one (int listener)
{
  int one = 1;
  int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);

  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

static void *
store_run (void *data)
{
  int listener = (int)(intptr_t)data;
  int fd;

  while ((fd = accept_one (listener)) >= 0)
    {
      struct lab_conn *conn = malloc (sizeof *conn);

      lab_conn_init (conn, fd);
      lab_thread (store_conn, conn);
    }
  return NULL;
}

void
lab_store_start (void)
{
  int listener = -1;

  for (store_port = lab_port + LAB_PORTS; store_port < lab_port + 8;
       store_port++)
    if ((listener = listen_at (1, store_port, 0)) >= 0)
      break;
  if (listener < 0)
    lab_end (2, "no port for the store");
  lab_thread (store_run, (void *)(intptr_t)listener);
}

static void
store_change (const char *key, const char *value)
{
  struct item *item = NULL;

  pthread_mutex_lock (&store.lock);
  for (int i = 0; i < store.count && item == NULL; i++)
    if (strcmp (store.items[i].key, key) == 0)
      item = &store.items[i];
  if (item == NULL && value != NULL && store.count < ITEMS_MAX)
    {
      item = &store.items[store.count++];
      copy_text (item->key, sizeof item->key, key);
    }
  if (item != NULL)
    {
      free (item->value);
      item->value = value == NULL ? NULL : strdup (value);
      item->removed = value == NULL;
      item->revision = ++store.revision;
      if (store.change_count == CHANGES_MAX)
        lab_end (2, "too many changes of the store");
      store.changes[(store.change_first + store.change_count++) % CHANGES_MAX]
          .revision
          = store.revision;
      store.changes[(store.change_first + store.change_count - 1) % CHANGES_MAX]
          .at_s
          = clock_s ();
      pthread_cond_broadcast (&store.changed);
    }
  pthread_mutex_unlock (&store.lock);
}

void
lab_store_put (const char *key, const char *value)
{
  store_change (key, value);
}

void
lab_store_remove (const char *key)
{
  store_change (key, NULL);
}

void
lab_config (int version, const char *routes, const char *services)
{
  char *text = malloc (strlen (routes) + strlen (services) + 512);

  sprintf (text,
           "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":"
           "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
           version, routes, services);
  lab_store_put ("op/config", text);
  lab_record ("config version=%d", version);
  free (text);
}

/* Endpoints. */

struct served
{
  struct lab_endpoint *endpoint;
  struct lab_conn conn;
};

static void
forget_fd (struct lab_endpoint *endpoint, int fd)
{
  for (int i = 0; i < endpoint->fd_count; i++)
    if (endpoint->fds[i] == fd)
      {
        endpoint->fds[i] = endpoint->fds[--endpoint->fd_count];
        return;
      }
}

static int
read_request (struct lab_conn *conn, struct lab_request *request)
{
  char line[8192];

  memset (request, 0, sizeof *request);
  request->length = -1;
  if (!read_line (conn, line, sizeof line, clock_s () + 600))
    return 0;
  if (sscanf (line, "%15s %511s", request->method, request->target) != 2)
    return 0;
  for (;;)
    {
      const char *value;

      if (!read_line (conn, line, sizeof line, clock_s () + 30))
        return 0;
      if (line[0] == 0)
        break;
      if ((value = field (line, "X-Attempt-Id")) != NULL)
        copy_text (request->id, sizeof request->id, value);
      else if ((value = field (line, "X-Expected-Instance")) != NULL)
        copy_text (request->expected, sizeof request->expected, value);
      else if ((value = field (line, "X-Caller-Service")) != NULL)
        copy_text (request->caller, sizeof request->caller, value);
      else if ((value = field (line, "X-Deadline-Remaining-Ms")) != NULL)
        request->remaining_ms = atol (value);
      else if ((value = field (line, "Content-Length")) != NULL)
        request->length = atoll (value);
      else if (field (line, "Transfer-Encoding") != NULL)
        request->length = -2;
    }
  request->body_done = request->length == -1 || request->length == 0;
  return 1;
}

long
lab_body (struct lab_conn *conn,
          struct lab_request *request,
          char *data,
          size_t bytes)
{
  char line[64];
  long got;
  double until = clock_s () + 60;

  if (request->body_done)
    return 0;
  if (request->length == -2)
    {
      if (request->chunk_left == 0)
        {
          if (!read_line (conn, line, sizeof line, until))
            return -1;
          request->chunk_left = strtoll (line, NULL, 16);
          if (request->chunk_left == 0)
            {
              request->body_done = 1;
              return read_line (conn, line, sizeof line, until) ? 0 : -1;
            }
        }
      if ((long long)bytes > request->chunk_left)
        bytes = (size_t)request->chunk_left;
      got = read_some (conn, data, bytes, until);
      if (got <= 0)
        return -1;
      request->chunk_left -= got;
      if (request->chunk_left == 0
          && !read_line (conn, line, sizeof line, until))
        return -1;
      request->read += got;
      return got;
    }
  if ((long long)bytes > request->length - request->read)
    bytes = (size_t)(request->length - request->read);
  got = read_some (conn, data, bytes, until);
  if (got <= 0)
    return -1;
  request->read += got;
  request->body_done = request->read == request->length;
  return got;
}

static int
drain_body (struct lab_conn *conn, struct lab_request *request)
{
  char data[16384];
  long got;

  while ((got = lab_body (conn, request, data, sizeof data)) > 0)
    ;
  return got == 0;
}

int
lab_answer (struct lab_conn *conn,
            const struct lab_request *request,
            int status,
            const char *body)
{
  return lab_sendf (conn->fd,
                    "HTTP/1.1 %d -\r\nX-Attempt-Id: %s\r\n"
                    "X-Response-Signature: sig-%s\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    status, request->id, request->id, strlen (body))
         && lab_send (conn->fd, body, strlen (body));
}

static void *
serve_conn (void *data)
{
  struct served *served = data;
  struct lab_endpoint *endpoint = served->endpoint;
  struct lab_conn *conn = &served->conn;
  struct lab_request request;
  int keep = 1;

  while (keep && !endpoint->down && read_request (conn, &request))
    {
      if (endpoint->down)
        break;
      if (strcmp (request.target, "/health") == 0)
        keep = lab_sendf (conn->fd,
                          "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n",
                          endpoint->id);
      else if (request.expected[0] != 0
               && strcmp (request.expected, endpoint->id) != 0)
        keep = drain_body (conn, &request)
               && lab_sendf (conn->fd,
                             "HTTP/1.1 421 -\r\nX-Attempt-Id: %s\r\n"
                             "X-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                             request.id, endpoint->id);
      else
        {
          lab_record ("endpoint %s runs %s: %s %s", endpoint->id, request.id,
                      request.method, request.target);
          keep = endpoint->serve (endpoint, conn, &request) == 0
                 && drain_body (conn, &request);
        }
    }
  pthread_mutex_lock (&endpoint_lock);
  forget_fd (endpoint, conn->fd);
  close (conn->fd);
  pthread_mutex_unlock (&endpoint_lock);
  free (served);
  return NULL;
}

static void *
endpoint_run (void *data)
{
  struct lab_endpoint *endpoint = data;
  int listener = endpoint->listener;
  int fd;

  while ((fd = accept_one (listener)) >= 0)
    {
      struct served *served = malloc (sizeof *served);

      pthread_mutex_lock (&endpoint_lock);
      if (endpoint->down || endpoint->fd_count == 4096)
        {
          pthread_mutex_unlock (&endpoint_lock);
          close (fd);
          free (served);
          continue;
        }
      endpoint->fds[endpoint->fd_count++] = fd;
      pthread_mutex_unlock (&endpoint_lock);
      served->endpoint = endpoint;
      lab_conn_init (&served->conn, fd);
      lab_thread (serve_conn, served);
    }
  close (listener);
  return NULL;
}

void
lab_endpoint_start (struct lab_endpoint *endpoint)
{
  char key[128];
  char value[512];

  for (int i = 0; i < 40; i++)
    {
      endpoint->listener = listen_at (endpoint->vm, lab_port + LAB_APP,
                                      endpoint->buffer_bytes);
      if (endpoint->listener >= 0)
        break;
      lab_sleep (0.05);
    }
  if (endpoint->listener < 0)
    lab_end (2, "an endpoint can't listen");
  endpoint->down = 0;
  endpoint->fd_count = 0;
  lab_thread (endpoint_run, endpoint);
  snprintf (key, sizeof key, "servers/%s", endpoint->id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"127.0.0.%d:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
            "\"coldRemainingMs\":0,\"sequence\":1}",
            endpoint->service, endpoint->vm, lab_port + LAB_APP, endpoint->zone,
            endpoint->slots);
  lab_store_put (key, value);
  lab_record ("endpoint %s starts vm=%d", endpoint->id, endpoint->vm);
}

void
lab_endpoint_crash (struct lab_endpoint *endpoint)
{
  const struct linger reset = { .l_onoff = 1 };

  pthread_mutex_lock (&endpoint_lock);
  if (endpoint->down)
    {
      pthread_mutex_unlock (&endpoint_lock);
      return;
    }
  endpoint->down = 1;
  shutdown (endpoint->listener, SHUT_RDWR);
  for (int i = 0; i < endpoint->fd_count; i++)
    {
      setsockopt (endpoint->fds[i], SOL_SOCKET, SO_LINGER, &reset,
                  sizeof reset);
      shutdown (endpoint->fds[i], SHUT_RDWR);
    }
  pthread_mutex_unlock (&endpoint_lock);
}

/* Nodes. */

void
lab_node_start (int vm, const char *service, const char *zone)
{
  char path[300];
  char out[300];
  FILE *file;
  pid_t pid;

  snprintf (path, sizeof path, "%s/node%d.json", temp_dir, vm);
  snprintf (out, sizeof out, "%s/node%d.out", temp_dir, vm);
  file = fopen (path, "we");
  if (file == NULL)
    lab_end (2, "no settings file");
  fprintf (
      file,
      "{\"nodeName\":\"node%d\",\"role\":\"node\",\"machineClass\":\"sidecar\","
      "\"serves\":[\"sidecar\",\"control_plane\"],\"ip\":\"127.0.0.%d\","
      "\"zone\":\"%s\",\"service\":\"%s\",\"listenAddresses\":{"
      "\"outbound\":\"127.0.0.%d:%d\",\"inbound\":\"127.0.0.%d:%d\","
      "\"ready\":\"127.0.0.%d:%d\",\"control\":\"127.0.0.%d:%d\"},"
      "\"seedNodes\":[],\"bootstrap\":true,\"appAddress\":\"127.0.0.%d:%d\","
      "\"limits\":{\"memoryMb\":260,\"fileDescriptors\":4100},"
      "\"bounds\":{\"gracePeriodS\":6,\"retryBudgetRatio\":0.2,"
      "\"budgetWindowS\":10,\"budgetExtraRetries\":48},"
      "\"platform\":{\"address\":\"127.0.0.1:%d\",\"form\":\"read\"}}\n",
      vm, vm, zone, service, vm, lab_port + LAB_OUTBOUND, vm,
      lab_port + LAB_INBOUND, vm, lab_port + LAB_READY, vm,
      lab_port + LAB_CONTROL, vm, lab_port + LAB_APP, store_port);
  fclose (file);
  pid = fork ();
  if (pid == 0)
    {
      struct rlimit files;
      int fd = open (out, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      signal (SIGPIPE, SIG_DFL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      if (getrlimit (RLIMIT_NOFILE, &files) == 0 && files.rlim_cur > 4100)
        {
          files.rlim_cur = 4100;
          setrlimit (RLIMIT_NOFILE, &files);
        }
      setenv ("EELGRASSLATCH_BOOT", path, 1);
      execl (NODE_PROGRAM, NODE_PROGRAM, (char *)NULL);
      _exit (127);
    }
  if (pid < 0)
    lab_end (2, "no process");
  nodes[vm] = pid;
  lab_record ("node vm=%d starts", vm);
}

pid_t
lab_node_pid (int vm)
{
  return nodes[vm];
}

static int
connect_to (int vm, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK - 1 + (uint32_t)vm);
  address.sin_port = htons ((uint16_t)port);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

int
lab_connect (int vm)
{
  return connect_to (vm, lab_port + LAB_OUTBOUND);
}

int
lab_node_is_ready (int vm)
{
  struct lab_conn *conn = malloc (sizeof *conn);
  struct lab_reply reply;
  int fd = connect_to (vm, lab_port + LAB_READY);
  int ready = 0;

  if (fd >= 0)
    {
      lab_conn_init (conn, fd);
      lab_sendf (fd, "GET /api/readiness HTTP/1.1\r\nHost: node\r\n\r\n");
      ready = lab_reply_read (conn, &reply, 2) && reply.status == 200;
      close (fd);
    }
  free (conn);
  return ready;
}

void
lab_node_wait (int vm)
{
  for (int i = 0; i < 200; i++)
    {
      if (lab_node_is_ready (vm))
        return;
      lab_sleep (0.05);
    }
  lab_end (2, "a node isn't ready");
}

int
lab_node_runs (int vm, int *status)
{
  if (nodes[vm] <= 0)
    return 0;
  if (waitpid (nodes[vm], status, WNOHANG) != nodes[vm])
    return 1;
  nodes[vm] = 0;
  return 0;
}

long
lab_node_memory_kb (int vm)
{
  char path[64];
  char line[256];
  long kb = -1;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)nodes[vm]);
  file = fopen (path, "re");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    sscanf (line, "VmRSS: %ld", &kb);
  if (file != NULL)
    fclose (file);
  return kb;
}

int
lab_node_descriptors (int vm)
{
  char path[64];
  int count = -3;
  DIR *dir;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)nodes[vm]);
  dir = opendir (path);
  if (dir == NULL)
    return -1;
  while (readdir (dir) != NULL)
    count++;
  closedir (dir);
  return count;
}

/* Clients. */

static int
read_reply_body (struct lab_conn *conn,
                 struct lab_reply *reply,
                 long long length,
                 double until)
{
  char data[16384];
  long long left = length;

  while (left != 0)
    {
      size_t want = left > 0 && left < (long long)sizeof data ? (size_t)left
                                                              : sizeof data;
      long got = read_some (conn, data, want, until);

      if (got <= 0)
        return left < 0;
      for (long i = 0; i < got; i++, reply->bytes++)
        if (reply->bytes + 1 < sizeof reply->body)
          reply->body[reply->bytes] = data[i];
      if (left > 0)
        left -= got;
    }
  return 1;
}

static int
read_reply_chunks (struct lab_conn *conn, struct lab_reply *reply, double until)
{
  char line[64];

  for (;;)
    {
      long long bytes;

      if (!read_line (conn, line, sizeof line, until))
        return 0;
      bytes = strtoll (line, NULL, 16);
      if (bytes > 0 && !read_reply_body (conn, reply, bytes, until))
        return 0;
      if (!read_line (conn, line, sizeof line, until))
        return 0;
      if (bytes == 0)
        return 1;
    }
}

int
lab_reply_read (struct lab_conn *conn, struct lab_reply *reply, double within_s)
{
  char line[8192];
  long long length = -1;
  int chunked = 0;
  double until = clock_s () + within_s;

  memset (reply, 0, sizeof *reply);
  if (!read_line (conn, line, sizeof line, until)
      || sscanf (line, "HTTP/1.1 %d", &reply->status) != 1)
    return 0;
  for (;;)
    {
      const char *value;

      if (!read_line (conn, line, sizeof line, until))
        return 0;
      if (line[0] == 0)
        break;
      if ((value = field (line, "Content-Length")) != NULL)
        length = atoll (value);
      else if (field (line, "Transfer-Encoding") != NULL)
        chunked = 1;
      else if ((value = field (line, "X-Attempt-Id")) != NULL)
        copy_text (reply->id, sizeof reply->id, value);
      else if ((value = field (line, "X-Response-Signature")) != NULL)
        copy_text (reply->signature, sizeof reply->signature, value);
      else if ((value = field (line, "Connection")) != NULL)
        reply->closes = strcasecmp (value, "close") == 0;
    }
  reply->complete = chunked ? read_reply_chunks (conn, reply, until)
                            : read_reply_body (conn, reply, length, until);
  return reply->complete;
}

int
lab_ask (int vm,
         const char *method,
         const char *target,
         const char *id,
         long remaining_ms,
         struct lab_reply *reply)
{
  struct lab_conn *conn;
  int fd = lab_connect (vm);
  int complete = 0;

  memset (reply, 0, sizeof *reply);
  if (fd < 0)
    return 0;
  conn = malloc (sizeof *conn);
  lab_conn_init (conn, fd);
  lab_record ("client sends %s to vm=%d: %s %s", id, vm, method, target);
  if (lab_sendf (fd,
                 "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
                 "X-Deadline-Remaining-Ms: %ld\r\n\r\n",
                 method, target, id, remaining_ms))
    complete = lab_reply_read (conn, reply, (double)remaining_ms / 1000 + 1);
  lab_record ("client gets for %s: status=%d complete=%d", id, reply->status,
              complete);
  close (fd);
  free (conn);
  return complete;
}
