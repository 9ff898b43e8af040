#include "relay/entry.h"

/* Fewer names than this are not collected. */
#define COLLECT_MIN 128

static void
mark_entry (const struct eel_exchange *exchange, void *data)
{
  const struct eel_entry *entry = exchange->state;

  eel_service_names_mark (data, entry->call.service);
}

static void
on_freed (void *data, uint32_t service)
{
  eel_service_retries_forget (data, service);
}

/* Names in use are this node's service, those of the routes, of all known
   endpoints and of the requests that entered here. */
static void
mark_used (struct eel_relay *relay)
{
  struct eel_service_names *names = &relay->names;

  eel_service_names_mark (names, relay->service);
  for (uint32_t i = 0; relay->routes != NULL && i < relay->routes->count; i++)
    for (uint32_t j = 0; j < relay->routes->routes[i].part_count; j++)
      eel_service_names_mark (names, relay->routes->routes[i].parts[j].service);
  for (uint32_t i = 0; i < relay->directory.count; i++)
    eel_service_names_mark (names, relay->directory.instances[i].service);
  eel_server_visit_open (&relay->callers, mark_entry, names);
}

void
eel_relay_collect_names (struct eel_relay *relay)
{
  if (relay->names.count < COLLECT_MIN
      || relay->names.count < 2 * relay->names_kept)
    return;
  eel_service_names_begin_collection (&relay->names);
  mark_used (relay);
  eel_service_names_end_collection (&relay->names, on_freed, &relay->retries);
  relay->names_kept = relay->names.count;
}
