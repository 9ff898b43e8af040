#include <fstream>
#include <gtest/gtest.h>

#include "adapter_fixture.h"

// Guards against a document that is no configuration and takes the place of the
// one in force.
TEST_F (adapter_test, DocumentsWithoutVersionOrRoutesAreRejected)
{
  const struct
  {
    const char *name;
    std::string text;
    int routes;
  } cases[] = {
    { "good", config (good_route), 2 },
    { "no routes in the list", R"({"version":3,"routes":[]})", 0 },
    { "empty", "", -1 },
    { "truncated", config (good_route).substr (0, 80), -1 },
    { "not an object", "[1,2]", -1 },
    { "no version", R"({"routes":[]})", -1 },
    { "version is text", R"({"version":"3","routes":[]})", -1 },
    { "no routes", R"({"version":3})", -1 },
    { "routes are no list", R"({"version":3,"routes":{}})", -1 },
  };

  for (const auto &each : cases)
    EXPECT_EQ (routes (each.text), each.routes) << each.name;
}

// Guards against a request that is repeated because its kind is unknown.
TEST_F (adapter_test, OnlyKindSafeIsIdempotent)
{
  for (const char *kind : { "safe", "non_idempotent", "other", "SAFE" })
    {
      std::string text
          = std::string (R"({"version":1,"routes":[{"host":"a","prefix":"/",)")
            + R"("timeoutMs":9,"service":"s","kind":")" + kind + "\"}]}";
      struct eel_server_limits limits;
      struct eel_route_table *table = platform_config_decode (
          &platform, text.data (), text.size (), &limits, nullptr);

      ASSERT_NE (table, nullptr);
      EXPECT_EQ (table->routes[0].idempotent, strcmp (kind, "safe") == 0);
      eel_route_table_finish (table);
      free (table);
    }
}

// Guards against an endpoint made from another writer's entry.
TEST_F (adapter_test, IncompleteEntriesYieldNoEndpoint)
{
  const std::string good
      = R"({"service":"s","address":"10.0.0.1:80","zone":"z1","slots":4,)"
        R"("state":"ready"})";
  const struct
  {
    const char *name;
    std::string key;
    std::string text;
    bool usable;
  } cases[] = {
    { "good", "servers/a", good, true },
    { "no id", "servers/", good, false },
    { "longest id", "servers/" + std::string (192, 'a'), good, true },
    { "empty", "servers/a", "", false },
    { "truncated", "servers/a", good.substr (0, 40), false },
    { "bytes", "servers/a", std::string ("\x00\xff\x01", 3), false },
    { "no service", "servers/a",
      R"({"address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"})",
      false },
    { "service of another type", "servers/a",
      R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":4,)"
      R"("state":"ready"})",
      false },
    { "address without port", "servers/a",
      R"({"service":"s","address":"10.0.0.1","zone":"z","slots":4,)"
      R"("state":"ready"})",
      false },
    { "host name", "servers/a",
      R"({"service":"s","address":"host:80","zone":"z","slots":4,)"
      R"("state":"ready"})",
      false },
    { "no slots", "servers/a",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"})",
      false },
    { "unknown state", "servers/a",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
      R"("state":"resting"})",
      false },
    { "draining", "servers/a",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
      R"("state":"draining"})",
      false },
  };

  for (const auto &each : cases)
    EXPECT_EQ (entry_is_usable (each.key, each.text), each.usable) << each.name;
}

// An entry of a good endpoint with one more field, or another value.
static std::string
entry_text (const std::string &more,
            const std::string &address = "10.0.0.1:80",
            const std::string &slots = "4")
{
  return R"({"service":"s","address":")" + address + R"(","zone":"z1","slots":)"
         + slots + more + R"(,"state":"ready"})";
}

static std::string
nested (size_t depth, const char *open, const char *close)
{
  std::string text;

  for (size_t i = 0; i < depth; i++)
    text += open;
  text += "1";
  for (size_t i = 0; i < depth; i++)
    text += close;
  return text;
}

// Guards against a process that ends because another writer left an odd entry
// among those of the endpoints.
TEST_F (adapter_test, OddEntriesYieldNoEndpoint)
{
  const struct
  {
    const char *name;
    std::string text;
    bool usable;
  } cases[] = {
    { "good", entry_text (""), true },
    { "nested a little", entry_text (",\"x\":" + nested (20, "[", "]")), true },
    { "nested arrays", entry_text (",\"x\":" + nested (300000, "[", "]")),
      false },
    { "nested objects",
      entry_text (",\"x\":" + nested (150000, "{\"a\":", "}")), false },
    { "only opened", std::string (900000, '['), false },
    { "brackets in a text",
      entry_text (",\"x\":\"" + std::string (500, '[') + "\\\""
                  + std::string (500, '{') + "\""),
      true },
    { "port too large", entry_text ("", "10.0.0.1:65536"), false },
    { "port far too large", entry_text ("", "10.0.0.1:99999999999999999999"),
      false },
    { "port 0", entry_text ("", "10.0.0.1:0"), false },
    { "negative port", entry_text ("", "10.0.0.1:-80"), false },
    { "slots too large", entry_text ("", "10.0.0.1:80", "1e400"), false },
    { "slots of 30 digits",
      entry_text ("", "10.0.0.1:80", std::string (30, '9')), false },
    { "negative slots", entry_text ("", "10.0.0.1:80", "-4"), false },
  };

  for (const auto &each : cases)
    EXPECT_EQ (entry_is_usable ("servers/a", each.text), each.usable)
        << each.name;
}

// Guards against times that overflow.
TEST_F (adapter_test, NumbersOfAnEntryAreBounded)
{
  for (const char *number : { "1e300", "-1e300", "1e400", "-5",
                              "99999999999999999999", "9223372036854775807" })
    {
      std::string text = entry_text (std::string (",\"coldRemainingMs\":")
                                     + number + ",\"born\":" + number);
      struct eel_published_item item = {};
      struct eel_instance instance;

      strcpy (item.key, "servers/a");
      item.data = reinterpret_cast<uint8_t *> (text.data ());
      item.bytes = text.size ();
      item.revision = 5;
      ASSERT_TRUE (platform_entry_decode (&platform, &item, &instance));
      EXPECT_LT (instance.cold_until_us,
                 eel_clock_us () + 24 * 3600 * EEL_US_PER_S)
          << number;
      EXPECT_GE (instance.cold_until_us, 0) << number;
      EXPECT_GE (instance.born_ms, 0) << number;
    }
}

// Guards against entries that use up the numbers of services, so that no
// configuration can be put in force.
TEST_F (adapter_test, EntriesLeaveRoomForTheServicesOfAConfiguration)
{
  for (int i = 0; i < 2000; i++)
    entry_is_usable ("servers/a",
                     R"({"service":"odd)" + std::to_string (i)
                         + R"(","address":"10.0.0.1:80","zone":"z1",)"
                           R"("slots":4,"state":"ready"})");
  EXPECT_EQ (routes (config (good_route)), 2);
}

// Guards against a list of endpoints that is not followed to its end because of
// one entry, or of one item that is none.
TEST_F (adapter_test, OddItemsDoNotKeepTheOthersFromBeingApplied)
{
  std::vector<struct eel_published_item> items (16);
  std::vector<struct eel_instance> instances (16);
  const std::string deep = nested (300000, "[", "]");
  JsonParser *parser = json_parser_new ();
  std::string text = "[";

  eel_published_init (&platform.published, items.data (), 16);
  eel_directory_init (&platform.relay.directory, instances.data (), 16);
  eel_gate_init (&platform.relay.gate, 1);
  auto add = [&] (const std::string &key, const std::string &revision,
                  const std::string &value) {
    gchar *encoded = g_base64_encode (
        reinterpret_cast<const guchar *> (value.data ()), value.size ());

    text += (text.size () > 1 ? "," : "") + ("{\"key\":\"" + key)
            + "\",\"revision\":" + revision + ",\"value\":\"" + encoded + "\"}";
    g_free (encoded);
  };
  add ("servers/first", "5", entry_text (""));
  add ("servers/odd1", "6", deep);
  add ("servers/odd2", "7", entry_text ("", "10.0.0.1:99999"));
  add ("servers/odd3", "8", entry_text ("", "10.0.0.1:80", "1e999"));
  add ("servers/odd4", "1e300", entry_text (""));
  add ("servers/odd5", "-1", entry_text (""));
  add (std::string (500, 'k'), "9", "x");
  text += ",7,null,[]";
  add ("servers/last", "10", entry_text (""));
  text += "]";
  ASSERT_TRUE (json_parser_load_from_data (parser, text.data (), -1, nullptr));
  EXPECT_TRUE (items_apply (
      &platform, json_node_get_array (json_parser_get_root (parser))));
  EXPECT_NE (eel_directory_find (&platform.relay.directory, "first"), nullptr);
  EXPECT_NE (eel_directory_find (&platform.relay.directory, "last"), nullptr);
  EXPECT_EQ (platform.relay.directory.count, 2u);
  EXPECT_EQ (platform.published.newest, 10u);
  g_object_unref (parser);
  eel_published_finish (&platform.published);
}

// Guards against settings that lack a field and are accepted.
TEST (PlatformSettings, EachFieldIsRequired)
{
  const std::string good
      = R"({"nodeName":"n","service":"s","zone":"z","ip":"1.2.3.4",)"
        R"("appAddress":"1.2.3.4:5",)"
        R"("listenAddresses":{"outbound":"1.2.3.4:6","inbound":"1.2.3.4:7",)"
        R"("ready":"1.2.3.4:8"},"platform":{"address":"1.2.3.4:9"}})";
  char file[] = "/tmp/eel-settings-XXXXXX";
  struct platform_settings settings;
  int fd = mkstemp (file);

  close (fd);
  for (const char *field :
       { "", "nodeName", "service", "zone", "ip", "appAddress", "outbound",
         "inbound", "ready", "platform" })
    {
      std::string text = good;

      if (field[0] != 0)
        text.replace (text.find (field), strlen (field), "other");
      std::ofstream (file) << text;
      testing::internal::CaptureStderr ();
      EXPECT_EQ (platform_settings_read (&settings, file), field[0] == 0)
          << field;
      EXPECT_EQ (testing::internal::GetCapturedStderr ().empty (),
                 field[0] == 0)
          << field;
      platform_settings_finish (&settings);
    }
  unlink (file);
}

// Guards against a bound on withdrawn keys that is not kept, or kept where none
// is asked for.
TEST (PlatformSettings, BoundOnWithdrawnKeys)
{
  const std::string good
      = R"({"nodeName":"n","service":"s","zone":"z","ip":"1.2.3.4",)"
        R"("appAddress":"1.2.3.4:5",)"
        R"("listenAddresses":{"outbound":"1.2.3.4:6","inbound":"1.2.3.4:7",)"
        R"("ready":"1.2.3.4:8"},"platform":{"address":"1.2.3.4:9"})";
  const struct
  {
    const char *bounds;
    int64_t max_age_ms;
  } cases[] = {
    { "", 0 },
    { R"(,"bounds":{})", 0 },
    { R"(,"bounds":{"revocationMs":5000})", 0 },
    { R"(,"bounds":{"strictRevocation":false,"revocationMs":5000})", 0 },
    { R"(,"bounds":{"strictRevocation":true,"revocationMs":5000})", 4500 },
    { R"(,"bounds":{"strictRevocation":true,"revocationMs":2000})", 1800 },
    { R"(,"bounds":{"strictRevocation":true})", 4500 },
    { R"(,"bounds":{"strictRevocation":true,"revocationMs":-7})", 0 },
  };
  char file[] = "/tmp/eel-settings-XXXXXX";
  struct platform_settings settings;
  int fd = mkstemp (file);

  close (fd);
  for (const auto &each : cases)
    {
      std::ofstream (file) << good << each.bounds << "}";
      EXPECT_TRUE (platform_settings_read (&settings, file)) << each.bounds;
      EXPECT_EQ (settings.teams_max_age_us / EEL_US_PER_MS, each.max_age_ms)
          << each.bounds;
      // A bound of next to nothing is one all the same.
      EXPECT_EQ (settings.teams_max_age_us > 0,
                 strstr (each.bounds, "true") != nullptr)
          << each.bounds;
      platform_settings_finish (&settings);
    }
  unlink (file);
}

// Failure domains get small numbers, the own one 0; those beyond the table
// share one that is never chosen by name.
TEST_F (adapter_test, DomainsAreNumbered)
{
  EXPECT_EQ (platform_domain_number (&platform, "z2"), 1);
  EXPECT_EQ (platform_domain_number (&platform, "z1"), EEL_HOME_DOMAIN);
  EXPECT_EQ (platform_domain_number (&platform, "z2"), 1);
  for (int i = 3; i < 30; i++)
    platform_domain_number (&platform, ("z" + std::to_string (i)).c_str ());
  EXPECT_EQ (platform.domain_count, (uint32_t)EEL_DOMAINS_MAX);
  EXPECT_EQ (platform_domain_number (&platform, "z29"), EEL_ANY_DOMAIN);
  EXPECT_EQ (platform_domain_number (&platform, "z2"), 1);
}
