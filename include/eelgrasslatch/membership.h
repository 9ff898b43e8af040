#ifndef EELGRASSLATCH_MEMBERSHIP_H
#define EELGRASSLATCH_MEMBERSHIP_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/types.h"

#define EEL_GOSSIP_UPDATES_MAX 16
#define EEL_MEMBERSHIP_PROBES_MAX 64
#define EEL_MEMBERSHIP_MAX 4096
/* Slots of the index by node number; a power of two. */
#define EEL_MEMBERSHIP_INDEX 8192
/* Ranges of node numbers whose digests are kept; a power of two. */
#define EEL_MEMBERSHIP_LEAVES 512
/* Recommended length of the out arrays; a shorter one delays messages. */
#define EEL_MEMBERSHIP_OUT_MAX 32
#define EEL_PROBE_SET_MAX 64

enum eel_member_state
{
  /* Named by the platform's list only; no message was received from it. */
  EEL_MEMBER_UNCONFIRMED,
  EEL_MEMBER_ALIVE,
  EEL_MEMBER_SUSPECT,
  EEL_MEMBER_LEAVING,
  EEL_MEMBER_DEAD
};

struct eel_member
{
  uint32_t node;
  /* Random per process start; compared for equality only. */
  uint64_t incarnation;
  /* Orders updates about one node; the node raises it to refute one. */
  uint64_t generation;
  uint8_t state;
  uint16_t domain;
  uint16_t service;
  char address[EEL_ADDRESS_MAX];
  int64_t changed_us;
  int64_t last_received_us;
  /* Messages that are still to carry the last change. */
  uint8_t sends_left;
  /* Pings still to be sent to it outside the probe set. */
  uint8_t pings_left;
};

struct eel_member_update
{
  uint32_t node;
  uint64_t incarnation;
  uint64_t generation;
  uint8_t state;
  uint16_t domain;
  uint16_t service;
  char address[EEL_ADDRESS_MAX];
};

enum eel_gossip_kind
{
  EEL_GOSSIP_PING,
  EEL_GOSSIP_ACK,
  /* Asks a third node to ping the target. */
  EEL_GOSSIP_PING_REQUEST,
  /* Digest of the range of members that target names; 1 is all of them. */
  EEL_GOSSIP_SYNC_REQUEST,
  /*
   * Updates: recent changes when target is 0, else all members of the range
   * target.  Sequence 1 requests the receiver's members of the range when its
   * digest differs.
   */
  EEL_GOSSIP_SYNC
};

struct eel_gossip
{
  uint32_t to;
  uint32_t from;
  uint8_t kind;
  uint32_t target;
  uint64_t sequence;
  /* Digest of the sender's member table. */
  uint64_t digest;
  uint32_t update_count;
  struct eel_member_update updates[EEL_GOSSIP_UPDATES_MAX];
};

struct eel_membership_config
{
  uint32_t self;
  uint64_t incarnation;
  uint64_t generation;
  uint16_t domain;
  uint16_t service;
  char address[EEL_ADDRESS_MAX];
  int64_t probe_interval_us;
  int64_t probe_timeout_us;
  int64_t suspicion_us;
  int64_t dead_retry_us;
  int64_t dead_forget_us;
  uint32_t probes_own_domain;
  uint32_t probes_other_domain;
};

struct eel_probe
{
  uint32_t node;
  uint64_t sequence;
  int64_t sent_us;
  /* Node that requested an indirect ping and its sequence; else 0. */
  uint32_t requester;
  uint64_t requester_sequence;
  uint8_t indirect;
};

/*
 * Reports a change of a member's state to the owner.  Called with the state
 * unchanged when the member has a new incarnation.
 */
typedef void (*eel_member_changed_func) (void *data,
                                         const struct eel_member *member,
                                         uint8_t state_before,
                                         const char *source);

struct eel_membership
{
  struct eel_membership_config config;
  /* The first one is this node itself. */
  struct eel_member *members;
  uint32_t capacity;
  uint32_t count;
  struct eel_rng rng;
  struct eel_probe probes[EEL_MEMBERSHIP_PROBES_MAX];
  uint64_t sequence;
  int64_t next_probe_us;
  int64_t next_dead_retry_us;
  int64_t last_tick_us;
  uint32_t probe_cursor;
  /* Lifeguard's local health: 0 is healthy, each step doubles timeouts. */
  uint8_t local_health;
  uint8_t leaving;
  uint64_t version;
  uint64_t ignored_full;
  eel_member_changed_func changed;
  void *changed_data;
  /* The rest is private to src/membership. */
  uint16_t index[EEL_MEMBERSHIP_INDEX];
  uint64_t leaf_digest[EEL_MEMBERSHIP_LEAVES];
  uint32_t leaf_count[EEL_MEMBERSHIP_LEAVES];
  uint32_t state_count[EEL_MEMBER_DEAD + 1];
  uint32_t pending_pings;
  uint32_t pending_updates;
  uint32_t update_cursor;
  uint32_t ping_cursor;
  uint32_t retry_cursor;
  uint32_t probe_set[EEL_PROBE_SET_MAX];
  uint32_t probe_set_count;
  uint8_t probe_set_stale;
  uint8_t announce_pending;
  int64_t started_us;
  int64_t next_gossip_us;
  int64_t next_sync_us;
  /* Sync requests that may still be sent, in thousandths. */
  int64_t sync_credit_milli;
  int64_t sync_refilled_us;
  int64_t next_forget_us;
  int64_t last_ack_us;
  uint64_t refutations;
  uint64_t late_ticks;
};

/* Probe interval 1 s, timeout 500 ms, suspicion 3 s, retries every 30 s. */
void eel_membership_config_defaults (struct eel_membership_config *config);

void eel_membership_init (struct eel_membership *membership,
                          const struct eel_membership_config *config,
                          struct eel_member *members,
                          uint32_t capacity,
                          uint64_t seed,
                          int64_t now_us);
void eel_membership_finish (struct eel_membership *membership);
void eel_membership_on_change (struct eel_membership *membership,
                               eel_member_changed_func changed,
                               void *data);
/* Writes messages that are due into out; returns their number. */
size_t eel_membership_tick (struct eel_membership *membership,
                            int64_t now_us,
                            struct eel_gossip *out,
                            size_t out_max);
/* Handles a received message; answers go into out. */
size_t eel_membership_receive (struct eel_membership *membership,
                               const struct eel_gossip *message,
                               int64_t now_us,
                               struct eel_gossip *out,
                               size_t out_max);
/* Merges one entry of the platform's lagging VM list. */
void eel_membership_merge_listed (struct eel_membership *membership,
                                  const struct eel_member_update *entry,
                                  int64_t now_us);
/* Records that an authenticated message of the node was received. */
void eel_membership_record_contact (struct eel_membership *membership,
                                    uint32_t node,
                                    uint64_t incarnation,
                                    int64_t now_us);
/* Announces that this node is leaving. */
void eel_membership_leave (struct eel_membership *membership, int64_t now_us);
const struct eel_member *
eel_membership_find (const struct eel_membership *membership, uint32_t node);
/* 1 when this node is one of the readers_per_domain readers of its domain. */
int eel_membership_is_reader (const struct eel_membership *membership,
                              uint32_t readers_per_domain);
/* Node numbers that this node probes; also the peers that it gossips to. */
size_t eel_membership_probe_set (const struct eel_membership *membership,
                                 uint32_t *out,
                                 size_t out_max);

/*
 * An entry of the platform's VM list.  The owner maps the service name to a
 * number before it passes update to eel_membership_merge_listed.
 */
struct eel_vm_entry
{
  struct eel_member_update update;
  char service[EEL_SERVICE_MAX];
};

/*
 * Reads lines "node domain_id service state address".  Lines that are
 * malformed or do not fit into out are left out and counted in *ignored.
 */
size_t eel_vm_list_parse (const char *text,
                          size_t bytes,
                          struct eel_vm_entry *out,
                          size_t out_max,
                          size_t *ignored);

#endif
