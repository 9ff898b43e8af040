#ifndef EEL_INTERNAL_ROUTING_H
#define EEL_INTERNAL_ROUTING_H

#include "eelgrasslatch/routing.h"

/* Functions shared by the files of src/routing. */

double eel_routing_peer_median (const struct eel_routing *routing,
                                const struct eel_endpoint *self);
double eel_routing_utilization (const struct eel_endpoint *endpoint,
                                int64_t now_us);
int eel_routing_may_eject (const struct eel_routing *routing);
void eel_routing_evaluate (struct eel_routing *routing,
                           struct eel_endpoint *endpoint,
                           enum eel_reply_kind kind,
                           int64_t latency_us,
                           int64_t now_us);
int eel_routing_is_stalled (const struct eel_routing *routing,
                            const struct eel_endpoint *endpoint,
                            int64_t now_us);
void eel_routing_record_latency (struct eel_routing *routing,
                                 struct eel_endpoint *endpoint,
                                 int64_t latency_us);

#endif
