#include "node.h"

#include <stdio.h>
#include <string.h>

static const char *const class_names[EEL_CLASS_COUNT] = {
  [EEL_CLASS_CRITICAL] = "critical",
  [EEL_CLASS_LOOKUP] = "lookup",
  [EEL_CLASS_BACKGROUND] = "background",
};

/* Frees a run, which must not be in admission's queue. */
void
node_run_free (struct eel_node *node, struct node_run *run)
{
  struct node_run freed = *run;

  eel_call_free (run->call);
  node_table_remove (&node->runs, run);
  if (freed.suspect)
    node_suspect_release (node, &freed);
}

/* Answers the sender of a run, with this endpoint's load, and frees it. */
void
node_run_reply (struct eel_node *node,
                struct node_run *run,
                struct eel_answer *answer)
{
  struct eel_wire_message *wire = eel_wire_new (EEL_WIRE_REPLY);

  if (answer == NULL)
    answer = eel_answer_error (0, EEL_ERROR_INTERNAL);
  if (answer != NULL)
    node_order_log_leaving (node, run, answer);
  if (wire != NULL && answer != NULL && !run->cancelled)
    {
      answer->call_id = run->slot.origin_id;
      answer->spare = run->ledger.spare;
      node_current_load (node, &answer->load);
      wire->call_id = run->slot.origin_id;
      wire->answer = answer;
      node_post_wire (node, run->slot.origin, wire);
    }
  else
    {
      eel_wire_free (wire);
      eel_answer_free (answer);
    }
  node_run_free (node, run);
}

/*
 * Refuses a run that was not sent to the upstream.  The attempt of an order is
 * sealed first, so that a second copy of the message cannot start it.
 */
void
node_run_refuse (struct eel_node *node,
                 struct node_run *run,
                 enum eel_error kind)
{
  struct eel_answer *answer = eel_answer_error (0, kind);

  eel_metric_add (node->metrics.refused_executor, 1);
  eel_admission_remove (&node->admission, run->slot.id);
  if (!run->idempotent)
    eel_executor_not_run (&node->executor, &run->key, run->attempt);
  if (answer != NULL)
    answer->outcome = EEL_OUTCOME_REFUSED;
  node_run_reply (node, run, answer);
}

/* Adds the headers that give the upstream the run's id, limits and key. */
static enum eel_error
add_headers (const struct eel_node *node, struct node_run *run)
{
  struct eel_headers *headers = &run->call->headers;
  char key[EEL_KEY_TEXT_MAX];
  char text[24];
  int64_t deadline_ms
      = eel_wall_ms () + (run->deadline_us - node->now_us) / EEL_US_PER_MS;
  enum eel_error error;

  snprintf (text, sizeof text, "%llu", (unsigned long long)run->slot.id);
  error = eel_headers_add (headers, "Eel-Parent", text);
  if (error != EEL_OK)
    return error;
  snprintf (text, sizeof text, "%lld", (long long)deadline_ms);
  error = eel_headers_add (headers, "Eel-Deadline", text);
  if (error != EEL_OK)
    return error;
  error = eel_headers_add (headers, "Eel-Class", class_names[run->klass]);
  if (error != EEL_OK || run->idempotent)
    return error;
  eel_key_encode (&run->key, key);
  return eel_headers_add (headers, "Eel-Key", key);
}

static enum eel_error
prepare_run (struct eel_node *node, struct node_run *run)
{
  enum eel_error error;

  node->now_us = eel_clock_us ();
  if (run->deadline_us <= node->now_us)
    return EEL_ERROR_DEADLINE;
  error = add_headers (node, run);
  if (error != EEL_OK || run->idempotent)
    return error;
  switch (eel_executor_start (&node->executor, &run->key, run->attempt,
                              node->now_us))
    {
    case EEL_ACCEPT_OK:
      return EEL_OK;
    case EEL_ACCEPT_LATE:
      return EEL_ERROR_DEADLINE;
    default:
      return EEL_ERROR_SEALED;
    }
}

static int
post_to_upstream (struct eel_node *node, struct node_run *run)
{
  struct eel_msg msg = { .kind = EEL_MSG_RUN };

  run->state = NODE_RUN_RUNNING;
  run->call->id = run->slot.id;
  msg.call_id = run->slot.id;
  msg.call = run->call;
  run->call = NULL;
  eel_metric_add (node->metrics.runs, 1);
  return node_post (node, node->out.upstream, &msg);
}

/*
 * Sends an admitted run to the upstream.  Its validity is checked again, since
 * it may have waited in the queue.
 */
void
node_run_start (struct eel_node *node, struct node_run *run)
{
  enum eel_error error = prepare_run (node, run);
  struct eel_answer *answer;

  if (error == EEL_OK && post_to_upstream (node, run))
    return;
  eel_admission_done (&node->admission, &run->work, EEL_WORK_CANCELLED,
                      node->now_us);
  if (error != EEL_OK)
    {
      node_run_refuse (node, run, error);
      return;
    }
  /* Nothing was sent; sealing keeps a second copy from starting. */
  if (!run->idempotent)
    eel_executor_not_run (&node->executor, &run->key, run->attempt);
  answer = eel_answer_error (0, EEL_ERROR_OVERLOADED);
  node_run_reply (node, run, answer);
}

/* Starts queued runs for free slots and refuses those that are too late. */
void
node_run_start_queued (struct eel_node *node)
{
  struct eel_work_item work;
  enum eel_error error;

  for (;;)
    {
      struct node_run *run;

      error = EEL_OK;
      if (!eel_admission_next (&node->admission, &work, &error, node->now_us))
        return;
      run = node_table_get (&node->runs, work.id);
      if (run == NULL)
        {
          if (error == EEL_OK)
            eel_admission_done (&node->admission, &work, EEL_WORK_CANCELLED,
                                node->now_us);
          continue;
        }
      run->work = work;
      if (error != EEL_OK)
        node_run_refuse (node, run, error);
      else
        node_run_start (node, run);
    }
}

static enum eel_work_result
work_result (const struct eel_msg *msg)
{
  switch (msg->result)
    {
    case EEL_RUN_ANSWERED:
      return EEL_WORK_OK;
    case EEL_RUN_REFUSED:
      return EEL_WORK_REFUSED;
    case EEL_RUN_TIMED_OUT:
      return EEL_WORK_TIMED_OUT;
    case EEL_RUN_BROKEN:
      return EEL_WORK_FAILED;
    case EEL_RUN_NOT_SENT:
    case EEL_RUN_CANCELLED:
      break;
    }
  return EEL_WORK_CANCELLED;
}

/* Returns the answer for a run that the upstream did not answer. */
static struct eel_answer *
failed_answer (const struct eel_node *node,
               const struct node_run *run,
               enum eel_run_result result)
{
  enum eel_error kind = EEL_ERROR_OUTCOME_UNKNOWN;
  struct eel_answer *answer;

  if (result == EEL_RUN_NOT_SENT)
    kind = run->deadline_us <= node->now_us ? EEL_ERROR_DEADLINE
                                            : EEL_ERROR_NO_ENDPOINT;
  else if (result == EEL_RUN_REFUSED)
    kind = EEL_ERROR_UPSTREAM_REFUSED;
  else if (result == EEL_RUN_BROKEN)
    kind = EEL_ERROR_UPSTREAM_FAILED;
  answer = eel_answer_error (0, kind);
  if (answer != NULL)
    answer->outcome = result == EEL_RUN_NOT_SENT || result == EEL_RUN_REFUSED
                          ? EEL_OUTCOME_REFUSED
                          : EEL_OUTCOME_UNKNOWN;
  return answer;
}

/* Handles the upstream task's report of the end of a run. */
void
node_run_done (struct eel_node *node, struct eel_msg *msg)
{
  struct node_run *run = node_table_get (&node->runs, msg->call_id);
  struct eel_answer *answer = NULL;

  if (run == NULL || run->state != NODE_RUN_RUNNING)
    return;
  eel_admission_done (&node->admission, &run->work, work_result (msg),
                      node->now_us);
  if (!run->idempotent
      && (msg->result == EEL_RUN_NOT_SENT || msg->result == EEL_RUN_REFUSED))
    eel_executor_not_run (&node->executor, &run->key, run->attempt);
  else if (!run->idempotent)
    eel_executor_done (&node->executor, &run->key, run->attempt);
  if (msg->result == EEL_RUN_BROKEN)
    node_suspect_record_crash (node, run);
  if (msg->result == EEL_RUN_ANSWERED && msg->answer != NULL)
    {
      answer = msg->answer;
      msg->answer = NULL;
      answer->error = EEL_OK;
      answer->outcome = EEL_OUTCOME_RAN;
      answer->retry = EEL_RETRY_NONE;
      eel_quarantine_cleared (&node->quarantine, run->fingerprint);
    }
  else
    answer = failed_answer (node, run, msg->result);
  node_run_reply (node, run, answer);
  node_run_start_queued (node);
}
