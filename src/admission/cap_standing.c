#include "eelgrasslatch/cap_standing.h"

/* Returns the standing of the node beside an endpoint.  A draining endpoint's
   node serves callers until it stops. */
enum eel_cap_standing
eel_cap_standing_of (const struct eel_instance *instance, int64_t now_us)
{
  int64_t lapsed_us = now_us - instance->lapsed_us;

  switch (instance->state)
    {
    case EEL_INSTANCE_READY:
    case EEL_INSTANCE_DRAINING:
      return EEL_CAP_LISTED;
    case EEL_INSTANCE_LAPSED:
      return lapsed_us < EEL_CAP_LAPSED_KEPT_US - EEL_CAP_LAPSED_MARGIN_US
                 ? EEL_CAP_LISTED
                 : EEL_CAP_GONE;
    default:
      return instance->lapsed_us != 0 && lapsed_us < EEL_CAP_LAPSED_KEPT_US
                 ? EEL_CAP_LAPSED
                 : EEL_CAP_GONE;
    }
}
