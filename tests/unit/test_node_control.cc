#include <cstring>
#include <gtest/gtest.h>

#include "node_cluster.h"

namespace
{

std::string
document (int revision, const char *more = "")
{
  return "format = 1\nrevision = " + std::to_string (revision)
         + "\nin_force = \"day\"\n[preset.day]\n" + more + "\n";
}

void
publish (Cluster &cluster, uint32_t id, const std::string &text)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_DOCUMENT;
  ASSERT_EQ (eel_body_set (&msg.body, text.data (), text.size ()), EEL_OK);
  eel_mailbox_post (cluster.vm (id).inbox (), &msg);
}

bool
in_force (Cluster &cluster, uint32_t id, const std::string &what)
{
  return cluster.query (id, "status", nullptr).find (what) != std::string::npos;
}

void
drain (Cluster &cluster, uint32_t id)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_DRAIN;
  eel_mailbox_post (cluster.vm (id).inbox (), &msg);
}

} // namespace

// Guards against a document that does not spread from the node that read it,
// and against a node that reverts to an older one.
TEST (node_control, a_document_reaches_every_node_and_never_reverts)
{
  Cluster cluster (4);

  publish (cluster, 3, document (7));
  for (uint32_t id = 1; id <= 4; id++)
    EXPECT_TRUE (cluster.run_until (
        [&] { return in_force (cluster, id, "\"revision\":\"7"); }, 5000))
        << id;
  publish (cluster, 2, document (6));
  cluster.run_for (50);
  EXPECT_TRUE (in_force (cluster, 2, "\"revision\":\"7"));
}

// Guards against an invalid document being applied or not being reported.
TEST (node_control, a_refused_document_shows_in_health_only)
{
  Cluster cluster (1);
  uint16_t status = 0;

  publish (cluster, 1, document (5));
  publish (cluster, 1, document (6, "no_such_key = 1"));
  cluster.run_for (20);
  EXPECT_TRUE (in_force (cluster, 1, "\"revision\":\"5"));
  cluster.query (1, "health", &status);
  EXPECT_EQ (status, 503);
  cluster.query (1, "ready", &status);
  EXPECT_EQ (status, 200);
  EXPECT_EQ (cluster.vm (1).audit_entries[1].kind, EEL_AUDIT_DOCUMENT_REFUSED);
  publish (cluster, 1, document (7));
  cluster.run_for (20);
  cluster.query (1, "health", &status);
  EXPECT_EQ (status, 200);
}

// Guards against a conflict that is no longer reported after the next read of
// the platform.
TEST (node_control, a_conflict_shows_until_a_greater_revision)
{
  Cluster cluster (1);
  uint16_t status = 0;

  publish (cluster, 1, document (5));
  publish (cluster, 1, document (5, "queue_max = 99"));
  for (int i = 0; i < 2; i++)
    {
      publish (cluster, 1, document (5));
      publish (cluster, 1, document (5, "queue_max = 99"));
      cluster.run_for (20);
      cluster.query (1, "health", &status);
      EXPECT_EQ (status, 503);
    }
  publish (cluster, 1, document (6));
  cluster.run_for (20);
  cluster.query (1, "health", &status);
  EXPECT_EQ (status, 200);
}

// Guards against a planned stop that interrupts a running request, keeps
// queued runs, accepts new ones, or never ends.
TEST (node_control, planned_stop_completes_runs_and_refuses_queued)
{
  Cluster cluster (2, "orders",
                   [] (struct eel_settings &s) { s.upstream_slots = 1; });
  struct eel_msg drained = {};

  cluster.vm (2).on_run = [] (Vm &, struct eel_msg *) {};
  cluster.vm (1).upstream_state (EEL_UPSTREAM_DRAINING);
  cluster.run_for (50);
  for (uint64_t i = 1; i <= 3; i++)
    cluster.call (1, i);
  ASSERT_TRUE (
      cluster.run_until ([&] { return cluster.vm (2).runs.size () == 1; }));
  cluster.vm (1).upstream_state (EEL_UPSTREAM_UP);
  drain (cluster, 2);
  for (uint64_t i = 2; i <= 3; i++)
    {
      ASSERT_TRUE (cluster.wait_for_answer (1, i));
      EXPECT_EQ (cluster.vm (1).answers[i].error, EEL_OK);
    }
  EXPECT_EQ (cluster.vm (1).answers.count (1), 0u);
  EXPECT_TRUE (cluster.vm (2).front_drain_received);
  for (uint64_t i = 10; i < 40; i++)
    {
      cluster.call (1, i);
      ASSERT_TRUE (cluster.wait_for_answer (1, i));
    }
  EXPECT_EQ (cluster.vm (2).runs.size (), 1u);
  cluster.vm (2).finish_run (cluster.vm (2).runs[0].call_id, EEL_RUN_ANSWERED,
                             "last");
  ASSERT_TRUE (cluster.wait_for_answer (1, 1));
  EXPECT_EQ (cluster.vm (1).answers[1].body, "last");
  EXPECT_EQ (event_base_got_exit (cluster.base), 0);
  drained.kind = EEL_MSG_DRAINED;
  eel_mailbox_post (cluster.vm (2).inbox (), &drained);
  EXPECT_TRUE (cluster.run_until (
      [&] { return event_base_got_exit (cluster.base) != 0; }, 1000));
}

// Guards against runs at a draining upstream, and against an endpoint that
// stays unused after its upstream has restarted.
TEST (node_control, a_draining_upstream_gets_nothing_until_it_is_up)
{
  Cluster cluster (2);
  uint64_t number = 0;

  cluster.vm (2).upstream_state (EEL_UPSTREAM_DRAINING);
  cluster.run_for (50);
  for (int i = 0; i < 30; i++)
    {
      cluster.call (2, ++number);
      ASSERT_TRUE (cluster.wait_for_answer (2, number));
      EXPECT_EQ (cluster.vm (2).answers[number].error, EEL_OK);
    }
  EXPECT_EQ (cluster.vm (2).runs.size (), 0u);
  cluster.vm (2).upstream_state (EEL_UPSTREAM_UP);
  cluster.run_for (50);
  EXPECT_TRUE (cluster.run_until ([&] {
    cluster.call (1, ++number);
    return cluster.wait_for_answer (1, number)
           && cluster.vm (2).runs.size () > 0;
  }));
}

// Guards against a node that accepts calls before a seed has answered.
TEST (node_control, not_ready_before_the_seeds_or_five_seconds)
{
  int64_t start_us = eel_clock_us ();
  // The constructor waits until the node is ready.
  Cluster cluster (1, "orders", [] (struct eel_settings &s) {
    s.seed_count = 1;
    s.seeds[0].node = 9;
    strcpy (s.seeds[0].address.host, "127.0.0.1");
  });

  EXPECT_GE (eel_clock_us () - start_us, 5 * EEL_US_PER_S);
  EXPECT_TRUE (in_force (cluster, 1, "\"defaults\":true"));
  cluster.stop (cluster.vm (1));
  cluster.start (cluster.vm (1));
  cluster.call (1, 1);
  ASSERT_TRUE (cluster.wait_for_answer (1, 1));
  EXPECT_EQ (cluster.vm (1).answers[1].error, EEL_ERROR_NO_ENDPOINT);
  EXPECT_EQ (cluster.runs (), 0u);
}

// Guards against query answers that are no JSON object or lack the name of a
// service.
TEST (node_control, queries_answer_with_objects)
{
  Cluster cluster (1);

  for (const char *name : { "status", "members", "preset", "health", "ready" })
    {
      std::string text = cluster.query (1, name, nullptr);

      EXPECT_EQ (text.front (), '{') << name;
      EXPECT_EQ (text.substr (text.size () - 2), "}\n") << name;
      EXPECT_EQ (text.find ("{,"), std::string::npos) << text;
    }
  EXPECT_NE (cluster.query (1, "status", nullptr).find ("\"upstream\":\"up\""),
             std::string::npos);
  // Operators need the service's name, not its number.
  EXPECT_NE (cluster.query (1, "members", nullptr).find ("\"service\":\""),
             std::string::npos);
}
