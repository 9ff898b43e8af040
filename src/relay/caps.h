#ifndef EEL_RELAY_CAPS_H
#define EEL_RELAY_CAPS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#include "eelgrasslatch/team_cap.h"
#include "internal/metrics.h"

/*
 * Caps of teams at a node: its messages with the holders, the buckets that it
 * holds itself, and the requests that wait for a token.  Nothing is sent or
 * opened until a configuration has a team with a cap.
 */

struct event;
struct eel_entry;
struct eel_relay;

/* Teams whose limiting is told by a line of their own. */
#define EEL_CAPS_LIMITED_MAX 16

/* A team that has met its cap here lately. */
struct eel_caps_limited
{
  uint64_t team;
  int64_t since_us;
  int64_t last_us;
  uint64_t refused;
};

struct eel_caps_counters
{
  struct eel_metric *refused;
  struct eel_metric *unknown;
  struct eel_metric *waiting;
  struct eel_metric *messages;
  struct eel_metric *bytes;
  struct eel_metric *dropped;
  struct eel_metric *holders_lost;
  struct eel_metric *granted;
  struct eel_metric *share;
  struct eel_metric *lapsed;
};

struct eel_caps
{
  struct eel_relay *relay;
  uint8_t in_force;
  /* -1: no other node can be asked, so this one uses its own share only. */
  int fd;
  struct event *readable;
  struct event *timer;
  struct eel_cap_view view;
  struct eel_cap_holder holder;
  struct eel_team_cap cap;
  /* struct eel_entry, in the order of their arrival. */
  GQueue waiting;
  uint8_t serving;
  struct eel_caps_limited limited[EEL_CAPS_LIMITED_MAX];
  int64_t reported_us;
  /* As told in a line last. */
  uint32_t share_told_milli;
  uint32_t lapsed_nodes;
  struct eel_caps_counters counters;
};

/* Creates the caps of a relay when its teams have any; call it after a change
   of the teams. */
void eel_caps_teams_changed (struct eel_relay *relay);
/* Call it after a change of the directory. */
void eel_caps_nodes_changed (struct eel_relay *relay);
/* Drops nodes that lapsed long ago; call it about once a second. */
void eel_caps_review_nodes (struct eel_caps *caps);
void eel_caps_free (struct eel_caps *caps);
/* Sends what is due and serves the requests that wait.  May free any entry: no
   caller may be at work on one. */
void eel_caps_run (struct eel_caps *caps);
/* Sends what is due, and has the event loop serve the requests that wait. */
void eel_caps_wake (struct eel_caps *caps);

void eel_caps_init_counters (struct eel_caps *caps,
                             struct eel_metrics *metrics);
/* Records that a request of a team was refused. */
void eel_caps_count_refused (struct eel_caps *caps,
                             uint64_t team,
                             int64_t wait_us,
                             int64_t now_us);
/* Updates the counters and tells which teams are limited no longer. */
void eel_caps_report (struct eel_caps *caps, int64_t now_us);

/* Takes a token for a new request and returns 1.  Otherwise the request waits
   for one or has been answered.  Ends no other request. */
int eel_entry_take_token (struct eel_entry *entry);
/* The request has ended while it waited. */
void eel_entry_leave_caps (struct eel_entry *entry);
/* The request has not run: gives its token back. */
void eel_entry_return_token (struct eel_entry *entry);
/* Time until the caller can expect a token. */
int64_t eel_entry_cap_wait_us (struct eel_entry *entry);
/* Decides about the requests that wait. */
void eel_caps_serve_waiting (struct eel_caps *caps, int64_t now_us);

#endif
