#include "preset/read_schedule.h"

#include <string.h>

#define US_PER_S INT64_C (1000000)

/*
 * Longer than EEL_READ_SPACING_US: when all nodes are isolated and watch while
 * the document changes continuously, watches make 350 calls/s, which leaves
 * capacity for reads of the VM list within the limit of 500 calls/s.
 */
#define WATCH_SPACING_US (6 * US_PER_S)

/* Periods between two reads of the VM list by a node that is not a reader. */
#define VMS_PERIODS 4

#define BACKOFF_MAX_US (60 * US_PER_S)

static int64_t
uniform_us (struct eel_rng *rng, int64_t from_us, int64_t width_us)
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
      = uniform_us (rng, now_us, EEL_READ_SPACING_US);
  schedule->next_us[EEL_READ_VMS]
      = uniform_us (rng, now_us + 2 * EEL_READ_SPACING_US,
                    EEL_READ_PERIOD_US - 2 * EEL_READ_SPACING_US);
}

/*
 * A new reader waits 5 to 11 s: a node that has just started has no other
 * member in its table and is therefore a reader, as all nodes are when the
 * whole fleet restarts.
 */
void
eel_read_schedule_set_reader (struct eel_read_schedule *schedule,
                              int reader,
                              int64_t now_us,
                              struct eel_rng *rng)
{
  int64_t start_us
      = uniform_us (rng, now_us + EEL_READ_SPACING_US, WATCH_SPACING_US);

  if (reader && !schedule->reader
      && schedule->next_us[EEL_READ_WATCH] < start_us)
    schedule->next_us[EEL_READ_WATCH] = start_us;
  schedule->reader = reader != 0;
}

static int
is_due (const struct eel_read_schedule *schedule,
        enum eel_read read,
        int64_t now_us)
{
  return !schedule->in_flight[read] && now_us >= schedule->next_us[read];
}

/*
 * While calls to the platform fail, only reads retry; watches would double the
 * calls that the backoff allows.
 */
static int
is_watch_due (const struct eel_read_schedule *schedule, int64_t now_us)
{
  return schedule->reader && schedule->version > 0
         && schedule->failures[EEL_READ_PRESET] == 0
         && schedule->failures[EEL_READ_WATCH] == 0
         && is_due (schedule, EEL_READ_WATCH, now_us);
}

/* A pending watch replaces the read of the document. */
enum eel_read
eel_read_schedule_next (struct eel_read_schedule *schedule, int64_t now_us)
{
  enum eel_read read = EEL_READ_NONE;

  if (is_watch_due (schedule, now_us))
    read = EEL_READ_WATCH;
  else if (now_us < schedule->earliest_read_us
           || schedule->in_flight[EEL_READ_PRESET]
           || schedule->in_flight[EEL_READ_VMS])
    return EEL_READ_NONE;
  else if (!schedule->in_flight[EEL_READ_WATCH]
           && is_due (schedule, EEL_READ_PRESET, now_us))
    read = EEL_READ_PRESET;
  else if (is_due (schedule, EEL_READ_VMS, now_us))
    read = EEL_READ_VMS;
  if (read == EEL_READ_PRESET || read == EEL_READ_VMS)
    schedule->earliest_read_us = now_us + EEL_READ_SPACING_US;
  else if (read == EEL_READ_WATCH)
    schedule->watch_started_us = now_us;
  schedule->in_flight[read] = read != EEL_READ_NONE;
  return read;
}

static int64_t
backoff_us (uint32_t failures, struct eel_rng *rng)
{
  int64_t wait_us = EEL_READ_SPACING_US;

  while (failures-- > 1 && wait_us < BACKOFF_MAX_US)
    wait_us *= 2;
  if (wait_us > BACKOFF_MAX_US)
    wait_us = BACKOFF_MAX_US;
  /* Jitter, as all pending watches of a fleet can fail at the same moment. */
  return uniform_us (rng, wait_us, wait_us * 7 / 5);
}

/*
 * Two watches start at least WATCH_SPACING_US apart.  When one was pending for
 * longer, a change ended it at the same moment as all others, so the next is
 * spread over that time; a change after that time is still detected at once.
 * One that reached EEL_WATCH_MS ended without a change and restarts at once.
 */
static int64_t
next_watch_us (const struct eel_read_schedule *schedule,
               int64_t now_us,
               struct eel_rng *rng)
{
  int64_t waited_us = now_us - schedule->watch_started_us;

  if (waited_us < WATCH_SPACING_US)
    return schedule->watch_started_us + WATCH_SPACING_US;
  if (waited_us >= EEL_WATCH_MS * (US_PER_S / 1000))
    return now_us;
  return uniform_us (rng, now_us, WATCH_SPACING_US);
}

/*
 * Membership spreads by gossip, so only readers read the VM list each period.
 * For other nodes it is a fallback, which they read every VMS_PERIODS periods.
 */
static int64_t
read_period_us (const struct eel_read_schedule *schedule, enum eel_read read)
{
  return read == EEL_READ_VMS && !schedule->reader
             ? EEL_READ_PERIOD_US * VMS_PERIODS
             : EEL_READ_PERIOD_US;
}

/*
 * The first delay may be as short as EEL_READ_SPACING_US, which spreads nodes
 * that started together.
 */
static int64_t
next_read_us (const struct eel_read_schedule *schedule,
              enum eel_read read,
              int64_t now_us,
              struct eel_rng *rng)
{
  int64_t period_us = read_period_us (schedule, read);

  return schedule->has_succeeded[read] == 0
             ? uniform_us (rng, now_us + EEL_READ_SPACING_US, period_us)
             : uniform_us (rng, now_us + period_us / 2, period_us);
}

/* Schedules the next call of this kind. */
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
          = now_us + backoff_us (++schedule->failures[read], rng);
      return;
    }
  schedule->failures[read] = 0;
  if (read == EEL_READ_WATCH)
    {
      schedule->next_us[read] = next_watch_us (schedule, now_us, rng);
      schedule->next_us[EEL_READ_PRESET]
          = next_read_us (schedule, EEL_READ_PRESET, now_us, rng);
    }
  else
    schedule->next_us[read] = next_read_us (schedule, read, now_us, rng);
  schedule->has_succeeded[read] = 1;
  if (read == EEL_READ_PRESET)
    schedule->failures[EEL_READ_WATCH] = 0;
}

/* Records the version of an answer unless it is lower than before. */
int
eel_read_schedule_record_version (struct eel_read_schedule *schedule,
                                  uint64_t version)
{
  if (version < schedule->version)
    return 0;
  schedule->version = version;
  return 1;
}
