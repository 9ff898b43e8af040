#include "cap_world_state.h"

#include <cmath>

int64_t
cap_world::some_time ()
{
  return (int64_t)((0.2 + 0.7 * unit ()) * (double)config.length_us);
}

void
cap_world::plan_cut (bool one_way)
{
  after (some_time (), [this, one_way] {
    bool by_domain = unit () < 0.5;
    double share = unit ();

    for (size_t i = 0; i < nodes.size (); i++)
      cut_off[i] = by_domain ? nodes[i]->domain == 0 : unit () < share;
    cut_from = !one_way || unit () < 0.5;
    cut_to = !one_way || !cut_from;
    if (config.lapse_us > 0)
      after (config.lapse_us, [this, cut = ++cut_number] { lapse (cut); });
    after ((int64_t)(unit () * (double)config.cut_max_us), [this] {
      cut_from = cut_to = false;
      end_lapse ();
    });
  });
}

void
cap_world::lapse (uint32_t cut)
{
  if (!(cut_from || cut_to) || cut != cut_number)
    return;
  for (size_t i = 0; i < nodes.size (); i++)
    if (cut_off[i])
      {
        nodes[i]->lapsed = true;
        nodes[i]->lapsed_us = now_us;
      }
  list_changed ();
}

// The entries are back within the time that lists take to change.
void
cap_world::end_lapse ()
{
  for (auto &node : nodes)
    node->lapsed = false;
  if (config.lapse_us > 0)
    list_changed ();
}

void
cap_world::freeze (cap_world_node &node, int64_t length_us)
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

cap_world_node &
cap_world::some_node ()
{
  return *nodes[below (nodes.size ())];
}

// The node that most others hold to be the holder of the first group.
cap_world_node &
cap_world::first_holder ()
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
cap_world::restart (cap_world_node &node, int64_t down_us)
{
  node.stop ();
  after (down_us, [this, &node] {
    if (!node.up)
      start (node);
  });
}

void
cap_world::plan ()
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
      cap_world_node &node = first_holder ();

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
        // A restart may have been the first start.
        if (!n->up)
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
