#ifndef EEL_DAEMON_TASKS_H
#define EEL_DAEMON_TASKS_H

#include "internal/tasks.h"

/* The tasks of one process and the objects that they share. */
struct daemon_tasks
{
  struct event_base *base;
  struct event *sigterm_event;
  struct event *sigint_event;
  struct eel_metrics *metrics;
  struct eel_audit audit;
  struct eel_audit_entry *audit_entries;
  struct eel_front *front;
  struct eel_upstream *upstream;
  struct eel_peers *peers;
  struct eel_platform *platform;
  struct eel_admin *admin;
  struct eel_node *node;
  uint32_t stop_signals;
};

/* Opens all sockets and replaces ports of 0 in *settings by the bound ones. */
int daemon_tasks_init (struct daemon_tasks *tasks,
                       struct eel_settings *settings);
void daemon_tasks_run (struct daemon_tasks *tasks);
void daemon_tasks_finish (struct daemon_tasks *tasks);

#endif
