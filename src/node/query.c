#include "node.h"

#include <glib.h>
#include <string.h>

static const char *const upstream_names[]
    = { [EEL_UPSTREAM_DOWN] = "down",
        [EEL_UPSTREAM_UP] = "up",
        [EEL_UPSTREAM_DRAINING] = "draining" };

static const char *const member_names[]
    = { [EEL_MEMBER_UNCONFIRMED] = "unconfirmed",
        [EEL_MEMBER_ALIVE] = "alive",
        [EEL_MEMBER_SUSPECT] = "suspect",
        [EEL_MEMBER_LEAVING] = "leaving",
        [EEL_MEMBER_DEAD] = "dead" };

/* Appends a JSON string; control characters become spaces. */
static void
put_string (GString *out, const char *text)
{
  g_string_append_c (out, '"');
  for (; *text != '\0'; text++)
    {
      if (*text == '"' || *text == '\\')
        g_string_append_c (out, '\\');
      g_string_append_c (out, (unsigned char)*text < 0x20 ? ' ' : *text);
    }
  g_string_append_c (out, '"');
}

static void
put_text (GString *out, const char *name, const char *text)
{
  g_string_append_printf (
      out, "%s\"%s\":", out->str[out->len - 1] == '{' ? "" : ",", name);
  put_string (out, text);
}

static void
put_number (GString *out, const char *name, uint64_t value)
{
  g_string_append_printf (out, "%s\"%s\":%" G_GUINT64_FORMAT,
                          out->str[out->len - 1] == '{' ? "" : ",", name,
                          (guint64)value);
}

static void
put_bool (GString *out, const char *name, int value)
{
  g_string_append_printf (out, "%s\"%s\":%s",
                          out->str[out->len - 1] == '{' ? "" : ",", name,
                          value ? "true" : "false");
}

static int
has_seeds (const struct eel_node *node)
{
  for (uint32_t i = 0; i < node->settings.seed_count; i++)
    if (node->settings.seeds[i].node != node->settings.node)
      return 1;
  return 0;
}

/*
 * Returns 1 when this node may accept calls: it holds the greatest document
 * known from its seeds and the platform, or NODE_JOIN_TIMEOUT_US has passed
 * since its start.
 */
int
node_is_joined (const struct eel_node *node)
{
  const struct eel_revision *current = &node->presets.current->revision;

  if (node->now_us - node->started_us >= NODE_JOIN_TIMEOUT_US)
    return 1;
  if (has_seeds (node) && !node->gossip_received)
    return 0;
  if (eel_revision_compare (&node->revision_seen, current) > 0)
    return 0;
  return current->number > 0 || !node->settings.has_platform
         || node->platform_answered;
}

/* Returns 1 when the node accepts calls for its upstream. */
int
node_is_ready (const struct eel_node *node)
{
  return node_is_joined (node) && !node->draining
         && node->upstream_state == EEL_UPSTREAM_UP;
}

static void
put_identity (const struct eel_node *node, GString *out)
{
  char text[32];

  put_number (out, "node", node->settings.node);
  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x",
              (guint64)node->incarnation);
  put_text (out, "incarnation", text);
  put_text (out, "domain", node->settings.domain);
  put_text (out, "service", node->settings.service);
  put_text (out, "preset", eel_document_preset (node->presets.current)->name);
  eel_revision_text (&node->presets.current->revision, text);
  put_text (out, "revision", text);
}

static void
put_counters (const struct eel_node *node, GString *out)
{
  const struct eel_decider *decider = &node->coordinator.decider;

  g_string_append (out, ",\"counters\":{");
  put_number (out, "requests", node->requests.used);
  put_number (out, "requests_refused", node->requests.refused);
  put_number (out, "orders", node->orders.used);
  put_number (out, "orders_refused", node->orders.refused);
  put_number (out, "sends", node->sends.used);
  put_number (out, "sends_refused", node->sends.refused);
  put_number (out, "runs", node->runs.used);
  put_number (out, "runs_refused", node->runs.refused);
  put_number (out, "inbox_refused", node->inbox.refused);
  put_number (out, "services", node->service_count);
  put_number (out, "services_refused", node->services_refused);
  put_number (out, "peers_replaced", node->peers_replaced);
  put_number (out, "vms_ignored", node->vms_ignored);
  put_number (out, "members_ignored", node->membership.ignored_full);
  put_number (out, "keys_issued", decider->issued);
  put_number (out, "keys_refused", decider->issue_refused);
  put_number (out, "answers_evicted", decider->answers_evicted);
  put_number (out, "executor_refused", node->executor.refused_full);
  put_number (out, "quarantine", node->quarantine.count);
  put_number (out, "documents_refused", node->presets.refused);
  g_string_append_c (out, '}');
}

static uint16_t
query_status (const struct eel_node *node, GString *out)
{
  struct eel_load load;

  node_current_load (node, &load);
  put_identity (node, out);
  put_text (out, "upstream", upstream_names[node->upstream_state]);
  put_bool (out, "draining", node->draining || node->upstream_leaving);
  put_bool (out, "reader", node->reader);
  put_bool (out, "platform", node->platform_up);
  put_bool (out, "defaults", node->presets.current->revision.number == 0);
  put_number (out, "members", node->membership.count);
  put_number (out, "in_flight", load.in_flight);
  put_number (out, "queued", load.queued);
  put_number (out, "limit", load.limit);
  put_counters (node, out);
  return 200;
}

/* Writes the name if it is known, else the number of the member record. */
static void
put_service (const struct eel_node *node, GString *out, uint16_t number)
{
  const char *name = node_service_name (node, number);

  if (name != NULL)
    put_text (out, "service", name);
  else
    put_number (out, "service", number);
}

static uint16_t
query_members (const struct eel_node *node, GString *out)
{
  g_string_append (out, "\"members\":[");
  for (uint32_t i = 0; i < node->membership.count; i++)
    {
      const struct eel_member *member = &node->membership.members[i];

      g_string_append (out, i > 0 ? ",{" : "{");
      put_number (out, "node", member->node);
      put_text (out, "address", member->address);
      put_number (out, "domain", member->domain);
      put_service (node, out, member->service);
      if (member->state <= EEL_MEMBER_DEAD)
        put_text (out, "state", member_names[member->state]);
      g_string_append_c (out, '}');
    }
  g_string_append_c (out, ']');
  return 200;
}

static uint16_t
query_preset (const struct eel_node *node, GString *out)
{
  const struct eel_preset *preset = eel_document_preset (node->presets.current);
  char text[32];

  put_text (out, "preset", preset->name);
  eel_revision_text (&node->presets.current->revision, text);
  put_text (out, "revision", text);
  put_number (out, "spare_attempts_max", preset->spare_attempts_max);
  put_number (out, "deadline_default_ms",
              (uint64_t)preset->deadline_default_ms);
  put_number (out, "deadline_max_ms", (uint64_t)preset->deadline_max_ms);
  put_number (out, "key_life_ms", (uint64_t)preset->key_life_ms);
  put_number (out, "queue_max", preset->queue_max);
  put_number (out, "queue_target_ms", (uint64_t)preset->queue_target_ms);
  put_number (out, "long_factor", preset->long_factor);
  put_number (out, "long_share_max_percent", preset->long_share_max_percent);
  put_number (out, "caller_share_percent", preset->caller_share_percent);
  put_number (out, "retry_budget_permille", preset->retry_budget_permille);
  put_number (out, "hedge_share_permille", preset->hedge_share_permille);
  put_number (out, "ejected_max_percent", preset->ejected_max_percent);
  put_number (out, "straggler_factor", preset->straggler_factor);
  put_number (out, "ramp_ms", (uint64_t)preset->ramp_ms);
  put_number (out, "spill_percent", preset->spill_percent);
  put_number (out, "refuse_from_class", preset->refuse_from_class);
  return 200;
}

static uint16_t
query_health (const struct eel_node *node, GString *out)
{
  int behind = eel_revision_compare (&node->revision_seen,
                                     &node->presets.current->revision)
               > 0;
  int faulty = node->document_refused || node->document_conflict;
  int converged = !faulty && !behind;

  put_bool (out, "converged", converged);
  put_text (out, "reason",
            faulty   ? node->document_reason
            : behind ? "a peer holds a greater document"
                     : "");
  return converged ? 200 : 503;
}

static uint16_t
query_ready (const struct eel_node *node, GString *out)
{
  int ready = node_is_ready (node);

  put_bool (out, "ready", ready);
  put_bool (out, "joined", node_is_joined (node));
  put_text (out, "upstream", upstream_names[node->upstream_state]);
  put_bool (out, "draining", node->draining);
  return ready ? 200 : 503;
}

struct query
{
  const char *name;
  uint16_t (*write) (const struct eel_node *node, GString *out);
};

static const struct query queries[] = {
  { "status", query_status }, { "members", query_members },
  { "preset", query_preset }, { "health", query_health },
  { "ready", query_ready },
};

static struct eel_answer *
answer_query (const struct eel_node *node,
              const struct query *query,
              uint64_t call_id)
{
  struct eel_answer *answer = eel_answer_new (call_id);
  GString *out;

  if (answer == NULL)
    return NULL;
  out = g_string_new ("{");
  answer->status = query->write (node, out);
  answer->revision = node->presets.current->revision.number;
  g_string_append (out, "}\n");
  eel_headers_add (&answer->headers, "Content-Type", "application/json");
  if (eel_body_set (&answer->body, out->str, out->len) != EEL_OK)
    answer->status = 500;
  g_string_free (out, TRUE);
  return answer;
}

/* Answers a query from the admin listener with JSON. */
void
node_query (struct eel_node *node, const struct eel_msg *msg)
{
  struct eel_answer *answer = NULL;

  for (size_t i = 0; i < sizeof queries / sizeof queries[0]; i++)
    if (strcmp (msg->text, queries[i].name) == 0)
      answer = answer_query (node, &queries[i], msg->call_id);
  if (answer == NULL)
    answer = eel_answer_error (msg->call_id, EEL_ERROR_NOT_FOUND);
  node_post_answer (
      node, msg->reply_to != NULL ? msg->reply_to : node->out.admin, answer);
}
