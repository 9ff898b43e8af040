#include "internal/task.h"

#include <time.h>

/* CLOCK_BOOTTIME advances while the VM is suspended. */
int64_t
eel_clock_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * EEL_US_PER_S + now.tv_nsec / 1000;
}

/* Milliseconds since the Unix epoch. */
int64_t
eel_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}
