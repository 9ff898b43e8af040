#include "adapter_fixture.h"
#include "relay_cluster.h"

// A reader that knows what the store has said, and the store that answers with
// scripted eras.
struct store_era : public adapter_test
{
  struct platform_feed feed = {};
  struct item_reader &reader = feed.reader;
  struct eel_published_item items[16] = {};
  struct eel_instance instances[16] = {};
  struct event_base *base = event_base_new ();
  raw_upstream store;
  std::vector<std::string> calls;
  // Field and body of each answer, in order.
  std::vector<std::pair<std::string, std::string>> answers;

  store_era ()
  {
    platform.base = base;
    platform.feed = &feed;
    feed.platform = &platform;
    eel_published_init (&platform.published, items, 16);
    eel_directory_init (&platform.relay.directory, instances, 16);
    eel_registry_view_init (&feed.view, &platform.relay.directory);
    store.open (base, "127.0.0.1");
    store.answer
        = [this] (raw_upstream &, raw_conn &conn, const std::string &request) {
            calls.push_back (request.substr (0, request.find (" HTTP")));
            if (calls.size () <= answers.size ())
              answer (conn, answers[calls.size () - 1]);
          };
    platform.settings.store = store.address;
    platform.settings.heartbeat_us = 1500 * EEL_US_PER_MS;
    item_reader_init (&reader, &platform);
    eel_published_begin_era (&platform.published, 5);
    apply (R"([{"key":"op/config","revision":8,"value":")" + config_of (7)
           + R"("}])");
    reader.after_revision = 9;
    // There are no endpoints to wait for.
    reader.empty_listings = UINT32_MAX;
  }

  ~store_era () override
  {
    if (reader.connection != nullptr)
      evhttp_connection_free (reader.connection);
    event_free (reader.call_timer);
    item_filter_finish (&reader.filter);
    store.close_all ();
    evconnlistener_free (store.listener);
    store.listener = nullptr;
    event_base_free (base);
    eel_route_table_finish (platform.relay.routes);
    free (platform.relay.routes);
    eel_published_finish (&platform.published);
  }

  static void
  answer (raw_conn &conn, const std::pair<std::string, std::string> &text)
  {
    raw_upstream::write (conn, "HTTP/1.1 200 OK\r\n" + text.first
                                   + "Content-Length: "
                                   + std::to_string (text.second.size ())
                                   + "\r\n\r\n" + text.second);
  }

  static std::string
  config_of (uint32_t version)
  {
    std::string text = R"({"version":)" + std::to_string (version)
                       + R"(,"routes":[)" + good_route + "]}";
    gchar *value = g_base64_encode ((const guchar *)text.data (), text.size ());
    std::string encoded = value;

    g_free (value);
    return encoded;
  }

  void
  apply (const std::string &text)
  {
    std::string object = R"({"items":)" + text + "}";
    JsonParser *parser = json_parser_new ();
    JsonObject *root
        = platform_json_parse (parser, object.data (), object.size ());

    EXPECT_TRUE (items_apply (&platform, platform_json_array (root, "items")));
    g_object_unref (parser);
  }

  // Runs until the store has been called so often.
  void
  run_until_calls (size_t count)
  {
    int64_t end_us = eel_clock_us () + 8 * EEL_US_PER_S;

    item_reader_request (&reader);
    while (calls.size () < count && eel_clock_us () < end_us)
      event_base_loop (base, EVLOOP_ONCE);
    ASSERT_GE (calls.size (), count);
  }

  uint64_t
  version () const
  {
    return platform.relay.items.version;
  }
};

static std::string
listing (const std::string &items, uint64_t revision)
{
  return R"({"items":[)" + items + R"(],"truncated":false,"currentRev":)"
         + std::to_string (revision) + "}";
}

static const char *const nothing = R"({"events":[],"currentRev":9})";

// Guards against an answer whose era is misread: what holds no era is of the
// known one, an older one is not applied, any greater one begins an era.
TEST_F (store_era, FieldOfAnAnswer)
{
  const struct
  {
    const char *field;
    uint64_t era;
    bool listed;
  } cases[] = {
    { "Store-Era: 5\r\n", 5, false },
    { "", 5, false },
    { "Store-Era: \r\n", 5, false },
    { "Store-Era: x6\r\n", 5, false },
    { "Store-Era: -6\r\n", 5, false },
    { "Store-Era: 6.5\r\n", 5, false },
    { "Store-Era: 6 6\r\n", 5, false },
    { "Store-Era: 0\r\n", 5, false },
    { "Store-Era: 99999999999999999999\r\n", 5, false },
    { "Store-Era: 6\r\n", 6, true },
    { "Store-Era: 9\r\n", 9, true },
  };

  for (const auto &each : cases)
    {
      calls.clear ();
      answers = { { each.field, nothing } };
      run_until_calls (2);
      EXPECT_EQ (platform.published.era, each.era) << each.field;
      EXPECT_EQ (calls[1].find ("kv-range") != std::string::npos, each.listed)
          << each.field << calls[1];
      EXPECT_EQ (calls[1].find ("serializable"), std::string::npos);
      EXPECT_EQ (version (), 7u);
      platform.published.era = 5;
      reader.after_revision = 9;
      item_connection_close (&reader);
      event_del (reader.call_timer);
    }
}

// Guards against an answer of an older era that is applied: the revisions in
// it mean something else.
TEST_F (store_era, OlderAnswerIsNotApplied)
{
  answers = { { "Store-Era: 4\r\n",
                R"({"events":[{"key":"op/config","revision":12,"value":")"
                    + config_of (9) + R"("}],"currentRev":12})" } };
  run_until_calls (2);
  EXPECT_EQ (version (), 7u);
  EXPECT_EQ (platform.published.era, 5u);
  EXPECT_EQ (reader.after_revision, 9u);
}

// Guards against a configuration that is lost with the store, and against
// later ones that are not taken as their revisions are lower.
TEST_F (store_era, VersionNeverGoesBack)
{
  answers = {
    { "Store-Era: 6\r\n", nothing },
    { "Store-Era: 6\r\n",
      listing (R"({"key":"op/config","revision":3,"value":")" + config_of (5)
                   + R"("})",
               4) },
    { "Store-Era: 6\r\n",
      R"({"events":[{"key":"op/config","revision":5,"value":")" + config_of (6)
          + R"("}],"currentRev":5})" },
    { "Store-Era: 6\r\n",
      R"({"events":[{"key":"op/config","revision":6,"value":")" + config_of (8)
          + R"("}],"currentRev":6})" },
  };
  run_until_calls (4);
  EXPECT_EQ (version (), 7u);
  run_until_calls (5);
  EXPECT_EQ (version (), 8u);
}

// Guards against keys that are served by what a copy proves: it may lack the
// version that took them away.
TEST_F (store_era, CopyProvesNothingBeforeTheVersionInForce)
{
  answers = {
    { "Store-Era: 6\r\n", nothing },
    { "Store-Era: 6\r\n",
      listing (R"({"key":"op/config","revision":3,"value":")" + config_of (5)
                   + R"("})",
               4) },
    { "Store-Era: 6\r\n", R"({"events":[],"currentRev":4})" },
    { "Store-Era: 6\r\n",
      R"({"events":[{"key":"op/config","revision":5,"value":")" + config_of (7)
          + R"("}],"currentRev":5})" },
  };
  platform.relay.config.teams_max_age_us = 4500 * EEL_US_PER_MS;
  run_until_calls (4);
  EXPECT_EQ (feed.view.known_us, 0);
  run_until_calls (5);
  EXPECT_GT (feed.view.known_us, 0);
}

// Guards against a node that has read only a copy and doesn't learn from its
// peers what is in force and who has left.
TEST_F (store_era, WhatIsHeldAgainstACopyIsTold)
{
  struct : store_era
  {
    void
    TestBody () override
    {
    }
  } other;
  GString *text = g_string_new ("{\"era\":6");
  JsonParser *parser = json_parser_new ();
  struct eel_instance left = {};

  strcpy (left.id, "up-1");
  left.born_ms = 50;
  left.sequence = 4;
  left.state = EEL_INSTANCE_DRAINING;
  left.revision = 2;
  eel_directory_put (&platform.relay.directory, &left, 1);
  // Items of the present era are told in listings.
  items_kept_render (&platform, 5, 1, text);
  EXPECT_STREQ (text->str, "{\"era\":6");
  store_era_begin (&platform, 6, eel_clock_us ());
  other.platform.relay.items.version = 5;
  other.platform.relay.routes->version = 5;
  left.state = EEL_INSTANCE_READY;
  left.sequence = 3;
  eel_directory_put (&other.platform.relay.directory, &left, 1);
  strcpy (left.id, "up-2");
  left.sequence = 9;
  eel_directory_put (&other.platform.relay.directory, &left, 1);

  items_kept_render (&platform, 5, 1, text);
  g_string_append_c (text, '}');
  items_kept_apply (&other.platform,
                    platform_json_parse (parser, text->str, text->len));
  EXPECT_EQ (other.version (), 7u);
  EXPECT_FALSE (eel_instance_usable (
      eel_directory_find (&other.platform.relay.directory, "up-1")));
  EXPECT_TRUE (eel_instance_usable (
      eel_directory_find (&other.platform.relay.directory, "up-2")));
  g_string_truncate (text, 0);
  // A peer that has it all is told nothing but who has left.
  items_kept_render (&platform, 7, 1, text);
  EXPECT_EQ (strstr (text->str, "config"), nullptr);
  g_object_unref (parser);
  g_string_free (text, TRUE);
}
