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
  uint32_t at = count;

  if (count >= max)
    {
      if (max == 0 || weight <= weights[max - 1])
        return count;
      at = max - 1;
    }
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
find_best (const uint32_t *nodes,
           uint32_t node_count,
           uint64_t seed,
           uint32_t *best,
           uint32_t max)
{
  uint64_t weights[EEL_CAP_WITNESSES_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < node_count; i++)
    count = insert_best (best, weights, count, max, nodes[i],
                         eel_rendezvous (seed, nodes[i]));
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

/* Appends up to the capacity of a list. */
static uint32_t
append (uint32_t *nodes, uint32_t count, const uint32_t *more, uint32_t added)
{
  if (added > EEL_CAP_NODES_MAX - count)
    added = EEL_CAP_NODES_MAX - count;
  if (added > 0)
    memcpy (&nodes[count], more, added * sizeof *nodes);
  return count + added;
}

/* Sorts a list and leaves each node once. */
static uint32_t
normalise (uint32_t *nodes, uint32_t count)
{
  uint32_t kept = 0;

  qsort (nodes, count, sizeof *nodes, compare_nodes);
  for (uint32_t i = 0; i < count; i++)
    if (kept == 0 || nodes[i] != nodes[kept - 1])
      nodes[kept++] = nodes[i];
  return kept;
}

void
eel_cap_view_set (struct eel_cap_view *view,
                  const uint32_t *listed,
                  uint32_t listed_count,
                  const uint32_t *lapsed,
                  uint32_t lapsed_count)
{
  uint32_t count = append (view->listed, 0, listed, listed_count);

  view->listed_count = normalise (view->listed, count);
  count = append (view->nodes, 0, view->listed, view->listed_count);
  count = append (view->nodes, count, lapsed, lapsed_count);
  view->count = normalise (view->nodes, count);
  view->group_count = eel_cap_group_count (view->count);
  view->witness_count = find_best (view->nodes, view->count, WITNESS_SEED,
                                   view->witnesses, EEL_CAP_WITNESSES_MAX);
}

int
eel_cap_view_is_witness (const struct eel_cap_view *view, uint32_t node)
{
  for (uint32_t i = 0; i < view->witness_count; i++)
    if (view->witnesses[i] == node)
      return 1;
  return 0;
}

/* Returns the nodes that have lapsed, at most max. */
static uint32_t
find_lapsed (const struct eel_cap_view *view,
             uint32_t group,
             uint32_t *best,
             uint32_t max)
{
  uint64_t weights[EEL_CAP_CANDIDATES_MAX];
  uint32_t count = 0;
  uint32_t at = 0;

  for (uint32_t i = 0; i < view->count; i++)
    {
      while (at < view->listed_count && view->listed[at] < view->nodes[i])
        at++;
      if (at < view->listed_count && view->listed[at] == view->nodes[i])
        continue;
      count = insert_best (best, weights, count, max, view->nodes[i],
                           eel_rendezvous (group, view->nodes[i]));
    }
  return count;
}

uint32_t
eel_cap_view_candidates (const struct eel_cap_view *view,
                         uint32_t group,
                         uint32_t self,
                         uint32_t *candidates)
{
  uint32_t lapsed_count = view->count - view->listed_count;
  uint32_t listed_max = EEL_CAP_CANDIDATES_MAX - 1
                        - (lapsed_count < EEL_CAP_CANDIDATES_LAPSED_MAX
                               ? lapsed_count
                               : EEL_CAP_CANDIDATES_LAPSED_MAX);
  uint32_t count = find_best (view->listed, view->listed_count, group,
                              candidates, listed_max);

  count += find_lapsed (view, group, &candidates[count],
                        EEL_CAP_CANDIDATES_MAX - 1 - count);
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i] == self)
      return count;
  candidates[count] = self;
  return count + 1;
}
