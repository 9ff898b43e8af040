#include "eelgrasslatch/routing.h"

#include "internal/hash.h"

/*
 * Inserts an index into a list that is sorted by falling weight and keeps the
 * first max entries; returns the new count.  Equal weights are ordered by node
 * id.
 */
static size_t
insert (uint32_t self,
        const struct eel_subset_node *nodes,
        uint32_t *list,
        size_t count,
        size_t max,
        uint32_t index)
{
  uint64_t weight = eel_rendezvous (self, nodes[index].node);
  size_t at = count;

  while (at > 0)
    {
      uint32_t other = nodes[list[at - 1]].node;
      uint64_t other_weight = eel_rendezvous (self, other);

      if (other_weight > weight
          || (other_weight == weight && other < nodes[index].node))
        break;
      at--;
    }
  if (at >= max)
    return count;
  if (count < max)
    count++;
  for (size_t i = count - 1; i > at; i--)
    list[i] = list[i - 1];
  list[at] = index;
  return count;
}

size_t
eel_subset_choose (uint32_t self,
                   const struct eel_subset_node *nodes,
                   size_t count,
                   size_t own_max,
                   size_t other_max,
                   uint32_t *out,
                   size_t out_max)
{
  size_t own;
  size_t others = 0;

  own_max = own_max < out_max ? own_max : out_max;
  own = 0;
  for (size_t i = 0; i < count; i++)
    if (nodes[i].same_domain)
      own = insert (self, nodes, out, own, own_max, (uint32_t)i);
  if (other_max > out_max - own)
    other_max = out_max - own;
  for (size_t i = 0; i < count; i++)
    if (!nodes[i].same_domain)
      others = insert (self, nodes, out + own, others, other_max, (uint32_t)i);
  return own + others;
}
