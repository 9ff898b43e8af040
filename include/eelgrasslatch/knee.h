#ifndef EELGRASSLATCH_KNEE_H
#define EELGRASSLATCH_KNEE_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * Learns the number of runs from which more at once at an endpoint bring no
 * more done, and names a limit there.
 *
 * Compares the times of runs that began with more and with fewer others at
 * work, each relative to the usual time of its route, and only among runs that
 * began within the same half second: what slows the endpoint for other causes
 * slows both.  A limit that would get more done than the full one is tried for
 * a quarter of the time, and kept once that bears it out; the full one is then
 * tried from time to time.  No I/O; state of a fixed size; evidence decays
 * within a minute, and gives way to new one within seconds.
 */

/* Numbers of runs are counted in this many equal parts of the full limit. */
#define EEL_KNEE_LEVELS 32
/* Spans of time whose runs may still be under way. */
#define EEL_KNEE_SPANS 6

/* Runs that began in one span, by level. */
struct eel_knee_span
{
  /* Start time in units of spans. */
  int64_t number;
  uint8_t is_trial;
  uint32_t counts[EEL_KNEE_LEVELS + 1];
  float log_sums[EEL_KNEE_LEVELS + 1];
};

/* Weight of comparisons, and the weighted sum of differences of the logarithms
   of times. */
struct eel_knee_evidence
{
  double weight;
  double sum;
};

struct eel_knee
{
  uint32_t full;
  struct eel_knee_span spans[EEL_KNEE_SPANS];
  /* By the level up to which runs are compared with those above it, and the
     part of it from spans in which another limit was tried: there it wasn't the
     load alone that told which runs began among many. */
  struct eel_knee_evidence evidence[EEL_KNEE_LEVELS];
  struct eel_knee_evidence trials[EEL_KNEE_LEVELS];
  /* Newest span whose comparison is counted. */
  int64_t counted;
  /* Over a quarter of the last span's runs began at the full limit. */
  uint8_t is_crowded;
  /* Level of the limit; EEL_KNEE_LEVELS: the full one. */
  uint32_t level;
  /* Level of a limit that may be better; that of the limit: none is known. */
  uint32_t tried;
};

void eel_knee_init (struct eel_knee *knee, uint32_t full);
/* Sets the full limit; another one than before ends what was learned. */
void eel_knee_set_full (struct eel_knee *knee, uint32_t full);
/* A run ended that began as one of running, at started_us, and took ratio times
   as long as is usual for its route. */
void eel_knee_record (struct eel_knee *knee,
                      uint32_t running,
                      int64_t started_us,
                      double ratio,
                      int64_t now_us);
/* Returns the learned limit, at most the full one. */
uint32_t eel_knee_limit (const struct eel_knee *knee);
/* Returns the limit to start runs by now, which may be one that is tried. */
uint32_t eel_knee_start_limit (struct eel_knee *knee, int64_t now_us);

#endif
