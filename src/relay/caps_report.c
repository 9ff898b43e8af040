#include <inttypes.h>

#include "internal/task.h"
#include "relay/caps.h"
#include "relay/relay.h"

/* A team is limited until no request of it was refused for so long. */
#define LIMIT_END_US (5 * EEL_US_PER_S)
/* Changes of the share that are told. */
#define SHARE_CHANGE_MILLI 100
#define REPORT_INTERVAL_US (1 * EEL_US_PER_S)

void
eel_caps_init_counters (struct eel_caps *caps, struct eel_metrics *metrics)
{
  struct eel_caps_counters *counters = &caps->counters;

#define METRIC(field, kind, name, help)                                        \
  counters->field = eel_metrics_get (metrics, kind, name, "", help)
  METRIC (refused, EEL_METRIC_COUNTER, "eel_caps_refused_total",
          "Requests over the cap of their team.");
  METRIC (unknown, EEL_METRIC_COUNTER, "eel_caps_unknown_total",
          "Requests refused because no holder answered.");
  METRIC (waiting, EEL_METRIC_GAUGE, "eel_caps_waiting",
          "Requests that wait for a token.");
  METRIC (messages, EEL_METRIC_COUNTER, "eel_caps_messages_total",
          "Messages about caps sent to other nodes.");
  METRIC (bytes, EEL_METRIC_COUNTER, "eel_caps_sent_bytes_total",
          "Bytes of these messages.");
  METRIC (dropped, EEL_METRIC_COUNTER, "eel_caps_dropped_total",
          "Messages about caps that were invalid or could not be sent.");
  METRIC (holders_lost, EEL_METRIC_COUNTER, "eel_caps_holders_lost_total",
          "Holders that did not answer.");
  METRIC (granted, EEL_METRIC_COUNTER, "eel_caps_granted_total",
          "Tokens granted by this node.");
  METRIC (share, EEL_METRIC_GAUGE, "eel_caps_heard_milli",
          "Share of nodes that ask this one, in thousandths.");
  METRIC (lapsed, EEL_METRIC_GAUGE, "eel_caps_lapsed_nodes",
          "Nodes that count although their entries have lapsed.");
#undef METRIC
}

static const char *
team_name (const struct eel_caps *caps, uint64_t id)
{
  const struct eel_team *team
      = caps->relay->teams == NULL
            ? NULL
            : eel_team_table_find (caps->relay->teams, id);

  return team != NULL ? team->name : "-";
}

void
eel_caps_count_refused (struct eel_caps *caps,
                        uint64_t team,
                        int64_t wait_us,
                        int64_t now_us)
{
  struct eel_caps_limited *unused = NULL;

  eel_metric_add (caps->counters.refused, 1);
  for (uint32_t i = 0; i < EEL_CAPS_LIMITED_MAX; i++)
    {
      struct eel_caps_limited *limited = &caps->limited[i];

      if (limited->team == team)
        {
          limited->refused++;
          limited->last_us = now_us;
          return;
        }
      if (limited->team == EEL_NO_TEAM && unused == NULL)
        unused = limited;
    }
  if (unused == NULL)
    return;
  *unused = (struct eel_caps_limited){
    .team = team, .since_us = now_us, .last_us = now_us, .refused = 1
  };
  g_message ("event=team_limited team=%s wait_ms=%" PRId64,
             EEL_LOG_TEXT (team_name (caps, team)), wait_us / EEL_US_PER_MS);
}

static void
report_limited (struct eel_caps *caps, int64_t now_us)
{
  for (uint32_t i = 0; i < EEL_CAPS_LIMITED_MAX; i++)
    {
      struct eel_caps_limited *limited = &caps->limited[i];

      if (limited->team == EEL_NO_TEAM
          || now_us - limited->last_us < LIMIT_END_US)
        continue;
      g_message ("event=team_limit_ended team=%s refused=%" PRIu64
                 " after_ms=%" PRId64,
                 EEL_LOG_TEXT (team_name (caps, limited->team)),
                 limited->refused,
                 (limited->last_us - limited->since_us) / EEL_US_PER_MS);
      *limited = (struct eel_caps_limited){ .team = EEL_NO_TEAM };
    }
}

/* Tells how much of the caps this node holds, while it holds any. */
static void
report_share (struct eel_caps *caps)
{
  uint32_t milli = (uint32_t)(caps->holder.groups[0].share * 1000);
  uint32_t told = caps->share_told_milli;
  uint32_t change = milli > told ? milli - told : told - milli;

  if (change < SHARE_CHANGE_MILLI && (milli == 0) == (told == 0))
    return;
  caps->share_told_milli = milli;
  g_message ("event=caps_share group=0 milli=%u was=%u nodes=%u listed=%u",
             milli, told, caps->view.count, caps->view.listed_count);
}

void
eel_caps_report (struct eel_caps *caps, int64_t now_us)
{
  if (caps == NULL || now_us - caps->reported_us < REPORT_INTERVAL_US)
    return;
  caps->reported_us = now_us;
  report_limited (caps, now_us);
  report_share (caps);
  eel_caps_review_nodes (caps);
  eel_metric_set (caps->counters.waiting, caps->waiting.length);
  eel_metric_set (caps->counters.holders_lost, caps->cap.holders_lost);
  eel_metric_set (caps->counters.granted, caps->holder.granted);
  eel_metric_set (caps->counters.share,
                  (uint64_t)(caps->holder.groups[0].share * 1000));
}
