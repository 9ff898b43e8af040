#ifndef EEL_INTERNAL_ADMISSION_H
#define EEL_INTERNAL_ADMISSION_H

#include "eelgrasslatch/admission.h"

/* Declarations shared between the files of src/admission. */

#define EEL_ADMISSION_LISTS (EEL_CLASS_COUNT * 2)
#define EEL_ADMISSION_NONE UINT32_MAX

/* Queue lists, ordered by class, with nested work first within a class. */
void eel_queue_init (struct eel_admission *admission);
uint32_t eel_queue_list (const struct eel_work_item *work);
uint32_t eel_queue_max (const struct eel_admission *admission);
void eel_queue_push (struct eel_admission *admission,
                     const struct eel_work_item *work);
void eel_queue_unlink (struct eel_admission *admission, uint32_t index);
uint32_t eel_queue_find (const struct eel_admission *admission, uint64_t id);
int64_t eel_queue_wait_us (const struct eel_admission *admission,
                           uint32_t list);
uint32_t eel_queue_count_below_class (const struct eel_admission *admission,
                                      uint32_t list);

/* Estimated service times per route. */
struct eel_route_time *eel_route_find (struct eel_admission *admission,
                                       uint32_t route_hash);
int64_t eel_route_mean_us (struct eel_admission *admission,
                           uint32_t route_hash);
int eel_route_is_long (struct eel_admission *admission, uint32_t route_hash);
int eel_route_misses_deadline (struct eel_admission *admission,
                               const struct eel_work_item *work,
                               int64_t now_us);
void eel_route_record_start (struct eel_admission *admission,
                             const struct eel_work_item *work,
                             int64_t now_us);
void eel_route_done (struct eel_admission *admission,
                     const struct eel_work_item *work,
                     enum eel_work_result result,
                     int64_t now_us);

/* Concurrency limit. */
void eel_limit_init (struct eel_admission *admission, int64_t now_us);
void eel_limit_done (struct eel_admission *admission,
                     const struct eel_work_item *work,
                     enum eel_work_result result,
                     int64_t now_us);

/* Share of long work, fairness between callers. */
void eel_share_record_accepted (struct eel_admission *admission,
                                const struct eel_work_item *work,
                                int64_t now_us);
uint32_t eel_share_long_allowed (struct eel_admission *admission);
void eel_fair_charge (struct eel_admission *admission,
                      const struct eel_work_item *work,
                      int64_t now_us);
int eel_fair_over_share (const struct eel_admission *admission,
                         const struct eel_work_item *work);
int eel_fair_over_queue_share (const struct eel_admission *admission,
                               const struct eel_work_item *work);
uint32_t eel_fair_bucket (const struct eel_work_item *work);

/* Order in which queued work starts. */
int eel_pick_may_start (struct eel_admission *admission,
                        const struct eel_work_item *work,
                        int64_t now_us);
int eel_pick_is_lifo (const struct eel_admission *admission,
                      uint32_t list,
                      int64_t now_us);
uint32_t eel_pick_next (struct eel_admission *admission, int64_t now_us);
/* Queued work to evict in favour of an arrival, or EEL_ADMISSION_NONE. */
uint32_t eel_pick_victim (struct eel_admission *admission,
                          const struct eel_work_item *work,
                          int64_t now_us);
/* The same when the arrival's caller has used up its share of the queue. */
uint32_t eel_pick_caller_victim (const struct eel_admission *admission,
                                 const struct eel_work_item *work,
                                 int64_t now_us);
void eel_pick_update_above_target (struct eel_admission *admission,
                                   int64_t now_us);

#endif
