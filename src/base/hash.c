#include "internal/hash.h"

#include <string.h>
#include <xxhash.h>

/* XXH3; not collision-resistant against chosen input. */
uint64_t
eel_hash64 (const void *data, size_t bytes, uint64_t seed)
{
  return XXH3_64bits_withSeed (data, bytes, seed);
}

/*
 * Hashes service, method and path.  The query is left out, so that calls of
 * one route with different arguments share one service time estimate.
 */
uint32_t
eel_route_hash (const char *service, const char *method, const char *target)
{
  uint64_t hash = eel_hash64 (service, strlen (service), 0);

  hash = eel_hash64 (method, strlen (method), hash);
  return (uint32_t)eel_hash64 (target, strcspn (target, "?"), hash);
}

/* Highest random weight hashing (Thaler and Ravishankar 1998). */
uint64_t
eel_rendezvous (uint64_t owner, uint64_t candidate)
{
  uint64_t pair[2] = { owner, candidate };

  return eel_hash64 (pair, sizeof pair, 0);
}
