#include "relay_cluster.h"

#include <gtest/gtest.h>

extern "C"
{
#include "relay/link.h"
#include "relay/reach.h"
}

static bool
is_connecting (const struct eel_relay &relay)
{
  GHashTableIter pools;
  gpointer pool;

  g_hash_table_iter_init (&pools, relay.peer_pools);
  while (g_hash_table_iter_next (&pools, nullptr, &pool))
    {
      const struct eel_link *link
          = static_cast<struct eel_pool *> (pool)->active;

      if (link != nullptr && !link->connected)
        return true;
    }
  return false;
}

// Guards against a process that was paused while it connected and takes its own
// pause for a node that can't be reached: the connection stands by then.
TEST (RelayStall, ConnectionThatStoodInAPauseIsUsed)
{
  relay_cluster cluster (2);
  size_t pauses = 0;
  auto caller = cluster.connect ();

  cluster.list_upstream (1);
  cluster.set_routes ();
  raw_upstream::write (*caller, request_text ("POST", "/once/x", "r1"));
  // One round of the loop at a time, so that the connect is seen under way.
  for (int64_t end_us = eel_clock_us () + 5 * EEL_US_PER_S;
       caller->in.empty () && eel_clock_us () < end_us; usleep (200))
    {
      event_base_loop (cluster.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
      if (pauses == 0 && is_connecting (cluster.nodes[0]->relay))
        {
          pauses++;
          usleep (460000);
        }
    }
  EXPECT_EQ (pauses, 1u);
  EXPECT_EQ (status_of (caller->in), "200");
  EXPECT_EQ (cluster.nodes[1]->upstream.requests.size (), 1u);
  bufferevent_free (caller->bev);
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
