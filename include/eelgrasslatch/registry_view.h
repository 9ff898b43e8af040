#ifndef EELGRASSLATCH_REGISTRY_VIEW_H
#define EELGRASSLATCH_REGISTRY_VIEW_H

#include <stdint.h>

#include "eelgrasslatch/directory.h"

/*
 * What one node knows of the registry behind its directory: whether it is being
 * read, when it was away last, and whether this VM reaches it.  From that the
 * directory decides whether an entry that goes missing was withdrawn, or has
 * lapsed while its endpoint is alive.
 *
 * An endpoint that is cut off from the registry loses its entry.  Nodes that
 * reach the registry must not use it any more; a node that is cut off too may
 * reach no other one.  A node that reads from a peer does not know which it is,
 * so it asks the registry for one item when it is told of a removal.
 *
 * A peer's word on an outage counts only where this node had no news for as
 * long as entries need to lapse: a peer that has just started, or was cut off
 * alone, knows of outages that were none.
 */

/* A node knows each change within this time and that of a read, whichever other
   nodes are lost: it reads the registry when its sources know nothing newer. */
#define EEL_NEWS_MAX_AGE_US (1500 * EEL_US_PER_MS)
/* A check that is not answered within this time has failed; a slow registry is
   reached too. */
#define EEL_PATH_CHECK_TIMEOUT_MS 1000
/* Pause before a failed check is repeated. */
#define EEL_PATH_CHECK_RETRY_MS 400

struct eel_registry_view
{
  struct eel_directory *directory;
  /* All changes up to this time are known: when the registry last answered this
     node, or the node that told it; 0: there was no news yet. */
  int64_t as_of_us;
  /* The same, proven: no later than when a read was sent whose answer left
     nothing out, plus the time for which the registry had nothing new to tell;
     0: none was. */
  int64_t known_us;
  /* First failed read of the registry in a row; 0: the last one succeeded. */
  int64_t failing_since_us;
  /* When the registry was last known not to be reached; 0: never. */
  int64_t unreached_us;
  /* End of the registry's last outage, without those that only this VM saw. */
  int64_t stable_since_us;

  /* The path of this VM: last answer of the registry to this node. */
  int64_t confirmed_us;
  uint8_t check_pending;
  uint8_t path_lost;
};

void eel_registry_view_init (struct eel_registry_view *view,
                             struct eel_directory *directory);
/* A read of the registry failed that was sent at sent_us; unanswered: it may
   have been lost when it was sent.  Returns 1 for the first one in a row. */
int eel_registry_view_read_failed (struct eel_registry_view *view,
                                   int64_t sent_us,
                                   int unanswered,
                                   int64_t now_us);
/* The registry answered a read.  Call both before its items are applied. */
void eel_registry_view_read_registry (struct eel_registry_view *view,
                                      int64_t now_us);
/* A peer answered a read, with what it knew age_us ago; stable_us: for how long
   the registry has been without an outage, as far as it knows. */
void eel_registry_view_read_peer (struct eel_registry_view *view,
                                  int64_t stable_us,
                                  int64_t age_us,
                                  int64_t now_us);
/* The registry came back from a copy at that time: entries that it lacks may
   have been lost with it. */
void eel_registry_view_era_began (struct eel_registry_view *view,
                                  int64_t since_us);
/*
 * The items include all changes up to when a read was sent to the registry, and
 * those of held_us after that.  Call it when they are applied, and never for a
 * read that may be stale.
 */
void eel_registry_view_known (struct eel_registry_view *view,
                              int64_t sent_us,
                              int64_t held_us,
                              int64_t now_us);
/* The same for a peer's answer, which told that its items were known age_us
   before, after it had held the read for held_us. */
void eel_registry_view_known_by_peer (struct eel_registry_view *view,
                                      int64_t sent_us,
                                      int64_t held_us,
                                      int64_t age_us,
                                      int64_t now_us);
/* Time since all changes were provably known; INT64_MAX: they never were. */
int64_t eel_registry_view_known_age_us (const struct eel_registry_view *view,
                                        int64_t now_us);
/* Time until the news are so old that they have to come from the registry
   itself; 0 or less: they are. */
int64_t eel_registry_view_fresh_for_us (const struct eel_registry_view *view,
                                        int64_t now_us);
/* Call it when the items of a peer have been applied.  Returns 1 when the
   registry has to be asked whether it is reached: the check is then pending. */
int eel_registry_view_applied (struct eel_registry_view *view, int64_t now_us);
/* Begins a check; 0 when one is pending. */
int eel_registry_view_begin_check (struct eel_registry_view *view);
/* The registry answered a check.  Returns the number of entries that were
   removed for it. */
uint32_t eel_registry_view_check_answered (struct eel_registry_view *view,
                                           int64_t now_us);
/* No answer came to a check sent at that time; it has to be repeated.  Returns
   1 when the path was not known to be lost. */
int eel_registry_view_check_failed (struct eel_registry_view *view,
                                    int64_t sent_us,
                                    int64_t now_us);
/* Call it several times a second. */
void eel_registry_view_tick (struct eel_registry_view *view, int64_t now_us);
/* True when reads of the registry have failed for longer than a time. */
int eel_registry_view_is_failing (const struct eel_registry_view *view,
                                  int64_t for_us,
                                  int64_t now_us);

#endif
