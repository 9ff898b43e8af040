#include "relay/load_field.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Bounds of what a node may report of its endpoint. */
#define USE_MAX_MILLI 1000000
#define LOAD_TIME_MAX_US (3600 * EEL_US_PER_S)
#define SPEED_MAX_MILLI 100000
/* Numbers in the field, and in that of earlier versions. */
#define LOAD_FIELDS 10
#define LOAD_FIELDS_EARLIER 8

void
eel_load_write (const struct eel_relay_load *load, struct evbuffer *lines)
{
  const struct eel_instance_report *endpoint = &load->endpoint;

  evbuffer_add_printf (lines,
                       "%s: %u %" PRId64 " %u %" PRIu64 " %u %" PRId64
                       " %u %" PRIu64 " %u %" PRId64 "\r\n",
                       EEL_RELAY_LOAD, endpoint->use_milli, load->wait_us,
                       load->callee_pressure_milli, load->revision,
                       endpoint->fault_milli, endpoint->hold_us,
                       endpoint->has_limit, endpoint->limit_milli,
                       endpoint->speed_milli, endpoint->run_us);
}

static int
is_possible (const struct eel_relay_load *load, unsigned has_limit)
{
  const struct eel_instance_report *endpoint = &load->endpoint;

  return has_limit <= 1 && endpoint->speed_milli <= SPEED_MAX_MILLI
         && endpoint->run_us >= 0 && endpoint->run_us <= EEL_RUN_TIMES_MAX_US
         && endpoint->limit_milli <= (uint64_t)(EEL_RATE_MAX * 1000)
         && endpoint->use_milli <= USE_MAX_MILLI
         && endpoint->fault_milli <= 1000 && endpoint->hold_us >= 0
         && endpoint->hold_us <= LOAD_TIME_MAX_US && load->wait_us >= 0
         && load->wait_us <= LOAD_TIME_MAX_US;
}

/* Nodes of earlier versions end the field after the limit; those of later ones
   may add to it, which is ignored. */
int
eel_load_read (const struct eel_head *head, struct eel_relay_load *load)
{
  const char *text = eel_head_get (head, EEL_RELAY_LOAD);
  struct eel_instance_report *endpoint = &load->endpoint;
  unsigned has_limit = 0;
  int end = 0;
  int count;

  memset (load, 0, sizeof *load);
  count = sscanf (text,
                  "%u %" SCNd64 " %u %" SCNu64 " %u %" SCNd64 " %u %" SCNu64
                  "%n %u %" SCNd64 "%n",
                  &endpoint->use_milli, &load->wait_us,
                  &load->callee_pressure_milli, &load->revision,
                  &endpoint->fault_milli, &endpoint->hold_us, &has_limit,
                  &endpoint->limit_milli, &end, &endpoint->speed_milli,
                  &endpoint->run_us, &end);
  endpoint->has_limit = (uint8_t)has_limit;
  if (count != LOAD_FIELDS && count != LOAD_FIELDS_EARLIER)
    return 0;
  return (text[end] == 0 || (count == LOAD_FIELDS && text[end] == ' '))
         && is_possible (load, has_limit);
}
