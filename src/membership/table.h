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

/* Kind of message that carried an update. */
enum eel_update_source
{
  EEL_SOURCE_GOSSIP,
  EEL_SOURCE_SYNC
};

struct eel_member *eel_table_find (const struct eel_membership *membership,
                                   uint32_t node);
struct eel_member *eel_table_add (struct eel_membership *membership,
                                  const struct eel_member_update *update,
                                  int64_t now_us);
void eel_table_remove (struct eel_membership *membership, uint32_t position);
/* Sets the fields that the digest covers; reports a change to the owner. */
void eel_table_set (struct eel_membership *membership,
                    struct eel_member *member,
                    uint8_t state,
                    uint64_t generation,
                    uint64_t incarnation,
                    const char *source,
                    int64_t now_us);
void eel_table_set_sends (struct eel_membership *membership,
                          struct eel_member *member,
                          uint8_t sends);
void eel_table_set_pings (struct eel_membership *membership,
                          struct eel_member *member,
                          uint8_t pings);
void eel_table_copy_update (const struct eel_member *member,
                            struct eel_member_update *update);
uint32_t eel_table_leaf (uint32_t node);
/* Digest and number of the live members of a range; 1 is all of them. */
uint64_t eel_table_digest (const struct eel_membership *membership,
                           uint32_t range,
                           uint32_t *count);

void eel_merge_update (struct eel_membership *membership,
                       const struct eel_member_update *update,
                       enum eel_update_source source,
                       int64_t now_us);
void eel_local_health_degrade (struct eel_membership *membership);

struct eel_gossip *eel_message_new (struct eel_membership *membership,
                                    struct eel_outbox *outbox,
                                    uint32_t to,
                                    enum eel_gossip_kind kind,
                                    uint64_t sequence);
void eel_message_add (struct eel_gossip *message,
                      const struct eel_member_update *update);
/* Adds the receiver's record for it to refute, then pending updates. */
void eel_message_fill (struct eel_membership *membership,
                       struct eel_gossip *message,
                       int receiver_stale);

void eel_probe_set_refresh (struct eel_membership *membership);
void eel_probe_start (struct eel_membership *membership,
                      uint32_t node,
                      uint32_t requester,
                      uint64_t requester_sequence,
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

/* Messages that carry a changed record; each reaches one peer. */
#define EEL_UPDATE_SENDS 6
/* Timeouts grow up to 8 times. */
#define EEL_LOCAL_HEALTH_MAX 3

#endif
