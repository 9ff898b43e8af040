#include <event2/buffer.h>

#include "eelgrasslatch/place.h"
#include "internal/task.h"
#include "relay/entry.h"

/* Offers a caller's request to one endpoint after another. */

/* Passes the body received so far to a new attempt. */
static void
replay_body (struct eel_entry *entry)
{
  size_t bytes = evbuffer_get_length (entry->replay);

  if (bytes > 0)
    eel_attempt_body (entry->attempt, evbuffer_pullup (entry->replay, -1),
                      bytes);
  if (entry->body_done)
    eel_attempt_body_end (entry->attempt, entry->call.fingerprint);
}

/* Returns the endpoint to try next, or NULL when none is left. */
static struct eel_instance *
next_instance (struct eel_entry *entry)
{
  const struct eel_place_query query
      = { .service = entry->call.service,
          .tried = entry->tried,
          .tried_count = entry->tried_count,
          .by_finish = entry->relay->config.by_finish,
          .route = entry->call.route };
  struct eel_instance *instance = NULL;

  if (entry->replay == NULL || entry->tried_count == EEL_ENTRY_TRIES_MAX)
    return NULL;
  entry->call.is_guest = 0;
  if (entry->arrivals < entry->attempts_max)
    instance = eel_entry_pick (entry, &query);
  /* An endpoint that sheds a share of all requests may accept this one when it
     is sent again. */
  if (instance == NULL && entry->shed_by != NULL
      && eel_instance_usable (entry->shed_by))
    instance = entry->shed_by;
  return instance;
}

void
eel_entry_next (struct eel_entry *entry, enum eel_error if_none)
{
  struct eel_relay *relay = entry->relay;
  struct eel_instance *instance = next_instance (entry);

  if (instance == NULL)
    {
      eel_entry_answer_error (entry, if_none);
      return;
    }
  eel_entry_count_leaving (entry, instance);
  entry->tried[entry->tried_count++] = instance->id;
  entry->instance = instance;
  entry->call.instance_id = instance->id;
  eel_attempt_free (entry->attempt);
  entry->attempt = eel_attempt_new (relay, &entry->call, instance,
                                    &eel_entry_attempt_ops, entry);
  if (entry->attempt == NULL)
    {
      eel_entry_answer_error (entry, EEL_ERROR_OVERLOADED);
      return;
    }
  replay_body (entry);
  /* May free the entry before it returns. */
  eel_attempt_start (entry->attempt);
}
