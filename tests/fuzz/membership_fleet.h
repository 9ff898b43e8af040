#ifndef EEL_FUZZ_MEMBERSHIP_FLEET_H
#define EEL_FUZZ_MEMBERSHIP_FLEET_H

#include "eelgrasslatch/membership.h"
#include "eelgrasslatch/preset.h"
#include "preset/read_schedule.h"

/* A fleet with membership, preset and read schedule over a fake network. */

#define NODES 24
#define DOMAINS 3
#define STEP_US (100 * EEL_US_PER_MS)
#define HISTORY_MAX 4096

enum envelope_kind
{
  ENVELOPE_GOSSIP,
  /* The sender's revision alone, sent when it accepts a document. */
  ENVELOPE_REVISION,
  ENVELOPE_REQUEST,
  ENVELOPE_DOCUMENT
};

struct envelope
{
  int64_t due_us;
  uint64_t order;
  uint32_t from;
  uint32_t to;
  enum envelope_kind kind;
  struct eel_gossip gossip;
  struct eel_revision revision;
  struct eel_revision base;
  uint8_t *packed;
  size_t packed_bytes;
};

struct fleet_node
{
  uint8_t up;
  uint8_t leaving;
  int64_t resume_us;
  int64_t requested_us;
  struct eel_membership membership;
  struct eel_member members[NODES + 8];
  struct eel_preset_store store;
  struct eel_read_schedule schedule;
  int64_t answer_us[EEL_READ_COUNT];
  uint8_t answer_succeeds[EEL_READ_COUNT];
  int64_t called_us[EEL_READ_COUNT];
  /* Highest revision that this process has had; the oracle's copy. */
  struct eel_revision highest;
};

/* One replica of the platform's service for each failure domain. */
struct replica
{
  uint8_t down;
  uint8_t flapping;
  uint32_t version;
};

struct document_text
{
  char text[160];
  size_t bytes;
};

struct fleet
{
  int64_t now_us;
  struct eel_rng rng;
  struct fleet_node nodes[NODES];
  /* cut[a][b]: what a sends does not reach b. */
  uint8_t cut[NODES][NODES];
  uint32_t loss_percent;
  uint32_t duplicate_percent;
  int64_t delay_max_us;
  struct replica replicas[DOMAINS];
  struct document_text history[HISTORY_MAX];
  uint32_t published;
  uint64_t revision;
  uint8_t listed[NODES];
  struct envelope *envelopes;
  size_t envelope_count;
  size_t envelope_capacity;
  uint64_t order;
  uint64_t incarnations;
  uint64_t messages;
  uint64_t digest;
  int trace;
  /* Node whose accusations of live nodes fail the run, or -1. */
  int watched;
  const char *failure;
};

void fleet_init (struct fleet *fleet, uint64_t seed, int trace);
void fleet_finish (struct fleet *fleet);
void fleet_start (struct fleet *fleet, uint32_t node);
void fleet_kill (struct fleet *fleet, uint32_t node);
void fleet_cut (struct fleet *fleet);
void fleet_publish (struct fleet *fleet, int same_revision, int valid);
void fleet_offer (struct fleet *fleet,
                  uint32_t node,
                  const uint8_t *bytes,
                  size_t count);
void fleet_platform_step (struct fleet *fleet, uint32_t node);
/*
 * Advances by STEP_US: delivers envelopes, ticks nodes and runs their calls of
 * the platform.
 */
void fleet_step (struct fleet *fleet);
void fleet_trace_event (struct fleet *fleet,
                        const char *event,
                        uint64_t a,
                        uint64_t b);
/* Compares revisions for the oracle, independently of the tested code. */
int revision_order (const struct eel_revision *a, const struct eel_revision *b);

#endif
