#include "eelgrasslatch/directory.h"

#include <stddef.h>
#include <string.h>

/* Prepares an empty directory over the caller's array. */
void
eel_directory_init (struct eel_directory *directory,
                    struct eel_instance *instances,
                    uint32_t capacity)
{
  *directory = (struct eel_directory){ .instances = instances,
                                       .capacity = capacity,
                                       .stable = 1,
                                       .stable_since_us = EEL_NO_OUTAGE_US };
}

/* Returns the entry of an id, also a removed one, or NULL. */
struct eel_instance *
eel_directory_find (struct eel_directory *directory, const char *id)
{
  for (uint32_t i = 0; i < directory->count; i++)
    if (strcmp (directory->instances[i].id, id) == 0)
      return &directory->instances[i];
  return NULL;
}

/* Those of an earlier era are ordered by when they came. */
static int
is_newer (const struct eel_instance *a, const struct eel_instance *b)
{
  return a->revision != b->revision ? a->revision > b->revision
                                    : a->registered_us > b->registered_us;
}

/* Returns the newest entry of a service on a VM, in any state, or NULL. */
struct eel_instance *
eel_directory_find_by_address (struct eel_directory *directory,
                               uint32_t ip,
                               uint32_t service)
{
  struct eel_instance *found = NULL;

  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];

      if (instance->ip == ip && instance->service == service
          && (found == NULL || is_newer (instance, found)))
        found = instance;
    }
  return found;
}

int
eel_instance_listed (const struct eel_instance *instance)
{
  return instance->state == EEL_INSTANCE_READY
         || instance->state == EEL_INSTANCE_LAPSED;
}

int
eel_instance_usable (const struct eel_instance *instance)
{
  return eel_instance_listed (instance) && !instance->leaving;
}

/* Returns a free slot, or that of the oldest removed entry without requests. */
static struct eel_instance *
acquire_slot (struct eel_directory *directory)
{
  struct eel_instance *oldest = NULL;

  if (directory->count < directory->capacity)
    return &directory->instances[directory->count++];
  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];

      if (instance->state == EEL_INSTANCE_REMOVED && instance->in_flight == 0
          && (oldest == NULL || instance->revision < oldest->revision))
        oldest = instance;
    }
  if (oldest == NULL)
    directory->dropped_full++;
  return oldest;
}

/* Without the time of its start, an endpoint that is back in service after it
   had left counts as another start. */
static int
is_same_start (const struct eel_instance *known,
               const struct eel_instance *instance)
{
  if (known->born_ms != 0 && instance->born_ms != 0)
    return known->born_ms == instance->born_ms;
  return eel_instance_listed (known) || instance->state != EEL_INSTANCE_READY;
}

/* True when the entry doesn't show that the endpoint said something after it
   was known to have left.  That of a listing may, with a later sequence, be
   older: not each one is told by a change. */
static int
is_held_left (const struct eel_instance *known,
              const struct eel_instance *instance)
{
  if (known->left_until_us == 0 || instance->state != EEL_INSTANCE_READY)
    return 0;
  return instance->born_ms < known->born_ms
         || (instance->born_ms == known->born_ms
             && (instance->is_listed || instance->sequence <= known->sequence));
}

/* True for an entry that a new era states as it was: it shows neither that its
   endpoint reaches the registry now nor that it has just started. */
static int
is_restated (const struct eel_instance *known,
             const struct eel_instance *instance)
{
  return known->revision == 0 && known->state == EEL_INSTANCE_READY
         && instance->state == EEL_INSTANCE_READY
         && instance->born_ms == known->born_ms
         && instance->sequence <= known->sequence;
}

/* True for an entry of the present era that was written before the start that
   is known from an earlier one. */
static int
is_of_earlier_start (const struct eel_instance *known,
                     const struct eel_instance *instance)
{
  return known->revision == 0 && eel_instance_listed (known)
         && instance->born_ms != 0 && instance->born_ms < known->born_ms;
}

/* Adds or updates an entry; the sender's state of a known one is kept. */
int
eel_directory_put (struct eel_directory *directory,
                   const struct eel_instance *instance,
                   int64_t now_us)
{
  struct eel_instance *known = eel_directory_find (directory, instance->id);

  if (known != NULL && known->revision >= instance->revision)
    return 0;
  if (known == NULL)
    {
      known = acquire_slot (directory);
      if (known == NULL)
        return 0;
      *known = *instance;
      known->registered_us = now_us;
      known->in_flight = 0;
      known->unaccepted = 0;
      return 1;
    }
  if (is_held_left (known, instance))
    {
      known->revision = instance->revision;
      return 0;
    }
  if (is_of_earlier_start (known, instance))
    return eel_directory_remove (directory, instance->id, instance->revision,
                                 now_us);
  if (!is_same_start (known, instance))
    known->leaving = 0;
  if (!is_restated (known, instance))
    {
      known->registered_us = now_us;
      known->cold_until_us = instance->cold_until_us;
    }
  known->left_until_us = 0;
  known->sequence = instance->sequence;
  known->born_ms = instance->born_ms;
  known->service = instance->service;
  known->state = instance->state;
  known->revision = instance->revision;
  known->ip = instance->ip;
  known->port = instance->port;
  known->slots = instance->slots;
  known->same_domain = instance->same_domain;
  known->domain = instance->domain;
  known->lapsed_us = 0;
  return 1;
}

/* True while the entry may be missing although its endpoint is alive. */
static int
may_lapse (const struct eel_directory *directory,
           const struct eel_instance *instance,
           int64_t now_us)
{
  return !directory->stable || directory->unconfirmed
         || (now_us - directory->stable_since_us < EEL_LAPSED_GRACE_US
             && instance->registered_us <= directory->stable_since_us);
}

/* Removes an entry; a ready one lapses if its endpoint may be alive. */
int
eel_directory_remove (struct eel_directory *directory,
                      const char *id,
                      uint64_t revision,
                      int64_t now_us)
{
  struct eel_instance *known = eel_directory_find (directory, id);

  if (known == NULL || known->revision >= revision
      || known->state == EEL_INSTANCE_REMOVED)
    return 0;
  known->revision = revision;
  if (known->state == EEL_INSTANCE_READY && !known->leaving)
    known->lapsed_us = now_us;
  if (known->state == EEL_INSTANCE_READY
      && may_lapse (directory, known, now_us))
    known->state = EEL_INSTANCE_LAPSED;
  else if (known->state != EEL_INSTANCE_LAPSED)
    known->state = EEL_INSTANCE_REMOVED;
  return 1;
}

void
eel_directory_begin_era (struct eel_directory *directory, int64_t hold_until_us)
{
  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];

      instance->revision = 0;
      if (instance->state == EEL_INSTANCE_REMOVED
          || instance->state == EEL_INSTANCE_DRAINING)
        instance->left_until_us = hold_until_us;
    }
}

/* What it said later than that counts. */
int
eel_directory_set_left (struct eel_directory *directory,
                        const struct eel_instance *left)
{
  struct eel_instance *known = eel_directory_find (directory, left->id);

  if (known == NULL || !eel_instance_listed (known)
      || known->born_ms > left->born_ms
      || (known->born_ms == left->born_ms && known->sequence > left->sequence))
    return 0;
  known->state = left->state;
  known->lapsed_us = left->lapsed_us;
  known->left_until_us = left->left_until_us;
  return 1;
}

struct eel_instance *
eel_directory_next_released (struct eel_directory *directory, int64_t now_us)
{
  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];

      if (instance->left_until_us != 0 && now_us >= instance->left_until_us)
        {
          instance->left_until_us = 0;
          instance->revision = 0;
          return instance;
        }
    }
  return NULL;
}

int
eel_directory_set_leaving (struct eel_directory *directory, const char *id)
{
  struct eel_instance *known = eel_directory_find (directory, id);

  if (known == NULL || known->leaving)
    return 0;
  known->leaving = 1;
  return 1;
}

void
eel_directory_set_unstable (struct eel_directory *directory)
{
  directory->stable = 0;
}

/* An older outage does not end the grace period of a newer one. */
void
eel_directory_set_stable_since (struct eel_directory *directory,
                                int64_t since_us)
{
  if (since_us > directory->stable_since_us)
    directory->stable_since_us = since_us;
  directory->stable = 1;
}

void
eel_directory_set_confirmed (struct eel_directory *directory, int confirmed)
{
  directory->unconfirmed = (uint8_t)!confirmed;
}

int
eel_directory_has_lapsed (const struct eel_directory *directory)
{
  for (uint32_t i = 0; i < directory->count; i++)
    if (directory->instances[i].state == EEL_INSTANCE_LAPSED)
      return 1;
  return 0;
}

struct eel_instance *
eel_directory_next_expired (struct eel_directory *directory, int64_t now_us)
{
  for (uint32_t i = 0; i < directory->count; i++)
    {
      struct eel_instance *instance = &directory->instances[i];

      if (instance->state == EEL_INSTANCE_LAPSED
          && !may_lapse (directory, instance, now_us))
        {
          instance->state = EEL_INSTANCE_REMOVED;
          return instance;
        }
    }
  return NULL;
}
