#ifndef EEL_BENCH_POLICY_STATE_H
#define EEL_BENCH_POLICY_STATE_H

#include "policy_model.h"

/* State of one simulation, private to the files of the model. */

#define NO_ID UINT32_MAX
#define THROTTLE_ROUTES 16

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_SEND,
  EVENT_SEND_DEADLINE,
  EVENT_AT_ENDPOINT,
  EVENT_SERVICE_DONE,
  EVENT_CALL_DEADLINE,
  EVENT_REPLY,
  EVENT_TRY_TIMEOUT,
  EVENT_HEDGE
};

struct event
{
  int64_t at_us;
  uint64_t order;
  uint32_t id;
  uint32_t generation;
  enum event_kind kind;
};

/* One send of a request by its client. */
struct send
{
  uint32_t request;
  uint8_t finished;
  uint8_t ok;
  uint8_t spare_attempts;
  int64_t sent_us;
  int64_t deadline_us;
  double busy_us;
};

/* A logical call to a service, with one or more tries. */
struct hop
{
  uint32_t generation;
  uint32_t send;
  uint32_t parent;
  uint32_t parent_generation;
  int service;
  uint32_t tries;
  uint32_t outstanding;
  uint32_t tried[4];
  uint32_t next_free;
};

enum call_state
{
  CALL_FREE,
  CALL_IN_TRANSIT,
  CALL_QUEUED,
  CALL_RUNNING,
  CALL_REPLIED
};

struct call
{
  uint32_t generation;
  enum call_state state;
  uint32_t hop;
  uint32_t hop_generation;
  uint32_t send;
  int service;
  int endpoint;
  uint8_t abandoned;
  uint8_t ok;
  enum eel_reply_kind reply;
  int64_t sent_us;
  struct eel_work_item work;
  struct eel_load load;
  uint32_t next_free;
};

struct upstream
{
  struct eel_admission admission;
  struct eel_admission_queued queue[QUEUE_MAX];
  /* FIFO ring of the baselines. */
  uint32_t *waiting;
  size_t head;
  size_t count;
  size_t waiting_max;
  uint32_t slots;
  uint32_t running;
  uint32_t reported;
  int64_t reported_at_us;
};

struct service
{
  struct upstream upstreams[ENDPOINTS];
  struct eel_routing routing;
  struct eel_endpoint endpoints[ENDPOINTS];
};

struct model
{
  const struct scenario *scenario;
  struct result *result;
  int64_t now_us;
  struct eel_rng rng;
  struct event *events;
  size_t event_count;
  size_t event_capacity;
  uint64_t event_order;
  struct send *sends;
  size_t send_count;
  size_t send_capacity;
  struct hop *hops;
  size_t hop_count;
  size_t hop_capacity;
  uint32_t free_hop;
  struct call *calls;
  size_t call_count;
  size_t call_capacity;
  uint32_t free_call;
  struct service services[SERVICES_MAX];
  struct eel_throttle throttle;
  struct eel_throttle_route throttle_routes[THROTTLE_ROUTES];
  struct eel_retry_budget budget;
};

void model_schedule (struct model *model,
                     int64_t at_us,
                     enum event_kind kind,
                     uint32_t id,
                     uint32_t generation);
int model_next_event (struct model *model, struct event *event);

void
hop_start (struct model *model, uint32_t send, int service, uint32_t parent);
void hop_reply (struct model *model, uint32_t call_id);
void hop_try_timeout (struct model *model, uint32_t call_id);
void hop_hedge (struct model *model, uint32_t call_id);

void upstream_init (struct upstream *upstream, uint32_t slots);
void upstream_arrive (struct model *model, uint32_t call_id);
void upstream_service_done (struct model *model, uint32_t call_id);
void upstream_deadline (struct model *model, uint32_t call_id);
void upstream_finish (struct model *model,
                      uint32_t call_id,
                      enum eel_work_result result);
void upstream_cancel (struct model *model, uint32_t call_id);
uint32_t upstream_report (struct model *model, struct upstream *upstream);

void
client_finish (struct model *model, uint32_t send_id, int ok, int overloaded);

#endif
