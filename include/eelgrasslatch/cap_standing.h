#ifndef EELGRASSLATCH_CAP_STANDING_H
#define EELGRASSLATCH_CAP_STANDING_H

#include <stdint.h>

#include "eelgrasslatch/directory.h"

/*
 * Whether the node beside an endpoint counts among those that may admit
 * requests of teams with a cap.  A node whose entry lapses may be alive on the
 * other side of a partition, serve callers there and read the registry: while
 * it can, both sides count it.
 */

/* An entry that has lapsed counts for so long at nodes that hold it to be
   removed, and at those that keep it as lapsed for a margin less: the latter
   may be the node itself, and learn of it late. */
#define EEL_CAP_LAPSED_KEPT_US (600 * EEL_US_PER_S)
#define EEL_CAP_LAPSED_MARGIN_US (60 * EEL_US_PER_S)

enum eel_cap_standing
{
  EEL_CAP_GONE,
  EEL_CAP_LISTED,
  EEL_CAP_LAPSED
};

enum eel_cap_standing eel_cap_standing_of (const struct eel_instance *instance,
                                           int64_t now_us);

#endif
