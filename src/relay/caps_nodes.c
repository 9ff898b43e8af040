#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/cap_standing.h"
#include "internal/task.h"
#include "relay/caps.h"
#include "relay/relay.h"

/* Nodes of the directory that count for caps, in any order. */
struct nodes_of
{
  uint32_t listed[EEL_CAP_NODES_MAX];
  uint32_t listed_count;
  uint32_t lapsed[EEL_CAP_NODES_MAX];
  uint32_t lapsed_count;
};

static void
sort_nodes (const struct eel_directory *directory,
            int64_t now_us,
            struct nodes_of *nodes)
{
  nodes->listed_count = 0;
  nodes->lapsed_count = 0;
  for (uint32_t i = 0; i < directory->count; i++)
    {
      const struct eel_instance *instance = &directory->instances[i];
      enum eel_cap_standing standing = eel_cap_standing_of (instance, now_us);

      if (standing == EEL_CAP_LISTED && nodes->listed_count < EEL_CAP_NODES_MAX)
        nodes->listed[nodes->listed_count++] = instance->ip;
      if (standing == EEL_CAP_LAPSED && nodes->lapsed_count < EEL_CAP_NODES_MAX)
        nodes->lapsed[nodes->lapsed_count++] = instance->ip;
    }
}

static int
is_same_list (const uint32_t *a,
              uint32_t a_count,
              const uint32_t *b,
              uint32_t b_count)
{
  return a_count == b_count && memcmp (a, b, a_count * sizeof *a) == 0;
}

/* Tells when nodes begin or cease to count although they are not listed. */
static void
log_lapsed (struct eel_caps *caps, uint32_t lapsed)
{
  if ((lapsed == 0) == (caps->lapsed_nodes == 0))
    return;
  caps->lapsed_nodes = lapsed;
  g_message ("event=caps_lapsed_nodes listed=%u lapsed=%u",
             caps->view.listed_count, lapsed);
}

void
eel_caps_nodes_changed (struct eel_relay *relay)
{
  struct eel_caps *caps = relay->caps;
  struct eel_cap_view *view;
  struct nodes_of nodes;

  if (caps == NULL)
    return;
  view = calloc (1, sizeof *view);
  if (view == NULL)
    {
      g_warning ("event=caps_nodes_outdated reason=\"no memory\"");
      return;
    }
  sort_nodes (&relay->directory, eel_clock_us (), &nodes);
  eel_cap_view_set (view, nodes.listed, nodes.listed_count, nodes.lapsed,
                    nodes.lapsed_count);
  if (!is_same_list (view->nodes, view->count, caps->view.nodes,
                     caps->view.count)
      || !is_same_list (view->listed, view->listed_count, caps->view.listed,
                        caps->view.listed_count))
    {
      caps->view = *view;
      eel_cap_holder_view_changed (&caps->holder, eel_clock_us ());
      eel_team_cap_view_changed (&caps->cap, eel_clock_us ());
      eel_metric_set (caps->counters.lapsed, view->count - view->listed_count);
      log_lapsed (caps, view->count - view->listed_count);
    }
  free (view);
}

void
eel_caps_review_nodes (struct eel_caps *caps)
{
  if (caps->lapsed_nodes > 0
      || eel_directory_has_lapsed (&caps->relay->directory))
    eel_caps_nodes_changed (caps->relay);
}
