#include <gtest/gtest.h>

#include "adapter_fixture.h"

struct filter_test : public ::testing::Test
{
  struct item_filter filter;

  filter_test ()
  {
    item_filter_init (&filter);
  }

  ~filter_test ()
  {
    item_filter_finish (&filter);
  }

  // What is left of an answer that comes in pieces of that size.
  std::string
  reduced (const std::string &text, size_t piece)
  {
    item_filter_reset (&filter);
    for (size_t at = 0; at < text.size (); at += piece)
      item_filter_feed (&filter, text.data () + at,
                        std::min (piece, text.size () - at));
    return std::string (filter.out->str, filter.out->len);
  }
};

static std::string
item (const std::string &key, int revision, const std::string &value)
{
  gchar *encoded = g_base64_encode (
      reinterpret_cast<const guchar *> (value.data ()), value.size ());
  std::string text = R"({"key":")" + key + R"(","revision":)"
                     + std::to_string (revision) + R"(,"value":")" + encoded
                     + "\"}";

  g_free (encoded);
  return text;
}

static std::string
answer (const std::vector<std::string> &items)
{
  std::string text = R"({"currentRev":900,"events":[)";

  for (size_t i = 0; i < items.size (); i++)
    text += (i == 0 ? "" : ",") + items[i];
  return text + R"(],"truncated":false})";
}

static const std::string small_entry
    = R"({"service":"s","address":"10.0.0.1:80","zone":"z1","slots":4,)"
      R"("state":"ready","born":7,"coldRemainingMs":0)";

// Guards against ordinary answers that are changed on the way.
TEST_F (filter_test, OrdinaryAnswersPassUnchanged)
{
  const std::string texts[] = {
    answer ({}),
    answer ({ item ("servers/a", 1, small_entry + "}") }),
    answer ({ item ("servers/a", 1, "x"), item ("op/config", 2, "{}"),
              R"({"key":"servers/b","revision":3,"tombstone":true})" }),
    answer ({ R"({"key":"a\"],[{}\\","revision":3,"value":"[\"]}"})" }),
    answer ({ R"([[1,2],{"x":[]}])", "7", "null", "\"]\"" }),
    R"({"a":{"b":[1,2,{"c":[]}]},"events":[{"x":[[]]}],"d":"[\\"})",
    "[1,2]",
    "",
    "no JSON",
    answer ({ item ("servers/a", 1, "x") }).substr (0, 50),
  };

  for (const auto &text : texts)
    for (size_t piece : { 1, 2, 3, 7, 1000 })
      {
        std::string out = reduced (text, piece);

        // An element is held until it is complete.
        if (!out.empty () && out.back () == '}')
          EXPECT_EQ (out, text);
        else
          EXPECT_EQ (out, text.substr (0, out.size ()));
      }
}

// Guards against an answer that can't be used because of what other writers
// store (review/2): as many values as they like, of the greatest size.
TEST_F (filter_test, LargeValuesOfOthersKeepNothingElseBack)
{
  const std::string large (1024 * 1024, 'x');
  std::vector<std::string> items
      = { item ("servers/first", 1, small_entry + "}") };
  std::string out;

  for (int i = 0; i < 30; i++)
    items.push_back (item ("servers/odd" + std::to_string (i), i + 2, large));
  items.push_back (item ("foreign/key", 50, large));
  items.push_back (item ("servers/last", 60, small_entry + "}"));
  out = reduced (answer (items), 4096);
  EXPECT_LT (out.size (), 10000u);
  EXPECT_FALSE (filter.overflow);
  EXPECT_NE (out.find (items.front ()), std::string::npos);
  EXPECT_NE (out.find (items.back ()), std::string::npos);
  EXPECT_NE (out.find (R"("key":"servers/odd29","revision":31,"value":"")"),
             std::string::npos);
}

// Guards against an endpoint that is not used because its entry has more fields
// than this version knows.
TEST_F (filter_test, LargeEntriesKeepTheFieldsThatCount)
{
  const std::string entry
      = small_entry + R"(,"more":")" + std::string (500000, 'x') + "\"}";
  std::string out = reduced (answer ({ item ("servers/a", 5, entry) }), 5000);
  size_t at = out.find (R"("value":")") + 9;
  gsize bytes = 0;
  guchar *data = g_base64_decode (
      out.substr (at, out.find ('"', at) - at).c_str (), &bytes);

  EXPECT_EQ (std::string (reinterpret_cast<char *> (data), bytes),
             small_entry + "}");
  g_free (data);
}

// Guards against a long series of large configurations that fills the memory,
// and against one that is older than another of the same answer.
TEST_F (filter_test, OnlyTheNewestLargeConfigurationIsKept)
{
  const std::string filler = R"(,"x":")" + std::string (700000, 'x') + "\"}";
  std::vector<std::string> items;
  std::string out;

  for (int revision : { 3, 20, 9 })
    items.push_back (item ("op/config", revision,
                           R"({"version":)" + std::to_string (revision)
                               + R"(,"routes":[])" + filler));
  items.push_back (item ("servers/a", 30, small_entry + "}"));
  out = reduced (answer (items), 1000);
  EXPECT_EQ (out, answer ({ items[3], items[1] }));
}

// Guards against an element without end.
TEST_F (filter_test, ElementsWithoutEndAreDropped)
{
  std::string text = R"({"events":[{"key":")" + std::string (9000000, 'k');
  std::string out = reduced (text, 65536);

  EXPECT_EQ (out, R"({"events":[)");
  EXPECT_LT (filter.element->len, 4000000u);
}

// Guards against more that is left than a node takes at once.
TEST_F (filter_test, TooManyItemsAreReported)
{
  std::vector<std::string> items;

  for (int i = 0; i < 1000; i++)
    items.push_back (
        item ("servers/" + std::to_string (i), i + 1, std::string (5000, 'x')));
  reduced (answer (items), 65536);
  EXPECT_TRUE (filter.overflow);
  EXPECT_LT (filter.out->len, 5000000u);
}

// Guards against large values of others that stay in memory.
TEST_F (adapter_test, ValuesOfOthersAreNotKept)
{
  std::vector<struct eel_published_item> items (16);
  std::vector<struct eel_instance> instances (16);
  JsonParser *parser = json_parser_new ();
  const std::string text
      = answer ({ item ("servers/a", 5, small_entry + "}"),
                  item ("servers/a", 6, std::string (5000, 'x')),
                  item ("servers/b", 7, small_entry + "}"),
                  item ("foreign/c", 8, std::string (5000, 'x')) });
  size_t kept = 0;

  eel_published_init (&platform.published, items.data (), 16);
  eel_directory_init (&platform.relay.directory, instances.data (), 16);
  eel_gate_init (&platform.relay.gate, 1);
  ASSERT_TRUE (json_parser_load_from_data (parser, text.data (), -1, nullptr));
  items_apply (
      &platform,
      json_object_get_array_member (
          json_node_get_object (json_parser_get_root (parser)), "events"));
  for (uint32_t i = 0; i < platform.published.count; i++)
    kept += items[i].bytes;
  EXPECT_LT (kept, 200u);
  EXPECT_EQ (platform.published.count, 2u);
  EXPECT_EQ (platform.published.newest, 8u);
  EXPECT_FALSE (eel_instance_usable (
      eel_directory_find (&platform.relay.directory, "a")));
  EXPECT_TRUE (eel_instance_usable (
      eel_directory_find (&platform.relay.directory, "b")));
  g_object_unref (parser);
  eel_published_finish (&platform.published);
}
