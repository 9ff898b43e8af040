#ifndef EEL_PRESET_READ_SCHEDULE_H
#define EEL_PRESET_READ_SCHEDULE_H

#include <stdint.h>

#include "eelgrasslatch/rng.h"

/*
 * Schedule of a node's calls to the platform.  It does no I/O; times and
 * randomness are arguments, so that a whole fleet can run in virtual time.
 */

#define EEL_READ_PERIOD_US (60 * INT64_C (1000000))
#define EEL_READ_SPACING_US (5 * INT64_C (1000000))
#define EEL_WATCH_MS 10000

enum eel_read
{
  EEL_READ_NONE,
  EEL_READ_PRESET,
  EEL_READ_VMS,
  EEL_READ_WATCH,
  EEL_READ_COUNT
};

struct eel_read_schedule
{
  uint8_t reader;
  uint8_t in_flight[EEL_READ_COUNT];
  uint8_t has_succeeded[EEL_READ_COUNT];
  uint32_t failures[EEL_READ_COUNT];
  int64_t next_us[EEL_READ_COUNT];
  /* Reads of both kinds start EEL_READ_SPACING_US apart. */
  int64_t earliest_read_us;
  int64_t watch_started_us;
  /* Highest version that the platform has returned. */
  uint64_t version;
};

void eel_read_schedule_init (struct eel_read_schedule *schedule,
                             int64_t now_us,
                             struct eel_rng *rng);
void eel_read_schedule_set_reader (struct eel_read_schedule *schedule,
                                   int reader,
                                   int64_t now_us,
                                   struct eel_rng *rng);
/* Returns a call to make now and marks it as in flight, or EEL_READ_NONE. */
enum eel_read eel_read_schedule_next (struct eel_read_schedule *schedule,
                                      int64_t now_us);
void eel_read_schedule_done (struct eel_read_schedule *schedule,
                             enum eel_read read,
                             int succeeded,
                             int64_t now_us,
                             struct eel_rng *rng);
/* Returns 0 when the version is lower than in an earlier answer. */
int eel_read_schedule_record_version (struct eel_read_schedule *schedule,
                                      uint64_t version);

#endif
