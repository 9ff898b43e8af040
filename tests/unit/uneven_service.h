#pragma once

#include <queue>
#include <string>
#include <vector>

extern "C"
{
#include "eelgrasslatch/gate.h"
#include "eelgrasslatch/place.h"
#include "eelgrasslatch/run_times.h"
}

// Requests of several senders to the endpoints of one service in one failure
// domain, in virtual time.  Endpoints differ in speed, are slow for moments,
// and slow down above a part of their slots.
struct uneven_service
{
  enum rule
  {
    USE,
    FINISH,
    // Least expected end by the true state of every endpoint.
    ALL_KNOWING
  };
  struct kind
  {
    double work_ms;
    double target_ms;
    double deadline_ms;
    // Share of the requests.
    double share;
  };
  struct endpoint
  {
    double speed;
    double born_s;
    struct eel_gate gate;
    struct eel_run_times times;
    uint32_t on_way;
    double slow_until_s;
    uint32_t runs;
  };
  struct call
  {
    uint32_t sender;
    uint32_t kind;
    double sent_s;
    uint32_t at;
    double started_s;
    const char *tried[4];
    uint32_t tried_count;
    bool counted;
  };
  enum what
  {
    ARRIVE,
    REACH,
    END,
    REPORT
  };
  struct event
  {
    double at_s;
    enum what what;
    size_t index;
    uint32_t at;
    struct eel_instance_report report;
    // The request is answered with it.
    int outcome;
    double reported_s;
    bool
    operator<(const event &other) const
    {
      return at_s > other.at_s;
    }
  };

  // The load.
  rule by = USE;
  std::vector<double> speeds;
  std::vector<kind> kinds;
  uint32_t slots = 34;
  uint32_t senders = 12;
  double use = 0.6;
  double seconds = 20;
  double slow_share = 0;
  double slow_factor = 2.5;
  double slow_s = 0.6;
  // Slots, as a share of all, from which on runs take longer.
  double knee_from = 0.95;
  double knee_factor = 1;
  double report_late_s = 0;
  double report_lost = 0;
  double cold_s = 0;
  double cold_factor = 2;
  // When the last endpoint starts; the others are long up.
  double last_born_s = -100;

  // What became of it.
  uint32_t sent = 0;
  uint32_t in_time = 0;
  uint32_t served = 0;
  uint32_t greatest_queue = 0;
  std::vector<double> times_ms;
  std::vector<uint32_t> in_time_of;
  std::vector<uint32_t> sent_of;

  std::vector<endpoint> endpoints;
  std::vector<std::vector<struct eel_instance>> storage;
  std::vector<struct eel_directory> directories;
  std::vector<call> calls;
  std::priority_queue<event> events;
  struct eel_rng rng;

  static int64_t us (double s);
  double present_speed (endpoint &each, double now_s);
  void put (uint32_t index, double now_s);
  double mean_work_ms () const;
  void prepare (uint64_t seed);
  // Log-normal, with a long tail in 3 of 100.
  double work_ms (const kind &each);
  // The fastest endpoint with a free slot; without one, that of the least
  // expected end.  Refused requests are offered to the others.
  int pick_all_knowing (const call &each, double now_s);
  void arrive (size_t index, double now_s);
  // An answer, which is delivered at once, and its report, which may be late.
  void answer (size_t index, double now_s, bool ran);
  void start (size_t index, double now_s);
  void reach (size_t index, double now_s);
  void end (size_t index, double now_s);
  void receive (const event &event);
  // Moments of slowness begin at random, so that they fill the given share.
  void begin_slow_moments (double now_s, double step_s);
  void run (rule of, uint64_t seed);
  double quantile_ms (double share) const;
  double in_time_share () const;
  double served_share () const;
};
