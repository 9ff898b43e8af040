#include "uneven_service.h"

#include <algorithm>
#include <cmath>
#include <string>

int64_t
uneven_service::us (double s)
{
  return (int64_t)((s + 10) * 1e6);
}

double
uneven_service::present_speed (endpoint &each, double now_s)
{
  double speed = each.speed;

  if (now_s < each.slow_until_s)
    speed /= slow_factor;
  if (now_s < each.born_s + cold_s)
    speed /= cold_factor;
  return speed;
}

void
uneven_service::put (uint32_t index, double now_s)
{
  struct eel_instance instance = {};

  snprintf (instance.id, sizeof instance.id, "%u", index);
  instance.revision = 1;
  instance.slots = slots;
  instance.same_domain = 1;
  instance.cold_until_us = us (endpoints[index].born_s + cold_s);
  for (auto &directory : directories)
    eel_directory_put (&directory, &instance, us (now_s));
}

double
uneven_service::mean_work_ms () const
{
  double sum = 0;

  for (const kind &each : kinds)
    sum += each.share * each.work_ms;
  return sum;
}

void
uneven_service::prepare (uint64_t seed)
{
  double capacity = 0;

  eel_rng_init (&rng, seed);
  endpoints.resize (speeds.size ());
  storage.resize (senders);
  directories.resize (senders);
  in_time_of.assign (kinds.size (), 0);
  sent_of.assign (kinds.size (), 0);
  for (uint32_t s = 0; s < senders; s++)
    {
      storage[s].resize (speeds.size ());
      eel_directory_init (&directories[s], storage[s].data (),
                          (uint32_t)speeds.size ());
      eel_directory_set_stable_since (&directories[s], 0);
    }
  for (uint32_t i = 0; i < speeds.size (); i++)
    {
      endpoint &each = endpoints[i];

      each = {};
      each.speed = speeds[i];
      each.born_s = i + 1 == speeds.size () ? last_born_s : -100;
      each.slow_until_s = -1;
      eel_gate_init (&each.gate, slots);
      eel_run_times_init (&each.times);
      each.gate.last_rank = 2;
      if (each.born_s < 0)
        put (i, 0);
      capacity += each.gate.limit * each.speed;
    }
  for (double at_s = 0; at_s < seconds;)
    {
      double pick = eel_rng_unit (&rng);
      uint32_t of = 0;

      at_s -= log (1 - eel_rng_unit (&rng)) * mean_work_ms () / 1000
              / (use * capacity);
      while (of + 1 < kinds.size () && pick > kinds[of].share)
        pick -= kinds[of++].share;
      events.push ({ at_s, ARRIVE, calls.size (), 0, {}, 0, 0 });
      calls.push_back ({ (uint32_t)eel_rng_below (&rng, senders),
                         of,
                         at_s,
                         0,
                         0,
                         {},
                         0,
                         at_s > 2 });
    }
}

double
uneven_service::work_ms (const kind &each)
{
  double normal = sqrt (-2 * log (1 - eel_rng_unit (&rng)))
                  * cos (2 * M_PI * eel_rng_unit (&rng));
  double tail = eel_rng_unit (&rng) < 0.03 ? 7 : 1;

  return each.work_ms / 1.18 * exp (0.5 * normal - 0.125) * tail;
}

int
uneven_service::pick_all_knowing (const call &each, double now_s)
{
  int best = -1;
  double best_ms = 0;

  for (uint32_t i = 0; i < endpoints.size (); i++)
    {
      endpoint &at = endpoints[i];
      double ahead = (double)at.gate.running + at.gate.queued + at.on_way + 1
                     - at.gate.limit;
      double end_ms = kinds[each.kind].work_ms;
      bool tried = false;

      for (uint32_t t = 0; t < each.tried_count; t++)
        tried |= (uint32_t)atoi (each.tried[t]) == i;
      if (tried || now_s < at.born_s)
        continue;
      if (ahead > 0)
        end_ms += 1e6 + ahead * mean_work_ms () / at.gate.limit;
      end_ms /= present_speed (at, now_s);
      if (best < 0 || end_ms < best_ms)
        {
          best = (int)i;
          best_ms = end_ms;
        }
    }
  return best;
}

void
uneven_service::arrive (size_t index, double now_s)
{
  call &each = calls[index];
  const struct eel_place_query query
      = { 0, each.tried, each.tried_count, (uint8_t)(by == FINISH),
          each.kind + 1 };
  struct eel_instance *picked = nullptr;

  if (each.tried_count == 0)
    {
      sent += each.counted;
      sent_of[each.kind] += each.counted;
    }
  if (each.tried_count == 4)
    return;
  if (by != ALL_KNOWING)
    picked
        = eel_place_pick (&directories[each.sender], &query, us (now_s), &rng);
  else
    picked = eel_directory_find (
        &directories[each.sender],
        std::to_string (pick_all_knowing (each, now_s)).c_str ());
  if (picked == nullptr)
    return;
  each.tried[each.tried_count++] = picked->id;
  each.at = (uint32_t)atoi (picked->id);
  eel_place_sent (picked);
  eel_place_accepted (picked);
  endpoints[each.at].on_way++;
  events.push ({ now_s + 0.0003, REACH, index, each.at, {}, 0, 0 });
}

void
uneven_service::answer (size_t index, double now_s, bool ran)
{
  call &each = calls[index];
  endpoint &at = endpoints[each.at];
  event event
      = { now_s + 0.0003, REPORT, index, each.at, {}, ran ? 1 : 2, now_s };
  struct eel_instance_report &report = event.report;

  report.use_milli = eel_gate_use_milli (&at.gate, us (now_s));
  report.hold_us = (int64_t)at.gate.hold_us;
  report.speed_milli = eel_run_times_speed_milli (&at.times, us (now_s));
  report.route = each.kind + 1;
  report.run_us = eel_run_times_usual_us (&at.times, report.route);
  if (report_late_s > 0 || report_lost > 0)
    {
      struct event late = event;

      late.at_s += report_late_s;
      late.outcome = 0;
      if (eel_rng_unit (&rng) >= report_lost)
        events.push (late);
      event.report.use_milli = UINT32_MAX;
    }
  events.push (event);
}

void
uneven_service::start (size_t index, double now_s)
{
  call &each = calls[index];
  endpoint &at = endpoints[each.at];
  double run_s = work_ms (kinds[each.kind]) / 1000 / present_speed (at, now_s);

  if (at.gate.running >= knee_from * slots)
    run_s *= knee_factor;
  at.runs++;
  each.started_s = now_s;
  events.push ({ now_s + run_s, END, index, each.at, {}, 0, 0 });
}

void
uneven_service::reach (size_t index, double now_s)
{
  call &each = calls[index];
  endpoint &at = endpoints[each.at];
  const kind &of = kinds[each.kind];
  const struct eel_gate_item item
      = { 2, us (now_s), us (each.sent_s + of.target_ms / 1000),
          us (each.sent_s + of.deadline_ms / 1000),
          reinterpret_cast<void *> (index) };

  at.on_way--;
  switch (eel_gate_offer (&at.gate, &item, us (now_s)))
    {
    case EEL_GATE_START:
      start (index, now_s);
      break;
    case EEL_GATE_REFUSE:
      answer (index, now_s, false);
      break;
    case EEL_GATE_QUEUE:
      greatest_queue = std::max (greatest_queue, at.gate.queued);
      break;
    }
}

void
uneven_service::end (size_t index, double now_s)
{
  call &each = calls[index];
  endpoint &at = endpoints[each.at];
  int64_t held_us = (int64_t)((now_s - each.started_s) * 1e6);
  struct eel_gate_item item;

  eel_gate_done (&at.gate, held_us, us (now_s));
  eel_run_times_record (&at.times, each.kind + 1, held_us, us (now_s));
  answer (index, now_s, true);
  for (;;)
    {
      enum eel_gate_verdict verdict
          = eel_gate_next (&at.gate, &item, us (now_s));

      if (verdict == EEL_GATE_QUEUE)
        return;
      if (verdict == EEL_GATE_START)
        start (reinterpret_cast<size_t> (item.owner), now_s);
      else
        answer (reinterpret_cast<size_t> (item.owner), now_s, false);
    }
}

void
uneven_service::receive (const event &event)
{
  call &each = calls[event.index];
  const kind &of = kinds[each.kind];
  struct eel_instance *instance = eel_directory_find (
      &directories[each.sender], std::to_string (event.at).c_str ());
  double took_ms = 1000 * (event.at_s - each.sent_s);

  if (event.report.use_milli != UINT32_MAX)
    eel_place_answered (instance, &event.report, us (event.reported_s));
  if (event.outcome != 0)
    eel_place_done (instance, 1);
  if (event.outcome == 2)
    arrive (event.index, event.at_s);
  if (event.outcome != 1 || !each.counted)
    return;
  times_ms.push_back (took_ms);
  served += took_ms <= of.deadline_ms;
  in_time += took_ms <= of.target_ms;
  in_time_of[each.kind] += took_ms <= of.target_ms;
}

void
uneven_service::begin_slow_moments (double now_s, double step_s)
{
  for (endpoint &each : endpoints)
    if (slow_share > 0 && now_s >= each.slow_until_s
        && eel_rng_unit (&rng)
               < step_s * slow_share / (1 - slow_share) / slow_s)
      each.slow_until_s = now_s + slow_s;
}

void
uneven_service::run (rule of, uint64_t seed)
{
  double stepped_s = 0;
  bool born = false;

  by = of;
  prepare (seed);
  while (!events.empty ())
    {
      event next = events.top ();

      events.pop ();
      for (; stepped_s < next.at_s; stepped_s += 0.01)
        begin_slow_moments (stepped_s, 0.01);
      if (!born && last_born_s > 0 && next.at_s >= last_born_s)
        {
          born = true;
          put ((uint32_t)endpoints.size () - 1, next.at_s);
        }
      if (next.what == ARRIVE)
        arrive (next.index, next.at_s);
      else if (next.what == REACH)
        reach (next.index, next.at_s);
      else if (next.what == END)
        end (next.index, next.at_s);
      else
        receive (next);
    }
  std::sort (times_ms.begin (), times_ms.end ());
}

double
uneven_service::quantile_ms (double share) const
{
  return times_ms.empty () ? 0
                           : times_ms[(size_t)(share * (times_ms.size () - 1))];
}

double
uneven_service::in_time_share () const
{
  return (double)in_time / sent;
}

double
uneven_service::served_share () const
{
  return (double)served / sent;
}
