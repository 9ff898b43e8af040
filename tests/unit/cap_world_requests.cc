#include "cap_world_state.h"

#include <cmath>

static const int64_t wait_max_us = 250 * EEL_US_PER_MS;

// A request that the cap as one bucket lets pass is owed.
bool
cap_world::is_owed (cap_world_team &team)
{
  double elapsed_s = (double)(now_us - team.owed_us) / EEL_US_PER_S;

  team.owed_tokens = std::fmin (
      team.limits.burst, team.owed_tokens + elapsed_s * team.limits.rate_per_s);
  team.owed_us = now_us;
  if (team.owed_tokens < 1)
    return false;
  team.owed_tokens--;
  return true;
}

void
cap_world::request (uint32_t index, uint32_t at)
{
  cap_world_team &team = teams[index];
  cap_world_node &node = *nodes[at];

  if (!node.up)
    return;
  team.owed += is_owed (team) ? 1 : 0;
  result.requests++;
  deliver (node, [this, index, &team, &node] {
    switch (eel_team_cap_request (&node.cap, team.id, now_us))
      {
      case EEL_CAP_ADMIT:
        team.admitted_us.push_back (now_us);
        break;
      case EEL_CAP_REFUSE:
        result.refused++;
        break;
      case EEL_CAP_WAIT:
        node.waiters.push_back ({ index, now_us + wait_max_us });
        break;
      }
    pump (node);
  });
}

uint32_t
cap_world::pick_node (cap_world_team &team)
{
  if (config.where == cap_world_config::MOVING)
    return (uint32_t)((now_us / EEL_US_PER_S + (int64_t)(uint32_t)team.id)
                      * 7919 % (int64_t)nodes.size ());
  if (config.where == cap_world_config::ONE_NODE)
    return team.node;
  return below (nodes.size ());
}

void
cap_world::next_request (uint32_t index)
{
  cap_world_team &team = teams[index];
  double per_s = team.limits.rate_per_s * config.demand;
  double wait_s = -std::log (1 - unit ()) / per_s;
  uint32_t count = 1;

  if (config.where == cap_world_config::AT_ONCE)
    {
      wait_s = 1 + config.burst_s * (1 + unit ());
      count = (uint32_t)(per_s * wait_s) + 1;
    }
  after ((int64_t)(std::fmin (wait_s, 1000) * EEL_US_PER_S),
         [this, index, count] {
           for (uint32_t i = 0; i < count; i++)
             request (index, pick_node (teams[index]));
           next_request (index);
         });
}

void
cap_world::make_teams ()
{
  double weights = 0;

  for (uint32_t i = 0; i < config.teams; i++)
    weights += std::pow (i + 1, -1.2);
  for (uint32_t i = 0; i < config.teams; i++)
    {
      cap_world_team team;

      team.id = ((uint64_t)(i * UINT32_C (2654435761)) << 32) | (i + 1);
      team.limits.rate_per_s
          = config.cap_per_s * std::pow (i + 1, -1.2) / weights;
      team.limits.burst
          = std::fmax (1, team.limits.rate_per_s * config.burst_s);
      team.node = below (config.nodes);
      team.owed_tokens = team.limits.burst;
      team.owed_us = now_us;
      teams.push_back (team);
    }
}
