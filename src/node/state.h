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
/* A longer gap between event loop iterations marks all peers as stale. */
#define NODE_PAUSE_MIN_US (1 * EEL_US_PER_S)
#define NODE_SERVICES_MAX 256
/* Members of one service that this node routes to, by failure domain. */
#define NODE_SUBSET_OWN_DOMAIN_MAX 8
#define NODE_SUBSET_OTHER_DOMAINS_MAX 4
#define NODE_ENDPOINTS_MAX                                                     \
  (NODE_SUBSET_OWN_DOMAIN_MAX + NODE_SUBSET_OTHER_DOMAINS_MAX)
#define NODE_MEMBERS_MAX 4096
#define NODE_TRIED_MAX 8
#define NODE_PEERS_MAX 2048
/* Marks a call that was in flight when another endpoint crashed. */
#define NODE_SUSPECT_HEADER "Eel-Suspect"
#define NODE_SUSPECTS_HELD_MAX 64
#define NODE_CRASHED_MAX 64
/* Subset peers that have sent nothing for this long are pinged. */
#define NODE_PEER_SILENCE_MAX_US (20 * EEL_US_PER_S)
/* A peer's clock reading older than this is not used for valid-until. */
#define NODE_PEER_CLOCK_AGE_MAX_US (60 * EEL_US_PER_S)
/* Unused connections outside the subsets are closed after this time. */
#define NODE_CONNECTION_IDLE_MAX_US (60 * EEL_US_PER_S)
#define NODE_PING_INTERVAL_US (200 * EEL_US_PER_MS)
/*
 * After this time the node accepts calls, under the built-in defaults if
 * neither a seed nor the platform has answered.
 */
#define NODE_JOIN_TIMEOUT_US (5 * EEL_US_PER_S)
#define NODE_GOSSIP_MESSAGES_MAX 64

/* First member of each table item; id 0 means that the slot is free. */
struct node_slot
{
  uint64_t id;
  uint64_t origin_id;
  uint32_t origin;
  uint32_t next;
};

/*
 * Fixed-size table of items, indexed by id and by the node and call number
 * that they came from.  Ids contain a generation, so a late message never
 * matches another item in a reused slot.
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

/* A called service, with this node's view of its endpoints. */
struct node_service
{
  char name[EEL_SERVICE_MAX];
  uint16_t number;
  struct eel_routing routing;
  struct eel_endpoint endpoints[NODE_ENDPOINTS_MAX];
  struct eel_retry_budget budget;
};

/* State of another node as of its last message. */
struct node_peer
{
  uint32_t node;
  uint8_t used;
  /* A message arrived since the start or the last pause of this process. */
  uint8_t fresh;
  /* Member of a routing subset or probe set; such entries are replaced last. */
  uint8_t subset;
  uint64_t incarnation;
  /* The peer's clock when it sent the message, and the local one at receipt. */
  int64_t sent_us;
  int64_t received_us;
  int64_t pinged_us;
  /* Last time that a connection was requested; 0 when it is closed. */
  int64_t connect_requested_us;
};

enum node_role
{
  /* From the front: this node answers a caller or its upstream. */
  NODE_ROLE_ENTRY,
  /* From another node: this node is the decider of the key. */
  NODE_ROLE_DECIDER
};

/* A call that this node must answer. */
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
  /* Run that the call is nested in, and the spare attempts lent by it. */
  uint64_t parent;
  uint8_t parent_lent;
  uint8_t idempotent;
  /* Counted by the entry throttle. */
  uint8_t throttled;
  uint8_t has_timer;
  /* The next attempt is marked as a suspect. */
  uint8_t suspect;
  uint8_t hedged;
  enum eel_class klass;
  uint32_t route_hash;
  int64_t deadline_us;
  int64_t started_us;
  struct event timer;
  uint32_t tried[NODE_TRIED_MAX];
  uint32_t tried_count;
  /* Ids of the outstanding attempts: the first one and a hedge. */
  uint64_t sends[2];
};

/* A non-idempotent request of which this node is the decider. */
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
  /* An attempt of an idempotent request. */
  NODE_SEND_LOOKUP,
  /* An order forwarded to the decider of its key. */
  NODE_SEND_DECIDE,
  /* An attempt that this node dispatched as the decider. */
  NODE_SEND_ORDER
};

/* An unanswered call sent to a node, which may be this one. */
struct node_send
{
  struct node_slot slot;
  enum node_send_kind kind;
  /* Id of its request; orders are found by their key instead. */
  uint64_t owner;
  struct node_service *service;
  uint32_t target;
  uint8_t attempt;
  /* Spare attempts lent to the target. */
  uint8_t lent;
  int64_t sent_us;
  int64_t deadline_us;
  uint64_t target_incarnation;
  struct eel_key key;
};

enum node_run_state
{
  /* Held until no other suspect is queued or running at this endpoint. */
  NODE_RUN_HELD,
  NODE_RUN_QUEUED,
  NODE_RUN_RUNNING
};

/* A call running at this node's upstream, or waiting for it. */
struct node_run
{
  struct node_slot slot;
  enum node_run_state state;
  /* NULL once it has been posted to the upstream task. */
  struct eel_call *call;
  struct eel_work_item work;
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
  int64_t last_iteration_us;
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
  /* Allocations of the decision modules, freed by node_teardown. */
  void *blocks[16];
  uint32_t block_count;

  struct node_table requests;
  struct node_table orders;
  struct node_table sends;
  struct node_table runs;
  struct node_service *services[NODE_SERVICES_MAX];
  uint32_t service_count;
  /* Known names for the service numbers in member records. */
  char *service_names[NODE_SERVICES_MAX];
  uint32_t service_name_count;
  uint64_t services_refused;
  uint64_t vms_ignored;
  struct node_peer peers[NODE_PEERS_MAX];
  uint64_t peers_replaced;
  /* membership.version + 1 at the last refresh; 0 forces one. */
  uint64_t members_version;
  uint32_t send_sweep_cursor;
  uint32_t order_sweep_cursor;
  uint32_t ticks;

  /* Id of the suspect run that is queued or running here, or 0. */
  uint64_t active_suspect;
  uint32_t suspects_held;
  uint64_t crashed_fingerprints[NODE_CRASHED_MAX];
  uint32_t crashed_count;

  enum eel_upstream_state upstream_state;
  uint8_t upstream_leaving;
  uint8_t draining;
  uint8_t front_drained;
  uint8_t exiting;
  int64_t drain_started_us;
  int64_t order_log_since_us;
  uint32_t order_log_lines;
  uint8_t reader;
  /* Another node has sent gossip; the platform has answered. */
  uint8_t gossip_received;
  uint8_t platform_answered;
  uint8_t platform_up;
  /* The last offered document was refused. */
  uint8_t document_refused;
  /* Two documents of the revision in force exist; cleared by a greater one. */
  uint8_t document_conflict;
  char document_reason[EEL_AUDIT_REASON_MAX];
  int64_t document_requested_us;
  int64_t next_join_us;
  /* Digest of membership's last message, for pings sent by this task. */
  uint64_t digest;
  struct eel_revision revision_seen;
};

#endif
