#ifndef EEL_INTERNAL_HASH_H
#define EEL_INTERNAL_HASH_H

#include <stddef.h>
#include <stdint.h>

uint64_t eel_hash64 (const void *data, size_t bytes, uint64_t seed);
/* Hash of a route: service, method and path without the query. */
uint32_t
eel_route_hash (const char *service, const char *method, const char *target);
/* Rendezvous weight of a candidate for an owner. */
uint64_t eel_rendezvous (uint64_t owner, uint64_t candidate);

#endif
