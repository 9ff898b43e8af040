#ifndef EEL_TESTS_ADAPTER_FIXTURE_H
#define EEL_TESTS_ADAPTER_FIXTURE_H

#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "internal/task.h"
#include "platform/feed.h"
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
    for (auto *name : platform.domains)
      g_free (name);
  }

  // Number of routes, or -1 when the configuration is rejected.
  int
  routes (const std::string &text)
  {
    struct eel_server_limits limits;
    struct eel_route_table *table = platform_config_decode (
        &platform, text.data (), text.size (), &limits, nullptr);
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

const std::string good_route
    = R"({"host":"a.example","prefix":"/a/","kind":"safe","timeoutMs":100,)"
      R"("targetLatencyMs":50,"priority":1,"service":"s","attempts":2})";

// A configuration with a good route and another one.
inline std::string
config (const std::string &route)
{
  return R"({"version":3,"routes":[)" + good_route + "," + route
         + R"(],"limits":{}})";
}

#endif
