#include "relay_cluster.h"

#include <gtest/gtest.h>

extern "C"
{
#include "relay/reach.h"
}

struct reach_result
{
  int answers = 0;
  int accepts = -1;
};

// Guards against an endpoint that counts as crashed because the node beside it
// was paused.
TEST (RelayStall, EndpointThatAcceptsInAPauseIsReached)
{
  struct event_base *base = event_base_new ();
  struct reach_result result;
  struct eel_reach reach;
  raw_upstream upstream;

  upstream.open (base, "127.0.0.1");
  eel_reach_init (
      &reach, base, &upstream.address,
      [] (void *owner, int accepts) {
        auto *found = static_cast<struct reach_result *> (owner);

        found->answers++;
        found->accepts = accepts;
      },
      &result);
  eel_reach_want (&reach);
  usleep (460000);
  for (int i = 0; i < 1000 && result.answers == 0; i++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (200);
    }
  EXPECT_EQ (result.answers, 1);
  EXPECT_EQ (result.accepts, 1);
  // What refuses is told apart as soon.
  upstream.close_all ();
  evconnlistener_free (upstream.listener);
  upstream.listener = nullptr;
  eel_reach_want (&reach);
  usleep (460000);
  for (int i = 0; i < 1000 && result.answers == 1; i++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (200);
    }
  EXPECT_EQ (result.answers, 2);
  EXPECT_EQ (result.accepts, 0);
  eel_reach_finish (&reach);
  event_base_free (base);
}
