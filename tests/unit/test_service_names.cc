#include <gtest/gtest.h>
#include <set>
#include <string>

#include "relay_cluster.h"

extern "C"
{
#include "relay/conn.h"
#include "relay/entry.h"
}

struct service_names_test : public ::testing::Test
{
  struct eel_service_names names;
  std::set<uint32_t> freed;

  service_names_test ()
  {
    eel_service_names_init (&names);
  }

  ~service_names_test ()
  {
    eel_service_names_finish (&names);
  }

  uint32_t
  intern (int i)
  {
    return eel_service_names_intern (&names, std::to_string (i).c_str ());
  }

  void
  collect (const std::set<uint32_t> &used)
  {
    eel_service_names_begin_collection (&names);
    for (uint32_t number : used)
      eel_service_names_mark (&names, number);
    eel_service_names_end_collection (
        &names,
        [] (void *data, uint32_t number) {
          static_cast<service_names_test *> (data)->freed.insert (number);
        },
        this);
  }
};

// Guards against two names with one number, and a name with two.
TEST_F (service_names_test, EachNameHasOneNumber)
{
  std::set<uint32_t> numbers;

  EXPECT_EQ (eel_service_names_find (&names, "0"), EEL_NO_SERVICE);
  for (int i = 0; i < 20000; i++)
    numbers.insert (intern (i));
  EXPECT_EQ (numbers.size (), 20000u);
  for (int i = 0; i < 20000; i++)
    {
      uint32_t number
          = eel_service_names_find (&names, std::to_string (i).c_str ());

      EXPECT_EQ (intern (i), number);
      EXPECT_EQ (eel_service_name (&names, number), std::to_string (i));
    }
  EXPECT_EQ (names.count, 20000u);
  EXPECT_STREQ (eel_service_name (&names, EEL_NO_SERVICE), "-");
}

// Guards against a number that changes while it is in use, and against numbers
// that are never given back.
TEST_F (service_names_test, CollectionKeepsWhatIsMarked)
{
  std::set<uint32_t> used;

  for (int i = 0; i < 1000; i++)
    if (intern (i) % 10 == 3)
      used.insert (intern (i));
  collect (used);
  EXPECT_EQ (names.count, 100u);
  EXPECT_EQ (freed.size (), 900u);
  for (int i = 0; i < 1000; i++)
    {
      uint32_t number
          = eel_service_names_find (&names, std::to_string (i).c_str ());

      EXPECT_TRUE (number == EEL_NO_SERVICE || used.count (number) == 1) << i;
    }
  for (int i = 2000; i < 2900; i++)
    EXPECT_EQ (used.count (intern (i)), 0u);
  EXPECT_LE (names.end, 1000u);
  collect ({});
  EXPECT_EQ (names.count, 0u);
  EXPECT_EQ (names.end, 0u);
}

// Guards against memory that grows with each new name over the life of a
// process, and against a request whose service's number goes to another name
// while it waits for an endpoint.
TEST (ServiceNames, NodeKeepsTheNamesInUse)
{
  relay_cluster cluster{ 1 };
  struct eel_relay &relay = cluster.nodes[0]->relay;
  raw_conn *waiting = nullptr;
  std::string request;
  struct eel_entry *entry;

  cluster.list_upstream (0);
  cluster.set_routes ();
  cluster.nodes[0]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &text) {
          waiting = &conn;
          request = text;
        };
  auto conn = cluster.connect ();
  raw_upstream::write (*conn, request_text ("GET", "/safe/x", "r1"));
  ASSERT_TRUE (cluster.run_until ([&] { return waiting != nullptr; }));
  entry = static_cast<struct eel_entry *> (relay.callers.conns->first->state);
  entry->call.service = eel_service_names_intern (&relay.names, "withdrawn");
  for (int round = 0; round < 20; round++)
    {
      for (int i = 0; i < 500; i++)
        eel_service_names_intern (&relay.names,
                                  std::to_string (round * 500 + i).c_str ());
      eel_relay_collect_names (&relay);
      EXPECT_EQ (relay.names.count, 2u);
      EXPECT_STREQ (eel_service_name (&relay.names, entry->call.service),
                    "withdrawn");
    }
  raw_upstream::write (*waiting, answer_text (request, "served"));
  EXPECT_TRUE (cluster.run_until (
      [&] { return conn->in.find ("served") != std::string::npos; }));
  bufferevent_free (conn->bev);
}
