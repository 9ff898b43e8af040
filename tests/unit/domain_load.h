#ifndef TESTS_DOMAIN_LOAD_H
#define TESTS_DOMAIN_LOAD_H

#include <queue>
#include <string>
#include <vector>

extern "C"
{
#include "eelgrasslatch/domain_flow.h"
#include "eelgrasslatch/gate.h"
}

enum class rule
{
  USE,
  FLOW,
  LEAST_FINISH,
  KNOWS_ALL
};

// Requests of three failure domains to one service in virtual time.  The
// domains' demand peaks one after the other.
struct domain_load
{
  static constexpr uint32_t DOMAINS = 3;
  static constexpr uint32_t ENDPOINTS = 3;
  static constexpr uint32_t SENDERS = 4;
  static constexpr uint32_t SLOTS = 20;
  static constexpr double WORK_US = 190000;
  static constexpr int64_t TARGET_US = 1500000;
  static constexpr int64_t LIMIT_US = 5000000;

  struct plan
  {
    const char *name;
    double load;
    double swing;
    int64_t way_us;
    int64_t report_delay_us;
    double report_loss;
    // From half of the time on, a domain's endpoints lose so many slots.
    double lost_slots;
    int seconds;
    uint32_t domains;
    // From this second on, nothing passes to the other domains.
    int cut_at_s;
    // Share of the requests that are of a more important rank.
    double urgent = 0;
    // Nodes report the wait of each rank, and refuse by it.
    bool tells_ranks = true;
  };

  struct request
  {
    uint32_t sender;
    int64_t sent_us;
    uint64_t route;
    const char *tried[6];
    uint32_t tried_count;
    uint32_t at;
    uint8_t refusals;
    uint8_t is_guest;
    uint8_t rank;
  };
  enum kind
  {
    ARRIVE,
    REACH,
    END,
    ANSWER,
    REFUSED,
    REPORT
  };
  struct event
  {
    int64_t at_us;
    kind what;
    size_t index;
    uint32_t endpoint;
    struct eel_instance_report report;
    int64_t started_us;
    bool
    operator<(const event &other) const
    {
      return at_us > other.at_us;
    }
  };
  struct counts
  {
    uint32_t requests = 0;
    uint32_t served = 0;
    uint32_t in_time = 0;
    uint32_t refused = 0;
    uint32_t refused_with_room = 0;
    // Of the two ranks.
    uint32_t requests_of[2] = {};
    uint32_t in_time_of[2] = {};
    uint32_t served_of[2] = {};
    uint32_t left = 0;
    uint32_t left_in_vain = 0;
    uint64_t bytes = 0;
    std::vector<int64_t> latencies_us;
    // By second and domain.
    std::vector<uint32_t> left_by_s[DOMAINS];
    std::vector<uint32_t> sent_by_s[DOMAINS];
  };

  plan played;
  rule used;
  struct counts counts;
  std::vector<struct eel_gate> gates;
  struct sender
  {
    std::vector<struct eel_instance> storage;
    struct eel_directory directory;
    struct eel_domain_flow flow;
  };
  std::vector<sender> senders;
  std::vector<request> requests;
  std::priority_queue<event> events;
  struct eel_rng rng;

  domain_load (const plan &plan,
               rule rule,
               uint64_t seed,
               double kilobyte_cost = 0.001);
  void run ();

private:
  static uint32_t domain_of (uint32_t endpoint);
  uint32_t home_of (const request &each) const;
  int64_t path_us (const request &each, uint32_t endpoint) const;
  bool is_cut (int64_t now_us) const;
  double finish_us (uint32_t endpoint) const;
  struct eel_instance *pick (request &each, int64_t now_us);
  struct eel_instance *
  pick_by_finish (request &each, int64_t now_us, bool knows);
  void send (size_t index, int64_t now_us);
  void reach (size_t index, int64_t now_us);
  void start (size_t index, int64_t now_us);
  void answer (size_t index, kind what, int64_t now_us);
  void dispatch (uint32_t endpoint, int64_t now_us);
  void receive (const event &next);
  void learn (const event &next);
  void lose_slots ();
};

#endif
