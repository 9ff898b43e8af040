#ifndef EELGRASSLATCH_CRASH_WATCH_H
#define EELGRASSLATCH_CRASH_WATCH_H

#include <stdint.h>

#include "eelgrasslatch/quarantine.h"

/*
 * Finds the requests that crash the endpoint which runs them.
 *
 * Answers the load in which one request comes again and again and takes an
 * endpoint away each time.  A crash is a run that breaks off followed by a
 * connection that the endpoint refuses; what broke off just before was in
 * flight.  A fingerprint of which a request has ended well lately is no
 * suspect, so ordinary requests that crash with an endpoint are never blamed.
 */

#define EEL_CRASH_WATCH_BROKEN_MAX 32
#define EEL_CRASH_WATCH_ENDED_MAX 1024

struct eel_crash_watch_entry
{
  uint64_t fingerprint;
  int64_t at_us;
};

struct eel_crash_watch
{
  /* A ring of runs that broke off. */
  struct eel_crash_watch_entry broken[EEL_CRASH_WATCH_BROKEN_MAX];
  uint32_t next_broken;
  /* By fingerprint; a later one takes the place of an earlier one. */
  struct eel_crash_watch_entry ended[EEL_CRASH_WATCH_ENDED_MAX];
};

void eel_crash_watch_init (struct eel_crash_watch *watch);
/* A run broke off.  A fingerprint of 0 is not known and is left out. */
void eel_crash_watch_interrupted (struct eel_crash_watch *watch,
                                  uint64_t fingerprint,
                                  int64_t now_us);
/* A request ended with an answer of an endpoint. */
void eel_crash_watch_completed (struct eel_crash_watch *watch,
                                uint64_t fingerprint,
                                int64_t now_us);
/* The endpoint refuses connections; returns how many requests are blamed. */
uint32_t eel_crash_watch_endpoint_down (struct eel_crash_watch *watch,
                                        struct eel_quarantine *quarantine,
                                        int64_t now_us);

#endif
