#include "eelgrasslatch/registry_view.h"

/* The registry counts as lost when reads have failed for this long. */
#define LOST_AFTER_US (1500 * EEL_US_PER_MS)
/* An answer of the registry shows for this long that this VM reaches it. */
#define CONFIRMED_FOR_US (5 * EEL_US_PER_S)

void
eel_registry_view_init (struct eel_registry_view *view,
                        struct eel_directory *directory)
{
  *view = (struct eel_registry_view){ .directory = directory };
}

/* A call without an answer may have been lost when it was sent, so the registry
   counts as failing since then. */
int
eel_registry_view_read_failed (struct eel_registry_view *view,
                               int64_t sent_us,
                               int unanswered,
                               int64_t now_us)
{
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

static void
confirm (struct eel_registry_view *view, int64_t now_us)
{
  view->confirmed_us = now_us;
  if (!view->path_lost)
    return;
  view->path_lost = 0;
  eel_directory_set_stable (view->directory, 1, now_us);
}

void
eel_registry_view_read_registry (struct eel_registry_view *view, int64_t now_us)
{
  view->failing_since_us = 0;
  view->news_us = now_us;
  confirm (view, now_us);
  eel_directory_set_stable (view->directory, 1, now_us);
  view->stable_since_us = view->directory->stable_since_us;
}

void
eel_registry_view_read_peer (struct eel_registry_view *view,
                             int64_t stable_us,
                             int64_t now_us)
{
  view->failing_since_us = 0;
  view->news_us = now_us;
  view->stable_since_us = now_us - stable_us;
  if (is_confirmed (view, now_us))
    eel_directory_set_stable_since (view->directory, view->stable_since_us);
  else
    eel_directory_set_stable (view->directory, 0, now_us);
}

/* Without removals the registry need not be asked. */
int
eel_registry_view_applied (struct eel_registry_view *view,
                           int removals,
                           int64_t now_us)
{
  if (is_confirmed (view, now_us) || view->check_pending || view->path_lost)
    return 0;
  if (!removals)
    {
      eel_directory_set_stable_since (view->directory, view->stable_since_us);
      return 0;
    }
  view->check_stable_since_us = view->stable_since_us;
  return eel_registry_view_begin_check (view);
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
  int was_lost = view->path_lost;

  view->check_pending = 0;
  confirm (view, now_us);
  if (was_lost)
    return 0;
  eel_directory_set_stable_since (view->directory, view->check_stable_since_us);
  return eel_directory_settle (view->directory, now_us);
}

int
eel_registry_view_check_failed (struct eel_registry_view *view, int64_t now_us)
{
  int was_lost = view->path_lost;

  (void)now_us;
  view->check_pending = 0;
  view->path_lost = 1;
  return !was_lost;
}

void
eel_registry_view_tick (struct eel_registry_view *view, int64_t now_us)
{
  if (eel_registry_view_is_failing (view, LOST_AFTER_US, now_us))
    eel_directory_set_stable (view->directory, 0, now_us);
}

int
eel_registry_view_is_failing (const struct eel_registry_view *view,
                              int64_t for_us,
                              int64_t now_us)
{
  return view->failing_since_us != 0
         && now_us - view->failing_since_us > for_us;
}
