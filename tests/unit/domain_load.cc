#include "domain_load.h"

#include <algorithm>
#include <cmath>

namespace
{
constexpr uint64_t SMALL = 1;
constexpr uint64_t LARGE = 2;
constexpr uint64_t SMALL_BYTES = 400;
constexpr uint64_t LARGE_BYTES = 36 * 1024;
}

uint32_t
domain_load::domain_of (uint32_t endpoint)
{
  return endpoint / ENDPOINTS;
}

uint32_t
domain_load::home_of (const request &each) const
{
  return each.sender / SENDERS;
}

int64_t
domain_load::path_us (const request &each, uint32_t endpoint) const
{
  return domain_of (endpoint) == home_of (each) ? 200 : 200 + played.way_us;
}

bool
domain_load::is_cut (int64_t now_us) const
{
  return played.cut_at_s > 0 && now_us >= played.cut_at_s * EEL_US_PER_S;
}

domain_load::domain_load (const plan &plan,
                          rule rule,
                          uint64_t seed,
                          double kilobyte_cost)
    : played (plan), used (rule), gates (plan.domains * ENDPOINTS),
      senders (plan.domains * SENDERS)
{
  const struct eel_domain_flow_config config = { 1, kilobyte_cost };

  eel_rng_init (&rng, seed);
  for (auto &gate : gates)
    {
      eel_gate_init (&gate, SLOTS);
      gate.hold_us = WORK_US;
      gate.last_rank = 1;
    }
  for (uint32_t s = 0; s < senders.size (); s++)
    {
      sender &each = senders[s];

      each.storage.resize (gates.size ());
      eel_directory_init (&each.directory, each.storage.data (),
                          (uint32_t)gates.size ());
      eel_domain_flow_init (&each.flow, &config);
      for (uint32_t e = 0; e < gates.size (); e++)
        {
          struct eel_instance instance = {};

          snprintf (instance.id, sizeof instance.id, "%u", e);
          instance.revision = 1;
          instance.ip = e + 1;
          instance.slots = SLOTS;
          instance.domain
              = (uint8_t)((domain_of (e) + plan.domains - s / SENDERS)
                          % plan.domains);
          instance.same_domain = instance.domain == EEL_HOME_DOMAIN;
          eel_directory_put (&each.directory, &instance, 0);
        }
    }
}

// Time that a request takes at the endpoint, from what is there now.
double
domain_load::finish_us (uint32_t endpoint) const
{
  const struct eel_gate &gate = gates[endpoint];
  double wait = gate.running < gate.limit
                    ? 0
                    : (gate.queued + 1) * WORK_US / gate.limit;

  return wait + WORK_US;
}

// Least expected finish over all domains with the way added; by the reports, or
// by what is there now with home first while it is in time.
struct eel_instance *
domain_load::pick_by_finish (request &each, int64_t now_us, bool knows)
{
  sender &from = senders[each.sender];
  struct eel_instance *best = nullptr;
  double best_us = 0;

  for (auto &instance : from.storage)
    {
      auto endpoint = (uint32_t)atoi (instance.id);
      bool tried = false;
      double cost;

      for (uint32_t i = 0; i < each.tried_count; i++)
        tried |= each.tried[i] == instance.id;
      if (tried)
        continue;
      cost = knows
                 ? finish_us (endpoint)
                 : WORK_US * std::max (1000U, instance.report.use_milli) / 1000;
      cost += 2.0 * (double)path_us (each, endpoint)
              + (double)eel_rng_below (&rng, 1000);
      if (!knows)
        cost += instance.in_flight * WORK_US / SLOTS;
      if (knows && !instance.same_domain)
        cost += TARGET_US - (now_us - each.sent_us) - WORK_US;
      if (best == nullptr || cost < best_us)
        {
          best = &instance;
          best_us = cost;
        }
    }
  return best;
}

struct eel_instance *
domain_load::pick (request &each, int64_t now_us)
{
  sender &from = senders[each.sender];
  struct eel_place_query query = {};
  struct eel_flow_request request_info = {};

  each.is_guest = 0;
  if (each.tried_count == 6)
    return nullptr;
  if (used == rule::KNOWS_ALL || used == rule::LEAST_FINISH)
    return pick_by_finish (each, now_us, used == rule::KNOWS_ALL);
  query.tried = each.tried;
  query.tried_count = each.tried_count;
  request_info.route = each.route;
  request_info.route_target_us = TARGET_US;
  request_info.target_us = each.sent_us + TARGET_US;
  request_info.refusals = each.refusals;
  if (used == rule::FLOW)
    return eel_domain_flow_pick (&from.flow, &from.directory, &query,
                                 &request_info, now_us, &rng, &each.is_guest);
  return eel_place_pick (&from.directory, &query, now_us, &rng);
}

void
domain_load::send (size_t index, int64_t now_us)
{
  request &each = requests[index];
  struct eel_instance *picked = pick (each, now_us);
  auto second = (size_t)(now_us / EEL_US_PER_S);
  uint32_t home = home_of (each);

  if (picked == nullptr)
    {
      bool room = false;

      for (auto &gate : gates)
        room |= gate.running < gate.limit && !is_cut (now_us);
      counts.refused++;
      counts.refused_with_room += room;
      return;
    }
  for (auto &by_s : counts.left_by_s)
    by_s.resize (std::max (by_s.size (), second + 1));
  for (auto &by_s : counts.sent_by_s)
    by_s.resize (std::max (by_s.size (), second + 1));
  each.tried[each.tried_count++] = picked->id;
  each.at = (uint32_t)atoi (picked->id);
  counts.sent_by_s[home][second]++;
  if (!picked->same_domain)
    {
      bool fits = false;

      for (uint32_t e = home * ENDPOINTS; e < (home + 1) * ENDPOINTS; e++)
        fits
            |= finish_us (e) - WORK_US
               <= 0.5 * ((double)(each.sent_us + TARGET_US - now_us) - WORK_US);
      counts.left++;
      counts.left_in_vain += fits;
      counts.left_by_s[home][second]++;
    }
  eel_place_sent (picked);
  if (is_cut (now_us) && !picked->same_domain)
    {
      eel_place_done (picked, 0);
      eel_place_failed (picked, now_us);
      events.push ({ now_us + 350 * EEL_US_PER_MS, ARRIVE, index, 0, {}, 0 });
      return;
    }
  eel_place_accepted (picked);
  events.push ({ now_us + path_us (each, each.at), REACH, index, 0, {}, 0 });
}

void
domain_load::answer (size_t index, kind what, int64_t now_us)
{
  const request &each = requests[index];
  struct eel_gate *gate = &gates[each.at];
  struct eel_instance_report report = {};
  event next
      = { now_us + path_us (each, each.at), what, index, each.at, {}, 0 };

  report.use_milli = eel_gate_use_milli (gate, now_us);
  report.hold_us = (int64_t)gate->hold_us;
  next.report = report;
  if (!senders[each.sender].storage[each.at].same_domain)
    counts.bytes += what == REFUSED       ? SMALL_BYTES
                    : each.route == LARGE ? LARGE_BYTES
                                          : SMALL_BYTES;
  events.push (next);
}

void
domain_load::start (size_t index, int64_t now_us)
{
  events.push ({ now_us + (int64_t)(WORK_US * (0.5 + eel_rng_unit (&rng))),
                 END,
                 index,
                 requests[index].at,
                 {},
                 now_us });
}

void
domain_load::reach (size_t index, int64_t now_us)
{
  const request &each = requests[index];
  const struct eel_gate_item item
      = { 1, now_us, each.sent_us + TARGET_US, each.sent_us + LIMIT_US,
          reinterpret_cast<void *> (index) };

  switch (each.is_guest ? eel_gate_offer_guest (&gates[each.at], &item, now_us)
                        : eel_gate_offer (&gates[each.at], &item, now_us))
    {
    case EEL_GATE_START:
      start (index, now_us);
      break;
    case EEL_GATE_REFUSE:
      answer (index, REFUSED, now_us);
      break;
    case EEL_GATE_QUEUE:
      break;
    }
}

void
domain_load::dispatch (uint32_t endpoint, int64_t now_us)
{
  struct eel_gate_item item;

  for (;;)
    {
      enum eel_gate_verdict verdict
          = eel_gate_next (&gates[endpoint], &item, now_us);
      auto index = reinterpret_cast<size_t> (item.owner);

      if (verdict == EEL_GATE_QUEUE)
        return;
      if (verdict == EEL_GATE_START)
        start (index, now_us);
      else
        answer (index, REFUSED, now_us);
    }
}

void
domain_load::learn (const event &next)
{
  const request &each = requests[next.index];
  sender &from = senders[each.sender];

  eel_place_answered (&from.storage[next.endpoint], &next.report, next.at_us);
}

void
domain_load::receive (const event &next)
{
  request &each = requests[next.index];
  sender &from = senders[each.sender];
  struct eel_instance *instance = &from.storage[each.at];
  event report = next;

  eel_place_done (instance, 1);
  report.what = REPORT;
  report.at_us += played.report_delay_us;
  if (eel_rng_unit (&rng) >= played.report_loss)
    events.push (report);
  if (next.what == REFUSED)
    {
      if (instance->same_domain)
        each.refusals++;
      else
        eel_domain_flow_refused (&from.flow, 0, instance->domain, next.at_us);
      send (next.index, next.at_us);
      return;
    }
  eel_domain_flow_count_bytes (&from.flow, each.route,
                               each.route == LARGE ? LARGE_BYTES : SMALL_BYTES);
  eel_domain_flow_report_way (&from.flow, instance->domain,
                              2 * path_us (each, each.at));
  counts.served++;
  counts.in_time += next.at_us - each.sent_us <= TARGET_US;
  counts.latencies_us.push_back (next.at_us - each.sent_us);
}

void
domain_load::lose_slots ()
{
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    eel_gate_set_slots (&gates[e], (uint32_t)(SLOTS * (1 - played.lost_slots)));
}

void
domain_load::run ()
{
  double rate = played.load * ENDPOINTS * SLOTS * 0.95 / (WORK_US / 1e6);
  bool lost = false;

  for (uint32_t s = 0; s < senders.size (); s++)
    for (double at = 0; at < played.seconds;)
      {
        double phase = at / 15 + (double)(s / SENDERS) / DOMAINS;
        double wave = 1 + played.swing * sin (2 * M_PI * phase);

        at -= log (1 - eel_rng_unit (&rng)) * SENDERS / (rate * wave);
        requests.push_back ({ s,
                              (int64_t)(at * 1e6),
                              eel_rng_below (&rng, 2) == 0 ? SMALL : LARGE,
                              {},
                              0,
                              0,
                              0,
                              0 });
        events.push (
            { (int64_t)(at * 1e6), ARRIVE, requests.size () - 1, 0, {}, 0 });
      }
  counts.requests = (uint32_t)requests.size ();
  while (!events.empty ())
    {
      event next = events.top ();

      events.pop ();
      if (!lost && played.lost_slots > 0
          && next.at_us > played.seconds * EEL_US_PER_S / 2)
        {
          lose_slots ();
          lost = true;
        }
      if (next.what == ARRIVE)
        send (next.index, next.at_us);
      else if (next.what == REACH)
        reach (next.index, next.at_us);
      else if (next.what == REPORT)
        learn (next);
      else if (next.what == END)
        {
          eel_gate_done (&gates[next.endpoint], next.at_us - next.started_us,
                         next.at_us);
          answer (next.index, ANSWER, next.at_us);
          dispatch (next.endpoint, next.at_us);
        }
      else
        receive (next);
    }
}
