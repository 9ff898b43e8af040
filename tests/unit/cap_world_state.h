#ifndef EEL_TESTS_CAP_WORLD_STATE_H
#define EEL_TESTS_CAP_WORLD_STATE_H

#include "cap_world.h"

#include <deque>

extern "C"
{
#include "eelgrasslatch/cap_message.h"
#include "eelgrasslatch/cap_standing.h"
}

// What the rule lets run above the cap.
constexpr double cap_world_overshoot = 0.25;
constexpr double cap_world_slack = 20;

struct cap_world_team
{
  uint64_t id = 0;
  struct eel_cap_limits limits = {};
  std::vector<int64_t> admitted_us;
  // The cap as one bucket that sees all requests.
  double owed_tokens = 0;
  int64_t owed_us = 0;
  size_t owed = 0;
  uint32_t node = 0;
};

struct cap_world_node
{
  uint32_t address = 0;
  uint32_t domain = 0;
  struct eel_cap_view view = {};
  struct eel_cap_holder holder = {};
  struct eel_team_cap cap = {};
  bool up = false;
  bool listed = false;
  // Its entry has lapsed.
  bool lapsed = false;
  int64_t lapsed_us = 0;
  int64_t frozen_until_us = 0;
  // Counts restarts, so that a stopped node's timers end.
  uint32_t life = 0;
  std::vector<std::function<void ()>> inbox;

  struct waiter
  {
    uint32_t team;
    int64_t until_us;
  };
  std::deque<waiter> waiters;

  void
  stop ()
  {
    if (!up)
      return;
    eel_cap_holder_finish (&holder);
    eel_team_cap_finish (&cap);
    waiters.clear ();
    inbox.clear ();
    up = false;
    life++;
  }
  ~cap_world_node ()
  {
    stop ();
  }
};

struct cap_world_event
{
  int64_t at_us;
  uint64_t order;
  std::function<void ()> run;

  bool
  operator<(const cap_world_event &other) const
  {
    return at_us != other.at_us ? at_us > other.at_us : order > other.order;
  }
};

// What runs in a world of caps.
struct cap_world
{
  const cap_world_config &config;
  cap_world_result result;
  struct eel_rng rng = {};
  int64_t now_us = 10 * EEL_US_PER_S;
  const int64_t start_us = now_us;
  uint64_t order = 0;
  std::priority_queue<cap_world_event> events;
  std::vector<cap_world_team> teams;
  std::vector<std::unique_ptr<cap_world_node>> nodes;
  // Nodes on the other side of a cut; messages from them, to them or both are
  // lost.
  std::vector<uint8_t> cut_off;
  bool cut_from = false;
  bool cut_to = false;
  uint32_t cut_number = 0;

  explicit cap_world (const cap_world_config &c) : config (c)
  {
    eel_rng_init (&rng, c.seed);
  }

  double unit ();
  uint32_t below (size_t bound);
  void after (int64_t delay_us, std::function<void ()> run);
  static int
  find (const void *data, uint64_t id, struct eel_cap_limits *limits);
  void deliver (cap_world_node &node, std::function<void ()> run);
  bool passes (const cap_world_node &from, const cap_world_node &to);
  int64_t delay ();
  void count_message (size_t bytes);
  void answer (cap_world_node &to,
               uint32_t from,
               const struct eel_cap_ask_message &message);
  void receive (cap_world_node &node,
                uint32_t from,
                const struct eel_cap_grant_message &reply);
  void pump (cap_world_node &node);
  void serve_waiters (cap_world_node &node);
  void tick (cap_world_node &node, uint32_t life);
  bool is_owed (cap_world_team &team);
  void request (uint32_t index, uint32_t at);
  uint32_t pick_node (cap_world_team &team);
  void next_request (uint32_t index);
  void update_view (cap_world_node &node);
  void list_changed ();
  void start (cap_world_node &node);
  void add_node (bool up);
  int64_t some_time ();
  void plan_cut (bool one_way);
  void lapse (uint32_t cut);
  void end_lapse ();
  void freeze (cap_world_node &node, int64_t length_us);
  cap_world_node &some_node ();
  cap_world_node &first_holder ();
  void restart (cap_world_node &node, int64_t down_us);
  void plan ();
  void make_teams ();
  void measure ();
  void run ();
};

#endif
