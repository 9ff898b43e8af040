#include <gtest/gtest.h>

#include "domain_load.h"

namespace
{
using plan = domain_load::plan;

constexpr int64_t MS = EEL_US_PER_MS;

double
in_time_of (const domain_load &load, int rank)
{
  return (double)load.counts.in_time_of[rank] / load.counts.requests_of[rank];
}
}

// Requests of the least important rank wait at home for those of the others
// that arrive after them.  Where nodes report that and refuse by it, at most a
// quarter as many of them are late, for a part of what leaves by use, and the
// others lose nothing.  Late reports gain less.
TEST (DomainFlow, LeastImportantRankLeavesForItsOwnWait)
{
  for (int64_t late_us : { 0 * MS, 200 * MS, 1000 * MS })
    for (double urgent : { 0.3, 0.6, 0.8 })
      {
        const plan ranks = { "ranks", 0.8, 0.55, 1 * MS, late_us, 0,
                             0,       45,  3,    0,      urgent,  true };
        plan no_ranks = ranks;

        no_ranks.tells_ranks = false;
        for (uint64_t seed = 1; seed <= 2; seed++)
          {
            domain_load use (ranks, rule::USE, seed);
            domain_load told (ranks, rule::FLOW, seed);
            domain_load untold (no_ranks, rule::FLOW, seed);

            for (domain_load *load : { &use, &told, &untold })
              load->run ();
            printf ("urgent %.1f, reports %.1f s late: least in time %.4f "
                    "(untold %.4f, by use %.4f), others %.4f (%.4f, %.4f), "
                    "left %.4f (%.4f, %.4f), "
                    "MB %.1f (%.1f, %.1f)\n",
                    urgent, (double)late_us / 1e6, in_time_of (told, 1),
                    in_time_of (untold, 1), in_time_of (use, 1),
                    in_time_of (told, 0), in_time_of (untold, 0),
                    in_time_of (use, 0),
                    (double)told.counts.left / told.counts.requests,
                    (double)untold.counts.left / untold.counts.requests,
                    (double)use.counts.left / use.counts.requests,
                    (double)told.counts.bytes / 1e6,
                    (double)untold.counts.bytes / 1e6,
                    (double)use.counts.bytes / 1e6);
            EXPECT_GE (in_time_of (told, 0), in_time_of (untold, 0) - 0.005);
            EXPECT_GE (told.counts.served, 0.999 * untold.counts.served);
            EXPECT_LT (told.counts.bytes, 0.3 * use.counts.bytes);
            EXPECT_GE (in_time_of (told, 1), in_time_of (untold, 1) + 0.005);
            if (late_us > 0)
              continue;
            EXPECT_GE (in_time_of (told, 0), 0.999);
            EXPECT_LE (1 - in_time_of (told, 1),
                       0.25 * (1 - in_time_of (untold, 1)));
          }
      }
}
