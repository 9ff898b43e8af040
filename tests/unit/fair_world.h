#ifndef FAIR_WORLD_H
#define FAIR_WORLD_H

#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <string>
#include <vector>

extern "C"
{
#include "eelgrasslatch/crowding.h"
#include "eelgrasslatch/entry_gate.h"
#include "eelgrasslatch/gate.h"
#include "eelgrasslatch/place.h"
#include "eelgrasslatch/repeats.h"
#include "eelgrasslatch/retry_after.h"
}

// Requests of teams to one service of several endpoints, in virtual time.  A
// node beside each endpoint is entry for a part of the requests.  Callers that
// are refused come back once, when told; those that don't obey come back at
// once, three times.
namespace fair_world
{
constexpr int64_t PATH_US = 500;
constexpr int64_t MS = EEL_US_PER_MS;

// A team that enters at all nodes, or at one, the next each second.
constexpr int ALL_NODES = -1;
constexpr int MOVES = -2;

struct kind
{
  double work_us;
  uint8_t rank;
  int64_t target_us;
  int64_t deadline_us;
};

struct team
{
  // Requests a second, and of which kind.
  double per_s;
  size_t what;
  double weight;
  // Factor of the rate as a function of the time in seconds.
  std::function<double (double)> factor;
  // The node at which all enter, or one of these.
  int node;
  // Share of the requests whose callers come back at once.
  double abuse;
  // Calls of running requests: no team.
  bool nameless;
};

struct outcome
{
  uint32_t asked = 0;
  uint32_t served = 0;
  uint32_t in_time = 0;
  double slot_us = 0;
};

struct world
{
  struct call
  {
    size_t team;
    uint32_t node;
    bool abuses;
    int64_t first_us;
    uint32_t returns;
    const char *tried[6];
    uint32_t tried_count;
    uint32_t at;
    int64_t offered_us;
  };
  struct event
  {
    int64_t at_us;
    std::function<void (int64_t)> run;
    uint64_t order;
    bool
    operator<(const event &other) const
    {
      return at_us != other.at_us ? at_us > other.at_us : order > other.order;
    }
  };

  uint32_t nodes;
  bool fair;
  std::vector<kind> kinds;
  std::vector<team> teams;
  std::vector<outcome> outcomes;
  outcome obeying, abusing;
  std::vector<struct eel_gate> gates;
  std::vector<struct eel_entry_gate> entry_gates;
  std::vector<struct eel_crowding> crowdings;
  std::vector<struct eel_repeats> repeats;
  std::vector<std::vector<struct eel_instance>> storage;
  std::vector<struct eel_directory> directories;
  std::vector<call> calls;
  std::priority_queue<event> events;
  struct eel_rng rng;
  uint64_t order = 0;
  // Answers after that don't count.
  int64_t until_us = 0;
  // Speed of the endpoints as a function of the time in seconds.
  std::function<double (double)> speed = [] (double) { return 1.0; };
  // Share of the answers whose reports get lost, and their delay.
  double lost = 0;
  int64_t late_us = 0;
  // A node that gets no reports.
  int deaf = -1;
  // A node that can't reach the others, nor they it, during these seconds.
  int cut = -1;
  int64_t cut_from_us = 0;
  int64_t cut_until_us = 0;
  // Longest time after its arrival at which a gate has refused a request.
  std::vector<int64_t> held_us;
  uint32_t refused_at_entry = 0;

  world (uint32_t nodes_, uint32_t slots, bool fair_, uint64_t seed);
  void at (int64_t at_us, std::function<void (int64_t)> run);
  const kind &kind_of (const call &each) const;
  uint64_t team_id (const call &each) const;
  void come_back (size_t index, double refused_share, int64_t now_us);
  void enter (size_t index, int64_t now_us);
  uint32_t node_of (const team &from, double seconds);
  bool is_cut (uint32_t from, uint32_t to, int64_t now_us) const;
  // Picks an endpoint, of up to three, that can be reached.
  struct eel_instance *pick (call &each, int64_t now_us);
  void send (size_t index, int64_t now_us);
  void start (size_t index, int64_t now_us);
  void reach (size_t index, int64_t now_us);
  void dispatch (uint32_t node, int64_t now_us);
  void end (size_t index, int64_t held, int64_t now_us);
  // Sends the answer with the load of the gate, and what it tells of teams.
  void answer (size_t index, bool refused, int64_t now_us);
  void hear (size_t index,
             const struct eel_instance_report &report,
             int64_t wait_us,
             const std::vector<struct eel_fair_excess> &told,
             int64_t now_us);
  void run (double seconds);
  // Share of what the teams asked that was served.
  double served_share (size_t first, size_t last) const;
  double in_time_share (size_t first, size_t last) const;
};
}

#endif
