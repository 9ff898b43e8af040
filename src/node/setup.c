#include "node.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"

/* The executor runs orders of other deciders too, so it needs more records. */
#define EXECUTOR_RECORDS_PER_KEY 2
#define STORED_ANSWERS_MAX 4096
#define STORED_ANSWER_BYTES_MAX (UINT64_C (8) * 1024 * 1024)
#define QUARANTINE_MAX 1024
#define QUARANTINE_LIFE_US (600 * EEL_US_PER_S)
#define THROTTLE_ROUTES_MAX 1024
#define SEAL_TIMEOUT_US (500 * EEL_US_PER_MS)
#define PROBES_OWN_DOMAIN 8
#define PROBES_OTHER_DOMAIN 1
#define DEAD_RETRY_US (30 * EEL_US_PER_S)
#define DEAD_FORGET_US (600 * EEL_US_PER_S)
/* Probe intervals without an answer before a suspect is declared dead. */
#define SUSPICION_INTERVALS 4

/* Returns zeroed memory that is freed by node_teardown, or NULL. */
static void *
alloc_block (struct eel_node *node, size_t count, size_t bytes)
{
  void *memory = calloc (count, bytes);

  if (memory != NULL)
    node->blocks[node->block_count++] = memory;
  return memory;
}

static uint32_t
power_of_two (uint32_t at_least)
{
  uint32_t value = 16;

  while (value < at_least)
    value *= 2;
  return value;
}

static int
setup_tables (struct eel_node *node)
{
  uint32_t calls = node->settings.calls_max;

  return node_table_init (&node->requests, sizeof (struct node_request), calls,
                          eel_rng_next (&node->rng))
         && node_table_init (&node->orders, sizeof (struct node_order), calls,
                             eel_rng_next (&node->rng))
         && node_table_init (&node->sends, sizeof (struct node_send), 2 * calls,
                             eel_rng_next (&node->rng))
         && node_table_init (&node->runs, sizeof (struct node_run), calls,
                             eel_rng_next (&node->rng));
}

static int
setup_decider (struct eel_node *node)
{
  struct eel_decider_storage *storage = &node->decider_storage;
  uint32_t calls = node->settings.calls_max;
  struct eel_decider decider;
  struct eel_pending *pending = alloc_block (node, calls, sizeof *pending);
  struct eel_waiter *waiters = alloc_block (node, calls, sizeof *waiters);

  storage->root_capacity = node->settings.keys_max;
  storage->child_capacity = node->settings.keys_max;
  storage->bucket_count = power_of_two (2 * node->settings.keys_max);
  storage->answer_capacity = STORED_ANSWERS_MAX;
  storage->answer_bytes_max = STORED_ANSWER_BYTES_MAX;
  storage->records = alloc_block (node, 2 * (size_t)node->settings.keys_max,
                                  sizeof *storage->records);
  storage->buckets
      = alloc_block (node, storage->bucket_count, sizeof *storage->buckets);
  storage->answers
      = alloc_block (node, storage->answer_capacity, sizeof *storage->answers);
  if (pending == NULL || waiters == NULL || storage->records == NULL
      || storage->buckets == NULL || storage->answers == NULL)
    return 0;
  eel_decider_init (&decider, node->settings.node, node->incarnation,
                    node->settings.key_secret, storage);
  eel_coordinator_init (&node->coordinator, &decider, pending, calls, waiters,
                        calls, SEAL_TIMEOUT_US);
  return 1;
}

static int
setup_executor (struct eel_node *node)
{
  uint32_t capacity = EXECUTOR_RECORDS_PER_KEY * node->settings.keys_max;
  uint32_t bucket_count = power_of_two (capacity);
  struct eel_executor_record *records
      = alloc_block (node, capacity, sizeof *records);
  uint32_t *buckets = alloc_block (node, bucket_count, sizeof *buckets);

  if (records == NULL || buckets == NULL)
    return 0;
  eel_executor_init (&node->executor, node->incarnation, records, capacity,
                     buckets, bucket_count);
  return 1;
}

static int
setup_admission (struct eel_node *node)
{
  uint32_t calls = node->settings.calls_max;
  struct eel_admission_queued *queue = alloc_block (node, calls, sizeof *queue);
  struct eel_throttle_route *routes
      = alloc_block (node, THROTTLE_ROUTES_MAX, sizeof *routes);
  struct eel_admission_config config;

  if (queue == NULL || routes == NULL)
    return 0;
  node_config_admission (node, &config);
  eel_admission_init (&node->admission, &config, queue, calls, node->now_us);
  eel_throttle_init (&node->throttle, routes, THROTTLE_ROUTES_MAX,
                     EEL_THROTTLE_WINDOW_US);
  return 1;
}

static int
setup_quarantine (struct eel_node *node)
{
  struct eel_quarantine_entry *entries
      = alloc_block (node, QUARANTINE_MAX, sizeof *entries);

  if (entries == NULL)
    return 0;
  eel_quarantine_init (&node->quarantine, entries, QUARANTINE_MAX,
                       QUARANTINE_LIFE_US);
  return 1;
}

static void
add_seed_members (struct eel_node *node)
{
  for (uint32_t i = 0; i < node->settings.seed_count; i++)
    {
      const struct eel_seed *seed = &node->settings.seeds[i];
      struct eel_member_update entry;

      if (seed->node == node->settings.node)
        continue;
      memset (&entry, 0, sizeof entry);
      entry.node = seed->node;
      entry.state = EEL_MEMBER_UNCONFIRMED;
      snprintf (entry.address, sizeof entry.address, "%.*s:%u",
                (int)sizeof entry.address - 8, seed->address.host,
                seed->address.port);
      eel_membership_merge_listed (&node->membership, &entry, node->now_us);
    }
}

static int
setup_membership (struct eel_node *node)
{
  const struct eel_settings *settings = &node->settings;
  struct eel_membership_config config;
  struct eel_member *members
      = alloc_block (node, NODE_MEMBERS_MAX, sizeof *members);

  if (members == NULL)
    return 0;
  memset (&config, 0, sizeof config);
  config.self = settings->node;
  config.incarnation = node->incarnation;
  /* Wall-clock time, so that it exceeds that of an earlier process. */
  config.generation = (uint64_t)eel_wall_ms ();
  config.domain = settings->domain_id;
  config.service = node_service_number (settings->service);
  node_service_record_name (node, settings->service);
  snprintf (config.address, sizeof config.address, "%.*s:%u",
            (int)sizeof config.address - 8, settings->peer.host,
            settings->peer.port);
  config.probe_interval_us = settings->probe_interval_ms * EEL_US_PER_MS;
  config.probe_timeout_us = config.probe_interval_us / 2;
  config.suspicion_us = SUSPICION_INTERVALS * config.probe_interval_us;
  config.dead_retry_us = DEAD_RETRY_US;
  config.dead_forget_us = DEAD_FORGET_US;
  config.probes_own_domain = PROBES_OWN_DOMAIN;
  config.probes_other_domain = PROBES_OTHER_DOMAIN;
  eel_membership_init (&node->membership, &config, members, NODE_MEMBERS_MAX,
                       eel_rng_next (&node->rng), node->now_us);
  eel_membership_on_change (&node->membership, node_member_changed, node);
  add_seed_members (node);
  return 1;
}

static struct eel_metric *
counter (struct eel_metrics *metrics,
         const char *name,
         const char *labels,
         const char *help)
{
  return eel_metrics_get (metrics, EEL_METRIC_COUNTER, name, labels, help);
}

static struct eel_metric *
gauge (struct eel_metrics *metrics, const char *name, const char *help)
{
  return eel_metrics_get (metrics, EEL_METRIC_GAUGE, name, "", help);
}

static void
setup_labelled_metrics (struct node_metrics *own, struct eel_metrics *metrics)
{
  static const char *const classes[EEL_CLASS_COUNT]
      = { "class=\"critical\"", "class=\"lookup\"", "class=\"background\"" };
  static const char *const outcomes[EEL_OUTCOME_COUNT]
      = { "outcome=\"ran\"", "outcome=\"not-run\"", "outcome=\"unknown\"",
          "outcome=\"refused\"" };

  for (int i = 0; i < EEL_CLASS_COUNT; i++)
    own->entered[i] = counter (metrics, "eel_entered_total", classes[i],
                               "Calls that entered at this node.");
  for (int i = 0; i < EEL_OUTCOME_COUNT; i++)
    own->answered[i] = counter (metrics, "eel_answered_total", outcomes[i],
                                "Answers to callers of this node.");
}

static void
setup_metrics (struct node_metrics *own, struct eel_metrics *metrics)
{
  setup_labelled_metrics (own, metrics);
  own->latency
      = eel_metrics_get (metrics, EEL_METRIC_HISTOGRAM, "eel_answer_seconds",
                         "", "Time from a call's arrival to its answer.");
  own->runs = counter (metrics, "eel_runs_total", "",
                       "Requests sent to the own upstream.");
  own->retries = counter (metrics, "eel_retries_total", "",
                          "Second and later attempts of lookups.");
  own->hedges
      = counter (metrics, "eel_hedges_total", "", "Hedged attempts sent.");
  own->refused_entry = counter (metrics, "eel_refused_total", "at=\"entry\"",
                                "Calls refused by this node.");
  own->refused_executor
      = counter (metrics, "eel_refused_total", "at=\"executor\"",
                 "Calls refused by this node.");
  own->duplicates = counter (metrics, "eel_duplicates_total", "",
                             "Repeated execute messages that were dropped.");
  own->pauses = counter (metrics, "eel_pauses_total", "",
                         "Gaps over one second between loop turns.");
  own->table_full = counter (metrics, "eel_table_full_total", "",
                             "Calls refused because a table was full.");
  own->post_refused = counter (metrics, "eel_post_refused_total", "",
                               "Messages that a full mailbox refused.");
  own->in_flight = gauge (metrics, "eel_in_flight", "Runs at the upstream.");
  own->queued = gauge (metrics, "eel_queued", "Runs that wait for a slot.");
  own->limit = gauge (metrics, "eel_limit", "Adaptive concurrency limit.");
  own->members = gauge (metrics, "eel_members", "Entries of the member table.");
  own->revision
      = gauge (metrics, "eel_preset_revision", "Revision in force here.");
}

/* Sets up tables and decision modules.  Returns 0 when out of memory. */
int
node_setup (struct eel_node *node, struct eel_metrics *metrics)
{
  const struct eel_settings *settings = &node->settings;

  eel_rng_init (&node->rng, node->incarnation ^ (uint64_t)node->now_us);
  node->fingerprint_seed
      = eel_hash64 (settings->key_secret, sizeof settings->key_secret, 0);
  setup_metrics (&node->metrics, metrics);
  eel_preset_store_init (&node->presets);
  if (node->presets.current == NULL || !setup_tables (node)
      || !setup_decider (node) || !setup_executor (node)
      || !setup_admission (node) || !setup_quarantine (node)
      || !setup_membership (node))
    return 0;
  node_config_apply (node);
  return 1;
}

static void
free_table_items (struct eel_node *node)
{
  for (uint32_t i = 0; i < node->requests.capacity; i++)
    {
      struct node_request *request = node_table_at (&node->requests, i);

      if (request == NULL)
        continue;
      if (request->has_timer)
        event_del (&request->timer);
      eel_call_free (request->call);
      eel_document_unref (request->document);
    }
  for (uint32_t i = 0; i < node->orders.capacity; i++)
    {
      struct node_order *order = node_table_at (&node->orders, i);

      if (order != NULL)
        eel_call_free (order->call);
    }
  for (uint32_t i = 0; i < node->runs.capacity; i++)
    {
      struct node_run *run = node_table_at (&node->runs, i);

      if (run != NULL)
        eel_call_free (run->call);
    }
}

/* Frees what node_setup allocated, also after it failed. */
void
node_teardown (struct eel_node *node)
{
  free_table_items (node);
  node_table_finish (&node->requests);
  node_table_finish (&node->orders);
  node_table_finish (&node->sends);
  node_table_finish (&node->runs);
  for (uint32_t i = 0; i < node->service_count; i++)
    {
      eel_routing_finish (&node->services[i]->routing);
      free (node->services[i]);
    }
  for (uint32_t i = 0; i < node->service_name_count; i++)
    free (node->service_names[i]);
  if (node->block_count > 0)
    {
      eel_coordinator_finish (&node->coordinator);
      eel_executor_finish (&node->executor);
      eel_admission_finish (&node->admission);
      eel_quarantine_finish (&node->quarantine);
      eel_membership_finish (&node->membership);
    }
  eel_preset_store_finish (&node->presets);
  for (uint32_t i = 0; i < node->block_count; i++)
    free (node->blocks[i]);
}
