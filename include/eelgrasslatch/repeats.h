#ifndef EELGRASSLATCH_REPEATS_H
#define EELGRASSLATCH_REPEATS_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * Requests refused a moment ago, at the node where they entered.  One that is
 * repeated at once would draw several times among the gates while those that
 * come back as told draw once.
 *
 * Bounded: a request whose place is taken by another is forgotten.
 */

#define EEL_REPEATS_MAX 2048

struct eel_repeat
{
  uint64_t key;
  int64_t until_us;
};

struct eel_repeats
{
  struct eel_repeat entries[EEL_REPEATS_MAX];
};

void eel_repeats_init (struct eel_repeats *repeats);
/* Records that the request was refused and told to come back in after_us. */
void eel_repeats_refused (struct eel_repeats *repeats,
                          uint64_t key,
                          int64_t after_us,
                          int64_t now_us);
/* True when the request comes back long before it was told to. */
int eel_repeats_is_early (const struct eel_repeats *repeats,
                          uint64_t key,
                          int64_t now_us);

#endif
