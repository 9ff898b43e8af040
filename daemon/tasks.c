#include "daemon/tasks.h"

#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/*
 * SIGTERM and SIGINT start a planned stop.  Further signals are ignored, since
 * they must not abort requests in progress either.
 */
static void
on_stop_signal (evutil_socket_t number, short what, void *data)
{
  struct daemon_tasks *tasks = data;
  struct eel_msg msg = { .kind = EEL_MSG_DRAIN };

  (void)what;
  if (tasks->stop_signals++ > 0)
    {
      g_message ("signal %d ignored: the node is already draining",
                 (int)number);
      return;
    }
  g_message ("signal %d: draining", (int)number);
  eel_mailbox_post (eel_node_inbox (tasks->node), &msg);
}

static struct event *
add_signal_event (struct daemon_tasks *tasks, int number)
{
  struct event *event
      = evsignal_new (tasks->base, number, on_stop_signal, tasks);

  if (event != NULL)
    event_add (event, NULL);
  return event;
}

/*
 * Most calls add and remove events of the same descriptor within one loop
 * iteration; the epoll change list merges these into at most one system call.
 */
static struct event_base *
create_event_base (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base = NULL;

  if (config == NULL)
    return NULL;
  if (event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST) == 0)
    base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

static int
create_shared (struct daemon_tasks *tasks, const struct eel_settings *settings)
{
  tasks->base = create_event_base ();
  tasks->metrics = calloc (1, sizeof *tasks->metrics);
  tasks->audit_entries
      = calloc (EEL_AUDIT_CAPACITY, sizeof *tasks->audit_entries);
  if (tasks->base == NULL || tasks->metrics == NULL
      || tasks->audit_entries == NULL)
    return 0;
  eel_metrics_init (tasks->metrics);
  eel_audit_init (&tasks->audit, settings->node, tasks->audit_entries,
                  EEL_AUDIT_CAPACITY);
  return 1;
}

static int
open_listeners (struct daemon_tasks *tasks,
                struct eel_settings *settings,
                uint64_t incarnation)
{
  tasks->peers
      = eel_peers_new (tasks->base, settings, incarnation, tasks->metrics);
  if (tasks->peers == NULL)
    return 0;
  settings->peer.port = eel_peers_port (tasks->peers);
  tasks->front = eel_front_new (tasks->base, settings, tasks->metrics);
  if (tasks->front == NULL)
    return 0;
  settings->front.port = eel_front_port (tasks->front);
  tasks->admin
      = eel_admin_new (tasks->base, settings, tasks->metrics, &tasks->audit);
  if (tasks->admin == NULL)
    return 0;
  settings->admin.port = eel_admin_port (tasks->admin);
  return 1;
}

static int
open_clients (struct daemon_tasks *tasks,
              const struct eel_settings *settings,
              uint64_t incarnation)
{
  tasks->upstream = eel_upstream_new (tasks->base, settings, tasks->metrics);
  if (settings->has_platform)
    tasks->platform
        = eel_platform_new (tasks->base, settings, tasks->metrics, incarnation);
  /* Last, since the node announces the bound ports. */
  tasks->node = eel_node_new (tasks->base, settings, incarnation,
                              tasks->metrics, &tasks->audit);
  return tasks->upstream != NULL && tasks->node != NULL
         && (tasks->platform != NULL || !settings->has_platform);
}

static void
connect_tasks (struct daemon_tasks *tasks)
{
  struct eel_mailbox *node = eel_node_inbox (tasks->node);
  struct eel_node_outputs outputs = {
    .front = eel_front_inbox (tasks->front),
    .upstream = eel_upstream_inbox (tasks->upstream),
    .peers = eel_peers_inbox (tasks->peers),
    .admin = eel_admin_inbox (tasks->admin),
  };

  eel_front_connect (tasks->front, node);
  eel_upstream_connect (tasks->upstream, node);
  eel_peers_connect (tasks->peers, node);
  eel_admin_connect (tasks->admin, node);
  if (tasks->platform != NULL)
    {
      outputs.platform = eel_platform_inbox (tasks->platform);
      eel_platform_connect (tasks->platform, node);
    }
  eel_node_connect (tasks->node, &outputs);
}

/* After a failure the caller must still call daemon_tasks_finish. */
int
daemon_tasks_init (struct daemon_tasks *tasks, struct eel_settings *settings)
{
  uint64_t incarnation;

  memset (tasks, 0, sizeof *tasks);
  randombytes_buf (&incarnation, sizeof incarnation);
  if (!create_shared (tasks, settings)
      || !open_listeners (tasks, settings, incarnation)
      || !open_clients (tasks, settings, incarnation))
    return 0;
  connect_tasks (tasks);
  tasks->sigterm_event = add_signal_event (tasks, SIGTERM);
  tasks->sigint_event = add_signal_event (tasks, SIGINT);
  return tasks->sigterm_event != NULL && tasks->sigint_event != NULL;
}

/* Returns when the node task stops the loop after a planned stop. */
void
daemon_tasks_run (struct daemon_tasks *tasks)
{
  event_base_dispatch (tasks->base);
}

/*
 * Freeing a signal event restores the default action, and a second SIGTERM
 * would then end the process while it sends its last answers.  The threads of
 * ZeroMQ block all signals themselves.
 */
static void
block_stop_signals (void)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigprocmask (SIG_BLOCK, &signals, NULL);
}

/* Frees the tasks in the reverse order of their creation. */
void
daemon_tasks_finish (struct daemon_tasks *tasks)
{
  block_stop_signals ();
  if (tasks->sigterm_event != NULL)
    event_free (tasks->sigterm_event);
  if (tasks->sigint_event != NULL)
    event_free (tasks->sigint_event);
  eel_node_free (tasks->node);
  eel_platform_free (tasks->platform);
  eel_upstream_free (tasks->upstream);
  eel_admin_free (tasks->admin);
  eel_front_free (tasks->front);
  eel_peers_free (tasks->peers);
  if (tasks->metrics != NULL)
    eel_metrics_finish (tasks->metrics);
  free (tasks->metrics);
  free (tasks->audit_entries);
  if (tasks->base != NULL)
    event_base_free (tasks->base);
}
