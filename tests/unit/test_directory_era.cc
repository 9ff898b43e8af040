#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "eelgrasslatch/directory.h"
}

// Endpoints of a registry that comes back from a copy.
struct directory_era : public ::testing::Test
{
  struct eel_instance storage[4];
  struct eel_directory directory;

  directory_era ()
  {
    eel_directory_init (&directory, storage, 4);
  }

  static struct eel_instance
  said (const char *id, uint64_t revision, int64_t born_ms, int64_t sequence)
  {
    struct eel_instance instance = {};

    snprintf (instance.id, sizeof instance.id, "%s", id);
    instance.revision = revision;
    instance.born_ms = born_ms;
    instance.sequence = sequence;
    return instance;
  }

  void
  put (struct eel_instance instance, int64_t now_us = 0)
  {
    eel_directory_put (&directory, &instance, now_us);
  }

  bool
  left (const char *id, int64_t born_ms, int64_t sequence)
  {
    struct eel_instance instance = said (id, 0, born_ms, sequence);

    instance.state = EEL_INSTANCE_DRAINING;
    instance.left_until_us = 100;
    return eel_directory_set_left (&directory, &instance);
  }

  // Ids of the endpoints that may receive requests.
  std::string
  in_use () const
  {
    std::string ids;

    for (uint32_t i = 0; i < directory.count; i++)
      if (eel_instance_usable (&directory.instances[i]))
        ids += (ids.empty () ? "" : " ") + std::string (storage[i].id);
    return ids;
  }
};

// Guards against requests to an endpoint that left and that the registry lists
// again, in a new era, as it was before.
TEST_F (directory_era, EndpointThatLeftIsNotBackWithACopy)
{
  struct eel_instance draining = said ("left", 8, 50, 7);

  draining.state = EEL_INSTANCE_DRAINING;
  put (said ("left", 5, 50, 3));
  put (draining);
  put (said ("removed", 6, 50, 3));
  ASSERT_TRUE (eel_directory_remove (&directory, "removed", 9, 1));
  eel_directory_begin_era (&directory, 100);
  put (said ("left", 5, 50, 3), 10);
  put (said ("removed", 6, 50, 3), 10);
  EXPECT_EQ (in_use (), "");
  // It says itself that it is in service.
  put (said ("left", 7, 50, 8), 20);
  EXPECT_EQ (in_use (), "left");
  // A later start counts, whatever its sequence.
  put (said ("removed", 8, 60, 1), 20);
  EXPECT_EQ (eel_directory_find (&directory, "removed")->state,
             EEL_INSTANCE_READY);
  EXPECT_EQ (eel_directory_next_released (&directory, 200), nullptr);
}

// Guards against an endpoint that is never used again: in service, it need not
// say anything new.
TEST_F (directory_era, EndpointThatTheRegistryGoesOnToListIsUsedAgain)
{
  put (said ("a", 6, 50, 3));
  ASSERT_TRUE (eel_directory_remove (&directory, "a", 9, 1));
  eel_directory_begin_era (&directory, 100);
  put (said ("a", 6, 50, 3), 10);
  EXPECT_EQ (eel_directory_next_released (&directory, 99), nullptr);
  ASSERT_NE (eel_directory_next_released (&directory, 100), nullptr);
  EXPECT_EQ (eel_directory_next_released (&directory, 100), nullptr);
  put (said ("a", 6, 50, 3), 100);
  EXPECT_EQ (in_use (), "a");
}

// Guards against an endpoint that is dropped because a copy holds the entry of
// its start before.
TEST_F (directory_era, EntryOfAnEarlierStartCountsAsMissing)
{
  struct eel_instance before = said ("a", 4, 50, 9);

  before.state = EEL_INSTANCE_DRAINING;
  put (said ("a", 9, 60, 1));
  eel_directory_begin_era (&directory, 100);
  eel_directory_set_stable_since (&directory, 10);
  put (before, 10);
  EXPECT_EQ (eel_directory_find (&directory, "a")->state, EEL_INSTANCE_LAPSED);
  EXPECT_EQ (in_use (), "a");
  put (said ("a", 5, 60, 2), 20);
  EXPECT_EQ (eel_directory_find (&directory, "a")->state, EEL_INSTANCE_READY);
}

// Guards against a peer's word on an endpoint that has said later that it is in
// service.
TEST_F (directory_era, PeersWordOnAnEndpointThatLeft)
{
  put (said ("a", 4, 50, 5));
  EXPECT_FALSE (left ("a", 50, 4));
  EXPECT_FALSE (left ("a", 40, 9));
  EXPECT_FALSE (left ("b", 50, 4));
  EXPECT_TRUE (left ("a", 50, 5));
  EXPECT_EQ (in_use (), "");
  // Its node still counts, as at the one that told.
  EXPECT_EQ (eel_directory_find (&directory, "a")->state,
             EEL_INSTANCE_DRAINING);
}

// Guards against an endpoint that is dropped at once when its entry lapses just
// after the registry is back: the copy's entry is no registration.
TEST_F (directory_era, EntryThatIsStatedAsItWasMayLapse)
{
  put (said ("a", 6, 50, 3), 1);
  eel_directory_begin_era (&directory, 100);
  eel_directory_set_stable_since (&directory, 10);
  put (said ("a", 2, 50, 3), 11);
  EXPECT_TRUE (eel_directory_remove (&directory, "a", 3, 20));
  EXPECT_EQ (in_use (), "a");
  put (said ("a", 4, 50, 4), 30);
  EXPECT_TRUE (eel_directory_remove (&directory, "a", 5, 40));
  EXPECT_EQ (in_use (), "");
}

// Guards against an endpoint that left and is taken for one in service by a
// sequence that went on without a change: the copy lists it.
TEST_F (directory_era, LaterSequenceOfAListingIsNoWordOfTheEndpoint)
{
  struct eel_instance listed = said ("a", 2, 50, 5);

  put (said ("a", 6, 50, 3));
  ASSERT_TRUE (eel_directory_remove (&directory, "a", 9, 1));
  eel_directory_begin_era (&directory, 100);
  listed.is_listed = 1;
  put (listed, 10);
  EXPECT_EQ (in_use (), "");
  put (said ("a", 3, 50, 6), 20);
  EXPECT_EQ (in_use (), "a");
}
