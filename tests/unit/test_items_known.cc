#include "adapter_fixture.h"

#include <event2/event.h>

// As of when a reader knows its items, by the answer to one call.
struct items_known : public adapter_test
{
  struct platform_feed feed = {};
  struct item_reader &reader = feed.reader;
  int64_t sent_us = eel_clock_us () - 900 * EEL_US_PER_MS;

  items_known ()
  {
    platform.feed = &feed;
    feed.platform = &platform;
    reader.platform = &platform;
    eel_registry_view_init (&feed.view, &platform.relay.directory);
    reader.sent_us = sent_us;
    reader.hold_ms = 700;
  }

  // Returns how long after the call was sent all is known, in ms; -1: nothing
  // is proven.
  int64_t
  known_ms (const char *answer, bool was_listing)
  {
    JsonParser *parser = json_parser_new ();
    JsonObject *root = platform_json_parse (parser, answer, strlen (answer));

    feed.view.known_us = 0;
    platform.relay.known_us = 0;
    items_known_record (&reader, root, was_listing);
    g_object_unref (parser);
    EXPECT_EQ (platform.relay.known_us, feed.view.known_us);
    return feed.view.known_us == 0
               ? -1
               : (feed.view.known_us - sent_us) / EEL_US_PER_MS;
  }
};

TEST_F (items_known, WatchOfTheStore)
{
  const struct
  {
    const char *name;
    const char *answer;
    int64_t known_ms;
  } cases[] = {
    { "nothing new", R"({"events":[],"currentRev":9})", 700 },
    { "events", R"({"events":[{"revision":9}],"currentRev":9})", 0 },
    // The store has lost the changes between.
    { "left out", R"({"events":[{"revision":9}],"currentRev":10})", -1 },
    { "nothing, but a later revision", R"({"events":[],"currentRev":10})", -1 },
    { "store lags", R"({"events":[],"currentRev":8})", -1 },
    { "no revision", R"({"events":[]})", -1 },
    { "events, no revision", R"({"events":[{"revision":9}]})", -1 },
  };

  reader.after_revision = 9;
  for (const auto &each : cases)
    EXPECT_EQ (known_ms (each.answer, false), each.known_ms) << each.name;
}

// Guards against a listing that may be stale and makes knowledge look new.
TEST_F (items_known, ListingOfTheStore)
{
  GString *target = g_string_new (nullptr);

  // The first listing asks for a stale read.
  item_call_target (&reader, target);
  EXPECT_NE (strstr (target->str, "serializable=1"), nullptr);
  item_call_begin (&reader, sent_us);
  reader.after_revision = 9;
  EXPECT_EQ (known_ms (R"({"items":[],"currentRev":9})", true), -1);
  // After the loss of the store's history the listing is current; it is as old
  // as its first page.
  reader.after_revision = 0;
  reader.listing_must_be_current = 1;
  g_string_truncate (target, 0);
  item_call_target (&reader, target);
  EXPECT_EQ (strstr (target->str, "serializable"), nullptr);
  item_call_begin (&reader, sent_us - 500 * EEL_US_PER_MS);
  g_strlcpy (reader.page_after_key, "k", sizeof reader.page_after_key);
  item_call_begin (&reader, sent_us);
  reader.page_after_key[0] = 0;
  reader.after_revision = 9;
  EXPECT_EQ (known_ms (R"({"items":[],"currentRev":9})", true), -500);
  g_string_free (target, TRUE);
  // More pages follow.
  reader.after_revision = 0;
  EXPECT_EQ (known_ms (R"({"items":[],"currentRev":9})", true), -1);
}

TEST_F (items_known, AnswerOfAPeer)
{
  const struct
  {
    const char *name;
    const char *answer;
    int64_t known_ms;
  } cases[] = {
    { "at once", R"({"events":[],"currentRev":9,"knownMs":200,"heldMs":0})",
      -200 },
    { "held", R"({"events":[],"currentRev":9,"knownMs":200,"heldMs":600})",
      400 },
    { "no word", R"({"events":[],"currentRev":9})", -1 },
    { "knows nothing", R"({"items":[],"currentRev":9,"knownMs":-1,"heldMs":5})",
      -1 },
    { "no number", R"({"events":[],"currentRev":9,"knownMs":"0"})", -1 },
    { "not proven, however new", R"({"events":[],"currentRev":9,"ageMs":0})",
      -1 },
  };

  reader.ip = 1;
  reader.after_revision = 9;
  for (const auto &each : cases)
    EXPECT_EQ (known_ms (each.answer, false), each.known_ms) << each.name;
}

// Guards against a slow store whose answers are given up until no key is served
// any more.
TEST_F (items_known, SlowStoreIsWaitedForWhenTheProofAges)
{
  const int64_t ms = EEL_US_PER_MS;

  reader.after_revision = 9;
  reader.verified = 1;
  feed.view.known_us = eel_clock_us () - 3000 * ms;
  EXPECT_EQ (item_call_timeout_ms (&reader), 1100);
  platform.relay.config.teams_max_age_us = 4500 * ms;
  EXPECT_EQ (item_call_timeout_ms (&reader), 100 + 1125);
  EXPECT_EQ (reader.hold_ms, 100);
  feed.view.known_us = eel_clock_us () - 2000 * ms;
  EXPECT_EQ (item_call_timeout_ms (&reader), 1100);
  EXPECT_EQ (reader.hold_ms, 700);
  // Nothing is proven yet.
  feed.view.known_us = 0;
  EXPECT_EQ (item_call_timeout_ms (&reader), 1 + 1125);
  EXPECT_EQ (reader.hold_ms, 1);
  // Peers are not waited for any longer.
  reader.ip = 1;
  EXPECT_EQ (item_call_timeout_ms (&reader), 300);
}

// Guards against an answer that counts as one to a later request, which makes
// knowledge look new: no peer is left to ask, but an earlier one may answer
// yet.
TEST_F (items_known, EarlierRequestToAPeerEndsAtTheNext)
{
  struct event_base *base = event_base_new ();

  platform.base = base;
  platform.settings.control.sin_port = htons (1);
  feed.peer_connection
      = evhttp_connection_base_new (base, nullptr, "127.0.0.1", 1);
  peer_fetch_items (&feed);
  EXPECT_EQ (feed.peer_connection, nullptr);
  event_base_free (base);
}
