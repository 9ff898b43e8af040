#include <math.h>
#include <stddef.h>

#include "internal/gate.h"

/* How long a request of each rank would wait at the gate. */

/* Time constant of the slot time that a rank asks for. */
#define ASKED_WINDOW_US (1000.0 * 1000.0)
/* Part of the slots that more important ranks are taken to use at most. */
#define AHEAD_SHARE_MAX 0.9

static double
asked_us (const struct eel_gate_rank *rank, int64_t now_us)
{
  double passed_us = (double)(now_us - rank->asked_at_us);

  return passed_us > 0 ? rank->asked_us * exp (-passed_us / ASKED_WINDOW_US)
                       : rank->asked_us;
}

void
eel_gate_rank_asked (struct eel_gate *gate, uint8_t rank, int64_t now_us)
{
  struct eel_gate_rank *row = NULL;
  struct eel_gate_rank *oldest = &gate->ranks[0];

  for (uint32_t i = 0; i < gate->rank_count && row == NULL; i++)
    {
      if (gate->ranks[i].rank == rank)
        row = &gate->ranks[i];
      if (gate->ranks[i].asked_at_us < oldest->asked_at_us)
        oldest = &gate->ranks[i];
    }
  if (row == NULL)
    {
      row = gate->rank_count < EEL_RANK_WAITS_MAX
                ? &gate->ranks[gate->rank_count++]
                : oldest;
      *row = (struct eel_gate_rank){ .rank = rank };
    }
  row->asked_us = asked_us (row, now_us) + gate->hold_us;
  row->asked_at_us = now_us;
}

/* Returns the part of the slots that requests of more important ranks, which
   start before those of the rank whenever they arrive, leave to it. */
double
eel_gate_rank_left (const struct eel_gate *gate, uint8_t rank, int64_t now_us)
{
  double ahead_us = 0;

  for (uint32_t i = 0; i < gate->rank_count; i++)
    if (gate->ranks[i].rank < rank)
      ahead_us += asked_us (&gate->ranks[i], now_us);
  return 1 - fmin (ahead_us / (ASKED_WINDOW_US * gate->limit), AHEAD_SHARE_MAX);
}

/* Expected wait of an item of the rank that arrives now. */
static int64_t
rank_wait_us (const struct eel_gate *gate, uint8_t rank, int64_t now_us)
{
  uint32_t ahead = 0;

  for (uint32_t i = 0; i < gate->queued; i++)
    ahead += gate->queue[i].rank <= rank;
  return (int64_t)((double)eel_gate_expected_wait_us (gate, ahead, now_us)
                   / eel_gate_rank_left (gate, rank, now_us));
}

uint32_t
eel_gate_rank_waits (const struct eel_gate *gate,
                     int64_t now_us,
                     struct eel_rank_wait *waits)
{
  uint32_t count = 0;

  if (eel_gate_wait_us (gate, now_us) == 0)
    return 0;
  for (uint32_t i = 0; i < gate->rank_count; i++)
    {
      uint8_t rank = gate->ranks[i].rank;
      uint32_t at = count++;

      for (; at > 0 && waits[at - 1].rank > rank; at--)
        waits[at] = waits[at - 1];
      waits[at] = (struct eel_rank_wait){
        .rank = rank,
        .wait_ms = (uint32_t)(rank_wait_us (gate, rank, now_us) / EEL_US_PER_MS)
      };
    }
  return count;
}
