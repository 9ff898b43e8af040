#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/registry_view.h"
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
