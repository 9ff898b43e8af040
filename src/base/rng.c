#include "eelgrasslatch/rng.h"

/* Equal seeds give equal sequences. */
void
eel_rng_init (struct eel_rng *rng, uint64_t seed)
{
  rng->state = seed;
}

/* Returns 64 random bits (SplitMix64, Steele, Lea and Flood 2014). */
uint64_t
eel_rng_next (struct eel_rng *rng)
{
  uint64_t z = rng->state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* Returns a number from 0 to bound - 1; 0 when bound is 0. */
uint32_t
eel_rng_below (struct eel_rng *rng, uint32_t bound)
{
  return (uint32_t)(((eel_rng_next (rng) >> 32) * bound) >> 32);
}

/* Returns a number in [0, 1). */
double
eel_rng_unit (struct eel_rng *rng)
{
  return (double)(eel_rng_next (rng) >> 11) * 0x1.0p-53;
}
