#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "eelgrasslatch/membership.h"
}

// Guards against entries that are lost by deletions from the index, and
// against a full table that evicts members.
TEST (membership, table_at_capacity)
{
  struct eel_membership_config config;
  std::vector<struct eel_member> members (EEL_MEMBERSHIP_MAX);
  auto m = std::make_unique<struct eel_membership> ();
  struct eel_gossip out[EEL_MEMBERSHIP_OUT_MAX];
  int64_t now_us = 0;
  int64_t later_us;

  eel_membership_config_defaults (&config);
  config.self = 1;
  eel_membership_init (m.get (), &config, members.data (), EEL_MEMBERSHIP_MAX,
                       1, now_us);
  for (uint32_t i = 2; i <= EEL_MEMBERSHIP_MAX + 10; i++)
    {
      struct eel_member_update entry = {};

      entry.node = i * 7919;
      eel_membership_merge_listed (m.get (), &entry,
                                   i % 2 == 0 ? 0 : 500 * EEL_US_PER_S);
    }
  EXPECT_EQ (m->count, static_cast<uint32_t> (EEL_MEMBERSHIP_MAX));
  EXPECT_EQ (m->ignored_full, 10u);
  later_us = 700 * EEL_US_PER_S;
  eel_membership_tick (m.get (), later_us, out, EEL_MEMBERSHIP_OUT_MAX);
  for (uint32_t i = 2; i <= EEL_MEMBERSHIP_MAX; i++)
    EXPECT_EQ (eel_membership_find (m.get (), i * 7919) != nullptr, i % 2 != 0);
}

// Guards against reads beyond the end of a VM list and against malformed lines
// that are accepted in part.
TEST (membership, vm_list_lines)
{
  const std::string zero ("5 0 a live 127.0.0.1:7\0x\n", 25);
  const struct
  {
    std::string text;
    size_t entries;
    size_t ignored;
  } cases[] = {
    { "", 0, 0 },
    { "7 1 orders live 127.0.0.1:7000\n\n8 2 orders leaving 127.0.0.1:7001", 2,
      0 },
    { "7 1 orders live 127.0.0.1\n", 0, 1 },
    { "7 1 orders live 127.0.0.1:0\n", 0, 1 },
    { "7 1 orders live 127.0.0.1:70000\n", 0, 1 },
    { "7 1 orders dead 127.0.0.1:7000\n", 0, 1 },
    { "7 65536 orders live 127.0.0.1:7000\n", 0, 1 },
    { "4294967296 1 orders live 127.0.0.1:7000\n", 0, 1 },
    { "-7 1 orders live 127.0.0.1:7000\n", 0, 1 },
    { "7 1 orders live 127.0.0.1:7000 more\n", 0, 1 },
    { "7 1 orders live\n", 0, 1 },
    { "7 1 " + std::string (64, 's') + " live 127.0.0.1:7000\n", 0, 1 },
    { std::string (5000, 'x') + "\n7 1 orders live 127.0.0.1:7000\n", 1, 1 },
    { zero, 0, 1 },
    { "1 1 a live h:1\n2 1 a live h:1\n3 1 a live h:1\n", 2, 1 },
  };

  for (const auto &c : cases)
    {
      struct eel_vm_entry out[2];
      size_t ignored;

      EXPECT_EQ (
          eel_vm_list_parse (c.text.data (), c.text.size (), out, 2, &ignored),
          c.entries)
          << c.text;
      EXPECT_EQ (ignored, c.ignored) << c.text;
    }
}
