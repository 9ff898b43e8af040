#include "eelgrasslatch/registry_view.h"

#include <stddef.h>

/* The registry counts as lost when reads have failed for this long. */
#define LOST_AFTER_US (1500 * EEL_US_PER_MS)
/* Entries lapse after three heartbeats of silence, so an outage that is shorter
   than two of them makes none lapse. */
#define OUTAGE_MIN_US (3 * EEL_US_PER_S)
/* Longest time for which a return of the registry may go unnoticed and still
   move the end of the grace: with the grace, 0.2 s less than the 3 s after
   which a VM that reaches the registry again has to be right. */
#define UNNOTICED_MAX_US (1000 * EEL_US_PER_MS)
/* An answer of the registry shows for this long that this VM reaches it. */
#define CONFIRMED_FOR_US (5 * EEL_US_PER_S)

void
eel_registry_view_init (struct eel_registry_view *view,
                        struct eel_directory *directory)
{
  *view = (struct eel_registry_view){ .directory = directory,
                                      .stable_since_us = EEL_NO_OUTAGE_US };
}

/* A call without an answer may have been lost when it was sent, so the registry
   counts as not reached since then; one that took longer than any time-out
   tells of a pause of this process instead. */
static void
record_unreached (struct eel_registry_view *view,
                  int64_t since_us,
                  int64_t now_us)
{
  view->unreached_us = now_us - since_us < LOST_AFTER_US ? since_us : now_us;
}

int
eel_registry_view_read_failed (struct eel_registry_view *view,
                               int64_t sent_us,
                               int unanswered,
                               int64_t now_us)
{
  record_unreached (view, unanswered ? sent_us : now_us, now_us);
  if (view->failing_since_us != 0)
    return 0;
  view->failing_since_us = unanswered ? sent_us : now_us;
  return 1;
}

static int
is_confirmed (const struct eel_registry_view *view, int64_t now_us)
{
  return !view->path_lost && !view->check_pending
         && now_us - view->confirmed_us < CONFIRMED_FOR_US;
}

/* The registry may have been reached again at any time after the last failed
   call was sent. */
static int64_t
outage_end_us (const struct eel_registry_view *view, int64_t now_us)
{
  int64_t end_us = view->unreached_us + UNNOTICED_MAX_US;

  return view->unreached_us == 0 || end_us > now_us ? now_us : end_us;
}

static void
confirm (struct eel_registry_view *view, int64_t now_us)
{
  view->confirmed_us = now_us;
  if (view->path_lost)
    eel_directory_set_stable_since (view->directory,
                                    outage_end_us (view, now_us));
  view->path_lost = 0;
  view->unreached_us = 0;
  eel_directory_set_confirmed (view->directory, 1);
}

/* True when entries can have lapsed since the last news without a trace. */
static int
missed_news (const struct eel_registry_view *view, int64_t now_us)
{
  return view->as_of_us != 0 && now_us - view->as_of_us >= OUTAGE_MIN_US;
}

static void
record_news (struct eel_registry_view *view, int64_t as_of_us)
{
  view->failing_since_us = 0;
  if (as_of_us > view->as_of_us)
    view->as_of_us = as_of_us;
}

/* An outage that only this VM saw is not told to others: they had news. */
void
eel_registry_view_read_registry (struct eel_registry_view *view, int64_t now_us)
{
  int was_away = !view->directory->stable && !view->path_lost;

  if (was_away || missed_news (view, now_us))
    {
      view->stable_since_us = outage_end_us (view, now_us);
      eel_directory_set_stable_since (view->directory, view->stable_since_us);
    }
  confirm (view, now_us);
  record_news (view, now_us);
}

/* A node without news so far has nothing to lose, and takes the peer's word. */
void
eel_registry_view_read_peer (struct eel_registry_view *view,
                             int64_t stable_us,
                             int64_t age_us,
                             int64_t now_us)
{
  if (view->as_of_us == 0 || missed_news (view, now_us))
    view->stable_since_us = now_us - stable_us;
  if (!view->path_lost)
    eel_directory_set_stable_since (view->directory, view->stable_since_us);
  eel_directory_set_confirmed (view->directory, is_confirmed (view, now_us));
  record_news (view, now_us - age_us);
}

void
eel_registry_view_era_began (struct eel_registry_view *view, int64_t since_us)
{
  if (since_us > view->stable_since_us)
    view->stable_since_us = since_us;
  if (!view->path_lost)
    eel_directory_set_stable_since (view->directory, view->stable_since_us);
}

/* An answer that came before the end of its hold was given at an unknown time
   since the read was sent. */
void
eel_registry_view_known (struct eel_registry_view *view,
                         int64_t sent_us,
                         int64_t held_us,
                         int64_t now_us)
{
  int64_t known_us = sent_us;

  if (held_us > 0 && held_us <= now_us - sent_us)
    known_us += held_us;
  if (known_us > view->known_us)
    view->known_us = known_us;
}

void
eel_registry_view_known_by_peer (struct eel_registry_view *view,
                                 int64_t sent_us,
                                 int64_t held_us,
                                 int64_t age_us,
                                 int64_t now_us)
{
  int64_t took_us = now_us - sent_us;

  if (held_us < 0)
    held_us = 0;
  if (age_us >= 0)
    eel_registry_view_known (
        view, sent_us + (held_us < took_us ? held_us : took_us) - age_us, 0,
        now_us);
}

int64_t
eel_registry_view_known_age_us (const struct eel_registry_view *view,
                                int64_t now_us)
{
  return view->known_us == 0 ? INT64_MAX : now_us - view->known_us;
}

int64_t
eel_registry_view_fresh_for_us (const struct eel_registry_view *view,
                                int64_t now_us)
{
  return view->as_of_us + EEL_NEWS_MAX_AGE_US - now_us;
}

/* Without removals the registry need not be asked. */
int
eel_registry_view_applied (struct eel_registry_view *view, int64_t now_us)
{
  return !is_confirmed (view, now_us) && !view->path_lost
         && eel_directory_has_lapsed (view->directory)
         && eel_registry_view_begin_check (view);
}

int
eel_registry_view_begin_check (struct eel_registry_view *view)
{
  if (view->check_pending)
    return 0;
  view->check_pending = 1;
  return 1;
}

uint32_t
eel_registry_view_check_answered (struct eel_registry_view *view,
                                  int64_t now_us)
{
  uint32_t removed = 0;

  view->check_pending = 0;
  confirm (view, now_us);
  while (eel_directory_next_expired (view->directory, now_us) != NULL)
    removed++;
  return removed;
}

int
eel_registry_view_check_failed (struct eel_registry_view *view,
                                int64_t sent_us,
                                int64_t now_us)
{
  int was_lost = view->path_lost;

  view->check_pending = 0;
  view->path_lost = 1;
  record_unreached (view, sent_us, now_us);
  eel_directory_set_unstable (view->directory);
  return !was_lost;
}

void
eel_registry_view_tick (struct eel_registry_view *view, int64_t now_us)
{
  if (eel_registry_view_is_failing (view, LOST_AFTER_US, now_us))
    eel_directory_set_unstable (view->directory);
}

int
eel_registry_view_is_failing (const struct eel_registry_view *view,
                              int64_t for_us,
                              int64_t now_us)
{
  return view->failing_since_us != 0
         && now_us - view->failing_since_us > for_us;
}
