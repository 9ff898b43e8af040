#include "eelgrasslatch/spared.h"

#include <stddef.h>

/* Times of a route relative to the fastest, in thousandths, from which on an
 * endpoint is spared, and below which it no longer is. */
#define SPARED_FROM_MILLI 2000
#define SPARED_TO_MILLI 1500
/* Age at which a reported time of a route no longer counts. */
#define RUN_LIFE_US (6 * EEL_US_PER_S)

/* Services that share a route run different work for it. */
struct fastest
{
  uint32_t service;
  uint64_t route;
  int64_t run_us;
};

struct fastest_table
{
  struct fastest routes[EEL_SPARED_ROUTES_MAX];
  uint32_t count;
};

static int
is_fresh (const struct eel_instance_run *run, int64_t now_us)
{
  return run->run_us > 0 && now_us - run->reported_us < RUN_LIFE_US;
}

static struct fastest *
find_fastest (struct fastest_table *table, uint32_t service, uint64_t route)
{
  for (uint32_t i = 0; i < table->count; i++)
    if (table->routes[i].service == service && table->routes[i].route == route)
      return &table->routes[i];
  return NULL;
}

static void
add_run (struct fastest_table *table,
         uint32_t service,
         const struct eel_instance_run *run)
{
  struct fastest *fastest = find_fastest (table, service, run->route);

  if (fastest == NULL && table->count < EEL_SPARED_ROUTES_MAX)
    {
      fastest = &table->routes[table->count++];
      fastest->service = service;
      fastest->route = run->route;
      fastest->run_us = run->run_us;
    }
  if (fastest != NULL && run->run_us < fastest->run_us)
    fastest->run_us = run->run_us;
}

/* Gets the route at which the endpoint is slowest relative to the fastest, and
   returns its time in thousandths of the latter; 0: nothing is known. */
static int64_t
worst_milli (struct fastest_table *table,
             const struct eel_instance *instance,
             int64_t now_us,
             struct eel_spared_change *worst)
{
  int64_t greatest_milli = 0;

  for (uint32_t i = 0; i < EEL_INSTANCE_RUNS_MAX; i++)
    {
      const struct eel_instance_run *run = &instance->runs[i];
      const struct fastest *fastest
          = find_fastest (table, instance->service, run->route);
      int64_t milli;

      if (!is_fresh (run, now_us) || fastest == NULL)
        continue;
      milli = run->run_us * 1000 / fastest->run_us;
      if (milli <= greatest_milli)
        continue;
      greatest_milli = milli;
      worst->route = run->route;
      worst->run_us = run->run_us;
      worst->fastest_us = fastest->run_us;
    }
  return greatest_milli;
}

uint32_t
eel_spared_review (struct eel_directory *directory,
                   int64_t now_us,
                   void (*changed) (void *data,
                                    const struct eel_spared_change *change),
                   void *data)
{
  struct fastest_table table = { .count = 0 };
  uint32_t count = 0;

  for (uint32_t i = 0; i < directory->count; i++)
    {
      const struct eel_instance *instance = &directory->instances[i];

      for (uint32_t r = 0; r < EEL_INSTANCE_RUNS_MAX; r++)
        if (eel_instance_usable (instance)
            && is_fresh (&instance->runs[r], now_us))
          add_run (&table, instance->service, &instance->runs[r]);
    }
  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];
      struct eel_spared_change change = { .instance = instance };
      int64_t milli = worst_milli (&table, instance, now_us, &change);
      int spared = eel_instance_usable (instance)
                   && milli >= (instance->spared ? SPARED_TO_MILLI
                                                 : SPARED_FROM_MILLI);

      if (spared != instance->spared)
        {
          instance->spared = (uint8_t)spared;
          changed (data, &change);
        }
      count += (uint32_t)spared;
    }
  return count;
}
