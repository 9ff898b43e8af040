#include "node.h"

#include <stdlib.h>

/*
 * Merges the platform's list of VMs into membership, which decides what an
 * entry changes; the list never removes a member that responds.
 */
void
node_vms_merge (struct eel_node *node, const uint8_t *bytes, size_t byte_count)
{
  struct eel_vm_entry *entries = calloc (NODE_MEMBERS_MAX, sizeof *entries);
  size_t ignored = 0;
  size_t count;

  if (entries == NULL)
    return;
  count = eel_vm_list_parse ((const char *)bytes, byte_count, entries,
                             NODE_MEMBERS_MAX, &ignored);
  for (size_t i = 0; i < count; i++)
    {
      entries[i].update.service = node_service_number (entries[i].service);
      node_service_record_name (node, entries[i].service);
      eel_membership_merge_listed (&node->membership, &entries[i].update,
                                   node->now_us);
    }
  node->vms_ignored += ignored;
  free (entries);
}
