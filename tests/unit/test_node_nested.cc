#include <cstring>
#include <gtest/gtest.h>

#include "node_cluster.h"

namespace
{

// The calls of an upstream that makes two equal nested orders and a nested
// lookup.
struct NestedCalls
{
  uint64_t parent = 0;
  uint64_t next = 5000;
  std::vector<uint64_t> children;

  void
  start_children (Vm &vm, struct eel_msg *msg)
  {
    parent = msg->call_id;
    for (int i = 0; i < 2; i++)
      call_child (vm, "POST", "/charge");
    call_child (vm, "GET", "/stock");
  }

  void
  call_child (Vm &vm, const char *method, const char *target)
  {
    uint64_t number = next++;

    children.push_back (number);
    vm.cluster->call (vm.settings.node, number, [&] (struct eel_call &c) {
      strcpy (c.method, method);
      strcpy (c.target, target);
      c.parent = parent;
    });
  }
};

} // namespace

// Guards against a second run when a parent repeats a nested order, and against
// nested calls that do not inherit the class of their root.
TEST (node_nested, children_inherit_and_run_once)
{
  Cluster cluster (3);
  std::string key = cluster.issue_key (2);
  NestedCalls nested_calls;
  size_t charges = 0;
  Vm *parent_vm = nullptr;

  for (auto &vm : cluster.vms)
    vm->on_run = [&] (Vm &v, struct eel_msg *msg) {
      if (strcmp (msg->call->target, "/order") == 0)
        {
          parent_vm = &v;
          nested_calls.start_children (v, msg);
          return;
        }
      EXPECT_EQ (msg->call->klass, EEL_CLASS_CRITICAL);
      charges += strcmp (msg->call->target, "/charge") == 0;
      v.finish_run (msg->call_id, EEL_RUN_ANSWERED, "child");
    };
  cluster.call (1, 1, [&] (struct eel_call &c) { make_order (c, key); });
  ASSERT_TRUE (cluster.run_until ([&] { return parent_vm != nullptr; }));
  for (uint64_t child : nested_calls.children)
    {
      ASSERT_TRUE (cluster.wait_for_answer (parent_vm->settings.node, child));
      EXPECT_EQ (parent_vm->answers[child].outcome, EEL_OUTCOME_RAN)
          << eel_error_info (parent_vm->answers[child].error)->name;
      EXPECT_EQ (parent_vm->answers[child].next_key, "");
    }
  EXPECT_EQ (charges, 1u);
  parent_vm->finish_run (nested_calls.parent, EEL_RUN_ANSWERED, "parent");
  ASSERT_TRUE (cluster.wait_for_answer (1, 1));
  EXPECT_EQ (cluster.vm (1).answers[1].body, "parent");
}

// Guards against retries that multiply at each level: the attempts of a whole
// request are at most its calls plus its spare attempts.
TEST (node_nested, attempts_stay_within_the_pool_of_the_root)
{
  // Children go to another service: an endpoint with a limit of one cannot run
  // a call and the nested call that it waits for.
  Cluster cluster (6, "orders", [] (struct eel_settings &settings) {
    if (settings.node > 3)
      strcpy (settings.service, "stock");
  });
  size_t parents = 0, children = 0;
  std::map<uint64_t, std::pair<Vm *, uint64_t>> waiting;

  for (auto &vm : cluster.vms)
    vm->on_run = [&] (Vm &v, struct eel_msg *msg) {
      if (strcmp (msg->call->target, "/child") == 0)
        {
          children++;
          v.finish_run (msg->call_id, EEL_RUN_BROKEN);
          return;
        }
      uint64_t id = msg->call_id, number = 6000 + parents++;

      waiting[number] = { &v, id };
      v.cluster->call (v.settings.node, number, [id] (struct eel_call &c) {
        strcpy (c.service, "stock");
        strcpy (c.target, "/child");
        c.parent = id;
      });
    };
  cluster.call (1, 1, [] (struct eel_call &c) {
    strcpy (c.target, "/parent");
    c.given |= EEL_GIVEN_SPARE;
    c.spare = 3;
  });
  ASSERT_TRUE (cluster.run_until ([&] {
    for (auto it = waiting.begin (); it != waiting.end ();)
      {
        Vm *vm = it->second.first;

        if (vm->answers.count (it->first) == 0)
          {
            ++it;
            continue;
          }
        vm->finish_run (it->second.second, EEL_RUN_BROKEN);
        it = waiting.erase (it);
      }
    return cluster.vm (1).answers.count (1) > 0;
  }));
  EXPECT_GE (parents, 2u);
  // Each run of the parent is one attempt and makes one nested call.
  EXPECT_LE (parents - 1 + children - parents, 3u);
}
