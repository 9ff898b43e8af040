#ifndef EELGRASSLATCH_RNG_H
#define EELGRASSLATCH_RNG_H

#include <stdint.h>

/* Seeded pseudo-random generator (SplitMix64); not for secrets. */
struct eel_rng
{
  uint64_t state;
};

void eel_rng_init (struct eel_rng *rng, uint64_t seed);
uint64_t eel_rng_next (struct eel_rng *rng);
uint32_t eel_rng_below (struct eel_rng *rng, uint32_t bound);
double eel_rng_unit (struct eel_rng *rng);

#endif
