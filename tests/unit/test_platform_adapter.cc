#include <fstream>
#include <gtest/gtest.h>

extern "C"
{
#include "platform/adapter.h"
}

// Decodes input from the platform, without a running node.
struct adapter_test : public ::testing::Test
{
  struct platform platform = {};

  adapter_test ()
  {
    eel_service_names_init (&platform.relay.names);
    eel_rng_init (&platform.relay.rng, 1);
    platform.settings.domain = const_cast<char *> ("z1");
  }

  ~adapter_test ()
  {
    eel_service_names_finish (&platform.relay.names);
  }

  // Number of routes, or -1 when the configuration is rejected.
  int
  routes (const std::string &text)
  {
    struct eel_server_limits limits;
    struct eel_route_table *table = platform_config_decode (
        &platform, text.data (), text.size (), &limits);
    int count = table == nullptr ? -1 : (int)table->count;

    if (table != nullptr)
      eel_route_table_finish (table);
    free (table);
    return count;
  }

  bool
  entry_is_usable (const std::string &key, const std::string &text)
  {
    struct eel_published_item item = {};
    struct eel_instance instance;

    g_strlcpy (item.key, key.c_str (), sizeof item.key);
    item.data = reinterpret_cast<uint8_t *> (const_cast<char *> (text.data ()));
    item.bytes = text.size ();
    item.revision = 5;
    return platform_entry_decode (&platform, &item, &instance)
           && eel_instance_usable (&instance);
  }
};

static const std::string good_route
    = R"({"host":"a.example","prefix":"/a/","kind":"safe","timeoutMs":100,)"
      R"("targetLatencyMs":50,"priority":1,"service":"s","attempts":2})";

static std::string
config (const std::string &route)
{
  return R"({"version":3,"routes":[)" + good_route + "," + route
         + R"(],"limits":{}})";
}

// Guards against a configuration that is applied in part.
TEST_F (adapter_test, InvalidConfigurationIsRejectedAsAWhole)
{
  const struct
  {
    const char *name;
    std::string text;
    int routes;
  } cases[] = {
    { "good", config (good_route), 2 },
    { "empty", "", -1 },
    { "truncated", config (good_route).substr (0, 80), -1 },
    { "not an object", "[1,2]", -1 },
    { "no version", R"({"routes":[]})", -1 },
    { "version is text", R"({"version":"3","routes":[]})", -1 },
    { "no routes", R"({"version":3})", -1 },
    { "route is no object", config ("7"), -1 },
    { "no host", config (R"({"prefix":"/a/","timeoutMs":1,"service":"s"})"),
      -1 },
    { "no prefix", config (R"({"host":"a","timeoutMs":1,"service":"s"})"), -1 },
    { "no service", config (R"({"host":"a","prefix":"/","timeoutMs":1})"), -1 },
    { "no time limit", config (R"({"host":"a","prefix":"/","service":"s"})"),
      -1 },
    { "split without weight",
      config (R"({"host":"a","prefix":"/","timeoutMs":1,)"
              R"("trafficSplit":[{"service":"s"}]})"),
      -1 },
    { "split without parts",
      config (R"({"host":"a","prefix":"/","timeoutMs":1,"trafficSplit":[]})"),
      -1 },
    { "weights of zero",
      config (R"({"host":"a","prefix":"/","timeoutMs":1,)"
              R"("trafficSplit":[{"service":"s","weight":0}]})"),
      -1 },
    { "no attempts",
      config (R"({"host":"a","prefix":"/","timeoutMs":1,"service":"s",)"
              R"("attempts":0})"),
      -1 },
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
          &platform, text.data (), text.size (), &limits);

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
    { "long id", "servers/" + std::string (90, 'a'), good, false },
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
