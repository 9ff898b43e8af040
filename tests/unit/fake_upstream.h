#ifndef EEL_TESTS_FAKE_UPSTREAM_H
#define EEL_TESTS_FAKE_UPSTREAM_H

#include <map>
#include <vector>

extern "C"
{
#include "eelgrasslatch/admission.h"
#include "eelgrasslatch/rng.h"
}

/*
 * Simulates in virtual time an upstream behind one admission controller: true
 * slots, a service time per route, a slowdown factor, and refusal or processor
 * sharing above the true slots.
 */
struct fake_upstream
{
  struct eel_admission admission;
  std::vector<struct eel_admission_queued> queue;
  std::multimap<int64_t, struct eel_work_item> running;
  std::map<uint32_t, int64_t> service_us;
  struct eel_rng rng;
  int64_t now_us = 0;
  double slowdown = 1;
  uint32_t true_slots = 1000;
  /* Above the true slots: refuse, or slow down by processor sharing. */
  bool refuses = true;
  uint64_t next_id = 1;
  std::vector<struct eel_work_item> completed;
  std::vector<uint64_t> evicted;
  std::vector<struct eel_work_item> dropped;

  explicit fake_upstream (const struct eel_admission_config &config)
      : queue (512)
  {
    eel_rng_init (&rng, 7);
    eel_admission_init (&admission, &config, queue.data (),
                        static_cast<uint32_t> (queue.size ()), 0);
  }

  void
  begin (const struct eel_work_item &work)
  {
    double duration_us = static_cast<double> (service_us[work.route_hash])
                         * slowdown * (0.5 + eel_rng_unit (&rng));

    if (running.size () >= true_slots)
      {
        if (refuses)
          {
            eel_admission_done (&admission, &work, EEL_WORK_REFUSED, now_us);
            return;
          }
        duration_us *= static_cast<double> (running.size () + 1) / true_slots;
      }
    running.emplace (now_us + static_cast<int64_t> (duration_us), work);
  }

  struct eel_offer_result
  offer (enum eel_class klass,
         uint32_t route,
         int64_t deadline_us,
         uint32_t caller = 1,
         bool nested = false)
  {
    struct eel_work_item work = {};

    work.id = next_id++;
    work.klass = klass;
    work.nested = nested;
    work.caller_hash = caller;
    work.route_hash = route;
    work.deadline_us = now_us + deadline_us;
    struct eel_offer_result result
        = eel_admission_offer (&admission, &work, now_us);
    if (result.verdict == EEL_OFFER_START)
      begin (work);
    if (result.evicted_id != 0)
      evicted.push_back (result.evicted_id);
    return result;
  }

  void
  drain_queue ()
  {
    struct eel_work_item work;
    enum eel_error error;

    while (eel_admission_next (&admission, &work, &error, now_us))
      if (error == EEL_OK)
        begin (work);
      else
        dropped.push_back (work);
  }

  /*
   * Advances virtual time to end_us, completing running and starting queued
   * work.
   */
  void
  run_to (int64_t end_us)
  {
    while (!running.empty () && running.begin ()->first <= end_us)
      {
        auto first = running.begin ();
        struct eel_work_item work = first->second;

        now_us = first->first;
        running.erase (first);
        completed.push_back (work);
        eel_admission_done (&admission, &work,
                            now_us <= work.deadline_us ? EEL_WORK_OK
                                                       : EEL_WORK_TIMED_OUT,
                            now_us);
        drain_queue ();
      }
    now_us = end_us;
    drain_queue ();
  }
};

static inline struct eel_admission_config
fake_config (uint32_t slots, uint32_t queue_max = 100)
{
  struct eel_admission_config config = {};

  config.slots = slots;
  config.limit_min = 1;
  config.queue_max = queue_max;
  config.queue_target_us = 20 * EEL_US_PER_MS;
  config.long_factor = 8;
  config.long_share_max_percent = 75;
  config.caller_share_percent = 50;
  return config;
}

#endif
