#include "internal/metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
render_header (FILE *out, const struct eel_metrics *metrics, uint32_t index)
{
  static const char *const kinds[] = { "counter", "gauge", "histogram" };
  const struct eel_metric *metric = &metrics->items[index];

  /* The format has one HELP and one TYPE line per name, not per label set. */
  for (uint32_t i = 0; i < index; i++)
    if (strcmp (metrics->items[i].name, metric->name) == 0)
      return;
  fprintf (out, "# HELP %s %s\n# TYPE %s %s\n", metric->name, metric->help,
           metric->name, kinds[metric->kind]);
}

static void
render_histogram (FILE *out, const struct eel_metric *metric)
{
  const struct eel_histogram *histogram = metric->histogram;
  const char *comma = metric->labels[0] == 0 ? "" : ",";
  uint64_t cumulative = 0;

  for (uint32_t i = 0; i < EEL_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += histogram->buckets[i];
      fprintf (out, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n", metric->name,
               metric->labels, comma, (double)eel_histogram_bound_us (i) / 1e6,
               cumulative);
    }
  fprintf (out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", metric->name,
           metric->labels, comma, histogram->count);
  fprintf (out, "%s_sum{%s} %g\n%s_count{%s} %" PRIu64 "\n", metric->name,
           metric->labels, (double)histogram->sum_us / 1e6, metric->name,
           metric->labels, histogram->count);
}

static void
render_all (FILE *out, const struct eel_metrics *metrics)
{
  /* The format requires all metrics of one name in one group. */
  for (uint32_t i = 0; i < metrics->count; i++)
    {
      const char *name = metrics->items[i].name;
      uint32_t first = 0;

      while (strcmp (metrics->items[first].name, name) != 0)
        first++;
      if (first != i)
        continue;
      render_header (out, metrics, i);
      for (uint32_t j = i; j < metrics->count; j++)
        {
          const struct eel_metric *metric = &metrics->items[j];

          if (strcmp (metric->name, name) != 0)
            continue;
          if (metric->kind == EEL_METRIC_HISTOGRAM)
            render_histogram (out, metric);
          else
            fprintf (out, "%s{%s} %" PRIu64 "\n", metric->name, metric->labels,
                     metric->value);
        }
    }
}

/* Renders the registry in the Prometheus text exposition format 0.0.4. */
char *
eel_metrics_render (const struct eel_metrics *metrics, size_t *bytes)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, bytes);

  if (out == NULL)
    return NULL;
  render_all (out, metrics);
  if (fclose (out) == 0)
    return text;
  free (text);
  return NULL;
}
