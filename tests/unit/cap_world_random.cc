#include "cap_world.h"

#include <cmath>

cap_world_config
random_cap_world (uint64_t seed)
{
  cap_world_config config;
  struct eel_rng rng;
  auto below = [&rng] (uint32_t bound) { return eel_rng_below (&rng, bound); };
  auto some = [&below] (uint32_t max) {
    return below (2) == 0 ? 0 : below (max) + 1;
  };

  eel_rng_init (&rng, seed * 7919);
  config.seed = seed;
  config.nodes = 3 + below (below (10) == 0 ? 298 : 40);
  config.teams = 1 + below (below (10) == 0 ? 500 : 20);
  config.cap_per_s = 5 * std::pow (200, eel_rng_unit (&rng));
  config.burst_s = 6 * eel_rng_unit (&rng);
  config.demand = 0.3 + (below (2) == 0 ? 1 : 5) * eel_rng_unit (&rng);
  config.where = (decltype (config.where))below (4);
  config.length_us = (16 + below (3) * 8) * EEL_US_PER_S;
  config.cut_max_us = (3 + below (3) * 6) * EEL_US_PER_S;
  config.loss = below (3) == 0 ? 0.1 * eel_rng_unit (&rng) : 0;
  config.delay_max_us = (1 + below (30)) * EEL_US_PER_MS;
  config.cuts = some (3);
  config.one_way_cuts = some (2);
  config.freezes = some (4);
  config.restarts = some (8);
  config.lost_holders = below (4) == 0 ? 1 : 0;
  config.joins = below (4) == 0 ? below (10) : 0;
  config.lowered = below (4) == 0 ? 0.2 + 0.6 * eel_rng_unit (&rng) : 1;
  config.lapse_us = below (2) == 0 ? 0 : 3 * EEL_US_PER_S;
  return config;
}
