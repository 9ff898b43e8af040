#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "eelgrasslatch/finish.h"
#include "eelgrasslatch/place.h"
#include "eelgrasslatch/spared.h"
}

namespace
{
// Two endpoints as one sender sees them.
struct pair_view
{
  struct eel_instance a = {};
  struct eel_instance b = {};
  int64_t now_us = 100 * EEL_US_PER_S;

  pair_view ()
  {
    a.slots = b.slots = 20;
  }

  void
  report (struct eel_instance *instance,
          uint32_t use_milli,
          uint32_t speed_milli,
          int64_t run_us,
          int64_t age_us = 0)
  {
    struct eel_instance_report report = {};

    report.use_milli = use_milli;
    report.speed_milli = speed_milli;
    report.route = 7;
    report.run_us = run_us;
    eel_place_answered (instance, &report, now_us - age_us);
  }

  uint64_t
  cost (const struct eel_instance &instance) const
  {
    struct eel_finish_view view;

    eel_finish_view_init (&view, 7, 300, now_us);
    eel_finish_view_add (&view, &a);
    eel_finish_view_add (&view, &b);
    return eel_finish_cost_milli (&view, &instance);
  }
};
}

TEST (Finish, SlowEndpointIsToldFromABusyOne)
{
  pair_view view;

  view.report (&view.a, 100, 1000, 100000);
  view.report (&view.b, 700, 1000, 50000);
  EXPECT_GT (view.cost (view.a), view.cost (view.b));
  view.report (&view.b, 700, 1000, 90000);
  EXPECT_LT (view.cost (view.a), view.cost (view.b));
}

TEST (Finish, SlowMomentCountsForLessAsItsReportAges)
{
  pair_view view;
  uint64_t fresh;

  view.report (&view.a, 300, 400, 50000);
  view.report (&view.b, 300, 1000, 50000);
  fresh = view.cost (view.a);
  EXPECT_GT (fresh, view.cost (view.b) + 1000);
  view.report (&view.a, 300, 400, 50000, 400 * EEL_US_PER_MS);
  EXPECT_LT (view.cost (view.a), fresh);
  view.report (&view.a, 300, 400, 50000, 1000 * EEL_US_PER_MS);
  EXPECT_EQ (view.cost (view.a), view.cost (view.b));
}

TEST (Finish, TimeOfARouteIsLearnedAnewAfterSeconds)
{
  pair_view view;

  view.report (&view.a, 0, 1000, 500000, 5 * EEL_US_PER_S);
  view.report (&view.b, 0, 1000, 50000, 5 * EEL_US_PER_S);
  EXPECT_GT (view.cost (view.a), view.cost (view.b) + 5000);
  view.report (&view.a, 0, 1000, 500000, 7 * EEL_US_PER_S);
  EXPECT_EQ (view.cost (view.a), view.cost (view.b));
  // One request at a time finds out.
  eel_place_sent (&view.a);
  view.report (&view.b, 0, 1000, 50000);
  EXPECT_GT (view.cost (view.a), view.cost (view.b));
}

TEST (Finish, OwnRequestsSinceTheReportCount)
{
  pair_view view;
  uint64_t before;

  view.report (&view.a, 300, 1000, 50000);
  view.report (&view.b, 300, 1000, 50000);
  before = view.cost (view.a);
  eel_place_sent (&view.a);
  eel_place_sent (&view.a);
  EXPECT_EQ (view.cost (view.a), before + 100);
  view.report (&view.a, 400, 1000, 50000);
  EXPECT_EQ (view.cost (view.a), before + 100);
}

TEST (Finish, ColdEndpointCountsAsHalfAsFast)
{
  pair_view view;

  view.report (&view.a, 300, 1000, 50000);
  view.report (&view.b, 300, 1000, 50000);
  view.a.cold_until_us = view.now_us + 1;
  EXPECT_EQ (view.cost (view.a), view.cost (view.b) + 1000);
}

// A report of another route tells nothing about this one's time.
TEST (Finish, RoutesAreComparedApart)
{
  pair_view view;
  struct eel_instance_report other = {};

  view.report (&view.a, 300, 1000, 50000);
  view.report (&view.b, 300, 1000, 50000);
  other.use_milli = 300;
  other.speed_milli = 1000;
  other.route = 8;
  other.run_us = 900000;
  eel_place_answered (&view.a, &other, view.now_us);
  EXPECT_EQ (view.cost (view.a), view.cost (view.b));
}

TEST (Finish, RouteReportedLongestAgoGivesWay)
{
  struct eel_instance instance = {};

  for (uint64_t route = 1; route <= EEL_INSTANCE_RUNS_MAX + 1; route++)
    {
      struct eel_instance_report report = {};

      report.route = route;
      report.run_us = 1000;
      eel_place_answered (&instance, &report, (int64_t)route);
    }
  for (const auto &run : instance.runs)
    EXPECT_GT (run.route, 1u);
}

// The random part of the cost doesn't outweigh a fifth of the run's time.
TEST (Finish, EndpointSlowerByAFifthIsNotPicked)
{
  const struct eel_place_query query = { 0, nullptr, 0, 1, 7 };
  const int64_t now_us = 100 * EEL_US_PER_S;
  struct eel_instance storage[2] = {};
  struct eel_directory directory;
  struct eel_rng rng;

  eel_rng_init (&rng, 1);
  eel_directory_init (&directory, storage, 2);
  eel_directory_set_stable_since (&directory, 0);
  for (const char *id : { "slow", "usual" })
    {
      struct eel_instance instance = {};
      struct eel_instance_report report = {};

      snprintf (instance.id, sizeof instance.id, "%s", id);
      instance.revision = 1;
      instance.slots = 20;
      instance.same_domain = 1;
      eel_directory_put (&directory, &instance, 1);
      report.use_milli = 300;
      report.speed_milli = id[0] == 's' ? 833 : 1000;
      report.route = 7;
      report.run_us = 50000;
      eel_place_answered (eel_directory_find (&directory, id), &report, now_us);
    }
  for (uint32_t i = 0; i < 1000; i++)
    ASSERT_STREQ (eel_place_pick (&directory, &query, now_us, &rng)->id,
                  "usual")
        << i;
}

namespace
{
void
on_changed (void *data, const struct eel_spared_change *change)
{
  *(std::string *)data += std::string (change->instance->id) + "="
                          + std::to_string (change->instance->spared) + " "
                          + std::to_string (change->run_us) + "/"
                          + std::to_string (change->fastest_us) + " ";
}
}

// An endpoint is spared from twice the fastest one's time on, until it is below
// one and a half times or nothing is known of it any more.
TEST (Spared, SlowEndpointIsToldOnceAtEachChange)
{
  struct eel_instance storage[4] = {};
  struct eel_directory directory;
  int64_t now_us = 100 * EEL_US_PER_S;
  const struct
  {
    int64_t run_us[2];
    const char *lines;
    uint32_t spared;
  } steps[] = { { { 50000, 99000 }, "", 0 },
                { { 50000, 100000 }, "b=1 100000/50000 ", 1 },
                { { 50000, 80000 }, "", 1 },
                { { 50000, 74000 }, "b=0 74000/50000 ", 0 },
                { { 160000, 74000 }, "a=1 160000/74000 ", 1 },
                { { 0, 0 }, "a=0 0/0 ", 0 } };

  eel_directory_init (&directory, storage, 4);
  eel_directory_set_stable_since (&directory, 0);
  for (const char *id : { "a", "b" })
    {
      struct eel_instance instance = {};

      snprintf (instance.id, sizeof instance.id, "%s", id);
      instance.revision = 1;
      eel_directory_put (&directory, &instance, 1);
    }
  for (const auto &step : steps)
    {
      std::string lines;

      now_us += step.run_us[0] > 0 ? EEL_US_PER_S : 10 * EEL_US_PER_S;
      for (uint32_t i = 0; i < 2 && step.run_us[i] > 0; i++)
        {
          struct eel_instance_report report = {};

          report.route = 7;
          report.run_us = step.run_us[i];
          eel_place_answered (eel_directory_find (&directory, i ? "b" : "a"),
                              &report, now_us);
        }
      EXPECT_EQ (eel_spared_review (&directory, now_us, on_changed, &lines),
                 step.spared);
      EXPECT_EQ (lines, step.lines);
    }
}

// A route that is split between two services takes longer at one of them.
TEST (Spared, ServicesOfOneRouteAreComparedApart)
{
  struct eel_instance storage[4] = {};
  struct eel_directory directory;
  const int64_t now_us = 100 * EEL_US_PER_S;
  std::string lines;

  eel_directory_init (&directory, storage, 4);
  eel_directory_set_stable_since (&directory, 0);
  for (uint32_t service = 0; service < 2; service++)
    {
      const std::string id = std::to_string (service);
      struct eel_instance instance = {};
      struct eel_instance_report report = {};

      snprintf (instance.id, sizeof instance.id, "%s", id.c_str ());
      instance.revision = 1;
      instance.service = service;
      eel_directory_put (&directory, &instance, 1);
      report.route = 7;
      report.run_us = service == 0 ? 10000 : 90000;
      eel_place_answered (eel_directory_find (&directory, id.c_str ()), &report,
                          now_us);
    }
  EXPECT_EQ (eel_spared_review (&directory, now_us, on_changed, &lines), 0u);
  EXPECT_EQ (lines, "");
}
