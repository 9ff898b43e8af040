#include <stdlib.h>
#include <string.h>

#include "exsim.h"

const char *const exsim_faults[FAULT_COUNT]
    = { "loss",    "duplicate", "delay", "partition", "pause",
        "restart", "replace",   "crash", "overload",  "drain" };

/* Allocates the next entry in the ring of copies. */
struct call *
exsim_call_new (struct exsim *s, uint64_t order, uint64_t position)
{
  struct call *call = &s->calls[++s->next_call % CALLS];

  *call = (struct call){ .id = s->next_call,
                         .order = order,
                         .position = position };
  return call;
}

/* Gets a key from a random node; it raises the order's limit of attempts. */
static int
add_key (struct exsim *s, struct order *o)
{
  struct node *n = &s->nodes[eel_rng_below (&s->rng, NODES)];
  uint8_t spare = (uint8_t)eel_rng_below (&s->rng, 7);
  char text[EEL_KEY_TEXT_MAX];
  struct eel_key key;

  if (s->now_us < n->paused_until_us
      || eel_decider_issue (&n->coordinator.decider, spare, 20 * SECOND,
                            s->now_us + n->clock_offset_us, &key)
             != EEL_OK)
    return 0;
  o->extra_attempts_max += spare + (o->extra_attempts_max > 0);
  eel_key_encode (&key, text);
  return eel_caller_add_key (&s->caller, text, 20 * SECOND, s->now_us);
}

static void
send_at (struct exsim *s, struct order *o, uint8_t thread, int64_t at_us)
{
  o->current_call[thread] = 0;
  exsim_push (s,
              &(struct event){ .kind = STEP_SEND,
                               .order = o->id,
                               .code = thread,
                               .run = ++o->send_token[thread] },
              at_us);
}

/* Creates an order of one caller, or of two that share its key. */
static void
new_order (struct exsim *s)
{
  struct order *o = &s->orders[++s->next_order % ORDERS];

  exsim_push (s, &(struct event){ .kind = STEP_ORDER },
              s->now_us + eel_rng_below (&s->rng, 200 * MS));
  exsim_count_order (s, o);
  memset (o, 0, sizeof *o);
  o->id = s->next_order;
  o->threads = !s->benign && exsim_chance (s, 25) ? 2 : 1;
  o->deadline_us = s->now_us + SECOND + eel_rng_below (&s->rng, 5 * SECOND);
  s->caller.key_count = 0;
  if (!add_key (s, o)
      || eel_caller_begin (&s->caller, &o->request[0], o->deadline_us,
                           s->now_us)
             != EEL_CALLER_SEND)
    {
      o->id = 0;
      return;
    }
  o->request[1] = o->request[0];
  for (uint8_t i = 0; i < o->threads; i++)
    send_at (s, o, i, s->now_us + eel_rng_below (&s->rng, 50 * MS));
}

/* Sends one copy through a random node, and at times a second one. */
static void
send_copies (struct exsim *s, const struct event *e)
{
  struct order *o = &s->orders[e->order % ORDERS];
  int thread = e->code;

  if (o->id != e->order || o->finished[thread]
      || o->send_token[thread] != e->run)
    return;
  for (int copies = !s->benign && exsim_chance (s, 15) ? 2 : 1; copies > 0;
       copies--)
    {
      struct call *call = exsim_call_new (s, o->id, 0);
      struct event arrival = { .kind = STEP_ARRIVE, .call = call->id };

      call->thread = (uint8_t)thread;
      call->deadline_us = s->now_us + 300 * MS + exsim_random_delay (s, SECOND);
      if (call->deadline_us > o->deadline_us || s->benign)
        call->deadline_us = o->deadline_us;
      call->entry = (uint8_t)eel_rng_below (&s->rng, NODES);
      eel_key_decode (&call->key, o->request[thread].key);
      o->current_call[thread] = call->id;
      arrival.node = call->entry;
      if (s->now_us >= s->fault_until_us[FAULT_LOSS] || !exsim_chance (s, 20))
        exsim_push (s, &arrival, s->now_us + 1 * MS);
      exsim_push (s, &(struct event){ .kind = STEP_TIMEOUT, .call = call->id },
                  s->now_us
                      + (s->benign
                             ? SECOND
                             : 200 * MS + eel_rng_below (&s->rng, 600 * MS)));
    }
}

/* Caller's next step after an answer; NULL is a timeout. */
static void
answered (struct exsim *s, struct call *call, const struct event *answer)
{
  struct order *o = &s->orders[call->order % ORDERS];
  struct eel_caller_request *request = &o->request[call->thread];
  enum eel_outcome outcome
      = answer != NULL ? answer->outcome : EEL_OUTCOME_UNKNOWN;
  enum eel_retry_advice advice
      = answer != NULL ? answer->retry : EEL_RETRY_SAME_KEY;
  enum eel_caller_step step;
  char next[EEL_KEY_TEXT_MAX] = "";
  struct eel_key key;
  int64_t at_us;

  if (call->answered || o->id != call->order || o->finished[call->thread])
    return;
  call->answered = 1;
  eel_key_decode (&key, request->key);
  if (outcome != EEL_OUTCOME_RAN && o->current_call[call->thread] != call->id
      && (outcome != EEL_OUTCOME_NOT_RUN || !eel_key_equal (&key, &call->key)))
    return;
  if (answer != NULL && answer->has_next_key)
    eel_key_encode (&answer->next_key, next);
  s->caller.key_count = 0;
  if (advice == EEL_RETRY_NEW_KEY && next[0] == 0 && o->threads == 1)
    add_key (s, o);
  step = eel_caller_answered (&s->caller, request, outcome, advice, 0, next,
                              s->now_us, &at_us);
  if (step == EEL_CALLER_SEND)
    send_at (s, o, call->thread, at_us);
  else
    {
      o->finished[call->thread] = 1;
      o->answered_unknown
          |= outcome != EEL_OUTCOME_RAN && outcome != EEL_OUTCOME_NOT_RUN;
    }
}

static void
inject_fault (struct exsim *s)
{
  struct eel_rng *rng = &s->fault_rng;
  enum fault kind = eel_rng_below (rng, FAULT_COUNT);
  uint8_t node = (uint8_t)eel_rng_below (rng, NODES);
  int64_t pause_us = exsim_log_uniform (rng, 10 * MS, 40 * SECOND);
  int64_t window_us = exsim_log_uniform (rng, 200 * MS, 4 * SECOND);
  int64_t offset_us = eel_rng_below (rng, 60 * SECOND);
  int64_t next_us = eel_rng_below (rng, 1200 * MS);

  exsim_push (s, &(struct event){ .kind = STEP_FAULT }, s->now_us + next_us);
  if (!(s->fault_mask & 1u << kind))
    return;
  exsim_trace (s, 0, exsim_faults[kind], node, 0, (uint64_t)kind);
  if (kind <= FAULT_PARTITION || kind == FAULT_OVERLOAD)
    s->fault_until_us[kind] = s->now_us + window_us;
  if (kind == FAULT_PARTITION)
    {
      s->partition_domains[0] = DOMAIN (node);
      s->partition_domains[1] = (uint8_t)((s->partition_domains[0] + 1) % 3);
    }
  else if (kind == FAULT_PAUSE
           && s->nodes[node].paused_until_us < s->now_us + pause_us)
    s->nodes[node].paused_until_us = s->now_us + pause_us;
  else if (kind == FAULT_CRASH)
    exsim_node_crash_upstream (s, node);
  else if (kind == FAULT_DRAIN && s->now_us >= s->nodes[node].paused_until_us)
    exsim_node_drain (s, node);
  if (kind == FAULT_REPLACE)
    s->nodes[node].clock_offset_us = offset_us;
  if (kind == FAULT_RESTART || kind == FAULT_REPLACE)
    exsim_node_boot (s, node);
}

/* Handles events of callers and faults. */
void
exsim_world_handle (struct exsim *s, const struct event *event)
{
  struct call *call = &s->calls[event->call % CALLS];

  if (event->kind == STEP_ORDER)
    new_order (s);
  else if (event->kind == STEP_SEND)
    send_copies (s, event);
  else if (event->kind == STEP_FAULT)
    inject_fault (s);
  else if (call->id == event->call)
    answered (s, call, event->kind == MSG_ANSWER ? event : NULL);
}

/* Counts the runs of an order for the table of outcomes. */
void
exsim_count_order (struct exsim *s, const struct order *o)
{
  if (o->id == 0)
    return;
  s->orders_finished++;
  s->orders_ran[o->runs[0] > 2 ? 2 : o->runs[0]]++;
  s->orders_unknown += o->answered_unknown;
}

/* Runs in virtual time; the same options give the same events. */
struct exsim *
exsim_run (const struct exsim_options *options)
{
  struct exsim *s = calloc (1, sizeof *s);
  struct event e;

  if (s == NULL)
    abort ();
  eel_rng_init (&s->rng, options->seed);
  eel_rng_init (&s->fault_rng, ~options->seed);
  s->fault_mask = options->fault_mask;
  s->blind = options->blind;
  s->benign = options->benign;
  s->trace = options->trace;
  s->trace_order = options->trace_order;
  eel_caller_init (&s->caller, 8, 20 * MS, 200 * MS, options->seed);
  for (uint8_t i = 0; i < NODES; i++)
    {
      s->nodes[i].clock_offset_us = eel_rng_below (&s->rng, 60 * SECOND);
      exsim_node_boot (s, i);
    }
  exsim_push (s, &(struct event){ .kind = STEP_ORDER }, SECOND);
  exsim_push (s, &(struct event){ .kind = STEP_FAULT }, 2 * SECOND);
  while (s->steps < options->steps && s->violation == NULL && exsim_pop (s, &e))
    {
      struct node *n = &s->nodes[e.node];
      int at_node = e.kind <= STEP_ARRIVE;

      s->now_us = e.at_us;
      if (at_node && e.incarnation != 0 && e.incarnation != n->incarnation)
        continue;
      if (at_node && s->now_us < n->paused_until_us)
        {
          n->resumed_us = n->paused_until_us;
          exsim_push (s, &e, n->paused_until_us);
          continue;
        }
      s->steps++;
      if (at_node)
        exsim_node_handle (s, &e);
      else
        exsim_world_handle (s, &e);
    }
  for (uint32_t i = 0; i < ORDERS; i++)
    exsim_count_order (s, &s->orders[i]);
  return s;
}

void
exsim_free (struct exsim *s)
{
  for (uint8_t i = 0; i < NODES; i++)
    eel_coordinator_finish (&s->nodes[i].coordinator);
  free (s->heap);
  free (s);
}
