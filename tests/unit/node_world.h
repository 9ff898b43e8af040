#ifndef EEL_TESTS_NODE_WORLD_H
#define EEL_TESTS_NODE_WORLD_H

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

// Node tasks in one process and loop, with fakes of the tasks around them.

struct World;

struct Answered
{
  enum eel_error error;
  enum eel_outcome outcome;
  uint16_t status;
  uint8_t spare;
  std::string body;
  std::string next_key;
};

struct Ran
{
  std::string target;
  std::map<std::string, std::string> headers;
  uint64_t call_id;
};

struct Vm
{
  World *world = nullptr;
  struct eel_settings settings = {};
  struct eel_metrics metrics;
  struct eel_audit audit;
  std::vector<struct eel_audit_entry> audit_entries;
  struct eel_node *node = nullptr;
  struct eel_mailbox front = {}, upstream = {}, peers = {}, platform = {};
  std::map<uint64_t, Answered> answers;
  std::vector<Ran> runs;
  std::vector<uint64_t> cancelled;
  // What the fake upstream does with a run; by default it answers 200.
  std::function<void (Vm &, struct eel_msg *)> on_run;
  bool front_told_to_drain = false;
  bool reader = false;

  struct eel_mailbox *
  inbox ()
  {
    return eel_node_inbox (node);
  }
  void done (uint64_t call_id,
             enum eel_run_result result,
             const char *body = nullptr);
  void upstream_state (enum eel_upstream_state state);
};

struct World
{
  struct event_base *base = event_base_new ();
  std::vector<std::unique_ptr<Vm>> vms;
  // Returns true to lose a message.
  std::function<bool (const struct eel_wire_message *, uint32_t to)> lose;
  // Returns true when the peers task reports the message as unsent.
  std::function<bool (const struct eel_wire_message *, uint32_t to)> unsent;
  std::map<int, int> sent;
  // Node to restart from the loop, or 0.
  uint32_t restart = 0;

  explicit World (uint32_t count,
                  const char *service = "orders",
                  std::function<void (struct eel_settings &)> change = {});
  ~World ();
  Vm &
  vm (uint32_t id)
  {
    return *vms[id - 1];
  }
  bool run (const std::function<bool ()> &until, int timeout_ms = 3000);
  void pause (int ms);
  void start (Vm &vm);
  void stop (Vm &vm);
  void call (uint32_t id,
             uint64_t number,
             const std::function<void (struct eel_call &)> &change = {});
  std::string key (uint32_t id);
  std::string query (uint32_t id, const char *name, uint16_t *status);
  bool answered (uint32_t id, uint64_t number, int timeout_ms = 3000);
  size_t runs () const;
};

// Sets up an order with a key.
void make_order (struct eel_call &call, const std::string &key);

#endif
