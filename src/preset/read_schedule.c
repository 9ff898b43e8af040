#include "preset/read_schedule.h"

#include <string.h>

#define SECOND INT64_C (1000000)

/*
 * More than EEL_READ_SPACING_US: when all nodes are isolated and hold a watch
 * while the document changes all the time, watches make 350 calls/s and leave
 * room for the VM lists within 500.
 */
#define WATCH_SPACING_US (6 * SECOND)

/* Periods between two reads of the VM list by a node that is no reader. */
#define VMS_PERIODS 4

#define BACK_OFF_MAX_US (60 * SECOND)

static int64_t
spread (struct eel_rng *rng, int64_t from_us, int64_t width_us)
{
  return from_us + (int64_t)(eel_rng_unit (rng) * (double)width_us);
}

/*
 * The first read comes within 5 s, so that 2,100 nodes that start together
 * make 420 calls/s; the VM list is not urgent and is spread over a period.
 */
void
eel_read_schedule_init (struct eel_read_schedule *schedule,
                        int64_t now_us,
                        struct eel_rng *rng)
{
  memset (schedule, 0, sizeof *schedule);
  schedule->next_us[EEL_READ_PRESET]
      = spread (rng, now_us, EEL_READ_SPACING_US);
  schedule->next_us[EEL_READ_VMS]
      = spread (rng, now_us + 2 * EEL_READ_SPACING_US,
                EEL_READ_PERIOD_US - 2 * EEL_READ_SPACING_US);
}

/*
 * A new reader waits 5 to 11 s: a node that has just started knows nobody and
 * takes itself for a reader, as all do when the whole fleet restarts.
 */
void
eel_read_schedule_set_reader (struct eel_read_schedule *schedule,
                              int reader,
                              int64_t now_us,
                              struct eel_rng *rng)
{
  int64_t start_us
      = spread (rng, now_us + EEL_READ_SPACING_US, WATCH_SPACING_US);

  if (reader && !schedule->reader
      && schedule->next_us[EEL_READ_WATCH] < start_us)
    schedule->next_us[EEL_READ_WATCH] = start_us;
  schedule->reader = reader != 0;
}

static int
due (const struct eel_read_schedule *schedule,
     enum eel_read read,
     int64_t now_us)
{
  return !schedule->in_flight[read] && now_us >= schedule->next_us[read];
}

/*
 * While the platform fails, only reads try it; a watch would double the calls
 * of the back-off.
 */
static int
watch_due (const struct eel_read_schedule *schedule, int64_t now_us)
{
  return schedule->reader && schedule->version > 0
         && schedule->failures[EEL_READ_PRESET] == 0
         && schedule->failures[EEL_READ_WATCH] == 0
         && due (schedule, EEL_READ_WATCH, now_us);
}

/* A watch that is pending stands for the read of the document. */
enum eel_read
eel_read_schedule_next (struct eel_read_schedule *schedule, int64_t now_us)
{
  enum eel_read read = EEL_READ_NONE;

  if (watch_due (schedule, now_us))
    read = EEL_READ_WATCH;
  else if (now_us < schedule->spacing_us || schedule->in_flight[EEL_READ_PRESET]
           || schedule->in_flight[EEL_READ_VMS])
    return EEL_READ_NONE;
  else if (!schedule->in_flight[EEL_READ_WATCH]
           && due (schedule, EEL_READ_PRESET, now_us))
    read = EEL_READ_PRESET;
  else if (due (schedule, EEL_READ_VMS, now_us))
    read = EEL_READ_VMS;
  if (read == EEL_READ_PRESET || read == EEL_READ_VMS)
    schedule->spacing_us = now_us + EEL_READ_SPACING_US;
  else if (read == EEL_READ_WATCH)
    schedule->watch_started_us = now_us;
  schedule->in_flight[read] = read != EEL_READ_NONE;
  return read;
}

static int64_t
back_off (uint32_t failures, struct eel_rng *rng)
{
  int64_t wait_us = EEL_READ_SPACING_US;

  while (failures-- > 1 && wait_us < BACK_OFF_MAX_US)
    wait_us *= 2;
  if (wait_us > BACK_OFF_MAX_US)
    wait_us = BACK_OFF_MAX_US;
  /* All pending watches of a fleet can fail in one moment. */
  return spread (rng, wait_us, wait_us * 7 / 5);
}

/*
 * Two watches start at least WATCH_SPACING_US apart.  When one has waited
 * longer, a change ended it at the same moment as all others, so the next is
 * spread over that time; a change after that time is still seen at once.
 */
static int64_t
next_watch (const struct eel_read_schedule *schedule,
            int64_t now_us,
            struct eel_rng *rng)
{
  int64_t waited_us = now_us - schedule->watch_started_us;

  if (waited_us < WATCH_SPACING_US)
    return schedule->watch_started_us + WATCH_SPACING_US;
  if (waited_us >= EEL_WATCH_MS * (SECOND / 1000))
    return now_us;
  return spread (rng, now_us, WATCH_SPACING_US);
}

/*
 * Members learn of each other by gossip, so only the readers read the VM list
 * often; the others read it as rarely as a safety net allows.
 */
static int64_t
period (const struct eel_read_schedule *schedule, enum eel_read read)
{
  return read == EEL_READ_VMS && !schedule->reader
             ? EEL_READ_PERIOD_US * VMS_PERIODS
             : EEL_READ_PERIOD_US;
}

/* The first period is wide, so that nodes that started together spread. */
static int64_t
next_period (const struct eel_read_schedule *schedule,
             enum eel_read read,
             int64_t now_us,
             struct eel_rng *rng)
{
  int64_t period_us = period (schedule, read);

  return schedule->successes[read] == 0
             ? spread (rng, now_us + EEL_READ_SPACING_US, period_us)
             : spread (rng, now_us + period_us / 2, period_us);
}

/* Sets when the next call of this kind is due. */
void
eel_read_schedule_done (struct eel_read_schedule *schedule,
                        enum eel_read read,
                        int succeeded,
                        int64_t now_us,
                        struct eel_rng *rng)
{
  /* A failed watch is followed by a read, and that by the next watch. */
  enum eel_read next
      = !succeeded && read == EEL_READ_WATCH ? EEL_READ_PRESET : read;

  schedule->in_flight[read] = 0;
  if (!succeeded)
    {
      schedule->next_us[next]
          = now_us + back_off (++schedule->failures[read], rng);
      return;
    }
  schedule->failures[read] = 0;
  if (read == EEL_READ_WATCH)
    {
      schedule->next_us[read] = next_watch (schedule, now_us, rng);
      schedule->next_us[EEL_READ_PRESET]
          = next_period (schedule, EEL_READ_PRESET, now_us, rng);
    }
  else
    schedule->next_us[read] = next_period (schedule, read, now_us, rng);
  schedule->successes[read] = 1;
  if (read == EEL_READ_PRESET)
    schedule->failures[EEL_READ_WATCH] = 0;
}

/* Notes the version of an answer unless it is lower than an earlier one. */
int
eel_read_schedule_record_version (struct eel_read_schedule *schedule,
                                  uint64_t version)
{
  if (version < schedule->version)
    return 0;
  schedule->version = version;
  return 1;
}
