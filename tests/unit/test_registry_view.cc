#include <gtest/gtest.h>
#include <vector>

extern "C"
{
#include "eelgrasslatch/registry_view.h"
#include "eelgrasslatch/rng.h"
}

// A node's view of a registry, with one endpoint "a" in its directory.
struct view_test : public ::testing::Test
{
  struct eel_instance storage[4];
  struct eel_directory directory;
  struct eel_registry_view view;
  uint64_t revision = 1;
  int64_t now_us = 100 * EEL_US_PER_S;

  view_test ()
  {
    eel_directory_init (&directory, storage, 4);
    eel_registry_view_init (&view, &directory);
  }

  void
  put ()
  {
    struct eel_instance instance = {};

    snprintf (instance.id, sizeof instance.id, "a");
    instance.revision = ++revision;
    eel_directory_put (&directory, &instance, now_us);
  }

  void
  remove ()
  {
    eel_directory_remove (&directory, "a", ++revision, now_us);
  }

  bool
  usable ()
  {
    while (eel_directory_next_expired (&directory, now_us) != nullptr)
      continue;
    return eel_instance_usable (eel_directory_find (&directory, "a"));
  }

  void
  wait_ms (int64_t ms)
  {
    now_us += ms * EEL_US_PER_MS;
    eel_registry_view_tick (&view, now_us);
  }

  // Reads from a peer, with nothing new, as often as a node does.
  void
  follow (int64_t for_ms, int64_t stable_ms)
  {
    for (; for_ms > 0; for_ms -= 500)
      {
        wait_ms (500);
        eel_registry_view_read_peer (&view, stable_ms * EEL_US_PER_MS, 0,
                                     now_us);
        eel_registry_view_applied (&view, now_us);
      }
  }

  // A peer tells that the endpoint is gone; the registry answers the check.
  void
  hear_of_removal (int64_t stable_ms)
  {
    eel_registry_view_read_peer (&view, stable_ms * EEL_US_PER_MS, 0, now_us);
    remove ();
    if (eel_registry_view_applied (&view, now_us))
      {
        wait_ms (10);
        eel_registry_view_check_answered (&view, now_us);
      }
  }
};

static const int64_t always_ms = 3600 * 1000;

// Guards against a node that tells its peers of an outage because it has just
// begun to read the registry: they would use endpoints that have left.
TEST_F (view_test, ReaderThatStartsTellsOfNoOutage)
{
  eel_registry_view_read_registry (&view, now_us);
  EXPECT_GT (now_us - view.stable_since_us, EEL_LAPSED_GRACE_US);
}

TEST_F (view_test, FollowerThatBecomesTheReaderHasSeenNoOutage)
{
  put ();
  follow (8000, always_ms);
  wait_ms (1200);
  eel_registry_view_read_registry (&view, now_us);
  EXPECT_GT (now_us - view.stable_since_us, EEL_LAPSED_GRACE_US);
  remove ();
  EXPECT_FALSE (usable ());
}

// Guards against a removal that counts as a lapse because the source is new.
TEST_F (view_test, NodeThatHadNewsAllAlongKnowsThatThereWasNoOutage)
{
  put ();
  follow (8000, always_ms);
  wait_ms (1000);
  hear_of_removal (700);
  EXPECT_FALSE (usable ());
}

// Guards against the loss of all endpoints that lapsed while the node slept.
TEST_F (view_test, NodeThatSleptThroughAnOutageHearsOfIt)
{
  put ();
  follow (8000, always_ms);
  wait_ms (6000);
  hear_of_removal (700);
  EXPECT_TRUE (usable ());
  wait_ms (1200);
  EXPECT_FALSE (usable ());
}

// Guards against the loss of endpoints that are cut off from the registry with
// this node.
TEST_F (view_test, LapsedEndpointIsUsedWhileTheRegistryIsNotReached)
{
  put ();
  follow (8000, always_ms);
  eel_registry_view_read_peer (&view, always_ms * EEL_US_PER_MS, 0, now_us);
  remove ();
  ASSERT_TRUE (eel_registry_view_applied (&view, now_us));
  EXPECT_TRUE (usable ());
  wait_ms (EEL_PATH_CHECK_TIMEOUT_MS);
  eel_registry_view_check_failed (
      &view, now_us - EEL_PATH_CHECK_TIMEOUT_MS * EEL_US_PER_MS, now_us);
  follow (20000, always_ms);
  EXPECT_TRUE (usable ());
}

// Guards against a grace that outlasts the time in which a node that reaches
// the registry again is allowed to be wrong (3 s).
TEST_F (view_test, GraceEndsInTimeHoweverLateTheReturnIsNoticed)
{
  const int64_t returned_us = now_us + EEL_US_PER_S;

  put ();
  follow (500, always_ms);
  eel_registry_view_read_peer (&view, always_ms * EEL_US_PER_MS, 0, now_us);
  remove ();
  ASSERT_TRUE (eel_registry_view_applied (&view, now_us));
  now_us = returned_us + EEL_PATH_CHECK_TIMEOUT_MS * EEL_US_PER_MS;
  eel_registry_view_check_failed (&view, returned_us, now_us);
  wait_ms (EEL_PATH_CHECK_RETRY_MS);
  ASSERT_TRUE (eel_registry_view_begin_check (&view));
  eel_registry_view_check_answered (&view, now_us);
  EXPECT_TRUE (usable ());
  now_us = returned_us + 2900 * EEL_US_PER_MS;
  EXPECT_FALSE (usable ());
}

// Guards against entries that are removed for good when the registry is back
// after an outage that this node noticed.
TEST_F (view_test, OutageThatTheReaderNoticedGivesAGrace)
{
  put ();
  eel_registry_view_read_registry (&view, now_us);
  wait_ms (1000);
  eel_registry_view_read_failed (&view, now_us, 1, now_us);
  wait_ms (5000);
  eel_registry_view_read_failed (&view, now_us, 0, now_us);
  wait_ms (100);
  eel_registry_view_read_registry (&view, now_us);
  EXPECT_EQ (now_us, view.stable_since_us);
  remove ();
  EXPECT_TRUE (usable ());
  wait_ms (1800);
  EXPECT_FALSE (usable ());
}

// Guards against news that count as fresh because a peer has just told them.
TEST_F (view_test, NewsAreAsOldAsAtTheirSource)
{
  const int64_t max_us = EEL_NEWS_MAX_AGE_US;

  eel_registry_view_read_peer (&view, 0, 400 * EEL_US_PER_MS, now_us);
  EXPECT_EQ (eel_registry_view_fresh_for_us (&view, now_us),
             max_us - 400 * EEL_US_PER_MS);
  // An older word changes nothing.
  eel_registry_view_read_peer (&view, 0, 900 * EEL_US_PER_MS, now_us);
  EXPECT_EQ (eel_registry_view_fresh_for_us (&view, now_us),
             max_us - 400 * EEL_US_PER_MS);
  wait_ms (1000);
  eel_registry_view_read_registry (&view, now_us);
  EXPECT_EQ (eel_registry_view_fresh_for_us (&view, now_us), max_us);
}

// Guards against knowledge that counts as newer than a read that proves it.
TEST_F (view_test, KnowledgeIsAsOldAsTheReadThatProvesIt)
{
  const int64_t ms = EEL_US_PER_MS;

  EXPECT_EQ (eel_registry_view_known_age_us (&view, now_us), INT64_MAX);
  // Sent 900 ms ago; of the 700 ms the registry has told nothing new.
  eel_registry_view_known (&view, now_us - 900 * ms, 700 * ms, now_us);
  EXPECT_EQ (eel_registry_view_known_age_us (&view, now_us), 200 * ms);
  // An earlier read doesn't make it older.
  eel_registry_view_known (&view, now_us - 5000 * ms, 0, now_us);
  EXPECT_EQ (eel_registry_view_known_age_us (&view, now_us), 200 * ms);
  // Not held to the end: when it was answered isn't known.
  eel_registry_view_known (&view, now_us - 100 * ms, 700 * ms, now_us);
  EXPECT_EQ (eel_registry_view_known_age_us (&view, now_us), 100 * ms);
  // Reads that are no proof leave it as it is.
  wait_ms (3000);
  eel_registry_view_read_registry (&view, now_us);
  eel_registry_view_read_peer (&view, 0, 0, now_us);
  EXPECT_EQ (eel_registry_view_known_age_us (&view, now_us), 3100 * ms);
}

TEST_F (view_test, KnowledgeOfAPeerIsAsOldAsThere)
{
  const int64_t ms = EEL_US_PER_MS;

  // Sent 1 s ago and held for 600 ms; then it was 300 ms old there.
  eel_registry_view_known_by_peer (&view, now_us - 1000 * ms, 600 * ms,
                                   300 * ms, now_us);
  EXPECT_EQ (eel_registry_view_known_age_us (&view, now_us), 700 * ms);
  // A peer that claims to have held it for longer than it took, or to know what
  // is to come, is not believed.
  eel_registry_view_known_by_peer (&view, now_us - 500 * ms, 900 * ms, 0,
                                   now_us);
  EXPECT_EQ (eel_registry_view_known_age_us (&view, now_us), 0);
  wait_ms (2000);
  eel_registry_view_known_by_peer (&view, now_us, 0, -5000 * ms, now_us);
  EXPECT_EQ (eel_registry_view_known_age_us (&view, now_us), 2000 * ms);
}

namespace
{
struct known_node
{
  struct eel_registry_view view;
  uint64_t version = 0;
};

// A read on its way: what it found where, and when.
struct known_read
{
  size_t reader;
  int64_t sent_us;
  int64_t arrives_us;
  int64_t held_us;
  int64_t age_us;
  bool of_peer;
  uint64_t version;
};
}

// Guards against a node that believes its knowledge to be newer than it is:
// nodes read the registry and each other over slow ways, sleep meanwhile and
// apply answers late, while the registry changes at any time.
TEST (view_world, NoNodeKnowsLessThanItBelieves)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      struct eel_rng rng;
      struct eel_instance storage[1];
      struct eel_directory directory;
      std::vector<known_node> nodes (6);
      // changes[v]: when the registry got version v.
      std::vector<int64_t> changes = { 0 };
      std::vector<known_read> reads;
      int64_t now_us = 10 * EEL_US_PER_S;
      uint64_t proofs = 0;

      eel_rng_init (&rng, seed);
      eel_directory_init (&directory, storage, 1);
      for (auto &node : nodes)
        eel_registry_view_init (&node.view, &directory);
      for (int step = 0; step < 2000; step++)
        {
          now_us += 1 + (int64_t)eel_rng_below (&rng, 40000);
          if (eel_rng_below (&rng, 20) == 0)
            changes.push_back (now_us);
          for (size_t i = 0; i < reads.size (); i++)
            {
              known_read read = reads[i];
              known_node &node = nodes[read.reader];

              if (read.arrives_us > now_us)
                continue;
              reads.erase (reads.begin () + (std::ptrdiff_t)i--);
              if (read.version > node.version)
                node.version = read.version;
              if (read.of_peer)
                eel_registry_view_known_by_peer (&node.view, read.sent_us,
                                                 read.held_us, read.age_us,
                                                 now_us);
              else
                eel_registry_view_known (&node.view, read.sent_us, read.held_us,
                                         now_us);
              proofs++;
            }
          if (eel_rng_below (&rng, 3) != 0)
            continue;
          {
            // The source answers at found_us, after a way and a hold without
            // news; the reader may sleep before it applies the answer.
            known_read read = {};
            size_t peer = eel_rng_below (&rng, (uint32_t)nodes.size () * 2);
            int64_t way_us = (int64_t)eel_rng_below (&rng, 300000);

            read.reader = eel_rng_below (&rng, (uint32_t)nodes.size ());
            read.sent_us = now_us - way_us;
            read.of_peer = peer < nodes.size () && peer != read.reader;
            read.version = changes.size () - 1;
            if (read.of_peer && nodes[peer].view.known_us == 0)
              continue;
            if (read.of_peer)
              {
                read.version = nodes[peer].version;
                read.age_us = eel_registry_view_known_age_us (&nodes[peer].view,
                                                              now_us);
                read.held_us
                    = (int64_t)eel_rng_below (&rng, 2)
                      * (int64_t)eel_rng_below (&rng, (uint32_t)way_us + 1);
              }
            else if (eel_rng_below (&rng, 2) == 0)
              // Nothing new until now: held for the whole of the way at most.
              read.held_us = way_us;
            read.arrives_us
                = now_us
                  + (int64_t)eel_rng_below (
                      &rng, eel_rng_below (&rng, 10) == 0 ? 5000000 : 200000);
            reads.push_back (read);
          }
          for (const auto &node : nodes)
            {
              // The first change that the node has not got.
              int64_t missing_us = node.version + 1 < changes.size ()
                                       ? changes[node.version + 1]
                                       : INT64_MAX;

              ASSERT_GE (missing_us, node.view.known_us)
                  << "seed " << seed << " step " << step;
            }
        }
      EXPECT_GT (proofs, 400u);
    }
}
