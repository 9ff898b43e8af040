#ifndef EEL_INTERNAL_METRICS_H
#define EEL_INTERNAL_METRICS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Counters, gauges and latency histograms with fixed buckets, rendered in the
 * Prometheus text format.  A registry must be used by one thread only.
 */

#define EEL_METRICS_MAX 256
#define EEL_METRIC_NAME_MAX 64
#define EEL_METRIC_LABELS_MAX 96
#define EEL_HISTOGRAM_BUCKETS 24

enum eel_metric_kind
{
  EEL_METRIC_COUNTER,
  EEL_METRIC_GAUGE,
  EEL_METRIC_HISTOGRAM
};

struct eel_histogram
{
  uint64_t buckets[EEL_HISTOGRAM_BUCKETS + 1];
  uint64_t count;
  uint64_t sum_us;
};

struct eel_metric
{
  enum eel_metric_kind kind;
  char name[EEL_METRIC_NAME_MAX];
  /* Without braces, e.g. class="lookup"; empty for none. */
  char labels[EEL_METRIC_LABELS_MAX];
  const char *help;
  uint64_t value;
  struct eel_histogram *histogram;
};

struct eel_metrics
{
  struct eel_metric items[EEL_METRICS_MAX];
  uint32_t count;
  /* Registrations refused because the registry was full. */
  uint64_t refused;
};

void eel_metrics_init (struct eel_metrics *metrics);
void eel_metrics_finish (struct eel_metrics *metrics);
/* Returns the metric of that name and labels; registers it when missing. */
struct eel_metric *eel_metrics_get (struct eel_metrics *metrics,
                                    enum eel_metric_kind kind,
                                    const char *name,
                                    const char *labels,
                                    const char *help);
void eel_metric_add (struct eel_metric *metric, uint64_t by);
void eel_metric_set (struct eel_metric *metric, uint64_t value);
void eel_metric_observe (struct eel_metric *metric, int64_t latency_us);
/* Upper bounds of the buckets in microseconds. */
int64_t eel_histogram_bound_us (uint32_t bucket);
/* Returns text from malloc, or NULL if out of memory. */
char *eel_metrics_render (const struct eel_metrics *metrics, size_t *bytes);

#endif
