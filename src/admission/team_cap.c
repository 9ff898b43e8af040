#include "eelgrasslatch/team_cap.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "admission/cap_asker.h"

#define TEAM_WAYS 8
#define RECENT_S 1.0
/* Requests that tokens are kept for, in seconds of the team's recent rate. */
#define STOCK_S 0.2
/* A team that its holder has no token for is asked for again after this time at
   the latest, and not before the other. */
#define LIMITED_MAX_US (100 * EEL_US_PER_MS)
#define LIMITED_MIN_US (20 * EEL_US_PER_MS)
/* No stock is kept for so long after the team has met its cap. */
#define NO_STOCK_US (500 * EEL_US_PER_MS)

int
eel_team_cap_init (struct eel_team_cap *cap,
                   const struct eel_cap_view *view,
                   uint32_t self,
                   uint32_t first_seq,
                   int64_t now_us)
{
  memset (cap, 0, sizeof *cap);
  cap->view = view;
  cap->self = self;
  cap->seq = first_seq;
  cap->teams = calloc (EEL_CAP_TEAMS_MAX, sizeof *cap->teams);
  eel_team_cap_view_changed (cap, now_us);
  return cap->teams != NULL;
}

void
eel_team_cap_finish (struct eel_team_cap *cap)
{
  free (cap->teams);
}

static struct eel_cap_team *
team_set (const struct eel_team_cap *cap, uint64_t team)
{
  return &cap->teams[team % (EEL_CAP_TEAMS_MAX / TEAM_WAYS) * TEAM_WAYS];
}

static struct eel_cap_team *
find_team (const struct eel_team_cap *cap, uint64_t team)
{
  struct eel_cap_team *set = team_set (cap, team);

  for (uint32_t i = 0; i < TEAM_WAYS; i++)
    if (set[i].team == team)
      return &set[i];
  return NULL;
}

/* Returns the team, or one that is new in place of the one that was used least
   recently; NULL when requests of all these wait. */
static struct eel_cap_team *
open_team (struct eel_team_cap *cap, uint64_t team)
{
  struct eel_cap_team *set = team_set (cap, team);
  struct eel_cap_team *found = find_team (cap, team);

  for (uint32_t i = 0; i < TEAM_WAYS && found == NULL; i++)
    if (set[i].team == 0)
      found = &set[i];
  if (found != NULL && found->team == team)
    return found;
  if (found == NULL)
    {
      for (uint32_t i = 0; i < TEAM_WAYS; i++)
        if (set[i].waiting == 0
            && (found == NULL || set[i].used_us < found->used_us))
          found = &set[i];
      if (found == NULL)
        return NULL;
      cap->evicted++;
    }
  *found = (struct eel_cap_team){ .team = team, .pending = found->pending };
  return found;
}

static uint32_t
stock (const struct eel_cap_team *team, int64_t now_us)
{
  uint32_t tokens = 0;

  for (uint32_t i = 0; i < EEL_CAP_LOTS_MAX; i++)
    if (team->lots[i].expires_us > now_us)
      tokens += team->lots[i].tokens;
  return tokens;
}

/* Takes a token of the lot that expires first. */
static int
take (struct eel_team_cap *cap, struct eel_cap_team *team, int64_t now_us)
{
  struct eel_cap_lot *first = NULL;

  for (uint32_t i = 0; i < EEL_CAP_LOTS_MAX; i++)
    {
      struct eel_cap_lot *lot = &team->lots[i];

      if (lot->tokens > 0 && lot->expires_us > now_us
          && (first == NULL || lot->expires_us < first->expires_us))
        first = lot;
    }
  if (first == NULL)
    return 0;
  first->tokens--;
  team->admitted++;
  cap->admitted++;
  cap->taken_expires_us = first->expires_us;
  return 1;
}

/* Without a free lot the tokens join the one that expires first. */
static void
add_lot (struct eel_cap_team *team,
         uint32_t tokens,
         int64_t expires_us,
         int64_t now_us)
{
  struct eel_cap_lot *lot = &team->lots[0];

  for (uint32_t i = 0; i < EEL_CAP_LOTS_MAX; i++)
    {
      if (team->lots[i].tokens == 0 || team->lots[i].expires_us <= now_us)
        {
          team->lots[i] = (struct eel_cap_lot){ .expires_us = expires_us,
                                                .tokens = tokens };
          return;
        }
      if (team->lots[i].expires_us < lot->expires_us)
        lot = &team->lots[i];
    }
  if (expires_us < lot->expires_us)
    lot->expires_us = expires_us;
  lot->tokens += tokens;
}

static void
count_request (struct eel_cap_team *team, int64_t now_us)
{
  double idle_s = (double)(now_us - team->recent_us) / EEL_US_PER_S;

  team->recent = team->recent * exp (-idle_s / RECENT_S) + 1;
  team->recent_us = now_us;
  team->used_us = now_us;
}

/* Returns the requests expected within the time that a stock is kept for. */
static double
expected (const struct eel_cap_team *team, int64_t now_us)
{
  double idle_s = (double)(now_us - team->recent_us) / EEL_US_PER_S;

  return team->recent / RECENT_S * exp (-idle_s / RECENT_S) * STOCK_S;
}

uint32_t
eel_cap_team_wants (const struct eel_cap_team *team, int64_t now_us)
{
  double stocked = expected (team, now_us);
  uint32_t wanted = team->waiting;
  uint32_t have = stock (team, now_us) + team->asked;

  if (now_us < team->limited_until_us)
    return 0;
  if (stocked >= 1 && now_us > team->retry_at_us + NO_STOCK_US
      && have < wanted + stocked / 2)
    wanted += (uint32_t)stocked;
  if (wanted <= have)
    return 0;
  wanted -= have;
  return wanted < EEL_CAP_TOKENS_MAX ? wanted : EEL_CAP_TOKENS_MAX;
}

/* The holder has said when it has a token, and that is too late to wait. */
static int
is_above_cap (const struct eel_cap_team *team, int64_t now_us)
{
  return now_us < team->limited_until_us
         && team->retry_at_us > team->limited_until_us;
}

static enum eel_cap_verdict
refuse (struct eel_team_cap *cap, struct eel_cap_team *team)
{
  team->refused++;
  cap->refused++;
  return EEL_CAP_REFUSE;
}

static void
add_pending (struct eel_team_cap *cap, struct eel_cap_team *team)
{
  if (team->pending)
    return;
  team->pending = 1;
  cap->pending[cap->pending_count++] = (uint16_t)(team - cap->teams);
}

enum eel_cap_verdict
eel_team_cap_request (struct eel_team_cap *cap, uint64_t id, int64_t now_us)
{
  struct eel_cap_team *team = open_team (cap, id);
  enum eel_cap_verdict verdict = EEL_CAP_WAIT;

  if (team == NULL)
    return EEL_CAP_REFUSE;
  count_request (team, now_us);
  if (team->waiting == 0 && take (cap, team, now_us))
    verdict = EEL_CAP_ADMIT;
  else if (is_above_cap (team, now_us))
    return refuse (cap, team);
  if (verdict == EEL_CAP_WAIT)
    team->waiting++;
  if (team->waiting > 0 || eel_cap_team_wants (team, now_us) > 0)
    add_pending (cap, team);
  return verdict;
}

void
eel_team_cap_leave (struct eel_team_cap *cap, uint64_t id)
{
  struct eel_cap_team *team = find_team (cap, id);

  if (team == NULL || team->waiting == 0)
    return;
  team->waiting--;
}

enum eel_cap_verdict
eel_team_cap_again (struct eel_team_cap *cap, uint64_t id, int64_t now_us)
{
  struct eel_cap_team *team = find_team (cap, id);
  enum eel_cap_verdict verdict = EEL_CAP_WAIT;

  if (team == NULL)
    return EEL_CAP_REFUSE;
  if (take (cap, team, now_us))
    verdict = EEL_CAP_ADMIT;
  else if (is_above_cap (team, now_us))
    verdict = refuse (cap, team);
  if (verdict != EEL_CAP_WAIT)
    eel_team_cap_leave (cap, id);
  return verdict;
}

void
eel_team_cap_return (struct eel_team_cap *cap,
                     uint64_t id,
                     int64_t expires_us,
                     int64_t now_us)
{
  struct eel_cap_team *team = find_team (cap, id);

  if (team != NULL && expires_us > now_us)
    add_lot (team, 1, expires_us, now_us);
}

int64_t
eel_team_cap_wait_us (const struct eel_team_cap *cap,
                      uint64_t id,
                      int64_t now_us)
{
  const struct eel_cap_team *team = find_team (cap, id);

  return team == NULL || team->retry_at_us <= now_us
             ? 0
             : team->retry_at_us - now_us;
}

/* Takes the answer to one ask. */
static void
receive_grant (struct eel_team_cap *cap,
               const struct eel_cap_ask *ask,
               const struct eel_cap_grant *grant,
               int64_t sent_us,
               int64_t now_us)
{
  struct eel_cap_team *team = find_team (cap, ask->team);
  int64_t expires_us = sent_us + EEL_CAP_TOKEN_LIFE_US;
  int64_t until_us = grant->wait_us;

  if (team == NULL)
    return;
  /* No more than what this node has asked for. */
  if (grant->tokens > 0 && expires_us > now_us)
    add_lot (team, grant->tokens < ask->tokens ? grant->tokens : ask->tokens,
             expires_us, now_us);
  if (grant->tokens >= ask->tokens)
    return;
  if (until_us > LIMITED_MAX_US)
    until_us = LIMITED_MAX_US;
  if (until_us < LIMITED_MIN_US)
    until_us = LIMITED_MIN_US;
  team->limited_until_us = now_us + until_us;
  team->retry_at_us = now_us + grant->wait_us;
}

void
eel_cap_close_sent (struct eel_team_cap *cap, struct eel_cap_sent *sent)
{
  for (uint32_t i = 0; i < sent->count && sent->open; i++)
    {
      struct eel_cap_team *team = find_team (cap, sent->asks[i].team);

      if (team != NULL)
        team->asked -= team->asked < sent->asks[i].tokens
                           ? team->asked
                           : sent->asks[i].tokens;
    }
  sent->open = 0;
}

int
eel_team_cap_receive (struct eel_team_cap *cap,
                      uint32_t from,
                      const struct eel_cap_grant_message *message,
                      int64_t now_us)
{
  struct eel_cap_sent *sent
      = eel_cap_asker_answered (cap, from, message, now_us);

  if (sent == NULL)
    return 0;
  eel_cap_close_sent (cap, sent);
  for (uint32_t i = 0; i < sent->count && message->ready; i++)
    if (message->full)
      {
        const struct eel_cap_grant full = { .tokens = sent->asks[i].tokens };

        receive_grant (cap, &sent->asks[i], &full, sent->sent_us, now_us);
      }
    else if (i < message->count)
      receive_grant (cap, &sent->asks[i], &message->grants[i], sent->sent_us,
                     now_us);
  return sent->count > 0;
}
