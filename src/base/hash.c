#include "internal/hash.h"

#include <string.h>
#include <xxhash.h>

/* Hashes bytes with XXH3; not for hostile input that picks collisions. */
uint64_t
eel_hash64 (const void *data, size_t bytes, uint64_t seed)
{
  return XXH3_64bits_withSeed (data, bytes, seed);
}

/*
 * Hashes service, method and path.  The query is left out, so that calls of
 * one route with other arguments share their learnt service time.
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
