#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"

#define KEYS_PER_ANSWER_MAX 64

/*
 * Keyed hash of the service, method, target and body, which identify a request
 * to the upstream; never 0.
 */
uint64_t
node_fingerprint (const struct eel_node *node, const struct eel_call *call)
{
  uint64_t hash = eel_hash64 (call->service, strlen (call->service),
                              node->fingerprint_seed);

  hash = eel_hash64 (call->method, strlen (call->method), hash);
  hash = eel_hash64 (call->target, strlen (call->target), hash);
  hash = eel_hash64 (call->body.data != NULL ? (const void *)call->body.data
                                             : (const void *)"",
                     call->body.bytes, hash);
  return hash != 0 ? hash : 1;
}

static int
method_is_safe (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0
         || strcmp (method, "OPTIONS") == 0;
}

/*
 * Sets idempotence and class from the headers, else the document's rule, else
 * the method.  A request with a key is run at most once unless its headers mark
 * it as idempotent.
 */
static void
classify (struct node_request *request)
{
  struct eel_call *call = request->call;
  const struct eel_rule *rule = eel_document_rule (
      request->document, call->service, call->method, call->target);

  if (!(call->given & EEL_GIVEN_IDEMPOTENT))
    {
      call->idempotent = rule != NULL ? rule->idempotent
                                      : (uint8_t)method_is_safe (call->method);
      if (call->given & EEL_GIVEN_KEY)
        call->idempotent = 0;
    }
  if (!(call->given & EEL_GIVEN_CLASS) || call->klass >= EEL_CLASS_COUNT)
    call->klass = rule != NULL            ? rule->klass
                  : call->idempotent != 0 ? EEL_CLASS_LOOKUP
                                          : EEL_CLASS_CRITICAL;
  request->idempotent = call->idempotent;
  request->klass = call->klass;
}

/* Applies the preset's limits on deadline and spare attempts. */
static void
apply_limits (struct eel_node *node, struct node_request *request)
{
  const struct eel_preset *preset = eel_document_preset (request->document);
  struct eel_call *call = request->call;
  int64_t latest_us
      = request->started_us + preset->deadline_max_ms * EEL_US_PER_MS;
  uint32_t spare = preset->spare_attempts_max;

  if (!(call->given & EEL_GIVEN_DEADLINE))
    call->deadline_us
        = request->started_us + preset->deadline_default_ms * EEL_US_PER_MS;
  if (call->deadline_us > latest_us)
    call->deadline_us = latest_us;
  if ((call->given & EEL_GIVEN_SPARE) && call->spare < spare)
    spare = call->spare;
  if (!request->idempotent && (call->given & EEL_GIVEN_KEY)
      && call->key.spare < spare)
    spare = call->key.spare;
  eel_ledger_init (&request->ledger, (uint8_t)spare);
  request->deadline_us = call->deadline_us;
  (void)node;
}

static enum eel_error
check_key (struct eel_node *node, struct node_request *request)
{
  struct eel_call *call = request->call;

  if (request->idempotent)
    return EEL_OK;
  if (request->parent != 0 && !(call->given & EEL_GIVEN_KEY))
    return node_nested_derive_key (node, request);
  if (!(call->given & EEL_GIVEN_KEY))
    return EEL_ERROR_KEY_REQUIRED;
  if (!eel_key_verify (&call->key, node->settings.key_secret))
    return EEL_ERROR_KEY_INVALID;
  return EEL_OK;
}

/* Admission at the entry.  A nested call was admitted with its root. */
static enum eel_error
check_admission (struct eel_node *node, struct node_request *request)
{
  const struct eel_preset *preset = eel_document_preset (request->document);

  if (request->parent != 0)
    return EEL_OK;
  if (node->draining && node->front_drained)
    return EEL_ERROR_LEAVING;
  if (!node_is_joined (node))
    return EEL_ERROR_NO_ENDPOINT;
  if (request->klass >= preset->refuse_from_class)
    return EEL_ERROR_OVERLOADED;
  if (!eel_throttle_admit (&node->throttle, request->route_hash, request->klass,
                           node->now_us, &node->rng))
    return EEL_ERROR_OVERLOADED;
  request->throttled = 1;
  return EEL_OK;
}

static enum eel_error
check_request (struct eel_node *node, struct node_request *request)
{
  struct eel_call *call = request->call;
  enum eel_error error = EEL_OK;

  classify (request);
  apply_limits (node, request);
  if (call->parent != 0)
    error = node_nested_inherit (node, request);
  if (error != EEL_OK)
    return error;
  if (request->deadline_us <= node->now_us)
    return EEL_ERROR_DEADLINE;
  call->fingerprint = node_fingerprint (node, call);
  if (eel_quarantine_check (&node->quarantine, call->fingerprint, node->now_us)
      == EEL_QUARANTINE_REFUSED)
    return EEL_ERROR_QUARANTINED;
  error = check_key (node, request);
  if (error != EEL_OK)
    return error;
  request->service = node_service_get (node, call->service);
  if (request->service == NULL)
    return EEL_ERROR_SERVICE_UNKNOWN;
  return check_admission (node, request);
}

static struct node_request *
new_request (struct eel_node *node, struct eel_msg *msg)
{
  struct node_request *request
      = node_table_add (&node->requests, node->settings.node, msg->call->id);

  if (request == NULL)
    return NULL;
  request->role = NODE_ROLE_ENTRY;
  request->reply_to = msg->reply_to != NULL ? msg->reply_to : node->out.front;
  request->call = msg->call;
  msg->call = NULL;
  request->document = eel_document_ref (node->presets.current);
  request->started_us = node->now_us;
  request->call->revision = request->document->revision.number;
  request->route_hash = eel_route_hash (
      request->call->service, request->call->method, request->call->target);
  return request;
}

/* Handles a call from the front: refuses it or sends its first attempt. */
void
node_entry_call (struct eel_node *node, struct eel_msg *msg)
{
  struct node_request *request;
  enum eel_error error;

  if (msg->call == NULL)
    return;
  request = new_request (node, msg);
  if (request == NULL)
    {
      eel_metric_add (node->metrics.table_full, 1);
      node_post_answer (node,
                        msg->reply_to != NULL ? msg->reply_to : node->out.front,
                        eel_answer_error (msg->call->id, EEL_ERROR_OVERLOADED));
      return;
    }
  error = check_request (node, request);
  if (error != EEL_OK)
    {
      eel_metric_add (node->metrics.refused_entry, 1);
      node_request_fail (node, request, error);
      return;
    }
  eel_metric_add (node->metrics.entered[request->klass], 1);
  if (request->idempotent)
    node_lookup_start (node, request);
  else
    node_order_start (node, request);
}

/*
 * Handles a caller's disconnect.  Attempts of a lookup are cancelled; an order
 * continues, because a copy with the same key may still request its outcome.
 */
void
node_entry_cancel (struct eel_node *node, uint64_t front_id)
{
  struct node_request *request
      = node_table_find (&node->requests, node->settings.node, front_id);
  struct eel_wire_message *wire;

  if (request == NULL)
    return;
  if (!request->idempotent)
    eel_coordinator_caller_disconnected (&node->coordinator, request->slot.id);
  if (!request->idempotent && request->sends[0] != 0)
    {
      struct node_send *send = node_table_get (&node->sends, request->sends[0]);

      wire = eel_wire_new (EEL_WIRE_CANCEL);
      if (wire != NULL && send != NULL)
        {
          wire->call_id = send->slot.id;
          node_post_wire (node, send->target, wire);
        }
      else
        eel_wire_free (wire);
    }
  node_request_drop (node, request);
}

/* Issues keys in advance; the body of the answer has one key per line. */
void
node_entry_keys (struct eel_node *node, const struct eel_msg *msg)
{
  const struct eel_preset *preset = eel_document_preset (node->presets.current);
  uint64_t wanted
      = msg->value < KEYS_PER_ANSWER_MAX ? msg->value : KEYS_PER_ANSWER_MAX;
  char text[KEYS_PER_ANSWER_MAX * EEL_KEY_TEXT_MAX];
  size_t bytes = 0;
  enum eel_error error = EEL_OK;
  struct eel_answer *answer;

  for (uint64_t i = 0; i < wanted; i++)
    {
      struct eel_key key;

      error = eel_decider_issue (
          &node->coordinator.decider, (uint8_t)preset->spare_attempts_max,
          preset->key_life_ms * EEL_US_PER_MS, node->now_us, &key);
      if (error != EEL_OK)
        break;
      bytes += eel_key_encode (&key, text + bytes);
      text[bytes++] = '\n';
    }
  if (node->draining && bytes == 0)
    error = EEL_ERROR_LEAVING;
  answer = bytes > 0 || error == EEL_OK
               ? eel_answer_new (msg->call_id)
               : eel_answer_error (msg->call_id, error);
  if (answer != NULL && answer->error == EEL_OK)
    {
      char life[24];

      snprintf (life, sizeof life, "%lld",
                (long long)(preset->key_life_ms / 1000));
      answer->status = 200;
      eel_headers_add (&answer->headers, "Eel-Key-Life-S", life);
      eel_body_set (&answer->body, text, bytes);
    }
  node_post_answer (
      node, msg->reply_to != NULL ? msg->reply_to : node->out.front, answer);
}
