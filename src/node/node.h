#ifndef EEL_NODE_NODE_H
#define EEL_NODE_NODE_H

#include "state.h"

/* Functions of the node task, grouped by source file. */

/* table.c */
int node_table_init (struct node_table *table,
                     size_t item_bytes,
                     uint32_t capacity,
                     uint64_t generation);
void node_table_finish (struct node_table *table);
void *
node_table_add (struct node_table *table, uint32_t origin, uint64_t origin_id);
void node_table_remove (struct node_table *table, void *item);
void *node_table_get (const struct node_table *table, uint64_t id);
void *node_table_find (const struct node_table *table,
                       uint32_t origin,
                       uint64_t origin_id);
void *node_table_find_next (const struct node_table *table, const void *item);
void *node_table_at (const struct node_table *table, uint32_t index);

/* setup.c */
int node_setup (struct eel_node *node, struct eel_metrics *metrics);
void node_teardown (struct eel_node *node);

/* answer.c */
uint8_t *node_answer_encode (const struct eel_answer *answer, uint32_t *bytes);
struct eel_answer *
node_answer_decode (uint64_t call_id, const uint8_t *data, uint32_t bytes);
struct eel_call *node_call_copy (const struct eel_call *call);

/* post.c */
int
node_post (struct eel_node *node, struct eel_mailbox *to, struct eel_msg *msg);
int node_post_wire (struct eel_node *node,
                    uint32_t to,
                    struct eel_wire_message *wire);
void node_post_answer (struct eel_node *node,
                       struct eel_mailbox *to,
                       struct eel_answer *answer);
void node_audit (struct eel_node *node,
                 enum eel_audit_kind kind,
                 const char *before,
                 const char *after,
                 const char *source,
                 const char *reason);
void node_current_load (const struct eel_node *node, struct eel_load *load);

/* entry.c */
void node_entry_call (struct eel_node *node, struct eel_msg *msg);
void node_entry_cancel (struct eel_node *node, uint64_t front_id);
void node_entry_keys (struct eel_node *node, const struct eel_msg *msg);
uint64_t node_fingerprint (const struct eel_node *node,
                           const struct eel_call *call);

/* request.c */
void node_request_answer (struct eel_node *node,
                          struct node_request *request,
                          struct eel_answer *answer);
void node_request_fail (struct eel_node *node,
                        struct node_request *request,
                        enum eel_error kind);
void node_request_drop (struct eel_node *node, struct node_request *request);
void node_request_set_timer (struct eel_node *node,
                             struct node_request *request,
                             int64_t due_us);
void node_request_handle_timer (struct eel_node *node,
                                struct node_request *request);

/* nested.c */
enum eel_error node_nested_inherit (struct eel_node *node,
                                    struct node_request *request);
enum eel_error node_nested_derive_key (struct eel_node *node,
                                       struct node_request *request);
void node_nested_return_attempts (struct eel_node *node,
                                  struct node_request *request);

/* send.c */
struct node_send *node_send_new (struct eel_node *node,
                                 enum node_send_kind kind,
                                 struct node_service *service,
                                 uint32_t target,
                                 uint64_t subject);
int node_send_post (struct eel_node *node,
                    struct node_send *send,
                    const struct eel_call *call,
                    uint64_t to_incarnation,
                    int64_t valid_until_us);
void node_send_finish (struct eel_node *node,
                       struct node_send *send,
                       enum eel_reply_kind kind,
                       const struct eel_load *load);
void node_send_cancel (struct eel_node *node, struct node_send *send);
void node_send_replied (struct eel_node *node, struct eel_wire_message *wire);
void node_send_unsent (struct eel_node *node,
                       const struct eel_wire_message *wire,
                       uint32_t target);
struct node_send *node_send_find_order (const struct eel_node *node,
                                        uint32_t target,
                                        const struct eel_key *key,
                                        uint8_t attempt);
void node_send_sweep (struct eel_node *node);
void node_send_peer_lost (struct eel_node *node, uint32_t peer);

/* idempotent.c */
void node_lookup_start (struct eel_node *node, struct node_request *request);
void node_lookup_hedge (struct eel_node *node, struct node_request *request);
void node_lookup_replied (struct eel_node *node,
                          struct node_request *request,
                          uint32_t target,
                          struct eel_answer *answer);

/* order.c */
void node_order_start (struct eel_node *node, struct node_request *request);
void node_order_forward (struct eel_node *node, struct node_request *request);
void node_order_unsent (struct eel_node *node, struct node_request *request);
void node_order_decide (struct eel_node *node, struct eel_wire_message *wire);
void node_order_apply_actions (struct eel_node *node,
                               const struct eel_action *actions,
                               size_t count,
                               struct node_request *request);
void node_order_replied (struct eel_node *node,
                         const struct node_send *send,
                         uint64_t incarnation,
                         const struct eel_answer *answer);
void node_order_sealed (struct eel_node *node,
                        const struct eel_wire_message *wire);
void node_order_tick (struct eel_node *node);

/* order_log.c */
void node_order_log_unknown (struct eel_node *node,
                             const struct eel_action *action);
void node_order_log_leaving (struct eel_node *node,
                             const struct node_run *run,
                             const struct eel_answer *answer);

/* dispatch.c */
uint64_t node_key_hash (const struct eel_key *key);
struct node_order *node_order_find (const struct eel_node *node,
                                    const struct eel_key *key);
struct node_order *node_order_store (struct eel_node *node,
                                     const struct eel_key *key,
                                     struct node_request *request);
void node_order_free_if_done (struct eel_node *node, struct node_order *order);
void node_order_execute (struct eel_node *node,
                         const struct eel_action *action,
                         struct node_request *request);
void node_order_seal (struct eel_node *node, const struct eel_action *action);

/* execute.c */
void node_execute_call (struct eel_node *node, struct eel_wire_message *wire);
void node_execute_offer (struct eel_node *node, struct node_run *run);
void node_execute_seal (struct eel_node *node,
                        const struct eel_wire_message *wire);
void
node_execute_cancel (struct eel_node *node, uint32_t peer, uint64_t call_id);

/* run.c */
void node_run_start (struct eel_node *node, struct node_run *run);
void node_run_start_queued (struct eel_node *node);
void node_run_done (struct eel_node *node, struct eel_msg *msg);
void node_run_refuse (struct eel_node *node,
                      struct node_run *run,
                      enum eel_error kind);
void node_run_reply (struct eel_node *node,
                     struct node_run *run,
                     struct eel_answer *answer);
void node_run_free (struct eel_node *node, struct node_run *run);

/* suspects.c */
int node_suspect_hold (struct eel_node *node, struct node_run *run);
void node_suspect_release (struct eel_node *node, struct node_run *run);
void node_suspect_record_crash (struct eel_node *node,
                                const struct node_run *run);
void node_suspect_tick (struct eel_node *node);

/* peers.c */
struct node_peer *node_peer_find (struct eel_node *node, uint32_t id);
struct node_peer *node_peer_get (struct eel_node *node, uint32_t id);
void node_peer_update (struct eel_node *node,
                       const struct eel_wire_message *wire);
int node_peer_is_usable (struct eel_node *node, uint32_t id);
int64_t node_peer_to_remote_clock (struct eel_node *node,
                                   uint32_t id,
                                   int64_t local_us);
void node_peer_received (struct eel_node *node, struct eel_wire_message *wire);
void node_peers_mark_stale (struct eel_node *node);
void node_peers_tick (struct eel_node *node);

/* members.c */
uint16_t node_service_number (const char *name);
void node_service_record_name (struct eel_node *node, const char *name);
/* Returns NULL for a number whose name was not recorded. */
const char *node_service_name (const struct eel_node *node, uint16_t number);
struct node_service *node_service_get (struct eel_node *node, const char *name);
void node_members_refresh (struct eel_node *node);
void node_member_changed (void *data,
                          const struct eel_member *member,
                          uint8_t state_before,
                          const char *source);
void node_members_update_endpoints (struct eel_node *node, uint32_t id);
void node_peer_connect (struct eel_node *node, uint32_t id);
void node_peer_disconnect (struct eel_node *node, struct node_peer *peer);

/* gossip.c */
void node_gossip_tick (struct eel_node *node);
void node_gossip_send (struct eel_node *node,
                       const struct eel_gossip *gossip,
                       size_t count);
void node_gossip_ping (struct eel_node *node, uint32_t to, uint8_t kind);
void node_gossip_received (struct eel_node *node,
                           const struct eel_wire_message *wire);
void node_gossip_disseminate (struct eel_node *node);
void node_gossip_announce_leaving (struct eel_node *node, int leaving);
void node_gossip_join (struct eel_node *node);

/* config.c */
void node_config_apply (struct eel_node *node);
void node_config_admission (const struct eel_node *node,
                            struct eel_admission_config *config);
void node_config_service (const struct eel_node *node,
                          struct node_service *service);
void node_config_offer (struct eel_node *node,
                        const uint8_t *bytes,
                        size_t byte_count,
                        const char *source);

/* documents.c */
void node_documents_compare (struct eel_node *node,
                             uint32_t peer,
                             const struct eel_revision *revision);
void node_documents_request (struct eel_node *node, uint32_t peer, int full);
void node_documents_requested (struct eel_node *node,
                               const struct eel_wire_message *wire);
void node_documents_received (struct eel_node *node,
                              const struct eel_wire_message *wire);

/* vms.c */
void
node_vms_merge (struct eel_node *node, const uint8_t *bytes, size_t byte_count);

/* query.c */
void node_query (struct eel_node *node, const struct eel_msg *msg);
int node_is_joined (const struct eel_node *node);
int node_is_ready (const struct eel_node *node);

/* drain.c */
void node_drain_start (struct eel_node *node);
void node_drain_check (struct eel_node *node);
void node_upstream_set_state (struct eel_node *node,
                              enum eel_upstream_state state);

#endif
