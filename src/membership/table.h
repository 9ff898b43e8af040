#ifndef EEL_MEMBERSHIP_TABLE_H
#define EEL_MEMBERSHIP_TABLE_H

#include "eelgrasslatch/membership.h"

/* Messages that one call produces, bounded by the caller's array. */
struct eel_outbox
{
  struct eel_gossip *items;
  size_t count;
  size_t max;
};

/* How a statement reached this node. */
enum eel_statement_source
{
  EEL_FROM_GOSSIP,
  EEL_FROM_SYNC
};

struct eel_member *eel_table_find (const struct eel_membership *membership,
                                   uint32_t node);
struct eel_member *eel_table_add (struct eel_membership *membership,
                                  const struct eel_member_update *update,
                                  int64_t now_us);
void eel_table_remove (struct eel_membership *membership, uint32_t position);
/* Changes what the digest covers, and reports the change to the owner. */
void eel_table_set (struct eel_membership *membership,
                    struct eel_member *member,
                    uint8_t state,
                    uint64_t generation,
                    uint64_t incarnation,
                    const char *source,
                    int64_t now_us);
void eel_table_news (struct eel_membership *membership,
                     struct eel_member *member,
                     uint8_t sends);
void eel_table_contact (struct eel_membership *membership,
                        struct eel_member *member,
                        uint8_t tries);
void eel_table_update (const struct eel_member *member,
                       struct eel_member_update *update);
uint32_t eel_table_leaf (uint32_t node);
/* Digest and number of the live members of a range; 1 is all of them. */
uint64_t eel_table_digest (const struct eel_membership *membership,
                           uint32_t range,
                           uint32_t *count);

void eel_merge_update (struct eel_membership *membership,
                       const struct eel_member_update *update,
                       enum eel_statement_source source,
                       int64_t now_us);
void eel_local_health_worse (struct eel_membership *membership);

struct eel_gossip *eel_message_new (struct eel_membership *membership,
                                    struct eel_outbox *outbox,
                                    uint32_t to,
                                    enum eel_gossip_kind kind,
                                    uint64_t sequence);
void eel_message_add (struct eel_gossip *message,
                      const struct eel_member_update *update);
/* Adds what the receiver should know of itself, then news. */
void eel_message_fill (struct eel_membership *membership,
                       struct eel_gossip *message,
                       int behind);

void eel_probe_set_refresh (struct eel_membership *membership);
void eel_probe_start (struct eel_membership *membership,
                      uint32_t node,
                      uint32_t for_node,
                      uint64_t for_sequence,
                      int64_t now_us,
                      struct eel_outbox *outbox);
void eel_probe_expire (struct eel_membership *membership,
                       int64_t now_us,
                       struct eel_outbox *outbox);
void eel_probe_acked (struct eel_membership *membership,
                      const struct eel_gossip *message,
                      int64_t now_us,
                      struct eel_outbox *outbox);

void eel_sync_refill (struct eel_membership *membership, int64_t now_us);
void eel_sync_compare (struct eel_membership *membership,
                       const struct eel_gossip *message,
                       int64_t now_us,
                       struct eel_outbox *outbox);
void eel_sync_request (struct eel_membership *membership,
                       const struct eel_gossip *message,
                       struct eel_outbox *outbox);
void eel_sync_received (struct eel_membership *membership,
                        const struct eel_gossip *message,
                        struct eel_outbox *outbox);

/* How often news is sent on: each send reaches one peer. */
#define EEL_NEWS_SENDS 6
/* Timeouts grow up to 8 times. */
#define EEL_LOCAL_HEALTH_MAX 3

#endif
