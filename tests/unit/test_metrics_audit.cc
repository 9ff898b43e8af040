#include <gtest/gtest.h>
#include <cstdlib>
#include <string>

extern "C"
{
#include "internal/audit.h"
#include "internal/metrics.h"
}

namespace
{

std::string
rendered (const struct eel_metrics *metrics)
{
  size_t bytes = 0;
  char *text = eel_metrics_render (metrics, &bytes);
  std::string out (text, bytes);

  std::free (text);
  return out;
}

std::string
rendered (const struct eel_audit *audit)
{
  size_t bytes = 0;
  char *text = eel_audit_render (audit, 0, &bytes);
  std::string out (text, bytes);

  std::free (text);
  return out;
}

} // namespace

// Guards against output that a Prometheus scraper rejects because the metrics
// of one name are not in one group.
TEST (metrics, text_form)
{
  static struct eel_metrics metrics;

  eel_metrics_init (&metrics);
  eel_metric_add (eel_metrics_get (&metrics, EEL_METRIC_COUNTER, "eel_a_total",
                                   "class=\"lookup\"", "Help a."),
                  3);
  eel_metric_set (
      eel_metrics_get (&metrics, EEL_METRIC_GAUGE, "eel_b", "", "Help b."), 4);
  eel_metric_add (eel_metrics_get (&metrics, EEL_METRIC_COUNTER, "eel_a_total",
                                   "class=\"critical\"", "Help a."),
                  1);
  std::string text = rendered (&metrics);
  EXPECT_EQ (text, "# HELP eel_a_total Help a.\n"
                   "# TYPE eel_a_total counter\n"
                   "eel_a_total{class=\"lookup\"} 3\n"
                   "eel_a_total{class=\"critical\"} 1\n"
                   "# HELP eel_b Help b.\n"
                   "# TYPE eel_b gauge\n"
                   "eel_b{} 4\n");
  eel_metrics_finish (&metrics);
}

// Guards against a latency that is counted in the wrong bucket.
TEST (metrics, histogram_buckets)
{
  static struct eel_metrics metrics;
  struct eel_metric *metric;

  eel_metrics_init (&metrics);
  metric = eel_metrics_get (&metrics, EEL_METRIC_HISTOGRAM, "eel_h", "", "H.");
  eel_metric_observe (metric, 50);
  eel_metric_observe (metric, 51);
  eel_metric_observe (metric, 720);
  eel_metric_observe (metric, INT64_C (60000000));
  EXPECT_EQ (metric->histogram->buckets[0], 1u);
  EXPECT_EQ (metric->histogram->buckets[1], 1u);
  EXPECT_EQ (metric->histogram->buckets[6], 1u);
  EXPECT_EQ (metric->histogram->buckets[EEL_HISTOGRAM_BUCKETS], 1u);
  eel_metrics_finish (&metrics);
}

// Guards against unbounded memory use through untrusted label values.
TEST (metrics, registry_is_bounded)
{
  static struct eel_metrics metrics;

  eel_metrics_init (&metrics);
  for (int i = 0; i < EEL_METRICS_MAX + 5; i++)
    eel_metrics_get (&metrics, EEL_METRIC_COUNTER, "eel_x",
                     ("n=\"" + std::to_string (i) + "\"").c_str (), "X.");
  EXPECT_EQ (metrics.count, (uint32_t)EEL_METRICS_MAX);
  EXPECT_EQ (metrics.refused, 5u);
  eel_metrics_finish (&metrics);
}

// Guards against a full trail that loses its order or its newest entries, and
// against text that makes a JSON line invalid.
TEST (audit, bounded_and_in_order)
{
  struct eel_audit audit;
  struct eel_audit_entry entries[2];

  eel_audit_init (&audit, 9, entries, 2);
  eel_audit_add (&audit, EEL_AUDIT_PRESET, 1000, "0", "5", "platform", "a");
  eel_audit_add (&audit, EEL_AUDIT_MEMBER, 1001, "alive", "dead", "self", "b");
  eel_audit_add (&audit, EEL_AUDIT_DOCUMENT_REFUSED, 1002, "5", "6", "peer 3",
                 "line 2: \"x\\\n");
  EXPECT_EQ (rendered (&audit),
             "{\"node\":9,\"sequence\":1,\"wall_ms\":1001,\"kind\":\"member\","
             "\"before\":\"alive\",\"after\":\"dead\",\"source\":\"self\","
             "\"reason\":\"b\"}\n"
             "{\"node\":9,\"sequence\":2,\"wall_ms\":1002,"
             "\"kind\":\"document_refused\",\"before\":\"5\",\"after\":\"6\","
             "\"source\":\"peer 3\",\"reason\":\"line 2: ?x??\"}\n");
  EXPECT_EQ (audit.dropped, 1u);
}
