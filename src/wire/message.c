#include "internal/wire.h"

#include <stdlib.h>

/* Returns an empty message of the current version, or NULL if out of memory. */
struct eel_wire_message *
eel_wire_new (enum eel_wire_kind kind)
{
  struct eel_wire_message *message = calloc (1, sizeof *message);

  if (message == NULL)
    return NULL;
  message->kind = kind;
  message->version = EEL_WIRE_VERSION;
  if (kind == EEL_WIRE_GOSSIP)
    message->gossip = calloc (1, sizeof *message->gossip);
  if (kind != EEL_WIRE_GOSSIP || message->gossip != NULL)
    return message;
  free (message);
  return NULL;
}

/* Frees a message and what it owns; NULL is allowed. */
void
eel_wire_free (struct eel_wire_message *message)
{
  if (message == NULL)
    return;
  eel_call_free (message->call);
  eel_answer_free (message->answer);
  free (message->gossip);
  free (message->document.packed);
  free (message);
}
