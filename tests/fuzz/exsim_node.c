#include <stdlib.h>
#include <string.h>

#include "exsim.h"

/* Starts a node with empty tables and a new incarnation. */
void
exsim_node_boot (struct exsim *s, uint8_t node)
{
  struct node *n = &s->nodes[node];
  struct eel_decider decider;
  struct eel_decider_storage storage
      = { n->records, ROOTS,      CHILDREN, n->buckets,
          1024,       n->answers, ANSWERS,  1024 };

  if (n->incarnation != 0)
    eel_coordinator_finish (&n->coordinator);
  n->incarnation = ++s->next_incarnation;
  n->paused_until_us = 0;
  n->resumed_us = s->now_us;
  memset (n->view, 0, sizeof n->view);
  n->view[node].incarnation = n->incarnation;
  eel_decider_init (&decider, node, n->incarnation, exsim_secret, &storage);
  eel_coordinator_init (&n->coordinator, &decider, n->pending, 64, n->waiters,
                        128, SEAL_ANSWER_TIMEOUT_US);
  n->coordinator.key_life_us = 20 * SECOND;
  eel_executor_init (&n->executor, n->incarnation, n->executions,
                     s->benign ? EXECUTIONS_MAX : EXECUTIONS,
                     n->execution_buckets, 128);
  n->executor.retention_us = 2 * SECOND;
  exsim_push (s,
              &(struct event){ .kind = STEP_TICK,
                               .node = node,
                               .incarnation = n->incarnation },
              s->now_us + TICK_INTERVAL_US);
}

/* Schedules a local step that a restart of the node cancels. */
void
exsim_schedule (struct exsim *s,
                struct event *event,
                uint8_t node,
                int64_t delay_us)
{
  event->node = node;
  event->incarnation = s->nodes[node].incarnation;
  exsim_push (s, event, s->now_us + delay_us);
}

int64_t
exsim_random_delay (struct exsim *s, int64_t max_us)
{
  return eel_rng_below (&s->rng, (uint32_t)max_us);
}

/* Converts a deadline to a peer's clock, estimated from its last message. */
static int64_t
valid_until (struct exsim *s, uint8_t node, uint8_t peer, int64_t deadline_us)
{
  const struct node *n = &s->nodes[node];

  if (node == peer)
    return deadline_us;
  return n->view[peer].clock_us + deadline_us - n->view[peer].at_us;
}

static void
perform_actions (struct exsim *s,
                 uint8_t node,
                 const struct eel_action *actions,
                 size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      const struct eel_action *a = &actions[i];
      struct event e = { .key = a->key,
                         .attempt = a->attempt,
                         .spare = a->spare,
                         .call = a->call_id,
                         .valid_until_us = a->deadline_us,
                         .error = a->error,
                         .outcome = a->outcome,
                         .retry = a->retry,
                         .next_key = a->next_key,
                         .has_next_key = a->has_next_key,
                         .has_answer = a->answer != NULL,
                         .answer_bytes = (uint8_t)a->answer_bytes };
      struct call *call = &s->calls[a->call_id % CALLS];

      if (a->answer != NULL)
        memcpy (e.answer, a->answer, a->answer_bytes);
      if (a->kind == EEL_ACTION_EXECUTE)
        {
          e.kind = STEP_DISPATCH;
          exsim_schedule (
              s, &e, node,
              exsim_random_delay (
                  s, !s->benign && exsim_chance (s, 5) ? 2 * SECOND : 5 * MS));
        }
      else if (a->kind == EEL_ACTION_SEAL)
        {
          e.kind = MSG_SEAL;
          e.valid_until_us = a->valid_until_us;
          exsim_send (s, &e, node, (uint8_t)a->executor);
        }
      else if (call->id == a->call_id)
        {
          e.kind = MSG_ANSWER;
          if (call->entry == node)
            exsim_answered (s, call, &e);
          else
            exsim_send (s, &e, node, call->entry);
        }
    }
}

/* Baseline: sends the copy to any executor; no record is kept. */
static void
arrive_blind (struct exsim *s, uint8_t node, const struct call *call)
{
  struct event e = { .kind = MSG_EXECUTE, .call = call->id, .key = call->key };

  exsim_send (s, &e, node, (uint8_t)eel_rng_below (&s->rng, NODES));
}

/* Passes a copy to the decider; drops duplicates of the message. */
static void
arrive (struct exsim *s, uint8_t node, struct call *call)
{
  struct eel_coordinator *c = &s->nodes[node].coordinator;
  int64_t offset_us = s->nodes[node].clock_offset_us;
  struct eel_arrival arrival
      = { .key = call->key,
          .fingerprint = call->order * 64 + call->position,
          .call_id = call->id,
          .deadline_us = call->deadline_us + offset_us,
          .spare = call->lent };
  struct eel_action actions[EEL_ACTIONS_MAX];
  size_t n;

  if (call->arrived)
    return;
  call->arrived = 1;
  exsim_trace (s, call->order, "copy arrives", node, call->position, call->id);
  if (s->blind)
    {
      arrive_blind (s, node, call);
      return;
    }
  n = eel_coordinator_arrived (c, &arrival, exsim_clock (s, node), actions);
  if (n == 1 && actions[0].kind == EEL_ACTION_EXECUTE)
    s->nodes[node].payload[eel_decider_find (&c->decider, &call->key)
                           - c->decider.records]
        = call->id;
  perform_actions (s, node, actions, n);
}

/* Sends a copy to the issuer of its key; handles it here when cut off. */
void
exsim_route_copy (struct exsim *s, uint8_t node, struct call *call)
{
  struct event e = { .kind = MSG_DECIDE, .call = call->id };

  call->decider = s->blind ? node : (uint8_t)call->key.issuer;
  if (call->decider == node || exsim_is_partitioned (s, node, call->decider))
    arrive (s, node, call);
  else
    exsim_send (s, &e, node, call->decider);
}

static void
dispatch (struct exsim *s, struct event *e)
{
  uint8_t node = e->node, to = (uint8_t)eel_rng_below (&s->rng, NODES);
  struct node *n = &s->nodes[node];
  struct eel_action actions[EEL_ACTIONS_MAX];
  struct eel_decider_record *record;

  if (exsim_chance (s, 70))
    to = (uint8_t)(DOMAIN (node) * 2 + to % 2);
  if (n->view[to].incarnation == 0 || (!s->benign && exsim_chance (s, 2)))
    {
      perform_actions (
          s, node, actions,
          eel_coordinator_not_dispatched (&n->coordinator, &e->key, e->attempt,
                                          EEL_ERROR_NO_ENDPOINT,
                                          exsim_clock (s, node), actions));
      return;
    }
  if (eel_coordinator_dispatched (&n->coordinator, &e->key, e->attempt, to,
                                  n->view[to].incarnation,
                                  exsim_clock (s, node))
      != EEL_OK)
    return;
  record = eel_decider_find (&n->coordinator.decider, &e->key);
  e->kind = MSG_EXECUTE;
  e->call = n->payload[record - n->records];
  e->run = n->view[to].incarnation;
  e->valid_until_us = valid_until (s, node, to, e->valid_until_us);
  eel_coordinator_set_valid_until (&n->coordinator, &e->key, e->attempt,
                                   e->valid_until_us);
  exsim_trace (s, s->calls[e->call % CALLS].order, "dispatched to", node,
               s->calls[e->call % CALLS].position, to);
  exsim_send (s, e, node, to);
}

void
exsim_node_drain (struct exsim *s, uint8_t node)
{
  struct eel_action actions[EEL_ACTIONS_MAX];
  struct event e = { .kind = STEP_RESTART };
  size_t n;

  do
    {
      n = eel_coordinator_drain (&s->nodes[node].coordinator,
                                 exsim_clock (s, node), actions);
      perform_actions (s, node, actions, n);
    }
  while (n == EEL_ACTIONS_MAX);
  exsim_schedule (s, &e, node, 2 * SECOND);
}

/* Limits an open order to its deadline, two seal timeouts and two ticks. */
static void
check_deadlines (struct exsim *s, uint8_t node)
{
  const struct node *n = &s->nodes[node];

  for (uint32_t i = 0; i < n->coordinator.pending_count; i++)
    {
      const struct eel_pending *p = &n->coordinator.pending[i];
      int64_t from_us = p->deadline_us - n->clock_offset_us;

      if (from_us < n->resumed_us)
        from_us = n->resumed_us;
      if (s->now_us
          > from_us + 2 * SEAL_ANSWER_TIMEOUT_US + 2 * TICK_INTERVAL_US)
        exsim_fail (s, s->calls[n->payload[p->record] % CALLS].order,
                    "a caller waits past its deadline");
    }
}

static void
tick (struct exsim *s, struct event *e)
{
  uint8_t node = e->node, peer = (uint8_t)eel_rng_below (&s->rng, NODES);
  struct node *n = &s->nodes[node];
  int64_t now_us = exsim_clock (s, node);
  struct eel_action actions[EEL_ACTIONS_MAX];
  size_t count;

  do
    {
      count = eel_coordinator_tick (&n->coordinator, now_us, actions);
      perform_actions (s, node, actions, count);
    }
  while (count == EEL_ACTIONS_MAX);
  check_deadlines (s, node);
  eel_decider_expire (&n->coordinator.decider, now_us, 256);
  eel_executor_expire (&n->executor, now_us, 64);
  exsim_schedule (s, e, node, TICK_INTERVAL_US);
  if (peer != node)
    exsim_send (s, &(struct event){ .kind = MSG_GOSSIP }, node, peer);
}

/*
 * Updates incarnation and clock of the sender.  Only gossip reports a restart
 * to the coordinator, so that it can get messages of the new incarnation first.
 */
static void
update_view (struct exsim *s, const struct event *e)
{
  struct node *n = &s->nodes[e->node];
  struct view *view = &n->view[e->from];
  struct eel_action actions[EEL_ACTIONS_MAX];

  if (e->from_incarnation > view->incarnation
      || (e->from_incarnation == view->incarnation
          && e->sent_clock_us > view->clock_us))
    {
      view->incarnation = e->from_incarnation;
      view->clock_us = e->sent_clock_us;
      view->at_us = exsim_clock (s, e->node);
    }
  if (e->kind != MSG_GOSSIP
      || e->from_incarnation <= view->reported_incarnation)
    return;
  view->reported_incarnation = e->from_incarnation;
  perform_actions (s, e->node, actions,
                   eel_coordinator_executor_restarted (
                       &n->coordinator, e->from, e->from_incarnation,
                       exsim_clock (s, e->node), actions));
}

/* Passes a reply, or the answer to a seal, to the decider. */
static void
handle_reply (struct exsim *s, const struct event *e)
{
  struct eel_coordinator *c = &s->nodes[e->node].coordinator;
  int64_t now_us = exsim_clock (s, e->node);
  struct eel_action actions[EEL_ACTIONS_MAX];
  size_t n;

  if (e->kind == MSG_SEALED)
    n = eel_coordinator_sealed (
        c, &e->key, e->attempt, e->from, e->from_incarnation,
        (enum eel_executor_state)e->code, now_us, actions);
  else
    n = eel_coordinator_replied (
        c, &e->key, e->attempt, e->from, e->from_incarnation,
        (enum eel_attempt_result)e->code, e->error, e->spare,
        e->has_answer ? e->answer : NULL, e->answer_bytes, now_us, actions);
  perform_actions (s, e->node, actions, n);
}

/* Baseline: the reply goes directly to the entry node of the copy. */
static void
handle_reply_blind (struct exsim *s, const struct event *e)
{
  struct call *call = &s->calls[e->call % CALLS];
  struct event answer = *e;

  answer.outcome = e->code == EEL_ATTEMPT_RAN       ? EEL_OUTCOME_RAN
                   : e->code == EEL_ATTEMPT_REFUSED ? EEL_OUTCOME_REFUSED
                                                    : EEL_OUTCOME_UNKNOWN;
  answer.retry
      = e->code == EEL_ATTEMPT_RAN ? EEL_RETRY_NONE : EEL_RETRY_SAME_KEY;
  if (call->id == e->call && call->entry == e->node)
    exsim_answered (s, call, &answer);
}

static void
seal (struct exsim *s, struct event *e)
{
  uint8_t node = e->node, to = e->from;

  e->kind = MSG_SEALED;
  e->code = eel_executor_seal (&s->nodes[node].executor, &e->key, e->attempt,
                               e->valid_until_us, exsim_clock (s, node));
  exsim_send (s, e, node, to);
}

/* Handles messages and local steps at a node. */
void
exsim_node_handle (struct exsim *s, struct event *e)
{
  struct call *call = &s->calls[e->call % CALLS];
  int is_call = call->id == e->call;

  if (e->kind <= MSG_GOSSIP && !s->blind)
    update_view (s, e);
  if (e->kind == MSG_DECIDE && is_call)
    arrive (s, e->node, call);
  else if (e->kind == STEP_ARRIVE && is_call)
    exsim_route_copy (s, e->node, call);
  else if (e->kind == MSG_ANSWER && is_call)
    exsim_answered (s, call, e);
  else if (e->kind == STEP_NESTED_TIMEOUT && is_call)
    exsim_nested_answered (s, call, NULL);
  else if (e->kind == STEP_DISPATCH)
    dispatch (s, e);
  else if (e->kind == MSG_EXECUTE)
    exsim_execute (s, e);
  else if (e->kind == MSG_REPLY && s->blind)
    handle_reply_blind (s, e);
  else if (e->kind == MSG_REPLY || e->kind == MSG_SEALED)
    handle_reply (s, e);
  else if (e->kind == MSG_SEAL)
    seal (s, e);
  else if (e->kind == STEP_TICK)
    tick (s, e);
  else if (e->kind == STEP_RESTART)
    exsim_node_boot (s, e->node);
  else if (e->kind >= STEP_START && e->kind <= STEP_NESTED)
    exsim_run_step (s, e);
}
