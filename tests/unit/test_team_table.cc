#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <utility>
#include <vector>

extern "C"
{
#include "eelgrasslatch/rng.h"
#include "eelgrasslatch/team_use.h"
}

struct team_table : public ::testing::Test
{
  const uint8_t secret[EEL_TEAM_SECRET_BYTES] = { 1, 2, 3 };
  struct eel_team_table table;

  team_table ()
  {
    eel_team_table_init (&table, 7, secret);
  }

  ~team_table ()
  {
    eel_team_table_finish (&table);
  }

  int32_t
  add (const std::string &name, double rate_per_s = 0, double burst = 0)
  {
    struct eel_team team = {};

    team.name = const_cast<char *> (name.c_str ());
    team.rate_per_s = rate_per_s;
    team.burst = burst;
    return eel_team_table_add (&table, &team);
  }

  int
  add_key (uint32_t team, const std::string &key)
  {
    return eel_team_table_add_key (&table, team, key.data (), key.size ());
  }

  std::string
  holder (const std::string &key)
  {
    const struct eel_team *team
        = eel_team_table_find_key (&table, key.data (), key.size ());

    return team == nullptr ? "-" : team->name;
  }
};

TEST_F (team_table, EmptyTableKnowsNoKey)
{
  eel_team_table_seal (&table);
  EXPECT_EQ (holder ("k"), "-");
  EXPECT_EQ (holder (""), "-");
  EXPECT_EQ (eel_team_table_find (&table, eel_team_id ("a")), nullptr);
}

// Guards against a key that serves another team than its own, also in a table
// that has grown several times.
TEST_F (team_table, EachKeyServesTheTeamThatHoldsIt)
{
  const int teams = 1000;
  const int keys = 10;

  for (int i = 0; i < teams; i++)
    {
      ASSERT_EQ (add ("team" + std::to_string (i)), i);
      for (int k = 0; k < keys; k++)
        ASSERT_TRUE (add_key ((uint32_t)i, "k" + std::to_string (k) + "."
                                               + std::to_string (i)));
    }
  eel_team_table_seal (&table);
  for (int i = 0; i < teams; i++)
    {
      std::string name = "team" + std::to_string (i);

      EXPECT_EQ (table.teams[i].key_count, (uint32_t)keys);
      EXPECT_EQ (eel_team_table_find (&table, eel_team_id (name.c_str ())),
                 &table.teams[i]);
      for (int k = 0; k < keys; k++)
        EXPECT_EQ (holder ("k" + std::to_string (k) + "." + std::to_string (i)),
                   name);
      EXPECT_EQ (
          holder ("k" + std::to_string (keys) + "." + std::to_string (i)), "-");
    }
}

// Guards against a key that is served although its owner is in doubt.
TEST_F (team_table, KeyOfTwoTeamsServesNeither)
{
  uint32_t a = (uint32_t)add ("a");
  uint32_t b = (uint32_t)add ("b");
  uint32_t c = (uint32_t)add ("c");

  add_key (a, "shared");
  add_key (a, "own-a");
  add_key (a, "own-a");
  add_key (b, "shared");
  add_key (c, "shared");
  add_key (b, "own-b");
  eel_team_table_seal (&table);
  EXPECT_EQ (holder ("shared"), "-");
  EXPECT_EQ (holder ("own-a"), "a");
  EXPECT_EQ (holder ("own-b"), "b");
  EXPECT_EQ (table.ambiguous_keys, 1u);
  EXPECT_EQ (table.teams[a].key_count, 1u);
  EXPECT_EQ (table.teams[c].key_count, 0u);
}

// Guards against a key that is served for one team while a team that is left
// out claims it too, whichever comes first.
TEST_F (team_table, KeyOfATeamThatIsLeftOutServesNobody)
{
  uint32_t a = (uint32_t)add ("a");

  add_key (EEL_TEAM_LEFT_OUT, "first");
  add_key (a, "first");
  add_key (a, "second");
  add_key (EEL_TEAM_LEFT_OUT, "second");
  add_key (EEL_TEAM_LEFT_OUT, "alone");
  eel_team_table_seal (&table);
  for (const char *key : { "first", "second", "alone" })
    EXPECT_EQ (holder (key), "-") << key;
}

TEST_F (team_table, KeysAreComparedByteByByte)
{
  uint32_t a = (uint32_t)add ("a");
  std::string longest (EEL_TEAM_KEY_MAX, 'x');

  ASSERT_TRUE (add_key (a, "Key1"));
  ASSERT_TRUE (add_key (a, longest));
  EXPECT_FALSE (add_key (a, ""));
  EXPECT_FALSE (add_key (a, longest + "x"));
  EXPECT_FALSE (add_key (5, "k"));
  eel_team_table_seal (&table);
  EXPECT_EQ (holder ("Key1"), "a");
  EXPECT_EQ (holder (longest), "a");
  for (const std::string &key :
       { std::string ("key1"), std::string ("Key"), std::string ("Key11"),
         std::string ("Key1\0", 5), longest + "x", longest.substr (1) })
    EXPECT_EQ (holder (key), "-") << key;
}

// Guards against a name that would end a header field, and against limits that
// nothing follows from.
TEST_F (team_table, OddTeamsAreLeftOut)
{
  EXPECT_GE (add (std::string (EEL_TEAM_NAME_MAX - 1, 'n')), 0);
  EXPECT_GE (add ("two words"), 0);
  EXPECT_GE (add ("caf\xc3\xa9", 1.5, 0), 0);
  EXPECT_LT (add ("caf\xc3\xa9"), 0);
  for (const std::string &name :
       { std::string (), std::string (" a"), std::string ("a "),
         std::string ("a\r\nEvil: 1"), std::string ("a\x7f"),
         std::string ("a\tb"), std::string (EEL_TEAM_NAME_MAX, 'n') })
    EXPECT_LT (add (name), 0) << name;
  EXPECT_LT (add ("x", -1), 0);
  EXPECT_LT (add ("x", 1, -1), 0);
  EXPECT_LT (add ("x", std::stod ("nan")), 0);
  EXPECT_LT (add ("x", 1, std::stod ("inf")), 0);
  EXPECT_EQ (table.count, 3u);
}

// Guards against keys that stand readable in a table.
TEST_F (team_table, KeysAreNotHeldReadably)
{
  const std::string key = "secret-key-of-a";
  uint32_t a = (uint32_t)add ("a");
  std::string held;

  add_key (a, key);
  eel_team_table_seal (&table);
  held.assign (reinterpret_cast<const char *> (table.keys),
               table.key_count * sizeof *table.keys);
  EXPECT_EQ (held.find ("secret"), std::string::npos);
}

// How the keys of teams change from one version to the next.
TEST_F (team_table, ChangesOfKeysByTeam)
{
  struct eel_team_table after;
  std::vector<std::string> changes;
  auto each = [] (void *data, const struct eel_team_change *change) {
    static_cast<std::vector<std::string> *> (data)->push_back (
        std::string (change->name) + " " + std::to_string (change->keys) + " +"
        + std::to_string (change->added) + " -"
        + std::to_string (change->removed));
  };

  for (const char *name : { "same", "moves", "gone", "loses", "twins" })
    {
      uint32_t index = (uint32_t)add (name);

      add_key (index, std::string (name) + "1");
      add_key (index, std::string (name) + "2");
    }
  eel_team_table_seal (&table);
  std::swap (table, after);
  eel_team_table_init (&table, 8, secret);
  for (const char *name : { "twins", "new", "loses", "same" })
    add (name);
  // A key that two teams hold is in force for none.
  add_key (0, "twins1");
  add_key (0, "twins2");
  add_key (1, "twins2");
  add_key (1, "moves1");
  add_key (1, "new1");
  add_key (2, "loses2");
  add_key (3, "same2");
  add_key (3, "same1");
  std::swap (table, after);
  EXPECT_EQ (eel_team_table_compare (&table, &after, each, &changes), 5);
  EXPECT_EQ (changes, (std::vector<std::string>{
                          "twins 1 +0 -1", "new 2 +2 -0", "loses 1 +0 -1",
                          "moves 0 +0 -2", "gone 0 +0 -2" }));
  changes.clear ();
  EXPECT_EQ (eel_team_table_compare (&table, &table, each, &changes), 0);
  EXPECT_EQ (eel_team_table_compare (nullptr, &after, each, &changes), 4);
  EXPECT_EQ (eel_team_table_compare (&after, nullptr, each, &changes), 4);
  EXPECT_EQ (eel_team_table_compare (nullptr, nullptr, each, &changes), 0);
  eel_team_table_finish (&after);
}

// Guards against a counter for each of any number of teams, and against a large
// team among the others.
TEST (team_use, LargestTeamsAreCountedByName)
{
  struct eel_team_use use;
  struct eel_rng rng;
  uint64_t total = 0;
  uint64_t counted = 0;
  uint64_t large = 0;

  eel_rng_init (&rng, 1);
  eel_team_use_init (&use);
  for (int i = 0; i < 200000; i++)
    {
      // One request in five is of four large teams, the others are of 5,000.
      std::string name
          = "t"
            + std::to_string (i % 5 == 0 ? i / 5 % 4
                                         : 100 + eel_rng_below (&rng, 5000));

      total++;
      eel_team_use_count (&use, eel_team_id (name.c_str ()), name.c_str (),
                          i % 3 == 0 ? EEL_TEAM_USE_OVER_CAP
                                     : EEL_TEAM_USE_ADMITTED);
    }
  eel_team_use_count (&use, EEL_NO_TEAM, "", EEL_TEAM_USE_ADMITTED);
  for (const auto &row : use.rows)
    {
      for (uint64_t count : row.counts)
        counted += count;
      if (strlen (row.name) == 2)
        {
          large++;
          EXPECT_GT (row.counts[EEL_TEAM_USE_ADMITTED], 6000u);
        }
    }
  EXPECT_EQ (large, 4u);
  for (uint64_t count : use.others)
    counted += count;
  EXPECT_EQ (counted, total);
}
