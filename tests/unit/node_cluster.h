#ifndef EEL_TESTS_NODE_CLUSTER_H
#define EEL_TESTS_NODE_CLUSTER_H

#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "internal/tasks.h"
#include "internal/wire.h"
}

// Node tasks in one process and event loop, with fakes of the other tasks.

struct Cluster;

struct AnswerRecord
{
  enum eel_error error;
  enum eel_outcome outcome;
  uint16_t status;
  uint8_t spare;
  std::string body;
  std::string next_key;
};

struct RunRecord
{
  std::string target;
  std::map<std::string, std::string> headers;
  uint64_t call_id;
};

struct Vm
{
  Cluster *cluster = nullptr;
  struct eel_settings settings = {};
  struct eel_metrics metrics;
  struct eel_audit audit;
  std::vector<struct eel_audit_entry> audit_entries;
  struct eel_node *node = nullptr;
  struct eel_mailbox front = {}, upstream = {}, peers = {}, platform = {};
  std::map<uint64_t, AnswerRecord> answers;
  std::vector<RunRecord> runs;
  std::vector<uint64_t> cancelled;
  // Handles a run at the fake upstream; by default it answers 200.
  std::function<void (Vm &, struct eel_msg *)> on_run;
  bool front_drain_received = false;
  // The node has decided to end its process.
  bool exiting = false;
  bool reader = false;

  struct eel_mailbox *
  inbox ()
  {
    return eel_node_inbox (node);
  }
  void finish_run (uint64_t call_id,
                   enum eel_run_result result,
                   const char *body = nullptr);
  void upstream_state (enum eel_upstream_state state);
};

struct Cluster
{
  struct event_base *base = event_base_new ();
  std::vector<std::unique_ptr<Vm>> vms;
  // Returns true to drop a message.
  std::function<bool (const struct eel_wire_message *, uint32_t to)>
      drop_message;
  // Returns true to have the peers task report a message as unsent.
  std::function<bool (const struct eel_wire_message *, uint32_t to)>
      report_unsent;
  // Returns true to hold a message until release_held.
  std::function<bool (const struct eel_wire_message *, uint32_t to)>
      hold_message;
  std::vector<std::pair<uint32_t, struct eel_wire_message *>> held;
  std::map<int, int> sent_by_kind;
  // Id of a node for run_until to restart, or 0.
  uint32_t restart_node = 0;

  explicit Cluster (uint32_t count,
                    const char *service = "orders",
                    std::function<void (struct eel_settings &)> change = {});
  ~Cluster ();
  Vm &
  vm (uint32_t id)
  {
    return *vms[id - 1];
  }
  bool run_until (const std::function<bool ()> &until, int timeout_ms = 3000);
  void run_for (int ms);
  void release_held ();
  void start (Vm &vm);
  void stop (Vm &vm);
  void call (uint32_t id,
             uint64_t number,
             const std::function<void (struct eel_call &)> &change = {});
  std::string issue_key (uint32_t id);
  std::string query (uint32_t id, const char *name, uint16_t *status);
  bool wait_for_answer (uint32_t id, uint64_t number, int timeout_ms = 3000);
  size_t runs () const;
};

// Makes the call an order, with the key unless it is empty.
void make_order (struct eel_call &call, const std::string &key);

#endif
