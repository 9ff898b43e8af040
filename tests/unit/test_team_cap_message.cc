#include <gtest/gtest.h>
#include <algorithm>
#include <vector>

extern "C"
{
#include "eelgrasslatch/cap_message.h"
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/team_cap.h"
}

TEST (TeamCapView, WitnessesAndCandidatesFollowFromTheList)
{
  struct eel_cap_view a = {};
  struct eel_cap_view b = {};
  uint32_t from_a[EEL_CAP_CANDIDATES_MAX];
  uint32_t from_b[EEL_CAP_CANDIDATES_MAX];
  std::vector<uint32_t> nodes;

  for (uint32_t i = 1; i <= 300; i++)
    nodes.push_back (i);
  eel_cap_view_set (&a, nodes.data (), 300, nullptr, 0);
  std::reverse (nodes.begin (), nodes.end ());
  nodes.insert (nodes.end (), { 5, 5, 7 });
  eel_cap_view_set (&b, nodes.data (), 303, nullptr, 0);
  EXPECT_EQ (b.count, 300u);
  EXPECT_EQ (a.group_count, 2u);
  EXPECT_EQ (a.witness_count, (uint32_t)EEL_CAP_WITNESSES_MAX);
  EXPECT_EQ (eel_cap_view_candidates (&a, 0, 1, from_a),
             eel_cap_view_candidates (&b, 0, 1, from_b));
  EXPECT_EQ (from_a[0], from_b[0]);
  EXPECT_EQ (eel_cap_group_count (256), 1u);
  EXPECT_EQ (eel_cap_group_count (2100), 16u);
  EXPECT_EQ (eel_cap_group_count (100000), 16u);
  eel_cap_view_set (&a, nullptr, 0, nullptr, 0);
  EXPECT_EQ (eel_cap_view_candidates (&a, 0, 1, from_a), 1u);
  EXPECT_EQ (from_a[0], 1u);
}

TEST (TeamCapMessage, ComesBackAsItWasSent)
{
  struct eel_cap_ask_message ask = {};
  struct eel_cap_ask_message ask_back = {};
  struct eel_cap_grant_message grants = {};
  struct eel_cap_grant_message grants_back = {};
  uint8_t bytes[EEL_CAP_MESSAGE_BYTES_MAX];
  struct eel_rng rng;
  size_t length;

  eel_rng_init (&rng, 3);
  for (int i = 0; i < 1000; i++)
    {
      ask.seq = eel_rng_below (&rng, 65536);
      ask.nodes = eel_rng_below (&rng, 4097);
      ask.group_count = 1u << eel_rng_below (&rng, 5);
      ask.group = eel_rng_below (&rng, ask.group_count);
      ask.active = (uint8_t)eel_rng_below (&rng, 2);
      ask.count = eel_rng_below (&rng, EEL_CAP_ENTRIES_MAX + 1);
      grants.seq = ask.seq;
      grants.group = ask.group;
      grants.ready = ask.active;
      grants.count = ask.count;
      for (uint32_t j = 0; j < ask.count; j++)
        {
          ask.asks[j].team = eel_rng_next (&rng);
          ask.asks[j].tokens = eel_rng_below (&rng, EEL_CAP_TOKENS_MAX + 1);
          grants.grants[j].tokens = ask.asks[j].tokens;
          grants.grants[j].wait_us
              = eel_rng_below (&rng, 10000) * EEL_US_PER_MS;
        }
      length = eel_cap_ask_encode (&ask, bytes);
      ASSERT_LE (length, sizeof bytes);
      ASSERT_TRUE (eel_cap_ask_decode (bytes, length, &ask_back));
      EXPECT_EQ (ask_back.seq, ask.seq);
      EXPECT_EQ (ask_back.nodes, ask.nodes);
      EXPECT_EQ (ask_back.group, ask.group);
      EXPECT_EQ (ask_back.group_count, ask.group_count);
      EXPECT_EQ (ask_back.active, ask.active);
      ASSERT_EQ (ask_back.count, ask.count);
      EXPECT_FALSE (eel_cap_grant_decode (bytes, length, &grants_back));
      length = eel_cap_grant_encode (&grants, bytes);
      ASSERT_LE (length, sizeof bytes);
      ASSERT_TRUE (eel_cap_grant_decode (bytes, length, &grants_back));
      EXPECT_EQ (grants_back.ready, grants.ready);
      for (uint32_t j = 0; j < ask.count; j++)
        {
          EXPECT_EQ (ask_back.asks[j].team, ask.asks[j].team);
          EXPECT_EQ (ask_back.asks[j].tokens, ask.asks[j].tokens);
          EXPECT_EQ (grants_back.grants[j].tokens, grants.grants[j].tokens);
          EXPECT_EQ (grants_back.grants[j].wait_us, grants.grants[j].wait_us);
        }
    }
}

TEST (TeamCapMessage, InvalidOnesAreRefused)
{
  struct eel_cap_ask_message ask;
  struct eel_cap_grant_message grants;
  const std::vector<uint8_t> valid
      = { 0x11, 1, 0, 1, 0, 9, 0, 1, 0, 0, 0, 0, 0, 0, 0, 7, 3 };
  const struct
  {
    size_t at;
    uint8_t value;
  } changes[] = {
    { 0, 0x21 }, { 0, 0x13 }, { 0, 0 },   { 1, 0xf1 },  { 6, 1 },
    { 7, 0 },    { 7, 2 },    { 7, 255 }, { 16, 0x80 },
  };

  ASSERT_TRUE (eel_cap_ask_decode (valid.data (), valid.size (), &ask));
  for (const auto &change : changes)
    {
      std::vector<uint8_t> bytes = valid;

      bytes[change.at] = change.value;
      EXPECT_FALSE (eel_cap_ask_decode (bytes.data (), bytes.size (), &ask))
          << change.at;
    }
  for (size_t length = 0; length < valid.size (); length++)
    {
      EXPECT_FALSE (eel_cap_ask_decode (valid.data (), length, &ask));
      EXPECT_FALSE (eel_cap_grant_decode (valid.data (), length, &grants));
    }
}
