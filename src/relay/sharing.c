#include "relay/sharing.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "internal/hash.h"
#include "internal/task.h"

/* Bounds of a team's weight, in thousandths of the mean. */
#define WEIGHT_MIN_MILLI 1
#define WEIGHT_MAX_MILLI 1000000
/* Time for which repeats of a request are answered alike at the entry. */
#define SAME_DRAW_US (300 * EEL_US_PER_MS)
/* Lines on teams above their share, in each interval. */
#define LINES_MAX 4
#define LINES_INTERVAL_US (1 * EEL_US_PER_S)

void
eel_sharing_init (struct eel_relay *relay)
{
  eel_crowding_init (&relay->crowding);
  eel_repeats_init (&relay->sharing.repeats);
}

/* Mean cap of the teams that have one; 0: none has. */
static double
mean_rate (struct eel_relay *relay)
{
  const struct eel_team_table *teams = relay->teams;
  struct eel_sharing *sharing = &relay->sharing;
  double sum = 0;
  uint32_t count = 0;

  if (sharing->teams == teams && sharing->version == teams->version)
    return sharing->mean_rate;
  for (uint32_t i = 0; i < teams->count; i++)
    if (teams->teams[i].rate_per_s > 0)
      {
        sum += teams->teams[i].rate_per_s;
        count++;
      }
  sharing->teams = teams;
  sharing->version = teams->version;
  sharing->mean_rate = count > 0 ? sum / count : 0;
  return sharing->mean_rate;
}

/* Teams weigh in proportion to their caps; one without a cap like the mean. */
static uint32_t
weight_milli (struct eel_relay *relay, uint64_t team_id)
{
  const struct eel_team *team
      = relay->teams != NULL ? eel_team_table_find (relay->teams, team_id)
                             : NULL;
  double weight;

  if (team == NULL || team->rate_per_s <= 0)
    return EEL_FAIR_WEIGHT_UNIT_MILLI;
  weight = EEL_FAIR_WEIGHT_UNIT_MILLI * team->rate_per_s / mean_rate (relay);
  if (weight < WEIGHT_MIN_MILLI)
    return WEIGHT_MIN_MILLI;
  return weight > WEIGHT_MAX_MILLI ? WEIGHT_MAX_MILLI : (uint32_t)weight;
}

struct eel_gate_share
eel_sharing_of (struct eel_relay *relay, const struct eel_relay_call *call)
{
  struct eel_gate_share share
      = { .team = EEL_NO_TEAM, .is_guest = call->is_guest };

  if (call->team_id == EEL_NO_TEAM || !relay->config.fair_teams)
    return share;
  share.team = call->team_id;
  share.weight_milli = weight_milli (relay, call->team_id);
  return share;
}

void
eel_sharing_write (struct eel_relay *relay, struct evbuffer *lines)
{
  struct eel_fair_excess told[EEL_CROWDING_TOLD_MAX];
  uint32_t count = eel_fair_order_excess (
      &relay->gate.fair, told, EEL_CROWDING_TOLD_MAX, eel_clock_us ());

  for (uint32_t i = 0; i < count; i++)
    evbuffer_add_printf (lines, "%s: %016" PRIx64 " %u %u %u %u\r\n",
                         EEL_RELAY_CROWDED, told[i].team, told[i].rank,
                         told[i].excess_milli, told[i].asked_milli,
                         told[i].got_milli);
}

static const char *
team_name (const struct eel_relay *relay, uint64_t team_id)
{
  const struct eel_team *team
      = relay->teams != NULL ? eel_team_table_find (relay->teams, team_id)
                             : NULL;

  return team != NULL ? team->name : "-";
}

static int
may_log (struct eel_sharing *sharing, int64_t now_us)
{
  if (now_us - sharing->lines_since_us > LINES_INTERVAL_US)
    {
      sharing->lines_since_us = now_us;
      sharing->lines = 0;
    }
  return sharing->lines++ < LINES_MAX;
}

/* Part of what the other teams of the rank ask for that they get, in
   thousandths; -1: unknown. */
static int32_t
others_got_milli (const struct eel_fair_excess *excess)
{
  uint64_t parts
      = (uint64_t)excess->asked_milli * (1000 - excess->excess_milli);

  if (parts == 0)
    return -1;
  parts = (uint64_t)excess->got_milli * 1000000 / parts;
  return parts < 1000 ? (int32_t)parts : 1000;
}

/* Logs that a team is refused here from now on. */
static void
log_above_share (struct eel_relay *relay,
                 uint32_t service,
                 const struct eel_fair_excess *excess,
                 int64_t now_us)
{
  if (may_log (&relay->sharing, now_us))
    g_message ("event=team_above_share team=%s id=%016" PRIx64
               " service=%s rank=%u excess_milli=%u asked_milli=%u "
               "got_milli=%u others_got_milli=%d",
               EEL_LOG_TEXT (team_name (relay, excess->team)), excess->team,
               EEL_LOG_TEXT (eel_service_name (&relay->names, service)),
               excess->rank, excess->excess_milli, excess->asked_milli,
               excess->got_milli, others_got_milli (excess));
}

void
eel_sharing_report_ended (struct eel_relay *relay, int64_t now_us)
{
  struct eel_crowding_team ended;

  while (eel_crowding_next_ended (&relay->crowding, &ended, now_us))
    if (may_log (&relay->sharing, now_us))
      g_message ("event=team_within_share team=%s id=%016" PRIx64
                 " service=%s rank=%u for_ms=%" PRId64 " refused=%" PRIu64
                 " excess_milli=%u asked_milli=%u got_milli=%u "
                 "others_got_milli=%d",
                 EEL_LOG_TEXT (team_name (relay, ended.team)), ended.team,
                 EEL_LOG_TEXT (eel_service_name (&relay->names, ended.service)),
                 ended.rank, (ended.told_us - ended.since_us) / EEL_US_PER_MS,
                 ended.refused, ended.excess.excess_milli,
                 ended.excess.asked_milli, ended.excess.got_milli,
                 others_got_milli (&ended.excess));
}

static void
record (struct eel_relay *relay,
        uint32_t service,
        const struct eel_fair_excess *excess)
{
  int64_t now_us = eel_clock_us ();

  if (eel_crowding_told (&relay->crowding, service, excess, now_us))
    log_above_share (relay, service, excess, now_us);
}

static int
parse (const char *text, struct eel_fair_excess *excess)
{
  unsigned rank;
  int bytes = 0;

  if (sscanf (text, "%16" SCNx64 " %3u %4u %9u %9u%n", &excess->team, &rank,
              &excess->excess_milli, &excess->asked_milli, &excess->got_milli,
              &bytes)
          != 5
      || text[bytes] != 0 || excess->team == EEL_NO_TEAM
      || rank >= EEL_FAIR_RANKS || excess->excess_milli > 1000)
    return 0;
  excess->rank = (uint8_t)rank;
  return 1;
}

void
eel_sharing_read (struct eel_relay *relay,
                  uint32_t service,
                  const struct eel_head *answer)
{
  struct eel_fair_excess excess;

  for (uint32_t i = 0; i < EEL_CROWDING_TOLD_MAX; i++)
    {
      const char *text = eel_head_get_nth (answer, EEL_RELAY_CROWDED, i);

      if (text == NULL)
        return;
      if (!parse (text, &excess))
        {
          g_message ("event=crowded_field_invalid service=%s",
                     EEL_LOG_TEXT (eel_service_name (&relay->names, service)));
          return;
        }
      record (relay, service, &excess);
    }
}

void
eel_sharing_record_own (struct eel_relay *relay, uint32_t service)
{
  struct eel_fair_excess told[EEL_CROWDING_TOLD_MAX];
  uint32_t count = eel_fair_order_excess (
      &relay->gate.fair, told, EEL_CROWDING_TOLD_MAX, eel_clock_us ());

  for (uint32_t i = 0; i < count; i++)
    record (relay, service, &told[i]);
}

double
eel_sharing_refused_share (const struct eel_relay *relay,
                           const struct eel_relay_call *call)
{
  return call->team_id == EEL_NO_TEAM
             ? 0
             : eel_crowding_refused_share (&relay->crowding, call->service,
                                           call->team_id, call->rank,
                                           eel_clock_us ());
}

/* The same for all repeats of a request on one connection. */
static uint64_t
repeat_key (const struct eel_entry *entry)
{
  const char *target = eel_head_target (&entry->exchange->request);

  return eel_hash64 (target, strlen (target),
                     entry->call.team_id
                         + (uint64_t)(uintptr_t)entry->exchange->conn);
}

/* Repeats of a request get the same draw for a while, so that a caller gains
   nothing by coming back at once. */
static struct eel_rng
draw_for (const struct eel_entry *entry)
{
  uint64_t seed = repeat_key (entry);
  int64_t phase_us = (int64_t)(seed % (uint64_t)SAME_DRAW_US);
  struct eel_rng draw;

  eel_rng_init (
      &draw, seed + (uint64_t)((entry->arrived_us + phase_us) / SAME_DRAW_US));
  return draw;
}

static void
count (struct eel_entry *entry, enum eel_team_use_kind kind)
{
  eel_team_use_count (&entry->relay->team_use, entry->call.team_id, entry->team,
                      kind);
}

void
eel_sharing_refused (struct eel_entry *entry, int64_t after_us)
{
  struct eel_relay *relay = entry->relay;

  if (!entry->is_excess)
    count (entry, EEL_TEAM_USE_NO_SLOT);
  if (entry->call.team_id != EEL_NO_TEAM && relay->config.fair_teams)
    eel_repeats_refused (&relay->sharing.repeats, repeat_key (entry), after_us,
                         eel_clock_us ());
}

int
eel_sharing_refuses (struct eel_entry *entry)
{
  struct eel_relay *relay = entry->relay;
  const struct eel_relay_call *call = &entry->call;
  struct eel_rng draw;
  double share;

  if (call->team_id == EEL_NO_TEAM || !relay->config.fair_teams)
    return !eel_entry_gate_admit (&relay->entry_gate, call->route, call->rank,
                                  eel_clock_us (), &relay->rng);
  if (eel_repeats_is_early (&relay->sharing.repeats, repeat_key (entry),
                            entry->arrived_us))
    {
      entry->is_excess = 1;
      count (entry, EEL_TEAM_USE_EARLY);
      return 1;
    }
  draw = draw_for (entry);
  share = eel_sharing_refused_share (relay, call);
  if (share > 0 && eel_rng_unit (&draw) < share)
    {
      entry->is_excess = 1;
      eel_metric_add (relay->counters.above_share, 1);
      eel_crowding_count_refused (&relay->crowding, call->service,
                                  call->team_id, call->rank);
      count (entry, EEL_TEAM_USE_ABOVE_SHARE);
      return 1;
    }
  return !eel_entry_gate_admit (&relay->entry_gate, call->route, call->rank,
                                entry->arrived_us, &draw);
}
