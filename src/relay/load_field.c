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
/* Begins the list of waits.  It is a further line of the same field: nodes of
   earlier versions read only the first, and pass neither to callers. */
#define RANK_WAITS "rank_waits_ms"

static void
write_rank_waits (const struct eel_instance_report *endpoint,
                  struct evbuffer *lines)
{
  if (endpoint->rank_wait_count == 0)
    return;
  evbuffer_add_printf (lines, "%s: %s", EEL_RELAY_LOAD, RANK_WAITS);
  for (uint32_t i = 0; i < endpoint->rank_wait_count; i++)
    evbuffer_add_printf (lines, " %u:%" PRIu32,
                         (unsigned)endpoint->rank_waits[i].rank,
                         endpoint->rank_waits[i].wait_ms);
  evbuffer_add_printf (lines, "\r\n");
}

void
eel_load_write (const struct eel_relay_load *load, struct evbuffer *lines)
{
  const struct eel_instance_report *endpoint = &load->endpoint;

  evbuffer_add_printf (
      lines,
      "%s: %u %" PRId64 " %u %" PRIu64 " %u %" PRId64 " %u %" PRIu64
      " %u %" PRId64 " %" PRIu64 " %" PRIu64 "\r\n",
      EEL_RELAY_LOAD, endpoint->use_milli, load->wait_us,
      load->callee_pressure_milli, load->items.revision, endpoint->fault_milli,
      endpoint->hold_us, endpoint->has_limit, endpoint->limit_milli,
      endpoint->speed_milli, endpoint->run_us, load->items.era,
      load->items.version);
  write_rank_waits (endpoint, lines);
}

static const char *
find_rank_waits (const struct eel_head *head)
{
  const size_t bytes = strlen (RANK_WAITS);
  const char *text;

  for (uint32_t n = 1;
       (text = eel_head_get_nth (head, EEL_RELAY_LOAD, n)) != NULL; n++)
    if (strncmp (text, RANK_WAITS, bytes) == 0)
      return text + bytes;
  return NULL;
}

/* Returns 0 when the list is malformed.  What exceeds the table is left out:
   the least important rank kept stands for the rest. */
static int
read_rank_waits (const char *text, struct eel_instance_report *endpoint)
{
  uint32_t count = 0;
  int last = -1;

  while (*text != 0)
    {
      uint32_t rank;
      uint32_t wait_ms;
      int end = 0;

      if (sscanf (text, " %" SCNu32 ":%" SCNu32 "%n", &rank, &wait_ms, &end)
              != 2
          || (int64_t)rank <= last || rank > UINT8_MAX
          || wait_ms > LOAD_TIME_MAX_US / EEL_US_PER_MS)
        return 0;
      if (count < EEL_RANK_WAITS_MAX)
        endpoint->rank_waits[count++]
            = (struct eel_rank_wait){ .rank = (uint8_t)rank,
                                      .wait_ms = wait_ms };
      last = (int)rank;
      text += end;
    }
  endpoint->rank_wait_count = count;
  return 1;
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

/* Nodes of earlier versions end the field after the limit or the time of a run;
   those of later ones may add to it, which is ignored. */
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
                  &load->callee_pressure_milli, &load->items.revision,
                  &endpoint->fault_milli, &endpoint->hold_us, &has_limit,
                  &endpoint->limit_milli, &end, &endpoint->speed_milli,
                  &endpoint->run_us, &end);
  endpoint->has_limit = (uint8_t)has_limit;
  if (count != LOAD_FIELDS && count != LOAD_FIELDS_EARLIER)
    return 0;
  if ((text[end] != 0 && (count != LOAD_FIELDS || text[end] != ' '))
      || !is_possible (load, has_limit))
    return 0;
  if (count == LOAD_FIELDS
      && sscanf (text + end, " %" SCNu64 " %" SCNu64, &load->items.era,
                 &load->items.version)
             != 2)
    load->items.era = 0;
  text = find_rank_waits (head);
  return text == NULL || read_rank_waits (text, endpoint);
}
