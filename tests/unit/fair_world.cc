#include "fair_world.h"

#include <cmath>
#include <cstdio>

namespace fair_world
{
world::world (uint32_t nodes_, uint32_t slots, bool fair_, uint64_t seed)
    : nodes (nodes_), fair (fair_), gates (nodes_), entry_gates (nodes_),
      crowdings (nodes_), repeats (nodes_), storage (nodes_),
      directories (nodes_)
{
  eel_rng_init (&rng, seed);
  for (uint32_t n = 0; n < nodes; n++)
    {
      eel_gate_init (&gates[n], slots);
      gates[n].last_rank = 2;
      eel_entry_gate_init (&entry_gates[n]);
      entry_gates[n].last_rank = 2;
      eel_crowding_init (&crowdings[n]);
      eel_repeats_init (&repeats[n]);
      storage[n].resize (nodes);
      eel_directory_init (&directories[n], storage[n].data (), nodes);
      for (uint32_t i = 0; i < nodes; i++)
        {
          struct eel_instance instance = {};

          snprintf (instance.id, sizeof instance.id, "%u", i);
          instance.revision = 1;
          instance.slots = slots;
          instance.same_domain = n % 3 == i % 3;
          eel_directory_put (&directories[n], &instance, 0);
        }
    }
}

void
world::at (int64_t at_us, std::function<void (int64_t)> run)
{
  events.push ({ at_us, std::move (run), order++ });
}

const kind &
world::kind_of (const call &each) const
{
  return kinds[teams[each.team].what];
}

uint64_t
world::team_id (const call &each) const
{
  return fair && !teams[each.team].nameless ? each.team + 1 : 0;
}

void
world::come_back (size_t index, double refused_share, int64_t now_us)
{
  call &each = calls[index];
  int64_t left_us = each.first_us + kind_of (each).deadline_us - now_us;
  int64_t after_us = eel_retry_after_us (kind_of (each).target_us, left_us,
                                         refused_share, &rng);

  if (teams[each.team].nameless)
    return;
  if (fair)
    eel_repeats_refused (&repeats[each.node], index + 1, after_us, now_us);
  if (each.abuses)
    after_us = 10 * MS;
  if (each.returns++ < (each.abuses ? 3 : 1) && after_us < left_us)
    at (now_us + after_us, [this, index] (int64_t us) { enter (index, us); });
}

void
world::enter (size_t index, int64_t now_us)
{
  call &each = calls[index];
  struct eel_entry_gate *gate = &entry_gates[each.node];
  uint64_t route = teams[each.team].what + 1;
  double share = eel_crowding_refused_share (
      &crowdings[each.node], 0, team_id (each), kind_of (each).rank, now_us);

  struct eel_rng draw = rng;

  // The same request gets the same answers for a while.
  if (fair)
    eel_rng_init (&draw, index * 1000003 + (uint64_t)(now_us / (300 * MS)));
  else
    eel_rng_next (&rng);
  each.tried_count = 0;
  if ((fair && eel_repeats_is_early (&repeats[each.node], index + 1, now_us))
      || (share > 0 && eel_rng_unit (&draw) < share))
    {
      refused_at_entry++;
      come_back (index, share, now_us);
    }
  else if (!eel_entry_gate_admit (gate, route, kind_of (each).rank, now_us,
                                  &draw))
    come_back (index, eel_entry_gate_refused_share (gate, route), now_us);
  else
    send (index, now_us);
}

uint32_t
world::node_of (const team &from, double seconds)
{
  if (from.node == MOVES)
    return (uint32_t)seconds % nodes;
  return from.node >= 0 ? (uint32_t)from.node : eel_rng_below (&rng, nodes);
}

bool
world::is_cut (uint32_t from, uint32_t to, int64_t now_us) const
{
  return from != to && (from == (uint32_t)cut || to == (uint32_t)cut)
         && now_us >= cut_from_us && now_us < cut_until_us;
}

struct eel_instance *
world::pick (call &each, int64_t now_us)
{
  while (each.tried_count < 3)
    {
      const struct eel_place_query query
          = { 0, each.tried, each.tried_count, 0, 0 };
      struct eel_instance *picked
          = eel_place_pick (&directories[each.node], &query, now_us, &rng);

      if (picked == nullptr)
        return nullptr;
      each.tried[each.tried_count++] = picked->id;
      if (!is_cut (each.node, (uint32_t)atoi (picked->id), now_us))
        return picked;
      eel_place_sent (picked);
      eel_place_failed (picked, now_us);
      eel_place_done (picked, 0);
    }
  return nullptr;
}

void
world::send (size_t index, int64_t now_us)
{
  call &each = calls[index];
  struct eel_instance *picked = pick (each, now_us);

  if (picked == nullptr)
    {
      come_back (index,
                 eel_entry_gate_refused_share (&entry_gates[each.node],
                                               teams[each.team].what + 1),
                 now_us);
      return;
    }
  each.at = (uint32_t)atoi (picked->id);
  eel_place_sent (picked);
  eel_place_accepted (picked);
  at (now_us + PATH_US, [this, index] (int64_t us) { reach (index, us); });
}

void
world::start (size_t index, int64_t now_us)
{
  double work_us = kind_of (calls[index]).work_us * (0.5 + eel_rng_unit (&rng))
                   / speed ((double)now_us / 1e6);

  at (now_us + (int64_t)work_us,
      [this, index, now_us] (int64_t us) { end (index, us - now_us, us); });
}

void
world::reach (size_t index, int64_t now_us)
{
  call &each = calls[index];
  const kind &what = kind_of (each);
  const struct eel_gate_item item
      = { what.rank, now_us, each.first_us + what.target_us,
          each.first_us + what.deadline_us, reinterpret_cast<void *> (index) };
  const struct eel_gate_share share
      = { team_id (each),
          (uint32_t)(1000 * teams[each.team].weight),
          what.work_us,
          0,
          0,
          0,
          0 };
  struct eel_gate *gate = &gates[each.at];

  each.offered_us = now_us;
  switch (eel_gate_offer_share (gate, &item, &share, now_us))
    {
    case EEL_GATE_START:
      start (index, now_us);
      break;
    case EEL_GATE_REFUSE:
      answer (index, true, now_us);
      break;
    case EEL_GATE_QUEUE:
      if (gate->displaced > 0)
        dispatch (each.at, now_us);
      break;
    }
}

void
world::dispatch (uint32_t node, int64_t now_us)
{
  struct eel_gate_item item;

  for (;;)
    {
      enum eel_gate_verdict verdict
          = eel_gate_next (&gates[node], &item, now_us);
      size_t index = reinterpret_cast<size_t> (item.owner);

      if (verdict == EEL_GATE_QUEUE)
        return;
      if (verdict == EEL_GATE_START)
        start (index, now_us);
      else
        {
          held_us.push_back (now_us - calls[index].offered_us);
          answer (index, true, now_us);
        }
    }
}

void
world::end (size_t index, int64_t held, int64_t now_us)
{
  call &each = calls[index];
  outcome &sum = outcomes[each.team];
  outcome &group = each.abuses ? abusing : obeying;
  bool in_time = now_us - each.first_us <= kind_of (each).target_us;

  eel_gate_done (&gates[each.at], held, now_us);
  if (team_id (each) != 0)
    eel_gate_done_share (&gates[each.at], team_id (each), kind_of (each).rank,
                         held);
  if (now_us <= until_us)
    sum.slot_us += (double)held;
  if (now_us <= until_us
      && now_us - each.first_us <= kind_of (each).deadline_us)
    {
      sum.served++;
      sum.in_time += in_time;
      group.served++;
      group.in_time += in_time;
    }
  answer (index, false, now_us);
  dispatch (each.at, now_us);
}

// Sends the answer with the load of the gate, and what it tells of teams.
void
world::answer (size_t index, bool refused, int64_t now_us)
{
  call &each = calls[index];
  struct eel_gate *gate = &gates[each.at];
  const struct eel_instance_report report
      = { eel_gate_use_milli (gate, now_us), 0, 0, 0, 0, 0, 0, 0, {}, 0 };
  int64_t wait_us = eel_gate_wait_us (gate, now_us);
  std::vector<struct eel_fair_excess> told (EEL_CROWDING_TOLD_MAX);
  bool hears = each.node != (uint32_t)deaf && eel_rng_unit (&rng) >= lost
               && !is_cut (each.node, each.at, now_us);

  told.resize (eel_fair_order_excess (&gate->fair, told.data (),
                                      EEL_CROWDING_TOLD_MAX, now_us));
  at (now_us + PATH_US, [=] (int64_t us) {
    struct eel_instance *instance
        = eel_directory_find (&directories[calls[index].node],
                              std::to_string (calls[index].at).c_str ());

    eel_place_done (instance, 1);
    if (refused)
      send (index, us);
    else
      eel_entry_gate_report_outcome (
          &entry_gates[calls[index].node], teams[calls[index].team].what + 1,
          us - calls[index].first_us > kind_of (calls[index]).target_us, us);
  });
  if (hears)
    at (now_us + PATH_US + late_us,
        [=] (int64_t us) { hear (index, report, wait_us, told, us); });
}

void
world::hear (size_t index,
             const struct eel_instance_report &report,
             int64_t wait_us,
             const std::vector<struct eel_fair_excess> &told,
             int64_t now_us)
{
  const call &each = calls[index];

  eel_place_answered (eel_directory_find (&directories[each.node],
                                          std::to_string (each.at).c_str ()),
                      &report, now_us);
  eel_entry_gate_report_pressure (
      &entry_gates[each.node], teams[each.team].what + 1,
      1000.0 * (double)wait_us / (double)kind_of (each).target_us, now_us);
  for (const auto &excess : told)
    eel_crowding_told (&crowdings[each.node], 0, &excess, now_us);
}

void
world::run (double seconds)
{
  outcomes.assign (teams.size (), {});
  until_us = (int64_t)(seconds * 1e6);
  for (size_t t = 0; t < teams.size (); t++)
    for (double when = 0; when < seconds;)
      {
        const team &from = teams[t];
        double factor = from.factor ? from.factor (when) : 1;

        when -= log (1 - eel_rng_unit (&rng)) / (from.per_s * factor);
        uint32_t node = node_of (from, when);
        bool abuses = eel_rng_unit (&rng) < from.abuse;
        size_t index = calls.size ();

        calls.push_back (
            { t, node, abuses, (int64_t)(when * 1e6), 0, {}, 0, 0, 0 });
        outcomes[t].asked++;
        (abuses ? abusing : obeying).asked++;
        at ((int64_t)(when * 1e6),
            [this, index] (int64_t us) { enter (index, us); });
      }
  while (!events.empty ())
    {
      event next = events.top ();

      events.pop ();
      next.run (next.at_us);
    }
}

// Share of what the teams asked that was served.
double
world::served_share (size_t first, size_t last) const
{
  double asked = 0;
  double served = 0;

  for (size_t t = first; t <= last; t++)
    {
      asked += outcomes[t].asked;
      served += outcomes[t].served;
    }
  return served / asked;
}

double
world::in_time_share (size_t first, size_t last) const
{
  double asked = 0;
  double in_time = 0;

  for (size_t t = first; t <= last; t++)
    {
      asked += outcomes[t].asked;
      in_time += outcomes[t].in_time;
    }
  return in_time / asked;
}
}
