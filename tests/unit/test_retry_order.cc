#include <gtest/gtest.h>

#include <cmath>
#include <queue>

extern "C"
{
#include "eelgrasslatch/call_chain.h"
#include "eelgrasslatch/retry_order.h"
#include "eelgrasslatch/retry_share.h"
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/types.h"
}

namespace
{

const int64_t TROUBLE_FROM_US = 13 * EEL_US_PER_S;
const int64_t TROUBLE_TO_US = 21500 * EEL_US_PER_MS;
const int64_t END_US = 40 * EEL_US_PER_S;
const int64_t RUN_US = 55 * EEL_US_PER_MS;
const int64_t REJECTION_US = 2 * EEL_US_PER_MS;
const int ATTEMPTS = 6;
// Of the rule, and the smaller one that a node keeps to.
const double RULE_RATIO = 0.2;
const double RATIO = 0.85 * RULE_RATIO;
const double EXTRA = 2;
const uint64_t ROUTE = 7;
const uint64_t NODES = 16;
const double ROOTS_PER_S = 46;

struct result
{
  double finished;
  // By rank.
  double finished_of[2];
  uint64_t retries;
  double most_over;
};

// One node whose endpoint runs requests that each need some calls, one after
// the other, to a service that rejects a part of all arrivals for 8.5 s.
class node_load
{
public:
  node_load (double rejected, uint32_t calls, bool ordered, uint64_t seed)
      : m_rejected (rejected), m_calls (calls), m_ordered (ordered)
  {
    eel_rng_init (&m_rng, seed);
    eel_call_lengths_init (&m_lengths);
    eel_retry_order_init (&m_order, 0);
    eel_retry_share_init (&m_share, RATIO, EXTRA, 10 * EEL_US_PER_S, 0);
  }

  // Every third request has the more important rank if is_ranked.
  result
  play (double per_s, bool is_ranked)
  {
    int64_t at_us = 0;

    for (uint32_t i = 0;; i++)
      {
        at_us += (int64_t)(-std::log (1 - eel_rng_unit (&m_rng)) / per_s
                           * EEL_US_PER_S);
        if (at_us >= END_US)
          break;
        m_runs.push_back ({});
        m_runs.back ().start_us = at_us;
        m_runs.back ().rank = is_ranked && i % 3 == 0 ? 0 : 2;
        m_events.push ({ at_us, i });
      }
    while (!m_events.empty ())
      {
        auto [now_us, index] = m_events.top ();

        m_events.pop ();
        step (m_runs[index], index, now_us);
      }
    return summary ();
  }

private:
  struct run
  {
    int64_t start_us;
    uint8_t rank;
    uint32_t done;
    uint32_t needed;
    int attempts;
    bool sent;
    bool rejects;
    bool ended;
    bool finished;
    struct eel_call_chain chain;
  };
  typedef std::pair<int64_t, uint32_t> event;

  void
  send (run &each, uint32_t index, int64_t now_us)
  {
    each.sent = true;
    each.attempts++;
    each.rejects = now_us >= TROUBLE_FROM_US && now_us < TROUBLE_TO_US
                   && eel_rng_unit (&m_rng) < m_rejected;
    m_events.push ({ now_us + (each.rejects ? REJECTION_US : RUN_US), index });
  }

  bool
  may_retry (run &each, int64_t now_us)
  {
    int64_t left_us;
    double room_milli;

    if (each.attempts == ATTEMPTS)
      return false;
    room_milli = eel_retry_share_room_milli (&m_share, &left_us, now_us);
    if (m_ordered
        && !eel_retry_order_allows (&m_order, each.rank, each.needed, 1000,
                                    room_milli, left_us, now_us))
      return false;
    if (!eel_retry_share_take (&m_share, 1000, now_us))
      return false;
    m_retries.push_back (now_us);
    return true;
  }

  void
  step (run &each, uint32_t index, int64_t now_us)
  {
    if (each.sent && each.rejects)
      {
        if (may_retry (each, now_us))
          {
            send (each, index, now_us);
            return;
          }
        each.ended = true;
      }
    if (each.sent)
      {
        eel_call_chain_answered (&each.chain, !each.rejects, now_us);
        each.done += !each.rejects;
        each.finished = each.done == m_calls;
      }
    if (each.ended || each.finished)
      {
        eel_call_chain_closed (&each.chain, &m_lengths, now_us);
        return;
      }
    each.attempts = 0;
    each.needed
        = eel_call_chain_request (&each.chain, &m_lengths, ROUTE, now_us);
    eel_retry_share_request (&m_share, now_us);
    m_requests.push_back (now_us);
    send (each, index, now_us);
  }

  static double
  within (const std::vector<int64_t> &all, int64_t from_us)
  {
    return (double)(std::lower_bound (all.begin (), all.end (),
                                      from_us + 10 * EEL_US_PER_S)
                    - std::lower_bound (all.begin (), all.end (), from_us));
  }

  result
  summary ()
  {
    result sum = {};
    double count[2] = {};

    for (const run &each : m_runs)
      if (each.start_us >= TROUBLE_FROM_US && each.start_us < TROUBLE_TO_US)
        {
          count[each.rank == 0]++;
          sum.finished_of[each.rank == 0] += each.finished;
        }
    sum.finished
        = (sum.finished_of[0] + sum.finished_of[1]) / (count[0] + count[1]);
    for (int i = 0; i < 2; i++)
      sum.finished_of[i] /= count[i] > 0 ? count[i] : 1;
    sum.retries = m_retries.size ();
    for (int64_t from_us = 0; from_us < END_US; from_us += EEL_US_PER_S / 10)
      {
        double most
            = std::max ({ within (m_requests, from_us),
                          within (m_requests, from_us - 10 * EEL_US_PER_S),
                          within (m_requests, from_us - 5 * EEL_US_PER_S) });

        sum.most_over
            = std::max (sum.most_over, within (m_retries, from_us)
                                           - RULE_RATIO * most - EXTRA);
      }
    return sum;
  }

  double m_rejected;
  uint32_t m_calls;
  bool m_ordered;
  struct eel_rng m_rng;
  struct eel_call_lengths m_lengths;
  struct eel_retry_order m_order;
  struct eel_retry_share m_share;
  std::vector<run> m_runs;
  std::priority_queue<event, std::vector<event>, std::greater<event>> m_events;
  std::vector<int64_t> m_requests;
  std::vector<int64_t> m_retries;
};

// All nodes together.
result
play_nodes (double rejected, uint32_t calls, bool ordered, bool is_ranked)
{
  result sum = {};

  for (uint64_t seed = 1; seed <= NODES; seed++)
    {
      result each = node_load (rejected, calls, ordered, seed)
                        .play (ROOTS_PER_S, is_ranked);

      sum.finished += each.finished / NODES;
      for (int i = 0; i < 2; i++)
        sum.finished_of[i] += each.finished_of[i] / NODES;
      sum.retries += each.retries;
      sum.most_over = std::max (sum.most_over, each.most_over);
    }
  return sum;
}

// Share of runs finished at best with so many retries a run, when a run is
// given all it asks for from its last calls on, and none before.
double
best (double rejected, uint32_t calls, double retries)
{
  double accepted = 1 - rejected;
  // Of a call that gets all its retries, and how many it takes.
  double succeeds = 1 - std::pow (rejected, ATTEMPTS);
  double takes = rejected * (1 - std::pow (rejected, ATTEMPTS - 1)) / accepted;
  double finished = std::pow (accepted, calls);
  double used = 0;

  for (uint32_t last = 1; last <= calls; last++)
    {
      double reached = std::pow (accepted, calls - last);
      double next_finished = reached * std::pow (succeeds, last);
      double next_used
          = reached * takes * (1 - std::pow (succeeds, last)) / (1 - succeeds);

      if (next_used >= retries)
        return finished
               + (next_finished - finished) * (retries - used)
                     / (next_used - used);
      finished = next_finished;
      used = next_used;
    }
  return finished;
}

}

// Guards against retries that are spread over runs which can't finish, and
// against more retries than the share allows.
TEST (RetryOrder, FinishesMoreRunsWithTheSameRetries)
{
  for (double rejected : { 0.3, 0.5, 0.55, 0.7 })
    for (uint32_t calls = 1; calls <= 5; calls++)
      {
        result off = play_nodes (rejected, calls, false, false);
        result on = play_nodes (rejected, calls, true, false);
        double at_best
            = best (rejected, calls, on.retries / (NODES * ROOTS_PER_S * 8.5));

        printf ("rejected %.2f, %u calls: finished %.3f off, %.3f on, %.3f at "
                "best, %.3f without retries; retries %llu, %llu\n",
                rejected, calls, off.finished, on.finished, at_best,
                std::pow (1 - rejected, calls), (unsigned long long)off.retries,
                (unsigned long long)on.retries);
        EXPECT_LE (on.most_over, 1) << rejected << " " << calls;
        EXPECT_GE (on.finished, off.finished - 0.01)
            << rejected << " " << calls;
        EXPECT_GE (on.finished, 0.7 * at_best) << rejected << " " << calls;
        if (rejected >= 0.5 && calls >= 4)
          {
            EXPECT_GE (on.finished, 1.2 * off.finished)
                << rejected << " " << calls;
          }
      }
}

TEST (RetryOrder, MoreImportantRanksGoFirst)
{
  result off = play_nodes (0.5, 4, false, true);
  result on = play_nodes (0.5, 4, true, true);

  printf ("off: %.3f, %.3f; on: %.3f, %.3f\n", off.finished_of[1],
          off.finished_of[0], on.finished_of[1], on.finished_of[0]);
  EXPECT_GE (on.finished_of[1], 2 * off.finished_of[1]);
}
