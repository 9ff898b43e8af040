#include "relay_upload.h"

#include <algorithm>

class RelayInterruptedUploadBy : public ::testing::TestWithParam<size_t>
{
};

// Guards against the end of the process by a piece of the body, or its end,
// that comes when the request's connection to the endpoint is gone.
TEST_P (RelayInterruptedUploadBy, RestOfTheBodyIsDroppedAndTheOrderGets502)
{
  const interruption &each = interruptions[GetParam ()];

  on_all_ways ([&] (size_t at, bool chunked) {
    upload_world world (at, chunked);
    std::string answer;

    SCOPED_TRACE (each.name);
    ASSERT_NO_FATAL_FAILURE (world.begin ("/once/upload"));
    ASSERT_NO_FATAL_FAILURE (world.interrupt (each));
    world.send_rest ();
    EXPECT_EQ (world.caller->in, "");
    world.release_check ();
    answer = world.read_answer ();
    EXPECT_EQ (status_of (answer), "502");
    EXPECT_EQ (field_of (answer, "Retry-After"), "");
    EXPECT_EQ (field_of (answer, "Proof"), "");
    world.expect_kept ();
    world.expect_order_answered ();
    world.expect_nothing_left ();
  });
}

// The same when the answer of this node comes before the end of the body.
TEST (RelayInterruptedUpload, RestOfTheBodyThatComesAfterTheAnswerIsRead)
{
  on_all_ways ([&] (size_t at, bool chunked) {
    upload_world world (at, chunked);

    ASSERT_NO_FATAL_FAILURE (world.begin ("/once/upload"));
    ASSERT_NO_FATAL_FAILURE (world.interrupt (interruptions[0]));
    world.send_more ();
    world.release_check ();
    EXPECT_EQ (status_of (world.read_answer ()), "502");
    for (size_t i = 2; i < PIECES; i++)
      raw_upstream::write (*world.caller, piece (chunked));
    world.send_end ();
    world.expect_kept ();
    world.expect_order_answered ();
    world.expect_nothing_left ();
  });
}

// Guards against a second attempt that lacks what came between the two.
TEST_P (RelayInterruptedUploadBy, LookupGoesElsewhereWithItsWholeBody)
{
  const interruption &each = interruptions[GetParam ()];

  on_all_ways ([&] (size_t at, bool chunked) {
    upload_world world (at, chunked);
    std::string body;

    SCOPED_TRACE (each.name);
    ASSERT_NO_FATAL_FAILURE (world.begin ("/safe/upload"));
    ASSERT_NO_FATAL_FAILURE (world.interrupt (each));
    world.send_more ();
    world.send_more ();
    world.cluster.list_upstream (1 - at);
    world.release_check ();
    ASSERT_TRUE (world.cluster.run_until (
        [&] { return world.relay->interrupted_runs->len == 0; }));
    for (size_t i = 3; i < PIECES; i++)
      raw_upstream::write (*world.caller, piece (chunked));
    world.send_end ();
    EXPECT_EQ (body_of (world.read_answer ()), "ok");
    ASSERT_EQ (world.cluster.nodes[1 - at]->upstream.requests.size (), 1u);
    body = body_of (world.cluster.nodes[1 - at]->upstream.requests[0]);
    EXPECT_EQ (std::count (body.begin (), body.end (), 'b'),
               (long)(PIECES * PIECE_BYTES));
    world.expect_kept ();
    world.expect_order_answered ();
    world.expect_nothing_left ();
  });
}

INSTANTIATE_TEST_SUITE_P (Each,
                          RelayInterruptedUploadBy,
                          ::testing::Range (size_t (0),
                                            std::size (interruptions)),
                          [] (const ::testing::TestParamInfo<size_t> &info) {
                            std::string name = interruptions[info.param].name;

                            std::replace (name.begin (), name.end (), ' ', '_');
                            return name;
                          });

// Guards against a request that is forgotten with its connection: the check
// gives no result before the time limit, or before the end of a planned stop.
TEST (RelayInterruptedUpload, EndsWithTheTimeLimitOrTheStop)
{
  for (bool stop : { false, true })
    on_all_ways ([&] (size_t at, bool chunked) {
      upload_world world (at, chunked);
      struct eel_relay &entry = world.cluster.nodes[0]->relay;

      SCOPED_TRACE (stop ? "stop" : "time limit");
      ASSERT_NO_FATAL_FAILURE (
          world.begin ("/once/upload", stop ? "5000" : "1500"));
      ASSERT_NO_FATAL_FAILURE (world.interrupt (interruptions[0]));
      world.send_rest ();
      if (stop)
        eel_relay_end_open (&entry);
      EXPECT_EQ (status_of (world.read_answer ()), "504");
      world.release_check ();
      if (!stop)
        world.expect_order_answered ();
      world.expect_nothing_left ();
    });
}

// Guards against a run that outlives its caller, or is used after it.
TEST (RelayInterruptedUpload, CallerMayLeaveBeforeTheCheckEnds)
{
  on_all_ways ([&] (size_t at, bool chunked) {
    upload_world world (at, chunked);

    ASSERT_NO_FATAL_FAILURE (world.begin ("/once/upload"));
    ASSERT_NO_FATAL_FAILURE (world.interrupt (interruptions[0]));
    world.send_more ();
    world.close_caller ();
    EXPECT_TRUE (world.cluster.run_until (
        [&] { return world.relay->interrupted_runs->len == 0; }, 2000));
    world.release_check ();
    world.expect_order_answered ();
    world.expect_nothing_left ();
  });
}

// Guards against requests behind an interrupted one: queued for its slot, and
// on its connection.
TEST (RelayInterruptedUpload, RequestsBehindItAreServed)
{
  on_all_ways ([&] (size_t at, bool chunked) {
    upload_world world (at, chunked);
    auto waiting = world.cluster.connect ();

    ASSERT_NO_FATAL_FAILURE (world.begin ("/once/upload"));
    eel_gate_set_slots (&world.relay->gate, 2);
    raw_upstream::write (
        *waiting, request_text ("POST", "/once/waits", "w1", "", "body"));
    ASSERT_TRUE (world.cluster.run_until (
        [&] { return world.relay->gate.queued == 1; }, 2000));
    ASSERT_NO_FATAL_FAILURE (world.interrupt (interruptions[0]));
    world.send_rest ();
    raw_upstream::write (*world.caller,
                         request_text ("POST", "/once/next", "n1", "", "body"));
    world.cluster.run_ms (5);
    world.release_check ();
    // With a failed run the endpoint counts as having fewer slots.
    world.expect_order_answered ();
    EXPECT_TRUE (world.cluster.run_until (
        [&] { return body_of (waiting->in) == "ok"; }, 2000));
    EXPECT_TRUE (world.cluster.run_until (
        [&] {
          return world.caller->in.find ("\r\n\r\nok") != std::string::npos;
        },
        2000));
    EXPECT_EQ (status_of (world.caller->in), "502");
    bufferevent_free (waiting->bev);
    world.expect_nothing_left ();
  });
}
