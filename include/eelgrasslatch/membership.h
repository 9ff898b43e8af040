#ifndef EELGRASSLATCH_MEMBERSHIP_H
#define EELGRASSLATCH_MEMBERSHIP_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/types.h"

#define EEL_GOSSIP_UPDATES_MAX 16
#define EEL_MEMBERSHIP_PROBES_MAX 64

enum eel_member_state
{
  /* Named by the platform's list only; has not been heard. */
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
  /* Orders statements about one node; raised by the node to refute. */
  uint64_t generation;
  uint8_t state;
  uint16_t domain;
  uint16_t service;
  char address[EEL_ADDRESS_MAX];
  int64_t changed_us;
  int64_t heard_us;
  /* How often the last change is still sent on. */
  uint8_t sends_left;
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
  EEL_GOSSIP_SYNC_REQUEST,
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
  /* For a ping made on another node's request; else 0. */
  uint32_t for_node;
  uint64_t for_sequence;
  uint8_t indirect;
};

/* Reports a change of a member's state to the owner. */
typedef void (*eel_member_changed_func) (void *data,
                                         const struct eel_member *member,
                                         uint8_t state_before,
                                         const char *source);

struct eel_membership
{
  struct eel_membership_config config;
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
};

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
void eel_membership_listed (struct eel_membership *membership,
                            const struct eel_member_update *entry,
                            int64_t now_us);
/* Any authenticated message of a node shows that it lives. */
void eel_membership_heard (struct eel_membership *membership,
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

#endif
