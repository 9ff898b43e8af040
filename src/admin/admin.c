#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "internal/tasks.h"

/* Queries that the node task may have pending; more are refused. */
#define QUERIES_MAX 64
#define REQUEST_TIMEOUT_S 10
#define HEADER_BYTES_MAX 8192

/* A request that waits for a reply of the node task; id 0 marks a free slot. */
struct query
{
  uint64_t id;
  struct evhttp_request *request;
};

struct eel_admin
{
  struct event_base *base;
  const struct eel_settings *settings;
  struct eel_metrics *metrics;
  const struct eel_audit *audit;
  struct evhttp *http;
  struct eel_mailbox inbox;
  struct eel_mailbox *node;
  struct query queries[QUERIES_MAX];
  uint64_t next_id;
  uint16_t port;
  struct eel_metric *unauthorized;
};

static void
send_body (struct evhttp_request *request,
           int status,
           const char *type,
           const void *bytes,
           size_t count)
{
  struct evbuffer *body = evbuffer_new ();

  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", type);
  if (body != NULL)
    evbuffer_add (body, bytes, count);
  evhttp_send_reply (request, status, status == 200 ? "OK" : "Error", body);
  if (body != NULL)
    evbuffer_free (body);
}

static void
send_error (struct evhttp_request *request, enum eel_error kind)
{
  const struct eel_error_info *info = eel_error_info (kind);
  char *text = g_strdup_printf ("%s: %s\n", info->name, info->text);

  send_body (request, info->http_status, "text/plain", text, strlen (text));
  g_free (text);
}

/* Compares hashes in constant time, so that timing reveals no token bytes. */
static int
token_matches (const struct eel_admin *admin, const char *candidate)
{
  uint8_t expected_hash[32];
  uint8_t candidate_hash[32];

  crypto_generichash (expected_hash, sizeof expected_hash,
                      (const uint8_t *)admin->settings->admin_token,
                      strlen (admin->settings->admin_token), NULL, 0);
  crypto_generichash (candidate_hash, sizeof candidate_hash,
                      (const uint8_t *)candidate, strlen (candidate), NULL, 0);
  return sodium_memcmp (expected_hash, candidate_hash, sizeof expected_hash)
         == 0;
}

/* Sends an error and returns 0 when the token is missing or wrong. */
static int
check_token (struct eel_admin *admin, struct evhttp_request *request)
{
  static const char prefix[] = "Bearer ";
  const char *value = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Authorization");

  if (value != NULL && strncmp (value, prefix, sizeof prefix - 1) == 0
      && token_matches (admin, value + sizeof prefix - 1))
    return 1;
  eel_metric_add (admin->unauthorized, 1);
  send_error (request, EEL_ERROR_UNAUTHORIZED);
  return 0;
}

static struct query *
find_query (struct eel_admin *admin, uint64_t id)
{
  for (size_t i = 0; i < QUERIES_MAX; i++)
    if (admin->queries[i].id == id)
      return &admin->queries[i];
  return NULL;
}

static void
on_client_closed (struct evhttp_connection *connection, void *data)
{
  struct query *query = data;

  (void)connection;
  query->id = 0;
  query->request = NULL;
}

static void
post_query (struct eel_admin *admin,
            struct evhttp_request *request,
            const char *name)
{
  struct eel_msg msg = { .kind = EEL_MSG_QUERY, .reply_to = &admin->inbox };
  struct query *query = find_query (admin, 0);

  if (query == NULL || admin->node == NULL)
    {
      send_error (request, EEL_ERROR_OVERLOADED);
      return;
    }
  query->id = ++admin->next_id;
  query->request = request;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_client_closed, query);
  msg.call_id = query->id;
  g_strlcpy (msg.text, name, sizeof msg.text);
  if (eel_mailbox_post (admin->node, &msg))
    return;
  query->id = 0;
  send_error (request, EEL_ERROR_OVERLOADED);
}

static void
admin_handle (void *task, struct eel_msg *msg)
{
  struct query *query = find_query (task, msg->call_id);
  struct evhttp_request *request;

  /* The query of a client that has disconnected is already released. */
  if (msg->kind != EEL_MSG_ANSWER || msg->answer == NULL || query == NULL
      || query->request == NULL)
    return;
  request = query->request;
  query->id = 0;
  query->request = NULL;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), NULL,
                                 NULL);
  send_body (request, msg->answer->status, "application/json",
             msg->answer->body.data, msg->answer->body.bytes);
}

static void
get_metrics (struct eel_admin *admin, struct evhttp_request *request)
{
  size_t bytes = 0;
  char *text = eel_metrics_render (admin->metrics, &bytes);

  if (text != NULL)
    send_body (request, 200, "text/plain; version=0.0.4", text, bytes);
  else
    send_error (request, EEL_ERROR_INTERNAL);
  free (text);
}

static uint64_t
parse_from (struct evhttp_request *request)
{
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq values = { 0 };
  const char *from;
  uint64_t number = 0;

  if (text == NULL || evhttp_parse_query_str (text, &values) != 0)
    return 0;
  from = evhttp_find_header (&values, "from");
  if (from != NULL)
    number = g_ascii_strtoull (from, NULL, 10);
  evhttp_clear_headers (&values);
  return number;
}

static void
get_audit (struct eel_admin *admin, struct evhttp_request *request)
{
  size_t bytes = 0;
  char *text = eel_audit_render (admin->audit, parse_from (request), &bytes);

  if (text != NULL)
    send_body (request, 200, "application/x-ndjson", text, bytes);
  else
    send_error (request, EEL_ERROR_INTERNAL);
  free (text);
}

/* Paths that the node task serves; health probes need no token. */
static const struct
{
  const char *path;
  const char *query;
  int needs_token;
} node_paths[] = {
  { "/status", "status", 1 },  { "/members", "members", 1 },
  { "/preset", "preset", 1 },  { "/readyz", "ready", 0 },
  { "/healthz", "health", 0 },
};

static void
on_request (struct evhttp_request *request, void *data)
{
  struct eel_admin *admin = data;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (path == NULL)
    path = "";
  for (size_t i = 0; i < G_N_ELEMENTS (node_paths); i++)
    if (strcmp (path, node_paths[i].path) == 0)
      {
        if (!node_paths[i].needs_token || check_token (admin, request))
          post_query (admin, request, node_paths[i].query);
        return;
      }
  if (!check_token (admin, request))
    return;
  if (strcmp (path, "/metrics") == 0)
    get_metrics (admin, request);
  else if (strcmp (path, "/audit") == 0)
    get_audit (admin, request);
  else
    send_error (request, EEL_ERROR_NOT_FOUND);
}

static int
open_listener (struct eel_admin *admin)
{
  const struct eel_endpoint_address *address = &admin->settings->admin;
  struct evhttp_bound_socket *bound;
  struct sockaddr_in local = { 0 };
  socklen_t bytes = sizeof local;

  admin->http = evhttp_new (admin->base);
  if (admin->http == NULL)
    return 0;
  evhttp_set_allowed_methods (admin->http, EVHTTP_REQ_GET);
  evhttp_set_timeout (admin->http, REQUEST_TIMEOUT_S);
  evhttp_set_max_headers_size (admin->http, HEADER_BYTES_MAX);
  evhttp_set_max_body_size (admin->http, 0);
  evhttp_set_gencb (admin->http, on_request, admin);
  bound = evhttp_bind_socket_with_handle (admin->http, address->host,
                                          address->port);
  if (bound == NULL
      || getsockname (evhttp_bound_socket_get_fd (bound),
                      (struct sockaddr *)&local, &bytes)
             != 0)
    return 0;
  admin->port = ntohs (local.sin_port);
  return 1;
}

/* Returns NULL after logging the error. */
struct eel_admin *
eel_admin_new (struct event_base *base,
               const struct eel_settings *settings,
               struct eel_metrics *metrics,
               struct eel_audit *audit)
{
  struct eel_admin *admin = calloc (1, sizeof *admin);

  if (admin == NULL)
    return NULL;
  admin->base = base;
  admin->settings = settings;
  admin->metrics = metrics;
  admin->audit = audit;
  admin->unauthorized = eel_metrics_get (
      metrics, EEL_METRIC_COUNTER, "eel_admin_unauthorized_total", "",
      "Operators' requests without the right token.");
  if (eel_mailbox_init (&admin->inbox, base, QUERIES_MAX, admin_handle, admin)
      && open_listener (admin))
    return admin;
  g_critical ("admin: cannot listen on %s:%u", settings->admin.host,
              settings->admin.port);
  eel_admin_free (admin);
  return NULL;
}

/* The node task posts EEL_MSG_ANSWER here. */
struct eel_mailbox *
eel_admin_inbox (struct eel_admin *admin)
{
  return &admin->inbox;
}

/* Queries are posted to node; until this call they are refused. */
void
eel_admin_connect (struct eel_admin *admin, struct eel_mailbox *node)
{
  admin->node = node;
}

/* Returns the bound port; the settings may request port 0. */
uint16_t
eel_admin_port (const struct eel_admin *admin)
{
  return admin->port;
}

void
eel_admin_free (struct eel_admin *admin)
{
  if (admin == NULL)
    return;
  if (admin->http != NULL)
    evhttp_free (admin->http);
  eel_mailbox_finish (&admin->inbox);
  free (admin);
}
