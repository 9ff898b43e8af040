#include "cap_world.h"

#include <algorithm>
#include <cmath>
#include <deque>

extern "C"
{
#include "eelgrasslatch/cap_message.h"
}

static const int64_t wait_max_us = 250 * EEL_US_PER_MS;
static const int64_t window_us = 5 * EEL_US_PER_S;
static const double overshoot = 0.25;
static const double slack = 20;

namespace
{
struct world_team
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

struct world_node
{
  uint32_t address = 0;
  uint32_t domain = 0;
  struct eel_cap_view view = {};
  struct eel_cap_holder holder = {};
  struct eel_team_cap cap = {};
  bool up = false;
  bool listed = false;
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
  ~world_node ()
  {
    stop ();
  }
};

struct event
{
  int64_t at_us;
  uint64_t order;
  std::function<void ()> run;

  bool
  operator<(const event &other) const
  {
    return at_us != other.at_us ? at_us > other.at_us : order > other.order;
  }
};

struct world
{
  const cap_world_config &config;
  cap_world_result result;
  struct eel_rng rng = {};
  int64_t now_us = 10 * EEL_US_PER_S;
  const int64_t start_us = now_us;
  uint64_t order = 0;
  std::priority_queue<event> events;
  std::vector<world_team> teams;
  std::vector<std::unique_ptr<world_node>> nodes;
  // Nodes on the other side of a cut; messages from them, to them or both are
  // lost.
  std::vector<uint8_t> cut_off;
  bool cut_from = false;
  bool cut_to = false;

  explicit world (const cap_world_config &c) : config (c)
  {
    eel_rng_init (&rng, c.seed);
  }

  double
  unit ()
  {
    return eel_rng_unit (&rng);
  }

  uint32_t
  below (size_t bound)
  {
    return eel_rng_below (&rng, (uint32_t)bound);
  }

  void
  after (int64_t delay_us, std::function<void ()> run)
  {
    events.push ({ now_us + delay_us, order++, std::move (run) });
  }

  static int
  find (const void *data, uint64_t id, struct eel_cap_limits *limits)
  {
    const auto *w = static_cast<const world *> (data);

    uint64_t number = id & UINT32_MAX;

    if (number == 0 || number > w->teams.size ())
      return 0;
    *limits = w->teams[number - 1].limits;
    return 1;
  }

  // Runs something at a node, after its pause if it is frozen.
  void
  deliver (world_node &node, std::function<void ()> run)
  {
    if (!node.up)
      return;
    if (node.frozen_until_us > now_us)
      node.inbox.push_back (std::move (run));
    else
      run ();
  }

  bool
  passes (const world_node &from, const world_node &to)
  {
    bool from_off = cut_off[from.address - 1] != 0;
    bool to_off = cut_off[to.address - 1] != 0;

    if (from_off != to_off && ((from_off && cut_from) || (to_off && cut_to)))
      return false;
    return unit () >= config.loss;
  }

  int64_t
  delay ()
  {
    return 200 + (int64_t)(unit () * (double)config.delay_max_us);
  }

  void
  count_message (size_t bytes)
  {
    result.messages++;
    result.bytes += bytes;
  }

  void
  answer (world_node &to,
          uint32_t from,
          const struct eel_cap_ask_message &message)
  {
    struct eel_cap_grant_message reply;
    uint8_t buffer[EEL_CAP_MESSAGE_BYTES_MAX];

    eel_cap_holder_answer (&to.holder, from, &message, find, this, now_us,
                           &reply);
    if (from == to.address)
      {
        receive (to, to.address, reply);
        return;
      }
    count_message (eel_cap_grant_encode (&reply, buffer));
    if (passes (to, *nodes[from - 1]))
      after (delay (), [this, from, address = to.address, reply] {
        deliver (*nodes[from - 1], [this, from, address, reply] {
          receive (*nodes[from - 1], address, reply);
        });
      });
  }

  void
  receive (world_node &node,
           uint32_t from,
           const struct eel_cap_grant_message &reply)
  {
    if (eel_team_cap_receive (&node.cap, from, &reply, now_us))
      serve_waiters (node);
    pump (node);
  }

  void
  pump (world_node &node)
  {
    struct eel_cap_ask_message message;
    uint8_t buffer[EEL_CAP_MESSAGE_BYTES_MAX];
    uint32_t to;

    while (eel_team_cap_next_message (&node.cap, now_us, &to, &message))
      if (to == node.address)
        answer (node, to, message);
      else
        {
          count_message (eel_cap_ask_encode (&message, buffer));
          if (passes (node, *nodes[to - 1]))
            after (delay (), [this, to, from = node.address, message] {
              deliver (*nodes[to - 1], [this, to, from, message] {
                answer (*nodes[to - 1], from, message);
              });
            });
        }
  }

  void
  serve_waiters (world_node &node)
  {
    std::deque<world_node::waiter> waiting;

    waiting.swap (node.waiters);
    for (const auto &waiter : waiting)
      if (waiter.until_us <= now_us)
        {
          eel_team_cap_leave (&node.cap, teams[waiter.team].id);
          result.timed_out++;
        }
      else
        switch (eel_team_cap_again (&node.cap, teams[waiter.team].id, now_us))
          {
          case EEL_CAP_ADMIT:
            teams[waiter.team].admitted_us.push_back (now_us);
            break;
          case EEL_CAP_REFUSE:
            result.refused++;
            break;
          case EEL_CAP_WAIT:
            node.waiters.push_back (waiter);
            break;
          }
  }

  void
  tick (world_node &node, uint32_t life)
  {
    if (node.life != life || !node.up)
      return;
    if (node.frozen_until_us <= now_us)
      {
        serve_waiters (node);
        pump (node);
      }
    after (
        std::max (eel_team_cap_due_us (&node.cap, now_us), 5 * EEL_US_PER_MS),
        [this, &node, life] { tick (node, life); });
  }

  // A request that the cap as one bucket lets pass is owed.
  bool
  is_owed (world_team &team)
  {
    double elapsed_s = (double)(now_us - team.owed_us) / EEL_US_PER_S;

    team.owed_tokens
        = std::fmin (team.limits.burst,
                     team.owed_tokens + elapsed_s * team.limits.rate_per_s);
    team.owed_us = now_us;
    if (team.owed_tokens < 1)
      return false;
    team.owed_tokens--;
    return true;
  }

  void
  request (uint32_t index, uint32_t at)
  {
    world_team &team = teams[index];
    world_node &node = *nodes[at];

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
  pick_node (world_team &team)
  {
    if (config.where == cap_world_config::MOVING)
      return (uint32_t)((now_us / EEL_US_PER_S + (int64_t)(uint32_t)team.id)
                        * 7919 % (int64_t)nodes.size ());
    if (config.where == cap_world_config::ONE_NODE)
      return team.node;
    return below (nodes.size ());
  }

  void
  next_request (uint32_t index)
  {
    world_team &team = teams[index];
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
  update_view (world_node &node)
  {
    std::vector<uint32_t> listed;

    if (!node.up)
      return;
    for (const auto &other : nodes)
      if (other->listed)
        listed.push_back (other->address);
    eel_cap_view_set (&node.view, listed.data (), (uint32_t)listed.size ());
    eel_cap_holder_view_changed (&node.holder, now_us);
    eel_team_cap_view_changed (&node.cap, now_us);
  }

  // Each node learns of a change of the list within a second.
  void
  list_changed ()
  {
    for (auto &node : nodes)
      after ((int64_t)(unit () * (double)config.list_lag_us),
             [this, n = node.get ()] {
               deliver (*n, [this, n] { update_view (*n); });
             });
  }

  void
  start (world_node &node)
  {
    const struct eel_cap_tolerance tolerance = { overshoot, slack };

    node.up = true;
    node.frozen_until_us = 0;
    node.view = {};
    eel_cap_view_set (&node.view, nullptr, 0);
    eel_cap_holder_init (&node.holder, &node.view, &tolerance);
    eel_team_cap_init (&node.cap, &node.view, node.address,
                       (uint32_t)eel_rng_next (&rng), now_us);
    update_view (node);
    tick (node, node.life);
  }

  void
  add_node (bool up)
  {
    auto node = std::make_unique<world_node> ();

    node->address = (uint32_t)nodes.size () + 1;
    node->domain = (uint32_t)nodes.size () % 3;
    node->listed = up;
    nodes.push_back (std::move (node));
    cut_off.push_back (0);
  }

  int64_t
  some_time ()
  {
    return (int64_t)((0.2 + 0.7 * unit ()) * (double)config.length_us);
  }

  void
  plan_cut (bool one_way)
  {
    after (some_time (), [this, one_way] {
      bool by_domain = unit () < 0.5;
      double share = unit ();

      for (size_t i = 0; i < nodes.size (); i++)
        cut_off[i] = by_domain ? nodes[i]->domain == 0 : unit () < share;
      cut_from = !one_way || unit () < 0.5;
      cut_to = !one_way || !cut_from;
      after ((int64_t)(unit () * (double)config.cut_max_us),
             [this] { cut_from = cut_to = false; });
    });
  }

  void
  freeze (world_node &node, int64_t length_us)
  {
    node.frozen_until_us = now_us + length_us;
    after (length_us, [this, &node] {
      std::vector<std::function<void ()>> inbox;

      if (node.frozen_until_us > now_us)
        return;
      inbox.swap (node.inbox);
      for (auto &run : inbox)
        if (node.up)
          run ();
    });
  }

  world_node &
  some_node ()
  {
    return *nodes[below (nodes.size ())];
  }

  // The node that most others hold to be the holder of the first group.
  world_node &
  first_holder ()
  {
    uint32_t candidates[EEL_CAP_CANDIDATES_MAX];

    for (auto &node : nodes)
      if (node->up && node->view.count > 0)
        {
          eel_cap_view_candidates (&node->view, 0, node->address, candidates);
          return *nodes[candidates[0] - 1];
        }
    return *nodes[0];
  }

  void
  restart (world_node &node, int64_t down_us)
  {
    node.stop ();
    after (down_us, [this, &node] {
      if (!node.up)
        start (node);
    });
  }

  void
  plan ()
  {
    for (uint32_t i = 0; i < config.cuts; i++)
      plan_cut (false);
    for (uint32_t i = 0; i < config.one_way_cuts; i++)
      plan_cut (true);
    for (uint32_t i = 0; i < config.freezes; i++)
      after (some_time (), [this] {
        freeze (unit () < 0.5 ? first_holder () : some_node (),
                (int64_t)(unit () * 4 * EEL_US_PER_S));
      });
    for (uint32_t i = 0; i < config.restarts; i++)
      after (some_time (), [this] {
        restart (unit () < 0.5 ? first_holder () : some_node (),
                 (int64_t)(unit () * EEL_US_PER_S));
      });
    for (uint32_t i = 0; i < config.lost_holders; i++)
      after (some_time (), [this] {
        world_node &node = first_holder ();

        node.stop ();
        after (2 * EEL_US_PER_S, [this, &node] {
          node.listed = false;
          list_changed ();
        });
      });
    for (uint32_t i = 0; i < config.joins; i++)
      {
        add_node (false);
        after (some_time (), [this, n = nodes.back ().get ()] {
          start (*n);
          n->listed = true;
          list_changed ();
        });
      }
    if (config.lowered < 1)
      after (config.length_us / 2, [this] {
        for (auto &team : teams)
          {
            team.limits.rate_per_s *= config.lowered;
            team.limits.burst *= config.lowered;
            team.owed_tokens = std::fmin (team.owed_tokens, team.limits.burst);
          }
      });
  }

  void
  make_teams ()
  {
    double weights = 0;

    for (uint32_t i = 0; i < config.teams; i++)
      weights += std::pow (i + 1, -1.2);
    for (uint32_t i = 0; i < config.teams; i++)
      {
        world_team team;

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

  // With lowered caps, windows that begin a window after the change are held
  // against the lower one, the others against the higher one.
  void
  measure ()
  {
    int64_t lowered_us = start_us + config.length_us / 2;

    for (const auto &team : teams)
      {
        size_t first = 0;

        for (size_t last = 0; last < team.admitted_us.size (); last++)
          {
            while (team.admitted_us[last] - team.admitted_us[first]
                   >= window_us)
              first++;
            double limit = team.limits.rate_per_s * 5 + team.limits.burst;

            if (team.admitted_us[first] < lowered_us + window_us)
              limit /= config.lowered;
            result.worst = std::fmax (result.worst,
                                      (double)(last - first + 1)
                                          / (limit * (1 + overshoot) + slack));
          }
      }
    for (const auto &team : teams)
      {
        result.owed += (double)team.owed;
        result.admitted
            += (double)std::min (team.owed, team.admitted_us.size ());
      }
    for (const auto &node : nodes)
      result.holders_lost += node->cap.holders_lost;
  }

  void
  run ()
  {
    int64_t end_us = start_us + config.length_us;

    for (uint32_t i = 0; i < config.nodes; i++)
      add_node (true);
    make_teams ();
    plan ();
    for (uint32_t i = 0; i < config.nodes; i++)
      start (*nodes[i]);
    // Requests begin once the buckets have filled.
    for (uint32_t i = 0; i < teams.size (); i++)
      after (3 * EEL_US_PER_S, [this, i] { next_request (i); });
    while (!events.empty () && events.top ().at_us < end_us)
      {
        event next = events.top ();

        events.pop ();
        now_us = next.at_us;
        next.run ();
      }
    measure ();
  }
};
}

cap_world_result
run_cap_world (const cap_world_config &config)
{
  auto w = std::make_unique<world> (config);

  w->run ();
  return w->result;
}

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
  return config;
}
