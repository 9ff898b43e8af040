#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <vector>

extern "C"
{
#include "eelgrasslatch/fair_order.h"
#include "eelgrasslatch/gate.h"
#include "eelgrasslatch/rng.h"
}

namespace
{
constexpr int64_t MS = EEL_US_PER_MS;
constexpr double HOLD_US = 50e3;

// A gate with one slot, which is taken, and teams by number.
class fair_gate : public testing::Test
{
protected:
  std::unique_ptr<struct eel_gate> gate = std::make_unique<struct eel_gate> ();
  intptr_t last_owner = 0;

  void
  SetUp () override
  {
    eel_gate_init (gate.get (), 1);
    gate->last_rank = 2;
    gate->hold_us = HOLD_US;
    offer (0, 9, 0);
  }

  enum eel_gate_verdict
  offer (uint64_t team,
         intptr_t owner,
         int64_t now_us,
         int64_t target_ms = 60000,
         uint8_t rank = 2,
         uint32_t weight_milli = 1000,
         double expected_us = HOLD_US)
  {
    const struct eel_gate_item item
        = { rank, now_us, target_ms * MS, target_ms * MS + 60000 * MS,
            reinterpret_cast<void *> (owner) };
    const struct eel_gate_share share
        = { team, weight_milli, expected_us, 0, 0, 0, 0 };

    return eel_gate_offer_share (gate.get (), &item, &share, now_us);
  }

  // Ends the running request and returns the owner of the next one.
  intptr_t
  next (int64_t now_us)
  {
    struct eel_gate_item item;

    eel_gate_done (gate.get (), -1, now_us);
    if (eel_gate_next (gate.get (), &item, now_us) != EEL_GATE_START)
      return -1;
    last_owner = reinterpret_cast<intptr_t> (item.owner);
    return last_owner;
  }
};
}

// Guards against a team with one request that waits behind all of another.
TEST_F (fair_gate, OneRequestDoesNotWaitBehindMany)
{
  for (intptr_t i = 0; i < 50; i++)
    ASSERT_EQ (offer (1, 100 + i, 0), EEL_GATE_QUEUE);
  next (0);
  next (0);
  ASSERT_EQ (offer (2, 200, 0), EEL_GATE_QUEUE);
  EXPECT_EQ (next (0), 200);
}

// Guards against a request that waits on its share until it misses its target,
// and against shares that forget how far others are behind when it doesn't.
TEST_F (fair_gate, RequestThatWouldBeLateStopsWaitingForItsShare)
{
  for (intptr_t i = 0; i < 4; i++)
    ASSERT_EQ (offer (1, 100 + i, 0, 1000 + i), EEL_GATE_QUEUE);
  for (int i = 0; i < 3; i++)
    next (0);
  ASSERT_EQ (offer (2, 200, 0), EEL_GATE_QUEUE);
  ASSERT_EQ (offer (2, 201, 0, 60001), EEL_GATE_QUEUE);
  ASSERT_EQ (offer (3, 300, 0, 60002), EEL_GATE_QUEUE);
  double virtual_us = gate->fair.virtual_us[2];

  EXPECT_EQ (next (800 * MS), 103);
  EXPECT_EQ (gate->fair.virtual_us[2], virtual_us);
  std::set<intptr_t> firsts = { next (800 * MS), next (800 * MS) };
  EXPECT_EQ (firsts, (std::set<intptr_t>{ 200, 300 }));
  EXPECT_EQ (next (800 * MS), 201);
}

// Guards against credit for the time in which a team had no requests.
TEST_F (fair_gate, IdleTeamSavesUpNothing)
{
  int of_second = 0;

  for (intptr_t i = 0; i < 100; i++)
    ASSERT_EQ (offer (1, 1, 0), EEL_GATE_QUEUE);
  for (int i = 0; i < 50; i++)
    next (0);
  for (intptr_t i = 0; i < 50; i++)
    ASSERT_EQ (offer (2, 2, 0), EEL_GATE_QUEUE);
  for (int i = 0; i < 20; i++)
    of_second += next (0) == 2;
  EXPECT_NEAR (of_second, 10, 1);
}

// Guards against shares that are counted in requests.
TEST_F (fair_gate, SharesAreSlotTimeByWeight)
{
  const struct
  {
    uint32_t weight_milli;
    double expected_us;
    int of_second;
  } cases[] = {
    { 1000, HOLD_US, 30 },
    { 1000, 4 * HOLD_US, 12 },
    { 500, HOLD_US, 20 },
    { 3000, HOLD_US, 45 },
  };

  for (const auto &each : cases)
    {
      int of_second = 0;

      SetUp ();
      for (intptr_t i = 0; i < 60; i++)
        {
          offer (1, 1, 0);
          offer (2, 2, 0, 60000, 2, each.weight_milli, each.expected_us);
        }
      for (int i = 0; i < 60; i++)
        of_second += next (0) == 2;
      EXPECT_NEAR (of_second, each.of_second, 1) << each.expected_us;
    }
}

// Guards against a charge for the expected time only.
TEST_F (fair_gate, ActualSlotTimeIsCharged)
{
  int of_second = 0;

  for (intptr_t i = 0; i < 60; i++)
    {
      offer (1, 1, 0);
      offer (2, 2, 0);
    }
  for (int i = 0; i < 60; i++)
    {
      intptr_t owner = next (0);

      eel_gate_done_share (gate.get (), (uint64_t)owner, 2,
                           (int64_t)(owner == 2 ? 3 * HOLD_US : HOLD_US));
      of_second += owner == 2;
    }
  EXPECT_NEAR (of_second, 15, 1);
}

// Guards against an expected time that short calls without a team lower.
TEST_F (fair_gate, ExpectedTimeIsThatOfTeams)
{
  offer (1, 1, 0, 60000, 2, 1000, 0);
  next (0);
  eel_gate_done_share (gate.get (), 1, 2, 900 * MS);
  offer (1, 1, 0, 60000, 2, 1000, 0);
  EXPECT_EQ (gate->shares[0].expected_us, 900e3);
}

// Guards against a share that goes before the rank, or before a target that can
// still be met.
TEST_F (fair_gate, RankAndReachableTargetGoFirst)
{
  offer (1, 10, 0);
  offer (2, 20, 0, 300);
  offer (1, 11, 0, 60000, 1);
  offer (1, 12, 0, 60000, 1);
  for (intptr_t owner : { 11, 12, 10, 20 })
    EXPECT_EQ (next (280 * MS), owner);
}

// Guards against calls without a team that start later, or earlier, because of
// the order among teams: they keep the second and the fourth place.
TEST_F (fair_gate, NamelessKeepTheirPlace)
{
  offer (1, 10, 0, 1000);
  offer (0, 2, 0, 2500);
  offer (0, 1, 0, 1500);
  offer (1, 11, 0, 2000);
  offer (2, 20, 0, 3000);
  for (intptr_t owner : { 10, 1, 20, 2, 11 })
    EXPECT_EQ (next (0), owner);
}

// When the queue is full the last request of the team furthest above its share
// goes, not the one that arrives; it is told at once.
TEST_F (fair_gate, FullQueueTakesFromTheTeamAboveItsShare)
{
  struct eel_gate_item item;
  uint32_t queued = 0;

  gate->hold_us = 1;
  for (uint32_t i = 0; i < EEL_GATE_QUEUE_MAX; i++)
    queued += offer (1 + i % 2, 1000 + i, 0, 60000 + i, 2, 1000, 1)
              == EEL_GATE_QUEUE;
  ASSERT_EQ (queued, EEL_GATE_QUEUE_MAX);
  EXPECT_EQ (offer (1, 1, 0, 70000, 2, 1000, 1), EEL_GATE_REFUSE);
  EXPECT_EQ (offer (3, 3, 0, 70000, 2, 1000, 1), EEL_GATE_QUEUE);
  ASSERT_EQ (gate->displaced, 1u);
  EXPECT_EQ (eel_gate_next (gate.get (), &item, 0), EEL_GATE_REFUSE);
  EXPECT_GE (reinterpret_cast<intptr_t> (item.owner),
             1000 + EEL_GATE_QUEUE_MAX - 2);
  EXPECT_EQ (gate->displaced, 0u);
  EXPECT_EQ (gate->queued, (uint32_t)EEL_GATE_QUEUE_MAX);
}

// Guards against telling of a team that takes what nobody else asks for, or
// after the crowd is gone.
TEST_F (fair_gate, TellsOfTeamsAboveTheirShare)
{
  struct eel_fair_excess told[2];

  for (intptr_t i = 0; i < 200; i++)
    offer (7, 1, 0, 1000);
  EXPECT_EQ (eel_fair_order_excess (&gate->fair, told, 2, 0), 0u);
  for (uint64_t team = 1; team <= 3; team++)
    offer (team, 1, 0, 1000);
  ASSERT_EQ (eel_fair_order_excess (&gate->fair, told, 2, 0), 1u);
  EXPECT_EQ (told[0].team, 7u);
  EXPECT_EQ (told[0].rank, 2);
  EXPECT_GE (told[0].excess_milli, 800u);
  EXPECT_EQ (eel_fair_order_excess (&gate->fair, told, 2, 2000 * MS), 0u);
}

// Guards against entries of teams that have gone: 100,000 teams, one after the
// other, leave few; more active ones than entries are served without order.
TEST_F (fair_gate, EntriesAreBounded)
{
  for (uint64_t team = 1; team <= 100000; team++)
    {
      int64_t now_us = (int64_t)team * 10 * MS;
      int32_t entry
          = eel_fair_order_ask (&gate->fair, team, 2, 1000, 1, now_us);

      ASSERT_NE (entry, EEL_FAIR_NONE);
      eel_fair_order_started (&gate->fair, entry, 1, now_us);
      eel_fair_order_done (&gate->fair, team, 2, 1);
    }
  EXPECT_LE (gate->fair.count, 512u);
  EXPECT_EQ (gate->fair.unordered, 0u);
  for (uint64_t team = 1; team <= 2 * EEL_FAIR_TEAMS_MAX; team++)
    {
      int32_t entry
          = eel_fair_order_ask (&gate->fair, 1000000 + team, 2, 1000, 1, 0);

      if (entry != EEL_FAIR_NONE)
        eel_fair_order_queued (&gate->fair, entry, 1);
    }
  EXPECT_EQ (gate->fair.count, (uint32_t)EEL_FAIR_TEAMS_MAX);
  EXPECT_GE (gate->fair.unordered, (uint64_t)EEL_FAIR_TEAMS_MAX);
}

namespace
{
// The order without teams, written down once more.
bool
goes_before (const struct eel_gate &gate,
             const struct eel_gate_item &a,
             const struct eel_gate_item &b,
             int64_t now_us)
{
  int64_t end_us = now_us + (int64_t)gate.hold_us;
  bool a_late = a.target_us < end_us;
  bool b_late = b.target_us < end_us;

  if (a.rank != b.rank)
    return a.rank < b.rank;
  if (a_late != b_late)
    return b_late;
  return a_late ? a.deadline_us < b.deadline_us : a.target_us < b.target_us;
}

enum eel_gate_verdict
expected_offer (const struct eel_gate &gate,
                const struct eel_gate_item &item,
                int64_t now_us)
{
  uint32_t ahead = 0;
  int64_t until_us
      = item.rank < gate.last_rank ? item.deadline_us : item.target_us;

  if (gate.running < gate.limit && gate.queued == 0)
    return EEL_GATE_START;
  for (uint32_t i = 0; i < gate.queued; i++)
    ahead += !goes_before (gate, item, gate.queue[i], now_us);
  return gate.queued == EEL_GATE_QUEUE_MAX
                 || (int64_t)((ahead + 1) * gate.hold_us / gate.limit)
                        > (until_us - now_us - (int64_t)gate.hold_us) * 60 / 100
             ? EEL_GATE_REFUSE
             : EEL_GATE_QUEUE;
}

// A queued item is refused half a hold time before its deadline, or 20 ms or a
// tenth of its time, whichever is less, where that is earlier.
int64_t
expected_expiry_us (const struct eel_gate &gate,
                    const struct eel_gate_item &item)
{
  int64_t way_us
      = std::min ((item.deadline_us - item.arrived_us) / 10, 20 * MS);

  return item.deadline_us - std::max (way_us, (int64_t)(gate.hold_us / 2));
}

enum eel_gate_verdict
expected_next (const struct eel_gate &gate, int64_t now_us, uint32_t *index)
{
  *index = 0;
  for (uint32_t i = 0; i < gate.queued; i++)
    if (now_us > expected_expiry_us (gate, gate.queue[i]))
      {
        *index = i;
        return EEL_GATE_REFUSE;
      }
  for (uint32_t i = 1; i < gate.queued; i++)
    if (goes_before (gate, gate.queue[i], gate.queue[*index], now_us))
      *index = i;
  return gate.queued > 0 && gate.running < gate.limit ? EEL_GATE_START
                                                      : EEL_GATE_QUEUE;
}
}

// Guards against a gate that decides differently where no team is named.
TEST (FairOrder, WithoutTeamsTheGateDecidesAsBefore)
{
  auto gate = std::make_unique<struct eel_gate> ();
  struct eel_rng rng;
  uint32_t counts[3] = { 0, 0, 0 };
  int64_t now_us = 0;

  eel_rng_init (&rng, 7);
  eel_gate_init (gate.get (), 20);
  gate->last_rank = 3;
  for (int step = 0; step < 100000; step++)
    {
      struct eel_gate_item item = {};

      now_us += eel_rng_below (&rng, 4000);
      if (eel_rng_below (&rng, 100) < (step / 1000 % 2 ? 60 : 45))
        {
          item.rank = (uint8_t)eel_rng_below (&rng, 4);
          item.arrived_us = now_us;
          item.target_us = now_us + eel_rng_below (&rng, 900) * MS;
          item.deadline_us = item.target_us + eel_rng_below (&rng, 2000) * MS;
          enum eel_gate_verdict verdict = expected_offer (*gate, item, now_us);

          ASSERT_EQ (eel_gate_offer (gate.get (), &item, now_us), verdict);
          counts[verdict]++;
          continue;
        }
      if (gate->running > 0)
        eel_gate_done (gate.get (), eel_rng_below (&rng, 60) * MS, now_us);
      for (;;)
        {
          uint32_t index;
          enum eel_gate_verdict verdict = expected_next (*gate, now_us, &index);
          struct eel_gate_item wanted = gate->queue[index];

          ASSERT_EQ (eel_gate_next (gate.get (), &item, now_us), verdict);
          if (verdict == EEL_GATE_QUEUE)
            break;
          ASSERT_EQ (item.target_us, wanted.target_us);
          ASSERT_EQ (item.rank, wanted.rank);
        }
    }
  EXPECT_EQ (gate->fair.count, 0u);
  for (uint32_t count : counts)
    EXPECT_GE (count, 1000u);
}
