#ifndef EEL_INTERNAL_GATE_H
#define EEL_INTERNAL_GATE_H

#include "eelgrasslatch/gate.h"

/* The parts of the gate, for each other. */

int eel_gate_precedes (const struct eel_gate *gate,
                       const struct eel_gate_item *a,
                       const struct eel_gate_item *b,
                       int64_t now_us);
int64_t eel_gate_expected_wait_us (const struct eel_gate *gate,
                                   uint32_t ahead,
                                   int64_t now_us);

/* Counts the slot time that an accepted item asks for. */
void eel_gate_rank_asked (struct eel_gate *gate, uint8_t rank, int64_t now_us);
double
eel_gate_rank_left (const struct eel_gate *gate, uint8_t rank, int64_t now_us);

struct eel_gate_share eel_gate_share_count (struct eel_gate *gate,
                                            const struct eel_gate_item *item,
                                            const struct eel_gate_share *share,
                                            int64_t now_us);
int64_t eel_gate_share_wait_us (const struct eel_gate *gate,
                                const struct eel_gate_item *item,
                                const struct eel_gate_share *share,
                                int64_t now_us);
int eel_gate_share_displace (struct eel_gate *gate,
                             const struct eel_gate_item *item,
                             const struct eel_gate_share *share,
                             int64_t now_us);
void
eel_gate_share_queued (struct eel_gate *gate, uint32_t index, int64_t now_us);
void eel_gate_share_removed (struct eel_gate *gate,
                             const struct eel_gate_item *item,
                             int started,
                             int64_t now_us);
uint32_t eel_gate_share_pick (const struct eel_gate *gate,
                              uint32_t first,
                              int64_t now_us);
int eel_gate_share_crowded_out (const struct eel_gate *gate,
                                uint32_t index,
                                int64_t now_us);

#endif
