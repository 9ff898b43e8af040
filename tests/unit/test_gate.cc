#include <gtest/gtest.h>
#include <set>

extern "C"
{
#include "eelgrasslatch/gate.h"
}

static struct eel_gate_item
item (uint8_t rank, int64_t target_ms, int64_t deadline_ms, intptr_t owner)
{
  return { rank, 0, target_ms * EEL_US_PER_MS, deadline_ms * EEL_US_PER_MS,
           reinterpret_cast<void *> (owner) };
}

// Guards against serving a less important rank first, and within a rank a late
// request before one that can still meet its target.
TEST (Gate, ServesByRankThenByReachableTarget)
{
  struct eel_gate gate;
  struct eel_gate_item next;
  const struct eel_gate_item items[]
      = { item (2, 40, 9000, 1), item (2, 3000, 9000, 2),
          item (2, 2000, 9000, 3), item (0, 5000, 9000, 4) };

  eel_gate_init (&gate, 1);
  gate.hold_us = 1;
  struct eel_gate_item first = item (0, 1000, 9000, 9);
  ASSERT_EQ (eel_gate_offer (&gate, &first, 0), EEL_GATE_START);
  for (const auto &each : items)
    ASSERT_EQ (eel_gate_offer (&gate, &each, 0), EEL_GATE_QUEUE);
  for (intptr_t owner : { 4, 3, 2, 1 })
    {
      eel_gate_done (&gate, -1, 50 * EEL_US_PER_MS);
      ASSERT_EQ (eel_gate_next (&gate, &next, 50 * EEL_US_PER_MS),
                 EEL_GATE_START);
      EXPECT_EQ (reinterpret_cast<intptr_t> (next.owner), owner);
    }
}

// Guards against queueing a request whose expected wait exceeds its slack.
TEST (Gate, RefusesOnArrivalWhatWouldWaitTooLong)
{
  struct eel_gate gate;
  struct eel_gate_item each = item (2, 100, 1000, 1);

  eel_gate_init (&gate, 2);
  gate.last_rank = 2;
  gate.hold_us = 40 * EEL_US_PER_MS;
  ASSERT_EQ (eel_gate_offer (&gate, &each, 0), EEL_GATE_START);
  int queued = 0;
  while (eel_gate_offer (&gate, &each, 0) == EEL_GATE_QUEUE)
    queued++;
  // The slack is 60 ms after the hold time; each request ahead adds 40 ms.
  EXPECT_LE (queued, 1);
  // A more important rank has until its deadline.
  struct eel_gate_item urgent = item (0, 100, 1000, 2);
  EXPECT_EQ (eel_gate_offer (&gate, &urgent, 0), EEL_GATE_QUEUE);
}

// Guards against starting a queued request too late for its deadline.
TEST (Gate, RefusesWhatExpiresInTheQueue)
{
  struct eel_gate gate;
  struct eel_gate_item next;
  struct eel_gate_item first = item (0, 1000, 1000, 1);
  struct eel_gate_item second = item (0, 1000, 1000, 2);

  eel_gate_init (&gate, 1);
  eel_gate_offer (&gate, &first, 0);
  ASSERT_EQ (eel_gate_offer (&gate, &second, 0), EEL_GATE_QUEUE);
  EXPECT_EQ (eel_gate_next (&gate, &next, 999 * EEL_US_PER_MS),
             EEL_GATE_REFUSE);
  EXPECT_EQ (gate.queued, 0u);
  EXPECT_EQ (gate.running, 1u);
}

// Guards against a refusal that comes when the caller has given up: the node is
// asked only at the times that it was told, by a clock that is 3 ms late.
TEST (Gate, RefusesWhatExpiresWithTimeForTheWay)
{
  const struct
  {
    const char *name;
    double hold_us;
    double rate_per_s;
    int64_t deadline_ms;
    int64_t refused_by_ms;
  } cases[] = {
    { "rate, long hold", 50000, 0.25, 2000, 1978 },
    { "rate, short hold", 500, 0.25, 2000, 1983 },
    { "slot, long hold", 50000, EEL_RATE_UNLIMITED, 2000, 1978 },
    { "slot, short hold", 500, EEL_RATE_UNLIMITED, 2000, 1983 },
    { "short request", 500, EEL_RATE_UNLIMITED, 100, 93 },
  };

  for (const auto &each : cases)
    {
      struct eel_gate gate;
      struct eel_gate_item next;
      struct eel_gate_item first = item (0, 1000, 9000, 1);
      struct eel_gate_item second
          = item (0, each.deadline_ms, each.deadline_ms, 2);
      int64_t now_us = 0;
      int asked = 0;

      eel_gate_init (&gate, 1);
      gate.hold_us = each.hold_us;
      ASSERT_EQ (eel_gate_offer (&gate, &first, 0), EEL_GATE_START);
      ASSERT_EQ (eel_gate_offer (&gate, &second, 0), EEL_GATE_QUEUE);
      if (each.rate_per_s >= 0)
        {
          eel_gate_done (&gate, -1, 0);
          eel_rate_limit_set (&gate.rate, each.rate_per_s, 0);
          gate.rate.tokens = 0;
        }
      while (eel_gate_next (&gate, &next, now_us) == EEL_GATE_QUEUE)
        {
          int64_t wait_us = eel_gate_next_change_us (&gate, now_us);

          ASSERT_GT (wait_us, 0) << each.name;
          ASSERT_LT (asked++, 5) << each.name;
          now_us += wait_us + 3 * EEL_US_PER_MS;
        }
      EXPECT_EQ (reinterpret_cast<intptr_t> (next.owner), 2) << each.name;
      EXPECT_EQ (gate.refused, 1u) << each.name;
      EXPECT_LE (now_us, each.refused_by_ms * EEL_US_PER_MS + 1) << each.name;
    }
}

// Guards against a queue entry that stays after its owner was cancelled, and
// against removing that of another owner.
TEST (Gate, WithdrawsOnlyTheOwnersItem)
{
  struct eel_gate gate;
  struct eel_gate_item first = item (0, 1000, 1000, 1);
  struct eel_gate_item second = item (0, 1000, 1000, 2);

  eel_gate_init (&gate, 1);
  eel_gate_offer (&gate, &first, 0);
  eel_gate_offer (&gate, &second, 0);
  EXPECT_EQ (eel_gate_withdraw (&gate, first.owner), 0);
  EXPECT_EQ (eel_gate_withdraw (&gate, second.owner), 1);
  EXPECT_EQ (gate.queued, 0u);
}

// Reports what an arriving request of each rank waits: behind what is queued of
// its own and more important ranks, and of those that arrive meanwhile.
TEST (Gate, TellsTheWaitOfEachRank)
{
  struct eel_gate gate;
  struct eel_rank_wait waits[EEL_RANK_WAITS_MAX];
  int64_t now_us = 0;

  eel_gate_init (&gate, 10);
  gate.last_rank = 5;
  gate.hold_us = 90 * EEL_US_PER_MS;
  EXPECT_EQ (eel_gate_rank_waits (&gate, now_us, waits), 0U);
  // Half of the slots are asked for by rank 1.
  for (uint32_t i = 0; i < 500; i++, now_us += 20 * EEL_US_PER_MS)
    {
      struct eel_gate_item each = item (1, 100000, 200000, 1);

      ASSERT_EQ (eel_gate_offer (&gate, &each, now_us), EEL_GATE_START);
      eel_gate_done (&gate, -1, now_us);
    }
  EXPECT_EQ (eel_gate_rank_waits (&gate, now_us, waits), 0U);
  gate.running = gate.limit;
  for (uint8_t rank : { 5, 5, 3, 3, 1 })
    {
      struct eel_gate_item each = item (rank, 100000, 200000, 1);

      ASSERT_EQ (eel_gate_offer (&gate, &each, now_us), EEL_GATE_QUEUE);
    }
  ASSERT_EQ (eel_gate_rank_waits (&gate, now_us, waits), 3U);
  EXPECT_EQ (waits[0].rank, 1);
  EXPECT_EQ (waits[1].rank, 3);
  EXPECT_EQ (waits[2].rank, 5);
  // 10 ms for each slot; half of the slots are left to rank 3, fewer to 5.
  EXPECT_EQ (waits[0].wait_ms, 20U);
  EXPECT_NEAR (waits[1].wait_ms, 80, 10);
  EXPECT_NEAR (waits[2].wait_ms, 125, 15);
  // The rank that was asked for least recently gives way.
  for (uint8_t rank : { 6, 7 })
    {
      struct eel_gate_item each = item (rank, 100000, 200000, 1);

      now_us++;
      ASSERT_EQ (eel_gate_offer (&gate, &each, now_us), EEL_GATE_QUEUE);
    }
  ASSERT_EQ (eel_gate_rank_waits (&gate, now_us, waits), 4U);
  EXPECT_EQ (waits[3].rank, 7);
}

// Where what is refused may go elsewhere, requests that will be late because
// more important ones arrive after them are refused at once.
TEST (Gate, CountsLaterRequestsOfMoreImportantRanks)
{
  uint32_t queued[2] = {};

  for (uint8_t counts : { 0, 1 })
    {
      struct eel_gate gate;
      struct eel_gate_item each = item (2, 100000, 200000, 1);
      int64_t now_us = 0;

      eel_gate_init (&gate, 10);
      gate.last_rank = 2;
      gate.counts_later = counts;
      gate.hold_us = 90 * EEL_US_PER_MS;
      // Half of the slots are asked for by rank 1.
      for (uint32_t i = 0; i < 500; i++, now_us += 20 * EEL_US_PER_MS)
        {
          struct eel_gate_item urgent = item (1, 100000, 200000, 1);

          ASSERT_EQ (eel_gate_offer (&gate, &urgent, now_us), EEL_GATE_START);
          eel_gate_done (&gate, -1, now_us);
        }
      gate.running = gate.limit;
      each.target_us = now_us + 1000 * EEL_US_PER_MS;
      each.deadline_us = now_us + 5000 * EEL_US_PER_MS;
      while (eel_gate_offer (&gate, &each, now_us) == EEL_GATE_QUEUE)
        queued[counts]++;
      // Another rank isn't held to its target.
      each.rank = 1;
      EXPECT_EQ (eel_gate_offer (&gate, &each, now_us), EEL_GATE_QUEUE);
    }
  // 0.6 of 910 ms at 10 ms each, or with half of the slots.
  EXPECT_EQ (queued[0], 54U);
  EXPECT_NEAR (queued[1], 27, 2);
}

// A guest starts like any other while slots are free.  It waits for less time,
// and whatever its rank only for as long as it can be in time.
TEST (Gate, GuestsWaitForLess)
{
  struct eel_gate gate;
  struct eel_gate_item each = item (0, 1000, 9000, 1);
  uint32_t guests = 0;
  uint32_t own = 0;

  eel_gate_init (&gate, 2);
  gate.last_rank = 2;
  gate.hold_us = 40 * EEL_US_PER_MS;
  ASSERT_EQ (eel_gate_offer_guest (&gate, &each, 0), EEL_GATE_START);
  while (eel_gate_offer_guest (&gate, &each, 0) == EEL_GATE_QUEUE)
    guests++;
  EXPECT_GT (guests, 0U);
  EXPECT_LE (guests * 40, 1000U);
  each.rank = 2;
  while (eel_gate_offer (&gate, &each, 0) == EEL_GATE_QUEUE)
    own++;
  EXPECT_GT (own, 0U);
  EXPECT_EQ (gate.refused, 2U);
}
