#ifndef EEL_RELAY_SHARING_H
#define EEL_RELAY_SHARING_H

#include "relay/entry.h"

/*
 * Shares of scarce slots among teams, where the configuration has teams: the
 * gate's order by team, what gates tell of teams above their share, and what
 * the entry refuses because of it.
 */

void eel_sharing_init (struct eel_relay *relay);
/* Logs which teams are no longer above their share. */
void eel_sharing_report_ended (struct eel_relay *relay, int64_t now_us);
/* Share that a request counts on at this node's gate. */
struct eel_gate_share eel_sharing_of (struct eel_relay *relay,
                                      const struct eel_relay_call *call);
/* Writes the teams above their share at this node's gate, if there are any. */
void eel_sharing_write (struct eel_relay *relay, struct evbuffer *lines);
/* Reads what the node of an endpoint of that service tells. */
void eel_sharing_read (struct eel_relay *relay,
                       uint32_t service,
                       const struct eel_head *answer);
/* Records what this node's own gate tells. */
void eel_sharing_record_own (struct eel_relay *relay, uint32_t service);
/* Part of the team's requests that is refused at the entry, 0 to 1. */
double eel_sharing_refused_share (const struct eel_relay *relay,
                                  const struct eel_relay_call *call);
/* Records that the request is refused for want of slots and told to come back
   in after_us. */
void eel_sharing_refused (struct eel_entry *entry, int64_t after_us);
/* True when a request that has just arrived has to be refused, because it was
   refused a moment ago, its team is above its share or the entry gate says
   so. */
int eel_sharing_refuses (struct eel_entry *entry);

#endif
