#include "exsim.h"

const uint8_t exsim_secret[EEL_KEY_SECRET_BYTES] = { 4, 2 };

/* Sends one copy of a nested call with half of the spare attempts. */
static void
send_nested (struct exsim *s, struct run *run, uint8_t child)
{
  struct call *call
      = exsim_call_new (s, run->order, run->position * 4 + child + 1);
  struct event timeout = { .kind = STEP_NESTED_TIMEOUT, .call = call->id };
  char label[2] = { 'n', (char)('0' + child) };

  run->sends[child]++;
  call->run = run->id;
  call->child = child;
  call->entry = run->node;
  call->lent = eel_ledger_lend (&run->ledger);
  call->deadline_us = s->calls[run->call % CALLS].deadline_us;
  eel_key_derive_child (&call->key, &run->key, label, 2, exsim_secret);
  exsim_schedule (s, &timeout, run->node,
                  s->benign ? SECOND
                            : exsim_random_delay (s, SECOND)
                                  + (run->sends[child] > 2 ? SECOND : 0));
  exsim_route_copy (s, run->node, call);
}

/* Sends a nested call again with the same label, as upstream code does. */
static int
resend_nested (struct exsim *s, struct run *run, uint8_t child)
{
  if (run->sends[child] > 3
      || s->now_us >= s->calls[run->call % CALLS].deadline_us
      || !(s->blind || eel_ledger_take (&run->ledger)))
    return 0;
  send_nested (s, run, child);
  return 1;
}

/* Schedules the end of the run after its last nested call. */
static void
child_finished (struct exsim *s, struct run *run)
{
  struct event e = { .kind = STEP_END, .run = run->id };

  if (run->open_children > 0 && --run->open_children > 0)
    return;
  exsim_schedule (s, &e, run->node,
                  exsim_log_uniform (&s->rng, MS, (s->benign ? 20 : 500) * MS));
}

/* Handles the answer to a nested call; NULL is its timeout. */
void
exsim_nested_answered (struct exsim *s,
                       struct call *call,
                       const struct event *answer)
{
  struct run *run = &s->runs[call->run % CALLS];

  if (call->answered)
    return;
  call->answered = 1;
  if (run->id != call->run || !run->running
      || s->nodes[run->node].incarnation != run->incarnation)
    return;
  if (answer != NULL)
    eel_ledger_return (&run->ledger, call->lent, answer->spare);
  if (answer != NULL && answer->outcome != EEL_OUTCOME_REFUSED
      && answer->retry != EEL_RETRY_SAME_KEY)
    child_finished (s, run);
  else if (!resend_nested (s, run, call->child))
    child_finished (s, run);
}

/* Delivers an answer to a copy at its entry node. */
void
exsim_answered (struct exsim *s, struct call *call, const struct event *event)
{
  exsim_oracle_check_answer (s, call, event);
  exsim_trace (s, call->order, eel_outcome_name (event->outcome), call->entry,
               call->position, call->id);
  if (call->run != 0)
    exsim_nested_answered (s, call, event);
  else
    exsim_world_handle (s,
                        &(struct event){ .kind = MSG_ANSWER,
                                         .call = call->id,
                                         .error = event->error,
                                         .outcome = event->outcome,
                                         .retry = event->retry,
                                         .next_key = event->next_key,
                                         .has_next_key = event->has_next_key });
}

static void
reply (struct exsim *s,
       const struct run *run,
       enum eel_attempt_result result,
       enum eel_error error)
{
  struct event e = { .kind = MSG_REPLY,
                     .key = run->key,
                     .attempt = run->attempt,
                     .call = run->call,
                     .code = (int)result,
                     .error = error,
                     .spare = run->ledger.spare };

  if (result == EEL_ATTEMPT_RAN)
    {
      e.has_answer = 1;
      e.answer_bytes
          = exsim_expected_answer (run->order, run->position, e.answer);
    }
  exsim_trace (s, run->order, "replies", run->node, run->position, result);
  exsim_send (s, &e, run->node, run->decider);
}

void
exsim_execute (struct exsim *s, struct event *e)
{
  struct node *n = &s->nodes[e->node];
  const struct call *call = &s->calls[e->call % CALLS];
  struct run *run = &s->runs[++s->next_run % CALLS];
  struct event start = { .kind = STEP_START, .run = s->next_run };
  int busy = s->now_us < s->fault_until_us[FAULT_OVERLOAD];
  enum eel_accept accepted = EEL_ACCEPT_OK;

  if (call->id != e->call)
    return;
  *run = (struct run){ .id = s->next_run,
                       .order = call->order,
                       .position = call->position,
                       .key = e->key,
                       .attempt = e->attempt,
                       .node = e->node,
                       .decider = e->from,
                       .incarnation = n->incarnation,
                       .call = e->call,
                       .valid_until_us = e->valid_until_us };
  eel_ledger_init (&run->ledger, e->spare);
  if (!s->blind)
    accepted = eel_executor_accept (&n->executor, &e->key, e->attempt,
                                    e->valid_until_us, e->run,
                                    exsim_clock (s, e->node));
  exsim_trace (s, run->order, "accept", e->node, run->position, accepted);
  if (accepted == EEL_ACCEPT_OK)
    exsim_schedule (s, &start, e->node,
                    exsim_random_delay (s, busy ? 500 * MS : 20 * MS));
  else if (accepted != EEL_ACCEPT_DUPLICATE)
    reply (s, run, EEL_ATTEMPT_REFUSED,
           accepted == EEL_ACCEPT_FULL ? EEL_ERROR_TABLE_FULL
                                       : EEL_ERROR_DEADLINE);
}

/* Takes an attempt from the queue and sheds it or sends it upstream. */
static void
start (struct exsim *s, struct run *run)
{
  struct eel_executor *x = &s->nodes[run->node].executor;
  int64_t now_us = exsim_clock (s, run->node);
  int busy = s->now_us < s->fault_until_us[FAULT_OVERLOAD];
  int shed = exsim_chance (s, busy ? 30 : s->benign ? 0 : 2);
  int refuses = exsim_chance (s, busy ? 40 : s->benign ? 0 : 2);

  if (!shed && !s->blind
      && eel_executor_start (x, &run->key, run->attempt, now_us)
             != EEL_ACCEPT_OK)
    {
      reply (s, run, EEL_ATTEMPT_REFUSED, EEL_ERROR_DEADLINE);
      return;
    }
  if (!shed && !s->blind && now_us >= run->valid_until_us)
    exsim_fail (s, run->order, "an attempt started after its valid-until");
  if (!shed)
    exsim_oracle_attempt (s, run, !refuses);
  exsim_trace (s, run->order, shed || refuses ? "refuses" : "runs", run->node,
               run->position, run->attempt);
  if (shed || refuses)
    {
      eel_executor_not_run (x, &run->key, run->attempt);
      reply (s, run, EEL_ATTEMPT_REFUSED,
             shed ? EEL_ERROR_OVERLOADED : EEL_ERROR_UPSTREAM_REFUSED);
      return;
    }
  run->running = 1;
  if (!s->benign && s->fault_mask & 1u << FAULT_RESTART && exsim_chance (s, 1))
    exsim_schedule (s, &(struct event){ .kind = STEP_RESTART }, run->node,
                    exsim_random_delay (s, 100 * MS));
  run->open_children = (uint8_t)exsim_children (run->order, run->position);
  if (run->open_children == 0)
    child_finished (s, run);
  else
    for (uint8_t i = 0, count = run->open_children; i < count; i++)
      exsim_schedule (
          s, &(struct event){ .kind = STEP_NESTED, .run = run->id, .code = i },
          run->node, exsim_random_delay (s, 20 * MS));
}

static void
finish_run (struct exsim *s, struct run *run, int crashed)
{
  run->running = 0;
  eel_executor_done (&s->nodes[run->node].executor, &run->key, run->attempt);
  reply (s, run, crashed ? EEL_ATTEMPT_UNKNOWN : EEL_ATTEMPT_RAN,
         crashed ? EEL_ERROR_UPSTREAM_FAILED : EEL_OK);
}

/* Closes every connection to the upstream of a node. */
void
exsim_node_crash_upstream (struct exsim *s, uint8_t node)
{
  for (uint32_t i = 0; i < CALLS; i++)
    if (s->runs[i].running && s->runs[i].node == node
        && s->runs[i].incarnation == s->nodes[node].incarnation)
      finish_run (s, &s->runs[i], 1);
}

void
exsim_run_step (struct exsim *s, const struct event *e)
{
  struct run *run = &s->runs[e->run % CALLS];

  if (run->id != e->run)
    return;
  if (e->kind == STEP_START)
    start (s, run);
  else if (!run->running)
    return;
  else if (e->kind == STEP_END)
    finish_run (s, run, 0);
  else
    {
      send_nested (s, run, (uint8_t)e->code);
      if (!s->benign && exsim_chance (s, 5) && run->ledger.spare > 0)
        resend_nested (s, run, (uint8_t)e->code);
    }
}
