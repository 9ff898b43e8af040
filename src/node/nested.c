#include "node.h"

#include <stdio.h>
#include <string.h>

#include "internal/hash.h"

#define LABEL_BYTES (EEL_SERVICE_MAX + EEL_METHOD_MAX + EEL_TARGET_MAX + 32)

/*
 * Takes class, root key, deadline limit and spare attempts of a call of this
 * node's upstream from the run that made it.  A call whose parent is no longer
 * running is refused, since its answer would not be used.
 */
enum eel_error
node_nested_inherit (struct eel_node *node, struct node_request *request)
{
  struct eel_call *call = request->call;
  struct node_run *run = node_table_get (&node->runs, call->parent);

  if (run == NULL || run->state != NODE_RUN_RUNNING || run->cancelled)
    return EEL_ERROR_CANCELLED;
  call->nested = 1;
  call->klass = run->klass;
  request->klass = run->klass;
  if (call->deadline_us > run->deadline_us)
    call->deadline_us = run->deadline_us;
  request->deadline_us = call->deadline_us;
  call->has_root = run->has_root;
  call->root = run->root;
  request->parent = call->parent;
  request->parent_lent = eel_ledger_lend (&run->ledger);
  eel_ledger_init (&request->ledger, request->parent_lent);
  return EEL_OK;
}

static size_t
default_label (const struct eel_call *call, char text[LABEL_BYTES])
{
  uint64_t body = call->body.bytes > 0
                      ? eel_hash64 (call->body.data, call->body.bytes, 0)
                      : 0;
  int bytes = snprintf (text, LABEL_BYTES, "%s\n%s\n%s\n%016llx", call->service,
                        call->method, call->target, (unsigned long long)body);

  return bytes > 0 ? (size_t)bytes : 0;
}

/*
 * Derives the key of a nested order from the root key and the call's label, or
 * its service, method, target and body if it has no label.
 */
enum eel_error
node_nested_derive_key (struct eel_node *node, struct node_request *request)
{
  struct eel_call *call = request->call;
  char text[LABEL_BYTES];
  size_t bytes;

  if (!call->has_root)
    return EEL_ERROR_KEY_REQUIRED;
  if (call->label[0] != '\0')
    {
      bytes = strlen (call->label);
      memcpy (text, call->label, bytes);
    }
  else
    bytes = default_label (call, text);
  eel_key_derive_child (&call->key, &call->root, text, bytes,
                        node->settings.key_secret);
  /* The codec encodes the key only when this flag is set. */
  call->given |= EEL_GIVEN_KEY;
  return EEL_OK;
}

/* Returns unused spare attempts to the parent, if it is still running. */
void
node_nested_return_attempts (struct eel_node *node,
                             struct node_request *request)
{
  struct node_run *run = node_table_get (&node->runs, request->parent);

  if (run != NULL)
    eel_ledger_return (&run->ledger, request->parent_lent,
                       request->ledger.spare);
}
