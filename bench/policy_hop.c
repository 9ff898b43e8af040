#include <string.h>

#include "policy_state.h"

/* Tries per hop; the baselines divide the deadline evenly among them. */
#define TRIES_MAX 3

static void
hop_finish (struct model *model, uint32_t id, int ok, int overloaded)
{
  struct hop hop = model->hops[id];

  model->hops[id].generation++;
  model->hops[id].next_free = model->free_hop;
  model->free_hop = id;
  if (hop.parent == NO_ID)
    {
      client_finish (model, hop.send, ok, overloaded);
      return;
    }
  if (model->calls[hop.parent].generation == hop.parent_generation
      && model->calls[hop.parent].state == CALL_RUNNING)
    upstream_finish (model, hop.parent, ok ? EEL_WORK_OK : EEL_WORK_FAILED);
}

static int
pick_baseline (struct model *model, const struct service *service)
{
  int best = (int)eel_rng_below (&model->rng, ENDPOINTS);

  if (!model->scenario->route_by_report)
    return best;
  for (int i = 0; i < ENDPOINTS; i++)
    if (upstream_report (model, (struct upstream *)&service->upstreams[i])
        < upstream_report (model, (struct upstream *)&service->upstreams[best]))
      best = i;
  return best;
}

static uint32_t
call_new (struct model *model)
{
  uint32_t id = model->free_call;
  uint32_t generation = 0;

  if (id != NO_ID)
    {
      model->free_call = model->calls[id].next_free;
      generation = model->calls[id].generation;
    }
  else
    {
      model->calls = model_grow (model->calls, model->call_count,
                                 &model->call_capacity, sizeof *model->calls);
      id = (uint32_t)model->call_count++;
    }
  memset (&model->calls[id], 0, sizeof model->calls[id]);
  model->calls[id].generation = generation;
  return id;
}

static void
fill_work (struct model *model, uint32_t id, const struct hop *hop)
{
  struct call *call = &model->calls[id];
  const struct send *send = &model->sends[hop->send];
  const struct request *request = &model->result->requests[send->request];

  call->work.id = (uint64_t)id + 1;
  call->work.klass = (enum eel_class)request->klass;
  call->work.nested = hop->service > 0;
  call->work.caller_hash = send->request;
  call->work.route_hash = 1 + (uint32_t)hop->service * 8
                          + (uint32_t)request->klass * 2 + request->is_long;
  call->work.deadline_us = send->deadline_us;
}

/* Sends one try; returns 0 when routing offers no endpoint. */
static int
hop_send (struct model *model, uint32_t hop_id)
{
  struct hop *hop = &model->hops[hop_id];
  struct service *service = &model->services[hop->service];
  const struct request *request
      = &model->result->requests[model->sends[hop->send].request];
  int adaptive = model->scenario->policy == POLICY_ADAPTIVE;
  struct call *call;
  uint32_t id;
  int endpoint;

  if (adaptive)
    {
      const struct eel_endpoint *picked = eel_routing_pick (
          &service->routing, (enum eel_class)request->klass, hop->tried,
          hop->tries, model->now_us, &model->rng);

      if (picked == NULL)
        return 0;
      endpoint = (int)picked->node;
      eel_routing_sent (&service->routing, picked->node, model->now_us);
    }
  else
    endpoint = pick_baseline (model, service);
  id = call_new (model);
  hop = &model->hops[hop_id];
  call = &model->calls[id];
  call->state = CALL_IN_TRANSIT;
  call->hop = hop_id;
  call->hop_generation = hop->generation;
  call->send = hop->send;
  call->service = hop->service;
  call->endpoint = endpoint;
  call->sent_us = model->now_us;
  hop->tried[hop->tries++] = (uint32_t)endpoint;
  hop->outstanding++;
  fill_work (model, id, hop);
  model_schedule (
      model, model->now_us + (endpoint == 0 ? 0 : model->scenario->one_way_us),
      EVENT_AT_ENDPOINT, id, call->generation);
  if (!adaptive)
    model_schedule (model,
                    model->now_us + model->scenario->deadline_us / TRIES_MAX,
                    EVENT_TRY_TIMEOUT, id, call->generation);
  else if (request->klass == EEL_CLASS_LOOKUP && hop->tries == 1)
    {
      int64_t delay_us = eel_routing_hedge_delay_us (&service->routing);

      if (delay_us >= 0)
        model_schedule (model, model->now_us + delay_us, EVENT_HEDGE, id,
                        call->generation);
    }
  return 1;
}

/* Starts a call to a service; parent is the enclosing call or NO_ID. */
void
hop_start (struct model *model, uint32_t send, int service, uint32_t parent)
{
  uint32_t id = model->free_hop;
  uint32_t generation = 0;
  struct hop *hop;

  if (id != NO_ID)
    {
      model->free_hop = model->hops[id].next_free;
      generation = model->hops[id].generation;
    }
  else
    {
      model->hops = model_grow (model->hops, model->hop_count,
                                &model->hop_capacity, sizeof *model->hops);
      id = (uint32_t)model->hop_count++;
    }
  hop = &model->hops[id];
  memset (hop, 0, sizeof *hop);
  hop->generation = generation;
  hop->send = send;
  hop->parent = parent;
  hop->parent_generation
      = parent == NO_ID ? 0 : model->calls[parent].generation;
  hop->service = service;
  if (!hop_send (model, id))
    hop_finish (model, id, 0, 1);
}

static int
may_retry (struct model *model, const struct hop *hop, int started)
{
  struct send *send = &model->sends[hop->send];

  if (hop->tries >= TRIES_MAX)
    return 0;
  if (model->scenario->policy != POLICY_ADAPTIVE)
    return 1;
  /* Only the entry retries a refused call, and only if it did not run. */
  if (hop->service > 0 || started || send->spare_attempts == 0 || send->finished
      || !eel_retry_budget_take (&model->budget, model->now_us))
    return 0;
  send->spare_attempts--;
  return 1;
}

static void
cancel_others (struct model *model, uint32_t hop_id, uint32_t generation)
{
  if (model->scenario->policy != POLICY_ADAPTIVE)
    return;
  for (uint32_t i = 0; i < model->call_count; i++)
    if (model->calls[i].hop == hop_id
        && model->calls[i].hop_generation == generation
        && (model->calls[i].state == CALL_RUNNING
            || model->calls[i].state == CALL_QUEUED))
      upstream_cancel (model, i);
}

static void
on_try_failed (struct model *model, uint32_t hop_id, int started)
{
  struct hop *hop = &model->hops[hop_id];

  if (may_retry (model, hop, started) && hop_send (model, hop_id))
    return;
  if (model->hops[hop_id].outstanding == 0)
    hop_finish (model, hop_id, 0, 1);
}

/* Handles the reply to a try; frees the call. */
void
hop_reply (struct model *model, uint32_t call_id)
{
  struct call call = model->calls[call_id];
  struct hop *hop = &model->hops[call.hop];

  model->calls[call_id].generation++;
  model->calls[call_id].state = CALL_FREE;
  model->calls[call_id].next_free = model->free_call;
  model->free_call = call_id;
  if (model->scenario->policy == POLICY_ADAPTIVE)
    eel_routing_replied (&model->services[call.service].routing,
                         (uint32_t)call.endpoint, call.reply, &call.load,
                         model->now_us - call.sent_us, model->now_us);
  if (hop->generation != call.hop_generation || call.abandoned)
    return;
  hop->outstanding--;
  if (!call.ok)
    {
      on_try_failed (model, call.hop, call.work.started_us > 0);
      return;
    }
  if (call.service == 0)
    eel_retry_budget_success (&model->budget);
  if (hop->outstanding > 0)
    cancel_others (model, call.hop, call.hop_generation);
  hop_finish (model, call.hop, 1, 0);
}

/* Abandons a try of a baseline; the upstream still completes it. */
void
hop_try_timeout (struct model *model, uint32_t call_id)
{
  struct call *call = &model->calls[call_id];
  struct hop *hop = &model->hops[call->hop];

  if (call->abandoned || hop->generation != call->hop_generation)
    return;
  call->abandoned = 1;
  hop->outstanding--;
  on_try_failed (model, call->hop, 1);
}

/* Hedges a lookup that has outlasted the learnt p95 latency. */
void
hop_hedge (struct model *model, uint32_t call_id)
{
  struct call *call = &model->calls[call_id];
  struct hop *hop = &model->hops[call->hop];
  struct eel_routing *routing = &model->services[call->service].routing;
  struct send *send = &model->sends[call->send];

  if (hop->generation != call->hop_generation || hop->tries > 1
      || call->state == CALL_REPLIED || send->spare_attempts == 0
      || eel_routing_hedge_delay_us (routing) < 0)
    return;
  if (!hop_send (model, call->hop))
    return;
  send->spare_attempts--;
  eel_routing_hedged (routing);
  model->result->hedges++;
}
