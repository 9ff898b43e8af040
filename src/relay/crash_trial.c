#include "relay/crash_trial.h"

#include "internal/task.h"
#include "relay/attempt.h"
#include "relay/crash.h"
#include "relay/relay.h"

void
eel_crash_trial_init (struct eel_relay *relay)
{
  relay->running = g_ptr_array_new ();
  relay->interrupted_runs = g_ptr_array_new ();
  relay->news = g_ptr_array_new_with_free_func (g_free);
}

void
eel_crash_trial_finish (struct eel_relay *relay)
{
  g_ptr_array_free (relay->running, TRUE);
  g_ptr_array_free (relay->interrupted_runs, TRUE);
  g_ptr_array_free (relay->news, TRUE);
}

/* Decides by the suspects among the runs at the endpoint. */
static enum eel_quarantine_trial
decide (struct eel_attempt *attempt)
{
  struct eel_relay *relay = attempt->relay;
  uint32_t count = relay->running->len;
  enum eel_quarantine_trial trial;
  uint64_t *running = g_new (uint64_t, count);

  for (uint32_t i = 0; i < count; i++)
    running[i] = ((struct eel_attempt *)g_ptr_array_index (relay->running, i))
                     ->call.fingerprint;
  trial
      = eel_quarantine_may_start (&relay->quarantine, attempt->call.fingerprint,
                                  running, count, eel_clock_us ());
  g_free (running);
  return trial;
}

int
eel_crash_trial_refuses (struct eel_attempt *attempt,
                         enum eel_attempt_failure *failure,
                         const char **reason)
{
  enum eel_quarantine_trial trial = EEL_QUARANTINE_START;

  if (attempt->call.fingerprint != 0
      && eel_quarantine_find (&attempt->relay->quarantine,
                              attempt->call.fingerprint, eel_clock_us ())
             != NULL)
    trial = decide (attempt);
  *failure = trial == EEL_QUARANTINE_ELSEWHERE ? EEL_FAILURE_REFUSED
                                               : EEL_FAILURE_SUSPECT;
  *reason = trial == EEL_QUARANTINE_ELSEWHERE
                ? "waits for the trial of another suspect"
                : "crashes endpoints, or is being tried";
  return trial != EEL_QUARANTINE_START;
}

void
eel_crash_trial_started (struct eel_attempt *attempt)
{
  g_ptr_array_add (attempt->relay->running, attempt);
}

void
eel_crash_trial_ended (struct eel_attempt *attempt)
{
  g_ptr_array_remove_fast (attempt->relay->running, attempt);
  if (attempt->interruption != NULL)
    g_ptr_array_remove_fast (attempt->relay->interrupted_runs, attempt);
}

void
eel_crash_trial_interrupted (struct eel_attempt *attempt, const char *reason)
{
  struct eel_relay *relay = attempt->relay;

  attempt->interruption = reason;
  g_ptr_array_add (relay->interrupted_runs, attempt);
  eel_crash_watch_interrupted (&relay->crash_watch, attempt->call.fingerprint,
                               attempt->started_us, eel_clock_us ());
  relay->interrupted++;
  eel_reach_want (&relay->endpoint_reach);
}

/* Interrupted runs are the fault of an endpoint that still accepts connections;
   otherwise it has crashed. */
static void
judge_endpoint (struct eel_relay *relay, int accepts)
{
  int64_t now_us = eel_clock_us ();

  for (; accepts && relay->interrupted > 0; relay->interrupted--)
    eel_fault_rate_record (&relay->fault_rate, 1, now_us);
  relay->interrupted = 0;
  if (!accepts)
    eel_crash_endpoint_down (relay);
}

/* A run that was interrupted while the check was on its way needs another one,
   which begins at once. */
void
eel_crash_trial_checked (struct eel_relay *relay, int accepts)
{
  GPtrArray *runs = relay->interrupted_runs;

  if (accepts && relay->endpoint_reach.wanted)
    return;
  judge_endpoint (relay, accepts);
  while (runs->len > 0)
    {
      struct eel_attempt *attempt = g_ptr_array_index (runs, runs->len - 1);
      const char *reason = attempt->interruption;

      attempt->interruption = NULL;
      g_ptr_array_remove_index_fast (runs, runs->len - 1);
      /* Frees the attempt. */
      eel_attempt_fail_local (attempt, EEL_FAILURE_BROKEN, reason);
    }
}
