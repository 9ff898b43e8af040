#include "eelgrasslatch/place.h"

struct home
{
  enum eel_leave_cause cause;
  int64_t finish_us;
};

static void
add (void *data, const struct eel_place_seen *seen)
{
  struct home *home = data;
  enum eel_leave_cause found = seen->tried ? EEL_LEAVE_TRIED : seen->obstacle;
  int64_t finish_us = seen->use_milli <= 1000
                          ? seen->hold_us
                          : seen->hold_us * seen->use_milli / 1000;

  if (!seen->instance->same_domain)
    return;
  if (found > home->cause)
    home->cause = found;
  if (found >= EEL_LEAVE_SLOW
      && (home->finish_us == 0 || finish_us < home->finish_us))
    home->finish_us = finish_us;
}

enum eel_leave_cause
eel_place_leave_cause (const struct eel_directory *directory,
                       const struct eel_place_query *query,
                       int64_t now_us,
                       int64_t *home_us)
{
  struct home home = { .cause = EEL_LEAVE_NO_ENDPOINT };

  eel_place_describe (directory, query, now_us, add, &home);
  *home_us = home.finish_us;
  return home.cause;
}
