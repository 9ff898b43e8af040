#include <gtest/gtest.h>

extern "C"
{
#include "eelgrasslatch/directory.h"
#include "eelgrasslatch/place.h"
#include "eelgrasslatch/published.h"
}

static struct eel_instance
entry (const char *id, uint64_t revision, bool own_domain = true)
{
  struct eel_instance instance = {};

  snprintf (instance.id, sizeof instance.id, "%s", id);
  instance.revision = revision;
  instance.slots = 10;
  instance.same_domain = own_domain;
  return instance;
}

struct directory_test : public ::testing::Test
{
  struct eel_instance storage[4];
  struct eel_directory directory;
  struct eel_rng rng;

  directory_test ()
  {
    eel_directory_init (&directory, storage, 4);
    eel_rng_init (&rng, 1);
  }

  void
  put (struct eel_instance instance, int64_t now_us = 0)
  {
    eel_directory_put (&directory, &instance, now_us);
  }

  void
  answered (const char *id, uint32_t use_milli, int64_t now_us)
  {
    const struct eel_instance_report report
        = { use_milli, 0, 0, 0, 0, 0, 0, 0, {}, 0 };

    eel_place_answered (eel_directory_find (&directory, id), &report, now_us);
  }

  const char *
  pick (int64_t now_us = 0)
  {
    const struct eel_place_query query = { 0, nullptr, 0, 0, 0 };
    struct eel_instance *found
        = eel_place_pick (&directory, &query, now_us, &rng);

    return found == nullptr ? nullptr : found->id;
  }
};

// Guards against an older update that overrides a newer one.
TEST_F (directory_test, TheGreaterRevisionWins)
{
  put (entry ("a", 5));
  eel_directory_remove (&directory, "a", 7, 0);
  put (entry ("a", 6));
  EXPECT_EQ (eel_directory_find (&directory, "a")->state, EEL_INSTANCE_REMOVED);
  put (entry ("a", 8));
  EXPECT_EQ (eel_directory_find (&directory, "a")->state, EEL_INSTANCE_READY);
}

// Guards against a new request to a removed endpoint.
TEST_F (directory_test, RemovalByAStableRegistryIsFinal)
{
  put (entry ("a", 1));
  eel_directory_remove (&directory, "a", 2, 0);
  EXPECT_EQ (pick (), nullptr);
}

// Guards against the removal of all endpoints when their entries lapsed during
// an outage of the registry.
TEST_F (directory_test, LapsedEntriesStayUsableInTheGracePeriod)
{
  put (entry ("a", 1));
  put (entry ("b", 2));
  eel_directory_set_unstable (&directory);
  eel_directory_set_stable_since (&directory, 5 * EEL_US_PER_S);
  eel_directory_remove (&directory, "a", 3, 5 * EEL_US_PER_S);
  eel_directory_remove (&directory, "b", 4, 5 * EEL_US_PER_S);
  EXPECT_TRUE (eel_instance_usable (eel_directory_find (&directory, "a")));
  put (entry ("b", 5), 6 * EEL_US_PER_S);
  const int64_t end_us = 5 * EEL_US_PER_S + EEL_LAPSED_GRACE_US;
  EXPECT_EQ (eel_directory_next_expired (&directory, end_us - 1), nullptr);
  EXPECT_EQ (eel_directory_next_expired (&directory, end_us),
             eel_directory_find (&directory, "a"));
  EXPECT_EQ (eel_directory_next_expired (&directory, end_us), nullptr);
  EXPECT_EQ (eel_directory_find (&directory, "a")->state, EEL_INSTANCE_REMOVED);
  EXPECT_EQ (eel_directory_find (&directory, "b")->state, EEL_INSTANCE_READY);
}

// Guards against an endpoint that is used for seconds after it left, because it
// had registered again after an outage of the registry (incident DRAIN).
TEST_F (directory_test, EndpointThatRegistersAgainAndLeavesIsNotUsed)
{
  put (entry ("a", 1));
  eel_directory_set_unstable (&directory);
  eel_directory_set_stable_since (&directory, 5000 * EEL_US_PER_MS);
  eel_directory_remove (&directory, "a", 3, 5000 * EEL_US_PER_MS);
  EXPECT_STREQ (pick (5000 * EEL_US_PER_MS), "a");
  put (entry ("a", 4), 5300 * EEL_US_PER_MS);
  eel_directory_remove (&directory, "a", 5, 5600 * EEL_US_PER_MS);
  EXPECT_EQ (pick (5600 * EEL_US_PER_MS), nullptr);
}

// Guards against a grace period that a late removal starts anew.
TEST_F (directory_test, GraceEndsAFixedTimeAfterTheOutage)
{
  const int64_t end_us = 5 * EEL_US_PER_S + EEL_LAPSED_GRACE_US;

  put (entry ("a", 1));
  eel_directory_set_unstable (&directory);
  eel_directory_set_stable_since (&directory, 5 * EEL_US_PER_S);
  eel_directory_remove (&directory, "a", 3, end_us - 1);
  EXPECT_STREQ (pick (end_us - 1), "a");
  EXPECT_NE (eel_directory_next_expired (&directory, end_us), nullptr);
  EXPECT_EQ (pick (end_us), nullptr);
}

// Guards against an endpoint that is used for seconds after its removal, on a
// node that first had to find out whether it reaches the registry itself.
TEST_F (directory_test, RemovalBecomesFinalOnceTheRegistryIsReached)
{
  const int64_t now_us = 5 * EEL_US_PER_S;

  put (entry ("a", 1));
  eel_directory_set_confirmed (&directory, 0);
  eel_directory_remove (&directory, "a", 2, now_us);
  EXPECT_STREQ (pick (now_us), "a");
  EXPECT_EQ (eel_directory_next_expired (&directory, now_us), nullptr);
  EXPECT_TRUE (eel_directory_has_lapsed (&directory));
  eel_directory_set_confirmed (&directory, 1);
  EXPECT_NE (eel_directory_next_expired (&directory, now_us), nullptr);
  EXPECT_EQ (pick (now_us), nullptr);
  EXPECT_FALSE (eel_directory_has_lapsed (&directory));
}

// Guards against removals that are taken for final by a node that has not
// noticed an outage, though its source tells of one.
TEST_F (directory_test, OutageThatAPeerHasNoticedCounts)
{
  const int64_t now_us = 5 * EEL_US_PER_S;

  put (entry ("a", 1));
  eel_directory_set_stable_since (&directory, now_us - EEL_US_PER_S);
  eel_directory_remove (&directory, "a", 2, now_us);
  EXPECT_EQ (eel_directory_next_expired (&directory, now_us), nullptr);
  EXPECT_STREQ (pick (now_us), "a");
  // An older time does not end the grace period.
  eel_directory_set_stable_since (&directory, -10 * EEL_US_PER_S);
  EXPECT_EQ (eel_directory_next_expired (&directory, now_us), nullptr);
}

// Guards against an endpoint that drains and is used again when its entry
// lapses.
TEST_F (directory_test, DrainingEntriesDoNotLapse)
{
  struct eel_instance draining = entry ("a", 2);

  put (entry ("a", 1));
  draining.state = EEL_INSTANCE_DRAINING;
  put (draining);
  eel_directory_set_unstable (&directory);
  eel_directory_remove (&directory, "a", 3, 0);
  EXPECT_EQ (eel_directory_find (&directory, "a")->state, EEL_INSTANCE_REMOVED);
}

// Guards against a table that fills up with removed endpoints.
TEST_F (directory_test, RemovedEntriesAreReplaced)
{
  for (const char *id : { "a", "b", "c", "d" })
    put (entry (id, 1));
  put (entry ("e", 2));
  EXPECT_EQ (eel_directory_find (&directory, "e"), nullptr);
  EXPECT_EQ (directory.dropped_full, 1u);
  eel_directory_remove (&directory, "c", 3, 0);
  put (entry ("e", 4));
  EXPECT_NE (eel_directory_find (&directory, "e"), nullptr);
}

// Traffic between failure domains is expensive: the own domain is preferred.
TEST_F (directory_test, OwnDomainUntilNearlyFull)
{
  put (entry ("own", 1));
  put (entry ("far", 2, false));
  for (int i = 0; i < 50; i++)
    EXPECT_STREQ (pick (), "own");
  answered ("own", 1500, 1);
  EXPECT_STREQ (pick (2), "far");
}

// Guards against a slow endpoint that gets as many requests as fast ones.
TEST_F (directory_test, LeastUsedOfTheOwnDomain)
{
  int slow = 0;

  for (const char *id : { "a", "b", "slow" })
    {
      put (entry (id, 1));
      answered (id, id[0] == 's' ? 800 : 300, 1);
    }
  for (int i = 0; i < 100; i++)
    slow += strcmp (pick (2), "slow") == 0;
  EXPECT_EQ (slow, 0);
}

// Guards against a failing endpoint that every request tries, and against one
// that is never tried again.
TEST_F (directory_test, FailingEndpointIsAvoidedForAWhile)
{
  struct eel_instance *own;

  put (entry ("own", 1));
  put (entry ("far", 2, false));
  own = eel_directory_find (&directory, "own");
  eel_place_failed (own, 0);
  EXPECT_STREQ (pick (1), "far");
  EXPECT_STREQ (pick (EEL_US_PER_S), "own");
  for (int i = 0; i < 20; i++)
    eel_place_failed (own, EEL_US_PER_S);
  EXPECT_STREQ (pick (2 * EEL_US_PER_S), "far");
  EXPECT_STREQ (pick (4 * EEL_US_PER_S), "own");
}

// Guards against requests that pile up at an endpoint that does not answer.
TEST_F (directory_test, OneRequestAtATimeTriesAFailingEndpoint)
{
  struct eel_instance *own;

  put (entry ("own", 1));
  own = eel_directory_find (&directory, "own");
  eel_place_failed (own, 0);
  eel_place_failed (own, 0);
  EXPECT_STREQ (pick (EEL_US_PER_S), "own");
  eel_place_sent (own);
  EXPECT_EQ (pick (EEL_US_PER_S), nullptr);
  answered ("own", 100, EEL_US_PER_S);
  EXPECT_STREQ (pick (EEL_US_PER_S), "own");
}

// Guards against requests that find no endpoint while the only one, failing
// before, runs a long request that its node has accepted.
TEST_F (directory_test, RequestsResumeOnceTheNodeHasAcceptedOne)
{
  struct eel_instance *own;

  put (entry ("own", 1));
  own = eel_directory_find (&directory, "own");
  eel_place_failed (own, 0);
  eel_place_failed (own, 0);
  eel_place_sent (own);
  EXPECT_EQ (pick (EEL_US_PER_S), nullptr);
  eel_place_accepted (own);
  EXPECT_STREQ (pick (EEL_US_PER_S), "own");
  eel_place_sent (own);
  EXPECT_EQ (pick (EEL_US_PER_S), nullptr);
  eel_place_done (own, 1);
  EXPECT_EQ (pick (EEL_US_PER_S), nullptr);
  eel_place_done (own, 0);
  EXPECT_STREQ (pick (EEL_US_PER_S), "own");
}

// Guards against preference for an endpoint that reports a low load because it
// sheds requests.
TEST_F (directory_test, SheddingEndpointIsNotPreferred)
{
  struct eel_instance *own;

  put (entry ("own", 1));
  put (entry ("far", 2, false));
  own = eel_directory_find (&directory, "own");
  for (int i = 0; i < 20; i++)
    {
      answered ("own", 100, 1);
      if (i % 2 == 0)
        eel_place_shed (own);
    }
  EXPECT_STREQ (pick (2), "far");
}

// Guards against items that stay in force though a listing lacks them.
TEST (Published, ListingShowsWhatWasRemoved)
{
  struct eel_published_item storage[4];
  struct eel_published published;
  struct eel_published_item *missing;

  eel_published_init (&published, storage, 4);
  EXPECT_NE (eel_published_put (&published, "s/a", 1, "x", 1), nullptr);
  EXPECT_NE (eel_published_put (&published, "s/b", 2, "y", 1), nullptr);
  EXPECT_NE (eel_published_put (&published, "c", 3, "z", 1), nullptr);
  EXPECT_EQ (eel_published_put (&published, "c", 3, "older", 5), nullptr);
  eel_published_begin_listing (&published, "s/");
  eel_published_put (&published, "s/b", 2, "y", 1);
  missing = eel_published_next_missing (&published, "s/", 9);
  ASSERT_NE (missing, nullptr);
  EXPECT_STREQ (missing->key, "s/a");
  EXPECT_EQ (eel_published_next_missing (&published, "s/", 9), nullptr);
  EXPECT_EQ (published.newest, 3u);
  eel_published_finish (&published);
}

// Guards against removals that a node can't tell to others because they came
// before it listed the registry, or because their records were dropped.
TEST (Published, KnowsSinceWhenItHoldsAllChanges)
{
  struct eel_published_item storage[2];
  struct eel_published published;

  eel_published_init (&published, storage, 2);
  EXPECT_FALSE (eel_published_has_changes_since (&published, 0));
  EXPECT_NE (eel_published_put (&published, "a", 3, "x", 1), nullptr);
  eel_published_record_listing (&published, 7);
  EXPECT_FALSE (eel_published_has_changes_since (&published, 6));
  EXPECT_TRUE (eel_published_has_changes_since (&published, 7));
  EXPECT_NE (eel_published_put (&published, "a", 9, nullptr, 0), nullptr);
  EXPECT_NE (eel_published_put (&published, "b", 10, "y", 1), nullptr);
  EXPECT_TRUE (eel_published_has_changes_since (&published, 7));
  EXPECT_NE (eel_published_put (&published, "c", 11, "z", 1), nullptr);
  EXPECT_FALSE (eel_published_has_changes_since (&published, 8));
  EXPECT_TRUE (eel_published_has_changes_since (&published, 9));
  eel_published_finish (&published);
}
