#ifndef EEL_INTERNAL_TASKS_H
#define EEL_INTERNAL_TASKS_H

#include <stdint.h>

#include "internal/audit.h"
#include "internal/metrics.h"
#include "internal/settings.h"
#include "internal/task.h"

/*
 * The tasks of a daemon.  Each *_new returns a task with its inbox, or NULL
 * after logging the reason; *_connect sets the inboxes that the task posts to.
 */

struct event_base;
struct eel_front;
struct eel_upstream;
struct eel_peers;
struct eel_platform;
struct eel_admin;
struct eel_node;

/* Listener for callers and local services (libevhtp). */
struct eel_front *eel_front_new (struct event_base *base,
                                 const struct eel_settings *settings,
                                 struct eel_metrics *metrics);
struct eel_mailbox *eel_front_inbox (struct eel_front *front);
void eel_front_connect (struct eel_front *front, struct eel_mailbox *node);
/* The bound port; the settings may give 0 for any free port. */
uint16_t eel_front_port (const struct eel_front *front);
void eel_front_free (struct eel_front *front);

/* Connections to this node's own upstream (evhttp). */
struct eel_upstream *eel_upstream_new (struct event_base *base,
                                       const struct eel_settings *settings,
                                       struct eel_metrics *metrics);
struct eel_mailbox *eel_upstream_inbox (struct eel_upstream *upstream);
void eel_upstream_connect (struct eel_upstream *upstream,
                           struct eel_mailbox *node);
void eel_upstream_free (struct eel_upstream *upstream);

/* Sockets to other nodes (ZeroMQ with CURVE). */
struct eel_peers *eel_peers_new (struct event_base *base,
                                 const struct eel_settings *settings,
                                 uint64_t incarnation,
                                 struct eel_metrics *metrics);
struct eel_mailbox *eel_peers_inbox (struct eel_peers *peers);
void eel_peers_connect (struct eel_peers *peers, struct eel_mailbox *node);
uint16_t eel_peers_port (const struct eel_peers *peers);
void eel_peers_free (struct eel_peers *peers);

/* Reads and watches the services of the platform (evhttp). */
struct eel_platform *eel_platform_new (struct event_base *base,
                                       const struct eel_settings *settings,
                                       struct eel_metrics *metrics,
                                       uint64_t seed);
struct eel_mailbox *eel_platform_inbox (struct eel_platform *platform);
void eel_platform_connect (struct eel_platform *platform,
                           struct eel_mailbox *node);
void eel_platform_free (struct eel_platform *platform);

/* Admin listener (evhttp) on an address of its own; requires the token. */
struct eel_admin *eel_admin_new (struct event_base *base,
                                 const struct eel_settings *settings,
                                 struct eel_metrics *metrics,
                                 struct eel_audit *audit);
struct eel_mailbox *eel_admin_inbox (struct eel_admin *admin);
void eel_admin_connect (struct eel_admin *admin, struct eel_mailbox *node);
uint16_t eel_admin_port (const struct eel_admin *admin);
void eel_admin_free (struct eel_admin *admin);

/* Inboxes that the node task posts to. */
struct eel_node_outputs
{
  struct eel_mailbox *front;
  struct eel_mailbox *upstream;
  struct eel_mailbox *peers;
  struct eel_mailbox *platform;
  struct eel_mailbox *admin;
};

/* Decision state of this node; handles each call from arrival to answer. */
struct eel_node *eel_node_new (struct event_base *base,
                               const struct eel_settings *settings,
                               uint64_t incarnation,
                               struct eel_metrics *metrics,
                               struct eel_audit *audit);
struct eel_mailbox *eel_node_inbox (struct eel_node *node);
void eel_node_connect (struct eel_node *node,
                       const struct eel_node_outputs *outputs);
void eel_node_free (struct eel_node *node);

#endif
