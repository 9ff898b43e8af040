#ifndef EELGRASSLATCH_DIRECTORY_H
#define EELGRASSLATCH_DIRECTORY_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * Endpoints that a registry lists.  The greater revision of an id always wins,
 * whatever its source, within one era of the registry (published.h).  An entry
 * that the registry drops during an outage, or in the grace period after it,
 * stays usable until the end of that period, since a live endpoint registers
 * again.  One that has registered again and is dropped then was withdrawn.
 *
 * In a new era the registry may list an endpoint as it was before it left. Such
 * an endpoint stays out of use until it says itself that it is in service, by a
 * later start or sequence, or for as long as it takes an endpoint that is gone
 * to lose its entry, and one that leaves to say so again.
 */

/* With the end of the text: keys of the registry have up to 200 bytes, and 8 of
   them stand before the id. */
#define EEL_INSTANCE_ID_MAX 193
/* After an outage of the registry a live endpoint is back within 2 s of its
   end, which is noticed a little later. */
#define EEL_LAPSED_GRACE_US (1800 * EEL_US_PER_MS)

/* Failure domains that have a number; 0 is that of this node. */
#define EEL_DOMAINS_MAX 16
#define EEL_HOME_DOMAIN 0
#define EEL_ANY_DOMAIN UINT8_MAX

/* Time of an outage when none is known. */
#define EEL_NO_OUTAGE_US (INT64_MIN / 4)

enum eel_instance_state
{
  EEL_INSTANCE_READY,
  EEL_INSTANCE_DRAINING,
  /* Dropped by an unstable registry; usable in the grace period. */
  EEL_INSTANCE_LAPSED,
  EEL_INSTANCE_REMOVED
};

/* Expected wait of a request of the rank that arrives at an endpoint. */
struct eel_rank_wait
{
  uint32_t wait_ms;
  uint8_t rank;
};

/* Ranks of which waits are kept; the one that was unused for longest gives way.
 */
#define EEL_RANK_WAITS_MAX 4

/* What the node beside an endpoint tells with each answer. */
struct eel_instance_report
{
  /* Use of the limit in thousandths; above 1000 requests wait. */
  uint32_t use_milli;
  /* Share of runs that failed by the endpoint's own fault, in thousandths. */
  uint32_t fault_milli;
  /* Mean time that a request holds a slot; 0: unknown. */
  int64_t hold_us;
  /* The endpoint names a limit, in thousandths of a request a second. */
  uint8_t has_limit;
  uint64_t limit_milli;
  /* Present speed relative to the endpoint's usual one, in thousandths; 0:
     unknown. */
  uint32_t speed_milli;
  /* Usual time that a run of the route holds a slot; 0: unknown. */
  uint64_t route;
  int64_t run_us;
  /* By ascending rank; none while an arriving request starts at once, or by
     nodes of earlier versions. */
  struct eel_rank_wait rank_waits[EEL_RANK_WAITS_MAX];
  uint32_t rank_wait_count;
};

/* Usual time of a route at an endpoint, as its node reported it. */
struct eel_instance_run
{
  uint64_t route;
  int64_t run_us;
  int64_t reported_us;
};

/* Routes of which times are kept; the one that was reported longest ago gives
   way. */
#define EEL_INSTANCE_RUNS_MAX 8

struct eel_instance
{
  char id[EEL_INSTANCE_ID_MAX];
  uint32_t service;
  enum eel_instance_state state;
  uint64_t revision;
  /* IPv4 in network order; port in host order. */
  uint32_t ip;
  uint16_t port;
  uint32_t slots;
  uint8_t same_domain;
  /* Number of the failure domain, 0: that of this node; EEL_ANY_DOMAIN: beyond
     those that have one. */
  uint8_t domain;
  /* The endpoint itself has said that it leaves. */
  uint8_t leaving;
  /* When it started, by its own clock; 0: unknown.  Tells two starts under one
     id apart. */
  int64_t born_ms;
  /* Counts what the endpoint has said of itself since then. */
  int64_t sequence;
  /* Of an entry that is put: it comes from a listing, not from a change. */
  uint8_t is_listed;
  int64_t cold_until_us;
  /* Known to have left in an earlier era: entries that are no later don't count
     until this time; 0: it is not. */
  int64_t left_until_us;
  /* When this node learned of the newest registration, and of its loss; 0: it
     is not lost, or was withdrawn. */
  int64_t registered_us;
  int64_t lapsed_us;

  /* This sender's own state, maintained by the place module. */
  uint32_t in_flight;
  /* Requests among these that its node has not accepted yet. */
  uint32_t unaccepted;
  /* What its node reported last, and when. */
  struct eel_instance_report report;
  int64_t reported_us;
  /* Requests that were sent there since. */
  uint32_t sent_since_report;
  struct eel_instance_run runs[EEL_INSTANCE_RUNS_MAX];
  /* Maintained by spared.h. */
  uint8_t spared;
  /* Avoided until this time; grows with consecutive failures. */
  int64_t avoid_until_us;
  uint32_t failures;
  /* EWMA of the share of requests that the endpoint itself refused. */
  double shed_rate;
};

struct eel_directory
{
  struct eel_instance *instances;
  uint32_t capacity;
  uint32_t count;
  /* Whether the registry answers, and the end of its last known outage. */
  uint8_t stable;
  int64_t stable_since_us;
  /* Removals are not final yet: whoever told them may be nearer to the registry
     than this node. */
  uint8_t unconfirmed;
  uint64_t dropped_full;
};

void eel_directory_init (struct eel_directory *directory,
                         struct eel_instance *instances,
                         uint32_t capacity);
/* Returns 1 when the entry is newer than the known one. */
int eel_directory_put (struct eel_directory *directory,
                       const struct eel_instance *instance,
                       int64_t now_us);
/* Returns 1 when the removal is newer than the known entry. */
int eel_directory_remove (struct eel_directory *directory,
                          const char *id,
                          uint64_t revision,
                          int64_t now_us);
/*
 * Begins a new era of the registry: any revision is greater than those known.
 * Endpoints that have left stay out of use until hold_until_us.
 */
void eel_directory_begin_era (struct eel_directory *directory,
                              int64_t hold_until_us);
/* Records what a peer has known in an earlier era of an endpoint that has left:
   its start and sequence then, its state and loss, and until when it is held
   out of use.  Returns 1 when it was in use. */
int eel_directory_set_left (struct eel_directory *directory,
                            const struct eel_instance *left);
/* Returns an endpoint whose time of being held out of use is over, and ends it;
   NULL when there is none left.  Its entry may be put again. */
struct eel_instance *
eel_directory_next_released (struct eel_directory *directory, int64_t now_us);
/* Records that an endpoint has said that it leaves, which holds until it starts
   again.  Returns 1 when that was not known. */
int eel_directory_set_leaving (struct eel_directory *directory, const char *id);
/* Begins an outage of the registry. */
void eel_directory_set_unstable (struct eel_directory *directory);
/* Ends an outage, or records an earlier one that ended at that time. */
void eel_directory_set_stable_since (struct eel_directory *directory,
                                     int64_t since_us);
/* While removals are not confirmed, entries that are removed lapse. */
void eel_directory_set_confirmed (struct eel_directory *directory,
                                  int confirmed);
int eel_directory_has_lapsed (const struct eel_directory *directory);
/* Removes a lapsed entry whose grace period is over and returns it; NULL when
   there is none left. */
struct eel_instance *
eel_directory_next_expired (struct eel_directory *directory, int64_t now_us);
struct eel_instance *eel_directory_find (struct eel_directory *directory,
                                         const char *id);
/* Endpoint of a service at an address, for the node on the same VM, or NULL. */
struct eel_instance *eel_directory_find_by_address (
    struct eel_directory *directory, uint32_t ip, uint32_t service);
/* True while the registry counts the endpoint as in service. */
int eel_instance_listed (const struct eel_instance *instance);
/* True for endpoints that may receive requests. */
int eel_instance_usable (const struct eel_instance *instance);

#endif
