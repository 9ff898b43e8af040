#include "eelgrasslatch/rng.h"
#include "internal/task.h"
#include "relay/caps.h"
#include "relay/entry.h"

/* A request waits for a token no longer than this, nor than a share of its
   time. */
#define WAIT_MAX_US (250 * EEL_US_PER_MS)
#define WAIT_MAX_PERCENT 25
#define WAITING_MAX 1024
/* Retry-After of a request over the cap. */
#define RETRY_MIN_US (100 * EEL_US_PER_MS)
#define RETRY_MAX_US (10 * EEL_US_PER_S)
#define RETRY_JITTER 0.25

static void
wait_for_token (struct eel_entry *entry)
{
  struct eel_caps *caps = entry->relay->caps;
  int64_t left_us = entry->call.deadline_us - entry->arrived_us;
  int64_t wait_us = left_us * WAIT_MAX_PERCENT / 100;

  entry->token_until_us
      = entry->arrived_us + (wait_us < WAIT_MAX_US ? wait_us : WAIT_MAX_US);
  entry->waits_for_token = 1;
  entry->waiting_link.data = entry;
  g_queue_push_tail_link (&caps->waiting, &entry->waiting_link);
}

static void
take_token (struct eel_entry *entry, int64_t now_us)
{
  entry->has_token = 1;
  entry->token_expires_us = entry->relay->caps->cap.taken_expires_us;
  (void)now_us;
}

static void
refuse (struct eel_entry *entry, int64_t now_us)
{
  struct eel_caps *caps = entry->relay->caps;
  int64_t wait_us
      = eel_team_cap_wait_us (&caps->cap, entry->call.team_id, now_us);

  if (wait_us > 0)
    {
      eel_team_use_count (&entry->relay->team_use, entry->call.team_id,
                          entry->team, EEL_TEAM_USE_OVER_CAP);
      eel_caps_count_refused (caps, entry->call.team_id, wait_us, now_us);
      eel_entry_answer_error (entry, EEL_ERROR_TEAM_CAP);
    }
  else
    {
      eel_metric_add (caps->counters.unknown, 1);
      eel_entry_answer_error (entry, EEL_ERROR_CAP_UNKNOWN);
    }
}

/* True when the team has a cap. */
static int
is_capped (const struct eel_entry *entry)
{
  const struct eel_relay *relay = entry->relay;
  const struct eel_team *team;

  if (entry->call.team_id == EEL_NO_TEAM || relay->caps == NULL
      || !relay->caps->in_force)
    return 0;
  team = eel_team_table_find (relay->teams, entry->call.team_id);
  return team != NULL && team->rate_per_s > 0;
}

int
eel_entry_take_token (struct eel_entry *entry)
{
  struct eel_caps *caps = entry->relay->caps;
  enum eel_cap_verdict verdict = EEL_CAP_REFUSE;

  if (!is_capped (entry))
    return 1;
  if (caps->waiting.length < WAITING_MAX)
    verdict = eel_team_cap_request (&caps->cap, entry->call.team_id,
                                    entry->arrived_us);
  switch (verdict)
    {
    case EEL_CAP_ADMIT:
      take_token (entry, entry->arrived_us);
      eel_caps_wake (caps);
      return 1;
    case EEL_CAP_REFUSE:
      refuse (entry, entry->arrived_us);
      return 0;
    default:
      wait_for_token (entry);
      eel_caps_wake (caps);
      return 0;
    }
}

void
eel_entry_leave_caps (struct eel_entry *entry)
{
  struct eel_caps *caps = entry->relay->caps;

  if (!entry->waits_for_token)
    return;
  entry->waits_for_token = 0;
  g_queue_unlink (&caps->waiting, &entry->waiting_link);
  eel_team_cap_leave (&caps->cap, entry->call.team_id);
}

void
eel_entry_return_token (struct eel_entry *entry)
{
  if (!entry->has_token)
    return;
  entry->has_token = 0;
  eel_team_cap_return (&entry->relay->caps->cap, entry->call.team_id,
                       entry->token_expires_us, eel_clock_us ());
}

int64_t
eel_entry_cap_wait_us (struct eel_entry *entry)
{
  struct eel_relay *relay = entry->relay;
  int64_t wait_us = eel_team_cap_wait_us (&relay->caps->cap,
                                          entry->call.team_id, eel_clock_us ());

  wait_us
      += (int64_t)(eel_rng_unit (&relay->rng) * RETRY_JITTER * (double)wait_us);
  if (wait_us < RETRY_MIN_US)
    return RETRY_MIN_US;
  return wait_us < RETRY_MAX_US ? wait_us : RETRY_MAX_US;
}

/* May free the entry.  Returns 0 when it waits on. */
static int
decide_again (struct eel_entry *entry, int64_t now_us)
{
  struct eel_caps *caps = entry->relay->caps;
  uint64_t team = entry->call.team_id;
  enum eel_cap_verdict verdict = EEL_CAP_ADMIT;

  /* The cap may have been lifted. */
  if (!is_capped (entry))
    eel_team_cap_leave (&caps->cap, team);
  else
    {
      verdict = eel_team_cap_again (&caps->cap, team, now_us);
      if (verdict == EEL_CAP_ADMIT)
        take_token (entry, now_us);
    }
  if (verdict == EEL_CAP_WAIT && now_us < entry->token_until_us)
    return 0;
  if (verdict == EEL_CAP_WAIT)
    eel_team_cap_leave (&caps->cap, team);
  entry->waits_for_token = 0;
  if (verdict == EEL_CAP_ADMIT)
    eel_entry_admit (entry);
  else
    refuse (entry, now_us);
  return 1;
}

/* Whatever is decided about one request may end others or bring new ones. */
void
eel_caps_serve_waiting (struct eel_caps *caps, int64_t now_us)
{
  if (caps->serving)
    return;
  caps->serving = 1;
  for (guint left = caps->waiting.length; left > 0; left--)
    {
      GList *link = g_queue_pop_head_link (&caps->waiting);
      struct eel_entry *entry;

      if (link == NULL)
        break;
      entry = link->data;
      if (!decide_again (entry, now_us))
        g_queue_push_tail_link (&caps->waiting, link);
    }
  caps->serving = 0;
}
