#include "admission/cap_asker.h"

#include <string.h>

#include "eelgrasslatch/cap_message.h"

/* Witnesses send a message after this time at the latest. */
#define HEARTBEAT_US (250 * EEL_US_PER_MS)
#define ASK_INTERVAL_US (40 * EEL_US_PER_MS)
/* A message without an answer for so long counts as lost. */
#define ANSWER_TIMEOUT_US (80 * EEL_US_PER_MS)
#define MISSES_MAX 2
/* And the first of the messages that were lost is as old as this. */
#define LOST_AFTER_US (160 * EEL_US_PER_MS)
/* A better candidate is tried again after this time, with one message each
   interval. */
#define STAY_US (2 * EEL_US_PER_S)
#define PROBE_INTERVAL_US (1 * EEL_US_PER_S)

static void
choose (struct eel_cap_asker *asker, uint32_t candidate, int64_t now_us)
{
  asker->current = candidate;
  asker->current_since_us = now_us;
  asker->misses = 0;
  /* Candidates of which none is ready are not asked in a loop. */
  asker->is_new = 1;
  asker->sent_us = now_us;
}

/* Goes on with the present holder unless the new list begins with another. */
static void
set_candidates (struct eel_team_cap *cap, uint32_t group, int64_t now_us)
{
  struct eel_cap_asker *asker = &cap->askers[group];
  uint32_t first = asker->candidates[0];
  uint32_t current = asker->candidates[asker->current];
  uint32_t known = asker->candidate_count;

  asker->candidate_count = eel_cap_view_candidates (cap->view, group, cap->self,
                                                    asker->candidates);
  for (uint32_t i = 0; i < EEL_CAP_SENT_MAX; i++)
    eel_cap_close_sent (cap, &asker->sent[i]);
  if (known > 0 && first == asker->candidates[0])
    for (uint32_t i = 0; i < asker->candidate_count; i++)
      if (asker->candidates[i] == current)
        {
          asker->current = i;
          return;
        }
  choose (asker, 0, now_us);
}

void
eel_team_cap_view_changed (struct eel_team_cap *cap, int64_t now_us)
{
  if (cap->group_count != cap->view->group_count)
    {
      memset (cap->askers, 0, sizeof cap->askers);
      for (uint32_t i = 0; i < EEL_CAP_TEAMS_MAX && cap->teams != NULL; i++)
        cap->teams[i].asked = 0;
    }
  cap->group_count = cap->view->group_count;
  cap->is_witness = (uint8_t)eel_cap_view_is_witness (cap->view, cap->self);
  for (uint32_t i = 0; i < cap->group_count; i++)
    set_candidates (cap, i, now_us);
}

static void
give_up (struct eel_team_cap *cap, struct eel_cap_asker *asker, int64_t now_us)
{
  cap->holders_lost++;
  choose (asker, (asker->current + 1) % asker->candidate_count, now_us);
}

struct eel_cap_sent *
eel_cap_asker_answered (struct eel_team_cap *cap,
                        uint32_t from,
                        const struct eel_cap_grant_message *reply,
                        int64_t now_us)
{
  struct eel_cap_asker *asker;

  if (reply->group >= cap->group_count)
    return NULL;
  asker = &cap->askers[reply->group];
  for (uint32_t i = 0; i < EEL_CAP_SENT_MAX; i++)
    {
      struct eel_cap_sent *sent = &asker->sent[i];

      if (!sent->open || sent->seq != reply->seq
          || asker->candidates[sent->candidate] != from)
        continue;
      if (sent->probe && reply->ready && sent->candidate < asker->current)
        choose (asker, sent->candidate, now_us);
      if (sent->candidate == asker->current)
        {
          asker->misses = 0;
          if (!reply->ready)
            give_up (cap, asker, now_us);
        }
      return sent;
    }
  return NULL;
}

static void
check_timeouts (struct eel_team_cap *cap,
                struct eel_cap_asker *asker,
                int64_t now_us)
{
  for (uint32_t i = 0; i < EEL_CAP_SENT_MAX; i++)
    {
      struct eel_cap_sent *sent = &asker->sent[i];

      if (!sent->open || now_us - sent->sent_us < ANSWER_TIMEOUT_US)
        continue;
      eel_cap_close_sent (cap, sent);
      if (sent->probe || sent->candidate != asker->current)
        continue;
      if (asker->misses++ == 0)
        asker->missed_us = sent->sent_us;
      if (asker->misses >= MISSES_MAX
          && now_us - asker->missed_us >= LOST_AFTER_US)
        give_up (cap, asker, now_us);
      else
        asker->sent_us = now_us - HEARTBEAT_US;
    }
}

static struct eel_cap_sent *
open_sent (struct eel_team_cap *cap,
           struct eel_cap_asker *asker,
           uint32_t candidate,
           int64_t now_us)
{
  struct eel_cap_sent *sent = &asker->sent[asker->sent_next];

  asker->sent_next = (asker->sent_next + 1) % EEL_CAP_SENT_MAX;
  eel_cap_close_sent (cap, sent);
  sent->seq = ++cap->seq & EEL_CAP_SEQ_MASK;
  sent->candidate = candidate;
  sent->sent_us = now_us;
  sent->open = 1;
  sent->probe = 0;
  sent->count = 0;
  return sent;
}

/* Collects what the pending teams of a group want; those of which no request
   waits are pending no longer. */
static uint32_t
collect_asks (struct eel_team_cap *cap,
              uint32_t group,
              int64_t now_us,
              struct eel_cap_ask *asks)
{
  uint32_t count = 0;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < cap->pending_count; i++)
    {
      struct eel_cap_team *team = &cap->teams[cap->pending[i]];
      uint32_t tokens;

      if (count == EEL_CAP_ENTRIES_MAX
          || eel_cap_group_of (team->team, cap->group_count) != group)
        {
          cap->pending[kept++] = cap->pending[i];
          continue;
        }
      tokens = eel_cap_team_wants (team, now_us);
      if (tokens > 0)
        asks[count++]
            = (struct eel_cap_ask){ .team = team->team, .tokens = tokens };
      team->asked += tokens;
      team->pending = team->waiting > 0;
      if (team->pending)
        cap->pending[kept++] = cap->pending[i];
    }
  cap->pending_count = kept;
  return count;
}

static void
fill_message (const struct eel_team_cap *cap,
              uint32_t group,
              const struct eel_cap_sent *sent,
              struct eel_cap_ask_message *message)
{
  *message = (struct eel_cap_ask_message){ .seq = sent->seq,
                                           .nodes = cap->view->count,
                                           .group = group,
                                           .group_count = cap->group_count,
                                           .active = !sent->probe,
                                           .count = sent->count };
  memcpy (message->asks, sent->asks, sent->count * sizeof sent->asks[0]);
}

/* Asks a better candidate than the present one whether it answers again. */
static int
probe (struct eel_team_cap *cap,
       uint32_t group,
       int64_t now_us,
       uint32_t *to,
       struct eel_cap_ask_message *message)
{
  struct eel_cap_asker *asker = &cap->askers[group];
  struct eel_cap_sent *sent;
  uint32_t candidate;

  if (asker->current == 0 || now_us - asker->current_since_us < STAY_US
      || now_us - asker->probed_us < PROBE_INTERVAL_US)
    return 0;
  asker->probed_us = now_us;
  candidate = asker->probed++ % asker->current;
  sent = open_sent (cap, asker, candidate, now_us);
  sent->probe = 1;
  fill_message (cap, group, sent, message);
  *to = asker->candidates[candidate];
  return 1;
}

static int64_t
heartbeat_interval_us (const struct eel_cap_asker *asker)
{
  return asker->is_new ? ASK_INTERVAL_US : HEARTBEAT_US;
}

static int
ask (struct eel_team_cap *cap,
     uint32_t group,
     int64_t now_us,
     uint32_t *to,
     struct eel_cap_ask_message *message)
{
  struct eel_cap_asker *asker = &cap->askers[group];
  int heartbeat = cap->is_witness
                  && now_us - asker->sent_us >= heartbeat_interval_us (asker);
  struct eel_cap_ask asks[EEL_CAP_ENTRIES_MAX];
  struct eel_cap_sent *sent;
  uint32_t count;

  if (!heartbeat
      && (cap->pending_count == 0 || now_us - asker->sent_us < ASK_INTERVAL_US))
    return 0;
  count = collect_asks (cap, group, now_us, asks);
  if (!heartbeat && count == 0)
    return 0;
  sent = open_sent (cap, asker, asker->current, now_us);
  memcpy (sent->asks, asks, count * sizeof asks[0]);
  sent->count = count;
  asker->sent_us = now_us;
  asker->is_new = 0;
  fill_message (cap, group, sent, message);
  *to = asker->candidates[asker->current];
  return 1;
}

int
eel_team_cap_next_message (struct eel_team_cap *cap,
                           int64_t now_us,
                           uint32_t *to,
                           struct eel_cap_ask_message *message)
{
  for (uint32_t i = 0; i < cap->group_count; i++)
    {
      check_timeouts (cap, &cap->askers[i], now_us);
      if (ask (cap, i, now_us, to, message)
          || probe (cap, i, now_us, to, message))
        return 1;
    }
  return 0;
}

int64_t
eel_team_cap_due_us (const struct eel_team_cap *cap, int64_t now_us)
{
  int64_t due_us = cap->pending_count > 0 ? ASK_INTERVAL_US : HEARTBEAT_US;

  for (uint32_t i = 0; i < cap->group_count; i++)
    for (uint32_t j = 0; j < EEL_CAP_SENT_MAX; j++)
      if (cap->askers[i].sent[j].open)
        {
          int64_t left_us
              = cap->askers[i].sent[j].sent_us + ANSWER_TIMEOUT_US - now_us;

          if (left_us < due_us)
            due_us = left_us;
        }
  for (uint32_t i = 0; i < cap->group_count && cap->is_witness; i++)
    {
      int64_t left_us = cap->askers[i].sent_us - now_us
                        + heartbeat_interval_us (&cap->askers[i]);

      if (left_us < due_us)
        due_us = left_us;
    }
  return due_us > EEL_US_PER_MS ? due_us : EEL_US_PER_MS;
}
