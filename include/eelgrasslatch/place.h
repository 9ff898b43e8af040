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

/* Why a request goes to another domain: what kept the best endpoint of the own
   domain from being preferred. */
enum eel_leave_cause
{
  EEL_LEAVE_NO_ENDPOINT,
  /* All of them were tried. */
  EEL_LEAVE_TRIED,
  /* Failed a moment ago. */
  EEL_LEAVE_AVOIDED,
  EEL_LEAVE_FAULTS,
  EEL_LEAVE_SLOW,
  EEL_LEAVE_SHED,
  EEL_LEAVE_USE,
  EEL_LEAVE_CAUSE_COUNT
};

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
/* The same among the endpoints of one domain, or EEL_ANY_DOMAIN. */
struct eel_instance *eel_place_pick_in (struct eel_directory *directory,
                                        const struct eel_place_query *query,
                                        uint8_t domain,
                                        int64_t now_us,
                                        struct eel_rng *rng);
/* Returns the same endpoint at all senders that know the same ones, or NULL. */
struct eel_instance *eel_place_pick_for (struct eel_directory *directory,
                                         const struct eel_place_query *query,
                                         uint64_t fingerprint,
                                         int64_t now_us);
/* What is known of one endpoint of a service. */
struct eel_place_seen
{
  const struct eel_instance *instance;
  uint8_t tried;
  /* It has reported a moment ago, before age_us. */
  uint8_t is_fresh;
  /* What would keep it from being preferred; EEL_LEAVE_USE: only its use. */
  enum eel_leave_cause obstacle;
  /* Expected use of its slots in thousandths. */
  uint32_t use_milli;
  int64_t age_us;
  /* Mean time that a request holds a slot; 0: unknown. */
  int64_t hold_us;
};

/* Expected wait at the endpoint of a request of the rank, or of the next less
   important one that is known; negative: not told. */
int64_t eel_place_rank_wait_us (const struct eel_instance_report *report,
                                uint8_t rank);
/* Calls each for the usable endpoints of the service. */
void eel_place_describe (const struct eel_directory *directory,
                         const struct eel_place_query *query,
                         int64_t now_us,
                         void (*each) (void *data,
                                       const struct eel_place_seen *seen),
                         void *data);
/*
 * Returns why an endpoint of another domain was picked.  Sets home_us to the
 * least time to an answer, queueing included, that the reports let expect of an
 * endpoint of the own domain that was not tried and does not fail; 0: there is
 * none.
 */
enum eel_leave_cause
eel_place_leave_cause (const struct eel_directory *directory,
                       const struct eel_place_query *query,
                       int64_t now_us,
                       int64_t *home_us);
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
