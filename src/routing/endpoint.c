#include "internal/routing.h"

#include <string.h>

/* EWMA weight of a new reply in the failure rate. */
#define FAILURE_EWMA_WEIGHT 0.05

/* The caller owns the endpoint array, which must outlive routing. */
void
eel_routing_init (struct eel_routing *routing,
                  const struct eel_routing_config *config,
                  struct eel_endpoint *endpoints,
                  uint32_t capacity)
{
  memset (routing, 0, sizeof *routing);
  routing->config = *config;
  routing->endpoints = endpoints;
  routing->capacity = capacity;
}

void
eel_routing_finish (struct eel_routing *routing)
{
  memset (routing, 0, sizeof *routing);
}

/* Replaces the settings and keeps the endpoints and their statistics. */
void
eel_routing_configure (struct eel_routing *routing,
                       const struct eel_routing_config *config)
{
  routing->config = *config;
}

/* Returns NULL when the node has no endpoint. */
struct eel_endpoint *
eel_routing_find (struct eel_routing *routing, uint32_t node)
{
  for (uint32_t i = 0; i < routing->count; i++)
    if (routing->endpoints[i].node == node)
      return &routing->endpoints[i];
  return NULL;
}

/*
 * Adds a node, or updates its failure domain; another incarnation starts with
 * fresh statistics.  Returns NULL when the table is full.
 */
struct eel_endpoint *
eel_routing_add (struct eel_routing *routing,
                 uint32_t node,
                 uint64_t incarnation,
                 int same_domain,
                 int64_t now_us)
{
  struct eel_endpoint *endpoint = eel_routing_find (routing, node);

  if (endpoint != NULL && endpoint->incarnation == incarnation)
    {
      endpoint->same_domain = same_domain != 0;
      return endpoint;
    }
  if (endpoint == NULL)
    {
      if (routing->count == routing->capacity)
        return NULL;
      endpoint = &routing->endpoints[routing->count++];
    }
  memset (endpoint, 0, sizeof *endpoint);
  endpoint->node = node;
  endpoint->incarnation = incarnation;
  endpoint->same_domain = same_domain != 0;
  endpoint->state = EEL_ENDPOINT_UP;
  endpoint->load.shed_class = EEL_CLASS_COUNT;
  endpoint->load_at_us = now_us;
  endpoint->added_us = now_us;
  endpoint->state_since_us = now_us;
  endpoint->progress_at_us = now_us;
  return endpoint;
}

/* Removes a node; later replies from it are ignored. */
void
eel_routing_remove (struct eel_routing *routing, uint32_t node)
{
  struct eel_endpoint *endpoint = eel_routing_find (routing, node);

  if (endpoint != NULL)
    *endpoint = routing->endpoints[--routing->count];
}

/* Sets the state that membership or a drain notice reports. */
void
eel_routing_set_state (struct eel_routing *routing,
                       uint32_t node,
                       enum eel_endpoint_state state,
                       int64_t now_us)
{
  struct eel_endpoint *endpoint = eel_routing_find (routing, node);

  if (endpoint == NULL || endpoint->state == state)
    return;
  endpoint->state = (uint8_t)state;
  endpoint->state_since_us = now_us;
  endpoint->bad_score = 0;
  endpoint->trial_score = 0;
}

/* Records a call sent to a node. */
void
eel_routing_sent (struct eel_routing *routing, uint32_t node, int64_t now_us)
{
  struct eel_endpoint *endpoint = eel_routing_find (routing, node);

  if (endpoint == NULL)
    return;
  if (endpoint->in_flight == 0)
    endpoint->progress_at_us = now_us;
  endpoint->in_flight++;
}

/*
 * Records the reply to a call, or its failure, and updates the ejection state
 * of the endpoint.  load is NULL when the reply carried none.
 */
void
eel_routing_replied (struct eel_routing *routing,
                     uint32_t node,
                     enum eel_reply_kind kind,
                     const struct eel_load *load,
                     int64_t latency_us,
                     int64_t now_us)
{
  struct eel_endpoint *endpoint = eel_routing_find (routing, node);
  int failed = kind != EEL_REPLY_OK && kind != EEL_REPLY_SHED;

  if (endpoint == NULL)
    return;
  if (endpoint->in_flight > 0)
    endpoint->in_flight--;
  endpoint->progress_at_us = now_us;
  endpoint->failure_rate
      += (failed - endpoint->failure_rate) * FAILURE_EWMA_WEIGHT;
  if (load != NULL)
    {
      endpoint->load = *load;
      endpoint->load_at_us = now_us;
    }
  eel_routing_evaluate (routing, endpoint, kind, latency_us, now_us);
  if (kind == EEL_REPLY_OK)
    eel_routing_record_latency (routing, endpoint, latency_us);
}
