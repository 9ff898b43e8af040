#include <math.h>
#include <stdlib.h>

#include "policy_state.h"

#define REPORT_INTERVAL_US EEL_US_PER_S

static struct upstream *
upstream_of (struct model *model, const struct call *call)
{
  return &model->services[call->service].upstreams[call->endpoint];
}

/* Initializes admission with the same settings for every scenario. */
void
upstream_init (struct upstream *upstream, uint32_t slots)
{
  struct eel_admission_config config = { 0 };

  upstream->slots = slots;
  config.slots = slots;
  config.limit_min = 1;
  config.queue_max = slots * 2;
  config.queue_target_us = 20 * EEL_US_PER_MS;
  config.long_factor = 8;
  config.long_share_max_percent = 75;
  config.caller_share_percent = 50;
  eel_admission_init (&upstream->admission, &config, upstream->queue, QUEUE_MAX,
                      0);
}

/* Returns the platform's load report, falsified as the scenario says. */
uint32_t
upstream_report (struct model *model, struct upstream *upstream)
{
  uint32_t load = upstream->running + (uint32_t)upstream->count;

  switch (model->scenario->report)
    {
    case REPORT_ZERO:
      return 0;
    case REPORT_FULL:
      return upstream->slots;
    case REPORT_FROZEN:
      if (upstream->reported_at_us == 0)
        upstream->reported = load;
      upstream->reported_at_us = 1;
      return upstream->reported;
    default:
      if (model->now_us - upstream->reported_at_us >= REPORT_INTERVAL_US)
        {
          upstream->reported = load;
          upstream->reported_at_us = model->now_us;
        }
      return upstream->reported;
    }
}

static void
send_reply (struct model *model, uint32_t id, int ok, enum eel_reply_kind kind)
{
  struct call *call = &model->calls[id];
  int64_t delay_us = call->endpoint == 0 ? 0 : model->scenario->one_way_us;

  call->state = CALL_REPLIED;
  call->ok = (uint8_t)ok;
  call->reply = kind;
  eel_admission_load (&upstream_of (model, call)->admission, &call->load);
  model_schedule (model, model->now_us + delay_us, EVENT_REPLY, id,
                  call->generation);
}

/* Starts a call; half of its mean service time is fixed, half exponential. */
static void
start_call (struct model *model, uint32_t id)
{
  const struct scenario *scenario = model->scenario;
  struct call *call = &model->calls[id];
  struct request *request
      = &model->result->requests[model->sends[call->send].request];
  double service_time_us = (double)scenario->service_us
                           * scenario->slowness (scenario, call->service,
                                                 call->endpoint, model->now_us)
                           * (0.5 - 0.5 * log (1 - eel_rng_unit (&model->rng)));

  if (request->is_long)
    service_time_us *= scenario->long_factor;
  else
    {
      struct result *result = model->result;

      result->waits
          = model_grow (result->waits, result->wait_count,
                        &result->wait_capacity, sizeof *result->waits);
      result->waits[result->wait_count++]
          = (struct wait){ call->work.arrived_us,
                           model->now_us - call->work.arrived_us };
    }
  call->state = CALL_RUNNING;
  call->work.started_us = model->now_us;
  request->started |= (uint8_t)(call->service == 0);
  model->result->executions++;
  upstream_of (model, call)->running++;
  model_schedule (model, model->now_us + (int64_t)service_time_us,
                  EVENT_SERVICE_DONE, id, call->generation);
  if (scenario->policy == POLICY_ADAPTIVE)
    model_schedule (model, call->work.deadline_us, EVENT_CALL_DEADLINE, id,
                    call->generation);
}

/* Starts queued calls that admission releases and answers those it sheds. */
static void
start_queued (struct model *model, struct upstream *upstream)
{
  struct eel_work_item work;
  enum eel_error error;

  if (model->scenario->policy == POLICY_ADAPTIVE)
    {
      while (eel_admission_next (&upstream->admission, &work, &error,
                                 model->now_us))
        {
          uint32_t id = (uint32_t)(work.id - 1);

          model->calls[id].work = work;
          if (error == EEL_OK)
            start_call (model, id);
          else
            send_reply (model, id, 0, EEL_REPLY_SHED);
        }
      return;
    }
  while (upstream->count > 0 && upstream->running < upstream->slots)
    {
      uint32_t id = upstream->waiting[upstream->head];

      upstream->head = (upstream->head + 1) % upstream->waiting_max;
      upstream->count--;
      start_call (model, id);
    }
}

static void
push_waiting (struct upstream *upstream, uint32_t id)
{
  if (upstream->waiting == NULL)
    {
      upstream->waiting_max = 4096;
      upstream->waiting = calloc (upstream->waiting_max, sizeof id);
      if (upstream->waiting == NULL)
        exit (1);
    }
  upstream->waiting[(upstream->head + upstream->count) % upstream->waiting_max]
      = id;
  upstream->count++;
}

static void
arrive_baseline (struct model *model, uint32_t id)
{
  const struct scenario *scenario = model->scenario;
  struct upstream *upstream = upstream_of (model, &model->calls[id]);
  size_t queue_max = scenario->policy == POLICY_NONE
                         ? scenario->connections - upstream->slots
                         : upstream->slots * 2;

  if (upstream->running < upstream->slots)
    start_call (model, id);
  else if (upstream->count < queue_max)
    {
      model->calls[id].state = CALL_QUEUED;
      push_waiting (upstream, id);
    }
  else
    send_reply (model, id, 0, EEL_REPLY_SHED);
}

/* Starts, queues or refuses an arriving call. */
void
upstream_arrive (struct model *model, uint32_t id)
{
  struct call *call = &model->calls[id];
  struct upstream *upstream = upstream_of (model, call);
  struct request *request
      = &model->result->requests[model->sends[call->send].request];
  struct eel_offer_result offer;

  call->work.arrived_us = model->now_us;
  if (model->scenario->policy != POLICY_ADAPTIVE)
    {
      arrive_baseline (model, id);
      return;
    }
  offer
      = eel_admission_offer (&upstream->admission, &call->work, model->now_us);
  if (offer.verdict != EEL_OFFER_REFUSED)
    request->accepted |= (uint8_t)(call->service == 0);
  if (offer.evicted_id != 0)
    send_reply (model, (uint32_t)(offer.evicted_id - 1), 0, EEL_REPLY_SHED);
  if (offer.verdict == EEL_OFFER_START)
    start_call (model, id);
  else if (offer.verdict == EEL_OFFER_REFUSED)
    send_reply (model, id, 0, EEL_REPLY_SHED);
  else
    {
      call->state = CALL_QUEUED;
      model_schedule (model, call->work.deadline_us, EVENT_CALL_DEADLINE, id,
                      call->generation);
    }
}

/* Ends the call's own service time: starts the nested call or replies. */
void
upstream_service_done (struct model *model, uint32_t id)
{
  struct call *call = &model->calls[id];

  if (call->state != CALL_RUNNING)
    return;
  if (call->service + 1 < model->scenario->depth)
    hop_start (model, call->send, call->service + 1, id);
  else
    upstream_finish (model, id, EEL_WORK_OK);
}

/* Ends a running call and releases its slot. */
void
upstream_finish (struct model *model, uint32_t id, enum eel_work_result result)
{
  struct call *call = &model->calls[id];
  struct upstream *upstream = upstream_of (model, call);

  model->sends[call->send].busy_us
      += (double)(model->now_us - call->work.started_us);
  upstream->running--;
  if (model->scenario->policy == POLICY_ADAPTIVE)
    eel_admission_done (&upstream->admission, &call->work, result,
                        model->now_us);
  send_reply (model, id, result == EEL_WORK_OK,
              result == EEL_WORK_OK          ? EEL_REPLY_OK
              : result == EEL_WORK_TIMED_OUT ? EEL_REPLY_TIMED_OUT
                                             : EEL_REPLY_SHED);
  start_queued (model, upstream);
}

/* Ends a running call at its deadline; lets admission expire a queued one. */
void
upstream_deadline (struct model *model, uint32_t id)
{
  struct call *call = &model->calls[id];

  if (call->state == CALL_RUNNING)
    upstream_finish (model, id, EEL_WORK_TIMED_OUT);
  else if (call->state == CALL_QUEUED)
    start_queued (model, upstream_of (model, call));
}

/* Cancels a call whose sender has another answer. */
void
upstream_cancel (struct model *model, uint32_t id)
{
  struct call *call = &model->calls[id];
  struct upstream *upstream = upstream_of (model, call);

  call->abandoned = 1;
  if (call->state == CALL_RUNNING)
    upstream_finish (model, id, EEL_WORK_CANCELLED);
  else if (call->state == CALL_QUEUED
           && eel_admission_remove (&upstream->admission, call->work.id))
    send_reply (model, id, 0, EEL_REPLY_SHED);
}
