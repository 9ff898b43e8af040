#ifndef EELGRASSLATCH_CRASH_WATCH_H
#define EELGRASSLATCH_CRASH_WATCH_H

#include <stdint.h>

#include "eelgrasslatch/quarantine.h"
#include "eelgrasslatch/rng.h"

/*
 * Finds the requests that crash the endpoint that runs them.
 *
 * Made for loads in which one request is sent repeatedly and crashes an
 * endpoint each time.  A crash shows as an interrupted run, one whose
 * connection fails between the request and the end of the answer, followed by
 * a refused connection to the endpoint; the runs interrupted shortly before
 * were in flight.  A run that was given up may go on at the endpoint for a
 * while and counts as well.  A fingerprint of which a request completed
 * recently is not reported, so that ordinary requests in flight at a crash do
 * not become suspects.
 */

/* More than the slots of an endpoint. */
#define EEL_CRASH_WATCH_RUNS_MAX 512
#define EEL_CRASH_WATCH_COMPLETED_MAX 4096

/* A run that ended without an answer. */
struct eel_crash_watch_run
{
  uint64_t fingerprint;
  int64_t started_us;
  /* Until then it counts as in flight at a crash. */
  int64_t expires_us;
};

struct eel_crash_watch_completed
{
  uint64_t fingerprint;
  int64_t at_us;
};

struct eel_crash_watch
{
  /* Ring. */
  struct eel_crash_watch_run runs[EEL_CRASH_WATCH_RUNS_MAX];
  uint32_t next_run;
  /* Indexed by fingerprint; a collision overwrites the earlier entry. */
  struct eel_crash_watch_completed completed[EEL_CRASH_WATCH_COMPLETED_MAX];
  /* Source of the ids of crashes, which differ between nodes. */
  struct eel_rng rng;
  /* The last crash, and what was in flight at it. */
  uint32_t crash_id;
  int64_t crashed_us;
  uint64_t suspects[EEL_CRASH_WATCH_RUNS_MAX];
  uint32_t suspect_count;
};

void eel_crash_watch_init (struct eel_crash_watch *watch, uint64_t seed);
/* Records an interrupted run.  A fingerprint of 0 is unknown and ignored. */
void eel_crash_watch_interrupted (struct eel_crash_watch *watch,
                                  uint64_t fingerprint,
                                  int64_t started_us,
                                  int64_t now_us);
/* Records a run that was given up, which the endpoint may not notice. */
void eel_crash_watch_given_up (struct eel_crash_watch *watch,
                               uint64_t fingerprint,
                               int64_t started_us,
                               int64_t now_us);
/* Records a run that an endpoint answered. */
void eel_crash_watch_completed (struct eel_crash_watch *watch,
                                uint64_t fingerprint,
                                int64_t now_us);
int eel_crash_watch_completed_recently (const struct eel_crash_watch *watch,
                                        uint64_t fingerprint,
                                        int64_t now_us);
/* True when the last known answer came after that time, however long ago. */
int eel_crash_watch_completed_since (const struct eel_crash_watch *watch,
                                     uint64_t fingerprint,
                                     int64_t since_us);
/*
 * Call when the endpoint refuses a connection; returns the number of runs
 * reported to the quarantine, which are then in suspects.  Runs that started
 * before the last crash was noticed belong to that one.
 */
uint32_t eel_crash_watch_endpoint_down (struct eel_crash_watch *watch,
                                        struct eel_quarantine *quarantine,
                                        int64_t now_us);

#endif
