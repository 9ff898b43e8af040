#include "cap_world_state.h"

#include <algorithm>
#include <cmath>

static const int64_t window_us = 5 * EEL_US_PER_S;

// With lowered caps, windows that begin a window after the change are held
// against the lower one, the others against the higher one.
void
cap_world::measure ()
{
  int64_t lowered_us = start_us + config.length_us / 2;

  for (const auto &team : teams)
    {
      size_t first = 0;

      for (size_t last = 0; last < team.admitted_us.size (); last++)
        {
          while (team.admitted_us[last] - team.admitted_us[first] >= window_us)
            first++;
          double limit = team.limits.rate_per_s * 5 + team.limits.burst;

          if (team.admitted_us[first] < lowered_us + window_us)
            limit /= config.lowered;
          result.worst = std::fmax (
              result.worst,
              (double)(last - first + 1)
                  / (limit * (1 + cap_world_overshoot) + cap_world_slack));
        }
    }
  for (const auto &team : teams)
    {
      result.owed += (double)team.owed;
      result.admitted += (double)std::min (team.owed, team.admitted_us.size ());
    }
  for (const auto &node : nodes)
    result.holders_lost += node->cap.holders_lost;
}
