#ifndef EELGRASSLATCH_TYPES_H
#define EELGRASSLATCH_TYPES_H

#include <stdint.h>

/*
 * Times are monotonic microseconds (int64_t with suffix _us) of the process
 * that holds them, unless noted otherwise.
 */

#define EEL_US_PER_MS INT64_C (1000)
#define EEL_US_PER_S INT64_C (1000000)

/* Buffer sizes of names in bytes, with the terminating zero. */
#define EEL_SERVICE_MAX 64
#define EEL_CALLER_MAX 64
#define EEL_LABEL_MAX 64
#define EEL_ADDRESS_MAX 64
#define EEL_DOMAIN_MAX 32

/* Classes in the order in which they are served; the last is shed first. */
enum eel_class
{
  EEL_CLASS_CRITICAL,
  EEL_CLASS_LOOKUP,
  EEL_CLASS_BACKGROUND,
  EEL_CLASS_COUNT
};

/* Load of an endpoint as counted by its node, sent with each answer. */
struct eel_load
{
  uint32_t in_flight;
  uint32_t queued;
  uint32_t limit;
  /* This class and those after it are refused; EEL_CLASS_COUNT for none. */
  uint8_t shed_class;
  uint8_t draining;
};

#endif
