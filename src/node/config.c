#include "node.h"

#include <stdio.h>
#include <string.h>

#define LIMIT_MIN 1
#define TRIAL_INTERVAL_CALLS 100
#define EJECTION_US (5 * EEL_US_PER_S)
#define BUDGET_CAPACITY_MILLI 10000
#define BUDGET_PER_SECOND_MILLI 100

static void
routing_config (const struct eel_preset *preset,
                struct eel_routing_config *config)
{
  memset (config, 0, sizeof *config);
  config->ejected_max_percent = preset->ejected_max_percent;
  config->straggler_factor = preset->straggler_factor;
  config->ramp_us = preset->ramp_ms * EEL_US_PER_MS;
  config->ejection_us = EJECTION_US;
  config->trial_interval = TRIAL_INTERVAL_CALLS;
  config->hedge_share_permille = preset->hedge_share_permille;
  config->spill_percent = preset->spill_percent;
}

/* Initializes routing and retry budget of a new service. */
void
node_config_service (const struct eel_node *node, struct node_service *service)
{
  const struct eel_preset *preset = eel_document_preset (node->presets.current);
  struct eel_routing_config config;

  routing_config (preset, &config);
  eel_routing_init (&service->routing, &config, service->endpoints,
                    NODE_ENDPOINTS_MAX);
  eel_retry_budget_init (&service->budget, BUDGET_CAPACITY_MILLI,
                         preset->retry_budget_permille, BUDGET_PER_SECOND_MILLI,
                         node->now_us);
}

/* Derives the admission parameters from the settings and the preset. */
void
node_config_admission (const struct eel_node *node,
                       struct eel_admission_config *config)
{
  const struct eel_preset *preset = eel_document_preset (node->presets.current);

  memset (config, 0, sizeof *config);
  config->slots = node->settings.upstream_slots;
  if (node->settings.upstream_connections > 0
      && node->settings.upstream_connections < config->slots)
    config->slots = node->settings.upstream_connections;
  config->limit_min = LIMIT_MIN;
  config->queue_max = preset->queue_max;
  config->queue_target_us = preset->queue_target_ms * EEL_US_PER_MS;
  config->long_factor = preset->long_factor;
  config->long_share_max_percent = preset->long_share_max_percent;
  config->caller_share_percent = preset->caller_share_percent;
}

/*
 * Applies the preset in force to new calls.  Calls in flight keep a reference
 * to the document that they started with.
 */
void
node_config_apply (struct eel_node *node)
{
  const struct eel_preset *preset = eel_document_preset (node->presets.current);
  struct eel_admission_config admission;
  struct eel_routing_config routing;

  node->coordinator.key_life_us = preset->key_life_ms * EEL_US_PER_MS;
  node_config_admission (node, &admission);
  eel_admission_configure (&node->admission, &admission);
  routing_config (preset, &routing);
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      eel_routing_configure (&node->services[i]->routing, &routing);
      node->services[i]->budget.per_success_milli
          = preset->retry_budget_permille;
    }
  eel_metric_set (node->metrics.revision,
                  node->presets.current->revision.number);
}

static void
handle_accepted (struct eel_node *node,
                 enum eel_store_result result,
                 const char *before,
                 const char *source)
{
  const struct eel_document *current = node->presets.current;
  char after[32];

  eel_revision_text (&current->revision, after);
  node_audit (node, EEL_AUDIT_PRESET, before, after, source,
              eel_document_preset (current)->name);
  if (result == EEL_STORE_CONFLICT_ACCEPTED)
    node_audit (node, EEL_AUDIT_DOCUMENT_CONFLICT, before, after, source,
                "same revision, other bytes; the greater hash is in force");
  node->document_refused = 0;
  node->document_conflict = result == EEL_STORE_CONFLICT_ACCEPTED;
  snprintf (node->document_reason, sizeof node->document_reason, "%s",
            node->document_conflict ? "two documents of one revision" : "");
  node_config_apply (node);
  node_gossip_disseminate (node);
}

static void
mark_not_converged (struct eel_node *node,
                    uint8_t *flag,
                    enum eel_audit_kind kind,
                    const char *before,
                    const char *source,
                    const char *reason)
{
  char text[sizeof node->document_reason];
  int already_reported;

  snprintf (text, sizeof text, "%.*s", (int)sizeof text - 1, reason);
  already_reported = *flag && strcmp (node->document_reason, text) == 0;
  *flag = 1;
  memcpy (node->document_reason, text, sizeof text);
  /* Each read of the platform repeats the refusal; it is audited once. */
  if (!already_reported)
    node_audit (node, kind, before, before, source, text);
}

/* Offers a document to the store and applies it if its revision is greater. */
void
node_config_offer (struct eel_node *node,
                   const uint8_t *bytes,
                   size_t byte_count,
                   const char *source)
{
  struct eel_document_error error;
  enum eel_store_result result;
  char before[32];

  memset (&error, 0, sizeof error);
  eel_revision_text (&node->presets.current->revision, before);
  result = eel_preset_store_offer (&node->presets, bytes, byte_count, &error);
  switch (result)
    {
    case EEL_STORE_ACCEPTED:
    case EEL_STORE_CONFLICT_ACCEPTED:
      handle_accepted (node, result, before, source);
      break;
    case EEL_STORE_REFUSED:
      mark_not_converged (node, &node->document_refused,
                          EEL_AUDIT_DOCUMENT_REFUSED, before, source,
                          error.text);
      break;
    case EEL_STORE_CONFLICT_KEPT:
      mark_not_converged (
          node, &node->document_conflict, EEL_AUDIT_DOCUMENT_CONFLICT, before,
          source, "same revision, other bytes; ours has the greater hash");
      break;
    case EEL_STORE_SAME:
      node->document_refused = 0;
      break;
    case EEL_STORE_OLDER:
      break;
    }
}
