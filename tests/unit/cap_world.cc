#include "cap_world_state.h"

#include <algorithm>

double
cap_world::unit ()
{
  return eel_rng_unit (&rng);
}

uint32_t
cap_world::below (size_t bound)
{
  return eel_rng_below (&rng, (uint32_t)bound);
}

void
cap_world::after (int64_t delay_us, std::function<void ()> run)
{
  events.push ({ now_us + delay_us, order++, std::move (run) });
}

int
cap_world::find (const void *data, uint64_t id, struct eel_cap_limits *limits)
{
  const auto *w = static_cast<const cap_world *> (data);

  uint64_t number = id & UINT32_MAX;

  if (number == 0 || number > w->teams.size ())
    return 0;
  *limits = w->teams[number - 1].limits;
  return 1;
}

// Runs something at a node, after its pause if it is frozen.
void
cap_world::deliver (cap_world_node &node, std::function<void ()> run)
{
  if (!node.up)
    return;
  if (node.frozen_until_us > now_us)
    node.inbox.push_back (std::move (run));
  else
    run ();
}

bool
cap_world::passes (const cap_world_node &from, const cap_world_node &to)
{
  bool from_off = cut_off[from.address - 1] != 0;
  bool to_off = cut_off[to.address - 1] != 0;

  if (from_off != to_off && ((from_off && cut_from) || (to_off && cut_to)))
    return false;
  return unit () >= config.loss;
}

int64_t
cap_world::delay ()
{
  return 200 + (int64_t)(unit () * (double)config.delay_max_us);
}

void
cap_world::count_message (size_t bytes)
{
  result.messages++;
  result.bytes += bytes;
}

void
cap_world::answer (cap_world_node &to,
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
cap_world::receive (cap_world_node &node,
                    uint32_t from,
                    const struct eel_cap_grant_message &reply)
{
  if (eel_team_cap_receive (&node.cap, from, &reply, now_us))
    serve_waiters (node);
  pump (node);
}

void
cap_world::pump (cap_world_node &node)
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
cap_world::serve_waiters (cap_world_node &node)
{
  std::deque<cap_world_node::waiter> waiting;

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
cap_world::tick (cap_world_node &node, uint32_t life)
{
  if (node.life != life || !node.up)
    return;
  if (node.frozen_until_us <= now_us)
    {
      serve_waiters (node);
      pump (node);
    }
  after (std::max (eel_team_cap_due_us (&node.cap, now_us), 5 * EEL_US_PER_MS),
         [this, &node, life] { tick (node, life); });
}

void
cap_world::update_view (cap_world_node &node)
{
  std::vector<uint32_t> listed;
  std::vector<uint32_t> lapsed;

  if (!node.up)
    return;
  for (const auto &other : nodes)
    {
      struct eel_instance entry = {};

      // A node that is cut off itself doesn't take it for a removal.
      if (other->lapsed)
        entry.state = cut_off[node.address - 1] ? EEL_INSTANCE_LAPSED
                                                : EEL_INSTANCE_REMOVED;
      entry.lapsed_us = other->lapsed_us;
      if (!other->listed)
        continue;
      switch (eel_cap_standing_of (&entry, now_us))
        {
        case EEL_CAP_LISTED:
          listed.push_back (other->address);
          break;
        case EEL_CAP_LAPSED:
          lapsed.push_back (other->address);
          break;
        case EEL_CAP_GONE:
          break;
        }
    }
  eel_cap_view_set (&node.view, listed.data (), (uint32_t)listed.size (),
                    lapsed.data (), (uint32_t)lapsed.size ());
  eel_cap_holder_view_changed (&node.holder, now_us);
  eel_team_cap_view_changed (&node.cap, now_us);
}

// Each node learns of a change of the list within a second.
void
cap_world::list_changed ()
{
  for (auto &node : nodes)
    after ((int64_t)(unit () * (double)config.list_lag_us),
           [this, n = node.get ()] {
             deliver (*n, [this, n] { update_view (*n); });
           });
}

void
cap_world::start (cap_world_node &node)
{
  const struct eel_cap_tolerance tolerance
      = { cap_world_overshoot, cap_world_slack };

  node.up = true;
  node.frozen_until_us = 0;
  node.view = {};
  eel_cap_view_set (&node.view, nullptr, 0, nullptr, 0);
  eel_cap_holder_init (&node.holder, &node.view, &tolerance);
  eel_team_cap_init (&node.cap, &node.view, node.address,
                     (uint32_t)eel_rng_next (&rng), now_us);
  update_view (node);
  tick (node, node.life);
}

void
cap_world::add_node (bool up)
{
  auto node = std::make_unique<cap_world_node> ();

  node->address = (uint32_t)nodes.size () + 1;
  node->domain = (uint32_t)nodes.size () % 3;
  node->listed = up;
  nodes.push_back (std::move (node));
  cut_off.push_back (0);
}

void
cap_world::run ()
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
      cap_world_event next = events.top ();

      events.pop ();
      now_us = next.at_us;
      next.run ();
    }
  measure ();
}

cap_world_result
run_cap_world (const cap_world_config &config)
{
  auto w = std::make_unique<cap_world> (config);

  w->run ();
  return w->result;
}
