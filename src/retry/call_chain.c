#include "eelgrasslatch/call_chain.h"

#include <string.h>

/* A run sends its next call within this time of the answer. */
#define NEXT_CALL_US (1 * EEL_US_PER_MS)
/* What is left of the counts of chains with each further one. */
#define COUNT_KEPT 0.95F

void
eel_call_lengths_init (struct eel_call_lengths *lengths)
{
  memset (lengths, 0, sizeof *lengths);
}

/* Returns the entry of a route; a new one may evict the least recent one. */
static struct eel_call_length *
get_route (struct eel_call_lengths *lengths, uint64_t route)
{
  struct eel_call_length *oldest = &lengths->routes[0];

  for (uint32_t i = 0; i < lengths->count; i++)
    {
      struct eel_call_length *entry = &lengths->routes[i];

      if (entry->route == route)
        return entry;
      if (entry->updated_us < oldest->updated_us)
        oldest = entry;
    }
  if (lengths->count < EEL_CALL_CHAIN_ROUTES_MAX)
    oldest = &lengths->routes[lengths->count++];
  *oldest = (struct eel_call_length){ .route = route };
  return oldest;
}

/* Learns from a chain that has ended; a broken one tells nothing. */
static void
record_end (const struct eel_call_chain *chain,
            struct eel_call_lengths *lengths,
            int64_t now_us)
{
  uint32_t length = chain->answered < EEL_CALL_CHAIN_LENGTH_MAX
                        ? chain->answered
                        : EEL_CALL_CHAIN_LENGTH_MAX;
  struct eel_call_length *entry;

  if (length == 0 || chain->is_broken || chain->open > 0)
    return;
  entry = get_route (lengths, chain->route);
  entry->updated_us = now_us;
  for (uint32_t i = 0; i < EEL_CALL_CHAIN_LENGTH_MAX; i++)
    entry->chains[i] *= COUNT_KEPT;
  entry->chains[length - 1] += 1;
}

/* The most frequent length; 1 for a route of which nothing is known. */
static uint32_t
usual_length (const struct eel_call_lengths *lengths, uint64_t route)
{
  uint32_t best = 0;

  for (uint32_t i = 0; i < lengths->count; i++)
    if (lengths->routes[i].route == route)
      for (uint32_t j = 1; j < EEL_CALL_CHAIN_LENGTH_MAX; j++)
        if (lengths->routes[i].chains[j] > lengths->routes[i].chains[best])
          best = j;
  return best + 1;
}

uint32_t
eel_call_chain_request (struct eel_call_chain *chain,
                        struct eel_call_lengths *lengths,
                        uint64_t route,
                        int64_t now_us)
{
  uint32_t length = usual_length (lengths, route);

  if (chain->open > 0 || chain->is_broken || chain->route != route
      || now_us - chain->answered_us > NEXT_CALL_US)
    {
      record_end (chain, lengths, now_us);
      chain->route = route;
      chain->answered = 0;
      chain->is_broken = chain->open > 0;
    }
  chain->open++;
  return length - chain->answered % length;
}

void
eel_call_chain_answered (struct eel_call_chain *chain,
                         int is_success,
                         int64_t now_us)
{
  if (chain->open > 0)
    chain->open--;
  if (is_success)
    chain->answered++;
  else
    chain->is_broken = 1;
  chain->answered_us = now_us;
}

void
eel_call_chain_closed (struct eel_call_chain *chain,
                       struct eel_call_lengths *lengths,
                       int64_t now_us)
{
  record_end (chain, lengths, now_us);
  memset (chain, 0, sizeof *chain);
}
