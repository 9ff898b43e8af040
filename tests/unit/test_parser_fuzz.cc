#include <gtest/gtest.h>

#include <fstream>
#include <string>

extern "C"
{
#include "eelgrasslatch/cap_message.h"
#include "eelgrasslatch/preset.h"
#include "internal/settings.h"
#include "platform/feed.h"
#include "relay/crash.h"
#include "relay/reader.h"
}

// Each parser of bytes from a socket or a file gets valid input with random
// mistakes.  None may crash, read out of bounds (the sanitizers show that) or
// deliver more than it was given.
namespace
{
constexpr int STEPS = 4000;

struct mutator
{
  struct eel_rng rng;

  explicit mutator (uint64_t seed)
  {
    eel_rng_init (&rng, seed);
  }

  uint32_t
  below (size_t bound)
  {
    return eel_rng_below (&rng, (uint32_t)bound);
  }

  // Changes, removes, repeats or inserts bytes, or cuts the text off.
  std::string
  operator() (std::string text)
  {
    for (uint32_t n = below (4) + 1; n > 0 && !text.empty (); n--)
      {
        size_t at = below (text.size ());
        size_t bytes = below (16) + 1;

        switch (below (7))
          {
          case 0:
            text[at] = (char)below (256);
            break;
          case 1:
            text.erase (at, bytes);
            break;
          case 2:
            text.insert (at, text.substr (at, bytes * 8));
            break;
          case 3:
            text.insert (at,
                         std::string (bytes, "0159-{}[]\",: \r\n"[below (15)]));
            break;
          case 4:
            text.resize (at);
            break;
          case 5:
            text.insert (at, "99999999999999999999");
            break;
          case 6:
            text.insert (at, std::string (1, '\0'));
            break;
          }
      }
    return text;
  }
};

struct stream_counts
{
  size_t body_bytes = 0;
  size_t ends = 0;
};

// Feeds a stream in pieces of random size, until the reader refuses it.
stream_counts
feed (mutator &mutate, enum http_parser_type type, const std::string &stream)
{
  stream_counts counts;
  struct eel_reader reader;
  struct eel_reader_ops ops = {};
  size_t at = 0;

  ops.head = [] (void *, struct eel_head *) { return 0; };
  ops.body = [] (void *owner, const char *, size_t bytes) {
    static_cast<stream_counts *> (owner)->body_bytes += bytes;
  };
  ops.end = [] (void *owner) { static_cast<stream_counts *> (owner)->ends++; };
  eel_reader_init (&reader, type, &ops, &counts, 2048);
  while (at < stream.size ())
    {
      size_t bytes
          = std::min (stream.size () - at, (size_t)mutate.below (64) + 1);
      long consumed = eel_reader_feed (&reader, stream.data () + at, bytes);

      if (consumed < 0)
        break;
      EXPECT_LE ((size_t)consumed, bytes);
      at += (size_t)consumed;
      if (reader.ended)
        eel_reader_next (&reader);
      else if (consumed == 0)
        break;
    }
  eel_reader_eof (&reader);
  eel_reader_finish (&reader);
  return counts;
}

struct platform_fixture
{
  struct platform platform = {};
  struct item_reader reader = {};
  struct eel_instance instances[64];
  struct eel_published_item items[64] = {};

  platform_fixture ()
  {
    eel_service_names_init (&platform.relay.names);
    eel_rng_init (&platform.relay.rng, 1);
    platform.settings.domain = const_cast<char *> ("z1");
    eel_directory_init (&platform.relay.directory, instances, 64);
    eel_published_init (&platform.published, items, 64);
    reader.platform = &platform;
  }

  ~platform_fixture ()
  {
    eel_published_finish (&platform.published);
    eel_service_names_finish (&platform.relay.names);
    for (uint32_t i = 0; i < platform.domain_count; i++)
      g_free (platform.domains[i]);
  }
};

const std::string route
    = R"({"host":"a.example","prefix":"/a/","kind":"safe","timeoutMs":100,)"
      R"("targetLatencyMs":50,"priority":1,"attempts":2,"trafficSplit":)"
      R"([{"service":"s","weight":2},{"service":"t","weight":1}]})";
const std::string config_text
    = R"({"version":3,"routes":[)" + route
      + R"(],"limits":{"maxHeaderBytes":8192,"maxBodyBytes":1000,)"
        R"("headerTimeoutMs":100,"idleTimeoutMs":1000}})";
const std::string entry_text
    = R"({"service":"s","address":"10.0.0.1:80","zone":"z1","version":"v1",)"
      R"("slots":10,"state":"ready","coldRemainingMs":5,"sequence":3})";
}

TEST (ParserFuzz, HttpStreams)
{
  mutator mutate (1);
  const std::string requests
      = "POST /a?b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
        "GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5;x=y\r\nhello\r\n0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\nHost: b\r\n\r\n";
  const std::string answers
      = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        "Keep-Alive: timeout=5\r\n\r\nokHTTP/1.1 503 No\r\nTransfer-Encoding: "
        "chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";

  EXPECT_EQ (feed (mutate, HTTP_REQUEST, requests).ends, 3u);
  EXPECT_EQ (feed (mutate, HTTP_RESPONSE, answers).ends, 3u);
  for (int n = 0; n < STEPS; n++)
    {
      const std::string stream = mutate (n % 2 == 0 ? requests : answers);
      stream_counts counts
          = feed (mutate, n % 2 == 0 ? HTTP_REQUEST : HTTP_RESPONSE, stream);

      EXPECT_LE (counts.body_bytes, stream.size ());
    }
}

TEST (ParserFuzz, ConfigurationsAndEntries)
{
  mutator mutate (2);
  platform_fixture fixture;
  struct eel_published_item item = {};
  struct eel_instance instance;

  strcpy (item.key, "servers/i-1");
  for (int n = 0; n < STEPS; n++)
    {
      std::string config = mutate (config_text);
      std::string entry = mutate (entry_text);
      struct eel_server_limits limits;
      struct eel_route_table *table = platform_config_decode (
          &fixture.platform, config.data (), config.size (), &limits, nullptr);

      if (table != nullptr)
        eel_route_table_finish (table);
      free (table);
      item.data = reinterpret_cast<uint8_t *> (&entry[0]);
      item.bytes = entry.size ();
      if (platform_entry_decode (&fixture.platform, &item, &instance))
        {
          EXPECT_LT (strlen (instance.id), sizeof instance.id);
          EXPECT_NE (instance.port, 0);
        }
      // The table of names is bounded: mutated names must not fill it.
      eel_service_names_finish (&fixture.platform.relay.names);
      eel_service_names_init (&fixture.platform.relay.names);
    }
}

TEST (ParserFuzz, TeamsAndKeys)
{
  const std::string text
      = R"({"version":3,"routes":[],"tenants":[{"name":"a","apiKeys":["k1",)"
        R"("k2"],"priority":1,"ratePerS":7,"burst":2},{"name":"b","apiKeys":)"
        R"(["k3","k\u0000x"]}]})";
  mutator mutate (4);
  platform_fixture fixture;
  int decoded = 0;

  for (int n = 0; n < STEPS; n++)
    {
      std::string config = mutate (text);
      struct eel_server_limits limits;
      struct eel_team_table *teams = nullptr;
      struct eel_route_table *table = platform_config_decode (
          &fixture.platform, config.data (), config.size (), &limits, &teams);

      if (teams != nullptr)
        {
          decoded++;
          for (uint32_t i = 0; i < teams->count; i++)
            {
              EXPECT_GE (teams->teams[i].rate_per_s, 0);
              for (const char *at = teams->teams[i].name; *at != 0; at++)
                EXPECT_GE ((unsigned char)*at, (unsigned char)' ');
              EXPECT_EQ (eel_team_table_find (teams, teams->teams[i].id),
                         &teams->teams[i]);
            }
          eel_team_table_finish (teams);
        }
      if (table != nullptr)
        eel_route_table_finish (table);
      free (teams);
      free (table);
    }
  EXPECT_GT (decoded, STEPS / 20);
}

TEST (ParserFuzz, ListingsAndEvents)
{
  mutator mutate (3);
  platform_fixture fixture;
  char *value
      = g_base64_encode (reinterpret_cast<const guchar *> (entry_text.data ()),
                         entry_text.size ());
  const std::string item = std::string (R"({"key":"servers/i-1","value":")")
                           + value + R"(","revision":7,"created":7,"lease":0})";
  const std::string page
      = R"({"items":[)" + item + R"(],"truncated":false,"currentRev":9})";
  const std::string events
      = R"({"events":[)" + item
        + R"(,{"key":"servers/i-1","revision":8,"tombstone":true}],)"
          R"("currentRev":9})";

  g_free (value);
  for (int n = 0; n < STEPS; n++)
    {
      const std::string text = mutate (n % 2 == 0 ? page : events);
      JsonParser *parser = json_parser_new ();
      JsonObject *root
          = platform_json_parse (parser, text.data (), text.size ());

      if (root != nullptr && n % 2 == 0)
        item_page_apply (&fixture.reader, root);
      else if (root != nullptr)
        item_events_apply (&fixture.reader, root);
      g_object_unref (parser);
      EXPECT_LE (fixture.platform.relay.directory.count, 64u);
    }
}

TEST (ParserFuzz, Documents)
{
  mutator mutate (4);
  struct eel_preset_store store;
  struct eel_document_error error;
  const std::string document
      = "format = 1\nrevision = 7\nin_force = \"a\"\n[preset.a]\n"
        "[[rule]]\nservice = \"orders\"\n";

  eel_preset_store_init (&store);
  for (int n = 0; n < STEPS; n++)
    {
      const std::string text = mutate (document);
      uint8_t *unpacked = nullptr;
      size_t unpacked_bytes = 0;
      const auto *bytes = reinterpret_cast<const uint8_t *> (text.data ());

      eel_preset_store_offer (&store, bytes, text.size (), &error);
      if (eel_document_unpack (bytes, text.size (), nullptr, &unpacked,
                               &unpacked_bytes)
          == EEL_OK)
        free (unpacked);
    }
  eel_preset_store_finish (&store);
}

// Guards against a published document that ends the process: toml++ asserts
// that a key begins after "[[".
TEST (ParserFuzz, DocumentThatBreaksAnAssertionOfTheParser)
{
  struct eel_document_error error;

  for (const char *text : { "[[\x01", "[[", "[[]]", "[\x01", "a.\x01", "a=[[" })
    EXPECT_EQ (eel_document_parse (reinterpret_cast<const uint8_t *> (text),
                                   strlen (text), &error),
               nullptr);
}

TEST (ParserFuzz, SettingsFiles)
{
  mutator mutate (5);
  const std::string toml
      = "[node]\nid = 7\ndomain = \"a\"\nservice = \"orders\"\n[listen]\n"
        "front = \"127.0.0.1:8080\"\n[[seed]]\nnode = 8\n";
  std::string json
      = R"({"nodeName":"n","ip":"10.1.0.8","zone":"z1","listenAddresses":)"
        R"({"inbound":"10.1.0.8:83","outbound":"10.1.0.8:84","ready":)"
        R"("10.1.0.8:82"},"internalPortRange":[7620,7635],"seedNodes":[],)"
        R"("bounds":{"gracePeriodS":6,"retryBudgetRatio":0.2},"appAddress":)"
        R"("10.1.0.8:81","service":"s","platform":{"address":"10.2.0.7:8"}})";
  std::string path = ::testing::TempDir () + "parser_fuzz_settings";

  for (int n = 0; n < STEPS / 8; n++)
    {
      struct eel_settings settings;
      struct eel_settings_error errors[EEL_SETTINGS_ERRORS_MAX];
      struct platform_settings platform_settings = {};
      const std::string text = mutate (toml);

      eel_settings_parse (&settings, text.data (), text.size (), errors,
                          EEL_SETTINGS_ERRORS_MAX);
      std::ofstream (path) << mutate (json);
      ::testing::internal::CaptureStderr ();
      platform_settings_read (&platform_settings, path.c_str ());
      ::testing::internal::GetCapturedStderr ();
      platform_settings_finish (&platform_settings);
    }
  unlink (path.c_str ());
}

// Datagrams about caps: what is taken stays within the bounds of a message.
TEST (ParserFuzz, CapMessages)
{
  mutator mutate (17);
  struct eel_cap_ask_message ask = {};
  struct eel_cap_grant_message grants = {};
  uint8_t bytes[EEL_CAP_MESSAGE_BYTES_MAX];

  ask.group_count = 4;
  ask.group = 3;
  ask.count = grants.count = 5;
  for (uint32_t i = 0; i < 5; i++)
    {
      ask.asks[i] = { i * UINT64_C (0x123456789), i * 100 };
      grants.grants[i] = { i * 100, i * EEL_US_PER_S };
    }
  for (int i = 0; i < STEPS; i++)
    {
      size_t length = i % 2 == 0 ? eel_cap_ask_encode (&ask, bytes)
                                 : eel_cap_grant_encode (&grants, bytes);
      std::string text
          = mutate (std::string (reinterpret_cast<char *> (bytes), length));
      auto *data = reinterpret_cast<const uint8_t *> (text.data ());
      struct eel_cap_ask_message ask_back;
      struct eel_cap_grant_message grants_back;

      if (eel_cap_ask_decode (data, text.size (), &ask_back))
        {
          EXPECT_LE (ask_back.count, (uint32_t)EEL_CAP_ENTRIES_MAX);
          EXPECT_LT (ask_back.group, ask_back.group_count);
          EXPECT_LE (ask_back.group_count, (uint32_t)EEL_CAP_GROUPS_MAX);
        }
      if (eel_cap_grant_decode (data, text.size (), &grants_back))
        {
          EXPECT_LE (grants_back.count, (uint32_t)EEL_CAP_ENTRIES_MAX);
          EXPECT_LT (grants_back.group, (uint32_t)EEL_CAP_GROUPS_MAX);
        }
    }
}
