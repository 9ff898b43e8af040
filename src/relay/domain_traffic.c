#include "relay/domain_traffic.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "eelgrasslatch/types.h"
#include "internal/log.h"
#include "internal/task.h"

#define LINE_INTERVAL_US (10 * EEL_US_PER_S)
/* Name of the row that services without one share. */
#define OTHERS "-"
/* Others would need escapes in a label or a line. */
#define NAME_CHARACTERS G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "._-"
/* A service in the labels of its metrics, with its escapes. */
#define LABEL_BYTES 64

static const char *const cause_names[EEL_LEAVE_CAUSE_COUNT] = {
  [EEL_LEAVE_NO_ENDPOINT] = "no_endpoint",
  [EEL_LEAVE_TRIED] = "tried",
  [EEL_LEAVE_AVOIDED] = "avoided",
  [EEL_LEAVE_FAULTS] = "faults",
  [EEL_LEAVE_SLOW] = "slow",
  [EEL_LEAVE_SHED] = "shed",
  [EEL_LEAVE_USE] = "use",
};

static const char *const part_names[EEL_TRAFFIC_PART_COUNT] = {
  [EEL_TRAFFIC_REQUEST_HEAD] = "request_head",
  [EEL_TRAFFIC_REQUEST_BODY] = "request_body",
  [EEL_TRAFFIC_ANSWER_HEAD] = "answer_head",
  [EEL_TRAFFIC_ANSWER_BODY] = "answer_body",
};

void
eel_domain_traffic_init (struct eel_domain_traffic *traffic,
                         struct eel_metrics *metrics,
                         char *const *names)
{
  memset (traffic, 0, sizeof *traffic);
  traffic->metrics = metrics;
  traffic->names = names;
  traffic->news_bytes = eel_metrics_get (
      metrics, EEL_METRIC_COUNTER, "eel_domain_other_bytes_total",
      "kind=\"news\"", "Bytes between domains that belong to no request.");
  traffic->reading_bytes = eel_metrics_get (
      metrics, EEL_METRIC_COUNTER, "eel_domain_other_bytes_total",
      "kind=\"reading\"", "Bytes between domains that belong to no request.");
}

/* Writes a name as the value of a label, as far as there is room: quotes and
   backslashes are escaped, control characters replaced. */
static void
write_label (char out[LABEL_BYTES], const char *name)
{
  uint32_t used = 0;

  for (; *name != 0 && used < LABEL_BYTES - 2; name++)
    {
      if (*name == '"' || *name == '\\')
        out[used++] = '\\';
      out[used++] = *name;
      if ((unsigned char)*name < ' ')
        out[used - 1] = '?';
    }
  out[used] = 0;
}

static void
row_init (struct eel_domain_traffic *traffic,
          struct eel_traffic_row *row,
          const char *service)
{
  char labels[EEL_METRIC_LABELS_MAX];
  char label[LABEL_BYTES];

  g_strlcpy (row->service, service, sizeof row->service);
  write_label (label, service);
  for (uint32_t i = 0; i < EEL_LEAVE_CAUSE_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "service=\"%s\",cause=\"%s\"", label,
                cause_names[i]);
      row->requests[i] = eel_metrics_get (traffic->metrics, EEL_METRIC_COUNTER,
                                          "eel_domain_requests_total", labels,
                                          "Requests sent to other domains.");
    }
  for (uint32_t i = 0; i < EEL_TRAFFIC_PART_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "service=\"%s\",part=\"%s\"", label,
                part_names[i]);
      row->bytes[i] = eel_metrics_get (
          traffic->metrics, EEL_METRIC_COUNTER, "eel_domain_bytes_total",
          labels, "Bytes of requests sent to other domains, both ways.");
    }
  snprintf (labels, sizeof labels, "service=\"%s\"", label);
  row->home_in_time = eel_metrics_get (
      traffic->metrics, EEL_METRIC_COUNTER, "eel_domain_home_in_time_total",
      labels, "Requests sent to other domains that home could serve in time.");
}

/* Returns the row of a service; one for all others once the table is full. */
static struct eel_traffic_row *
row_of (struct eel_domain_traffic *traffic, const char *service)
{
  struct eel_traffic_row *row;

  for (uint32_t i = 0; i < traffic->count; i++)
    if (strcmp (traffic->rows[i].service, service) == 0)
      return &traffic->rows[i];
  if (traffic->count > EEL_TRAFFIC_SERVICES_MAX)
    return &traffic->rows[EEL_TRAFFIC_SERVICES_MAX];
  if (traffic->count == EEL_TRAFFIC_SERVICES_MAX)
    {
      g_message ("event=domain_traffic_full services=%u",
                 EEL_TRAFFIC_SERVICES_MAX);
      service = OTHERS;
    }
  row = &traffic->rows[traffic->count++];
  row_init (traffic, row, service);
  return row;
}

/* Writes the name of a domain, or its number where names aren't known. */
static void
domain_name (const struct eel_domain_traffic *traffic,
             uint32_t domain,
             char *name,
             size_t bytes)
{
  if (domain >= EEL_DOMAINS_MAX)
    g_strlcpy (name, OTHERS, bytes);
  else if (traffic->names != NULL && traffic->names[domain] != NULL)
    g_strlcpy (name, traffic->names[domain], bytes);
  else
    snprintf (name, bytes, "%" PRIu32, domain);
  g_strcanon (name, NAME_CHARACTERS, '_');
}

static struct eel_traffic_domain *
domain_of (struct eel_domain_traffic *traffic, uint8_t domain)
{
  uint32_t number = domain < EEL_DOMAINS_MAX ? domain : EEL_DOMAINS_MAX;
  struct eel_traffic_domain *row = &traffic->domains[number];
  char labels[EEL_METRIC_LABELS_MAX];
  char name[64];

  if (row->requests != NULL)
    return row;
  domain_name (traffic, number, name, sizeof name);
  snprintf (labels, sizeof labels, "domain=\"%s\"", name);
  row->requests = eel_metrics_get (traffic->metrics, EEL_METRIC_COUNTER,
                                   "eel_domain_sent_total", labels,
                                   "Requests sent to each other domain.");
  row->bytes = eel_metrics_get (
      traffic->metrics, EEL_METRIC_COUNTER, "eel_domain_sent_bytes_total",
      labels, "Bytes of requests sent to each other domain, both ways.");
  return row;
}

void
eel_domain_traffic_request (struct eel_domain_traffic *traffic,
                            const char *service,
                            uint8_t domain,
                            enum eel_leave_cause cause,
                            int home_in_time)
{
  struct eel_traffic_row *row = row_of (traffic, service);

  eel_metric_add (row->requests[cause], 1);
  eel_metric_add (domain_of (traffic, domain)->requests, 1);
  if (home_in_time)
    eel_metric_add (row->home_in_time, 1);
}

void
eel_domain_traffic_bytes (struct eel_domain_traffic *traffic,
                          const char *service,
                          uint8_t domain,
                          enum eel_traffic_part part,
                          uint64_t bytes)
{
  eel_metric_add (row_of (traffic, service)->bytes[part], bytes);
  eel_metric_add (domain_of (traffic, domain)->bytes, bytes);
}

static uint64_t
value_of (const struct eel_metric *metric)
{
  return metric != NULL ? metric->value : 0;
}

/* Names the counts since the start, without those that are 0. */
static void
log_row (struct eel_traffic_row *row)
{
  GString *text = g_string_new (NULL);
  uint64_t sum = 0;

  for (uint32_t i = 0; i < EEL_LEAVE_CAUSE_COUNT; i++)
    {
      uint64_t value = value_of (row->requests[i]);

      sum += value;
      if (value > 0)
        g_string_append_printf (text, " %s=%" PRIu64, cause_names[i], value);
    }
  for (uint32_t i = 0; i < EEL_TRAFFIC_PART_COUNT; i++)
    g_string_append_printf (text, " %s=%" PRIu64, part_names[i],
                            value_of (row->bytes[i]));
  if (sum != row->logged)
    g_message ("event=domain_traffic service=%s requests=%" PRIu64
               " home_in_time=%" PRIu64 "%s",
               EEL_LOG_TEXT (row->service), sum, value_of (row->home_in_time),
               text->str);
  row->logged = sum;
  g_string_free (text, TRUE);
}

static void
log_domains (struct eel_domain_traffic *traffic)
{
  for (uint32_t i = 0; i <= EEL_DOMAINS_MAX; i++)
    {
      struct eel_traffic_domain *row = &traffic->domains[i];
      uint64_t requests = value_of (row->requests);
      char name[64];

      if (requests == row->logged)
        continue;
      domain_name (traffic, i, name, sizeof name);
      g_message ("event=domain_sent domain=%s requests=%" PRIu64
                 " bytes=%" PRIu64,
                 name, requests, value_of (row->bytes));
      row->logged = requests;
    }
}

void
eel_domain_traffic_tick (struct eel_domain_traffic *traffic, int64_t now_us)
{
  uint64_t news = value_of (traffic->news_bytes);
  uint64_t reading = value_of (traffic->reading_bytes);

  if (now_us < traffic->logged_us + LINE_INTERVAL_US)
    return;
  traffic->logged_us = now_us;
  for (uint32_t i = 0; i < traffic->count; i++)
    log_row (&traffic->rows[i]);
  log_domains (traffic);
  if (news + reading > 0)
    g_message ("event=domain_other_bytes news=%" PRIu64 " reading=%" PRIu64,
               news, reading);
}
