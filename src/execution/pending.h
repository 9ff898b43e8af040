#ifndef EEL_EXECUTION_PENDING_H
#define EEL_EXECUTION_PENDING_H

#include "eelgrasslatch/coordinator.h"
#include "execution/table.h"

/* Internal interface of the coordinator. */

/* Actions written so far; never more than EEL_ACTIONS_MAX. */
struct eel_action_list
{
  struct eel_action *actions;
  size_t count;
};

/* Answer of the current reply, for when the decider could not store it. */
struct eel_reply_answer
{
  const uint8_t *answer;
  uint32_t bytes;
};

struct eel_action *eel_action_list_add (struct eel_action_list *out,
                                        enum eel_action_kind kind,
                                        const struct eel_key *key);
void eel_action_list_add_answer (struct eel_coordinator *coordinator,
                                 struct eel_action_list *out,
                                 const struct eel_action *answer);
struct eel_pending *eel_pending_find (struct eel_coordinator *coordinator,
                                      const struct eel_decider_record *record);
struct eel_decider_record *
eel_pending_record (struct eel_coordinator *coordinator,
                    const struct eel_pending *pending);
struct eel_pending *eel_pending_open (struct eel_coordinator *coordinator,
                                      struct eel_decider_record *record,
                                      int64_t deadline_us,
                                      int64_t now_us);
int eel_pending_add_waiter (struct eel_coordinator *coordinator,
                            struct eel_pending *pending,
                            const struct eel_arrival *arrival,
                            int owns_spare);
void eel_pending_remove_waiter (struct eel_coordinator *coordinator,
                                uint32_t *link);
void eel_pending_execute (struct eel_coordinator *coordinator,
                          struct eel_pending *pending,
                          struct eel_action_list *out);
void eel_pending_request_seal (struct eel_coordinator *coordinator,
                               struct eel_pending *pending,
                               struct eel_action_list *out);
void eel_pending_finish (struct eel_pending *pending,
                         enum eel_outcome outcome,
                         enum eel_error error);
void eel_pending_answer_waiters (struct eel_coordinator *coordinator,
                                 struct eel_pending *pending,
                                 const struct eel_reply_answer *reply_answer,
                                 int64_t now_us,
                                 struct eel_action_list *out);
void eel_pending_finish_not_run (struct eel_coordinator *coordinator,
                                 struct eel_pending *pending,
                                 enum eel_error error,
                                 int64_t now_us,
                                 struct eel_action_list *out);
void eel_pending_finish_unknown (struct eel_coordinator *coordinator,
                                 struct eel_pending *pending,
                                 enum eel_error error,
                                 int64_t now_us,
                                 struct eel_action_list *out);
void eel_coordinator_answer_waiter (struct eel_coordinator *coordinator,
                                    struct eel_decider_record *record,
                                    const struct eel_waiter *waiter,
                                    enum eel_outcome outcome,
                                    enum eel_error error,
                                    const struct eel_reply_answer *reply_answer,
                                    int64_t now_us,
                                    struct eel_action_list *out);

#endif
