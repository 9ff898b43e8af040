#include "eelgrasslatch/rate_limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Requests that may be let through at once, in seconds of the rate. */
#define BURST_S 0.25
/* With a lower rate than this, requests are still sent now and then: their
   answers tell when the limit has ended. */
#define PROBE_PER_S 0.25
#define RECENT_S 1.0

void
eel_rate_limit_init (struct eel_rate_limit *limit)
{
  *limit = (struct eel_rate_limit){ .per_s = EEL_RATE_UNLIMITED };
}

static int
is_limited (const struct eel_rate_limit *limit)
{
  return limit->per_s >= 0;
}

static double
effective_per_s (const struct eel_rate_limit *limit)
{
  return fmax (limit->per_s, PROBE_PER_S);
}

static double
elapsed_s (const struct eel_rate_limit *limit, int64_t now_us)
{
  return now_us <= limit->updated_us
             ? 0
             : (double)(now_us - limit->updated_us) / EEL_US_PER_S;
}

static double
tokens_at (const struct eel_rate_limit *limit, int64_t now_us)
{
  double per_s = effective_per_s (limit);

  return fmin (limit->tokens + elapsed_s (limit, now_us) * per_s,
               fmax (1, per_s * BURST_S));
}

static double
recent_at (const struct eel_rate_limit *limit, int64_t now_us)
{
  return limit->recent * exp (-elapsed_s (limit, now_us) / RECENT_S);
}

static void
advance (struct eel_rate_limit *limit, int64_t now_us)
{
  limit->tokens = is_limited (limit) ? tokens_at (limit, now_us) : 1;
  limit->recent = recent_at (limit, now_us);
  limit->updated_us = now_us;
}

void
eel_rate_limit_set (struct eel_rate_limit *limit, double per_s, int64_t now_us)
{
  advance (limit, now_us);
  limit->per_s = per_s;
}

int
eel_rate_limit_take (struct eel_rate_limit *limit, int64_t now_us)
{
  advance (limit, now_us);
  if (is_limited (limit) && limit->tokens < 1)
    return 0;
  limit->tokens -= 1;
  limit->recent += 1;
  return 1;
}

int64_t
eel_rate_limit_wait_us (const struct eel_rate_limit *limit,
                        uint32_t ahead,
                        int64_t now_us)
{
  double missing;

  if (!is_limited (limit))
    return 0;
  missing = 1 + ahead - tokens_at (limit, now_us);
  return missing <= 0
             ? 0
             : (int64_t)ceil (missing / effective_per_s (limit) * EEL_US_PER_S);
}

uint32_t
eel_rate_limit_use_milli (const struct eel_rate_limit *limit,
                          uint32_t waiting,
                          int64_t now_us)
{
  if (!is_limited (limit))
    return 0;
  return (uint32_t)(1000 * (recent_at (limit, now_us) + waiting)
                    / (effective_per_s (limit) * RECENT_S));
}

int
eel_rate_limit_parse (const char *text, double *per_s)
{
  size_t bytes = strspn (text, "0123456789.");
  size_t end = bytes + strspn (text + bytes, " \t");
  const char *point = strchr (text, '.');

  if (text[end] != 0 || strspn (text, ".") == bytes
      || (point != NULL && strchr (point + 1, '.') != NULL))
    return 0;
  *per_s = fmin (strtod (text, NULL), EEL_RATE_MAX);
  return 1;
}
