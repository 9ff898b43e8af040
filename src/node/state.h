#ifndef EEL_NODE_STATE_H
#define EEL_NODE_STATE_H

#include <event2/event.h>
#include <event2/event_struct.h>
#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/admission.h"
#include "eelgrasslatch/coordinator.h"
#include "eelgrasslatch/execution.h"
#include "eelgrasslatch/membership.h"
#include "eelgrasslatch/preset.h"
#include "eelgrasslatch/quarantine.h"
#include "eelgrasslatch/retry.h"
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/routing.h"
#include "internal/call.h"
#include "internal/tasks.h"
#include "internal/wire.h"

/* State of the node task, shared by the files of src/node only. */

#define NODE_TICK_US (10 * EEL_US_PER_MS)
/* A longer gap between loop turns makes what is known of peers stale. */
#define NODE_PAUSE_US (1 * EEL_US_PER_S)
#define NODE_SERVICES_MAX 256
/* Members of one service that this node sends to: own domain, others. */
#define NODE_SUBSET_OWN 8
#define NODE_SUBSET_OTHER 4
#define NODE_ENDPOINTS_MAX (NODE_SUBSET_OWN + NODE_SUBSET_OTHER)
#define NODE_MEMBERS_MAX 4096
#define NODE_TRIED_MAX 8
#define NODE_PEERS_MAX 2048
/* Tells an executor that the call was in flight at another one's crash. */
#define NODE_SUSPECT_HEADER "Eel-Suspect"
#define NODE_SUSPECTS_MAX 64
#define NODE_CRASHED_MAX 64
/* Subset peers that have been silent this long are pinged. */
#define NODE_QUIET_US (20 * EEL_US_PER_S)
/* A clock value older than this is not used for valid-until. */
#define NODE_CLOCK_LIFE_US (60 * EEL_US_PER_S)
/* Links outside the subsets are closed after this time without use. */
#define NODE_LINK_IDLE_US (60 * EEL_US_PER_S)
#define NODE_PING_INTERVAL_US (200 * EEL_US_PER_MS)
/* Serve under the built-in defaults when nobody answered for this long. */
#define NODE_JOIN_US (5 * EEL_US_PER_S)
#define NODE_GOSSIP_OUT 64

/* Head of each item of a table; id 0 means that the slot is free. */
struct node_slot
{
  uint64_t id;
  uint64_t origin_id;
  uint32_t origin;
  uint32_t next;
};

/*
 * A fixed number of items found by their id, or by the node and number that
 * they came from.  Ids contain a generation, so a late message never finds
 * another item in a reused slot.
 */
struct node_table
{
  uint8_t *items;
  size_t item_bytes;
  uint32_t capacity;
  uint32_t used;
  uint32_t free_head;
  uint32_t *buckets;
  uint32_t bucket_count;
  uint64_t generation;
  uint64_t refused;
};

/* A service that calls go to, with this node's view of its endpoints. */
struct node_service
{
  char name[EEL_SERVICE_MAX];
  uint16_t number;
  struct eel_routing routing;
  struct eel_endpoint endpoints[NODE_ENDPOINTS_MAX];
  struct eel_retry_budget budget;
};

/* What was last heard from another node. */
struct node_peer
{
  uint32_t node;
  uint8_t used;
  /* Heard since the start or the last pause of this process. */
  uint8_t fresh;
  /* Member of a routing subset, which keeps its entry. */
  uint8_t subset;
  uint64_t incarnation;
  /* Its monotonic clock when it sent, and ours when that arrived. */
  int64_t sent_us;
  int64_t heard_us;
  int64_t pinged_us;
  /* Last time that a link to it was asked for; 0 when it is closed. */
  int64_t linked_us;
};

enum node_role
{
  /* From the front: this node answers a caller or its own upstream. */
  NODE_ENTRY,
  /* From another node: this node decides about the key. */
  NODE_DECIDE
};

/* A call that this node has to answer. */
struct node_request
{
  struct node_slot slot;
  struct eel_node *node;
  enum node_role role;
  struct eel_mailbox *reply_to;
  struct eel_call *call;
  struct eel_document *document;
  struct node_service *service;
  struct eel_ledger ledger;
  /* Run that it is nested in, and the spare attempts lent by it. */
  uint64_t parent;
  uint8_t parent_lent;
  uint8_t idempotent;
  /* Counted by the entry throttle. */
  uint8_t throttled;
  uint8_t has_timer;
  /* The next attempt is sent as a suspect. */
  uint8_t suspect;
  uint8_t hedged;
  enum eel_class klass;
  uint32_t route_hash;
  int64_t deadline_us;
  int64_t started_us;
  struct event timer;
  uint32_t tried[NODE_TRIED_MAX];
  uint32_t tried_count;
  /* Attempts that are outstanding: the first one and a hedge. */
  uint64_t sends[2];
};

/* A non-idempotent request whose key this node decides about. */
struct node_order
{
  struct node_slot slot;
  struct eel_key key;
  struct eel_call *call;
  struct node_service *service;
  uint32_t tried[NODE_TRIED_MAX];
  uint32_t tried_count;
  uint32_t dispatches;
  /* The last attempt was refused by a leaving executor. */
  uint8_t rerouted;
};

enum node_send_kind
{
  NODE_SEND_LOOKUP,
  NODE_SEND_DECIDE,
  NODE_SEND_ORDER
};

/* A call sent to a node (this one included) that has not been answered. */
struct node_send
{
  struct node_slot slot;
  enum node_send_kind kind;
  /* Request that it belongs to; orders are found by their key. */
  uint64_t owner;
  struct node_service *service;
  uint32_t target;
  uint8_t attempt;
  uint8_t lent;
  int64_t sent_us;
  int64_t deadline_us;
  uint64_t target_incarnation;
  struct eel_key key;
};

enum node_run_state
{
  /* Waits until no other suspect is at this endpoint. */
  NODE_RUN_APART,
  NODE_RUN_QUEUED,
  NODE_RUN_RUNNING
};

/* A call at this node's own upstream, or in the queue before it. */
struct node_run
{
  struct node_slot slot;
  enum node_run_state state;
  /* Until it is passed to the upstream task. */
  struct eel_call *call;
  struct eel_work work;
  struct eel_ledger ledger;
  struct eel_key key;
  struct eel_key root;
  uint8_t has_root;
  uint8_t idempotent;
  uint8_t attempt;
  uint8_t suspect;
  uint8_t cancelled;
  enum eel_class klass;
  uint64_t fingerprint;
  int64_t deadline_us;
  int64_t valid_until_us;
};

struct node_metrics
{
  struct eel_metric *entered[EEL_CLASS_COUNT];
  struct eel_metric *answered[EEL_OUTCOME_COUNT];
  struct eel_metric *latency;
  struct eel_metric *runs;
  struct eel_metric *retries;
  struct eel_metric *hedges;
  struct eel_metric *refused_entry;
  struct eel_metric *refused_executor;
  struct eel_metric *duplicates;
  struct eel_metric *pauses;
  struct eel_metric *table_full;
  struct eel_metric *post_refused;
  struct eel_metric *in_flight;
  struct eel_metric *queued;
  struct eel_metric *limit;
  struct eel_metric *members;
  struct eel_metric *revision;
};

struct eel_node
{
  struct event_base *base;
  struct eel_settings settings;
  uint64_t incarnation;
  uint64_t fingerprint_seed;
  struct eel_mailbox inbox;
  struct eel_node_outputs out;
  struct eel_audit *audit;
  struct event *tick;
  struct event *exit_timer;
  struct eel_rng rng;
  int64_t now_us;
  int64_t last_turn_us;
  int64_t started_us;
  struct node_metrics metrics;

  struct eel_coordinator coordinator;
  struct eel_decider_storage decider_storage;
  struct eel_executor executor;
  struct eel_admission admission;
  struct eel_throttle throttle;
  struct eel_quarantine quarantine;
  struct eel_membership membership;
  struct eel_preset_store presets;
  /* Memory of the decision modules, freed together. */
  void *blocks[16];
  uint32_t block_count;

  struct node_table requests;
  struct node_table orders;
  struct node_table sends;
  struct node_table runs;
  struct node_service *services[NODE_SERVICES_MAX];
  uint32_t service_count;
  /* Names that numbers in member records stand for, as far as seen. */
  char *service_names[NODE_SERVICES_MAX];
  uint32_t service_name_count;
  uint64_t services_refused;
  uint64_t vms_ignored;
  struct node_peer peers[NODE_PEERS_MAX];
  uint64_t peers_replaced;
  uint64_t members_version;
  uint32_t sweep_cursor;
  uint32_t order_cursor;
  uint32_t ticks;

  /* The suspect that is queued or running here, or 0. */
  uint64_t suspect;
  uint32_t suspects_waiting;
  uint64_t crashed[NODE_CRASHED_MAX];
  uint32_t crashed_count;

  enum eel_upstream_state upstream_state;
  uint8_t upstream_leaving;
  uint8_t draining;
  uint8_t front_drained;
  uint8_t exiting;
  int64_t drain_started_us;
  uint8_t reader;
  /* A seed or the platform has answered. */
  uint8_t seed_heard;
  uint8_t platform_heard;
  uint8_t platform_up;
  /* The last offered document was refused. */
  uint8_t document_refused;
  /* Two documents of the revision in force exist; a greater one ends it. */
  uint8_t document_conflict;
  char document_reason[EEL_AUDIT_REASON_MAX];
  int64_t document_asked_us;
  int64_t next_join_us;
  /* Digest in membership's last message, for pings made here. */
  uint64_t digest;
  struct eel_revision revision_seen;
};

#endif
