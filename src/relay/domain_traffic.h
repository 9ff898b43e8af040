#ifndef EEL_RELAY_DOMAIN_TRAFFIC_H
#define EEL_RELAY_DOMAIN_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/place.h"
#include "internal/metrics.h"

/*
 * Counts what this node sends to other failure domains and gets back, by
 * service and cause, as metrics and as a line every few seconds.  Each exchange
 * is counted once, at the node that opened the connection.
 */

/* Services with counters of their own; the others share one row. */
#define EEL_TRAFFIC_SERVICES_MAX 8

enum eel_traffic_part
{
  EEL_TRAFFIC_REQUEST_HEAD,
  EEL_TRAFFIC_REQUEST_BODY,
  EEL_TRAFFIC_ANSWER_HEAD,
  EEL_TRAFFIC_ANSWER_BODY,
  EEL_TRAFFIC_PART_COUNT
};

struct eel_traffic_row
{
  char service[64];
  struct eel_metric *requests[EEL_LEAVE_CAUSE_COUNT];
  /* Requests among these that the reports of the own domain let expect in time
     at home. */
  struct eel_metric *home_in_time;
  struct eel_metric *bytes[EEL_TRAFFIC_PART_COUNT];
  /* Sum of the requests at the last line. */
  uint64_t logged;
};

/* Requests sent to one domain, and their bytes both ways. */
struct eel_traffic_domain
{
  struct eel_metric *requests;
  struct eel_metric *bytes;
  /* The requests at the last line. */
  uint64_t logged;
};

struct eel_domain_traffic
{
  struct eel_metrics *metrics;
  /* Names by number, or NULL: the numbers are shown. */
  char *const *names;
  struct eel_traffic_row rows[EEL_TRAFFIC_SERVICES_MAX + 1];
  uint32_t count;
  /* By number of the domain; the last one is for those without. */
  struct eel_traffic_domain domains[EEL_DOMAINS_MAX + 1];
  /* Both ways, of messages without a request. */
  struct eel_metric *news_bytes;
  struct eel_metric *reading_bytes;
  int64_t logged_us;
};

void eel_domain_traffic_init (struct eel_domain_traffic *traffic,
                              struct eel_metrics *metrics,
                              char *const *names);
void eel_domain_traffic_request (struct eel_domain_traffic *traffic,
                                 const char *service,
                                 uint8_t domain,
                                 enum eel_leave_cause cause,
                                 int home_in_time);
void eel_domain_traffic_bytes (struct eel_domain_traffic *traffic,
                               const char *service,
                               uint8_t domain,
                               enum eel_traffic_part part,
                               uint64_t bytes);
/* Logs the services that have sent requests since the last line. */
void eel_domain_traffic_tick (struct eel_domain_traffic *traffic,
                              int64_t now_us);

#endif
