#ifndef EXSIM_H
#define EXSIM_H

#include <stdint.h>

#include "eelgrasslatch/caller.h"
#include "eelgrasslatch/coordinator.h"
#include "eelgrasslatch/retry.h"
#include "eelgrasslatch/rng.h"

/* Virtual-time simulation of at-most-once execution; times in microseconds. */

#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define NODES 6
#define DOMAIN(node) ((node) / 2)
#define DEPTH_MAX 7
#define POSITIONS_MAX 40
#define KEYS_MAX 64
#define ANSWER_MAX 64
#define SEAL_ANSWER_TIMEOUT_US (50 * MS)
#define TICK_INTERVAL_US (100 * MS)
/* Rings: an entry is reused long after its last message can arrive. */
#define CALLS 65536
#define ORDERS 8192
#define ROOTS 512
#define CHILDREN 1024
/* Small, so that the table is full at times. */
#define EXECUTIONS 32
#define EXECUTIONS_MAX 1024
#define ANSWERS 64

enum fault
{
  FAULT_LOSS,
  FAULT_DUPLICATE,
  FAULT_DELAY,
  FAULT_PARTITION,
  FAULT_PAUSE,
  FAULT_RESTART,
  FAULT_REPLACE,
  FAULT_CRASH,
  FAULT_OVERLOAD,
  FAULT_DRAIN,
  FAULT_COUNT
};

enum event_kind
{
  /* Messages between nodes. */
  MSG_DECIDE,
  MSG_EXECUTE,
  MSG_REPLY,
  MSG_SEAL,
  MSG_SEALED,
  MSG_ANSWER,
  MSG_GOSSIP,
  /* Local steps. */
  STEP_DISPATCH,
  STEP_START,
  STEP_END,
  STEP_NESTED,
  STEP_NESTED_TIMEOUT,
  STEP_TICK,
  STEP_RESTART,
  STEP_ARRIVE,
  STEP_ORDER,
  STEP_SEND,
  STEP_TIMEOUT,
  STEP_FAULT
};

struct event
{
  int64_t at_us;
  uint64_t sequence;
  enum event_kind kind;
  uint8_t from;
  uint8_t node;
  uint8_t attempt;
  uint8_t spare;
  uint64_t from_incarnation;
  /* Nonzero: dropped when the node has another incarnation. */
  uint64_t incarnation;
  int64_t sent_clock_us;
  int64_t valid_until_us;
  uint64_t call;
  uint64_t order;
  uint64_t position;
  uint64_t run;
  int code;
  enum eel_error error;
  enum eel_outcome outcome;
  enum eel_retry_advice retry;
  struct eel_key key;
  struct eel_key next_key;
  uint8_t has_next_key;
  uint8_t answer_bytes;
  uint8_t has_answer;
  uint8_t answer[ANSWER_MAX];
};

/* One copy of a request, from a caller or from a running parent. */
struct call
{
  uint64_t id;
  uint64_t order;
  uint64_t position;
  struct eel_key key;
  int64_t deadline_us;
  uint64_t run;
  uint8_t thread;
  uint8_t child;
  uint8_t entry;
  uint8_t decider;
  uint8_t lent;
  uint8_t arrived;
  uint8_t answered;
};

/* An attempt at an executor and its upstream. */
struct run
{
  uint64_t id;
  uint64_t order;
  uint64_t position;
  struct eel_key key;
  uint8_t attempt;
  uint8_t node;
  uint8_t decider;
  uint8_t running;
  uint64_t incarnation;
  uint64_t call;
  int64_t valid_until_us;
  struct eel_ledger ledger;
  uint8_t open_children;
  uint8_t sends[4];
};

struct key_history
{
  struct eel_key key;
  uint8_t runs;
  uint8_t answered_not_run;
};

/* A caller's order and its actual attempts and runs. */
struct order
{
  uint64_t id;
  uint8_t threads;
  struct eel_caller_request request[2];
  uint64_t current_call[2];
  uint64_t send_token[2];
  uint8_t finished[2];
  uint8_t answered_unknown;
  int64_t deadline_us;
  uint32_t attempts;
  uint32_t extra_attempts_max;
  uint32_t position_count;
  uint64_t positions[POSITIONS_MAX];
  uint8_t runs[POSITIONS_MAX];
  uint32_t key_count;
  struct key_history keys[KEYS_MAX];
};

/* State of a peer as learned from its messages. */
struct view
{
  uint64_t incarnation;
  uint64_t reported_incarnation;
  int64_t clock_us;
  int64_t at_us;
};

struct node
{
  uint64_t incarnation;
  int64_t clock_offset_us;
  int64_t paused_until_us;
  /* When the node last continued after a pause. */
  int64_t resumed_us;
  struct eel_coordinator coordinator;
  struct eel_executor executor;
  struct eel_decider_record records[ROOTS + CHILDREN];
  uint32_t buckets[1024];
  struct eel_answer_slot answers[ANSWERS];
  struct eel_pending pending[64];
  struct eel_waiter waiters[128];
  struct eel_executor_record executions[EXECUTIONS_MAX];
  uint32_t execution_buckets[128];
  /* The first copy of each record. */
  uint64_t payload[ROOTS + CHILDREN];
  struct view view[NODES];
};

struct exsim
{
  struct eel_rng rng;
  struct eel_rng fault_rng;
  int64_t now_us;
  uint64_t sequence;
  uint64_t steps;
  uint64_t digest;
  struct event *heap;
  uint32_t heap_count;
  uint32_t heap_capacity;
  struct node nodes[NODES];
  struct call calls[CALLS];
  struct run runs[CALLS];
  struct order orders[ORDERS];
  uint64_t next_call;
  uint64_t next_run;
  uint64_t next_order;
  uint64_t next_incarnation;
  struct eel_caller caller;
  int64_t fault_until_us[FAULT_COUNT];
  uint8_t partition_domains[2];
  uint32_t fault_mask;
  int blind;
  int benign;
  uint64_t trace_order;
  int trace;
  const char *violation;
  uint64_t violation_order;
  uint64_t run_count;
  uint64_t attempt_count;
  uint64_t outcomes[EEL_OUTCOME_COUNT];
  uint64_t unknown_by_error[EEL_ERROR_COUNT];
  uint32_t depth_max;
  uint64_t orders_finished;
  /* Orders that ran never, once, and more often. */
  uint64_t orders_ran[3];
  uint64_t orders_unknown;
};

extern const char *const exsim_faults[FAULT_COUNT];

/* exsim_net.c */
int64_t exsim_clock (const struct exsim *s, uint8_t node);
void exsim_push (struct exsim *s, const struct event *event, int64_t at_us);
int exsim_pop (struct exsim *s, struct event *event);
void
exsim_send (struct exsim *s, struct event *event, uint8_t from, uint8_t to);
int exsim_is_partitioned (const struct exsim *s, uint8_t a, uint8_t b);
int exsim_chance (struct exsim *s, uint32_t percent);
int64_t exsim_log_uniform (struct eel_rng *rng, int64_t min, int64_t max);
void exsim_trace (struct exsim *s,
                  uint64_t order,
                  const char *what,
                  uint8_t node,
                  uint64_t position,
                  uint64_t detail);
/* exsim_node.c: messages and local steps at a node. */
void exsim_node_boot (struct exsim *s, uint8_t node);
void exsim_node_handle (struct exsim *s, struct event *event);
void exsim_node_drain (struct exsim *s, uint8_t node);
void exsim_schedule (struct exsim *s,
                     struct event *event,
                     uint8_t node,
                     int64_t delay_us);
int64_t exsim_random_delay (struct exsim *s, int64_t max_us);
void exsim_route_copy (struct exsim *s, uint8_t node, struct call *call);
/* exsim_upstream.c: attempts at the executor, and their nested calls. */
extern const uint8_t exsim_secret[EEL_KEY_SECRET_BYTES];
void
exsim_answered (struct exsim *s, struct call *call, const struct event *event);
void exsim_nested_answered (struct exsim *s,
                            struct call *call,
                            const struct event *answer);
void exsim_execute (struct exsim *s, struct event *event);
void exsim_run_step (struct exsim *s, const struct event *event);
void exsim_node_crash_upstream (struct exsim *s, uint8_t node);
/* exsim_world.c: callers and faults. */
struct call *
exsim_call_new (struct exsim *s, uint64_t order, uint64_t position);
void exsim_world_handle (struct exsim *s, const struct event *event);
/* exsim_oracle.c */
void exsim_fail (struct exsim *s, uint64_t order, const char *text);
uint8_t exsim_expected_answer (uint64_t order,
                               uint64_t position,
                               uint8_t answer[ANSWER_MAX]);
uint32_t exsim_depth (uint64_t position);
uint32_t exsim_children (uint64_t order, uint64_t position);
void exsim_oracle_attempt (struct exsim *s, const struct run *run, int ran);
void exsim_oracle_check_answer (struct exsim *s,
                                const struct call *call,
                                const struct event *event);
void exsim_count_order (struct exsim *s, const struct order *o);

struct exsim_options
{
  uint64_t seed;
  uint64_t steps;
  uint32_t fault_mask;
  /* Baseline: no records; each copy runs at a random executor. */
  int blind;
  /* Long caller timeouts, fast upstreams and large tables. */
  int benign;
  int trace;
  /* Print only this order's events; 0 prints all. */
  uint64_t trace_order;
};

struct exsim *exsim_run (const struct exsim_options *options);
void exsim_free (struct exsim *s);

#endif
