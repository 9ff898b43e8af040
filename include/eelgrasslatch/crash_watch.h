#ifndef EELGRASSLATCH_CRASH_WATCH_H
#define EELGRASSLATCH_CRASH_WATCH_H

#include <stdint.h>

#include "eelgrasslatch/quarantine.h"

/*
 * Finds the requests that crash the endpoint that runs them.
 *
 * Made for loads in which one request is sent repeatedly and crashes an
 * endpoint each time.  A crash shows as an interrupted run, one whose
 * connection fails between the request and the end of the answer, followed by
 * a refused connection to the endpoint; the runs interrupted shortly before
 * were in flight.  A fingerprint of which a request completed recently is not
 * reported, so that ordinary requests in flight at a crash do not become
 * suspects.
 */

#define EEL_CRASH_WATCH_INTERRUPTED_MAX 32
#define EEL_CRASH_WATCH_COMPLETED_MAX 1024

struct eel_crash_watch_entry
{
  uint64_t fingerprint;
  int64_t at_us;
};

struct eel_crash_watch
{
  /* Ring of interrupted runs. */
  struct eel_crash_watch_entry interrupted[EEL_CRASH_WATCH_INTERRUPTED_MAX];
  uint32_t next_interrupted;
  /* Indexed by fingerprint; a collision overwrites the earlier entry. */
  struct eel_crash_watch_entry completed[EEL_CRASH_WATCH_COMPLETED_MAX];
};

void eel_crash_watch_init (struct eel_crash_watch *watch);
/* Records an interrupted run.  A fingerprint of 0 is unknown and ignored. */
void eel_crash_watch_interrupted (struct eel_crash_watch *watch,
                                  uint64_t fingerprint,
                                  int64_t now_us);
/* Records a run that an endpoint answered. */
void eel_crash_watch_completed (struct eel_crash_watch *watch,
                                uint64_t fingerprint,
                                int64_t now_us);
/* Call when the endpoint refuses a connection; returns the number of
 * interrupted runs reported to the quarantine. */
uint32_t eel_crash_watch_endpoint_down (struct eel_crash_watch *watch,
                                        struct eel_quarantine *quarantine,
                                        int64_t now_us);

#endif
