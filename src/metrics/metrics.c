#include "internal/metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Upper bounds from 50 us to 30 s, each 1.2 to 3 times the one before. */
static const int64_t bounds_us[EEL_HISTOGRAM_BUCKETS] = {
  50,    100,    150,    250,    400,     600,     720,      1000,
  1500,  2500,   4000,   6000,   10000,   15000,   25000,    40000,
  75000, 150000, 300000, 600000, 1500000, 4000000, 10000000, 30000000,
};

void
eel_metrics_init (struct eel_metrics *metrics)
{
  memset (metrics, 0, sizeof *metrics);
}

/* Frees the histograms; metrics of the registry are invalid afterwards. */
void
eel_metrics_finish (struct eel_metrics *metrics)
{
  for (uint32_t i = 0; i < metrics->count; i++)
    free (metrics->items[i].histogram);
  metrics->count = 0;
}

static struct eel_metric *
metrics_find (struct eel_metrics *metrics, const char *name, const char *labels)
{
  for (uint32_t i = 0; i < metrics->count; i++)
    if (strcmp (metrics->items[i].name, name) == 0
        && strcmp (metrics->items[i].labels, labels) == 0)
      return &metrics->items[i];
  return NULL;
}

/*
 * Returns NULL when the registry is full or out of memory; the functions on a
 * metric accept NULL and do nothing.
 */
struct eel_metric *
eel_metrics_get (struct eel_metrics *metrics,
                 enum eel_metric_kind kind,
                 const char *name,
                 const char *labels,
                 const char *help)
{
  struct eel_metric *metric = metrics_find (metrics, name, labels);

  if (metric != NULL)
    return metric;
  if (metrics->count == EEL_METRICS_MAX)
    {
      metrics->refused++;
      return NULL;
    }
  metric = &metrics->items[metrics->count];
  if (kind == EEL_METRIC_HISTOGRAM)
    {
      metric->histogram = calloc (1, sizeof *metric->histogram);
      if (metric->histogram == NULL)
        return NULL;
    }
  metric->kind = kind;
  metric->help = help;
  snprintf (metric->name, sizeof metric->name, "%s", name);
  snprintf (metric->labels, sizeof metric->labels, "%s", labels);
  metrics->count++;
  return metric;
}

void
eel_metric_add (struct eel_metric *metric, uint64_t by)
{
  if (metric != NULL)
    metric->value += by;
}

/* Sets a gauge, or a counter whose total is kept elsewhere. */
void
eel_metric_set (struct eel_metric *metric, uint64_t value)
{
  if (metric != NULL)
    metric->value = value;
}

/* A negative latency counts as 0. */
void
eel_metric_observe (struct eel_metric *metric, int64_t latency_us)
{
  uint32_t bucket = 0;

  if (metric == NULL || metric->histogram == NULL)
    return;
  if (latency_us < 0)
    latency_us = 0;
  while (bucket < EEL_HISTOGRAM_BUCKETS && latency_us > bounds_us[bucket])
    bucket++;
  metric->histogram->buckets[bucket]++;
  metric->histogram->count++;
  metric->histogram->sum_us += (uint64_t)latency_us;
}

/* Returns INT64_MAX for the last bucket, which has no upper bound. */
int64_t
eel_histogram_bound_us (uint32_t bucket)
{
  return bucket < EEL_HISTOGRAM_BUCKETS ? bounds_us[bucket] : INT64_MAX;
}
