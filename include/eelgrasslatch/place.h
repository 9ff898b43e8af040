#ifndef EELGRASSLATCH_PLACE_H
#define EELGRASSLATCH_PLACE_H

#include <stdint.h>

#include "eelgrasslatch/directory.h"
#include "eelgrasslatch/rng.h"

/*
 * Picks an endpoint for one request among those that a directory lists.
 *
 * Made for loads in which the own failure domain mostly has room and traffic
 * to other domains is expensive: picks the least used endpoint of the own
 * domain until all of them are nearly full, then the least used of all.  An
 * endpoint that fails more of its runs than the soundest of its service, or is
 * several times slower than the fastest, gets requests only when the others of
 * all domains are much busier, and is tried again from time to time.  One that
 * nobody has reported on counts as used like the others, so that it gets its
 * first requests.
 *
 * By expected end of the run (finish.h) the order within the own domain, and
 * that among all endpoints beyond it, is that of the expected ends.
 */

/* Use of the limit, in thousandths, above which requests leave the domain. */
#define EEL_PLACE_SPILL_MILLI 900

struct eel_place_query
{
  uint32_t service;
  /* Ids of the endpoints that this request has tried. */
  const char *const *tried;
  uint32_t tried_count;
  /* Compare endpoints by the expected end of the run instead of their use. */
  uint8_t by_finish;
  uint64_t route;
};

/* Returns the endpoint to try next, or NULL when none is left. */
struct eel_instance *eel_place_pick (struct eel_directory *directory,
                                     const struct eel_place_query *query,
                                     int64_t now_us,
                                     struct eel_rng *rng);
/* Returns the same endpoint at all senders that know the same ones, or NULL. */
struct eel_instance *eel_place_pick_for (struct eel_directory *directory,
                                         const struct eel_place_query *query,
                                         uint64_t fingerprint,
                                         int64_t now_us);
void eel_place_sent (struct eel_instance *instance);
void eel_place_answered (struct eel_instance *instance,
                         const struct eel_instance_report *report,
                         int64_t now_us);
void eel_place_shed (struct eel_instance *instance);
/* The node or its endpoint was unreachable, or the connection was lost. */
void eel_place_failed (struct eel_instance *instance, int64_t now_us);
/* The endpoint's node accepted a request counted by eel_place_sent. */
void eel_place_accepted (struct eel_instance *instance);
/* Ends a request counted by eel_place_sent. */
void eel_place_done (struct eel_instance *instance, int accepted);

#endif
