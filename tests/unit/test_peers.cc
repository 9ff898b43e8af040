#include <atomic>
#include <csignal>
#include <cstring>
#include <event2/event.h>
#include <functional>
#include <gtest/gtest.h>
#include <pthread.h>
#include <thread>

extern "C"
{
#include "internal/tasks.h"
#include "internal/wire.h"
}

namespace
{

void
ignore_signal (int)
{
}

// Interrupts the calls of the thread that creates it.
class SignalStorm
{
public:
  SignalStorm ()
  {
    struct sigaction action = {};
    pthread_t target = pthread_self ();

    action.sa_handler = ignore_signal;
    action.sa_flags = SA_RESTART;
    sigaction (SIGUSR1, &action, &before);
    sender = std::thread ([this, target] {
      while (!stopped)
        {
          pthread_kill (target, SIGUSR1);
          std::this_thread::sleep_for (std::chrono::microseconds (5));
        }
    });
  }
  ~SignalStorm ()
  {
    stopped = true;
    sender.join ();
    sigaction (SIGUSR1, &before, nullptr);
  }

private:
  std::atomic<bool> stopped{ false };
  struct sigaction before;
  std::thread sender;
};

// A peers task whose node task is a fake.
struct PeerNode
{
  struct eel_settings settings = {};
  struct eel_metrics metrics;
  struct eel_mailbox node = {};
  struct eel_peers *peers = nullptr;
  size_t received = 0;
  size_t unsent = 0;

  PeerNode (struct event_base *base, uint32_t id)
  {
    settings.node = id;
    strcpy (settings.peer.host, "127.0.0.1");
    strcpy (settings.curve.public_key,
            "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7");
    strcpy (settings.curve.secret_key,
            "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6");
    eel_metrics_init (&metrics);
    eel_mailbox_init (&node, base, 4096, handle, this);
    peers = eel_peers_new (base, &settings, 100 + id, &metrics);
    if (peers != nullptr)
      eel_peers_connect (peers, &node);
  }
  ~PeerNode ()
  {
    eel_peers_free (peers);
    eel_mailbox_finish (&node);
    eel_metrics_finish (&metrics);
  }
  void
  send (uint32_t to)
  {
    struct eel_msg msg = {};

    msg.kind = EEL_MSG_PEER_SEND;
    msg.value = to;
    msg.wire = eel_wire_new (EEL_WIRE_CANCEL);
    msg.wire->version = EEL_WIRE_VERSION;
    msg.wire->call_id = 1;
    eel_mailbox_post (eel_peers_inbox (peers), &msg);
  }
  void
  connect (const PeerNode &other)
  {
    struct eel_msg msg = {};

    msg.kind = EEL_MSG_PEER_CONNECT;
    msg.value = other.settings.node;
    snprintf (msg.text, sizeof msg.text, "127.0.0.1:%u",
              eel_peers_port (other.peers));
    eel_mailbox_post (eel_peers_inbox (peers), &msg);
  }

private:
  static void
  handle (void *task, struct eel_msg *msg)
  {
    PeerNode *self = static_cast<PeerNode *> (task);

    self->received += msg->kind == EEL_MSG_PEER_RECEIVED;
    self->unsent += msg->kind == EEL_MSG_PEER_UNSENT;
  }
};

bool
run_until (struct event_base *base, const std::function<bool ()> &until)
{
  int64_t end_us = eel_clock_us () + 5 * EEL_US_PER_S;

  while (!until () && eel_clock_us () < end_us)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      std::this_thread::yield ();
    }
  return until ();
}

} // namespace

// Guards against messages lost when a signal interrupts a call of ZeroMQ.
TEST (peers, signals_lose_no_message)
{
  struct event_base *base = event_base_new ();

  {
    PeerNode one (base, 1), two (base, 2);
    const size_t count = 20000;

    ASSERT_NE (one.peers, nullptr);
    ASSERT_NE (two.peers, nullptr);
    one.connect (two);
    // Node 2 answers through its ROUTER socket once node 1 has reached it.
    ASSERT_TRUE (run_until (base, [&] {
      if (two.received == 0)
        one.send (2);
      return two.received > 0;
    }));
    for (int i = 0; i < 100; i++)
      run_until (base, [&, start = eel_clock_us ()] {
        return eel_clock_us () > start + EEL_US_PER_MS;
      });
    one.unsent = 0;
    two.received = 0;
    {
      SignalStorm storm;

      for (size_t sent = 0; sent < count && !HasFailure (); sent += 50)
        {
          for (int i = 0; i < 50; i++)
            {
              one.send (2);
              two.send (1);
            }
          EXPECT_TRUE (run_until (base, [&] {
            return two.received >= sent + 50 && one.received >= sent + 50;
          }));
        }
    }
    EXPECT_EQ (one.unsent, 0u);
    EXPECT_EQ (two.unsent, 0u);
    EXPECT_EQ (two.received, count);
    EXPECT_EQ (one.received, count);
  }
  event_base_free (base);
}
