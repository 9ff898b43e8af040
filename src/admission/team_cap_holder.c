#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/team_cap.h"

#define BUCKETS_MAX 4096
/* Places in which a team's bucket may be. */
#define BUCKET_WAYS 8
/* Shares of the tolerance by which buckets exceed the cap, for tokens that
   expire unused and for arrivals that are not even. */
#define RATE_MARGIN 0.06
#define SLACK_MARGIN 0.25
#define UNMET_DECAY_S 0.5
#define UPDATE_INTERVAL_US (10 * EEL_US_PER_MS)
/* Teams without a bucket start to fill anew after the share has changed by so
   much. */
#define SHARE_KEPT 0.75
#define WAIT_MAX_US (10 * EEL_US_PER_S)
#define NEVER_US (INT64_MIN / 2)

int
eel_cap_holder_init (struct eel_cap_holder *holder,
                     const struct eel_cap_view *view,
                     const struct eel_cap_tolerance *tolerance)
{
  memset (holder, 0, sizeof *holder);
  holder->view = view;
  holder->tolerance = *tolerance;
  holder->buckets = calloc (BUCKETS_MAX, sizeof *holder->buckets);
  holder->used = calloc (BUCKETS_MAX, sizeof *holder->used);
  eel_cap_holder_reset (holder, 0);
  return holder->buckets != NULL && holder->used != NULL;
}

void
eel_cap_holder_finish (struct eel_cap_holder *holder)
{
  free (holder->buckets);
  free (holder->used);
}

static void
copy_witnesses (struct eel_cap_holder *holder)
{
  holder->witness_count = holder->view->witness_count;
  memcpy (holder->witnesses, holder->view->witnesses, sizeof holder->witnesses);
}

void
eel_cap_holder_reset (struct eel_cap_holder *holder, int64_t now_us)
{
  holder->group_count = holder->view->group_count;
  holder->used_count = 0;
  copy_witnesses (holder);
  if (holder->buckets != NULL)
    memset (holder->buckets, 0, BUCKETS_MAX * sizeof *holder->buckets);
  memset (holder->groups, 0, sizeof holder->groups);
  for (uint32_t i = 0; i < EEL_CAP_GROUPS_MAX; i++)
    {
      holder->groups[i].updated_us = now_us;
      for (uint32_t j = 0; j < EEL_CAP_WITNESSES_MAX; j++)
        holder->groups[i].heard_us[j] = NEVER_US;
    }
}

/* Returns the part of the witnesses that was heard from.  The list of this node
   may lack nodes that others know. */
static double
share_heard (const struct eel_cap_view *view,
             const struct eel_cap_group *group,
             int64_t now_us)
{
  uint32_t of = view->witness_count;
  uint32_t heard = 0;

  for (uint32_t i = 0; i < view->witness_count; i++)
    if (now_us - group->heard_us[i] <= EEL_CAP_HEARD_US)
      {
        uint32_t told = group->reported_nodes[i];

        heard++;
        if (told > EEL_CAP_WITNESSES_MAX)
          told = EEL_CAP_WITNESSES_MAX;
        if (told > of)
          of = told;
      }
  return of == 0 ? 0 : (double)heard / of;
}

/* Fills a bucket up to the present time. */
static void
settle (const struct eel_cap_group *group,
        struct eel_cap_bucket *bucket,
        double share)
{
  bucket->tokens
      = fmin (bucket->tokens
                  + bucket->rate_per_s * (group->filled_s - bucket->filled_s),
              bucket->capacity * share);
  bucket->filled_s = group->filled_s;
}

/* Buckets hold no more than what the smaller share lets them hold. */
static void
settle_all (struct eel_cap_holder *holder, uint32_t index, double share)
{
  for (uint32_t i = 0; i < holder->used_count; i++)
    {
      struct eel_cap_bucket *bucket = &holder->buckets[holder->used[i]];

      if (bucket->group == index)
        settle (&holder->groups[index], bucket, share);
    }
}

static void
update_share (struct eel_cap_holder *holder, uint32_t index, int64_t now_us)
{
  struct eel_cap_group *group = &holder->groups[index];
  double before = group->share;
  double elapsed_s = (double)(now_us - group->updated_us) / EEL_US_PER_S;

  if (now_us - group->updated_us < UPDATE_INTERVAL_US)
    return;
  group->share = share_heard (holder->view, group, now_us);
  group->filled_s += elapsed_s * fmin (before, group->share);
  group->updated_us = now_us;
  if (group->share != before)
    settle_all (holder, index, fmin (before, group->share));
  if (group->share < group->since_share * SHARE_KEPT
      || group->share * SHARE_KEPT > group->since_share)
    {
      group->since_s = group->filled_s;
      group->since_share = group->share;
    }
}

void
eel_cap_holder_tick (struct eel_cap_holder *holder, int64_t now_us)
{
  for (uint32_t i = 0; i < holder->group_count; i++)
    update_share (holder, i, now_us);
}

/* Witnesses that stay keep the time at which they were heard from. */
static void
move_heard (const struct eel_cap_holder *holder, struct eel_cap_group *group)
{
  const struct eel_cap_view *view = holder->view;
  const struct eel_cap_group old = *group;

  for (uint32_t i = 0; i < EEL_CAP_WITNESSES_MAX; i++)
    {
      group->heard_us[i] = NEVER_US;
      for (uint32_t j = 0; j < holder->witness_count; j++)
        if (i < view->witness_count
            && view->witnesses[i] == holder->witnesses[j])
          {
            group->heard_us[i] = old.heard_us[j];
            group->reported_nodes[i] = old.reported_nodes[j];
          }
    }
}

void
eel_cap_holder_view_changed (struct eel_cap_holder *holder, int64_t now_us)
{
  if (holder->group_count != holder->view->group_count)
    {
      eel_cap_holder_reset (holder, now_us);
      return;
    }
  for (uint32_t i = 0; i < holder->group_count; i++)
    move_heard (holder, &holder->groups[i]);
  copy_witnesses (holder);
}

static void
record_heard (struct eel_cap_holder *holder,
              uint32_t from,
              const struct eel_cap_ask_message *message,
              int64_t now_us)
{
  struct eel_cap_group *group = &holder->groups[message->group];

  if (message->active)
    for (uint32_t i = 0; i < holder->view->witness_count; i++)
      if (holder->view->witnesses[i] == from)
        {
          group->heard_us[i] = now_us;
          group->reported_nodes[i] = message->nodes;
        }
}

/* Returns the team's bucket, or one that is new or was used least recently. */
static struct eel_cap_bucket *
find_bucket (struct eel_cap_holder *holder, uint64_t team)
{
  struct eel_cap_bucket *set
      = &holder->buckets[team % (BUCKETS_MAX / BUCKET_WAYS) * BUCKET_WAYS];
  struct eel_cap_bucket *oldest = set;

  for (uint32_t i = 0; i < BUCKET_WAYS; i++)
    {
      if (set[i].team == team)
        return &set[i];
      if (oldest->team != 0
          && (set[i].team == 0 || set[i].used_us < oldest->used_us))
        oldest = &set[i];
    }
  return oldest;
}

/* A team without a bucket has used nothing since filling began, unless its
   bucket has given way. */
static struct eel_cap_bucket *
open_bucket (struct eel_cap_holder *holder, uint64_t team, uint32_t group)
{
  struct eel_cap_bucket *bucket = find_bucket (holder, team);
  int evicted = bucket->team != 0 && bucket->team != team;

  if (bucket->team == team)
    return bucket;
  holder->evicted += (uint64_t)evicted;
  if (!evicted)
    holder->used[holder->used_count++] = (uint16_t)(bucket - holder->buckets);
  if (evicted)
    holder->groups[group].since_s = holder->groups[group].filled_s;
  *bucket = (struct eel_cap_bucket){
    .team = team, .group = group, .filled_s = holder->groups[group].since_s
  };
  return bucket;
}

static void
fill_bucket (const struct eel_cap_holder *holder,
             struct eel_cap_bucket *bucket,
             const struct eel_cap_limits *limits,
             int64_t now_us)
{
  const struct eel_cap_group *group = &holder->groups[bucket->group];
  double margin = 1 + holder->tolerance.overshoot * RATE_MARGIN;
  double idle_s = (double)(now_us - bucket->used_us) / EEL_US_PER_S;

  bucket->rate_per_s = limits->rate_per_s * margin;
  bucket->capacity = fmax (limits->burst, 1) * margin
                     + holder->tolerance.slack * SLACK_MARGIN;
  settle (group, bucket, group->share);
  bucket->unmet *= exp (-idle_s / UNMET_DECAY_S);
  bucket->used_us = now_us;
}

static struct eel_cap_grant
grant (struct eel_cap_holder *holder,
       const struct eel_cap_ask *ask,
       uint32_t group,
       const struct eel_cap_limits *limits,
       int64_t now_us)
{
  double share = holder->groups[group].share;
  struct eel_cap_grant result = { .tokens = ask->tokens };
  struct eel_cap_bucket *bucket;
  double missing;

  /* A newer configuration may have lifted the cap. */
  if (limits->rate_per_s <= 0)
    return result;
  bucket = open_bucket (holder, ask->team, group);
  fill_bucket (holder, bucket, limits, now_us);
  if (result.tokens <= bucket->tokens)
    {
      bucket->tokens -= result.tokens;
      holder->granted += result.tokens;
      return result;
    }
  result.tokens = (uint32_t)bucket->tokens;
  bucket->tokens -= result.tokens;
  holder->granted += result.tokens;
  bucket->unmet += ask->tokens - result.tokens;
  missing = bucket->unmet - bucket->tokens;
  result.wait_us = WAIT_MAX_US;
  if (missing < limits->rate_per_s * share * WAIT_MAX_US / EEL_US_PER_S)
    result.wait_us
        = (int64_t)(missing / (limits->rate_per_s * share) * EEL_US_PER_S) + 1;
  return result;
}

void
eel_cap_holder_answer (struct eel_cap_holder *holder,
                       uint32_t from,
                       const struct eel_cap_ask_message *message,
                       eel_cap_find_limits find,
                       const void *teams,
                       int64_t now_us,
                       struct eel_cap_grant_message *reply)
{
  struct eel_cap_limits limits;

  *reply = (struct eel_cap_grant_message){ .seq = message->seq,
                                           .group = message->group };
  if (message->group_count != holder->group_count
      || message->group >= holder->group_count)
    return;
  /* The share is that of before this message: after a pause none counts. */
  update_share (holder, message->group, now_us);
  record_heard (holder, from, message, now_us);
  reply->ready = 1;
  reply->full = 1;
  reply->count = message->count;
  for (uint32_t i = 0; i < message->count; i++)
    {
      if (find (teams, message->asks[i].team, &limits))
        reply->grants[i] = grant (holder, &message->asks[i], message->group,
                                  &limits, now_us);
      if (reply->grants[i].tokens < message->asks[i].tokens)
        reply->full = 0;
    }
}
