#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy_state.h"

#define SPARE_ATTEMPTS 3

/* Reallocates the array for at least one more element; exits on failure. */
void *
model_grow (void *array, size_t count, size_t *capacity, size_t size)
{
  if (count < *capacity)
    return array;
  *capacity = count < 64 ? 64 : count * 2;
  array = realloc (array, *capacity * size);
  if (array == NULL)
    {
      fputs ("bench_policy: out of memory\n", stderr);
      exit (1);
    }
  return array;
}

static int
event_precedes (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

/* Adds an event; events at the same time keep the order of their adding. */
void
model_schedule (struct model *model,
                int64_t at_us,
                enum event_kind kind,
                uint32_t id,
                uint32_t generation)
{
  struct event event = { at_us, model->event_order++, id, generation, kind };
  size_t i = model->event_count;

  model->events = model_grow (model->events, model->event_count,
                              &model->event_capacity, sizeof *model->events);
  model->event_count++;
  for (; i > 0 && event_precedes (&event, &model->events[(i - 1) / 2]);
       i = (i - 1) / 2)
    model->events[i] = model->events[(i - 1) / 2];
  model->events[i] = event;
}

/* Removes the earliest event; returns 0 when there is none. */
int
model_next_event (struct model *model, struct event *event)
{
  struct event last;
  size_t i = 0;

  if (model->event_count == 0)
    return 0;
  *event = model->events[0];
  last = model->events[--model->event_count];
  while (2 * i + 1 < model->event_count)
    {
      size_t child = 2 * i + 1;

      if (child + 1 < model->event_count
          && event_precedes (&model->events[child + 1], &model->events[child]))
        child++;
      if (!event_precedes (&model->events[child], &last))
        break;
      model->events[i] = model->events[child];
      i = child;
    }
  model->events[i] = last;
  return 1;
}

static uint32_t
throttle_route (const struct request *request)
{
  return 1 + request->is_long;
}

static void
client_send (struct model *model, uint32_t request_id)
{
  struct request *request = &model->result->requests[request_id];
  uint32_t id = (uint32_t)model->send_count;
  struct send *send;

  request->sends++;
  model->sends = model_grow (model->sends, model->send_count,
                             &model->send_capacity, sizeof *model->sends);
  send = &model->sends[model->send_count++];
  memset (send, 0, sizeof *send);
  send->request = request_id;
  send->spare_attempts = SPARE_ATTEMPTS;
  send->sent_us = model->now_us;
  send->deadline_us = model->now_us + model->scenario->deadline_us;
  if (model->scenario->policy == POLICY_ADAPTIVE
      && !eel_throttle_admit (&model->throttle, throttle_route (request),
                              (enum eel_class)request->klass, model->now_us,
                              &model->rng))
    {
      client_finish (model, id, 0, -1);
      return;
    }
  model_schedule (model, send->deadline_us, EVENT_SEND_DEADLINE, id, 0);
  hop_start (model, id, 0, NO_ID);
}

/*
 * Ends a send, successfully if ok.  overloaded is what the throttle records,
 * or -1 when the throttle refused the send and has already counted it.
 */
void
client_finish (struct model *model, uint32_t send_id, int ok, int overloaded)
{
  struct send *send = &model->sends[send_id];
  struct request *request = &model->result->requests[send->request];

  if (send->finished)
    return;
  send->finished = 1;
  send->ok = (uint8_t)ok;
  if (model->scenario->policy == POLICY_ADAPTIVE && overloaded >= 0)
    eel_throttle_report_outcome (&model->throttle, throttle_route (request),
                                 (enum eel_class)request->klass, overloaded,
                                 model->now_us);
  if (ok && request->answered_us < 0)
    request->answered_us = model->now_us;
  if (!ok && request->sends < model->scenario->sends_max)
    model_schedule (model, model->now_us + model->scenario->resend_us,
                    EVENT_SEND, send->request, 0);
}

static void
on_arrival (struct model *model)
{
  const struct scenario *scenario = model->scenario;
  struct result *result = model->result;
  uint32_t percent = eel_rng_below (&model->rng, 100);
  struct request *request;
  double interarrival_us;

  result->requests = model_grow (result->requests, result->request_count,
                                 &result->request_capacity, sizeof *request);
  request = &result->requests[result->request_count++];
  memset (request, 0, sizeof *request);
  request->issued_us = model->now_us;
  request->answered_us = -1;
  request->klass = EEL_CLASS_LOOKUP;
  if (percent < scenario->order_percent)
    request->klass = EEL_CLASS_CRITICAL;
  else if (percent < scenario->order_percent + scenario->background_percent)
    request->klass = EEL_CLASS_BACKGROUND;
  request->is_long = eel_rng_below (&model->rng, 100) < scenario->long_percent;
  client_send (model, (uint32_t)(result->request_count - 1));
  interarrival_us = -log (1 - eel_rng_unit (&model->rng)) * 1e6
                    / scenario->rate (scenario, model->now_us);
  if (model->now_us + (int64_t)interarrival_us < scenario->end_us)
    model_schedule (model, model->now_us + (int64_t)interarrival_us,
                    EVENT_ARRIVAL, 0, 0);
}

static void
dispatch_event (struct model *model, const struct event *event)
{
  int current = event->kind < EVENT_AT_ENDPOINT
                || model->calls[event->id].generation == event->generation;

  if (!current)
    return;
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      on_arrival (model);
      break;
    case EVENT_SEND:
      client_send (model, event->id);
      break;
    case EVENT_SEND_DEADLINE:
      client_finish (model, event->id, 0, 1);
      break;
    case EVENT_AT_ENDPOINT:
      upstream_arrive (model, event->id);
      break;
    case EVENT_SERVICE_DONE:
      upstream_service_done (model, event->id);
      break;
    case EVENT_CALL_DEADLINE:
      upstream_deadline (model, event->id);
      break;
    case EVENT_REPLY:
      hop_reply (model, event->id);
      break;
    case EVENT_TRY_TIMEOUT:
      hop_try_timeout (model, event->id);
      break;
    case EVENT_HEDGE:
      hop_hedge (model, event->id);
      break;
    }
}

static void
init (struct model *model, const struct scenario *scenario)
{
  struct eel_routing_config config
      = { 33, 3, 10 * EEL_US_PER_S, EEL_US_PER_S, 100, 20, 80 };

  model->scenario = scenario;
  model->free_hop = NO_ID;
  model->free_call = NO_ID;
  eel_rng_init (&model->rng, scenario->seed);
  for (int s = 0; s < SERVICES_MAX; s++)
    {
      struct service *service = &model->services[s];

      eel_routing_init (&service->routing, &config, service->endpoints,
                        ENDPOINTS);
      for (uint32_t i = 0; i < ENDPOINTS; i++)
        {
          eel_routing_add (&service->routing, i, 1, i == 0, -20 * EEL_US_PER_S);
          upstream_init (&service->upstreams[i], s == scenario->depth - 1
                                                     ? scenario->slots
                                                     : scenario->upper_slots);
        }
    }
  eel_throttle_init (&model->throttle, model->throttle_routes, THROTTLE_ROUTES,
                     EEL_THROTTLE_WINDOW_US);
  eel_retry_budget_init (&model->budget, 10000, 100, 100, 0);
}

/* Runs a scenario until no event is left, so all started work completes. */
void
model_run (const struct scenario *scenario, struct result *result)
{
  struct model *model = calloc (1, sizeof *model);
  struct event event;

  memset (result, 0, sizeof *result);
  if (model == NULL)
    exit (1);
  model->result = result;
  init (model, scenario);
  model_schedule (model, 0, EVENT_ARRIVAL, 0, 0);
  while (model_next_event (model, &event))
    {
      model->now_us = event.at_us;
      dispatch_event (model, &event);
    }
  for (size_t i = 0; i < model->send_count; i++)
    {
      if (model->sends[i].sent_us < scenario->count_from_us
          || model->sends[i].sent_us >= scenario->count_to_us)
        continue;
      result->upstream_time_us += model->sends[i].busy_us;
      if (!model->sends[i].ok)
        result->failed_upstream_time_us += model->sends[i].busy_us;
    }
  for (int s = 0; s < scenario->depth; s++)
    {
      result->ejections += model->services[s].routing.ejections;
      for (int i = 0; i < ENDPOINTS; i++)
        free (model->services[s].upstreams[i].waiting);
    }
  free (model->events);
  free (model->sends);
  free (model->hops);
  free (model->calls);
  free (model);
}

void
result_finish (struct result *result)
{
  free (result->requests);
  free (result->waits);
}
