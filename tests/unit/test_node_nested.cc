#include <cstring>
#include <gtest/gtest.h>

#include "node_world.h"

namespace
{

// An upstream that makes two equal nested orders and a nested lookup, then
// answers when all of them have ended.
struct Nesting
{
  uint64_t parent = 0;
  uint64_t next = 5000;
  std::vector<uint64_t> children;

  void
  begin (Vm &vm, struct eel_msg *msg)
  {
    parent = msg->call_id;
    for (int i = 0; i < 2; i++)
      child (vm, "POST", "/charge");
    child (vm, "GET", "/stock");
  }

  void
  child (Vm &vm, const char *method, const char *target)
  {
    uint64_t number = next++;

    children.push_back (number);
    vm.world->call (vm.settings.node, number, [&] (struct eel_call &c) {
      strcpy (c.method, method);
      strcpy (c.target, target);
      c.parent = parent;
    });
  }
};

} // namespace

// Guards against a second charge when a parent repeats a nested call, and
// against nested calls that leave their root's class or pool of attempts.
TEST (node_nested, children_inherit_and_run_once)
{
  World world (3);
  std::string key = world.key (2);
  Nesting nesting;
  size_t charges = 0;
  Vm *parent_vm = nullptr;

  for (auto &vm : world.vms)
    vm->on_run = [&] (Vm &v, struct eel_msg *msg) {
      if (strcmp (msg->call->target, "/order") == 0)
        {
          parent_vm = &v;
          nesting.begin (v, msg);
          return;
        }
      EXPECT_EQ (msg->call->klass, EEL_CLASS_CRITICAL);
      charges += strcmp (msg->call->target, "/charge") == 0;
      v.done (msg->call_id, EEL_RUN_ANSWERED, "child");
    };
  world.call (1, 1, [&] (struct eel_call &c) { make_order (c, key); });
  ASSERT_TRUE (world.run ([&] { return parent_vm != nullptr; }));
  for (uint64_t child : nesting.children)
    {
      ASSERT_TRUE (world.answered (parent_vm->settings.node, child));
      EXPECT_EQ (parent_vm->answers[child].outcome, EEL_OUTCOME_RAN)
          << eel_error_info (parent_vm->answers[child].error)->name;
      EXPECT_EQ (parent_vm->answers[child].next_key, "");
    }
  EXPECT_EQ (charges, 1u);
  parent_vm->done (nesting.parent, EEL_RUN_ANSWERED, "parent");
  ASSERT_TRUE (world.answered (1, 1));
  EXPECT_EQ (world.vm (1).answers[1].body, "parent");
}

// Guards against retries at each level multiplying: the attempts of a whole
// request stay within its calls plus its spare attempts.
TEST (node_nested, attempts_stay_within_the_pool_of_the_root)
{
  // Children go to a service of their own: an endpoint whose limit is one
  // cannot run a call and the call that it waits for.
  World world (6, "orders", [] (struct eel_settings &settings) {
    if (settings.node > 3)
      strcpy (settings.service, "stock");
  });
  size_t parents = 0, children = 0;
  std::map<uint64_t, std::pair<Vm *, uint64_t>> waiting;

  for (auto &vm : world.vms)
    vm->on_run = [&] (Vm &v, struct eel_msg *msg) {
      if (strcmp (msg->call->target, "/child") == 0)
        {
          children++;
          v.done (msg->call_id, EEL_RUN_BROKEN);
          return;
        }
      uint64_t id = msg->call_id, number = 6000 + parents++;

      waiting[number] = { &v, id };
      v.world->call (v.settings.node, number, [id] (struct eel_call &c) {
        strcpy (c.service, "stock");
        strcpy (c.target, "/child");
        c.parent = id;
      });
    };
  world.call (1, 1, [] (struct eel_call &c) {
    strcpy (c.target, "/parent");
    c.given |= EEL_GIVEN_SPARE;
    c.spare = 3;
  });
  ASSERT_TRUE (world.run ([&] {
    for (auto it = waiting.begin (); it != waiting.end ();)
      {
        Vm *vm = it->second.first;

        if (vm->answers.count (it->first) == 0)
          {
            ++it;
            continue;
          }
        vm->done (it->second.second, EEL_RUN_BROKEN);
        it = waiting.erase (it);
      }
    return world.vm (1).answers.count (1) > 0;
  }));
  EXPECT_GE (parents, 2u);
  // Each run of the parent is one attempt and makes one call of its own.
  EXPECT_LE (parents - 1 + children - parents, 3u);
}
