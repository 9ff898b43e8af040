#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <set>
#include <vector>

extern "C"
{
#include "eelgrasslatch/read_source.h"
#include "eelgrasslatch/types.h"
}

// The nodes of one failure domain, each with its own choice of source.
struct read_domain
{
  struct node
  {
    struct eel_read_source source;
    std::vector<struct eel_read_peer> peers;
  };

  std::vector<node> nodes;

  explicit read_domain (uint32_t count) : nodes (count)
  {
    std::vector<uint32_t> ips;

    for (uint32_t i = 0; i < count; i++)
      ips.push_back (ip (i));
    for (uint32_t i = 0; i < count; i++)
      {
        nodes[i].peers.resize (count);
        eel_read_source_init (&nodes[i].source, ip (i), nodes[i].peers.data (),
                              count);
        eel_read_source_set_members (&nodes[i].source, ips.data (), count, 1);
      }
  }

  static uint32_t
  ip (uint32_t index)
  {
    return htonl (0x0a010002 + index);
  }

  // Address of the source that a node reads next; 0: the registry.
  uint32_t
  source_of (uint32_t index, int64_t now_us = 0)
  {
    struct eel_read_choice choice
        = eel_read_source_next (&nodes[index].source, 0, now_us);

    return choice.peer == nullptr ? 0 : choice.peer->ip;
  }

  // Nodes that read the registry.
  std::vector<uint32_t>
  readers ()
  {
    std::vector<uint32_t> found;

    for (uint32_t i = 0; i < nodes.size (); i++)
      if (source_of (i) == 0)
        found.push_back (i);
    return found;
  }
};

// Guards against calls to the registry that grow with the fleet.
TEST (ReadSource, OneNodeOfADomainReadsTheRegistry)
{
  for (uint32_t count : { 1u, 2u, 3u, 19u, 60u, 302u })
    EXPECT_EQ (read_domain (count).readers ().size (), 1u) << count;
}

// Guards against a node that tells all others, and against long ways.
TEST (ReadSource, NodesReadOverATreeOfBoundedFanoutAndDepth)
{
  read_domain domain (302);
  std::vector<uint32_t> children (302);

  for (uint32_t i = 0; i < 302; i++)
    {
      uint32_t at = i;
      uint32_t hops = 0;

      for (uint32_t ip = domain.source_of (at); ip != 0;
           ip = domain.source_of (at))
        {
          at = ntohl (ip) - 0x0a010002;
          children[at] += hops == 0;
          ASSERT_LE (++hops, 3u)
              << "node " << i << " is in a circle or too far";
        }
    }
  for (uint32_t i = 0; i < 302; i++)
    EXPECT_LE (children[i], (uint32_t)EEL_READ_SOURCE_FANOUT) << i;
}

// Guards against a domain without news after its reader is gone.
TEST (ReadSource, TheNextOneReadsWhenTheReaderFails)
{
  read_domain domain (19);
  uint32_t reader = domain.readers ()[0];
  std::set<uint32_t> next;

  for (uint32_t i = 0; i < 19; i++)
    if (i != reader)
      {
        while (domain.source_of (i) == read_domain::ip (reader))
          eel_read_source_failed (&domain.nodes[i].source,
                                  read_domain::ip (reader),
                                  EEL_READ_UNREACHABLE, 0, 0.5);
        next.insert (domain.source_of (i));
      }
  // The next three read the registry once, the others from the second node.
  std::vector<uint32_t> readers = domain.readers ();
  EXPECT_EQ (readers.size (), 4u);
  EXPECT_EQ (next.size (), 2u);
  // Then only the second node goes on reading it.
  for (uint32_t i : readers)
    if (i != reader)
      eel_read_source_succeeded (&domain.nodes[i].source, 0);
  EXPECT_EQ (domain.readers ().size (), 2u);
}

// Guards against a node that waits for one lost peer after the other while its
// news grow old, and against one that hammers a registry that it can't reach.
TEST (ReadSource, StaleNewsComeFromTheRegistryItself)
{
  read_domain domain (19);
  uint32_t reader = domain.readers ()[0];
  struct eel_read_source *source = &domain.nodes[reader == 0 ? 1 : 0].source;

  EXPECT_NE (eel_read_source_next (source, 0, 0).peer, nullptr);
  EXPECT_EQ (eel_read_source_next (source, 1, 0).peer, nullptr);
  eel_read_source_failed (source, 0, EEL_READ_UNREACHABLE, 0, 0.5);
  EXPECT_NE (eel_read_source_next (source, 1, 0).peer, nullptr);
}

// Guards against nodes that keep away from the reader after it is back.
TEST (ReadSource, NodesReturnToTheReader)
{
  read_domain domain (4);
  uint32_t reader = domain.readers ()[0];
  uint32_t other = reader == 0 ? 1 : 0;
  struct eel_read_source *source = &domain.nodes[other].source;
  uint32_t ip = read_domain::ip (reader);

  while (domain.source_of (other) == ip)
    eel_read_source_failed (source, ip, EEL_READ_NO_NEWS, 0, 0.5);
  EXPECT_EQ (domain.source_of (other, 2 * EEL_US_PER_S), ip);
  eel_read_source_succeeded (source, ip);
  EXPECT_EQ (domain.source_of (other), ip);
}

// Guards against a burst of calls to a registry that is down.
TEST (ReadSource, FailedReadsOfTheRegistryBackOff)
{
  const struct
  {
    const char *name;
    uint32_t members;
    int64_t first_us;
    int64_t max_us;
  } cases[] = {
    { "alone in the domain", 1, 50 * EEL_US_PER_MS, 1 * EEL_US_PER_S },
    // The others learn from the first ones; there are many of them.
    { "late in the order", 30, 2 * EEL_US_PER_S, 4 * EEL_US_PER_S },
  };

  for (const auto &each : cases)
    {
      read_domain domain (each.members);
      struct eel_read_source *source = nullptr;
      struct eel_read_choice choice = {};

      for (auto &node : domain.nodes)
        if (source == nullptr || node.source.own_index > source->own_index)
          source = &node.source;
      for (uint32_t i = 0; i < 12; i++)
        {
          eel_read_source_failed (source, 0, EEL_READ_UNREACHABLE, 0, 0.999);
          // Peers can't tell anything for longer than the registry backs off.
          for (uint32_t peer = 0; peer < source->count; peer++)
            source->peers[peer].avoid_until_us = 60 * EEL_US_PER_S;
          choice = eel_read_source_next (source, 0, 0);
          EXPECT_EQ (choice.peer, nullptr) << each.name;
          EXPECT_LE (choice.wait_us, each.max_us) << each.name;
          EXPECT_GE (choice.wait_us, each.first_us) << each.name;
        }
      EXPECT_GE (choice.wait_us, each.max_us / 2) << each.name;
      eel_read_source_succeeded (source, 0);
      EXPECT_EQ (eel_read_source_next (source, 0, 0).wait_us, 0) << each.name;
    }
}

// Guards against a starting node that all others should read from.
TEST (ReadSource, ANodeThatIsNotListedReadsFromOthers)
{
  read_domain domain (5);
  uint32_t reader = domain.readers ()[0];
  std::vector<uint32_t> ips;

  for (uint32_t i = 0; i < 5; i++)
    ips.push_back (read_domain::ip (i));
  eel_read_source_set_members (&domain.nodes[reader].source, ips.data (), 5, 0);
  EXPECT_NE (domain.source_of (reader), 0u);
}

// Guards against what is known about a peer being lost with each change.
TEST (ReadSource, FailuresOutliveAChangeOfMembers)
{
  read_domain domain (4);
  uint32_t reader = domain.readers ()[0];
  uint32_t other = reader == 0 ? 1 : 0;
  struct eel_read_source *source = &domain.nodes[other].source;
  uint32_t all[]
      = { read_domain::ip (0), read_domain::ip (1), read_domain::ip (2),
          read_domain::ip (3), read_domain::ip (2) };

  eel_read_source_failed (source, read_domain::ip (reader),
                          EEL_READ_UNREACHABLE, 0, 0.5);
  eel_read_source_set_members (source, all, 5, 1);
  EXPECT_EQ (source->count, 3u) << "a member is listed twice";
  EXPECT_NE (domain.source_of (other), read_domain::ip (reader));
}
