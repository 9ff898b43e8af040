#include <stdlib.h>
#include <string.h>

#include "eelgrasslatch/team_cap.h"
#include "internal/hash.h"

#define NODES_PER_GROUP 256
/* Set apart from the seeds of groups, which are small numbers. */
#define WITNESS_SEED UINT64_C (0x7769746e657373)

static int
compare_nodes (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return (left > right) - (left < right);
}

/* Inserts a node into the list of those with the greatest weights. */
static uint32_t
insert_best (uint32_t *best,
             uint64_t *weights,
             uint32_t count,
             uint32_t max,
             uint32_t node,
             uint64_t weight)
{
  uint32_t at = count < max ? count : max - 1;

  if (count == max && weight <= weights[max - 1])
    return count;
  for (; at > 0 && weights[at - 1] < weight; at--)
    {
      best[at] = best[at - 1];
      weights[at] = weights[at - 1];
    }
  best[at] = node;
  weights[at] = weight;
  return count < max ? count + 1 : max;
}

static uint32_t
find_best (const struct eel_cap_view *view,
           uint64_t seed,
           uint32_t *best,
           uint32_t max)
{
  uint64_t weights[EEL_CAP_WITNESSES_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < view->count; i++)
    count = insert_best (best, weights, count, max, view->nodes[i],
                         eel_rendezvous (seed, view->nodes[i]));
  return count;
}

uint32_t
eel_cap_group_count (uint32_t nodes)
{
  uint32_t groups = 1;

  while (groups < EEL_CAP_GROUPS_MAX && groups * NODES_PER_GROUP < nodes)
    groups *= 2;
  return groups;
}

uint32_t
eel_cap_group_of (uint64_t team, uint32_t group_count)
{
  return (uint32_t)(team >> 32) % group_count;
}

void
eel_cap_view_set (struct eel_cap_view *view,
                  const uint32_t *nodes,
                  uint32_t count)
{
  uint32_t kept = 0;

  if (count > EEL_CAP_NODES_MAX)
    count = EEL_CAP_NODES_MAX;
  if (count > 0)
    memcpy (view->nodes, nodes, count * sizeof *nodes);
  qsort (view->nodes, count, sizeof *view->nodes, compare_nodes);
  for (uint32_t i = 0; i < count; i++)
    if (kept == 0 || view->nodes[i] != view->nodes[kept - 1])
      view->nodes[kept++] = view->nodes[i];
  view->count = kept;
  view->group_count = eel_cap_group_count (kept);
  view->witness_count
      = find_best (view, WITNESS_SEED, view->witnesses, EEL_CAP_WITNESSES_MAX);
}

int
eel_cap_view_is_witness (const struct eel_cap_view *view, uint32_t node)
{
  for (uint32_t i = 0; i < view->witness_count; i++)
    if (view->witnesses[i] == node)
      return 1;
  return 0;
}

uint32_t
eel_cap_view_candidates (const struct eel_cap_view *view,
                         uint32_t group,
                         uint32_t self,
                         uint32_t *candidates)
{
  uint32_t count
      = find_best (view, group, candidates, EEL_CAP_CANDIDATES_MAX - 1);

  for (uint32_t i = 0; i < count; i++)
    if (candidates[i] == self)
      return count;
  candidates[count] = self;
  return count + 1;
}
