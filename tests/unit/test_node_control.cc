#include <cstring>
#include <gtest/gtest.h>

#include "node_world.h"

namespace
{

std::string
document (int revision, const char *more = "")
{
  return "format = 1\nrevision = " + std::to_string (revision)
         + "\nin_force = \"day\"\n[preset.day]\n" + more + "\n";
}

void
publish (World &world, uint32_t id, const std::string &text)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_DOCUMENT;
  ASSERT_EQ (eel_body_set (&msg.body, text.data (), text.size ()), EEL_OK);
  eel_mailbox_post (world.vm (id).inbox (), &msg);
}

bool
in_force (World &world, uint32_t id, const std::string &what)
{
  return world.query (id, "status", nullptr).find (what) != std::string::npos;
}

void
drain (World &world, uint32_t id)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_DRAIN;
  eel_mailbox_post (world.vm (id).inbox (), &msg);
}

} // namespace

// Guards against a document that stays at the node that read it, and against
// a node that falls back to an older one.
TEST (node_control, a_document_reaches_every_node_and_never_reverts)
{
  World world (4);

  publish (world, 3, document (7));
  for (uint32_t id = 1; id <= 4; id++)
    EXPECT_TRUE (world.run (
        [&] { return in_force (world, id, "\"revision\":\"7"); }, 5000))
        << id;
  publish (world, 2, document (6));
  world.pause (50);
  EXPECT_TRUE (in_force (world, 2, "\"revision\":\"7"));
}

// Guards against an invalid document taking effect or going unnoticed.
TEST (node_control, a_refused_document_shows_in_health_only)
{
  World world (1);
  uint16_t status = 0;

  publish (world, 1, document (5));
  publish (world, 1, document (6, "no_such_key = 1"));
  world.pause (20);
  EXPECT_TRUE (in_force (world, 1, "\"revision\":\"5"));
  world.query (1, "health", &status);
  EXPECT_EQ (status, 503);
  world.query (1, "ready", &status);
  EXPECT_EQ (status, 200);
  EXPECT_EQ (world.vm (1).audit_entries[1].kind, EEL_AUDIT_DOCUMENT_REFUSED);
  publish (world, 1, document (7));
  world.pause (20);
  world.query (1, "health", &status);
  EXPECT_EQ (status, 200);
}

// Guards against a conflict that the next read of the platform hides.
TEST (node_control, a_conflict_shows_until_a_greater_revision)
{
  World world (1);
  uint16_t status = 0;

  publish (world, 1, document (5));
  publish (world, 1, document (5, "queue_max = 99"));
  for (int i = 0; i < 2; i++)
    {
      publish (world, 1, document (5));
      publish (world, 1, document (5, "queue_max = 99"));
      world.pause (20);
      world.query (1, "health", &status);
      EXPECT_EQ (status, 503);
    }
  publish (world, 1, document (6));
  world.pause (20);
  world.query (1, "health", &status);
  EXPECT_EQ (status, 200);
}

// Guards against a planned stop that interrupts a running request, keeps
// queued work, takes new work, or never ends.
TEST (node_control, a_planned_stop_finishes_and_hands_back)
{
  World world (2, "orders",
               [] (struct eel_settings &s) { s.upstream_slots = 1; });
  struct eel_msg drained = {};

  world.vm (2).on_run = [] (Vm &, struct eel_msg *) {};
  world.vm (1).upstream_state (EEL_UPSTREAM_DRAINING);
  world.pause (50);
  for (uint64_t i = 1; i <= 3; i++)
    world.call (1, i);
  ASSERT_TRUE (world.run ([&] { return world.vm (2).runs.size () == 1; }));
  world.vm (1).upstream_state (EEL_UPSTREAM_UP);
  drain (world, 2);
  for (uint64_t i = 2; i <= 3; i++)
    {
      ASSERT_TRUE (world.answered (1, i));
      EXPECT_EQ (world.vm (1).answers[i].error, EEL_OK);
    }
  EXPECT_EQ (world.vm (1).answers.count (1), 0u);
  EXPECT_TRUE (world.vm (2).front_told_to_drain);
  for (uint64_t i = 10; i < 40; i++)
    {
      world.call (1, i);
      ASSERT_TRUE (world.answered (1, i));
    }
  EXPECT_EQ (world.vm (2).runs.size (), 1u);
  world.vm (2).done (world.vm (2).runs[0].call_id, EEL_RUN_ANSWERED, "last");
  ASSERT_TRUE (world.answered (1, 1));
  EXPECT_EQ (world.vm (1).answers[1].body, "last");
  EXPECT_EQ (event_base_got_exit (world.base), 0);
  drained.kind = EEL_MSG_DRAINED;
  eel_mailbox_post (world.vm (2).inbox (), &drained);
  EXPECT_TRUE (
      world.run ([&] { return event_base_got_exit (world.base) != 0; }, 1000));
}

// Guards against work for a draining upstream, and against an endpoint that
// stays unused after its upstream has been restarted.
TEST (node_control, a_draining_upstream_gets_nothing_until_it_is_up)
{
  World world (2);
  uint64_t number = 0;

  world.vm (2).upstream_state (EEL_UPSTREAM_DRAINING);
  world.pause (50);
  for (int i = 0; i < 30; i++)
    {
      world.call (2, ++number);
      ASSERT_TRUE (world.answered (2, number));
      EXPECT_EQ (world.vm (2).answers[number].error, EEL_OK);
    }
  EXPECT_EQ (world.vm (2).runs.size (), 0u);
  world.vm (2).upstream_state (EEL_UPSTREAM_UP);
  world.pause (50);
  EXPECT_TRUE (world.run ([&] {
    world.call (1, ++number);
    return world.answered (1, number) && world.vm (2).runs.size () > 0;
  }));
}

// Guards against a node that takes work before it has asked its seeds.
TEST (node_control, not_ready_before_the_seeds_or_five_seconds)
{
  int64_t begun_us = eel_clock_us ();
  // Its constructor waits until the node is ready.
  World alone (1, "orders", [] (struct eel_settings &s) {
    s.seed_count = 1;
    s.seeds[0].node = 9;
    strcpy (s.seeds[0].address.host, "127.0.0.1");
  });

  EXPECT_GE (eel_clock_us () - begun_us, 5 * EEL_US_PER_S);
  EXPECT_TRUE (in_force (alone, 1, "\"defaults\":true"));
  alone.stop (alone.vm (1));
  alone.start (alone.vm (1));
  alone.call (1, 1);
  ASSERT_TRUE (alone.answered (1, 1));
  EXPECT_EQ (alone.vm (1).answers[1].error, EEL_ERROR_NO_ENDPOINT);
  EXPECT_EQ (alone.runs (), 0u);
}

// Guards against queries that print no valid object or hide their name.
TEST (node_control, queries_answer_with_objects)
{
  World world (1);

  for (const char *name : { "status", "members", "preset", "health", "ready" })
    {
      std::string text = world.query (1, name, nullptr);

      EXPECT_EQ (text.front (), '{') << name;
      EXPECT_EQ (text.substr (text.size () - 2), "}\n") << name;
      EXPECT_EQ (text.find ("{,"), std::string::npos) << text;
    }
  EXPECT_NE (world.query (1, "status", nullptr).find ("\"upstream\":\"up\""),
             std::string::npos);
  // A number says nothing to an operator.
  EXPECT_NE (world.query (1, "members", nullptr).find ("\"service\":\""),
             std::string::npos);
}
