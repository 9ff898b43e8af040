#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "eelgrasslatch/team_table.h"

/*
 * Prints what a table of teams costs: bytes a key, time for a new version and
 * its comparison with the one before, and time for a look-up.
 */

#define LOOKUPS 1000000

static double
clock_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static size_t
key_text (char *text, size_t bytes, uint32_t team, uint32_t key)
{
  return (size_t)snprintf (text, bytes, "%020u", team * 1000 + key);
}

/* Fills a table; the first team holds one key that only this version has. */
static void
build (struct eel_team_table *table,
       uint32_t teams,
       uint32_t keys,
       uint64_t version)
{
  const uint8_t secret[EEL_TEAM_SECRET_BYTES] = { 1 };
  char text[64];

  eel_team_table_init (table, version, secret);
  for (uint32_t i = 0; i < teams; i++)
    {
      struct eel_team team = { .name = text };
      uint32_t own = i == 0 ? (uint32_t)version : 0;

      snprintf (text, sizeof text, "team-%u", i);
      eel_team_table_add (table, &team);
      for (uint32_t k = 0; k < keys; k++)
        eel_team_table_add_key (
            table, i, text,
            key_text (text, sizeof text, i, k == 0 ? 900 + own : k));
    }
  eel_team_table_seal (table);
}

static void
ignore_change (void *data, const struct eel_team_change *change)
{
  (void)change;
  ++*(uint32_t *)data;
}

static void
measure (uint32_t teams, uint32_t keys)
{
  struct eel_team_table before;
  struct eel_team_table after;
  char text[64];
  uint32_t changes = 0;
  uint32_t found = 0;
  size_t held = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  double start = clock_s ();
  double built;
  double compared;

  build (&before, teams, keys, 1);
  built = clock_s () - start;
  held = mallinfo2 ().uordblks + mallinfo2 ().hblkhd - held;
  build (&after, teams, keys, 2);
  start = clock_s ();
  eel_team_table_compare (&before, &after, ignore_change, &changes);
  compared = clock_s () - start;
  start = clock_s ();
  for (uint32_t i = 0; i < LOOKUPS; i++)
    {
      uint32_t at = i * 2654435761U;
      size_t bytes
          = key_text (text, sizeof text, at % teams, 1 + (at >> 16) % keys);

      found += eel_team_table_find_key (&after, text, bytes) != NULL;
    }
  printf ("teams=%u keys=%u bytes_a_key=%.1f build_ms=%.1f compare_ms=%.1f "
          "changed=%u lookup_ns=%.0f found=%.3f\n",
          teams, teams * keys, (double)held / (teams * keys), built * 1e3,
          compared * 1e3, changes, (clock_s () - start) * 1e9 / LOOKUPS,
          (double)found / LOOKUPS);
  eel_team_table_finish (&before);
  eel_team_table_finish (&after);
}

int
main (void)
{
  measure (1, 10);
  measure (100, 10);
  measure (10000, 10);
  return 0;
}
