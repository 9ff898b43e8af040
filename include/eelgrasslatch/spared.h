#ifndef EELGRASSLATCH_SPARED_H
#define EELGRASSLATCH_SPARED_H

#include <stdint.h>

#include "eelgrasslatch/directory.h"

/*
 * Which endpoints a sender spares, for operators: those at which a run of some
 * route takes at least twice as long as at the fastest endpoint that is known
 * for the route.  One is no longer spared below one and a half times.
 */

/* Routes that are compared; those found later are left out. */
#define EEL_SPARED_ROUTES_MAX 64

struct eel_spared_change
{
  const struct eel_instance *instance;
  uint64_t route;
  int64_t run_us;
  int64_t fastest_us;
};

/*
 * Brings the endpoints' `spared` up to date, and calls changed for each that
 * differs.  Returns how many are spared.
 */
uint32_t eel_spared_review (
    struct eel_directory *directory,
    int64_t now_us,
    void (*changed) (void *data, const struct eel_spared_change *change),
    void *data);

#endif
