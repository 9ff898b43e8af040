#include "adapter_fixture.h"
#include "relay_cluster.h"

// A reader and the store on one loop; the store's answers are scripted.
struct item_reader_test : public adapter_test
{
  struct platform_feed feed = {};
  struct item_reader &reader = feed.reader;
  struct event_base *base = event_base_new ();
  raw_upstream store;
  // When the calls came, in order.
  std::vector<int64_t> calls_us;

  item_reader_test ()
  {
    platform.base = base;
    platform.feed = &feed;
    feed.platform = &platform;
    eel_registry_view_init (&feed.view, &platform.relay.directory);
    store.open (base, "127.0.0.1");
    platform.settings.store = store.address;
    item_reader_init (&reader, &platform);
    reader.after_revision = 9;
  }

  ~item_reader_test () override
  {
    if (reader.connection != nullptr)
      evhttp_connection_free (reader.connection);
    event_free (reader.call_timer);
    item_filter_finish (&reader.filter);
    store.close_all ();
    evconnlistener_free (store.listener);
    store.listener = nullptr;
    event_base_free (base);
  }

  static void
  answer (raw_conn &conn, const std::string &body)
  {
    if (!conn.closed)
      raw_upstream::write (conn, "HTTP/1.1 200 OK\r\nContent-Length: "
                                     + std::to_string (body.size ())
                                     + "\r\n\r\n" + body);
  }

  void
  run_until_calls (size_t count)
  {
    int64_t end_us = eel_clock_us () + 8 * EEL_US_PER_S;

    while (calls_us.size () < count && eel_clock_us () < end_us)
      event_base_loop (base, EVLOOP_ONCE);
    ASSERT_GE (calls_us.size (), count);
  }

  void
  run_ms (int64_t ms)
  {
    int64_t end_us = eel_clock_us () + ms * EEL_US_PER_MS;

    while (eel_clock_us () < end_us)
      {
        event_base_loop (base, EVLOOP_NONBLOCK);
        usleep (500);
      }
  }
};

static const char *const nothing_new = R"({"events":[],"currentRev":9})";

// Guards against a copy of an earlier answer that is taken for the one to a
// later call: an empty answer doesn't say which call it belongs to.
struct copied_answer_test : public item_reader_test,
                            public ::testing::WithParamInterface<int64_t>
{
};

TEST_P (copied_answer_test, ProvesNothing)
{
  raw_conn *first = nullptr;

  platform.relay.config.teams_max_age_us = 4500 * EEL_US_PER_MS;
  store.answer = [&] (raw_upstream &, raw_conn &conn, const std::string &) {
    calls_us.push_back (eel_clock_us ());
    if (calls_us.size () > 1)
      return;
    first = &conn;
    answer (conn, nothing_new);
  };
  item_reader_request (&reader);
  run_until_calls (2);
  EXPECT_GT (feed.view.known_us, 0);
  run_ms (GetParam ());
  answer (*first, nothing_new);
  run_ms (50);
  EXPECT_LT (feed.view.known_us, calls_us[1]);
}

// At once, and after the hold of the later call.
INSTANTIATE_TEST_SUITE_P (LateMs,
                          copied_answer_test,
                          ::testing::Values (0, 705));

// Guards against an answer of the store that ends the process, or that counts
// as news though it is none.
TEST_F (item_reader_test, MalformedAnswersAreAskedForAgain)
{
  const std::string rest
      = "\r\nContent-Length: " + std::to_string (strlen (nothing_new))
        + "\r\n\r\n" + nothing_new;
  const std::string malformed[] = {
    "HTTP/1.1 000 No" + rest,
    "HTTP/1.1" + rest,
    "HTTP/2.0 200 OK" + rest,
    "HTTP/1.1 200 OK\r\nno colon" + rest,
    std::string ("HTTP/1.1 200 OK\r\nX\0: 1", 23) + rest,
    "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
    "HTTP/1.1 200 OK\r\n" + std::string (70000, 'a') + rest,
    "{\"events\":[]}\r\n\r\n",
  };
  const size_t count = sizeof malformed / sizeof *malformed;

  store.answer = [&] (raw_upstream &, raw_conn &conn, const std::string &) {
    size_t call = calls_us.size ();

    EXPECT_EQ (feed.view.known_us, 0) << call;
    calls_us.push_back (eel_clock_us ());
    if (call < count)
      raw_upstream::end (conn, false, malformed[call]);
    else
      answer (conn, nothing_new);
  };
  item_reader_request (&reader);
  run_until_calls (count + 1);
  run_ms (50);
  EXPECT_GT (feed.view.known_us, 0);
  EXPECT_EQ (reader.after_revision, 9u);
}
