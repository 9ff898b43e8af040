#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "exsim.h"
#include "internal/hash.h"

/* Returns the monotonic clock of a node. */
int64_t
exsim_clock (const struct exsim *s, uint8_t node)
{
  return s->now_us + s->nodes[node].clock_offset_us;
}

static int
before (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->sequence < b->sequence;
}

/* Adds an event to the binary heap; equal times keep their order. */
void
exsim_push (struct exsim *s, const struct event *event, int64_t at_us)
{
  uint32_t i = s->heap_count++;
  struct event copy = *event;

  if (s->heap_count > s->heap_capacity)
    {
      s->heap_capacity = s->heap_capacity * 2 + 64;
      s->heap = realloc (s->heap, s->heap_capacity * sizeof *s->heap);
      if (s->heap == NULL)
        abort ();
    }
  copy.at_us = at_us;
  copy.sequence = s->sequence++;
  for (; i > 0 && before (&copy, &s->heap[(i - 1) / 2]); i = (i - 1) / 2)
    s->heap[i] = s->heap[(i - 1) / 2];
  s->heap[i] = copy;
}

/* Removes the next event; returns 0 when there is none. */
int
exsim_pop (struct exsim *s, struct event *event)
{
  const struct event *last;
  uint32_t i = 0, child;

  if (s->heap_count == 0)
    return 0;
  *event = s->heap[0];
  last = &s->heap[--s->heap_count];
  while ((child = 2 * i + 1) < s->heap_count)
    {
      if (child + 1 < s->heap_count
          && before (&s->heap[child + 1], &s->heap[child]))
        child++;
      if (!before (&s->heap[child], last))
        break;
      s->heap[i] = s->heap[child];
      i = child;
    }
  s->heap[i] = *last;
  return 1;
}

int
exsim_chance (struct exsim *s, uint32_t percent)
{
  return eel_rng_below (&s->rng, 100) < percent;
}

/* Draws log-uniformly, so that short and very long delays both occur. */
int64_t
exsim_log_uniform (struct eel_rng *rng, int64_t min, int64_t max)
{
  return (int64_t)((double)min
                   * pow ((double)max / (double)min, eel_rng_unit (rng)));
}

int
exsim_is_partitioned (const struct exsim *s, uint8_t a, uint8_t b)
{
  return s->now_us < s->fault_until_us[FAULT_PARTITION]
         && ((DOMAIN (a) == s->partition_domains[0]
              && DOMAIN (b) == s->partition_domains[1])
             || (DOMAIN (a) == s->partition_domains[1]
                 && DOMAIN (b) == s->partition_domains[0]));
}

/* Sends through the simulated network, which drops, duplicates and delays. */
void
exsim_send (struct exsim *s, struct event *event, uint8_t from, uint8_t to)
{
  int64_t delay
      = 200
        + eel_rng_below (&s->rng, DOMAIN (from) == DOMAIN (to) ? 300 : 2000);

  event->from = from;
  event->node = to;
  event->from_incarnation = s->nodes[from].incarnation;
  event->sent_clock_us = exsim_clock (s, from);
  event->incarnation = 0;
  if (exsim_is_partitioned (s, from, to)
      || (s->now_us < s->fault_until_us[FAULT_LOSS] && exsim_chance (s, 20)))
    return;
  if (s->now_us < s->fault_until_us[FAULT_DELAY] && exsim_chance (s, 30))
    delay += exsim_log_uniform (&s->rng, MS, 60 * SECOND);
  exsim_push (s, event, s->now_us + delay);
  if (s->now_us < s->fault_until_us[FAULT_DUPLICATE] && exsim_chance (s, 60))
    exsim_push (s, event,
                s->now_us + exsim_log_uniform (&s->rng, MS / 2, 60 * SECOND));
}

/* Adds an event to the digest and, when asked, prints it. */
void
exsim_trace (struct exsim *s,
             uint64_t order,
             const char *what,
             uint8_t node,
             uint64_t position,
             uint64_t detail)
{
  uint64_t words[5] = { (uint64_t)s->now_us, order, node, position, detail };

  s->digest = eel_hash64 (words, sizeof words, s->digest + (uint8_t)what[0]);
  if (s->trace && (s->trace_order == 0 || s->trace_order == order))
    printf ("%10" PRIu64 " %12.6f node %u order %" PRIu64 "/%" PRIx64
            " %s %" PRIu64 "\n",
            s->steps, (double)s->now_us / 1e6, node, order, position, what,
            detail);
}
