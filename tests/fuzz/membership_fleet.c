#include "membership_fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/hash.h"

/* Adds an event to the trace digest, and prints it with --trace. */
void
fleet_trace_event (struct fleet *fleet,
                   const char *event,
                   uint64_t a,
                   uint64_t b)
{
  uint64_t parts[3] = { (uint64_t)fleet->now_us, a, b };

  fleet->digest = eel_hash64 (parts, sizeof parts, fleet->digest);
  fleet->digest = eel_hash64 (event, strlen (event), fleet->digest);
  if (fleet->trace)
    printf ("%10" PRId64 " ms %s %" PRIu64 " %" PRIu64 "\n",
            fleet->now_us / 1000, event, a, b);
}

int
revision_order (const struct eel_revision *a, const struct eel_revision *b)
{
  if (a->number != b->number)
    return a->number < b->number ? -1 : 1;
  return memcmp (a->hash, b->hash, sizeof a->hash);
}

static void
send_envelope (struct fleet *fleet, const struct envelope *envelope)
{
  uint32_t copies
      = 1 + (eel_rng_below (&fleet->rng, 100) < fleet->duplicate_percent);

  fleet->messages++;
  if (envelope->to >= NODES || fleet->cut[envelope->from][envelope->to]
      || eel_rng_below (&fleet->rng, 100) < fleet->loss_percent)
    return;
  while (copies-- > 0)
    {
      struct envelope *copy;

      if (fleet->envelope_count == fleet->envelope_capacity)
        {
          fleet->envelope_capacity = 2 * fleet->envelope_capacity + 64;
          fleet->envelopes
              = realloc (fleet->envelopes,
                         fleet->envelope_capacity * sizeof *fleet->envelopes);
          if (fleet->envelopes == NULL)
            abort ();
        }
      copy = &fleet->envelopes[fleet->envelope_count++];
      *copy = *envelope;
      copy->order = fleet->order++;
      copy->due_us
          = fleet->now_us + 500
            + eel_rng_below (&fleet->rng, (uint32_t)fleet->delay_max_us);
      if (envelope->packed != NULL)
        {
          copy->packed = malloc (envelope->packed_bytes);
          if (copy->packed == NULL)
            abort ();
          memcpy (copy->packed, envelope->packed, envelope->packed_bytes);
        }
    }
}

static void
send_revision (struct fleet *fleet,
               uint32_t from,
               uint32_t to,
               enum envelope_kind kind)
{
  struct envelope envelope = { .from = from, .to = to, .kind = kind };

  envelope.revision = fleet->nodes[from].store.current->revision;
  send_envelope (fleet, &envelope);
}

static void
send_gossip (struct fleet *fleet,
             uint32_t from,
             const struct eel_gossip *out,
             size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct envelope envelope = { .from = from,
                                   .to = out[i].to - 1,
                                   .kind = ENVELOPE_GOSSIP,
                                   .gossip = out[i] };

      envelope.revision = fleet->nodes[from].store.current->revision;
      send_envelope (fleet, &envelope);
    }
}

/* Offers bytes as the node does; sends an adopted revision to 4 peers. */
void
fleet_offer (struct fleet *fleet,
             uint32_t index,
             const uint8_t *bytes,
             size_t count)
{
  struct fleet_node *node = &fleet->nodes[index];
  struct eel_document_error error;
  uint32_t peers[EEL_PROBE_SET_MAX];
  size_t peer_count;
  enum eel_store_result result
      = eel_preset_store_offer (&node->store, bytes, count, &error);

  if (revision_order (&node->store.current->revision, &node->highest) < 0)
    fleet->failure = "a node's revision has decreased";
  if (result != EEL_STORE_ACCEPTED && result != EEL_STORE_CONFLICT_ACCEPTED)
    return;
  node->highest = node->store.current->revision;
  fleet_trace_event (fleet, "adopt", index, node->highest.number);
  peer_count
      = eel_membership_probe_set (&node->membership, peers, EEL_PROBE_SET_MAX);
  for (int i = 0; i < 4 && peer_count > 0; i++)
    send_revision (fleet, index,
                   peers[eel_rng_below (&fleet->rng, (uint32_t)peer_count)] - 1,
                   ENVELOPE_REVISION);
}

static void
request_newer (struct fleet *fleet, const struct envelope *envelope)
{
  struct fleet_node *node = &fleet->nodes[envelope->to];

  if (revision_order (&envelope->revision, &node->store.current->revision) <= 0
      || fleet->now_us - node->requested_us < 200 * EEL_US_PER_MS)
    return;
  node->requested_us = fleet->now_us;
  send_revision (fleet, envelope->to, envelope->from, ENVELOPE_REQUEST);
}

static struct eel_document *
find_base (struct fleet_node *node, const struct eel_revision *revision)
{
  if (revision_order (&node->store.current->revision, revision) == 0)
    return node->store.current;
  if (node->store.previous != NULL
      && revision_order (&node->store.previous->revision, revision) == 0)
    return node->store.previous;
  return NULL;
}

static void
send_document (struct fleet *fleet, const struct envelope *request)
{
  struct fleet_node *node = &fleet->nodes[request->to];
  struct eel_document *base = find_base (node, &request->revision);
  struct envelope envelope
      = { .from = request->to, .to = request->from, .kind = ENVELOPE_DOCUMENT };

  envelope.revision = node->store.current->revision;
  if (base != NULL)
    envelope.base = base->revision;
  if (eel_document_pack (node->store.current, base, &envelope.packed,
                         &envelope.packed_bytes)
      != EEL_OK)
    return;
  send_envelope (fleet, &envelope);
  free (envelope.packed);
}

static void
receive_document (struct fleet *fleet, const struct envelope *envelope)
{
  struct eel_document *base
      = find_base (&fleet->nodes[envelope->to], &envelope->base);
  uint8_t *bytes;
  size_t count;

  if (eel_document_unpack (envelope->packed, envelope->packed_bytes, base,
                           &bytes, &count)
      == EEL_OK)
    fleet_offer (fleet, envelope->to, bytes, count);
  free (bytes);
}

static void
deliver (struct fleet *fleet, const struct envelope *envelope)
{
  struct fleet_node *node = &fleet->nodes[envelope->to];
  struct eel_gossip out[EEL_MEMBERSHIP_OUT_MAX];

  if (!node->up)
    return;
  if (envelope->kind == ENVELOPE_REQUEST)
    send_document (fleet, envelope);
  else if (envelope->kind == ENVELOPE_DOCUMENT)
    receive_document (fleet, envelope);
  else
    request_newer (fleet, envelope);
  if (envelope->kind == ENVELOPE_GOSSIP)
    send_gossip (fleet, envelope->to, out,
                 eel_membership_receive (&node->membership, &envelope->gossip,
                                         fleet->now_us, out,
                                         EEL_MEMBERSHIP_OUT_MAX));
}

/* Delivers due envelopes in order, those to a paused node after its pause. */
static void
deliver_due (struct fleet *fleet, int64_t until_us)
{
  for (;;)
    {
      struct envelope *first = NULL;
      struct envelope envelope;

      for (size_t i = 0; i < fleet->envelope_count; i++)
        {
          struct envelope *candidate = &fleet->envelopes[i];

          if (candidate->due_us < fleet->nodes[candidate->to].resume_us)
            candidate->due_us = fleet->nodes[candidate->to].resume_us + 1;
          if (candidate->due_us <= until_us
              && (first == NULL || candidate->due_us < first->due_us
                  || (candidate->due_us == first->due_us
                      && candidate->order < first->order)))
            first = candidate;
        }
      if (first == NULL)
        return;
      envelope = *first;
      *first = fleet->envelopes[--fleet->envelope_count];
      if (envelope.due_us > fleet->now_us)
        fleet->now_us = envelope.due_us;
      deliver (fleet, &envelope);
      free (envelope.packed);
    }
}

static void
changed (void *data,
         const struct eel_member *member,
         uint8_t before,
         const char *source)
{
  struct fleet *fleet = data;
  const struct fleet_node *watched
      = fleet->watched < 0 ? NULL : &fleet->nodes[fleet->watched];

  fleet_trace_event (fleet, source, member->node - 1,
                     (uint64_t)before << 8 | member->state);
  if (watched != NULL && member >= watched->members
      && member < watched->members + NODES && strcmp (source, "probe") == 0
      && member->state != EEL_MEMBER_ALIVE && fleet->nodes[member->node - 1].up)
    fleet->failure = "a node accused a live one right after its own pause";
}

/* Starts a process with empty memory and a new incarnation. */
void
fleet_start (struct fleet *fleet, uint32_t index)
{
  struct fleet_node *node = &fleet->nodes[index];
  struct eel_membership_config config;

  memset (node, 0, sizeof *node);
  eel_membership_config_defaults (&config);
  config.self = index + 1;
  config.incarnation = ++fleet->incarnations * 7919;
  config.domain = (uint16_t)(index % DOMAINS);
  config.dead_retry_us = 3 * EEL_US_PER_S;
  node->up = 1;
  eel_membership_init (&node->membership, &config, node->members, NODES + 8,
                       eel_rng_next (&fleet->rng), fleet->now_us);
  eel_membership_on_change (&node->membership, changed, fleet);
  eel_preset_store_init (&node->store);
  eel_read_schedule_init (&node->schedule, fleet->now_us, &fleet->rng);
  for (uint32_t seed = 0; seed < 4; seed++)
    {
      struct eel_member_update entry
          = { .node = seed + 1, .domain = (uint16_t)(seed % DOMAINS) };

      eel_membership_merge_listed (&node->membership, &entry, fleet->now_us);
    }
  fleet_trace_event (fleet, "start", index, 0);
}

/* Ends a process without a leave message. */
void
fleet_kill (struct fleet *fleet, uint32_t index)
{
  fleet->nodes[index].up = 0;
  eel_preset_store_finish (&fleet->nodes[index].store);
  fleet_trace_event (fleet, "kill", index, 0);
}

/* Cuts off a domain, a node or a random half, or a half in one direction. */
void
fleet_cut (struct fleet *fleet)
{
  uint32_t shape = eel_rng_below (&fleet->rng, 4);
  uint32_t chosen = eel_rng_below (&fleet->rng, NODES);
  uint32_t mask = (uint32_t)eel_rng_next (&fleet->rng);

  for (uint32_t a = 0; a < NODES; a++)
    for (uint32_t b = 0; b < NODES; b++)
      {
        int in_a = shape == 0   ? a % DOMAINS == chosen % DOMAINS
                   : shape == 1 ? a == chosen
                                : (mask >> a) & 1;
        int in_b = shape == 0   ? b % DOMAINS == chosen % DOMAINS
                   : shape == 1 ? b == chosen
                                : (mask >> b) & 1;

        fleet->cut[a][b] = shape == 3 ? in_a && !in_b : in_a != in_b;
      }
  fleet_trace_event (fleet, "cut", shape, chosen);
}

/* Adds a document to the platform's history. */
void
fleet_publish (struct fleet *fleet, int same_revision, int valid)
{
  struct document_text *text;

  if (fleet->published == HISTORY_MAX)
    return;
  text = &fleet->history[fleet->published++];
  fleet->revision += !same_revision || fleet->revision == 0;
  text->bytes = (size_t)snprintf (
      text->text, sizeof text->text,
      "format = 1\nrevision = %" PRIu64
      "\nin_force = \"a\"\n[preset.a]\nqueue_max = %u\n",
      fleet->revision, valid ? 1 + eel_rng_below (&fleet->rng, 60000) : 70000);
  fleet_trace_event (fleet, "publish", fleet->revision, (uint64_t)valid);
}

void
fleet_step (struct fleet *fleet)
{
  int64_t end_us = (fleet->now_us / STEP_US + 1) * STEP_US;
  struct eel_gossip out[EEL_MEMBERSHIP_OUT_MAX];

  deliver_due (fleet, end_us);
  fleet->now_us = end_us;
  for (uint32_t i = 0; i < NODES; i++)
    {
      struct fleet_node *node = &fleet->nodes[i];

      if (!node->up || node->resume_us > fleet->now_us)
        continue;
      send_gossip (fleet, i, out,
                   eel_membership_tick (&node->membership, fleet->now_us, out,
                                        EEL_MEMBERSHIP_OUT_MAX));
      fleet_platform_step (fleet, i);
    }
}

/* Starts all nodes on a network without faults. */
void
fleet_init (struct fleet *fleet, uint64_t seed, int trace)
{
  memset (fleet, 0, sizeof *fleet);
  eel_rng_init (&fleet->rng, seed);
  fleet->trace = trace;
  fleet->watched = -1;
  fleet->now_us = EEL_US_PER_S;
  fleet->delay_max_us = 5000;
  for (uint32_t i = 0; i < NODES; i++)
    fleet_start (fleet, i);
}

void
fleet_finish (struct fleet *fleet)
{
  for (uint32_t i = 0; i < NODES; i++)
    if (fleet->nodes[i].up)
      eel_preset_store_finish (&fleet->nodes[i].store);
  for (size_t i = 0; i < fleet->envelope_count; i++)
    free (fleet->envelopes[i].packed);
  free (fleet->envelopes);
}
