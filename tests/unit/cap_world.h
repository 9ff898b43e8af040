#ifndef EEL_TESTS_CAP_WORLD_H
#define EEL_TESTS_CAP_WORLD_H

#include <functional>
#include <memory>
#include <queue>
#include <vector>

extern "C"
{
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/team_cap.h"
}

// Nodes of a cluster in virtual time that keep teams within their caps, the
// messages between them and the requests that arrive.
struct cap_world_config
{
  uint64_t seed = 1;
  uint32_t nodes = 9;
  uint32_t teams = 5;
  // Requests a second of all teams at their cap, and the share of it that is
  // sent.
  double cap_per_s = 300;
  double burst_s = 0.5;
  double demand = 1;
  // Where a team's requests arrive.
  enum
  {
    EVEN,
    MOVING,
    ONE_NODE,
    AT_ONCE
  } where
      = EVEN;
  int64_t length_us = 15 * EEL_US_PER_S;
  double loss = 0;
  int64_t delay_max_us = 2 * EEL_US_PER_MS;
  // Disturbances over the whole time.
  uint32_t cuts = 0;
  int64_t cut_max_us = 5 * EEL_US_PER_S;
  // Entries of the nodes that are cut off lapse this long after the cut, and
  // the others remove them; 0: they stay.
  int64_t lapse_us = 0;
  uint32_t one_way_cuts = 0;
  uint32_t freezes = 0;
  uint32_t restarts = 0;
  uint32_t lost_holders = 0;
  uint32_t joins = 0;
  // How long nodes take to learn of a change of the list at most.
  int64_t list_lag_us = 1 * EEL_US_PER_S;
  // Caps fall to this share in the middle.
  double lowered = 1;
};

struct cap_world_result
{
  // Greatest number of runs in a window, as a share of what the rule lets run.
  double worst = 0;
  // Of the requests within the caps.
  double owed = 0;
  double admitted = 0;
  // Of all requests.
  uint64_t requests = 0;
  uint64_t refused = 0;
  uint64_t timed_out = 0;
  // Messages between nodes and their bytes without headers of the network.
  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t holders_lost = 0;
};

cap_world_result run_cap_world (const cap_world_config &config);
// A world with a random size, demand and set of disturbances.
cap_world_config random_cap_world (uint64_t seed);

#endif
