#ifndef EELGRASSLATCH_RATE_LIMIT_H
#define EELGRASSLATCH_RATE_LIMIT_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * Keeps the requests that an endpoint gets within the rate that it names
 * itself, by a token bucket.
 *
 * All requests for an endpoint pass the node beside it, so one bucket holds for
 * all senders together, whoever joins, leaves or restarts.  In any T seconds at
 * most T times the rate, and a quarter of a second's worth more, are let
 * through.
 */

/* No limit is in force. */
#define EEL_RATE_UNLIMITED (-1.0)
/* Greatest rate that is told apart from others, in requests a second. */
#define EEL_RATE_MAX 1e9

struct eel_rate_limit
{
  /* Requests a second, or EEL_RATE_UNLIMITED. */
  double per_s;
  double tokens;
  /* Requests let through, decaying over a second. */
  double recent;
  int64_t updated_us;
};

void eel_rate_limit_init (struct eel_rate_limit *limit);
/* Sets the rate; EEL_RATE_UNLIMITED lifts the limit. */
void
eel_rate_limit_set (struct eel_rate_limit *limit, double per_s, int64_t now_us);
/* Lets one request through and returns 1, or returns 0. */
int eel_rate_limit_take (struct eel_rate_limit *limit, int64_t now_us);
/* Time until a request with so many ahead of it can be let through. */
int64_t eel_rate_limit_wait_us (const struct eel_rate_limit *limit,
                                uint32_t ahead,
                                int64_t now_us);
/* Use of the rate in thousandths, with so many requests waiting; 0 without a
   limit. */
uint32_t eel_rate_limit_use_milli (const struct eel_rate_limit *limit,
                                   uint32_t waiting,
                                   int64_t now_us);
/* Reads a decimal number of requests a second; 0 when it is none, or negative.
   A greater one than EEL_RATE_MAX is read as that. */
int eel_rate_limit_parse (const char *text, double *per_s);

#endif
