#include "lab2.h"

#include <arpa/inet.h>
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
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORTS 12
#define WORDS_MAX 32

static struct
{
  int64_t start_ms;
  FILE *record;
  pthread_mutex_t record_lock;
  char command[4096];
  char folder[256];
  int net;
  int port;
  int store_port;
  pid_t nodes[LAB_MACHINES_MAX];
} lab = { .record_lock = PTHREAD_MUTEX_INITIALIZER };

static int64_t
clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
lab_now_ms (void)
{
  return clock_ms () - lab.start_ms;
}

void
lab_sleep_ms (int ms)
{
  const struct timespec time = { ms / 1000, (long)(ms % 1000) * 1000000 };

  nanosleep (&time, NULL);
}

int
lab_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

void
lab_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&lab.record_lock);
  fprintf (lab.record, "%7.3f ", (double)lab_now_ms () / 1000);
  va_start (arguments, format);
  vfprintf (lab.record, format, arguments);
  va_end (arguments);
  fputc ('\n', lab.record);
  fflush (lab.record);
  pthread_mutex_unlock (&lab.record_lock);
}

static void
end_nodes (void)
{
  for (int i = 0; i < LAB_MACHINES_MAX; i++)
    if (lab.nodes[i] > 0)
      {
        kill (lab.nodes[i], SIGKILL);
        waitpid (lab.nodes[i], NULL, 0);
      }
}

void
lab_exit (int code, const char *verdict)
{
  char command[512];

  lab_record ("verdict: %s", verdict);
  printf ("%s\n", verdict);
  fflush (stdout);
  end_nodes ();
  snprintf (command, sizeof command, "rm -rf '%s'", lab.folder);
  if (system (command) != 0)
    fprintf (stderr, "cannot remove the folder\n");
  _exit (code);
}

static void
fail (const char *what)
{
  fprintf (stderr, "%s: %s\n", what, strerror (errno));
  if (lab.record != NULL)
    lab_exit (LAB_CANNOT_RUN, "the case cannot run");
  exit (LAB_CANNOT_RUN);
}

static struct sockaddr_in
address_of (int machine, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char text[32];

  if (machine == 0)
    snprintf (text, sizeof text, "127.0.0.1");
  else
    snprintf (text, sizeof text, "127.77.%d.%d", lab.net, machine);
  inet_pton (AF_INET, text, &address.sin_addr);
  address.sin_port = htons ((uint16_t)port);
  return address;
}

static int
listen_at (int machine, int port)
{
  struct sockaddr_in address = address_of (machine, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 512) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Finds ports that are free on all addresses. */
static int
find_ports (void)
{
  for (int port = 20000 + getpid () % 10000; port < 60000; port += 50)
    {
      int is_free = 1;

      for (int i = 1; i < LAB_MACHINES_MAX && is_free; i++)
        for (int j = 0; j < PORTS && is_free; j++)
          {
            int fd = listen_at (i, port + j);

            is_free = fd >= 0;
            if (fd >= 0)
              close (fd);
          }
      if (is_free)
        return port;
    }
  return 0;
}

void
lab_thread (void *(*run) (void *), void *data)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  if (pthread_create (&thread, &attributes, run, data) != 0)
    fail ("thread");
  pthread_attr_destroy (&attributes);
}

/* Sockets. */

static void
set_nodelay (int fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static int
send_all (int fd, const void *data, size_t bytes)
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

void
lab_field (const char *head, const char *name, char *out, size_t bytes)
{
  size_t name_bytes = strlen (name);

  out[0] = 0;
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, name_bytes) == 0
        && line[2 + name_bytes] == ':')
      {
        const char *value = line + 3 + name_bytes;
        size_t length;

        value += strspn (value, " ");
        length = strcspn (value, "\r\n");
        snprintf (out, bytes, "%.*s", (int)length, value);
        return;
      }
}

/* Reads up to the end of a head; what follows it goes to rest.  Returns 0 at
   the end of the connection. */
static int
read_head (int fd, char *head, char *rest, size_t *rest_bytes)
{
  size_t bytes = *rest_bytes;

  memcpy (head, rest, bytes);
  head[bytes] = 0;
  for (;;)
    {
      char *end = strstr (head, "\r\n\r\n");
      ssize_t got;

      if (end != NULL)
        {
          size_t head_bytes = (size_t)(end - head) + 4;

          *rest_bytes = bytes - head_bytes;
          memcpy (rest, head + head_bytes, *rest_bytes);
          head[head_bytes] = 0;
          return 1;
        }
      if (bytes + 1 >= LAB_HEAD_MAX)
        return 0;
      got = recv (fd, head + bytes, LAB_HEAD_MAX - 1 - bytes, 0);
      if (got <= 0)
        return 0;
      bytes += (size_t)got;
      head[bytes] = 0;
    }
}

/* The store. */

#define ITEMS_MAX 128

struct item
{
  char key[201];
  char *value;
  uint64_t revision;
};

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct item items[ITEMS_MAX];
  int count;
  uint64_t revision;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
            .changed = PTHREAD_COND_INITIALIZER,
            .revision = 1 };

static char *
base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t bytes = strlen (text);
  char *out = malloc (bytes * 2 + 8);
  char *at = out;

  for (size_t i = 0; i < bytes; i += 3)
    {
      uint32_t part = (uint32_t)(unsigned char)text[i] << 16;

      if (i + 1 < bytes)
        part |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < bytes)
        part |= (uint32_t)(unsigned char)text[i + 2];
      *at++ = digits[part >> 18];
      *at++ = digits[part >> 12 & 63];
      *at++ = i + 1 < bytes ? digits[part >> 6 & 63] : '=';
      *at++ = i + 2 < bytes ? digits[part & 63] : '=';
    }
  *at = 0;
  return out;
}

void
lab_put (const char *key, const char *value)
{
  struct item *item = NULL;

  pthread_mutex_lock (&store.lock);
  for (int i = 0; i < store.count && item == NULL; i++)
    if (strcmp (store.items[i].key, key) == 0)
      item = &store.items[i];
  if (item == NULL && store.count < ITEMS_MAX)
    item = &store.items[store.count++];
  if (item != NULL)
    {
      snprintf (item->key, sizeof item->key, "%s", key);
      free (item->value);
      item->value = value == NULL ? NULL : strdup (value);
      item->revision = ++store.revision;
    }
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
}

/* Writes the items after a revision; returns how many. */
static int
render (FILE *out, uint64_t after, const char *prefix, int with_removed)
{
  int count = 0;

  for (int i = 0; i < store.count; i++)
    {
      const struct item *item = &store.items[i];
      char *value;

      if (item->revision <= after
          || strncmp (item->key, prefix, strlen (prefix)) != 0
          || (item->value == NULL && !with_removed))
        continue;
      fprintf (out, "%s{\"key\":\"%s\",\"revision\":%llu", count++ ? "," : "",
               item->key, (unsigned long long)item->revision);
      if (item->value == NULL)
        fprintf (out, ",\"tombstone\":true}");
      else
        {
          value = base64 (item->value);
          fprintf (out, ",\"value\":\"%s\",\"created\":1,\"lease\":0}", value);
          free (value);
        }
    }
  return count;
}

static void
get_parameter (const char *target, const char *name, char *out, size_t bytes)
{
  char pattern[64];
  const char *found;

  snprintf (pattern, sizeof pattern, "%s=", name);
  found = strstr (target, pattern);
  out[0] = 0;
  if (found == NULL)
    return;
  found += strlen (pattern);
  snprintf (out, bytes, "%.*s", (int)strcspn (found, "& "), found);
}

/* Holds the call until an event exists or its time is up. */
static void
watch (FILE *out, const char *target)
{
  char text[64];
  uint64_t after;
  int64_t until_ms;

  get_parameter (target, "after", text, sizeof text);
  after = strtoull (text, NULL, 10);
  get_parameter (target, "waitMs", text, sizeof text);
  until_ms = clock_ms () + strtol (text, NULL, 10);
  pthread_mutex_lock (&store.lock);
  while (store.revision <= after && clock_ms () < until_ms)
    {
      struct timespec time;

      clock_gettime (CLOCK_REALTIME, &time);
      time.tv_nsec += 10 * 1000000;
      if (time.tv_nsec >= 1000000000)
        {
          time.tv_nsec -= 1000000000;
          time.tv_sec++;
        }
      pthread_cond_timedwait (&store.changed, &store.lock, &time);
    }
  fprintf (out, "{\"events\":[");
  render (out, after, "", 1);
  fprintf (out, "],\"currentRev\":%llu}", (unsigned long long)store.revision);
  pthread_mutex_unlock (&store.lock);
}

static void
range (FILE *out, const char *prefix)
{
  pthread_mutex_lock (&store.lock);
  fprintf (out, "{\"items\":[");
  render (out, 0, prefix, 0);
  fprintf (out, "],\"truncated\":false,\"currentRev\":%llu}",
           (unsigned long long)store.revision);
  pthread_mutex_unlock (&store.lock);
}

static void *
serve_store (void *data)
{
  int fd = (int)(intptr_t)data;
  char *head = malloc (LAB_HEAD_MAX);
  char *rest = malloc (LAB_HEAD_MAX);
  size_t rest_bytes = 0;

  while (read_head (fd, head, rest, &rest_bytes))
    {
      char *body = NULL;
      size_t bytes = 0;
      FILE *out = open_memstream (&body, &bytes);
      char text[128];
      int sent;

      if (strstr (head, "/api/kv-watch") != NULL)
        watch (out, head);
      else
        range (out, strstr (head, "/api/kv-key") != NULL ? "op/config" : "");
      fclose (out);
      snprintf (text, sizeof text,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n",
                bytes);
      sent = send_all (fd, text, strlen (text)) && send_all (fd, body, bytes);
      free (body);
      if (!sent)
        break;
    }
  free (head);
  free (rest);
  close (fd);
  return NULL;
}

static void *
accept_store (void *data)
{
  int listener = (int)(intptr_t)data;

  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0)
        continue;
      set_nodelay (fd);
      lab_thread (serve_store, (void *)(intptr_t)fd);
    }
  return NULL;
}

void
lab_route (char *out,
           size_t bytes,
           const char *prefix,
           const char *kind,
           const char *service,
           int timeout_ms)
{
  snprintf (out, bytes,
            "{\"name\":\"r%s\",\"host\":\"" LAB_HOST
            "\",\"prefix\":\"%s\",\"kind\":\"%s\",\"service\":\"%s\","
            "\"timeoutMs\":%d,\"targetLatencyMs\":1500,\"attempts\":2,"
            "\"priority\":1}",
            prefix, prefix, kind, service, timeout_ms);
}

void
lab_config (int version, const char *routes, const char *tenants)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);

  fprintf (out, "{\"version\":%d,\"routes\":%s,\"services\":[]", version,
           routes);
  if (tenants != NULL)
    fprintf (out, ",\"tenants\":%s", tenants);
  fprintf (out, ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576"
                ",\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}");
  fclose (out);
  lab_put ("op/config", text);
  free (text);
}

/* Endpoints. */

void
lab_endpoint_entry (const struct lab_endpoint *endpoint, const char *state)
{
  char key[128];
  char value[512];
  struct sockaddr_in address = address_of (endpoint->machine, 0);
  char ip[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &address.sin_addr, ip, sizeof ip);
  snprintf (key, sizeof key, "servers/%s", endpoint->id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-%d\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
            "\"coldRemainingMs\":0,\"sequence\":1}",
            endpoint->service, ip, lab.port + 1, endpoint->machine % 3,
            endpoint->slots, state);
  lab_put (key, value);
}

static ssize_t
call_recv (struct lab_call *call, void *data, size_t max)
{
  if (call->rest_bytes > 0)
    {
      size_t bytes = call->rest_bytes < max ? call->rest_bytes : max;

      memcpy (data, call->rest, bytes);
      call->rest_bytes -= bytes;
      memmove (call->rest, call->rest + bytes, call->rest_bytes);
      return (ssize_t)bytes;
    }
  return recv (call->fd, data, max, 0);
}

static int
call_line (struct lab_call *call, char *line, size_t max)
{
  for (size_t i = 0; i + 1 < max; i++)
    {
      if (call_recv (call, line + i, 1) != 1)
        return 0;
      if (line[i] == '\n')
        {
          line[i + 1] = 0;
          return 1;
        }
    }
  return 0;
}

/* The length of a chunked body is that of the present chunk; -1 before it. */
int64_t
lab_call_read (struct lab_call *call, void *data, size_t max)
{
  char line[64];
  ssize_t got;

  if (call->chunked && call->length < 0)
    {
      if (!call_line (call, line, sizeof line))
        return -1;
      call->length = strtoll (line, NULL, 16);
      if (call->length == 0)
        {
          call->chunked = 0;
          return call_line (call, line, sizeof line) ? 0 : -1;
        }
    }
  if (call->length <= 0)
    return 0;
  got = call_recv (call, data,
                   (int64_t)max < call->length ? max : (size_t)call->length);
  if (got <= 0)
    return -1;
  call->length -= got;
  if (call->chunked && call->length == 0)
    {
      if (!call_line (call, line, sizeof line))
        return -1;
      call->length = -1;
    }
  return got;
}

int64_t
lab_call_drain (struct lab_call *call)
{
  char data[4096];
  int64_t sum = 0;
  int64_t got;

  while ((got = lab_call_read (call, data, sizeof data)) > 0)
    sum += got;
  return got < 0 ? -1 : sum;
}

int
lab_call_answer (struct lab_call *call,
                 int status,
                 const char *fields,
                 const char *body,
                 size_t bytes)
{
  char head[1024];

  snprintf (head, sizeof head,
            "HTTP/1.1 %d Answer\r\nX-Attempt-Id: %s\r\n"
            "X-Response-Signature: s-%s\r\n%sContent-Length: %zu\r\n\r\n",
            status, call->attempt_id, call->attempt_id, fields, bytes);
  return send_all (call->fd, head, strlen (head))
         && send_all (call->fd, body, bytes);
}

static void
refuse_other (struct lab_call *call)
{
  char head[512];

  lab_call_drain (call);
  snprintf (head, sizeof head,
            "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: %s\r\n"
            "X-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
            call->attempt_id, call->endpoint->id);
  send_all (call->fd, head, strlen (head));
}

static void *
serve_endpoint (void *data)
{
  struct lab_call *call = data;

  while (!call->must_close
         && read_head (call->fd, call->head, call->rest, &call->rest_bytes))
    {
      char text[256];

      sscanf (call->head, "%15s %1023s", call->method, call->target);
      lab_field (call->head, "X-Attempt-Id", call->attempt_id,
                 sizeof call->attempt_id);
      lab_field (call->head, "Transfer-Encoding", text, sizeof text);
      call->chunked = text[0] != 0;
      lab_field (call->head, "Content-Length", text, sizeof text);
      call->length = call->chunked ? -1 : strtoll (text, NULL, 10);
      lab_field (call->head, "X-Expected-Instance", text, sizeof text);
      if (strcmp (text, call->endpoint->id) != 0)
        refuse_other (call);
      else
        call->endpoint->serve (call->endpoint, call);
    }
  if (call->must_reset)
    {
      const struct linger none = { .l_onoff = 1, .l_linger = 0 };

      setsockopt (call->fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
  close (call->fd);
  free (call);
  return NULL;
}

static void *
accept_endpoint (void *data)
{
  struct lab_endpoint *endpoint = data;

  for (;;)
    {
      int fd = accept4 (endpoint->listener, NULL, NULL, SOCK_CLOEXEC);
      struct lab_call *call;

      if (fd < 0)
        continue;
      set_nodelay (fd);
      call = calloc (1, sizeof *call);
      call->endpoint = endpoint;
      call->fd = fd;
      lab_thread (serve_endpoint, call);
    }
  return NULL;
}

void
lab_endpoint_start (struct lab_endpoint *endpoint)
{
  endpoint->listener = listen_at (endpoint->machine, lab.port + 1);
  if (endpoint->listener < 0)
    fail ("endpoint");
  lab_thread (accept_endpoint, endpoint);
  lab_endpoint_entry (endpoint, "ready");
}

/* Nodes. */

static void
write_settings (int machine, const char *service, const char *path)
{
  FILE *out = fopen (path, "w");
  char ip[32];

  if (out == NULL)
    fail (path);
  snprintf (ip, sizeof ip, "127.77.%d.%d", lab.net, machine);
  fprintf (out,
           "{\"nodeName\":\"sidecar-%d\",\"role\":\"node\","
           "\"machineClass\":\"sidecar\",\"serves\":[\"sidecar\","
           "\"control_plane\"],\"ip\":\"%s\",\"zone\":\"zone-%d\","
           "\"region\":\"r\",\"zones\":{\"zone-0\":\"r\",\"zone-1\":\"r\","
           "\"zone-2\":\"r\"},\"listenAddresses\":{\"inbound\":\"%s:%d\","
           "\"outbound\":\"%s:%d\",\"ready\":\"%s:%d\",\"control\":\"%s:%d\"},",
           machine, ip, machine % 3, ip, lab.port + 3, ip, lab.port + 2, ip,
           lab.port + 4, ip, lab.port + 5);
  fprintf (out,
           "\"internalPortRange\":[%d,%d],\"seedNodes\":"
           "[\"127.77.%d.1:%d\",\"127.77.%d.2:%d\"],\"bootstrap\":true,"
           "\"dataDirectory\":null,\"discovery\":\"platform\","
           "\"entryMode\":\"local\",\"heartbeatIntervalMs\":1500,"
           "\"limits\":{\"cpuShare\":0.4,\"cpuCores\":1,\"memoryMb\":260,"
           "\"fileDescriptors\":4100,\"linkMbps\":1000.0,\"diskMb\":0},",
           lab.port + 6, lab.port + 11, lab.net, lab.port + 5, lab.net,
           lab.port + 5);
  fprintf (out,
           "\"bounds\":{\"seedLagS\":3,\"addressReuseS\":2,"
           "\"stabilityWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,"
           "\"drainMs\":2000,\"gracePeriodS\":6,\"lossSlackMs\":200,"
           "\"configApplyMs\":2000,\"downgradeSlackMs\":250,"
           "\"maxStretchMs\":5000,\"retryBudgetRatio\":0.2,"
           "\"budgetWindowS\":10,\"budgetExtraRetries\":48,\"recoveryS\":15,"
           "\"quotaWindowS\":5,\"quotaOvershoot\":0.25,\"quotaSlack\":20},"
           "\"appAddress\":\"%s:%d\",\"service\":\"%s\","
           "\"platform\":{\"address\":\"127.0.0.1:%d\",\"form\":\"read\","
           "\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576}}\n",
           ip, lab.port + 1, service, lab.store_port);
  fclose (out);
}

/* Starts the command of the deploy file, split at spaces. */
static void
run_command (int machine, const char *settings)
{
  char path[512];
  char *words[WORDS_MAX + 1] = { NULL };
  int count = 0;
  int out;

  /* The node ends with the case, however that ends. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  snprintf (path, sizeof path, "%s/node%d.log", lab.folder, machine);
  out = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (out >= 0)
    {
      dup2 (out, STDOUT_FILENO);
      dup2 (out, STDERR_FILENO);
    }
  setenv ("EELGRASSLATCH_BOOT", settings, 1);
  for (char *word = strtok (lab.command, " ");
       word != NULL && count < WORDS_MAX; word = strtok (NULL, " "))
    words[count++] = word;
  execv (words[0], words);
  _exit (127);
}

void
lab_node_start (int machine, const char *service)
{
  char settings[512];
  pid_t pid;

  snprintf (settings, sizeof settings, "%s/boot%d.json", lab.folder, machine);
  write_settings (machine, service, settings);
  pid = fork ();
  if (pid < 0)
    fail ("fork");
  if (pid == 0)
    run_command (machine, settings);
  lab.nodes[machine] = pid;
  lab_record ("node %d of service %s starts", machine, service);
}

static int
connect_to (int machine, int port)
{
  struct sockaddr_in address = address_of (machine, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  set_nodelay (fd);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

int
lab_node_is_ready (int machine)
{
  static const char request[] = "GET /api/readiness HTTP/1.1\r\nHost: "
                                "node\r\nConnection: close\r\n\r\n";
  char answer[64] = "";
  int fd = connect_to (machine, lab.port + 4);

  if (fd < 0)
    return 0;
  if (send_all (fd, request, sizeof request - 1))
    (void)!recv (fd, answer, sizeof answer - 1, 0);
  close (fd);
  return strncmp (answer, "HTTP/1.1 200", 12) == 0;
}

void
lab_wait_ready (int count)
{
  int64_t until_ms = clock_ms () + 15000;

  for (int i = 1; i <= count; i++)
    while (!lab_node_is_ready (i))
      {
        if (clock_ms () > until_ms)
          lab_exit (LAB_CANNOT_RUN, "a node does not become ready");
        lab_sleep_ms (50);
      }
  /* Machines are in touch after the stability window. */
  lab_sleep_ms (3500);
  lab_record ("all nodes are ready and in touch");
}

pid_t
lab_node_pid (int machine)
{
  return lab.nodes[machine];
}

void
lab_node_signal (int machine, int signal)
{
  if (lab.nodes[machine] > 0)
    kill (lab.nodes[machine], signal);
  lab_record ("node %d gets signal %d", machine, signal);
}

int
lab_node_has_ended (int machine, char *how, size_t bytes)
{
  int status = 0;

  if (lab.nodes[machine] <= 0
      || waitpid (lab.nodes[machine], &status, WNOHANG) != lab.nodes[machine])
    return 0;
  lab.nodes[machine] = 0;
  if (WIFSIGNALED (status))
    snprintf (how, bytes, "ended by signal %d (%s)", WTERMSIG (status),
              strsignal (WTERMSIG (status)));
  else
    snprintf (how, bytes, "exited with %d", WEXITSTATUS (status));
  lab_record ("node %d %s", machine, how);
  return 1;
}

/* Clients. */

int
lab_connect (struct lab_conn *conn, int machine)
{
  conn->bytes = 0;
  conn->fd = connect_to (machine, lab.port + 2);
  return conn->fd >= 0;
}

int
lab_send (struct lab_conn *conn, const void *data, size_t bytes)
{
  return send_all (conn->fd, data, bytes);
}

int
lab_send_text (struct lab_conn *conn, const char *format, ...)
{
  char text[8192];
  va_list arguments;
  int bytes;

  va_start (arguments, format);
  bytes = vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  return bytes > 0 && (size_t)bytes < sizeof text
         && lab_send (conn, text, (size_t)bytes);
}

/* Returns 1 for more bytes, 0 at the end of the connection, -1 when the time is
   up. */
static int
receive (struct lab_conn *conn, int64_t until_ms)
{
  struct pollfd input = { .fd = conn->fd, .events = POLLIN };
  int64_t left_ms = until_ms - clock_ms ();
  ssize_t got;

  if (poll (&input, 1, left_ms > 0 ? (int)left_ms : 0) <= 0)
    return -1;
  got = recv (conn->fd, conn->data + conn->bytes,
              sizeof conn->data - conn->bytes, 0);
  if (got <= 0)
    return 0;
  conn->bytes += (size_t)got;
  return 1;
}

static void
consume (struct lab_conn *conn, size_t bytes)
{
  conn->bytes -= bytes;
  memmove (conn->data, conn->data + bytes, conn->bytes);
}

static enum lab_end
read_body (struct lab_conn *conn,
           struct lab_answer *answer,
           size_t bytes,
           int64_t until_ms)
{
  answer->body_bytes = 0;
  while (bytes > 0)
    {
      size_t part = conn->bytes < bytes ? conn->bytes : bytes;
      int got;

      for (size_t i = 0; i < part; i++)
        if (answer->body_bytes + i < sizeof answer->body)
          answer->body[answer->body_bytes + i] = conn->data[i];
      answer->body_bytes += part;
      consume (conn, part);
      bytes -= part;
      if (bytes == 0)
        break;
      got = receive (conn, until_ms);
      if (got <= 0)
        return got == 0 ? LAB_CUT : LAB_TIMED_OUT;
    }
  return LAB_ANSWER;
}

/* Nodes send complete answers with a length; chunked ones are not needed. */
enum lab_end
lab_read (struct lab_conn *conn, struct lab_answer *answer, int wait_ms)
{
  int64_t until_ms = clock_ms () + wait_ms;
  char text[64];

  for (;;)
    {
      char *end = memmem (conn->data, conn->bytes, "\r\n\r\n", 4);
      int got;

      if (end != NULL)
        {
          size_t bytes = (size_t)(end - conn->data) + 4;

          if (bytes >= sizeof answer->head
              || strncmp (conn->data, "HTTP/1.1 ", 9) != 0)
            return LAB_NO_HTTP;
          memcpy (answer->head, conn->data, bytes);
          answer->head[bytes] = 0;
          consume (conn, bytes);
          answer->status = atoi (answer->head + 9);
          if (answer->status == 100)
            continue;
          lab_field (answer->head, "Content-Length", text, sizeof text);
          return read_body (conn, answer, strtoul (text, NULL, 10), until_ms);
        }
      if (conn->bytes == sizeof conn->data)
        return LAB_NO_HTTP;
      got = receive (conn, until_ms);
      if (got == 0)
        return conn->bytes > 0 ? LAB_CUT : LAB_CLOSED;
      if (got < 0)
        return LAB_TIMED_OUT;
    }
}

void
lab_close (struct lab_conn *conn)
{
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
}

const char *
lab_end_name (enum lab_end end)
{
  switch (end)
    {
    case LAB_ANSWER:
      return "answer";
    case LAB_CLOSED:
      return "closed without an answer";
    case LAB_CUT:
      return "closed inside an answer";
    case LAB_TIMED_OUT:
      return "no answer in time";
    default:
      return "bytes that are no answer";
    }
}

void
lab_init (int argc, char **argv)
{
  struct sockaddr_in address;
  socklen_t bytes = sizeof address;
  int listener;

  if (argc != 3)
    {
      fprintf (stderr, "usage: %s RECORD NODE_COMMAND\n", argv[0]);
      exit (LAB_CANNOT_RUN);
    }
  signal (SIGPIPE, SIG_IGN);
  lab.start_ms = clock_ms ();
  lab.record = fopen (argv[1], "w");
  if (lab.record == NULL)
    fail (argv[1]);
  snprintf (lab.command, sizeof lab.command, "%s", argv[2]);
  snprintf (lab.folder, sizeof lab.folder, "/tmp/review-XXXXXX");
  if (mkdtemp (lab.folder) == NULL)
    fail ("folder");
  lab.net = getpid () % 250;
  lab.port = find_ports ();
  listener = listen_at (0, 0);
  if (lab.port == 0 || listener < 0)
    fail ("ports");
  getsockname (listener, (struct sockaddr *)&address, &bytes);
  lab.store_port = ntohs (address.sin_port);
  lab_thread (accept_store, (void *)(intptr_t)listener);
  lab_record ("trouble=%d", lab_has_trouble ());
}
